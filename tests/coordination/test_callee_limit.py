"""Tests of the limits per callee."""

import heapq
import random

from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import callee_limit
from sassafraswood.models import enums
from sassafraswood.models import ids

SERVICE = ids.ServiceName('ordering')


class CallSimulation:
    """Simulates calls that arrive at random at one callee."""

    def __init__(self, seed: int = 3) -> None:
        """Start without calls."""
        self.clock = clock.ManualClock()
        self.limits = callee_limit.CalleeLimits(clock=self.clock)
        self._random = random.Random(seed)
        self._ends: list[float] = []

    def run(
        self, seconds: float, *, rate: float, service_s: float, slots: int = 60
    ) -> tuple[int, int, int]:
        """Simulate calls for some seconds.

        Returns:
            The calls, the refused calls and the most calls in flight.
        """
        calls = refused = max_in_flight = 0
        end = self.clock.monotonic() + seconds
        while True:
            arrival = self.clock.monotonic() + self._random.expovariate(rate)
            if arrival >= end:
                return calls, refused, max_in_flight
            self._release_until(arrival)
            self._move_to(arrival)
            calls += 1
            if self.limits.acquire(SERVICE, limit=None, total_slots=slots):
                duration_s = self._random.uniform(0.5, 1.5) * service_s
                heapq.heappush(self._ends, arrival + duration_s)
            else:
                refused += 1
            max_in_flight = max(max_in_flight, self.limits.in_flight(SERVICE))

    def _release_until(self, time_s: float) -> None:
        while self._ends and self._ends[0] <= time_s:
            self._move_to(heapq.heappop(self._ends))
            self.limits.release(SERVICE)

    def _move_to(self, time_s: float) -> None:
        self.clock.advance(time_s - self.clock.monotonic())


def test_limit_follows_document_or_slots() -> None:
    """Guards against too many calls to a callee with few slots."""
    limits = callee_limit.CalleeLimits(clock=clock.ManualClock())
    for limit, slots, expected in [(3, 500, 3), (None, 45, 45), (None, 0, 8)]:
        acquired = 0
        while limits.acquire(SERVICE, limit=limit, total_slots=slots):
            acquired += 1
        assert acquired == expected
        for _ in range(acquired):
            limits.release(SERVICE)


def test_release_without_acquire_does_not_raise_the_limit() -> None:
    """Guards against a repeated release that raises the limit."""
    limits = callee_limit.CalleeLimits(clock=clock.ManualClock())
    limits.release(SERVICE)
    assert limits.acquire(SERVICE, limit=1, total_slots=1)
    limits.release(SERVICE)
    limits.release(SERVICE)
    assert limits.acquire(SERVICE, limit=1, total_slots=1)
    assert not limits.acquire(SERVICE, limit=1, total_slots=1)


def test_normal_load_is_not_refused() -> None:
    """Guards against refusals within the capacity of the callee."""
    simulation = CallSimulation()
    _, refused, _ = simulation.run(60.0, rate=400.0, service_s=0.05)
    assert refused == 0
    _, refused, _ = simulation.run(60.0, rate=5.0, service_s=0.05)
    assert refused == 0


def test_slow_callee_has_few_calls_in_flight() -> None:
    """Guards against a slow service that occupies its callers' slots."""
    simulation = CallSimulation()
    simulation.run(20.0, rate=200.0, service_s=0.02, slots=600)
    simulation.run(1.0, rate=200.0, service_s=4.0, slots=600)
    # Calls that started before the slowness was measured end within 6 s.
    simulation.run(7.0, rate=200.0, service_s=4.0, slots=600)
    _, refused, max_in_flight = simulation.run(
        30.0, rate=200.0, service_s=4.0, slots=600
    )
    # The limit is 3 x 200/s x 0.02 s = 12 calls, with 600 slots and a demand
    # of 800 calls in flight.
    assert max_in_flight <= 15
    assert refused > 0


def test_slowdown_does_not_change_the_baseline() -> None:
    """Guards against a baseline that adapts to a short slowdown."""
    simulation = CallSimulation()
    simulation.run(20.0, rate=200.0, service_s=0.02, slots=600)
    simulation.run(30.0, rate=2000.0, service_s=4.0, slots=600)
    current = simulation.limits.current_limit(
        SERVICE, limit=None, total_slots=600
    )
    # The limit is 3 x 200/s x 0.02 s and rises by 0.3% per second.
    assert 10 <= current <= 15


def test_limit_rises_when_the_callee_recovers() -> None:
    """Guards against refusals that continue after the recovery."""
    simulation = CallSimulation()
    simulation.run(20.0, rate=200.0, service_s=0.02)
    simulation.run(20.0, rate=200.0, service_s=2.0)
    simulation.run(4.0, rate=200.0, service_s=0.02)
    _, refused, _ = simulation.run(20.0, rate=200.0, service_s=0.02)
    assert refused == 0


def test_stalled_callee_is_detected_without_a_finished_call() -> None:
    """Guards against a hanging callee that never counts as slow."""
    simulation = CallSimulation()
    simulation.run(20.0, rate=200.0, service_s=0.02, slots=600)
    _, _, max_in_flight = simulation.run(
        10.0, rate=200.0, service_s=100.0, slots=600
    )
    # Allows for the calls of one window of 0.25 s and for the windows in which
    # earlier calls still finish and hide the stall.
    assert max_in_flight <= 200


def test_lasting_change_of_service_time_is_accepted() -> None:
    """Guards against a limit that never adapts to a slower release."""
    simulation = CallSimulation()
    simulation.run(20.0, rate=200.0, service_s=0.02)
    simulation.run(400.0, rate=100.0, service_s=0.08)
    _, refused, _ = simulation.run(20.0, rate=200.0, service_s=0.08)
    assert refused == 0


def test_baseline_is_measured_at_a_low_rate() -> None:
    """Guards against a limit that works only at high call rates."""
    simulation = CallSimulation()
    simulation.run(30.0, rate=8.0, service_s=0.05)
    simulation.run(20.0, rate=8.0, service_s=20.0)
    current = simulation.limits.current_limit(
        SERVICE, limit=None, total_slots=600
    )
    assert current == const.CALLEE_MIN_LIMIT


def test_important_calls_exceed_the_limit_of_low_calls() -> None:
    """Guards against low calls that use up the limit of critical ones."""
    limits = callee_limit.CalleeLimits(clock=clock.ManualClock())
    acquired = []
    for importance in enums.Importance:
        count = 0
        while limits.acquire(
            SERVICE, limit=None, total_slots=12, importance=importance
        ):
            count += 1
        acquired.append(count)
    assert acquired == [12, 3, 6, 6]


def test_limit_of_document_holds_for_critical_calls() -> None:
    """Guards against importance that overrides the limit of a document."""
    limits = callee_limit.CalleeLimits(clock=clock.ManualClock())
    acquired = 0
    while limits.acquire(
        SERVICE,
        limit=10,
        total_slots=12,
        importance=enums.Importance.CRITICAL,
    ):
        acquired += 1
    assert acquired == 10
