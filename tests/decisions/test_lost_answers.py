"""Scenarios of lost answers."""

import pytest_bdd

pytest_bdd.scenarios('features/lost_answers.feature')
