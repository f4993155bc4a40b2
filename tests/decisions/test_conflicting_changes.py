"""Scenarios of conflicting changes."""

import pytest_bdd

pytest_bdd.scenarios('features/conflicting_changes.feature')
