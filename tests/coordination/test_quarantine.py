"""Tests of the quarantine of requests that crash their upstreams."""

import random

import hypothesis
from hypothesis import strategies

from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import quarantine
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records

SERVICE = ids.ServiceName('catalogue')
BAD = ids.Fingerprint('bad')
GOOD = ids.Fingerprint('good')
NOW_S = 1.7e9


def make_quarantine(
    manual_clock: clock.ManualClock | None = None, **limits: int
) -> quarantine.Quarantine:
    """Return an empty quarantine table."""
    return quarantine.Quarantine(
        clock=manual_clock or clock.ManualClock(wall_s=NOW_S),
        service=SERVICE,
        **limits,
    )


def test_boundaries_between_request_parts_are_hashed() -> None:
    """Guards against different requests with the same fingerprint."""
    compute = quarantine.compute_fingerprint
    parts = [
        ('a', 'GET', '/x', b''),
        ('aG', 'ET', '/x', b''),
        ('a', 'GET', '/', b'x'),
        ('a', 'GET', '/x', b'\x00'),
        ('a', 'HEAD', '/x', b''),
    ]
    found = {
        compute(ids.ServiceName(service), method, target, body)
        for service, method, target, body in parts
    }
    assert len(found) == len(parts)
    assert {len(fingerprint) for fingerprint in found} == {64}


def test_lone_crash_of_suspect_is_refused_everywhere_for_an_hour() -> None:
    """Guards against a request that crashes each upstream in turn."""
    manual_clock = clock.ManualClock(wall_s=NOW_S)
    first, second, third = (make_quarantine(manual_clock) for _ in range(3))
    report = first.note_crash([BAD, GOOD])
    assert set(report.suspects) == {BAD, GOOD}
    second.merge(report)
    assert second.is_suspect(BAD)
    assert second.check(BAD) is None
    report = second.note_crash([BAD])
    assert [entry.service for entry in report.quarantined] == [SERVICE]
    third.merge(report)
    manual_clock.advance(const.QUARANTINE_DURATION_S - 1.0)
    refusal = third.check(BAD)
    assert refusal is not None
    assert refusal.reason is enums.RefusalReason.QUARANTINED
    assert refusal.outcome is enums.Outcome.NOT_RUN
    assert not refusal.shed
    assert third.check(GOOD) is None
    manual_clock.advance(1.0)
    assert third.check(BAD) is None
    assert third.is_suspect(BAD)


def test_first_crash_alone_makes_a_suspect_only() -> None:
    """Guards against refusing a request for an hour after one crash."""
    table = make_quarantine()
    table.note_crash([GOOD])
    assert table.check(GOOD) is None
    assert table.is_suspect(GOOD)


def test_crash_with_several_in_flight_does_not_quarantine_a_suspect() -> None:
    """Guards against refusing frequent requests always in flight."""
    table = make_quarantine()
    table.note_crash([BAD, GOOD])
    table.note_crash([ids.Fingerprint('new'), GOOD])
    assert table.check(GOOD) is None


def test_lone_success_clears_everywhere() -> None:
    """Guards against harmless requests that run alone until they expire."""
    first, second = make_quarantine(), make_quarantine()
    crash = first.note_crash([BAD, GOOD])
    second.merge(crash)
    cleared = second.note_lone_success(GOOD)
    first.merge(cleared)
    # Gossip delivers the older report again.
    first.merge(crash)
    assert not first.is_suspect(GOOD)
    assert first.is_suspect(BAD)


def test_clearance_does_not_hide_a_later_crash() -> None:
    """Guards against a clearance that overtakes the report of a crash."""
    manual_clock = clock.ManualClock(wall_s=NOW_S)
    first, second = (
        make_quarantine(manual_clock),
        make_quarantine(manual_clock),
    )
    second.merge(first.note_crash([BAD, GOOD]))
    manual_clock.advance(1.0)
    later = first.note_crash([BAD, GOOD])
    manual_clock.advance(1.0)
    # The second daemon has not received the report of the later crash.
    cleared = second.note_lone_success(BAD)
    for table in (first, second):
        table.merge(later)
        table.merge(cleared)
        assert table.is_suspect(BAD)


def test_suspects_expire() -> None:
    """Guards against suspects that run alone forever."""
    manual_clock = clock.ManualClock(wall_s=NOW_S)
    table = make_quarantine(manual_clock)
    table.note_crash([BAD])
    manual_clock.advance(const.SUSPECT_LIFETIME_S)
    assert not table.is_suspect(BAD)
    assert table.report().suspects == {}


