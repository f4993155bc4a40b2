"""Scenarios of features/not_run.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/not_run.feature')
