"""Tests of the limit on call trees."""

from sassafraswood.coordination import tree_limit


def run_at_limit(
    limit: tree_limit.TreeLimit,
    *,
    load: float,
    seconds: float,
    urgency: float = 0.0,
    start: float = 0.0,
) -> float:
    """Advance the time with the whole limit in use; return the end time."""
    now = start
    while now < start + seconds:
        while limit.has_room:
            limit.note_start()
        while limit.in_flight > int(limit.limit):
            limit.note_end()
        now += 0.05
        limit.update(now, urgency, load)
    return now


def test_limit_grows_while_downstream_services_have_free_slots() -> None:
    """Guards against a limit that stays low while slots are free."""
    limit = tree_limit.TreeLimit(capacity=48, now=0.0)
    run_at_limit(limit, load=0.5, seconds=5.0)
    assert limit.limit == 48


def test_cut_is_proportional_to_downstream_load() -> None:
    """Guards against a cut that does not match the downstream load."""
    limit = tree_limit.TreeLimit(capacity=48, now=0.0)
    now = run_at_limit(limit, load=0.5, seconds=5.0)
    run_at_limit(limit, load=2.4, seconds=0.3, start=now)
    assert 20 <= limit.limit <= 28


def test_next_cut_waits_for_the_effect_of_the_last() -> None:
    """Guards against repeated cuts for one load that is reported late."""
    limit = tree_limit.TreeLimit(capacity=48, now=0.0)
    now = run_at_limit(limit, load=0.5, seconds=5.0)
    run_at_limit(limit, load=2.4, seconds=0.9, start=now)
    assert limit.limit >= 20


def test_urgent_calls_are_cut_last() -> None:
    """Guards against a load that cuts urgent calls like the others."""
    least_urgent = tree_limit.TreeLimit(capacity=48, now=0.0)
    most_urgent = tree_limit.TreeLimit(capacity=48, now=0.0)
    run_at_limit(least_urgent, load=1.6, seconds=4.0)
    run_at_limit(most_urgent, load=1.6, seconds=4.0, urgency=1.0)
    assert most_urgent.limit > 4 * least_urgent.limit


def test_limits_of_upstreams_converge() -> None:
    """Guards against limits of several upstreams that stay unequal."""
    smaller = tree_limit.TreeLimit(capacity=100, now=0.0)
    larger = tree_limit.TreeLimit(capacity=100, now=0.0)
    run_at_limit(smaller, load=3.0, seconds=5.0)
    run_at_limit(larger, load=0.5, seconds=5.0)
    initial_ratio = larger.limit / smaller.limit
    now = 5.0
    for _ in range(10):
        run_at_limit(smaller, load=1.0, seconds=2.0, start=now)
        run_at_limit(larger, load=1.0, seconds=2.0, start=now)
        run_at_limit(smaller, load=1.8, seconds=0.3, start=now + 2.0)
        run_at_limit(larger, load=1.8, seconds=0.3, start=now + 2.0)
        now += 2.3
    assert larger.limit / smaller.limit < initial_ratio / 5


def test_limit_never_falls_below_one_call() -> None:
    """Guards against a closed route, whose recovery goes undetected."""
    limit = tree_limit.TreeLimit(capacity=48, now=0.0)
    run_at_limit(limit, load=9.0, seconds=20.0)
    assert limit.limit >= 1.0
