"""Tests of the detection of requests that crash their upstreams."""

import itertools

from sassafraswood import clock
from sassafraswood.coordination import crash_counts
from sassafraswood.models import crash
from sassafraswood.models import ids

POISON = ids.Fingerprint('poison')
SERVICE = ids.ServiceName('ordering')
OTHER = ids.ServiceName('donations')
_record_numbers = itertools.count()


def make_suspect(
    fingerprint: str,
    rate_per_s: float = 0.05,
    age_s: float = 0.002,
    *,
    is_repeat: bool = False,
) -> crash.Suspect:
    """Return a suspect that starts rarely, by default shortly before."""
    return crash.Suspect(
        fingerprint=ids.Fingerprint(fingerprint),
        rate_per_s=rate_per_s,
        age_s=age_s,
        is_repeat=is_repeat,
    )


def make_crash(
    *suspects, service: ids.ServiceName = SERVICE
) -> crash.CrashRecord:
    """Return a crash record with a new id."""
    return crash.CrashRecord(
        record_id=f'r{next(_record_numbers)}',
        service=service,
        ended_at=0.0,
        suspects=tuple(
            item if isinstance(item, crash.Suspect) else make_suspect(item)
            for item in suspects
        ),
    )


def make_counts() -> tuple[crash_counts.CrashCounts, clock.ManualClock]:
    """Return an empty table and its clock."""
    manual_clock = clock.ManualClock()
    return crash_counts.CrashCounts(manual_clock), manual_clock


def test_second_crash_refuses_the_common_request() -> None:
    """Suspects of only one of two crashes are not refused."""
    counts, _ = make_counts()
    assert counts.add(make_crash(POISON, 'a')) == []
    assert not counts.is_refused(POISON)
    (verdict,) = counts.add(make_crash('b', POISON))
    assert verdict.fingerprint == POISON
    assert counts.is_refused(POISON)
    assert not counts.is_refused(ids.Fingerprint('a'))


def test_duplicate_record_counts_once() -> None:
    """The same record arrives through several daemons."""
    counts, _ = make_counts()
    record = make_crash(POISON)
    counts.add(record)
    counts.add(record)
    assert counts.count(POISON) == 1
    assert not counts.is_refused(POISON)


def test_two_crashes_of_one_upstream_count_twice() -> None:
    """A restarted upstream may crash again; each record has its own id."""
    counts, _ = make_counts()
    counts.add(make_crash(POISON))
    counts.add(make_crash(POISON))
    assert counts.is_refused(POISON)


def test_many_suspects_of_two_crashes_need_a_third() -> None:
    """Retries of the other calls reach the next upstream with the cause."""
    counts, _ = make_counts()
    others = [f'c{index}' for index in range(40)]
    counts.add(make_crash(POISON, *others))
    assert counts.add(make_crash(POISON, *others)) == []
    (verdict,) = counts.add(make_crash(POISON, 'd'))
    assert verdict.fingerprint == POISON


def test_retry_is_weak_evidence() -> None:
    """Guards against refusals of harmless calls retried beside the cause.

    A retry reaches the next upstream together with the request that caused
    the crash; a new call is independent evidence.
    """
    counts, _ = make_counts()
    for name in ('innocent', POISON):
        assert counts.add(make_crash(name)) == []
    counts.add(
        make_crash(
            make_suspect('innocent', is_repeat=True),
            make_suspect(POISON, is_repeat=True),
        )
    )
    assert not counts.has_verdicts
    (verdict,) = counts.add(make_crash(POISON))
    assert verdict.fingerprint == POISON


def test_requests_always_seen_together_are_all_refused() -> None:
    """Two or three requests with equal evidence are all refused."""
    counts, _ = make_counts()
    fingerprints = ('p1', 'p2', 'p3')
    for _ in range(3):
        counts.add(make_crash(*fingerprints))
    assert all(
        counts.is_refused(ids.Fingerprint(item)) for item in fingerprints
    )


def test_frequent_request_is_in_flight_by_chance() -> None:
    """A request that is nearly always in flight is so at any crash."""
    counts, _ = make_counts()
    for _ in range(20):
        counts.add(
            make_crash(make_suspect('common', rate_per_s=50.0, age_s=0.1))
        )
    assert not counts.has_verdicts


