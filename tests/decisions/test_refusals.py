"""Scenarios of refusals."""

import pytest_bdd

pytest_bdd.scenarios('features/refusals.feature')
