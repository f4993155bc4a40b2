"""Scenarios of importance classes."""

import pytest_bdd

pytest_bdd.scenarios('features/importance.feature')
