"""Scenarios of withdrawal while connected."""

import pytest_bdd

pytest_bdd.scenarios('features/withdrawal_while_connected.feature')
