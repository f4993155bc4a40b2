"""Scenarios of retries."""

import pytest_bdd

pytest_bdd.scenarios('features/retries.feature')
