"""Scenarios of key secrecy."""

import pytest_bdd

pytest_bdd.scenarios('features/key_secrecy.feature')
