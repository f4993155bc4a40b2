"""Scenarios of features/crashing_request.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/crashing_request.feature')
