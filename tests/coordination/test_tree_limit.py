"""Tests of the limit of call trees."""

from sassafraswood.coordination import tree_limit


def run(
    limit: tree_limit.TreeLimit,
    *,
    load: float,
    seconds: float,
    urgency: float = 0.0,
    start: float = 0.0,
) -> float:
    """Let time pass with all of the limit in use; return the time."""
    now = start
    while now < start + seconds:
        while limit.has_room:
            limit.note_start()
        while limit.in_flight > int(limit.limit):
            limit.note_end()
        now += 0.05
        limit.update(now, urgency, load)
    return now


def test_grows_while_the_services_below_have_room() -> None:
    """The whole capacity is reached within seconds."""
    limit = tree_limit.TreeLimit(capacity=48, now=0.0)
    run(limit, load=0.5, seconds=5.0)
    assert limit.limit == 48


def test_load_below_cuts_in_proportion() -> None:
    """At twice the load half of the calls are too many."""
    limit = tree_limit.TreeLimit(capacity=48, now=0.0)
    now = run(limit, load=0.5, seconds=5.0)
    run(limit, load=2.4, seconds=0.3, start=now)
    assert 20 <= limit.limit <= 28


def test_next_cut_waits_for_the_effect() -> None:
    """The load is known late; cuts for it must not add up."""
    limit = tree_limit.TreeLimit(capacity=48, now=0.0)
    now = run(limit, load=0.5, seconds=5.0)
    run(limit, load=2.4, seconds=0.9, start=now)
    assert limit.limit >= 20


def test_urgent_calls_give_way_last() -> None:
    """At a load that cuts the least urgent ones they still grow."""
    least = tree_limit.TreeLimit(capacity=48, now=0.0)
    most = tree_limit.TreeLimit(capacity=48, now=0.0)
    run(least, load=1.6, seconds=4.0)
    run(most, load=1.6, seconds=4.0, urgency=1.0)
    assert most.limit > 4 * least.limit


def test_limits_of_upstreams_become_even() -> None:
    """Equal steps up and cuts in proportion end the difference."""
    low = tree_limit.TreeLimit(capacity=100, now=0.0)
    high = tree_limit.TreeLimit(capacity=100, now=0.0)
    run(low, load=3.0, seconds=5.0)
    run(high, load=0.5, seconds=5.0)
    before = high.limit / low.limit
    now = 5.0
    for _ in range(10):
        run(low, load=1.0, seconds=2.0, start=now)
        run(high, load=1.0, seconds=2.0, start=now)
        run(low, load=1.8, seconds=0.3, start=now + 2.0)
        run(high, load=1.8, seconds=0.3, start=now + 2.0)
        now += 2.3
    assert high.limit / low.limit < before / 5


def test_some_call_may_always_run() -> None:
    """A route is never shut off whole, or its recovery would not show."""
    limit = tree_limit.TreeLimit(capacity=48, now=0.0)
    run(limit, load=9.0, seconds=20.0)
    assert limit.limit >= 1.0
