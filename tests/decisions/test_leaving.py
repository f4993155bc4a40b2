"""Scenarios of leaving."""

import pytest_bdd

pytest_bdd.scenarios('features/leaving.feature')
