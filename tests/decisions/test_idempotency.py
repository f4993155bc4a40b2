"""Scenarios of idempotency."""

import pytest_bdd

pytest_bdd.scenarios('features/idempotency.feature')
