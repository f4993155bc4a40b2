"""Scenarios of keys."""

import pytest_bdd

pytest_bdd.scenarios('features/keys.feature')
