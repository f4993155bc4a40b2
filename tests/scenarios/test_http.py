"""Scenarios of features/http.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/http.feature')
