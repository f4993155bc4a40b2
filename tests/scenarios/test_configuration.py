"""Scenarios of features/configuration.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/configuration.feature')
