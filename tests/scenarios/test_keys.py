"""Scenarios of features/keys.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/keys.feature')
