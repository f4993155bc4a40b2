"""Tests of the requests that crash their upstreams."""

from sassafraswood import clock
from sassafraswood.coordination import crash_counts
from sassafraswood.models import ids

POISON = ids.Fingerprint('poison')


def test_second_upstream_that_crashes_is_the_last() -> None:
    """Others that were in flight at one of them are not refused."""
    counts = crash_counts.CrashCounts(clock.ManualClock())
    assert counts.note_crash('i1', [POISON, ids.Fingerprint('a')]) == []
    assert not counts.is_refused(POISON)
    found = counts.note_crash('i2', [ids.Fingerprint('b'), POISON])
    assert found == [POISON]
    assert counts.is_refused(POISON)
    assert not counts.is_refused(ids.Fingerprint('a'))


def test_one_crash_told_twice_counts_once() -> None:
    """Reports arrive over several daemons."""
    counts = crash_counts.CrashCounts(clock.ManualClock())
    counts.note_crash('i1', [POISON])
    counts.note_crash('i1', [POISON])
    assert not counts.is_refused(POISON)


def test_refusals_end_by_themselves() -> None:
    """The fault may have been mended."""
    now = clock.ManualClock()
    counts = crash_counts.CrashCounts(now)
    assert counts.refuse([POISON]) == [POISON]
    assert counts.refuse([POISON]) == []
    assert counts.has_refused
    now.advance(crash_counts.MEMORY_S + 1.0)
    assert not counts.is_refused(POISON)
    counts.note_crash('i1', [])
    assert not counts.has_refused


def test_crashes_long_apart_are_by_chance() -> None:
    """The first one is forgotten."""
    now = clock.ManualClock()
    counts = crash_counts.CrashCounts(now)
    counts.note_crash('i1', [POISON])
    now.advance(crash_counts.MEMORY_S + 1.0)
    assert counts.note_crash('i2', [POISON]) == []


def test_memory_is_bounded() -> None:
    """The oldest crashes go first."""
    counts = crash_counts.CrashCounts(clock.ManualClock())
    counts.note_crash('i1', [POISON])
    for index in range(crash_counts.MAX_ENTRIES):
        counts.note_crash('i1', [ids.Fingerprint(f'f{index}')])
    assert counts.note_crash('i2', [POISON]) == []
