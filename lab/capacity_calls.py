"""Capacity slopes of daemons that carry calls."""

from collections.abc import Iterator
import contextlib
import statistics
import time
import typing

import anyio
from hdrh import histogram

from lab import capacity_fleet
from lab import client
from lab import fleet

Point = capacity_fleet.Point

_FIRST: typing.Final = 'first'
_SERVICES: typing.Final = 4
_WORKSPACES: typing.Final = 8
# 42,000 calls/s over 92 services and 8 workspaces at 0.8 of the rate.
_RATE: typing.Final = 70.0
_MAX_HOPS: typing.Final = 6
_LIMITS_OF_SERVICE: typing.Final = (1, 4, 12, 32)
_LIMITS_CALLS_PER_S: typing.Final = 40.0
_DEPTH_CALLS_PER_S: typing.Final = 10.0
_QUOTA: typing.Final = ('quota_request', 'quota_grant')
_CALLS: typing.Final = ('run_call', 'run_result')
_MAX_US: typing.Final = 10_000_000


class _Load:
    """Calls at a constant rate, in turn over targets and callers."""

    def __init__(
        self, callers: list[client.Caller], targets: list[str]
    ) -> None:
        self._callers = callers
        self._targets = targets
        self._calls = 0
        self.latency_us = histogram.HdrHistogram(1, _MAX_US, 3)
        self.refused: dict[str, int] = {}

    async def async_run(self, rate: float, seconds: float) -> int:
        """Return the number of calls sent."""
        self.latency_us.reset()
        self.refused = {}
        count = int(rate * seconds)
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                due = started + number / rate
                await anyio.sleep(max(0.0, due - time.monotonic()))
                tasks.start_soon(self._async_call)
        return count

    async def _async_call(self) -> None:
        number = self._calls
        self._calls += 1
        caller = self._callers[number % len(self._callers)]
        turn = number // len(self._callers)
        target = self._targets[turn % len(self._targets)]
        started = time.perf_counter()
        reply = await caller.async_call('GET', target)
        elapsed_s = time.perf_counter() - started
        if reply.status == 200:
            self.latency_us.record_value(int(elapsed_s * 1e6))
            return
        reason = reply.reason or f'status {reply.status}'
        self.refused[reason] = self.refused.get(reason, 0) + 1

    async def async_close(self) -> None:
        """Close the connections, which end with their event loop."""
        for caller in self._callers:
            await caller.async_close()

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies."""
        return self.latency_us.get_value_at_percentile(percentile) / 1e3


def measure_calls(quick: bool) -> list[Point]:
    """Return points by calls/s with keys, which use the quota."""
    return _measure_rates(quick, '/item')


def measure_open_calls(quick: bool) -> list[Point]:
    """Return points by calls/s on a route that is open to all."""
    return _measure_rates(quick, '/open/item')


def measure_limits(quick: bool) -> list[Point]:
    """Return points by the number of limits that calls use in turn."""
    window_s = 5.0 if quick else 18.0
    most = max(_LIMITS_OF_SERVICE)
    points = []
    with _started(most) as running:
        for count in _LIMITS_OF_SERVICE:
            load = _load(running, count, '/item')
            point = anyio.run(
                _async_rate, running, load, _LIMITS_CALLS_PER_S, window_s
            )
            points.append({'limits': float(count * _SERVICES), **point})
    return points


def _measure_rates(quick: bool, path: str) -> list[Point]:
    window_s = 5.0 if quick else 18.0
    with _started(_WORKSPACES) as running:
        load = _load(running, _WORKSPACES, path)
        return [
            anyio.run(_async_rate, running, load, rate, window_s)
            for rate in (5.0, 20.0, 40.0, 56.0)
        ]


@contextlib.contextmanager
def _started(workspaces: int) -> Iterator[fleet.Fleet]:
    services = _services()
    specs = [_first_spec()] + [
        _serving_spec(service, number)
        for number, service in enumerate(services)
    ]
    names = capacity_fleet.workspaces(workspaces)
    log = [
        capacity_fleet.publish(
            service, workspaces=names, rate=_RATE, burst=_RATE
        )
        for service in services
    ]
    grants = [capacity_fleet.grant(name) for name in names]
    with capacity_fleet.started(specs, [*log, *grants]) as running:
        yield running


def _services() -> list[str]:
    return [f'service-{number}' for number in range(_SERVICES)]


def _load(running: fleet.Fleet, workspaces: int, path: str) -> _Load:
    return _Load(
        [
            client.Caller(running.daemons[_FIRST].caller, key=name)
            for name in capacity_fleet.workspaces(workspaces)
        ],
        [f'/{service}{path}' for service in _services()],
    )


async def _async_rate(
    running: fleet.Fleet, load: _Load, rate: float, window_s: float
) -> Point:
    # Demand estimates and connections of earlier points end meanwhile.
    await load.async_run(rate, 3.0)
    meter = capacity_fleet.Meter(running, list(running.daemons))
    calls = await load.async_run(rate, window_s)
    usage = meter.finish()
    await load.async_close()
    if load.refused:
        print(f'refused at {rate:g} calls/s: {load.refused}')
    return _rate_point(usage, load, rate, calls)


def _rate_point(
    usage: capacity_fleet.Usage, load: _Load, rate: float, calls: int
) -> Point:
    first_s = usage.cpu_s[_FIRST]
    serving_s = sum(usage.cpu_s.values()) - first_s
    quota_messages, quota_bytes = usage.rate_of(_FIRST, *_QUOTA)
    _, call_bytes = usage.rate_of(_FIRST, *_CALLS)
    _, heartbeat_bytes = usage.rate_of(_FIRST, 'ping', 'pong')
    return {
        'calls_per_s': rate,
        'calls': float(calls),
        'refused': float(sum(load.refused.values())),
        'first_cpu_ms_per_s': first_s / usage.window_s * 1e3,
        'serving_cpu_ms_per_s': serving_s / usage.window_s * 1e3,
        'quota_messages_per_s': quota_messages,
        'quota_bytes_per_s': quota_bytes,
        'quota_bytes_per_call': quota_bytes * usage.window_s / calls,
        'call_bytes_per_s': call_bytes,
        'heartbeat_bytes_per_s': heartbeat_bytes,
        'p50_ms': load.latency_ms(50),
        'p99_ms': load.latency_ms(99),
        'private_mb': usage.private_mb,
        'machine_busy': usage.machine_busy,
    }


def measure_depth(quick: bool) -> list[Point]:
    """Return points by hops: daemons that a call passes after the first."""
    services = [f'hop-{number}' for number in range(1, _MAX_HOPS + 1)]
    specs = [_first_spec()]
    for number, service in enumerate(services):
        child = f'/hop-{number + 2}/item' if number + 1 < _MAX_HOPS else None
        specs.append(_serving_spec(service, number, child))
    name = capacity_fleet.workspaces(1)[0]
    log = [
        capacity_fleet.publish(service, workspaces=[name], rate=1e4, burst=1e4)
        for service in services
    ]
    with capacity_fleet.started(
        specs, [*log, capacity_fleet.grant(name)]
    ) as running:
        return anyio.run(_async_depths, running, name, quick)


async def _async_depths(
    running: fleet.Fleet, key: str, quick: bool
) -> list[Point]:
    window_s = 5.0 if quick else 18.0
    last = running.daemons[f'hop-{_MAX_HOPS}']
    direct = _Load([client.Caller(last.upstream)], ['/item'])
    await direct.async_run(_DEPTH_CALLS_PER_S, window_s)
    idle_meter = capacity_fleet.Meter(running, list(running.daemons))
    await anyio.sleep(window_s)
    idle = idle_meter.finish()
    idle_share = sum(idle.cpu_s.values()) / idle.window_s
    points = []
    for hops in (1, 2, 4, 6):
        target = f'/hop-{_MAX_HOPS + 1 - hops}/item'
        caller = client.Caller(running.daemons[_FIRST].caller, key=key)
        load = _Load([caller], [target])
        await load.async_run(_DEPTH_CALLS_PER_S, 3.0)
        meter = capacity_fleet.Meter(running, list(running.daemons))
        calls = await load.async_run(_DEPTH_CALLS_PER_S, window_s)
        usage = meter.finish()
        used_s = sum(usage.cpu_s.values()) - idle_share * usage.window_s
        points.append(
            {
                'hops': float(hops),
                'calls': float(calls),
                'refused': float(sum(load.refused.values())),
                'cpu_ms_per_call': used_s / calls * 1e3,
                'p50_ms': load.latency_ms(50),
                'p90_ms': load.latency_ms(90),
                'p99_ms': load.latency_ms(99),
                'direct_p50_ms': direct.latency_ms(50),
                'direct_p99_ms': direct.latency_ms(99),
                'idle_cpu_percent': statistics.fmean(idle.cpu_s.values())
                / idle.window_s
                * 100,
                'machine_busy': usage.machine_busy,
            }
        )
        if load.refused:
            print(f'refused at {hops} hops: {load.refused}')
    return points


def _first_spec() -> fleet.DaemonSpec:
    return fleet.DaemonSpec(
        daemon_id=_FIRST,
        service='front',
        failure_domain='domain-0',
        has_upstream=False,
    )


def _serving_spec(
    service: str, number: int, child: str | None = None
) -> fleet.DaemonSpec:
    return fleet.DaemonSpec(
        daemon_id=service,
        service=service,
        failure_domain=f'domain-{number % capacity_fleet.DOMAINS}',
        behaviour={'service_s': 0.0, 'slots': 64, 'child': child},
    )