def test_frequent_request_that_starts_at_each_crash_is_refused() -> None:
    """By chance, its starts would also fall at other times."""
    counts, _ = make_counts()
    for _ in range(3):
        counts.add(
            make_crash(make_suspect('alike', rate_per_s=5.0, age_s=0.002))
        )
    assert counts.is_refused(ids.Fingerprint('alike'))


def test_many_unrelated_crashes_raise_the_required_evidence() -> None:
    """A request is at two of 30 crashes by chance, but hardly at three."""
    counts, _ = make_counts()
    for index in range(30):
        counts.add(make_crash(f'a{index}'))
    counts.add(make_crash(POISON))
    counts.add(make_crash(POISON))
    assert not counts.is_refused(POISON)
    crashes = 2
    while not counts.is_refused(POISON):
        counts.add(make_crash(POISON))
        crashes += 1
    # Three crashes are expected; three more are tolerated.
    assert crashes <= 6


def test_crashes_of_other_services_do_not_count() -> None:
    """The request never runs at upstreams of the other service."""
    counts, _ = make_counts()
    for index in range(30):
        counts.add(make_crash(f'a{index}', service=OTHER))
    counts.add(make_crash(POISON))
    counts.add(make_crash(POISON))
    assert counts.is_refused(POISON)


def test_crashes_of_a_request_count_across_services() -> None:
    """A route may move; the request then crashes upstreams of both."""
    counts, _ = make_counts()
    counts.add(make_crash(POISON))
    counts.add(make_crash(POISON, service=OTHER))
    assert counts.is_refused(POISON)


def test_refusal_expires_and_grows() -> None:
    """Guards against refusing a harmless request forever."""
    counts, manual_clock = make_counts()
    counts.add(make_crash(POISON))
    counts.add(make_crash(POISON))
    assert counts.refusal_left_s(POISON) == crash_counts.REFUSAL_S
    manual_clock.advance(crash_counts.REFUSAL_S)
    assert not counts.is_refused(POISON)
    # One further crash is enough to refuse it again.
    (verdict,) = counts.add(make_crash(POISON))
    assert verdict.round == 2
    assert counts.refusal_left_s(POISON) == (
        crash_counts.REFUSAL_S * crash_counts.REFUSAL_GROWTH_FACTOR
    )


def test_recurring_request_crashes_few_upstreams_per_hour() -> None:
    """Guards against a request that recurs for hours.

    Each time that its refusal expires, it crashes one more upstream.
    """
    counts, manual_clock = make_counts()
    counts.add(make_crash(POISON))
    counts.add(make_crash(POISON))
    further_crashes = 0
    for _ in range(3600):
        manual_clock.advance(1.0)
        if not counts.is_refused(POISON):
            counts.add(make_crash(POISON))
            further_crashes += 1
    # Two upstreams crashed before; a third and three more are tolerated.
    assert further_crashes <= 4


def test_frequent_request_is_not_refused_again_by_chance() -> None:
    """Guards against refusing a harmless request again and again.

    After a wrong refusal, one crash by chance must not be enough.
    """
    counts, manual_clock = make_counts()
    counts.merge([crash.Verdict(fingerprint=POISON, round=1, left_s=1.0)])
    manual_clock.advance(2.0)
    counts.add(make_crash(make_suspect(POISON, rate_per_s=50.0, age_s=0.1)))
    assert not counts.is_refused(POISON)


def test_verdict_expires_after_probation() -> None:
    """The fault in the upstream may be fixed by then."""
    counts, manual_clock = make_counts()
    counts.merge([crash.Verdict(fingerprint=POISON, round=1, left_s=1.0)])
    assert counts.has_verdicts
    manual_clock.advance(crash_counts.PROBATION_S + 2.0)
    counts.add(make_crash('a'))
    assert not counts.has_verdicts


def test_old_crashes_do_not_count() -> None:
    """The first crash expires before the second one."""
    counts, manual_clock = make_counts()
    counts.add(make_crash(POISON))
    manual_clock.advance(crash_counts.MEMORY_S + 1.0)
    assert counts.add(make_crash(POISON)) == []


