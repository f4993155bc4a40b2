"""Runs quota clients and owners with random demand and faults."""

import random

from lab import quota_simulation
from sassafraswood import const
from sassafraswood.models import document

LIMIT_KEYS: tuple[quota_simulation.LimitKey, ...] = (
    ('status', 'blue'),
    ('status', 'green'),
)


def draw_specs(
    rng: random.Random,
) -> dict[quota_simulation.LimitKey, document.WorkspaceSpec]:
    """Return random rates and bursts, from 1 call to a few hundred."""
    return {
        key: document.WorkspaceSpec(
            rate=rng.choice((1.0, 7.0, 30.0, 200.0)),
            burst=rng.choice((1.0, 2.0, 5.0, 40.0, 300.0)),
        )
        for key in LIMIT_KEYS
    }


def run(
    seed: int, duration_s: float = 15.0, *, has_publications: bool = True
) -> quota_simulation.Fleet:
    """Run a fleet with random demand and return it after the last event.

    Faults of all kinds occur in random order: paused and restarted clients,
    paused and lost owners, ended leases, hand-overs, and lost, duplicated and
    late messages.

    Args:
        seed: Seed of all random choices.
        duration_s: Virtual time with demand and faults, in seconds.
        has_publications: Whether documents with other limits are published.
    """
    rng = random.Random(seed)
    fleet = quota_simulation.Fleet(
        seed=seed,
        clients=rng.randint(2, 6),
        specs=draw_specs(rng),
        network=quota_simulation.Network(
            loss_probability=rng.choice((0.0, 0.05, 0.3)),
            duplicate_probability=rng.choice((0.0, 0.1, 0.5)),
            late_probability=rng.choice((0.0, 0.05, 0.3)),
        ),
        has_prompt_refresh=rng.random() < 0.5,
    )
    started_at = fleet.now
    _offer_calls(fleet, rng, started_at, duration_s)
    at_s = started_at
    while at_s < started_at + duration_s:
        at_s += rng.expovariate(1.5)
        _plan_fault(fleet, rng, at_s, has_publications)
    fleet.run(started_at + duration_s + 2.0)
    return fleet


def _offer_calls(
    fleet: quota_simulation.Fleet,
    rng: random.Random,
    started_at: float,
    duration_s: float,
) -> None:
    """Offer phases of demand, most of it at one random client."""
    for key in LIMIT_KEYS:
        at_s = started_at
        while at_s < started_at + duration_s:
            ends_at = at_s + rng.uniform(0.1, 1.5)
            rate_per_s = rng.choice((0.0, 2.0, 30.0, 300.0))
            busy_client = rng.randrange(len(fleet.clients))
            while rate_per_s > 0.0 and at_s < ends_at:
                at_s += rng.expovariate(rate_per_s)
                any_client = rng.randrange(len(fleet.clients))
                client = busy_client if rng.random() < 0.7 else any_client
                fleet.offer(at_s, client, key)
            at_s = max(at_s, ends_at)


def _plan_fault(
    fleet: quota_simulation.Fleet,
    rng: random.Random,
    at_s: float,
    has_publications: bool,
) -> None:
    service = LIMIT_KEYS[0][0]
    partition = rng.randrange(const.PARTITIONS_PER_SERVICE)
    client = rng.randrange(len(fleet.clients))
    pause_s = rng.choice((0.03, 0.3, 0.9, 1.1, 3.0))
    kind = rng.randrange(7 if has_publications else 6)

    def inject() -> None:
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
        elif kind == 5:
            fleet.hand_over(service, partition)
        else:
            fleet.publish(service, draw_specs(rng))

    _offer_surge(fleet, rng, at_s - rng.uniform(0.0, 0.1))
    fleet.at(at_s, inject)
    _offer_surge(fleet, rng, at_s + rng.choice((0.03, 0.5, 1.1, 1.3)))


def _offer_surge(
    fleet: quota_simulation.Fleet, rng: random.Random, at_s: float
) -> None:
    """Offer 0, 10 or 400 calls of one limit within 0.1 s.

    Many calls use up the tokens that clients hold near a fault.
    """
    key = rng.choice(LIMIT_KEYS)
    for _ in range(rng.choice((0, 10, 400))):
        client = rng.randrange(len(fleet.clients))
        fleet.offer(at_s + rng.random() * 0.1, client, key)


def _replace_lost_owner(
    fleet: quota_simulation.Fleet, service: str, partition: int
) -> None:
    """Kill an owner and begin a new term LEASE_MARGIN_S later.

    The new owner waits until the lease of the killed one and its tokens have
    expired. No new term begins if another one has begun meanwhile.
    """
    term = fleet.partition_entries[(service, partition)].term
    fleet.owner(service, partition).is_alive = False

    def begin_next_term() -> None:
        if fleet.partition_entries[(service, partition)].term == term:
            fleet.begin_term(
                service,
                partition,
                wait_s=const.LEASE_S + const.LEASE_MARGIN_S,
            )

    fleet.at(fleet.now + const.LEASE_MARGIN_S, begin_next_term)
