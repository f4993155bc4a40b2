"""Scenarios of a slow service."""

import pytest_bdd

pytest_bdd.scenarios('features/slow_service.feature')
