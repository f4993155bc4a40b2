"""Tests of the lifecycle of the own upstream."""

import random

from sassafraswood import clock as clock_module
from sassafraswood.coordination import admission
from sassafraswood.coordination import upstream_lifecycle
from sassafraswood.models import enums

ADDRESS = '127.0.0.1:9000'


class _RecordedLifecycle:
    """A lifecycle whose callbacks are recorded."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.statuses: list[enums.UpstreamStatus] = []
        self.crashes = 0
        self.lifecycle = upstream_lifecycle.UpstreamLifecycle(
            clock=self.clock,
            admission=admission.Admission(
                clock=self.clock, random=random.Random(1)
            ),
            set_address=lambda address: None,
            on_change=lambda status, slots: self.statuses.append(status),
            on_crash=self._note_crash,
        )

    def _note_crash(self) -> None:
        self.crashes += 1


def test_each_crash_is_reported_once() -> None:
    """Guards against a quarantine of harmless calls.

    At a crash, each call in flight meets the refused connection. If each one
    counted as a crash, the last would seem to be alone in flight and would be
    quarantined.
    """
    recorded = _RecordedLifecycle()
    recorded.lifecycle.announce(ADDRESS, 8, 'first')
    recorded.lifecycle.note_crash()
    recorded.lifecycle.note_crash()
    assert recorded.crashes == 1
    assert recorded.lifecycle.status is enums.UpstreamStatus.CRASHED


def test_fast_restart_counts_as_crash() -> None:
    """Guards against a crash loop that fast restarts hide from probes."""
    recorded = _RecordedLifecycle()
    recorded.lifecycle.announce(ADDRESS, 8, 'first')
    recorded.lifecycle.announce(ADDRESS, 8, 'second')
    assert recorded.crashes == 1
    assert recorded.lifecycle.status is enums.UpstreamStatus.COLD


def test_repeated_announcement_is_no_restart() -> None:
    """Guards against a cold start at each repeated announcement."""
    recorded = _RecordedLifecycle()
    recorded.lifecycle.announce(ADDRESS, 8, 'first')
    recorded.clock.advance(20.0)
    recorded.lifecycle.tick()
    recorded.lifecycle.announce(ADDRESS, 9, 'first')
    assert recorded.crashes == 0
    assert recorded.statuses[-1] is enums.UpstreamStatus.READY
    assert recorded.lifecycle.slots == 9


def test_draining_upstream_is_not_restarted_by_probes() -> None:
    """Guards against new calls to a draining upstream."""
    recorded = _RecordedLifecycle()
    recorded.lifecycle.announce(ADDRESS, 8, 'first')
    recorded.lifecycle.drain()
    recorded.lifecycle.record_probe_result(True)
    assert recorded.lifecycle.status is enums.UpstreamStatus.DRAINING
