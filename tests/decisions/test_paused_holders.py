"""Scenarios of paused lease holders."""

import pytest_bdd

pytest_bdd.scenarios('features/paused_holders.feature')
