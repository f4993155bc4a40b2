"""Steps about the rate and burst of a workspace across the fleet."""

import dataclasses
import random

import pytest_bdd
from pytest_bdd import parsers

from lab import quota_faults
from lab import quota_simulation
from lab import quota_workload
from sassafraswood import const
from sassafraswood.models import document

_SEED = 5


@dataclasses.dataclass
class Limit:
    """The limit of a workspace and the fleet that enforces it.

    Attributes:
        fleet: The simulated daemons.
        spec: The rate and burst of the workspace.
        started_at: The simulated time, in seconds, at which all buckets are
            full.
    """

    fleet: quota_simulation.Fleet
    spec: document.WorkspaceSpec
    started_at: float
    ideal_refusals: int = 0


@pytest_bdd.given(
    parsers.parse(
        'a workspace that may send {rate:d} requests per second and '
        '{burst:d} at once, over {count:d} daemons'
    ),
    target_fixture='limit',
)
def start_fleet(rate: int, burst: int, count: int) -> Limit:
    """Start a fleet and run it until its buckets are full."""
    spec = document.WorkspaceSpec(rate=rate, burst=burst)
    fleet = quota_simulation.Fleet(
        seed=_SEED, clients=count, specs={quota_workload.LIMIT_KEY: spec}
    )
    fleet.run(fleet.now + burst / rate + 2.0)
    return Limit(fleet, spec, fleet.now)


@pytest_bdd.given('messages are lost, duplicated and delayed')
def add_network_faults(limit: Limit) -> None:
    """Lose, duplicate and delay messages between daemons."""
    limit.fleet.network = quota_simulation.Network(
        loss_probability=0.1, duplicate_probability=0.2, late_probability=0.1
    )


@pytest_bdd.when(
    parsers.parse(
        'it sends {rate:d} requests per second for {seconds:d} seconds'
    )
)
def send_requests(limit: Limit, rate: int, seconds: int) -> None:
    """Send requests, with Poisson arrivals, to daemons at random."""
    fleet = limit.fleet
    rng = random.Random(_SEED)
    started_at = fleet.now
    for offset_s in quota_workload.generate_poisson_arrivals(
        rng, rate, seconds
    ):
        fleet.offer(
            started_at + offset_s,
            rng.randrange(len(fleet.clients)),
            quota_workload.LIMIT_KEY,
        )
    fleet.run(started_at + seconds + 1.0)


@pytest_bdd.when(
    parsers.parse(
        'after {seconds:d} seconds a daemon is paused for {pause:d} seconds'
    )
)
def plan_pause(limit: Limit, seconds: int, pause: int) -> None:
    """Schedule the pause of the first daemon, which may hold tokens."""
    fleet = limit.fleet
    pause_at = fleet.now + seconds

    def pause_first() -> None:
        fleet.clients[0].paused_until = fleet.now + pause

    fleet.at(pause_at, pause_first)


@pytest_bdd.when(
    parsers.parse(
        'after {seconds:d} seconds the owner of partition {partition:d} is '
        'paused beyond its lease and replaced'
    )
)
def plan_replacement(limit: Limit, seconds: int, partition: int) -> None:
    """Schedule a pause of an owner that outlasts its lease, and its successor.

    The lease ends before the next term begins.
    """
    fleet = limit.fleet
    service = quota_workload.LIMIT_KEY[0]

    def replace() -> None:
        fleet.end_lease(service, partition)
        fleet.begin_term(
            service, partition, wait_s=const.LEASE_S + const.LEASE_MARGIN_S
        )

    def pause() -> None:
        fleet.owner(service, partition).paused_until = fleet.now + 15.0
        fleet.at(fleet.now + const.LEASE_MARGIN_S, replace)

    fleet.at(fleet.now + seconds, pause)


@pytest_bdd.when(
    parsers.parse(
        'after {seconds:d} seconds operators lower the limit to {rate:d} per '
        'second'
    )
)
def plan_limit_change(limit: Limit, seconds: int, rate: int) -> None:
    """Schedule a publication that daemons apply one after the other."""
    spec = document.WorkspaceSpec(rate=rate, burst=limit.spec.burst)
    service = quota_workload.LIMIT_KEY[0]
    limit.fleet.at(
        limit.fleet.now + seconds,
        lambda: limit.fleet.publish(service, {quota_workload.LIMIT_KEY: spec}),
    )


@pytest_bdd.when(
    parsers.parse('faults of every kind strike a fleet with seed {seed:d}'),
    target_fixture='faulty',
)
def run_with_faults(seed: int) -> quota_simulation.Fleet:
    """Run with random pauses, restarts, lost owners and publications."""
    return quota_faults.run(seed, duration_s=8.0)


@pytest_bdd.then('no window of time holds more than its rate and burst')
def check_limit(limit: Limit) -> None:
    """Check the calls granted by the whole fleet in each window of time."""
    excess = quota_simulation.compute_excess(
        limit.fleet, quota_workload.LIMIT_KEY
    )
    granted = len(limit.fleet.list_grant_times(quota_workload.LIMIT_KEY))
    print(f'{granted} of {len(limit.fleet.calls)} granted, {excess:.2f}')
    assert granted > 0
    assert excess <= 1e-6


@pytest_bdd.then('no workspace gets more than its rate and burst')
def check_limits(faulty: quota_simulation.Fleet) -> None:
    """Check the calls granted in each window of time for each limit."""
    for key in quota_faults.LIMIT_KEYS:
        assert quota_simulation.compute_excess(faulty, key) <= 1e-6


@pytest_bdd.then('every request gets exactly one verdict')
def check_verdicts(faulty: quota_simulation.Fleet) -> None:
    """Check that a late reply does not decide a request a second time."""
    assert max(call.verdicts for call in faulty.calls) == 1


@pytest_bdd.then(
    parsers.parse(
        'at most 1 in {count:d} of the requests within its rate is refused'
    )
)
def check_wrongful_refusals(limit: Limit, count: int) -> None:
    """Compare with an ideal token bucket shared by the whole fleet."""
    ideal = quota_simulation.IdealBucket(
        limit.spec.rate, limit.spec.burst, limit.started_at
    )
    allowed = wrongful = 0
    for call in limit.fleet.calls:
        if not ideal.take(call.arrived_at):
            continue
        allowed += 1
        wrongful += call.verdict is None or not call.verdict.granted
    print(f'{wrongful} of {allowed} refused')
    assert allowed >= count
    assert wrongful <= allowed / count
