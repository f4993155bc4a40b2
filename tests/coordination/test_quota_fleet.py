"""Tests of quota owners and clients together in simulated time."""

import random

import pytest

from lab import quota_faults
from lab import quota_simulation
from lab import quota_workload
from sassafraswood import const
from sassafraswood.models import document
from sassafraswood.models import enums

_SPEC = document.WorkspaceSpec(rate=100.0, burst=100.0)
_DURATION_S = 15.0


@pytest.mark.parametrize('seed', range(12))
def test_no_window_exceeds_rate_and_burst(seed: int) -> None:
    """Guards against calls above the limit after any order of faults."""
    fleet = quota_faults.run(seed, duration_s=8.0)
    for key in quota_faults.LIMIT_KEYS:
        assert quota_simulation.compute_excess(fleet, key) <= 1e-6
    assert max(call.verdicts for call in fleet.calls) == 1


# Guards against 429 rate_exceeded far below the rate after a planned stop of
# the daemon that owns all partitions.
def test_hand_over_of_all_partitions_refuses_no_call_below_the_rate() -> None:
    """A tenth of the rate goes on while the owner of all limits changes."""
    fleet = quota_simulation.Fleet(
        seed=1,
        clients=2,
        specs={
            quota_workload.LIMIT_KEY: document.WorkspaceSpec(
                rate=300.0, burst=300.0
            )
        },
    )
    fleet.run(fleet.now + 1.0)
    started_at = fleet.now
    for index in range(120):
        fleet.offer(
            started_at + index / 30.0, index % 2, quota_workload.LIMIT_KEY
        )
    fleet.run(started_at + 1.0)
    for partition in range(const.PARTITIONS_PER_SERVICE):
        fleet.hand_over(quota_workload.LIMIT_KEY[0], partition)
    fleet.run(started_at + 5.0)
    # Till then, clients that have not learnt of a new term ask its last owner.
    known_at = started_at + 1.3
    for call in fleet.calls:
        assert call.verdict is not None
        if call.arrived_at >= known_at:
            assert call.verdict.granted
        assert call.verdict.reason is not enums.RefusalReason.RATE_EXCEEDED
    assert len(fleet.list_grant_times(quota_workload.LIMIT_KEY)) >= 115


def test_checker_sees_one_call_too_many() -> None:
    """Guards against a checker that detects no excess."""
    spec = document.WorkspaceSpec(rate=1.0, burst=5.0)
    fleet = quota_simulation.Fleet(
        seed=1, clients=1, specs={quota_workload.LIMIT_KEY: spec}
    )
    fleet.run(fleet.now + 20.0)
    for _ in range(5):
        fleet.offer(fleet.now, 0, quota_workload.LIMIT_KEY)
    fleet.run(fleet.now + 0.1)
    assert (
        quota_simulation.compute_excess(fleet, quota_workload.LIMIT_KEY)
        <= 1e-6
    )
    extra = fleet.calls[0]
    fleet.calls.append(extra)
    assert (
        quota_simulation.compute_excess(fleet, quota_workload.LIMIT_KEY) > 0.9
    )


@pytest.mark.parametrize('name', quota_workload.PICKERS)
def test_demand_below_the_rate_is_not_refused(name: str) -> None:
    """Guards against refusals while other daemons hold unused tokens."""
    result = quota_workload.run(
        quota_workload.generate_poisson_arrivals(
            random.Random(3), 80.0, _DURATION_S
        ),
        quota_workload.PICKERS[name],
        _SPEC,
        seed=3,
        duration_s=_DURATION_S,
    )
    print(f'{name}: {result.refused} of {result.calls} refused')
    assert result.refused <= result.calls / 1000


@pytest.mark.parametrize('name', quota_workload.PICKERS)
def test_allowed_bursts_are_not_refused(name: str) -> None:
    """Guards against refusals in a burst whose tokens other daemons hold."""
    result = quota_workload.run(
        quota_workload.generate_bursts(random.Random(3), _SPEC, _DURATION_S),
        quota_workload.PICKERS[name],
        _SPEC,
        seed=3,
        duration_s=_DURATION_S,
    )
    print(f'{name}: {result.refused} of {result.calls} refused')
    assert result.refused <= result.calls / 1000


@pytest.mark.parametrize('name', quota_workload.PICKERS)
def test_overload_is_granted_up_to_the_rate(name: str) -> None:
    """Guards against tokens that are lost while demand exceeds the rate."""
    result = quota_workload.run(
        quota_workload.generate_poisson_arrivals(
            random.Random(3), 300.0, _DURATION_S
        ),
        quota_workload.PICKERS[name],
        _SPEC,
        seed=3,
        duration_s=_DURATION_S,
    )
    # The tokens of the burst, full at the start, are not of the rate.
    granted = result.granted_of_rate - _SPEC.burst / _SPEC.rate / _DURATION_S
    print(f'{name}: {granted:.3f} of the rate granted')
    assert granted >= 0.95
