"""Tests of how long calls wait for an upstream, under load."""

import pytest

from sassafraswood.coordination import call_schedule


def measure(run_s: float, *, until: float) -> call_schedule.CallSchedule:
    """Return a schedule that has measured runs of the route `hold`."""
    schedule = call_schedule.CallSchedule()
    for index in range(call_schedule.MIN_RUNS):
        schedule.note_run('hold', run_s, until - 0.01 * index)
    return schedule


def note_calls(
    target_s: float, times_s: list[float], usual_s: float
) -> call_schedule.KindSchedule:
    """Return the schedule of a kind after calls with these times."""
    times_given = call_schedule.TimesGiven()
    kind = call_schedule.KindSchedule(urgency=0.0)
    for time_s in times_s:
        kind.note_call(
            target_s=target_s,
            time_left_s=time_s,
            usual_s=usual_s,
            has_slack=times_given.note_call('hold', target_s, time_s),
        )
    return kind


# Load: more calls than slots, of routes whose targets leave room for a return.
@pytest.mark.parametrize(
    ('target_s', 'time_s'), [(1.5, 5.0), (0.5, 2.5), (0.2, 0.8), (1.2, 5.0)]
)
def test_call_with_a_short_target_waits_an_eighth(
    target_s: float, time_s: float
) -> None:
    """Callers that came back, with less time left, do not change that."""
    kind = note_calls(target_s, [time_s, 0.6 * time_s, 0.3 * time_s], 0.01)
    assert not kind.has_slack
    assert kind.wait_s == 0.125 * target_s


# Load: a surge of calls whose target is nearly their deadline.
def test_call_with_slack_waits_and_can_still_come_back() -> None:
    """Two such waits, the return and a usual run end by the deadline."""
    kind = note_calls(4.0, [5.0], 0.8)
    assert kind.has_slack
    assert kind.wait_s > 2 * 0.125 * 4.0
    latest_return_s = call_schedule.compute_retry_after_s(
        target_s=4.0, left_s=5.0, wait_s=9.0, urgency=0.0, jitter=1.0
    )
    assert kind.wait_s + latest_return_s + 0.8 <= 4.0


# Load: the upstream became slow, so that runs take the whole target.
def test_slow_upstream_leaves_no_slack_to_wait() -> None:
    """The wait is that of calls without slack."""
    assert note_calls(4.0, [5.0], 3.9).wait_s == 0.125 * 4.0


# Load: calls that come so late that they would be broken off.
def test_call_that_cannot_end_is_known_by_measured_runs() -> None:
    """A few quick runs among slow ones are enough to let it start."""
    schedule = measure(0.5, until=1.0)
    assert not schedule.can_end('hold', 1.3, 1.0)
    assert schedule.can_end('hold', 1.6, 1.0)
    assert schedule.can_end('other', 1.3, 1.0)


# Failure: an upstream was slow and recovers while all its calls are refused.
def test_old_measurements_refuse_nothing() -> None:
    """Otherwise no run would ever show that it has recovered."""
    schedule = measure(0.5, until=1.0)
    later = 1.0 + call_schedule.DURATION_LIFETIME_S + 0.1
    assert schedule.can_end('hold', later + 0.1, later)


# Load: many calls with slack are refused at the same moment.
def test_returns_of_one_moment_are_spread() -> None:
    """Guards against all callers at the bound of the delay."""
    delays_s = [
        call_schedule.compute_retry_after_s(
            target_s=4.0,
            left_s=5.0,
            wait_s=2.0,
            urgency=0.5,
            jitter=index / 99,
        )
        for index in range(100)
    ]
    latest_s = 0.3 * 5.0
    assert max(delays_s) <= latest_s
    assert sum(delay_s > 0.99 * latest_s for delay_s in delays_s) < 10
    assert max(delays_s) - min(delays_s) > 0.3 * latest_s


def test_return_of_a_call_with_a_short_target_is_unchanged() -> None:
    """From a quarter of the target on, whatever the queue."""
    for jitter in (0.0, 0.5, 1.0):
        delay_s = call_schedule.compute_retry_after_s(
            target_s=1.5, left_s=5.0, wait_s=3.0, urgency=0.0, jitter=jitter
        )
        assert delay_s == pytest.approx((0.25 + 0.3 * jitter) * 1.5)
