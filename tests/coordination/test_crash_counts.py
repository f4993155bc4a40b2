"""Tests of the requests that crash their upstreams."""

import itertools

from sassafraswood import clock
from sassafraswood.coordination import crash_counts
from sassafraswood.models import crash
from sassafraswood.models import ids

POISON = ids.Fingerprint('poison')
SERVICE = ids.ServiceName('ordering')
OTHER = ids.ServiceName('donations')
_numbers = itertools.count()


def suspect(
    fingerprint: str,
    rate_per_s: float = 0.05,
    age_s: float = 0.002,
    *,
    is_repeat: bool = False,
) -> crash.Suspect:
    """Return a request that few others send."""
    return crash.Suspect(
        fingerprint=ids.Fingerprint(fingerprint),
        rate_per_s=rate_per_s,
        age_s=age_s,
        is_repeat=is_repeat,
    )


def end(*suspects, service: ids.ServiceName = SERVICE) -> crash.CrashRecord:
    """Return an end of another upstream."""
    return crash.CrashRecord(
        record_id=f'r{next(_numbers)}',
        service=service,
        ended_at=0.0,
        suspects=tuple(
            item if isinstance(item, crash.Suspect) else suspect(item)
            for item in suspects
        ),
    )


def make_counts() -> tuple[crash_counts.CrashCounts, clock.ManualClock]:
    """Return counts without ends and their clock."""
    now = clock.ManualClock()
    return crash_counts.CrashCounts(now), now


def test_second_upstream_that_ends_is_the_last() -> None:
    """Others that were in flight at one of them are not refused."""
    counts, _ = make_counts()
    assert counts.add(end(POISON, 'a')) == []
    assert not counts.is_refused(POISON)
    (verdict,) = counts.add(end('b', POISON))
    assert verdict.fingerprint == POISON
    assert counts.is_refused(POISON)
    assert not counts.is_refused(ids.Fingerprint('a'))


def test_one_end_told_twice_counts_once() -> None:
    """Reports arrive over several daemons, and again."""
    counts, _ = make_counts()
    record = end(POISON)
    counts.add(record)
    counts.add(record)
    assert counts.count(POISON) == 1
    assert not counts.is_refused(POISON)


def test_upstream_that_ends_twice_counts_twice() -> None:
    """It may return under the same id."""
    counts, _ = make_counts()
    counts.add(end(POISON))
    counts.add(end(POISON))
    assert counts.is_refused(POISON)


def test_many_that_met_two_ends_wait_for_the_third() -> None:
    """Their repeats have followed the request to the next upstream."""
    counts, _ = make_counts()
    crowd = [f'c{index}' for index in range(40)]
    counts.add(end(POISON, *crowd))
    assert counts.add(end(POISON, *crowd)) == []
    (verdict,) = counts.add(end(POISON, 'd'))
    assert verdict.fingerprint == POISON


# Guards against refusals of what is repeated beside the request.
def test_repeat_of_the_same_call_says_little() -> None:
    """It followed the request to the next upstream; a new call did not."""
    counts, _ = make_counts()
    for name in ('innocent', POISON):
        assert counts.add(end(name)) == []
    counts.add(
        end(
            suspect('innocent', is_repeat=True),
            suspect(POISON, is_repeat=True),
        )
    )
    assert not counts.has_refused
    (verdict,) = counts.add(end(POISON))
    assert verdict.fingerprint == POISON


def test_requests_at_once_are_all_refused() -> None:
    """Two or three that crash upstreams share the blame."""
    counts, _ = make_counts()
    three = ('p1', 'p2', 'p3')
    for _ in range(3):
        counts.add(end(*three))
    assert all(counts.is_refused(ids.Fingerprint(item)) for item in three)


def test_common_request_is_in_flight_by_chance() -> None:
    """One that comes all the time is in flight at any end."""
    counts, _ = make_counts()
    for _ in range(20):
        counts.add(end(suspect('common', rate_per_s=50.0, age_s=0.1)))
    assert not counts.has_refused


def test_common_request_that_begins_at_each_end_is_refused() -> None:
    """Chance would have it begin at other times too."""
    counts, _ = make_counts()
    for _ in range(3):
        counts.add(end(suspect('alike', rate_per_s=5.0, age_s=0.002)))
    assert counts.is_refused(ids.Fingerprint('alike'))


def test_many_ends_of_other_causes_ask_for_more_evidence() -> None:
    """Among 30, a request meets two by chance, and three hardly."""
    counts, _ = make_counts()
    for index in range(30):
        counts.add(end(f'a{index}'))
    counts.add(end(POISON))
    counts.add(end(POISON))
    assert not counts.is_refused(POISON)
    ends = 2
    while not counts.is_refused(POISON):
        counts.add(end(POISON))
        ends += 1
    # Three, and three more that are allowed.
    assert ends <= 6


