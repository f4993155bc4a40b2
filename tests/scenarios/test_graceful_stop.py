"""Scenarios of features/graceful_stop.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/graceful_stop.feature')
