"""Scenarios of fair shares under overload."""

import pytest_bdd

pytest_bdd.scenarios('features/fair_share.feature')