def test_ends_of_other_services_do_not_count() -> None:
    """The request was not there."""
    counts, _ = make_counts()
    for index in range(30):
        counts.add(end(f'a{index}', service=OTHER))
    counts.add(end(POISON))
    counts.add(end(POISON))
    assert counts.is_refused(POISON)


def test_request_whose_route_moves_keeps_its_ends() -> None:
    """It crashes an upstream of each service."""
    counts, _ = make_counts()
    counts.add(end(POISON))
    counts.add(end(POISON, service=OTHER))
    assert counts.is_refused(POISON)


# Guards against an innocent request that is refused for good.
def test_refused_request_is_let_in_again() -> None:
    """After a stated time, which grows with each further end."""
    counts, now = make_counts()
    counts.add(end(POISON))
    counts.add(end(POISON))
    assert counts.refused_for_s(POISON) == crash_counts.REFUSAL_S
    now.advance(crash_counts.REFUSAL_S)
    assert not counts.is_refused(POISON)
    # One further end is enough.
    (verdict,) = counts.add(end(POISON))
    assert verdict.round == 2
    assert counts.refused_for_s(POISON) == (
        crash_counts.REFUSAL_S * crash_counts.REFUSAL_GROWTH
    )


# Guards against arrivals of a request that comes again for hours.
def test_three_further_ends_take_an_hour() -> None:
    """Each time that it is let in costs one upstream."""
    counts, now = make_counts()
    counts.add(end(POISON))
    counts.add(end(POISON))
    further = 0
    for _ in range(3600):
        now.advance(1.0)
        if not counts.is_refused(POISON):
            counts.add(end(POISON))
            further += 1
    # Two upstreams had ended; the third and three more are allowed.
    assert further <= 4


def test_common_request_is_not_refused_again_by_chance() -> None:
    """It was refused wrongly."""
    counts, now = make_counts()
    counts.merge([crash.Verdict(fingerprint=POISON, round=1, left_s=1.0)])
    now.advance(2.0)
    counts.add(end(suspect(POISON, rate_per_s=50.0, age_s=0.1)))
    assert not counts.is_refused(POISON)


def test_refusal_is_forgotten_in_the_end() -> None:
    """The fault may have been mended."""
    counts, now = make_counts()
    counts.merge([crash.Verdict(fingerprint=POISON, round=1, left_s=1.0)])
    assert counts.has_refused
    now.advance(crash_counts.PROBATION_S + 2.0)
    counts.add(end('a'))
    assert not counts.has_refused


def test_ends_long_apart_are_by_chance() -> None:
    """The first one is forgotten."""
    counts, now = make_counts()
    counts.add(end(POISON))
    now.advance(crash_counts.MEMORY_S + 1.0)
    assert counts.add(end(POISON)) == []


# Guards against verdicts that are lost when all daemons restart.
def test_ends_read_again_give_the_same_verdict() -> None:
    """They are told with their age, in any order."""
    counts, _ = make_counts()
    counts.add(end(POISON), age_s=50.0)
    counts.add(end(POISON), age_s=70.0)
    assert counts.refused_for_s(POISON) == crash_counts.REFUSAL_S - 70.0
    assert counts.add(end(POISON), age_s=crash_counts.MEMORY_S) == []


def test_verdicts_merge_in_any_order() -> None:
    """Twice, late, and from two sides; the digests then are the same."""
    first, _ = make_counts()
    second, _ = make_counts()
    first.add(end(POISON))
    first.add(end(POISON))
    second.merge([crash.Verdict(fingerprint=POISON, round=2, left_s=480.0)])
    assert first.digest != second.digest
    assert second.merge(first.verdicts) == []
    assert len(first.merge(second.verdicts)) == 1
    assert first.merge(second.verdicts) == []
    assert first.digest == second.digest
    assert first.refused_for_s(POISON) == 480.0


def test_tables_are_bounded() -> None:
    """The oldest ends go first; what is refused stays refused."""
    counts, _ = make_counts()
    counts.add(end(POISON))
    for index in range(crash_counts.MAX_RECORDS):
        counts.add(end(f'f{index}'))
    assert counts.count(POISON) == 0
    assert len(counts.records) == crash_counts.MAX_RECORDS
    counts.add(end(*(f's{n}' for n in range(crash_counts.MAX_SUSPECTS))))
    assert len(counts.records) == 1


# Guards against a full table that takes no further request.
def test_full_table_of_verdicts_takes_the_next() -> None:
    """The one that is let in first gives way."""
    counts, _ = make_counts()
    counts.merge(
        crash.Verdict(
            fingerprint=ids.Fingerprint(f'f{index}'),
            round=1,
            left_s=50.0 + index,
        )
        for index in range(crash_counts.MAX_VERDICTS)
    )
    counts.add(end(POISON))
    counts.add(end(POISON))
    assert counts.is_refused(POISON)
    assert not counts.is_refused(ids.Fingerprint('f0'))
    assert len(counts.verdicts) == crash_counts.MAX_VERDICTS
