"""Scenarios of features/combinations.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/combinations.feature')
