"""Tests of runs that were lost before a response arrived."""

from sassafraswood import clock
from sassafraswood.coordination import lost_runs

KIND = (b'GET / HTTP/1.1', 'blue', 0)
OTHER = (b'GET /a HTTP/1.1', 'blue', 0)


def make_runs() -> tuple[lost_runs.LostRuns[str], clock.ManualClock]:
    """Return the lost runs of an upstream and their clock."""
    now = clock.ManualClock()
    return lost_runs.LostRuns(now), now


def test_lost_run_is_returned_once() -> None:
    """Guards against a lost run that is blamed for two crashes."""
    runs, now = make_runs()
    runs.record_lost_run('a', now.monotonic() - 0.1, 1)
    assert runs.has_recent_losses
    assert [item.call for item in runs.take()] == ['a']
    assert runs.take() == []


def test_run_begun_after_first_break_is_left_out() -> None:
    """Guards against refusals of common requests.

    Requests that are still sent to the port of a crashed upstream break as
    well, but cannot have caused the crash.
    """
    runs, now = make_runs()
    started_at = now.monotonic()
    now.advance(0.1)
    runs.record_lost_run('a', started_at, 1)
    now.advance(0.001)
    runs.record_lost_run('late', now.monotonic(), 1)
    now.advance(0.001)
    runs.record_lost_run('b', started_at, 1)
    first, second = runs.take()
    assert (first.call, second.call) == ('a', 'b')
    assert first.ended_at == second.ended_at


def test_earlier_break_starts_a_series_of_its_own() -> None:
    """Guards against leaving out the run that caused the crash.

    A single lost response precedes the crash by more than the gap between
    breaks of one series.
    """
    runs, now = make_runs()
    runs.record_lost_run('a', now.monotonic() - 0.1, 1)
    now.advance(1.0)
    started_at = now.monotonic()
    now.advance(0.01)
    runs.record_lost_run('b', started_at, 1)
    assert [item.call for item in runs.take()] == ['a', 'b']


def test_disconnected_caller_starts_no_series_of_breaks() -> None:
    """Guards against leaving out runs that began after a disconnect.

    Only a broken connection shows that the upstream may have ended.
    """
    runs, now = make_runs()
    runs.record_lost_run('a', now.monotonic(), 1, is_broken=False)
    runs.record_lost_run('b', now.monotonic(), 1, is_broken=False)
    assert [item.call for item in runs.take()] == ['a', 'b']


def test_response_on_an_older_connection_clears_run() -> None:
    """The process that holds the connection is still alive."""
    runs, now = make_runs()
    runs.record_lost_run('a', now.monotonic(), 1)
    now.advance(0.1)
    runs.note_response(KIND, now.monotonic(), 1)
    assert not runs.has_recent_losses


def test_response_on_a_newer_connection_keeps_run() -> None:
    """The connection may belong to the next process."""
    runs, now = make_runs()
    runs.record_lost_run('a', now.monotonic(), 1)
    now.advance(0.1)
    runs.note_response(KIND, now.monotonic(), 2)
    assert runs.has_recent_losses


def test_response_to_an_earlier_request_keeps_run() -> None:
    """The response may have been in flight when the run was lost."""
    runs, now = make_runs()
    started_at = now.monotonic()
    now.advance(0.1)
    runs.record_lost_run('a', now.monotonic(), 1)
    runs.note_response(KIND, started_at, 1)
    assert runs.has_recent_losses


def test_lost_run_expires() -> None:
    """After this time a crash would have been detected."""
    runs, now = make_runs()
    runs.record_lost_run('a', now.monotonic(), 1)
    now.advance(lost_runs.MAX_AGE_S + 0.1)
    assert not runs.has_recent_losses
    assert runs.take() == []


def test_rate_covers_recent_periods_only() -> None:
    """A kind without responses counts as half a response."""
    runs, now = make_runs()
    for _ in range(100):
        now.advance(0.1)
        runs.note_response(KIND, now.monotonic(), 1)
    assert 9.0 < runs.rate_per_s(KIND) < 11.0
    assert 0.0 < runs.rate_per_s(OTHER) < 0.1
    for _ in range(300):
        now.advance(0.1)
        runs.note_response(OTHER, now.monotonic(), 1)
    assert runs.rate_per_s(KIND) < 0.1


def test_rate_is_that_of_the_busiest_window() -> None:
    """Guards against refusals of common requests when traffic begins.

    The mean over a period that was mostly idle makes them look rare.
    """
    runs, now = make_runs()
    now.advance(8.0)
    for _ in range(20):
        now.advance(0.1)
        runs.note_response(KIND, now.monotonic(), 1)
    assert 9.0 <= runs.rate_per_s(KIND) <= 11.0
    # A single response does not count as a peak.
    runs.note_response(OTHER, now.monotonic(), 1)
    assert runs.rate_per_s(OTHER) < 0.2


def test_count_of_kinds_is_bounded() -> None:
    """Guards against rare kinds that evict the count of a common one."""
    runs, now = make_runs()
    for index in range(3 * lost_runs.MAX_KINDS):
        now.advance(0.0001)
        runs.note_response((b'%d' % index, '', 0), now.monotonic(), 1)
        if index % 10 == 0:
            runs.note_response(KIND, now.monotonic(), 1)
    assert len(runs._response_counts) <= lost_runs.MAX_KINDS
    assert runs.rate_per_s(KIND) > 100.0