def test_stored_crashes_give_the_same_verdict() -> None:
    """Guards against losing verdicts when all daemons restart.

    Records are read again with their ages, in any order.
    """
    counts, _ = make_counts()
    counts.add(make_crash(POISON), age_s=50.0)
    counts.add(make_crash(POISON), age_s=70.0)
    assert counts.refusal_left_s(POISON) == crash_counts.REFUSAL_S - 70.0
    assert counts.add(make_crash(POISON), age_s=crash_counts.MEMORY_S) == []


def test_verdicts_merge_in_any_order() -> None:
    """After merges in both directions the digests are equal."""
    first, _ = make_counts()
    second, _ = make_counts()
    first.add(make_crash(POISON))
    first.add(make_crash(POISON))
    second.merge([crash.Verdict(fingerprint=POISON, round=2, left_s=480.0)])
    assert first.digest != second.digest
    assert second.merge(first.verdicts) == []
    assert len(first.merge(second.verdicts)) == 1
    assert first.merge(second.verdicts) == []
    assert first.digest == second.digest
    assert first.refusal_left_s(POISON) == 480.0


def test_tables_are_bounded() -> None:
    """The oldest crash records are evicted first."""
    counts, _ = make_counts()
    counts.add(make_crash(POISON))
    for index in range(crash_counts.MAX_RECORDS):
        counts.add(make_crash(f'f{index}'))
    assert counts.count(POISON) == 0
    assert len(counts.records) == crash_counts.MAX_RECORDS
    counts.add(
        make_crash(*(f's{n}' for n in range(crash_counts.MAX_SUSPECTS)))
    )
    assert len(counts.records) == 1


def test_full_verdict_table_evicts_the_soonest_to_expire() -> None:
    """Guards against a full table that accepts no further verdict."""
    counts, _ = make_counts()
    counts.merge(
        crash.Verdict(
            fingerprint=ids.Fingerprint(f'f{index}'),
            round=1,
            left_s=50.0 + index,
        )
        for index in range(crash_counts.MAX_VERDICTS)
    )
    counts.add(make_crash(POISON))
    counts.add(make_crash(POISON))
    assert counts.is_refused(POISON)
    assert not counts.is_refused(ids.Fingerprint('f0'))
    assert len(counts.verdicts) == crash_counts.MAX_VERDICTS


# Guards against refusing a harmless request together with the cause.
def test_request_beside_the_cause_is_not_refused() -> None:
    """The cause explains the crashes at which both were in flight."""
    counts, manual_clock = make_counts()
    for _ in range(3):
        manual_clock.advance(1.0)
        counts.add(make_crash(POISON, make_suspect('other', rate_per_s=0.5)))
    assert counts.is_refused(POISON)
    # Neither is it refused after a crash of another cause.
    manual_clock.advance(1.0)
    counts.add(make_crash(make_suspect('other', rate_per_s=0.5)))
    assert not counts.is_refused(ids.Fingerprint('other'))


# Guards against a crashing request that is exempt because a harmless one was
# refused in its place.
def test_cause_is_found_after_a_wrong_refusal() -> None:
    """The crashes go on without the refused request."""
    counts, manual_clock = make_counts()
    for _ in range(2):
        manual_clock.advance(1.0)
        counts.add(
            make_crash(make_suspect(POISON, rate_per_s=0.5, age_s=0.01), 'a')
        )
    assert counts.is_refused(ids.Fingerprint('a'))
    further_crashes = 0
    while not counts.is_refused(POISON):
        manual_clock.advance(1.0)
        counts.add(make_crash(make_suspect(POISON, rate_per_s=0.5)))
        further_crashes += 1
    assert further_crashes <= 3


# Guards against taking the retries of callers for independent evidence.
def test_retry_by_the_caller_is_weak_evidence() -> None:
    """The upstreams crash soon after each other, for another reason."""
    counts, manual_clock = make_counts()
    for _ in range(3):
        manual_clock.advance(0.1)
        counts.add(
            make_crash(make_suspect('retried', rate_per_s=0.3, age_s=0.05))
        )
    assert not counts.has_verdicts
