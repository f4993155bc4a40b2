"""Scenarios of importance."""

import pytest_bdd

pytest_bdd.scenarios('features/importance.feature')
