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

_BAD = test_quarantine.BAD


@dataclasses.dataclass
class Upstreams:
    """Daemons beside upstreams that one request crashes.

    Attributes:
        knowledge: What each daemon knows of crashes.
        crashes: Crashes caused by the request.
        is_cut: Whether reports are lost.
    """

    clock: clock.ManualClock
    knowledge: list[quarantine.Quarantine]
    crashes: int = 0
    lone_runs_ok: int = 0
    is_cut: bool = False
    refused: int = 0

    def run(self, number: int, beside: list[ids.Fingerprint]) -> None:
        """Run the bad request at an upstream, alone if it is a suspect."""
        known = self.knowledge[number]
        refusal = known.check(_BAD)
        if refusal is not None:
            assert refusal.reason is enums.RefusalReason.QUARANTINED
            assert refusal.outcome is enums.Outcome.NOT_RUN
            self.refused += 1
            return
        in_flight = [_BAD] if known.is_suspect(_BAD) else [_BAD, *beside]
        self.crashes += 1
        self.tell(known.note_crash(in_flight))

    def tell(self, report: messages.FingerprintReport) -> None:
        """Spread a report."""
        if self.is_cut:
            return
        for known in self.knowledge:
            known.merge(report)


@pytest_bdd.given(
    parsers.parse('{count:d} upstreams that a request crashes'),
    target_fixture='upstreams',
)
def start(count: int) -> Upstreams:
    """Start daemons that know of no crash."""
    manual = clock.ManualClock(wall_s=test_quarantine.NOW_S)
    known = [test_quarantine.make_quarantine(manual) for _ in range(count)]
    return Upstreams(manual, known)


@pytest_bdd.given(
    'the daemons beside them cannot reach each other', target_fixture='_cut'
)
def cut(upstreams: Upstreams) -> None:
    """Lose reports."""
    upstreams.is_cut = True


@pytest_bdd.when(
    'its caller sends it to each upstream in turn beside other requests'
)
def send_in_turn(upstreams: Upstreams) -> None:
    """Send the request to all, 1 s apart."""
    for number in range(len(upstreams.knowledge)):
        upstreams.run(number, [test_quarantine.GOOD])
        upstreams.clock.advance(1.0)


@pytest_bdd.when(
    'its caller sends it to the first upstream beside other requests'
)
def send_first(upstreams: Upstreams) -> None:
    """Send the request once."""
    upstreams.run(0, [test_quarantine.GOOD])


@pytest_bdd.when('the daemons reach each other again')
def heal(upstreams: Upstreams) -> None:
    """Let everyone tell all it knows."""
    upstreams.is_cut = False
    fingerprints = [_BAD, test_quarantine.GOOD]
    reports = [known.report(fingerprints) for known in upstreams.knowledge]
    for report in reports:
        upstreams.tell(report)


@pytest_bdd.when(parsers.parse('{minutes:d} minutes pass after the crash'))
def wait(upstreams: Upstreams, minutes: int) -> None:
    """Let time pass."""
    upstreams.clock.advance(60.0 * minutes)


@pytest_bdd.when('an innocent request runs alone without a crash')
def run_innocent(upstreams: Upstreams) -> None:
    """Clear the request that was only in flight beside the bad one."""
    known = upstreams.knowledge[-1]
    assert known.is_suspect(test_quarantine.GOOD)
    upstreams.tell(known.note_lone_success(test_quarantine.GOOD))


@pytest_bdd.then(parsers.parse('it has crashed {count:d} upstreams'))
def check_crashes(upstreams: Upstreams, count: int) -> None:
    """Check the crashes so far."""
    assert upstreams.crashes == count


@pytest_bdd.then('every upstream refuses it as not run')
def check_refused(upstreams: Upstreams) -> None:
    """Check the refusals of all daemons."""
    before = upstreams.refused
    for number in range(len(upstreams.knowledge)):
        upstreams.run(number, [])
    assert upstreams.refused - before == len(upstreams.knowledge)


@pytest_bdd.then('no upstream suspects the innocent request')
def check_innocent(upstreams: Upstreams) -> None:
    """Check all daemons."""
    for known in upstreams.knowledge:
        assert not known.is_suspect(test_quarantine.GOOD)
        assert known.check(test_quarantine.GOOD) is None
