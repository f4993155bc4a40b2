"""Scenarios of features/quota.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/quota.feature')
