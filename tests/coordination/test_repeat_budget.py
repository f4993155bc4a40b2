"""Tests of the budget of calls that a daemon may send again."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from sassafraswood import clock
from sassafraswood.coordination import repeat_budget
from sassafraswood.models import ids

SERVICE = ids.ServiceName('halls')
RATIO = 0.2
SLACK = 40.0
WINDOW_S = 10.0


def make_budget(now: clock.ManualClock, members: int = 1):
    """Return the budget of one daemon in a fleet."""
    budget = repeat_budget.RepeatBudget(
        clock=now, ratio=RATIO, slack=SLACK, window_s=WINDOW_S
    )
    budget.set_member_count(members)
    return budget


def test_budget_of_the_window_may_be_spent_at_once() -> None:
    """Guards against a lost burst whose calls cannot be repeated.

    Responses are lost within a few seconds, not evenly over the window.
    """
    now = clock.ManualClock()
    budget = make_budget(now, members=1000)
    for _ in range(900):
        budget.count_request(SERVICE, 0)
        now.advance(0.01)
    taken = sum(budget.take(SERVICE, 0) for _ in range(200))
    assert taken == 0.5 * RATIO * 900
    now.advance(WINDOW_S + 1.0)
    assert not budget.take(SERVICE, 0)


def test_deeper_calls_get_less() -> None:
    """Guards against repeats that multiply over the levels of a call graph.

    Each repeated call repeats all calls below it.
    """
    taken = []
    for depth in range(4):
        now = clock.ManualClock()
        budget = make_budget(now)
        for _ in range(1000):
            budget.count_request(SERVICE, depth)
        taken.append(sum(budget.take(SERVICE, depth) for _ in range(1000)))
    assert taken == [120, 60, 30, 15]
    assert sum(taken) <= RATIO * 1000 + SLACK


def test_slack_is_shared_by_all_daemons() -> None:
    """Guards against a slack that grows with the number of daemons."""
    now = clock.ManualClock()
    budgets = [make_budget(now, members=20) for _ in range(20)]
    taken = sum(
        budget.take(SERVICE, depth)
        for budget in budgets
        for depth in range(12)
        for _ in range(10)
    )
    assert taken <= SLACK


# Load: all upstreams of a service reject a part of their requests.
def test_urgent_calls_get_the_last_repeats() -> None:
    """Guards against repeats that are spread too thinly to save call trees.

    Four call trees ask for each repeat that is allowed; one of the four is
    urgent. Of equally urgent ones, those that have made calls go first.
    """
    now = clock.ManualClock()
    budget = make_budget(now, members=1000)
    ranks = [
        repeat_budget.Rank(urgency, siblings)
        for urgency in (0.0, 0.0, 0.0, 1.0)
        for siblings in (0, 1)
    ]
    granted = dict.fromkeys(ranks, 0)
    for second in range(40):
        for _ in range(20):
            for rank in ranks:
                for _ in range(2):
                    budget.count_request(SERVICE, 0)
                if budget.take(SERVICE, 0, rank) and second >= 20:
                    granted[rank] += 1
            now.advance(0.05)
    total = sum(granted.values())
    # A tenth of the requests, of which there were 16 in each of 400 rounds.
    assert 0.9 * 640 <= total <= 1.05 * 640
    assert granted[repeat_budget.Rank(1.0, 1)] >= 0.95 * 400
    assert granted[repeat_budget.Rank(1.0, 0)] >= 0.8 * (total - 400)


def test_less_urgent_calls_get_repeats_that_nobody_else_wants() -> None:
    """Guards against a budget that is kept for calls that don't come."""
    now = clock.ManualClock()
    budget = make_budget(now, members=1000)
    for _ in range(1000):
        budget.count_request(SERVICE, 0)
    assert budget.take(SERVICE, 0, repeat_budget.HIGHEST_RANK)
    now.advance(5.0)
    lowest = repeat_budget.Rank(urgency=0.0)
    assert sum(budget.take(SERVICE, 0, lowest) for _ in range(200)) >= 97


def test_changed_bounds_give_nothing_back() -> None:
    """Guards against a change of settings that resets the spent budget."""
    now = clock.ManualClock()
    budget = make_budget(now)
    assert sum(budget.take(SERVICE, 0) for _ in range(100)) == 20
    budget.set_bounds(ratio=RATIO, slack=SLACK / 2.0, window_s=WINDOW_S)
    budget.set_bounds(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)
    budget.set_member_count(1)
    assert not budget.take(SERVICE, 0)


def _count_in_window(times: list[float], start: float) -> int:
    return sum(start <= at < start + WINDOW_S for at in times)


@settings(max_examples=200, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 4.0),
            strategies.integers(1, 40),
            strategies.floats(0.0, 1.0),
        ),
        min_size=1,
        max_size=30,
    )
)
def test_no_window_holds_more_than_allowed(steps) -> None:
    """Guards against timings of requests that exceed the budget.

    Calls of one level, with random pauses and failures.
    """
    now = clock.ManualClock(monotonic_s=1000.0)
    budget = make_budget(now)
    requests: list[float] = []
    repeats: list[float] = []
    for pause_s, count, failed_fraction in steps:
        now.advance(pause_s)
        for _ in range(count):
            budget.count_request(SERVICE, 0)
            requests.append(now.monotonic())
        for _ in range(int(failed_fraction * count)):
            if budget.take(SERVICE, 0):
                repeats.append(now.monotonic())
    for start in itertools.chain(repeats, [at - 9.999 for at in repeats]):
        allowed = max(
            _count_in_window(requests, start - shift)
            for shift in (0.0, WINDOW_S / 2.0, WINDOW_S)
        )
        # This level gets half of the ratio and the slack; the other half
        # covers requests that are split between the three windows.
        assert _count_in_window(repeats, start) <= RATIO * allowed + SLACK
