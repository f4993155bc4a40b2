"""Compares the quota protocol with a token bucket in each daemon.

Run with `script/python -m lab.quota_experiment`. The simulation runs in
virtual time with fixed seeds, message delays of 1 to 4 ms each way, and 6
client daemons. The buckets of the baselines exchange no messages. In the
first baseline (rate/N) each of the N daemons has 1/N of the rate and burst;
in the second (N*rate) each has the whole rate and burst.
"""

import random

from lab import quota_faults
from lab import quota_simulation
from lab import quota_workload
from sassafraswood.models import document

_SEEDS = (11, 12)
_DURATION_S = 30.0
# Pairs of rate (calls per second) and burst (calls).
_LIMITS = ((100.0, 100.0), (100.0, 20.0), (20.0, 20.0), (10.0, 10.0))
_SMALL_LIMITS = ((10.0, 2.0), (10.0, 1.0), (1.0, 1.0))
_FAULT_SEEDS = range(1000, 1030)
_CALLS_PER_S_PER_DAEMON = 56.0


def _make_spec(rate: float, burst: float) -> document.WorkspaceSpec:
    return document.WorkspaceSpec(rate=rate, burst=burst)


def _make_arrivals(
    load: str, spec: document.WorkspaceSpec, seed: int
) -> list[float]:
    """Return arrival times: 'bursts', or Poisson such as '0.8x' the rate."""
    rng = random.Random(seed)
    if load == 'bursts':
        return list(quota_workload.generate_bursts(rng, spec, _DURATION_S))
    factor = float(load.removesuffix('x'))
    return list(
        quota_workload.generate_poisson_arrivals(
            rng, factor * spec.rate, _DURATION_S
        )
    )


def _run_baseline(
    arrivals: list[float],
    pick_client: quota_workload.ClientPicker,
    spec: document.WorkspaceSpec,
    fraction: float,
    seed: int,
) -> tuple[int, int]:
    """Give each daemon its own bucket with a fraction of the limit.

    Returns:
        The granted calls, and the refused ones that one bucket for the whole
        fleet would admit.
    """
    rng = random.Random(seed + 1)
    buckets = [
        quota_simulation.IdealBucket(
            spec.rate * fraction, spec.burst * fraction, 0.0
        )
        for _ in range(quota_workload.CLIENTS)
    ]
    ideal = quota_simulation.IdealBucket(spec.rate, spec.burst, 0.0)
    granted = wrongful = 0
    for arrived_at in sorted(arrivals):
        is_granted = buckets[pick_client(rng, arrived_at)].take(arrived_at)
        granted += is_granted
        wrongful += ideal.take(arrived_at) and not is_granted
    return granted, wrongful


def _print_result(rate: float, burst: float, load: str, place: str) -> None:
    spec = _make_spec(rate, burst)
    pick_client = quota_workload.PICKERS[place]
    calls = refused = wrongful = baseline_total = 0
    granted_of_rate = full_fraction = p99_wait_s = bytes_per_s = 0.0
    for seed in _SEEDS:
        arrivals = _make_arrivals(load, spec, seed)
        result = quota_workload.run(
            iter(arrivals),
            pick_client,
            spec,
            seed=seed,
            duration_s=_DURATION_S,
        )
        fraction = 1.0 / quota_workload.CLIENTS
        _, baseline_wrongful = _run_baseline(
            arrivals, pick_client, spec, fraction, seed
        )
        full_granted, _ = _run_baseline(arrivals, pick_client, spec, 1.0, seed)
        calls += result.calls
        refused += result.refused
        wrongful += result.wrongful
        baseline_total += baseline_wrongful
        count = len(_SEEDS)
        full_fraction += full_granted / _DURATION_S / rate / count
        granted_of_rate += result.granted_of_rate / count
        p99_wait_s = max(p99_wait_s, result.p99_wait_s)
        bytes_per_s += result.bytes_per_s / count
    print(
        f'{rate:5.0f} {burst:5.0f} {load:>7} {place:8} {calls:6}'
        f' {1000 * refused / calls:8.2f} {1000 * wrongful / calls:8.2f}'
        f' {1000 * baseline_total / calls:8.2f}'
        f' {granted_of_rate:8.3f} {full_fraction:8.3f}'
        f' {1000 * p99_wait_s:7.1f} {bytes_per_s:8.0f}'
    )


def _print_traffic(services: int, workspaces: int, burst_s: float) -> None:
    """Print the quota traffic per daemon; ten daemons get 56 calls/s each."""
    daemons = 10
    keys = [
        (f'service-{service}', f'workspace-{workspace}')
        for service in range(services)
        for workspace in range(workspaces)
    ]
    # The demand is 0.8 of the rate of each limit.
    rate = daemons * _CALLS_PER_S_PER_DAEMON / len(keys) / 0.8
    fleet = quota_simulation.Fleet(
        seed=5,
        clients=daemons,
        specs={key: _make_spec(rate, burst_s * rate) for key in keys},
    )
    fleet.run(fleet.now + 5.0)
    rng = random.Random(5)
    started_at = fleet.now
    for offset_s in quota_workload.generate_poisson_arrivals(
        rng, daemons * _CALLS_PER_S_PER_DAEMON, 20.0
    ):
        fleet.offer(
            started_at + offset_s, rng.randrange(daemons), rng.choice(keys)
        )
    fleet.run(started_at + 20.0)
    bytes_per_s = fleet.transferred_bytes / daemons / 20.0
    messages_per_s = fleet.message_count / daemons / 20.0
    waited = sum(call.done_at != call.arrived_at for call in fleet.calls)
    refused = sum(
        call.verdict is not None and not call.verdict.granted
        for call in fleet.calls
    )
    print(
        f'{services} services x {workspaces} workspaces, burst of'
        f' {burst_s:.0f} s of the rate: {bytes_per_s:.0f} bytes/s,'
        f' {messages_per_s:.1f} messages/s,'
        f' {waited / len(fleet.calls):.3f} of the calls wait,'
        f' {refused} refused'
    )


def main() -> None:
    """Print the comparison, the traffic and the excess under faults."""
    print(
        ' rate burst    load place     calls  refused wrongful  rate/N'
        '  granted  N*rate  p99wait  bytes/s'
    )
    print(
        '                                   per mille  p.mille p.mille'
        ' of rate  of rate      ms per daemon'
    )
    for rate, burst in _LIMITS:
        for load in ('0.8x', '0.9x', 'bursts', '3x'):
            for place in quota_workload.PICKERS:
                _print_result(rate, burst, load, place)
    for rate, burst in _SMALL_LIMITS:
        for load in ('0.3x', '3x'):
            for place in quota_workload.PICKERS:
                _print_result(rate, burst, load, place)
    print('control traffic of a daemon with 56 calls/s, at 0.8 of the rates')
    for services, workspaces in ((1, 4), (2, 4), (3, 4), (4, 8)):
        for burst_s in (1.0, 2.0):
            _print_traffic(services, workspaces, burst_s)
    worst = float('-inf')
    granted = 0
    for seed in _FAULT_SEEDS:
        fleet = quota_faults.run(seed)
        for key in quota_faults.LIMIT_KEYS:
            granted += len(fleet.list_grant_times(key))
            worst = max(worst, quota_simulation.compute_excess(fleet, key))
    print(
        f'faults: {len(_FAULT_SEEDS)} seeds, {granted} admissions, worst'
        f' window {worst:.9f} calls above the bound'
    )


if __name__ == '__main__':
    main()
