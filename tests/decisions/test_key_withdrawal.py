"""Scenarios of key withdrawal."""

import pytest_bdd

pytest_bdd.scenarios('features/key_withdrawal.feature')
