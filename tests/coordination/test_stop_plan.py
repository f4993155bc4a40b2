"""Tests of which calls a stopping daemon still takes."""

from sassafraswood import clock
from sassafraswood.coordination import stop_plan
from sassafraswood.state import route_maxima


def make_plan(
    duration_s: float, calls: int = stop_plan.MIN_CALLS
) -> tuple[clock.ManualClock, stop_plan.StopPlan]:
    """Return a plan after some calls of one route."""
    manual_clock = clock.ManualClock()
    plan = stop_plan.StopPlan(manual_clock)
    for _ in range(calls):
        started_at = manual_clock.monotonic()
        manual_clock.advance(duration_s)
        plan.note_end('read', started_at)
    return manual_clock, plan


def test_every_call_begins_before_a_stop() -> None:
    """Only a stop limits the time in which a call has to end."""
    _, plan = make_plan(2.0)
    assert plan.may_begin('read', 60.0)


# Guards against calls that are taken late in a stop and cut off at its end.
def test_call_begins_only_if_it_can_end_before_the_process() -> None:
    """The durations of its route decide, and its own time limit."""
    manual_clock, plan = make_plan(1.0)
    plan.begin(5.0)
    assert plan.may_begin('read', 60.0)
    manual_clock.advance(3.5)
    assert plan.may_begin('read', 60.0)
    manual_clock.advance(0.2)
    assert not plan.may_begin('read', 60.0)
    assert plan.may_begin('read', 1.0)
    assert plan.left_s < 1.3


# Guards against late calls that are cut off since their service becomes slow.
def test_request_that_arrives_late_needs_a_larger_margin() -> None:
    """One that arrived before is taken as long as ever."""
    manual_clock, plan = make_plan(0.05)
    began_at = manual_clock.monotonic()
    plan.begin(5.0)
    manual_clock.advance(stop_plan.EARLY_S + 0.1)
    assert plan.may_begin('read', 60.0, manual_clock.monotonic())
    manual_clock.advance(1.1)
    assert not plan.may_begin('read', 60.0, manual_clock.monotonic())
    assert plan.may_begin('read', 60.0, began_at + stop_plan.EARLY_S)
    assert plan.may_begin('read', 0.6, manual_clock.monotonic())


def test_call_of_an_unknown_duration_needs_its_whole_time_limit() -> None:
    """Few calls say nothing of the next one."""
    _, plan = make_plan(0.01, calls=stop_plan.MIN_CALLS - 1)
    plan.begin(5.0)
    assert not plan.may_begin('read', 6.0)
    assert not plan.may_begin('other', 6.0)
    assert plan.may_begin('other', 4.0)


def test_running_calls_show_that_a_route_has_become_slow() -> None:
    """A call in flight counts with its age."""
    manual_clock, plan = make_plan(0.01)
    started_at = manual_clock.monotonic()
    plan.begin(5.0)
    manual_clock.advance(2.3)
    assert plan.may_begin('read', 60.0)
    plan.note_running('read', started_at)
    assert not plan.may_begin('read', 60.0)


def test_old_durations_are_forgotten() -> None:
    """An upstream that was slow minutes ago delays no later stop."""
    manual_clock, plan = make_plan(4.0)
    for _ in range(2 * stop_plan.MIN_CALLS):
        manual_clock.advance(route_maxima.WINDOW_S / 4)
        plan.note_end('read', manual_clock.monotonic() - 0.01)
    plan.begin(3.0)
    assert plan.may_begin('read', 60.0)
