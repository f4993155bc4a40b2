"""Scenarios of crashing request."""

import pytest_bdd

pytest_bdd.scenarios('features/crashing_request.feature')
