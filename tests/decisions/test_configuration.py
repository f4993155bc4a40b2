"""Scenarios of configuration."""

import pytest_bdd

pytest_bdd.scenarios('features/configuration.feature')
