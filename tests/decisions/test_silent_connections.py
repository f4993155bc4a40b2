"""Scenarios of silent connections."""

import pytest_bdd

pytest_bdd.scenarios('features/silent_connections.feature')
