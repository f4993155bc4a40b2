"""Tests of the figures of the overload experiment."""

import pytest

from lab import overload_figures
from lab import overload_plan


def test_max_min_division_gives_the_rest_of_small_demands_to_others() -> None:
    """Guards against fair shares that exceed the demand of a workspace."""
    parts = overload_figures.divide_max_min(
        100.0,
        {'small': 10.0, 'large': 200.0, 'other': 200.0},
        {'small': 1.0, 'large': 3.0, 'other': 1.0},
    )
    assert parts == pytest.approx({'small': 10, 'large': 67.5, 'other': 22.5})


def test_answer_to_late_retry_is_not_prompt() -> None:
    """Guards against retries after the timeout that hide a late recovery."""
    original = overload_plan.OriginalCall(
        id='1',
        kind='side',
        workspace='small-1',
        importance='low',
        method='GET',
        sent_s=10.0,
        attempts=[(10.0, 2.0, 0, 'no answer in time'), (12.0, 0.5, 200, '')],
    )
    assert original.is_answered
    assert not original.is_prompt
