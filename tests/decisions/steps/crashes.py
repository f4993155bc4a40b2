"""Steps about requests that crash upstreams."""

import dataclasses

import pytest_bdd
from pytest_bdd import parsers

from sassafraswood import clock
from sassafraswood.coordination import quarantine
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from tests.coordination import test_quarantine

_CRASHING_FINGERPRINT = test_quarantine.BAD


@dataclasses.dataclass
class Upstreams:
    """Daemons beside upstreams that one request crashes.

    Attributes:
        clock: The manual clock of all daemons.
        quarantines: The quarantine of each daemon: the suspects and the
            quarantined fingerprints that it knows.
        crashes: The number of crashes that the request has caused.
        is_cut: Whether reports between daemons are lost.
        refused: The number of times that the request was refused.
    """

    clock: clock.ManualClock
    quarantines: list[quarantine.Quarantine]
    crashes: int = 0
    lone_runs_ok: int = 0
    is_cut: bool = False
    refused: int = 0

    def run(self, number: int, beside: list[ids.Fingerprint]) -> None:
        """Run the crashing request at an upstream, alone if it is a suspect.

        Args:
            number: The index of the upstream.
            beside: The fingerprints of the requests in flight beside it.
        """
        daemon_quarantine = self.quarantines[number]
        refusal = daemon_quarantine.check(_CRASHING_FINGERPRINT)
        if refusal is not None:
            assert refusal.reason is enums.RefusalReason.QUARANTINED
            assert refusal.outcome is enums.Outcome.NOT_RUN
            self.refused += 1
            return
        in_flight = (
            [_CRASHING_FINGERPRINT]
            if daemon_quarantine.is_suspect(_CRASHING_FINGERPRINT)
            else [_CRASHING_FINGERPRINT, *beside]
        )
        self.crashes += 1
        self.send_report(daemon_quarantine.note_crash(in_flight))

    def send_report(self, report: messages.FingerprintReport) -> None:
        """Merge a report at all daemons, unless the links are cut."""
        if self.is_cut:
            return
        for daemon_quarantine in self.quarantines:
            daemon_quarantine.merge(report)


@pytest_bdd.given(
    parsers.parse('{count:d} upstreams that a request crashes'),
    target_fixture='upstreams',
)
def start(count: int) -> Upstreams:
    """Start daemons that have seen no crash."""
    manual_clock = clock.ManualClock(wall_s=test_quarantine.NOW_S)
    quarantines = [
        test_quarantine.make_quarantine(manual_clock) for _ in range(count)
    ]
    return Upstreams(manual_clock, quarantines)


@pytest_bdd.given(
    'the daemons beside them cannot reach each other', target_fixture='_cut'
)
def cut_links(upstreams: Upstreams) -> None:
    """Drop all reports between daemons."""
    upstreams.is_cut = True


@pytest_bdd.when(
    'its caller sends it to each upstream in turn beside other requests'
)
def send_in_turn(upstreams: Upstreams) -> None:
    """Send the request to all upstreams, 1 s apart."""
    for number in range(len(upstreams.quarantines)):
        upstreams.run(number, [test_quarantine.GOOD])
        upstreams.clock.advance(1.0)


@pytest_bdd.when(
    'its caller sends it to the first upstream beside other requests'
)
def send_first(upstreams: Upstreams) -> None:
    """Send the request once, to the first upstream."""
    upstreams.run(0, [test_quarantine.GOOD])


@pytest_bdd.when('the daemons reach each other again')
def restore_links(upstreams: Upstreams) -> None:
    """Exchange the reports of all daemons about both requests."""
    upstreams.is_cut = False
    fingerprints = [_CRASHING_FINGERPRINT, test_quarantine.GOOD]
    reports = [
        daemon_quarantine.report(fingerprints)
        for daemon_quarantine in upstreams.quarantines
    ]
    for report in reports:
        upstreams.send_report(report)


@pytest_bdd.when(parsers.parse('{minutes:d} minutes pass after the crash'))
def advance_minutes(upstreams: Upstreams, minutes: int) -> None:
    """Advance the clock."""
    upstreams.clock.advance(60.0 * minutes)


@pytest_bdd.when('the other request runs alone without a crash')
def run_other_alone(upstreams: Upstreams) -> None:
    """Clear the request that was only in flight beside the crashing one."""
    daemon_quarantine = upstreams.quarantines[-1]
    assert daemon_quarantine.is_suspect(test_quarantine.GOOD)
    upstreams.send_report(
        daemon_quarantine.note_lone_success(test_quarantine.GOOD)
    )


@pytest_bdd.then(parsers.parse('it has crashed {count:d} upstreams'))
def check_crashes(upstreams: Upstreams, count: int) -> None:
    """Check the number of crashes so far."""
    assert upstreams.crashes == count


@pytest_bdd.then('every upstream refuses it as not run')
def check_refused(upstreams: Upstreams) -> None:
    """Check that each daemon refuses the request."""
    before = upstreams.refused
    for number in range(len(upstreams.quarantines)):
        upstreams.run(number, [])
    assert upstreams.refused - before == len(upstreams.quarantines)


@pytest_bdd.then('no upstream suspects the other request')
def check_other_cleared(upstreams: Upstreams) -> None:
    """Check that no daemon suspects or refuses it."""
    for daemon_quarantine in upstreams.quarantines:
        assert not daemon_quarantine.is_suspect(test_quarantine.GOOD)
        assert daemon_quarantine.check(test_quarantine.GOOD) is None
