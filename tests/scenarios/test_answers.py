"""Scenarios of features/answers.feature."""

import pytest_bdd

pytest_bdd.scenarios('features/answers.feature')
