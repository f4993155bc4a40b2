"""Scenarios of whole answers."""

import pytest_bdd

pytest_bdd.scenarios('features/answers.feature')
