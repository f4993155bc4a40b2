"""Scenarios of lost answers of the log."""

import pytest_bdd

pytest_bdd.scenarios('features/lost_answers.feature')
