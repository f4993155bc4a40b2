"""Scenarios of features/at_most_once.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/at_most_once.feature')
