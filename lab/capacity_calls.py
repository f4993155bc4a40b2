"""Measures capacity slopes of daemons that forward calls."""

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

_FIRST_DAEMON_ID: typing.Final = 'first'
_SERVICE_COUNT: typing.Final = 4
_WORKSPACE_COUNT: typing.Final = 8
# Rate limit of a workspace at a service: 42,000 calls/s, spread over 92
# services and 8 workspaces, use about 0.8 of it.
_RATE_LIMIT_PER_S: typing.Final = 70.0
_MAX_HOPS: typing.Final = 6
_LIMITS_PER_SERVICE: typing.Final = (1, 4, 12, 32)
_LIMITS_CALLS_PER_S: typing.Final = 40.0
_DEPTH_CALLS_PER_S: typing.Final = 10.0
_QUOTA_MESSAGES: typing.Final = ('quota_request', 'quota_grant')
_CALL_MESSAGES: typing.Final = ('run_call', 'run_result')
_MAX_LATENCY_US: typing.Final = 10_000_000


class _LoadGenerator:
    """Sends calls at a constant rate, round-robin over callers and targets.

    Attributes:
        latency_us: Latencies of the served calls of the last run.
        refusal_counts: Number of other calls of the last run by reason.
    """

    def __init__(
        self, callers: list[client.Caller], targets: list[str]
    ) -> None:
        self._callers = callers
        self._targets = targets
        self._sent_count = 0
        self.latency_us = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
        self.refusal_counts: dict[str, int] = {}

    async def async_run(self, rate_per_s: float, duration_s: float) -> int:
        """Send calls for a time and return their number."""
        self.latency_us.reset()
        self.refusal_counts = {}
        count = int(rate_per_s * duration_s)
        started_at = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                due_at = started_at + number / rate_per_s
                await anyio.sleep(max(0.0, due_at - time.monotonic()))
                tasks.start_soon(self._async_call)
        return count

    async def _async_call(self) -> None:
        number = self._sent_count
        self._sent_count += 1
        caller = self._callers[number % len(self._callers)]
        round_number = number // len(self._callers)
        target = self._targets[round_number % len(self._targets)]
        started_at = time.perf_counter()
        reply = await caller.async_call('GET', target)
        elapsed_s = time.perf_counter() - started_at
        if reply.status == 200:
            self.latency_us.record_value(int(elapsed_s * 1e6))
            return
        reason = reply.reason or f'status {reply.status}'
        self.refusal_counts[reason] = self.refusal_counts.get(reason, 0) + 1

    async def async_close(self) -> None:
        """Close the connections, which the next event loop cannot use."""
        for caller in self._callers:
            await caller.async_close()

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        return self.latency_us.get_value_at_percentile(percentile) / 1e3


def measure_calls(is_quick: bool) -> list[Point]:
    """Return points by the rate of calls with keys, which use the quota."""
    return _measure_rates(is_quick, '/item')


def measure_open_calls(is_quick: bool) -> list[Point]:
    """Return points by the rate of calls on a route that needs no key."""
    return _measure_rates(is_quick, '/open/item')


def measure_limits(is_quick: bool) -> list[Point]:
    """Return points by the number of rate limits that calls use in turn."""
    window_s = 5.0 if is_quick else 18.0
    max_limits = max(_LIMITS_PER_SERVICE)
    points = []
    with _run_fleet(max_limits) as running:
        for count in _LIMITS_PER_SERVICE:
            generator = _make_load_generator(running, count, '/item')
            point = anyio.run(
                _async_measure_rate,
                running,
                generator,
                _LIMITS_CALLS_PER_S,
                window_s,
            )
            points.append({'limits': float(count * _SERVICE_COUNT), **point})
    return points


def _measure_rates(is_quick: bool, path: str) -> list[Point]:
    window_s = 5.0 if is_quick else 18.0
    with _run_fleet(_WORKSPACE_COUNT) as running:
        generator = _make_load_generator(running, _WORKSPACE_COUNT, path)
        return [
            anyio.run(_async_measure_rate, running, generator, rate, window_s)
            for rate in (5.0, 20.0, 40.0, 56.0)
        ]


@contextlib.contextmanager
def _run_fleet(workspace_count: int) -> Iterator[fleet.Fleet]:
    services = _make_service_names()
    specs = [_make_first_spec()] + [
        _make_serving_spec(service, number)
        for number, service in enumerate(services)
    ]
    names = capacity_fleet.make_workspace_names(workspace_count)
    log = [
        capacity_fleet.make_publish_record(
            service,
            workspaces=names,
            rate=_RATE_LIMIT_PER_S,
            burst=_RATE_LIMIT_PER_S,
        )
        for service in services
    ]
    grants = [capacity_fleet.make_grant_record(name) for name in names]
    with capacity_fleet.run_fleet(specs, [*log, *grants]) as running:
        yield running


def _make_service_names() -> list[str]:
    return [f'service-{number}' for number in range(_SERVICE_COUNT)]


def _make_load_generator(
    running: fleet.Fleet, workspace_count: int, path: str
) -> _LoadGenerator:
    return _LoadGenerator(
        [
            client.Caller(
                running.daemons[_FIRST_DAEMON_ID].caller_address, key=name
            )
            for name in capacity_fleet.make_workspace_names(workspace_count)
        ],
        [f'/{service}{path}' for service in _make_service_names()],
    )


