"""Scenarios of log outage."""

import pytest_bdd

pytest_bdd.scenarios('features/log_outage.feature')
