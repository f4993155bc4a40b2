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
    """A limit of a workspace with the daemons that keep it."""

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
def start(rate: int, burst: int, count: int) -> Limit:
    """Start a fleet whose buckets are full."""
    spec = document.WorkspaceSpec(rate=rate, burst=burst)
    fleet = quota_simulation.Fleet(
        seed=_SEED, clients=count, specs={quota_workload.KEY: spec}
    )
    fleet.run(fleet.now + burst / rate + 2.0)
    return Limit(fleet, spec, fleet.now)


@pytest_bdd.given('messages are lost, doubled and late')
def spoil_network(limit: Limit) -> None:
    """Spoil the network between daemons."""
    limit.fleet.network = quota_simulation.Network(
        lost=0.1, duplicated=0.2, late=0.1
    )


@pytest_bdd.when(
    parsers.parse(
        'it sends {rate:d} requests per second for {seconds:d} seconds'
    )
)
def send(limit: Limit, rate: int, seconds: int) -> None:
    """Send requests to daemons at random."""
    fleet = limit.fleet
    rng = random.Random(_SEED)
    start = fleet.now
    for when in quota_workload.poisson(rng, rate, seconds):
        fleet.offer(
            start + when, rng.randrange(len(fleet.clients)), quota_workload.KEY
        )
    fleet.run(start + seconds + 1.0)


@pytest_bdd.when(
    parsers.parse(
        'after {seconds:d} seconds a daemon is paused for {pause:d} seconds'
    )
)
def plan_pause(limit: Limit, seconds: int, pause: int) -> None:
    """Pause a first daemon that holds tokens."""
    fleet = limit.fleet
    when = fleet.now + seconds

    def act() -> None:
        fleet.clients[0].paused_until = fleet.now + pause

    fleet.at(when, act)


@pytest_bdd.when(
    parsers.parse(
        'after {seconds:d} seconds the owner of partition {partition:d} is '
        'paused beyond its lease and replaced'
    )
)
def plan_replacement(limit: Limit, seconds: int, partition: int) -> None:
    """Pause an owner whose lease ends before the next term begins."""
    fleet = limit.fleet
    service = quota_workload.KEY[0]

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
def plan_cut(limit: Limit, seconds: int, rate: int) -> None:
    """Publish a document that daemons fold one by one."""
    spec = document.WorkspaceSpec(rate=rate, burst=limit.spec.burst)
    service = quota_workload.KEY[0]
    limit.fleet.at(
        limit.fleet.now + seconds,
        lambda: limit.fleet.publish(service, {quota_workload.KEY: spec}),
    )


@pytest_bdd.when(
    parsers.parse('faults of every kind strike a fleet with seed {seed:d}'),
    target_fixture='faulty',
)
def run_faults(seed: int) -> quota_simulation.Fleet:
    """Run pauses, restarts, lost owners and publications at random."""
    return quota_faults.run(seed, duration_s=8.0)


@pytest_bdd.then('no window of time holds more than its rate and burst')
def check_limit(limit: Limit) -> None:
    """Check all windows over the fleet."""
    excess = quota_simulation.excess(limit.fleet, quota_workload.KEY)
    granted = len(limit.fleet.granted(quota_workload.KEY))
    print(f'{granted} of {len(limit.fleet.calls)} granted, {excess:.2f}')
    assert granted > 0
    assert excess <= 1e-6


@pytest_bdd.then('no workspace gets more than its rate and burst')
def check_limits(faulty: quota_simulation.Fleet) -> None:
    """Check all windows of all limits."""
    for key in quota_faults.KEYS:
        assert quota_simulation.excess(faulty, key) <= 1e-6


@pytest_bdd.then('every request gets exactly one verdict')
def check_verdicts(faulty: quota_simulation.Fleet) -> None:
    """Check that late answers decide nothing twice."""
    assert max(call.verdicts for call in faulty.calls) == 1


@pytest_bdd.then(
    parsers.parse(
        'at most 1 in {count:d} of the requests within its rate is refused'
    )
)
def check_wrongful(limit: Limit, count: int) -> None:
    """Check against one bucket for the whole fleet."""
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
