"""Scenarios of the secrecy of keys."""

import pytest_bdd

pytest_bdd.scenarios('features/key_secrecy.feature')
