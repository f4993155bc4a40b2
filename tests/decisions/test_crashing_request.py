"""Scenarios of crashing requests."""

import pytest_bdd

pytest_bdd.scenarios('features/crashing_request.feature')