def test_echoed_reports_do_not_extend_a_suspicion() -> None:
    """Guards against gossip that renews an entry by repeating it."""
    manual_clock = clock.ManualClock(wall_s=NOW_S)
    first, second = (
        make_quarantine(manual_clock),
        make_quarantine(manual_clock),
    )
    report = first.note_crash([BAD])
    for _ in range(10):
        manual_clock.advance(const.SUSPECT_LIFETIME_S / 10)
        second.merge(report)
        report = second.report()
        first.merge(report)
    assert not first.is_suspect(BAD)
    assert not second.is_suspect(BAD)


def test_tables_are_bounded() -> None:
    """Guards against memory use that grows with each crash."""
    table = make_quarantine(max_suspects=10, max_quarantined=5)
    for number in range(50):
        fingerprint = ids.Fingerprint(f'f{number:02}')
        table.note_crash([fingerprint, GOOD])
        table.note_crash([fingerprint])
    report = table.report()
    assert len(report.suspects) + len(report.cleared) == 10
    assert len(report.quarantined) == 5


def test_times_in_the_future_are_clamped() -> None:
    """Guards against a wrong clock that causes a quarantine of years."""
    table = make_quarantine()
    nan = ids.Fingerprint('nan')
    table.merge(
        messages.FingerprintReport(
            suspects={BAD: 1e12, nan: 1.0},
            cleared=[],
            quarantined=[
                records.QuarantineFingerprint(
                    fingerprint=GOOD, service=SERVICE, until_unix_s=1e12
                )
            ],
            crash_unix_s={BAD: 1e12, nan: float('nan')},
        )
    )
    refusal = table.check(GOOD)
    assert refusal is not None and refusal.retry_after_s is not None
    longest_s = const.QUARANTINE_DURATION_S + const.CLOCK_SKEW_S
    assert refusal.retry_after_s <= longest_s
    assert table.report().crash_unix_s == {BAD: NOW_S + const.CLOCK_SKEW_S}


def make_report(
    entries: list[tuple[int, int, str]],
) -> messages.FingerprintReport:
    """Return a report of (number, seconds, kind) entries."""
    suspects, cleared, quarantined, times = {}, [], [], {}
    for number, seconds, kind in entries:
        fingerprint = ids.Fingerprint(f'f{number}')
        if kind == 'quarantined':
            quarantined.append(
                records.QuarantineFingerprint(
                    fingerprint=fingerprint,
                    service=SERVICE,
                    until_unix_s=NOW_S + seconds,
                )
            )
            continue
        times[fingerprint] = NOW_S - seconds
        if kind == 'cleared':
            cleared.append(fingerprint)
        else:
            suspects[fingerprint] = 1.0
    return messages.FingerprintReport(
        suspects=suspects,
        cleared=cleared,
        quarantined=quarantined,
        crash_unix_s=times,
    )


REPORTS = strategies.lists(
    strategies.builds(
        make_report,
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 6),
                # In the future, now, at the expiry limits and expired; few
                # values, so that some are equal.
                strategies.sampled_from([-5, 0, 1, 2, 7199, 7200, 9000]),
                strategies.sampled_from(['suspect', 'cleared', 'quarantined']),
            ),
            max_size=6,
        ),
    ),
    max_size=5,
)


def merge_all(
    reports: list[messages.FingerprintReport],
) -> quarantine.Quarantine:
    """Return a table, bounded to 3 entries, after merging the reports."""
    table = make_quarantine(max_suspects=3, max_quarantined=3)
    for report in reports:
        table.merge(report)
    return table


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    reports=REPORTS, seed=strategies.integers(), split=strategies.integers(0)
)
def test_merge_depends_on_neither_order_nor_grouping_nor_repetition(
    reports: list[messages.FingerprintReport], seed: int, split: int
) -> None:
    """Guards against daemons that never converge, also with full tables."""
    expected = merge_all(reports)
    shuffled = 2 * reports
    random.Random(seed).shuffle(shuffled)
    split_index = split % (len(shuffled) + 1)
    left, right = (
        merge_all(shuffled[:split_index]),
        merge_all(shuffled[split_index:]),
    )
    right.merge(left.report())
    left.merge(merge_all(shuffled[split_index:]).report())
    assert right.report() == left.report() == expected.report()
    assert right.table_hash() == left.table_hash() == expected.table_hash()


def test_report_of_some_fingerprints() -> None:
    """Guards against a retry that overtakes the report of the crash."""
    table = make_quarantine()
    table.note_crash([BAD, GOOD])
    assert list(table.report([BAD]).suspects) == [BAD]
    assert table.report([ids.Fingerprint('other')]).suspects == {}
