"""Tests of the slowness and errors measured for an upstream."""

import itertools

from sassafraswood import clock
from sassafraswood.coordination import upstream_health


class Upstream:
    """An upstream whose call durations are set by the test."""

    def __init__(self) -> None:
        """Start with a healthy upstream."""
        self.clock = clock.ManualClock()
        self.health = upstream_health.UpstreamHealth(self.clock)
        self._ids = itertools.count()

    def start(self, route: str = 'read') -> int:
        """Start a call."""
        call_id = next(self._ids)
        self.health.note_start(call_id, route)
        return call_id

    def run(
        self, elapsed_s: float, route: str = 'read', is_error: bool = False
    ) -> None:
        """Run a call to its end."""
        call_id = self.start(route)
        self.clock.advance(elapsed_s)
        self.health.note_end(call_id, is_error=is_error)


def test_calls_at_the_baseline_are_not_slow() -> None:
    """Each route has its own baseline, for long and for short calls."""
    upstream = Upstream()
    for _ in range(50):
        upstream.run(0.2, 'book')
        upstream.run(0.01, 'peek')
    assert 0.9 < upstream.health.slowness < 1.1
    assert upstream.health.errors == 0.0


def test_slow_calls_raise_the_slowness() -> None:
    """Slowness rises after a few slow calls and falls afterwards."""
    upstream = Upstream()
    for _ in range(50):
        upstream.run(0.02)
    for _ in range(5):
        upstream.run(0.24)
    assert upstream.health.slowness > 3.0
    for _ in range(40):
        upstream.run(0.02)
    assert upstream.health.slowness < 1.5


def test_overdue_calls_raise_the_slowness_before_they_end() -> None:
    """Overdue calls count before the first slow response arrives."""
    upstream = Upstream()
    for _ in range(50):
        upstream.run(0.1)
    calls = [upstream.start() for _ in range(4)]
    upstream.clock.advance(0.4)
    assert upstream.health.slowness < 1.1
    upstream.clock.advance(0.2)
    assert upstream.health.slowness > 5.0
    for call_id in calls:
        upstream.health.drop(call_id)
    assert upstream.health.slowness < 1.1


def test_errors_do_not_count_as_latencies() -> None:
    """Errors are often fast and must not lower the slowness."""
    upstream = Upstream()
    for index in range(60):
        is_error = index % 2 == 0
        upstream.run(0.001 if is_error else 0.1, is_error=is_error)
    assert 0.3 < upstream.health.errors < 0.7
    assert upstream.health.slowness > 0.9


def test_old_outcomes_decay() -> None:
    """Old outcomes decay, so that an avoided upstream is tried again."""
    upstream = Upstream()
    for _ in range(50):
        upstream.run(0.02)
    for _ in range(10):
        upstream.run(0.24, is_error=False)
        upstream.run(0.01, is_error=True)
    upstream.clock.advance(12.0)
    assert upstream.health.slowness < 1.5
    assert upstream.health.errors < 0.1


def test_lasting_change_becomes_the_baseline() -> None:
    """The workload of the upstream may change for good."""
    upstream = Upstream()
    for _ in range(50):
        upstream.run(0.02)
    for _ in range(4000):
        upstream.run(0.12)
    assert upstream.health.slowness < 1.5


# Pattern: an upstream of many short calls turns slower by six for seconds. The
# first calls after that are slowed down for a part of their time only.
def test_slowdown_under_many_calls_does_not_become_the_baseline() -> None:
    """Callers are told of it as long as it lasts."""
    upstream = Upstream()
    for number in range(3000):
        slowdown = min(6.0, max(1.0, (number - 2000) / 20.0))
        upstream.run(0.004 * slowdown)
        if number < 2000:
            upstream.clock.advance(0.001)
    assert upstream.health.slowness > 3.0
