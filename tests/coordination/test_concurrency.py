"""Tests of the adaptive concurrency limit, in virtual time."""

import statistics

import pytest

from lab import admission_sim
from sassafraswood import clock
from sassafraswood.coordination import concurrency
from sassafraswood.models import enums

SERVICE_S = 0.05


def _simulate_overload(
    slots: int, *, announced: int | None = None, sheds: bool = False
) -> admission_sim.Simulation:
    simulation = admission_sim.Simulation(
        seed=11, real_slots=slots, announced_slots=announced, sheds=sheds
    )
    for workspace in ('a', 'b', 'c'):
        rate = 2 * slots / SERVICE_S / 3
        simulation.add_flow(
            admission_sim.Flow(
                workspace=workspace, rates=((0, rate),), service_s=SERVICE_S
            )
        )
    return simulation


def _mean_limit(
    simulation: admission_sim.Simulation, since: float, until: float
) -> float:
    return statistics.mean(
        limit for time_s, limit in simulation.limits if since <= time_s < until
    )


@pytest.mark.parametrize('slots', [15, 45])
def test_natural_variation_keeps_the_slots(slots: int) -> None:
    """Guards against cuts caused by the variance of service times."""
    simulation = _simulate_overload(slots)
    simulation.run(15)
    assert _mean_limit(simulation, 4, 15) >= 0.95 * slots
    assert sum(simulation.shares(4, 15).values()) >= 0.95


def test_cold_start_ramps_from_a_tenth() -> None:
    """Guards against sending the full load to a cold upstream at once."""
    simulation = _simulate_overload(45)
    simulation.run(4)
    limits = [limit for _, limit in simulation.limits]
    assert set(limits[:10]) == {5}
    changes = zip(limits, limits[10:], strict=False)
    assert max(after - before for before, after in changes) <= 0.25 * 45
    assert set(limits[300:]) == {45}


@pytest.mark.parametrize('sheds', [False, True])
def test_too_many_announced_slots(sheds: bool) -> None:
    """Guards against a limit that follows a wrong slot count."""
    simulation = _simulate_overload(30, announced=60, sheds=sheds)
    simulation.run(15)
    assert 28 <= _mean_limit(simulation, 4, 15) <= 45
    assert simulation.goodput(4, 15) >= 0.95


def test_slowdown_and_its_end() -> None:
    """Guards against a limit that stays low after a slowdown."""
    simulation = _simulate_overload(45)
    simulation.schedule(5, lambda: simulation.set_slowdown(4.0))
    simulation.schedule(10, lambda: simulation.set_slowdown(1.0))
    simulation.run(15)
    assert simulation.goodput(6, 10) >= 0.9 * 0.25
    assert _mean_limit(simulation, 12, 15) >= 0.95 * 45
    assert simulation.goodput(12, 15) >= 0.95


def test_lost_capacity_cuts_the_limit_until_it_is_back() -> None:
    """Guards against a full limit at an upstream that lost capacity."""
    simulation = _simulate_overload(45)
    simulation.run(5)
    simulation.set_real_slots(11)
    simulation.run(13)
    assert simulation.limits[-1][1] <= 30
    simulation.set_real_slots(45)
    simulation.run(18)
    assert _mean_limit(simulation, 15, 18) >= 0.95 * 45
    assert simulation.goodput(15, 18) >= 0.95


def test_change_of_routes_is_no_slowdown() -> None:
    """Guards against a cut when slow routes become more frequent."""
    simulation = admission_sim.Simulation(seed=5, real_slots=45)
    for service_s, rates in (
        (0.02, ((0, 2000), (6, 100))),
        (0.2, ((0, 50), (6, 400))),
    ):
        simulation.add_flow(
            admission_sim.Flow(
                workspace='a',
                rates=rates,
                service_s=service_s,
                timeout_s=3.0,
                route=str(service_s),
            )
        )
    simulation.run(12)
    assert _mean_limit(simulation, 4, 12) >= 0.95 * 45


def test_hanging_upstream_lowers_the_limit() -> None:
    """Guards against full load on an upstream that no longer responds."""
    manual_clock = clock.ManualClock()
    limit = concurrency.ConcurrencyLimit(clock=manual_clock)
    limit.restart(100)
    for _ in range(400):
        call_count = limit.limit
        for _ in range(call_count):
            limit.note_start('')
        manual_clock.advance(0.02)
        for _ in range(call_count):
            limit.note_end('', 0.02, enums.ServiceOutcome.COMPLETED)
    assert limit.limit == 100
    for _ in range(20):
        call_count = limit.limit
        for _ in range(call_count):
            limit.note_start('')
        manual_clock.advance(0.5)
        for _ in range(call_count):
            limit.note_end('', 0.5, enums.ServiceOutcome.TIMED_OUT)
    assert 1 <= limit.limit <= 10


def test_limit_stays_between_one_and_the_slots() -> None:
    """Guards against a limit of zero at a small upstream that sheds."""
    manual_clock = clock.ManualClock()
    limit = concurrency.ConcurrencyLimit(clock=manual_clock)
    assert limit.limit == 0
    limit.restart(3)
    for _ in range(100):
        limit.note_start('')
        manual_clock.advance(0.1)
        limit.note_end('', 0.1, enums.ServiceOutcome.SHED)
        assert limit.limit == 1
    limit.set_slots(0)
    assert limit.limit == 0
