"""Tests of the quarantine of crashing requests."""

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
    manual: clock.ManualClock | None = None, **limits: int
) -> quarantine.Quarantine:
    """Return the object under test."""
    return quarantine.Quarantine(
        clock=manual or clock.ManualClock(wall_s=NOW_S),
        service=SERVICE,
        **limits,
    )


def test_parts_of_a_request_do_not_run_into_each_other() -> None:
    """Guards against two requests with one fingerprint."""
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
    manual = clock.ManualClock(wall_s=NOW_S)
    first, second, third = (make_quarantine(manual) for _ in range(3))
    report = first.note_crash([BAD, GOOD])
    assert set(report.suspects) == {BAD, GOOD}
    second.merge(report)
    assert second.is_suspect(BAD)
    assert second.check(BAD) is None
    report = second.note_crash([BAD])
    assert [entry.service for entry in report.quarantined] == [SERVICE]
    third.merge(report)
    manual.advance(const.QUARANTINE_S - 1.0)
    refusal = third.check(BAD)
    assert refusal is not None
    assert refusal.reason is enums.RefusalReason.QUARANTINED
    assert refusal.outcome is enums.Outcome.NOT_RUN
    assert not refusal.shed
    assert third.check(GOOD) is None
    manual.advance(1.0)
    assert third.check(BAD) is None
    assert third.is_suspect(BAD)


def test_first_crash_alone_makes_a_suspect_only() -> None:
    """Guards against an hour of refusals after one chance crash."""
    own = make_quarantine()
    own.note_crash([GOOD])
    assert own.check(GOOD) is None
    assert own.is_suspect(GOOD)


def test_crash_beside_others_does_not_quarantine_a_suspect() -> None:
    """Guards against refusing popular requests that are always in flight."""
    own = make_quarantine()
    own.note_crash([BAD, GOOD])
    own.note_crash([ids.Fingerprint('new'), GOOD])
    assert own.check(GOOD) is None


def test_lone_success_clears_everywhere() -> None:
    """Guards against innocent requests that keep running alone."""
    first, second = make_quarantine(), make_quarantine()
    crash = first.note_crash([BAD, GOOD])
    second.merge(crash)
    cleared = second.note_lone_success(GOOD)
    first.merge(cleared)
    # The older report comes again by gossip.
    first.merge(crash)
    assert not first.is_suspect(GOOD)
    assert first.is_suspect(BAD)


def test_clearance_does_not_hide_a_later_crash() -> None:
    """Guards against a clearance that crosses the report of a crash."""
    manual = clock.ManualClock(wall_s=NOW_S)
    first, second = make_quarantine(manual), make_quarantine(manual)
    second.merge(first.note_crash([BAD, GOOD]))
    manual.advance(1.0)
    later = first.note_crash([BAD, GOOD])
    manual.advance(1.0)
    # The second has not heard of the later crash yet.
    cleared = second.note_lone_success(BAD)
    for own in (first, second):
        own.merge(later)
        own.merge(cleared)
        assert own.is_suspect(BAD)


def test_suspects_expire() -> None:
    """Guards against suspects that run alone for good."""
    manual = clock.ManualClock(wall_s=NOW_S)
    own = make_quarantine(manual)
    own.note_crash([BAD])
    manual.advance(const.SUSPECT_S)
    assert not own.is_suspect(BAD)
    assert own.report().suspects == {}


def test_echoed_reports_do_not_lengthen_a_suspicion() -> None:
    """Guards against gossip that keeps an entry alive by repeating it."""
    manual = clock.ManualClock(wall_s=NOW_S)
    first, second = make_quarantine(manual), make_quarantine(manual)
    report = first.note_crash([BAD])
    for _ in range(10):
        manual.advance(const.SUSPECT_S / 10)
        second.merge(report)
        report = second.report()
        first.merge(report)
    assert not first.is_suspect(BAD)
    assert not second.is_suspect(BAD)


def test_tables_are_bounded() -> None:
    """Guards against memory that grows with each crash."""
    own = make_quarantine(max_suspects=10, max_quarantined=5)
    for number in range(50):
        fingerprint = ids.Fingerprint(f'f{number:02}')
        own.note_crash([fingerprint, GOOD])
        own.note_crash([fingerprint])
    report = own.report()
    assert len(report.suspects) + len(report.cleared) == 10
    assert len(report.quarantined) == 5


def test_wrong_times_are_cut() -> None:
    """Guards against a wrong clock that quarantines for years."""
    own = make_quarantine()
    nan = ids.Fingerprint('nan')
    own.merge(
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
    refusal = own.check(GOOD)
    assert refusal is not None and refusal.retry_after_s is not None
    longest_s = const.QUARANTINE_S + const.CLOCK_SKEW_S
    assert refusal.retry_after_s <= longest_s
    assert own.report().crash_unix_s == {BAD: NOW_S + const.CLOCK_SKEW_S}


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
                # Beyond the largest skew, at present, at the limits and
                # expired; few values, so that some are equal.
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
    """Return an object that merged the reports; tables hold 3 entries."""
    own = make_quarantine(max_suspects=3, max_quarantined=3)
    for report in reports:
        own.merge(report)
    return own


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    reports=REPORTS, seed=strategies.integers(), split=strategies.integers(0)
)
def test_merge_depends_on_neither_order_nor_grouping_nor_repetition(
    reports: list[messages.FingerprintReport], seed: int, split: int
) -> None:
    """Guards against daemons that never agree, also where tables are full."""
    expected = merge_all(reports)
    shuffled = 2 * reports
    random.Random(seed).shuffle(shuffled)
    at = split % (len(shuffled) + 1)
    left, right = merge_all(shuffled[:at]), merge_all(shuffled[at:])
    right.merge(left.report())
    left.merge(merge_all(shuffled[at:]).report())
    assert right.report() == left.report() == expected.report()
    assert right.table_hash() == left.table_hash() == expected.table_hash()


def test_report_of_some_fingerprints() -> None:
    """Guards against a retry that overtakes the news of the crash."""
    own = make_quarantine()
    own.note_crash([BAD, GOOD])
    assert list(own.report([BAD]).suspects) == [BAD]
    assert own.report([ids.Fingerprint('other')]).suspects == {}