async def _async_measure_rate(
    running: fleet.Fleet,
    generator: _LoadGenerator,
    rate: float,
    window_s: float,
) -> Point:
    # Warm-up, in which demand estimates and connections of earlier points
    # expire.
    await generator.async_run(rate, 3.0)
    meter = capacity_fleet.Meter(running, list(running.daemons))
    calls = await generator.async_run(rate, window_s)
    usage = meter.finish()
    await generator.async_close()
    if generator.refusal_counts:
        print(f'refused at {rate:g} calls/s: {generator.refusal_counts}')
    return _make_rate_point(usage, generator, rate, calls)


def _make_rate_point(
    usage: capacity_fleet.Usage,
    generator: _LoadGenerator,
    rate: float,
    calls: int,
) -> Point:
    first_s = usage.cpu_s[_FIRST_DAEMON_ID]
    serving_s = sum(usage.cpu_s.values()) - first_s
    quota_messages, quota_bytes = usage.sum_rates_of_daemon(
        _FIRST_DAEMON_ID, *_QUOTA_MESSAGES
    )
    _, call_bytes = usage.sum_rates_of_daemon(
        _FIRST_DAEMON_ID, *_CALL_MESSAGES
    )
    _, heartbeat_bytes = usage.sum_rates_of_daemon(
        _FIRST_DAEMON_ID, 'ping', 'pong'
    )
    return {
        'calls_per_s': rate,
        'calls': float(calls),
        'refused': float(sum(generator.refusal_counts.values())),
        'first_cpu_ms_per_s': first_s / usage.window_s * 1e3,
        'serving_cpu_ms_per_s': serving_s / usage.window_s * 1e3,
        'quota_messages_per_s': quota_messages,
        'quota_bytes_per_s': quota_bytes,
        'quota_bytes_per_call': quota_bytes * usage.window_s / calls,
        'call_bytes_per_s': call_bytes,
        'heartbeat_bytes_per_s': heartbeat_bytes,
        'p50_ms': generator.latency_ms(50),
        'p99_ms': generator.latency_ms(99),
        'private_mb': usage.private_mb,
        'machine_busy': usage.machine_busy,
    }


def measure_depth(is_quick: bool) -> list[Point]:
    """Return points by the number of daemons after the first on the path."""
    services = [f'hop-{number}' for number in range(1, _MAX_HOPS + 1)]
    specs = [_make_first_spec()]
    for number, service in enumerate(services):
        child = f'/hop-{number + 2}/item' if number + 1 < _MAX_HOPS else None
        specs.append(_make_serving_spec(service, number, child))
    name = capacity_fleet.make_workspace_names(1)[0]
    log = [
        capacity_fleet.make_publish_record(
            service, workspaces=[name], rate=1e4, burst=1e4
        )
        for service in services
    ]
    with capacity_fleet.run_fleet(
        specs, [*log, capacity_fleet.make_grant_record(name)]
    ) as running:
        return anyio.run(_async_measure_depths, running, name, is_quick)


async def _async_measure_depths(
    running: fleet.Fleet, key: str, is_quick: bool
) -> list[Point]:
    window_s = 5.0 if is_quick else 18.0
    last_daemon = running.daemons[f'hop-{_MAX_HOPS}']
    direct_generator = _LoadGenerator(
        [client.Caller(last_daemon.upstream_address)], ['/item']
    )
    await direct_generator.async_run(_DEPTH_CALLS_PER_S, window_s)
    idle_meter = capacity_fleet.Meter(running, list(running.daemons))
    await anyio.sleep(window_s)
    idle = idle_meter.finish()
    idle_core_share = sum(idle.cpu_s.values()) / idle.window_s
    points = []
    for hops in (1, 2, 4, 6):
        target = f'/hop-{_MAX_HOPS + 1 - hops}/item'
        caller = client.Caller(
            running.daemons[_FIRST_DAEMON_ID].caller_address, key=key
        )
        generator = _LoadGenerator([caller], [target])
        await generator.async_run(_DEPTH_CALLS_PER_S, 3.0)
        meter = capacity_fleet.Meter(running, list(running.daemons))
        calls = await generator.async_run(_DEPTH_CALLS_PER_S, window_s)
        usage = meter.finish()
        call_cpu_s = (
            sum(usage.cpu_s.values()) - idle_core_share * usage.window_s
        )
        points.append(
            {
                'hops': float(hops),
                'calls': float(calls),
                'refused': float(sum(generator.refusal_counts.values())),
                'cpu_ms_per_call': call_cpu_s / calls * 1e3,
                'p50_ms': generator.latency_ms(50),
                'p90_ms': generator.latency_ms(90),
                'p99_ms': generator.latency_ms(99),
                'direct_p50_ms': direct_generator.latency_ms(50),
                'direct_p99_ms': direct_generator.latency_ms(99),
                'idle_cpu_percent': statistics.fmean(idle.cpu_s.values())
                / idle.window_s
                * 100,
                'machine_busy': usage.machine_busy,
            }
        )
        if generator.refusal_counts:
            print(f'refused at {hops} hops: {generator.refusal_counts}')
    return points


def _make_first_spec() -> fleet.DaemonSpec:
    return fleet.DaemonSpec(
        daemon_id=_FIRST_DAEMON_ID,
        service='front',
        failure_domain='domain-0',
        has_upstream=False,
    )


def _make_serving_spec(
    service: str, number: int, child: str | None = None
) -> fleet.DaemonSpec:
    return fleet.DaemonSpec(
        daemon_id=service,
        service=service,
        failure_domain=f'domain-{number % capacity_fleet.DOMAIN_COUNT}',
        behaviour={'service_s': 0.0, 'slots': 64, 'child': child},
    )
