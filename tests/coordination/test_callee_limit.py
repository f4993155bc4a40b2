"""Tests of the limits per callee."""

import heapq
import random

from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import callee_limit
from sassafraswood.models import enums
from sassafraswood.models import ids

SERVICE = ids.ServiceName('ordering')


class Load:
    """Calls that arrive at random at a callee with a service time."""

    def __init__(self, seed: int = 3) -> None:
        """Start without calls."""
        self.clock = clock.ManualClock()
        self.limits = callee_limit.CalleeLimits(clock=self.clock)
        self._random = random.Random(seed)
        self._ends: list[float] = []

    def run(
        self, seconds: float, *, rate: float, service_s: float, slots: int = 60
    ) -> tuple[int, int, int]:
        """Return calls, refusals and the largest number in flight."""
        calls = refused = largest = 0
        end = self.clock.monotonic() + seconds
        while True:
            arrival = self.clock.monotonic() + self._random.expovariate(rate)
            if arrival >= end:
                return calls, refused, largest
            self._release_until(arrival)
            self._move_to(arrival)
            calls += 1
            if self.limits.acquire(SERVICE, limit=None, total_slots=slots):
                length_s = self._random.uniform(0.5, 1.5) * service_s
                heapq.heappush(self._ends, arrival + length_s)
            else:
                refused += 1
            largest = max(largest, self.limits.in_flight(SERVICE))

    def _release_until(self, time_s: float) -> None:
        while self._ends and self._ends[0] <= time_s:
            self._move_to(heapq.heappop(self._ends))
            self.limits.release(SERVICE)

    def _move_to(self, time_s: float) -> None:
        self.clock.advance(time_s - self.clock.monotonic())


def test_limit_follows_document_or_slots() -> None:
    """Guards against a callee with few slots that gets too many calls."""
    limits = callee_limit.CalleeLimits(clock=clock.ManualClock())
    for limit, slots, expected in [(3, 500, 3), (None, 45, 45), (None, 0, 8)]:
        taken = 0
        while limits.acquire(SERVICE, limit=limit, total_slots=slots):
            taken += 1
        assert taken == expected
        for _ in range(taken):
            limits.release(SERVICE)


def test_release_without_acquire_gives_no_room() -> None:
    """Guards against a repeated release that lifts the limit."""
    limits = callee_limit.CalleeLimits(clock=clock.ManualClock())
    limits.release(SERVICE)
    assert limits.acquire(SERVICE, limit=1, total_slots=1)
    limits.release(SERVICE)
    limits.release(SERVICE)
    assert limits.acquire(SERVICE, limit=1, total_slots=1)
    assert not limits.acquire(SERVICE, limit=1, total_slots=1)


def test_usual_load_is_not_refused() -> None:
    """Guards against refusals within the capacity of the callee."""
    load = Load()
    _, refused, _ = load.run(60.0, rate=400.0, service_s=0.05)
    assert refused == 0
    _, refused, _ = load.run(60.0, rate=5.0, service_s=0.05)
    assert refused == 0


def test_slow_callee_holds_a_bounded_number_of_calls() -> None:
    """Guards against a slow service that takes the slots of its callers."""
    load = Load()
    load.run(20.0, rate=200.0, service_s=0.02, slots=600)
    load.run(1.0, rate=200.0, service_s=4.0, slots=600)
    # What came before the slowness was measured leaves within 6 s.
    load.run(7.0, rate=200.0, service_s=4.0, slots=600)
    _, refused, largest = load.run(30.0, rate=200.0, service_s=4.0, slots=600)
    # 3 x 200/s x 0.02 s = 12, against 600 slots and a demand of 800.
    assert largest <= 15
    assert refused > 0


def test_slowness_does_not_change_what_is_usual() -> None:
    """Guards against a limit that learns from the disturbance it bounds."""
    load = Load()
    load.run(20.0, rate=200.0, service_s=0.02, slots=600)
    load.run(30.0, rate=2000.0, service_s=4.0, slots=600)
    current = load.limits.current_limit(SERVICE, limit=None, total_slots=600)
    # 3 x 200/s x 0.02 s, drifting by 0.3% a second.
    assert 10 <= current <= 15


def test_limit_is_lifted_when_the_callee_recovers() -> None:
    """Guards against refusals that outlive their cause."""
    load = Load()
    load.run(20.0, rate=200.0, service_s=0.02)
    load.run(20.0, rate=200.0, service_s=2.0)
    load.run(4.0, rate=200.0, service_s=0.02)
    _, refused, _ = load.run(20.0, rate=200.0, service_s=0.02)
    assert refused == 0


def test_stalled_callee_is_noticed_without_a_finished_call() -> None:
    """Guards against a callee that hangs and so never looks slow."""
    load = Load()
    load.run(20.0, rate=200.0, service_s=0.02, slots=600)
    _, _, largest = load.run(10.0, rate=200.0, service_s=100.0, slots=600)
    # Calls of one window of 0.25 s, and the windows in which its share of
    # finished calls hides the stall.
    assert largest <= 200


def test_lasting_change_of_service_time_is_accepted() -> None:
    """Guards against a limit that never fits a slower release."""
    load = Load()
    load.run(20.0, rate=200.0, service_s=0.02)
    load.run(400.0, rate=100.0, service_s=0.08)
    _, refused, _ = load.run(20.0, rate=200.0, service_s=0.08)
    assert refused == 0


def test_service_time_of_a_quiet_callee_is_learned() -> None:
    """Guards against a bound that works at high rates only."""
    load = Load()
    load.run(30.0, rate=8.0, service_s=0.05)
    load.run(20.0, rate=8.0, service_s=20.0)
    current = load.limits.current_limit(SERVICE, limit=None, total_slots=600)
    assert current == const.CALLEE_MIN_LIMIT


def test_more_important_calls_go_beyond_held_limit() -> None:
    """Guards against low calls that hold the limit and shut out critical."""
    limits = callee_limit.CalleeLimits(clock=clock.ManualClock())
    taken = []
    for importance in enums.Importance:
        count = 0
        while limits.acquire(
            SERVICE, limit=None, total_slots=12, importance=importance
        ):
            count += 1
        taken.append(count)
    assert taken == [12, 3, 6, 6]


def test_limit_of_document_holds_for_critical_calls() -> None:
    """Guards against importance that overrides the limit of a document."""
    limits = callee_limit.CalleeLimits(clock=clock.ManualClock())
    taken = 0
    while limits.acquire(
        SERVICE,
        limit=10,
        total_slots=12,
        importance=enums.Importance.CRITICAL,
    ):
        taken += 1
    assert taken == 10
