"""Scenarios of outages of the log."""

import pytest_bdd

pytest_bdd.scenarios('features/log_outage.feature')
