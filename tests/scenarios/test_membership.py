"""Scenarios of features/membership.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/membership.feature')
