"""Scenarios of hand-over."""

import pytest_bdd

pytest_bdd.scenarios('features/hand_over.feature')
