"""Tests of the state of the own upstream."""

import random

from sassafraswood import clock as clock_module
from sassafraswood.coordination import admission
from sassafraswood.coordination import upstream_lifecycle
from sassafraswood.models import enums

ADDRESS = '127.0.0.1:9000'


class _Bench:
    """A lifecycle with recorded callbacks."""

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
    """Guards against innocent calls that look like the only one in flight.

    Each of the calls that break at a crash sees the refused connection. If
    each were a crash of its own, the last of them would be quarantined.
    """
    bench = _Bench()
    bench.lifecycle.announce(ADDRESS, 8, 'first')
    bench.lifecycle.note_crash()
    bench.lifecycle.note_crash()
    assert bench.crashes == 1
    assert bench.lifecycle.status is enums.UpstreamStatus.CRASHED


def test_fast_restart_counts_as_crash() -> None:
    """Guards against a crash loop that a fast restart hides from probes."""
    bench = _Bench()
    bench.lifecycle.announce(ADDRESS, 8, 'first')
    bench.lifecycle.announce(ADDRESS, 8, 'second')
    assert bench.crashes == 1
    assert bench.lifecycle.status is enums.UpstreamStatus.COLD


def test_repeated_announcement_is_no_restart() -> None:
    """Guards against a cold start at each repeated announcement."""
    bench = _Bench()
    bench.lifecycle.announce(ADDRESS, 8, 'first')
    bench.clock.advance(20.0)
    bench.lifecycle.tick()
    bench.lifecycle.announce(ADDRESS, 9, 'first')
    assert bench.crashes == 0
    assert bench.statuses[-1] is enums.UpstreamStatus.READY
    assert bench.lifecycle.slots == 9


def test_draining_upstream_is_not_restarted_by_probes() -> None:
    """Guards against new work for an upstream that drains."""
    bench = _Bench()
    bench.lifecycle.announce(ADDRESS, 8, 'first')
    bench.lifecycle.drain()
    bench.lifecycle.note_probe(True)
    assert bench.lifecycle.status is enums.UpstreamStatus.DRAINING
