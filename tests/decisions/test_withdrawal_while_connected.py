"""Scenarios of key withdrawal during calls."""

import pytest_bdd

pytest_bdd.scenarios('features/withdrawal_while_connected.feature')
