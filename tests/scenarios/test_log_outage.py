"""Scenarios of features/log_outage.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/log_outage.feature')
