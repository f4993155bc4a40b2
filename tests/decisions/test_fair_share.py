"""Scenarios of fair share."""

import pytest_bdd

pytest_bdd.scenarios('features/fair_share.feature')
