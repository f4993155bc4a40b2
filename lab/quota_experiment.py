"""Measures the quota objects against limits kept by each daemon alone.

Run with `script/python -m lab.quota_experiment`. All figures come from
virtual time with fixed seeds, message delays of 1 to 4 ms each way, and 6
first daemons. The baselines are one bucket per daemon, with the Nth part of
the rate and burst or with the whole of both.
"""

import random

from lab import quota_faults
from lab import quota_simulation
from lab import quota_workload
from sassafraswood.models import document

_SEEDS = (11, 12)
_DURATION_S = 30.0
_LIMITS = ((100.0, 100.0), (100.0, 20.0), (20.0, 20.0), (10.0, 10.0))
_SMALL_LIMITS = ((10.0, 2.0), (10.0, 1.0), (1.0, 1.0))
_FAULT_SEEDS = range(1000, 1030)
_CALLS_PER_DAEMON = 56.0


def _spec(rate: float, burst: float) -> document.WorkspaceSpec:
    return document.WorkspaceSpec(rate=rate, burst=burst)


def _arrivals(
    name: str, spec: document.WorkspaceSpec, seed: int
) -> list[float]:
    rng = random.Random(seed)
    if name == 'bursts':
        return list(quota_workload.bursts(rng, spec, _DURATION_S))
    load = float(name.removesuffix('x'))
    return list(quota_workload.poisson(rng, load * spec.rate, _DURATION_S))


def _baseline(
    arrivals: list[float],
    picker: quota_workload.Picker,
    spec: document.WorkspaceSpec,
    part: float,
    seed: int,
) -> tuple[int, int]:
    """Return (granted, wrongfully refused) with a bucket per daemon."""
    rng = random.Random(seed + 1)
    buckets = [
        quota_simulation.IdealBucket(spec.rate * part, spec.burst * part, 0.0)
        for _ in range(quota_workload.CLIENTS)
    ]
    ideal = quota_simulation.IdealBucket(spec.rate, spec.burst, 0.0)
    granted = wrongful = 0
    for when in sorted(arrivals):
        admitted = buckets[picker(rng, when)].take(when)
        granted += admitted
        wrongful += ideal.take(when) and not admitted
    return granted, wrongful


def _measure(rate: float, burst: float, load: str, place: str) -> None:
    spec = _spec(rate, burst)
    picker = quota_workload.PICKERS[place]
    calls = refused = wrongful = base_wrongful = 0
    granted = base_full = wait = size = 0.0
    for seed in _SEEDS:
        arrivals = _arrivals(load, spec, seed)
        result = quota_workload.run(
            iter(arrivals), picker, spec, seed=seed, duration_s=_DURATION_S
        )
        part = 1.0 / quota_workload.CLIENTS
        _, missed = _baseline(arrivals, picker, spec, part, seed)
        all_granted, _ = _baseline(arrivals, picker, spec, 1.0, seed)
        calls += result.calls
        refused += result.refused
        wrongful += result.wrongful
        base_wrongful += missed
        count = len(_SEEDS)
        base_full += all_granted / _DURATION_S / rate / count
        granted += result.granted_of_rate / count
        wait = max(wait, result.p99_wait_s)
        size += result.bytes_per_daemon / count
    print(
        f'{rate:5.0f} {burst:5.0f} {load:>7} {place:8} {calls:6}'
        f' {1000 * refused / calls:8.2f} {1000 * wrongful / calls:8.2f}'
        f' {1000 * base_wrongful / calls:8.2f} {granted:8.3f}'
        f' {base_full:8.3f} {1000 * wait:7.1f} {size:8.0f}'
    )


def _measure_cost(services: int, workspaces: int, burst_s: float) -> None:
    """Print the control traffic of one daemon of ten with 56 calls/s."""
    daemons = 10
    keys = [
        (f'service-{s}', f'workspace-{w}')
        for s in range(services)
        for w in range(workspaces)
    ]
    rate = daemons * _CALLS_PER_DAEMON / len(keys) / 0.8
    fleet = quota_simulation.Fleet(
        seed=5,
        clients=daemons,
        specs={key: _spec(rate, burst_s * rate) for key in keys},
    )
    fleet.run(fleet.now + 5.0)
    rng = random.Random(5)
    start = fleet.now
    for when in quota_workload.poisson(rng, daemons * _CALLS_PER_DAEMON, 20.0):
        fleet.offer(start + when, rng.randrange(daemons), rng.choice(keys))
    fleet.run(start + 20.0)
    size = fleet.bytes / daemons / 20.0
    count = fleet.messages / daemons / 20.0
    waited = sum(call.done_at != call.arrived_at for call in fleet.calls)
    refused = sum(
        call.verdict is not None and not call.verdict.granted
        for call in fleet.calls
    )
    print(
        f'{services} services x {workspaces} workspaces, burst of'
        f' {burst_s:.0f} s of the rate: {size:.0f} bytes/s,'
        f' {count:.1f} messages/s, {waited / len(fleet.calls):.3f} of the'
        f' calls wait, {refused} refused'
    )


def main() -> None:
    """Print all figures."""
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
                _measure(rate, burst, load, place)
    for rate, burst in _SMALL_LIMITS:
        for load in ('0.3x', '3x'):
            for place in quota_workload.PICKERS:
                _measure(rate, burst, load, place)
    print('control traffic of a daemon with 56 calls/s, at 0.8 of the rates')
    for services, workspaces in ((1, 4), (2, 4), (3, 4), (4, 8)):
        for burst_s in (1.0, 2.0):
            _measure_cost(services, workspaces, burst_s)
    worst = float('-inf')
    granted = 0
    for seed in _FAULT_SEEDS:
        fleet = quota_faults.run(seed)
        for key in quota_faults.KEYS:
            granted += len(fleet.granted(key))
            worst = max(worst, quota_simulation.excess(fleet, key))
    print(
        f'faults: {len(_FAULT_SEEDS)} seeds, {granted} admissions, worst'
        f' window {worst:.9f} calls above the bound'
    )


if __name__ == '__main__':
    main()
