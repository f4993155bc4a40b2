"""Tests of how an upstream does compared with its usual self."""

import itertools

from sassafraswood import clock
from sassafraswood.coordination import upstream_health


class Upstream:
    """An upstream whose calls take what the test says."""

    def __init__(self) -> None:
        """Start as usual."""
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
        """Run a call."""
        call_id = self.start(route)
        self.clock.advance(elapsed_s)
        self.health.note_end(call_id, is_error=is_error)


def test_usual_calls_are_not_slow() -> None:
    """Long and short calls each have their own time."""
    upstream = Upstream()
    for _ in range(50):
        upstream.run(0.2, 'book')
        upstream.run(0.01, 'peek')
    assert 0.9 < upstream.health.slowness < 1.1
    assert upstream.health.errors == 0.0


def test_slow_calls_show_after_some() -> None:
    """And again when they are as usual."""
    upstream = Upstream()
    for _ in range(50):
        upstream.run(0.02)
    for _ in range(5):
        upstream.run(0.24)
    assert upstream.health.slowness > 3.0
    for _ in range(40):
        upstream.run(0.02)
    assert upstream.health.slowness < 1.5


def test_overdue_calls_show_before_they_end() -> None:
    """The first answer would come much later."""
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


def test_errors_are_no_sign_of_speed() -> None:
    """They are often fast."""
    upstream = Upstream()
    for index in range(60):
        is_error = index % 2 == 0
        upstream.run(0.001 if is_error else 0.1, is_error=is_error)
    assert 0.3 < upstream.health.errors < 0.7
    assert upstream.health.slowness > 0.9


def test_what_was_long_ago_counts_little() -> None:
    """Few calls come to an upstream that is left; it is tried again."""
    upstream = Upstream()
    for _ in range(50):
        upstream.run(0.02)
    for _ in range(10):
        upstream.run(0.24, is_error=False)
        upstream.run(0.01, is_error=True)
    upstream.clock.advance(12.0)
    assert upstream.health.slowness < 1.5
    assert upstream.health.errors < 0.1


def test_change_that_stays_becomes_usual() -> None:
    """The upstream has other work now."""
    upstream = Upstream()
    for _ in range(50):
        upstream.run(0.02)
    for _ in range(4000):
        upstream.run(0.12)
    assert upstream.health.slowness < 1.5
