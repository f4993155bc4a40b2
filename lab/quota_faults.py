"""Random runs of the quota objects with faults, from a seed."""

import random

from lab import quota_simulation
from sassafraswood import const
from sassafraswood.models import document

KEYS: tuple[quota_simulation.Key, ...] = (
    ('status', 'blue'),
    ('status', 'green'),
)


def random_specs(
    rng: random.Random,
) -> dict[quota_simulation.Key, document.WorkspaceSpec]:
    """Return rates and bursts from one call to a few hundred."""
    return {
        key: document.WorkspaceSpec(
            rate=rng.choice((1.0, 7.0, 30.0, 200.0)),
            burst=rng.choice((1.0, 2.0, 5.0, 40.0, 300.0)),
        )
        for key in KEYS
    }


def run(
    seed: int, duration_s: float = 15.0, *, publishes: bool = True
) -> quota_simulation.Fleet:
    """Run a fleet with every fault of the design in random order."""
    rng = random.Random(seed)
    fleet = quota_simulation.Fleet(
        seed=seed,
        clients=rng.randint(2, 6),
        specs=random_specs(rng),
        network=quota_simulation.Network(
            lost=rng.choice((0.0, 0.05, 0.3)),
            duplicated=rng.choice((0.0, 0.1, 0.5)),
            late=rng.choice((0.0, 0.05, 0.3)),
        ),
        refreshes=rng.random() < 0.5,
    )
    start = fleet.now
    _offer_calls(fleet, rng, start, duration_s)
    when = start
    while when < start + duration_s:
        when += rng.expovariate(1.5)
        _plan_fault(fleet, rng, when, publishes)
    fleet.run(start + duration_s + 2.0)
    return fleet


def _offer_calls(
    fleet: quota_simulation.Fleet,
    rng: random.Random,
    start: float,
    duration_s: float,
) -> None:
    """Offer surges and pauses that change place."""
    for key in KEYS:
        when = start
        while when < start + duration_s:
            end = when + rng.uniform(0.1, 1.5)
            rate = rng.choice((0.0, 2.0, 30.0, 300.0))
            busy = rng.randrange(len(fleet.clients))
            while rate > 0.0 and when < end:
                when += rng.expovariate(rate)
                anywhere = rng.randrange(len(fleet.clients))
                client = busy if rng.random() < 0.7 else anywhere
                fleet.offer(when, client, key)
            when = max(when, end)


def _plan_fault(
    fleet: quota_simulation.Fleet,
    rng: random.Random,
    when: float,
    publishes: bool,
) -> None:
    service = KEYS[0][0]
    partition = rng.randrange(const.PARTITIONS_PER_SERVICE)
    client = rng.randrange(len(fleet.clients))
    pause_s = rng.choice((0.03, 0.3, 0.9, 1.1, 3.0))
    kind = rng.randrange(6 if publishes else 5)

    def act() -> None:
        if kind == 0:
            fleet.clients[client].paused_until = fleet.now + pause_s
        elif kind == 1:
            fleet.restart_client(client)
        elif kind == 2:
            fleet.owner(service, partition).paused_until = fleet.now + pause_s
        elif kind == 3:
            fleet.end_lease(service, partition)
            fleet.begin_term(service, partition, wait_s=0.0)
        elif kind == 4:
            _replace_lost_owner(fleet, service, partition)
        else:
            fleet.publish(service, random_specs(rng))

    _offer_surge(fleet, rng, when - rng.uniform(0.0, 0.1))
    fleet.at(when, act)
    _offer_surge(fleet, rng, when + rng.choice((0.03, 0.5, 1.1, 1.3)))


def _offer_surge(
    fleet: quota_simulation.Fleet, rng: random.Random, when: float
) -> None:
    """Offer enough calls to use up what was granted before a fault."""
    key = rng.choice(KEYS)
    for _ in range(rng.choice((0, 10, 400))):
        client = rng.randrange(len(fleet.clients))
        fleet.offer(when + rng.random() * 0.1, client, key)


def _replace_lost_owner(
    fleet: quota_simulation.Fleet, service: str, partition: int
) -> None:
    """End a lease, and begin the claimed term when its tokens are gone."""
    term = fleet.entries[(service, partition)].term
    fleet.owner(service, partition).alive = False

    def begin() -> None:
        if fleet.entries[(service, partition)].term == term:
            fleet.begin_term(
                service,
                partition,
                wait_s=const.LEASE_S + const.LEASE_MARGIN_S,
            )

    fleet.at(fleet.now + const.LEASE_MARGIN_S, begin)
