"""Scenarios of keys and their workspaces."""

import pytest_bdd

pytest_bdd.scenarios('features/keys.feature')
