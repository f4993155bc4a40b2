"""Scenarios of quota."""

import pytest_bdd

pytest_bdd.scenarios('features/quota.feature')
