"""Offers calls to simulated quota clients and summarizes the verdicts."""

import collections
import dataclasses
import random
from typing import Callable, Iterator

from lab import quota_simulation
from sassafraswood import const
from sassafraswood.models import document

LIMIT_KEY: quota_simulation.LimitKey = ('status', 'blue')
CLIENTS = 6

ClientPicker = Callable[[random.Random, float], int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Results of one run.

    Attributes:
        wrongful: Refused calls that one token bucket for the whole fleet
            would admit.
        granted_of_rate: Granted calls per second, as a fraction of the rate.
        excess: Calls above the limit in the worst window; see
            `quota_simulation.compute_excess`.
        bytes_per_s: Encoded bytes per second of quota requests and grants, per
            client daemon.
        waited_fraction: Fraction of the granted calls that waited.
        p99_wait_s: 99th percentile of the wait of granted calls in seconds.
        reasons: Refused calls by reason.
    """

    calls: int
    refused: int
    wrongful: int
    granted_of_rate: float
    excess: float
    bytes_per_s: float
    waited_fraction: float
    p99_wait_s: float
    reasons: dict[str, int]


def pick_uniform(rng: random.Random, elapsed_s: float) -> int:
    """Choose each client with the same probability."""
    return rng.randrange(CLIENTS)


def pick_skewed(rng: random.Random, elapsed_s: float) -> int:
    """Choose the first client for 90% of the calls."""
    return 0 if rng.random() < 0.9 else rng.randrange(1, CLIENTS)


def pick_moving(rng: random.Random, elapsed_s: float) -> int:
    """Choose one client for all calls, and the next one each second."""
    return int(elapsed_s) % CLIENTS


PICKERS: dict[str, ClientPicker] = {
    'uniform': pick_uniform,
    'skewed': pick_skewed,
    'moving': pick_moving,
}


def generate_poisson_arrivals(
    rng: random.Random, rate: float, duration_s: float
) -> Iterator[float]:
    """Yield the times of Poisson arrivals, in seconds from the start."""
    offset_s = rng.expovariate(rate)
    while offset_s < duration_s:
        yield offset_s
        offset_s += rng.expovariate(rate)


def generate_bursts(
    rng: random.Random, spec: document.WorkspaceSpec, duration_s: float
) -> Iterator[float]:
    """Yield the arrival times of bursts as large as the limit allows.

    The pause after a burst is long enough for the buckets to refill and for
    the tokens that the burst left at clients to expire.
    """
    lifetime_s = const.QUOTA_TOKEN_LIFETIME_S + const.QUOTA_TOKEN_MARGIN_S
    pause_s = spec.burst / spec.rate + lifetime_s
    offset_s = 0.0
    while offset_s < duration_s:
        for _ in range(int(spec.burst)):
            yield offset_s + rng.random() * 0.001
        offset_s += pause_s


def run(
    arrivals: Iterator[float],
    pick_client: ClientPicker,
    spec: document.WorkspaceSpec,
    *,
    seed: int,
    duration_s: float,
) -> Result:
    """Offer calls to a fleet whose buckets are full and return the results.

    Args:
        arrivals: Times of the calls in seconds, relative to the start.
        pick_client: Chooses the client of a call from the time of arrival.
        spec: The limit of the workspace.
        seed: Seed of the fleet and of the choice of clients.
        duration_s: Virtual time in which the calls arrive, in seconds.
    """
    fleet = quota_simulation.Fleet(
        seed=seed, clients=CLIENTS, specs={LIMIT_KEY: spec}
    )
    fleet.run(fleet.now + spec.burst / spec.rate + 2.0)
    rng = random.Random(seed + 1)
    started_at = fleet.now
    for offset_s in sorted(arrivals):
        fleet.offer(
            started_at + offset_s, pick_client(rng, offset_s), LIMIT_KEY
        )
    fleet.run(started_at + duration_s + 1.0)
    return _summarize(fleet, spec, started_at, duration_s)


def _summarize(
    fleet: quota_simulation.Fleet,
    spec: document.WorkspaceSpec,
    started_at: float,
    duration_s: float,
) -> Result:
    ideal = quota_simulation.IdealBucket(spec.rate, spec.burst, started_at)
    reasons: collections.Counter[str] = collections.Counter()
    waits_s = []
    wrongful = 0
    for call in fleet.calls:
        is_within_limit = ideal.take(call.arrived_at)
        assert call.verdict is not None and call.done_at is not None
        if call.verdict.granted:
            waits_s.append(call.done_at - call.arrived_at)
            continue
        assert call.verdict.reason is not None
        reasons[call.verdict.reason.value] += 1
        wrongful += is_within_limit
    waits_s.sort()
    return Result(
        calls=len(fleet.calls),
        refused=sum(reasons.values()),
        wrongful=wrongful,
        granted_of_rate=len(waits_s) / duration_s / spec.rate,
        excess=quota_simulation.compute_excess(fleet, LIMIT_KEY),
        bytes_per_s=fleet.transferred_bytes / duration_s / CLIENTS,
        waited_fraction=sum(wait_s > 0.0 for wait_s in waits_s) / len(waits_s),
        p99_wait_s=waits_s[int(0.99 * len(waits_s))],
        reasons=dict(reasons),
    )
