"""Demand for the quota objects, and what became of it."""

import collections
import dataclasses
import random
from typing import Callable, Iterator

from lab import quota_simulation
from sassafraswood import const
from sassafraswood.models import document

KEY: quota_simulation.Key = ('status', 'blue')
CLIENTS = 6

Picker = Callable[[random.Random, float], int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Figures of one run.

    Attributes:
        wrongful: Refused calls that one bucket for the fleet would admit.
        granted_of_rate: Granted calls per second over the rate.
        excess: Calls above the limit in the worst window; see `excess`.
        bytes_per_daemon: Encoded bytes/s sent and received by one daemon.
    """

    calls: int
    refused: int
    wrongful: int
    granted_of_rate: float
    excess: float
    bytes_per_daemon: float
    waited: float
    p99_wait_s: float
    reasons: dict[str, int]


def uniform(rng: random.Random, elapsed_s: float) -> int:
    """Spread calls evenly over the first daemons."""
    return rng.randrange(CLIENTS)


def skewed(rng: random.Random, elapsed_s: float) -> int:
    """Send 90% of the calls to one first daemon."""
    return 0 if rng.random() < 0.9 else rng.randrange(1, CLIENTS)


def moving(rng: random.Random, elapsed_s: float) -> int:
    """Send all calls to one first daemon, another one each second."""
    return int(elapsed_s) % CLIENTS


PICKERS: dict[str, Picker] = {
    'uniform': uniform,
    'skewed': skewed,
    'moving': moving,
}


def poisson(
    rng: random.Random, rate: float, duration_s: float
) -> Iterator[float]:
    """Yield arrival times of independent calls."""
    when = rng.expovariate(rate)
    while when < duration_s:
        yield when
        when += rng.expovariate(rate)


def bursts(
    rng: random.Random, spec: document.WorkspaceSpec, duration_s: float
) -> Iterator[float]:
    """Yield bursts of the whole allowed burst, each when the last is over.

    The pause lets the burst fill again, and tokens that the last burst left
    with first daemons expire.
    """
    memory_s = const.QUOTA_TOKEN_LIFETIME_S + const.QUOTA_TOKEN_MARGIN_S
    pause_s = spec.burst / spec.rate + memory_s
    when = 0.0
    while when < duration_s:
        for _ in range(int(spec.burst)):
            yield when + rng.random() * 0.001
        when += pause_s


def run(
    arrivals: Iterator[float],
    pick: Picker,
    spec: document.WorkspaceSpec,
    *,
    seed: int,
    duration_s: float,
) -> Result:
    """Offer calls to a fleet whose buckets have filled."""
    fleet = quota_simulation.Fleet(
        seed=seed, clients=CLIENTS, specs={KEY: spec}
    )
    fleet.run(fleet.now + spec.burst / spec.rate + 2.0)
    rng = random.Random(seed + 1)
    start = fleet.now
    for when in sorted(arrivals):
        fleet.offer(start + when, pick(rng, when), KEY)
    fleet.run(start + duration_s + 1.0)
    return _result(fleet, spec, start, duration_s)


def _result(
    fleet: quota_simulation.Fleet,
    spec: document.WorkspaceSpec,
    start: float,
    duration_s: float,
) -> Result:
    ideal = quota_simulation.IdealBucket(spec.rate, spec.burst, start)
    reasons: collections.Counter[str] = collections.Counter()
    waits = []
    wrongful = 0
    for call in fleet.calls:
        allowed = ideal.take(call.arrived_at)
        assert call.verdict is not None and call.done_at is not None
        if call.verdict.granted:
            waits.append(call.done_at - call.arrived_at)
            continue
        assert call.verdict.reason is not None
        reasons[call.verdict.reason.value] += 1
        wrongful += allowed
    waits.sort()
    return Result(
        calls=len(fleet.calls),
        refused=sum(reasons.values()),
        wrongful=wrongful,
        granted_of_rate=len(waits) / duration_s / spec.rate,
        excess=quota_simulation.excess(fleet, KEY),
        bytes_per_daemon=fleet.bytes / duration_s / CLIENTS,
        waited=sum(wait > 0.0 for wait in waits) / len(waits),
        p99_wait_s=waits[int(0.99 * len(waits))],
        reasons=dict(reasons),
    )
