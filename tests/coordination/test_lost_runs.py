"""Tests of the runs that got no answer."""

from sassafraswood import clock
from sassafraswood.coordination import lost_runs

KIND = (b'GET / HTTP/1.1', 'blue', 0)
OTHER = (b'GET /a HTTP/1.1', 'blue', 0)


def make_runs() -> tuple[lost_runs.LostRuns[str], clock.ManualClock]:
    """Return runs of an upstream and their clock."""
    now = clock.ManualClock()
    return lost_runs.LostRuns(now), now


def test_lost_run_may_have_ended_with_the_upstream() -> None:
    """Once; it is taken then."""
    runs, now = make_runs()
    runs.note_lost('a', now.monotonic() - 0.1, 1)
    assert runs.has_lost
    assert [item.call for item in runs.take()] == ['a']
    assert runs.take() == []


# Guards against refusals of common requests that were sent to a dead port.
def test_run_that_began_after_the_first_break_was_not_there() -> None:
    """The upstream had ended before."""
    runs, now = make_runs()
    started_at = now.monotonic()
    now.advance(0.1)
    runs.note_lost('a', started_at, 1)
    now.advance(0.001)
    runs.note_lost('late', now.monotonic(), 1)
    now.advance(0.001)
    runs.note_lost('b', started_at, 1)
    first, second = runs.take()
    assert (first.call, second.call) == ('a', 'b')
    assert first.ended_at == second.ended_at


def test_break_long_before_is_another_matter() -> None:
    """An answer was lost; the next run ends with the upstream."""
    runs, now = make_runs()
    runs.note_lost('a', now.monotonic() - 0.1, 1)
    now.advance(1.0)
    started_at = now.monotonic()
    now.advance(0.01)
    runs.note_lost('b', started_at, 1)
    assert [item.call for item in runs.take()] == ['a', 'b']


def test_caller_that_left_ends_no_upstream() -> None:
    """Runs that began after it may have ended with the upstream."""
    runs, now = make_runs()
    runs.note_lost('a', now.monotonic(), 1, is_broken=False)
    runs.note_lost('b', now.monotonic(), 1, is_broken=False)
    assert [item.call for item in runs.take()] == ['a', 'b']


def test_answer_on_an_older_connection_clears_it() -> None:
    """The process that holds the connection lives."""
    runs, now = make_runs()
    runs.note_lost('a', now.monotonic(), 1)
    now.advance(0.1)
    runs.note_answer(KIND, now.monotonic(), 1)
    assert not runs.has_lost


def test_answer_on_a_newer_connection_shows_nothing() -> None:
    """It may be that of the next process."""
    runs, now = make_runs()
    runs.note_lost('a', now.monotonic(), 1)
    now.advance(0.1)
    runs.note_answer(KIND, now.monotonic(), 2)
    assert runs.has_lost


def test_answer_to_an_earlier_request_shows_nothing() -> None:
    """It may have been on its way at the end."""
    runs, now = make_runs()
    started_at = now.monotonic()
    now.advance(0.1)
    runs.note_lost('a', now.monotonic(), 1)
    runs.note_answer(KIND, started_at, 1)
    assert runs.has_lost


def test_lost_run_is_forgotten_in_time() -> None:
    """An end would have been noticed."""
    runs, now = make_runs()
    runs.note_lost('a', now.monotonic(), 1)
    now.advance(lost_runs.MAX_AGE_S + 0.1)
    assert not runs.has_lost
    assert runs.take() == []


def test_rates_are_of_the_last_time() -> None:
    """A kind that is not seen yet counts as half an answer."""
    runs, now = make_runs()
    for _ in range(100):
        now.advance(0.1)
        runs.note_answer(KIND, now.monotonic(), 1)
    assert 9.0 < runs.rate_per_s(KIND) < 11.0
    assert 0.0 < runs.rate_per_s(OTHER) < 0.1
    for _ in range(300):
        now.advance(0.1)
        runs.note_answer(OTHER, now.monotonic(), 1)
    assert runs.rate_per_s(KIND) < 0.1


# Guards against refusals of common requests just after traffic has begun.
def test_rate_is_that_of_the_busiest_second() -> None:
    """Quiet times before it would make it look rare."""
    runs, now = make_runs()
    now.advance(8.0)
    for _ in range(20):
        now.advance(0.1)
        runs.note_answer(KIND, now.monotonic(), 1)
    assert 9.0 <= runs.rate_per_s(KIND) <= 11.0
    # One answer is no wave.
    runs.note_answer(OTHER, now.monotonic(), 1)
    assert runs.rate_per_s(OTHER) < 0.2


def test_kinds_are_bounded() -> None:
    """Many that come once do not push out what comes often."""
    runs, now = make_runs()
    for index in range(3 * lost_runs.MAX_KINDS):
        now.advance(0.0001)
        runs.note_answer((b'%d' % index, '', 0), now.monotonic(), 1)
        if index % 10 == 0:
            runs.note_answer(KIND, now.monotonic(), 1)
    assert len(runs._answered) <= lost_runs.MAX_KINDS
    assert runs.rate_per_s(KIND) > 100.0
