"""Measures the latency that two daemons add to a call.

Direct calls to the upstream and calls through the daemons alternate, so that
the load of the machine affects both alike.
"""

import dataclasses
import hashlib
import json
import time

import anyio
from hdrh import histogram
import typer

from lab import client
from lab import fleet

SERVICE = 'bench'
KEY = 'bench-key'
TARGET_ADDED_P99_MS = 0.64
_MAX_LATENCY_US = 10_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Latencies in milliseconds.

    Attributes:
        calls: Calls on each path.
        direct_p50: Median of the direct calls.
        direct_p99: 99th percentile of the direct calls.
        path_p50: Median of the calls through the daemons.
        path_p99: 99th percentile of the calls through the daemons.
    """

    calls: int
    direct_p50: float
    direct_p99: float
    path_p50: float
    path_p99: float

    @property
    def added_p50(self) -> float:
        """Return the latency that the daemons add at the median."""
        return self.path_p50 - self.direct_p50

    @property
    def added_p99(self) -> float:
        """Return the latency that the daemons add at the 99th percentile."""
        return self.path_p99 - self.direct_p99


def _build_specs() -> list[fleet.DaemonSpec]:
    first = fleet.DaemonSpec(
        daemon_id='first',
        service='front',
        failure_domain='domain-1',
        has_upstream=False,
    )
    serving = fleet.DaemonSpec(
        daemon_id='serving',
        service=SERVICE,
        failure_domain='domain-2',
        behaviour={'service_s': 0.0, 'slots': 64},
    )
    return [first, serving]


def _publish_configuration(running_fleet: fleet.Fleet) -> None:
    running_fleet.send_operator_request(
        'serving',
        'POST',
        'publish',
        {
            'publication_id': 'bench',
            'replaces': 0,
            'document': {
                'version': 1,
                'service': SERVICE,
                'routes': [{'path': '/**'}],
                'workspaces': {'bench': {'rate': 100000, 'burst': 100000}},
            },
        },
    )
    running_fleet.send_operator_request(
        'serving',
        'POST',
        'keys/grant',
        {
            'publication_id': 'bench-key',
            'key_id': 'bench',
            'workspace': 'bench',
            'key_sha256': hashlib.sha256(KEY.encode()).hexdigest(),
        },
    )
    time.sleep(12.0)


async def _async_measure(
    running_fleet: fleet.Fleet, calls: int, interval_s: float
) -> Result:
    direct_caller = client.Caller(
        running_fleet.daemons['serving'].upstream_address
    )
    daemon_caller = client.Caller(
        running_fleet.daemons['first'].caller_address, key=KEY
    )
    measured_paths = (
        (
            direct_caller,
            '/item',
            histogram.HdrHistogram(1, _MAX_LATENCY_US, 4),
        ),
        (
            daemon_caller,
            f'/{SERVICE}/item',
            histogram.HdrHistogram(1, _MAX_LATENCY_US, 4),
        ),
    )
    warm_up_calls = calls // 10
    for number in range(calls + warm_up_calls):
        for caller, target, latencies in measured_paths:
            started = time.perf_counter()
            reply = await caller.async_call('GET', target)
            elapsed_s = time.perf_counter() - started
            if reply.status != 200:
                raise fleet.FleetError(f'call of {target} failed: {reply}')
            if number >= warm_up_calls:
                latencies.record_value(int(elapsed_s * 1e6))
            await anyio.sleep(interval_s)
    values = [
        latencies.get_value_at_percentile(percentile) / 1000
        for _, _, latencies in measured_paths
        for percentile in (50, 99)
    ]
    return Result(
        calls=calls,
        direct_p50=values[0],
        direct_p99=values[1],
        path_p50=values[2],
        path_p99=values[3],
    )


def main(
    calls: int = 5000, interval_ms: float = 1.0, as_json: bool = False
) -> None:
    """Measure the latency that two daemons add.

    Args:
        calls: Calls on each path, after a tenth as many for warm-up.
        interval_ms: Pause after each call in milliseconds.
        as_json: Print the result as JSON.
    """
    with fleet.Fleet(_build_specs()) as running_fleet:
        _publish_configuration(running_fleet)
        result = anyio.run(
            _async_measure, running_fleet, calls, interval_ms / 1000
        )
    if as_json:
        print(json.dumps(dataclasses.asdict(result)))
        return
    print(
        f'{calls} calls on each path, one connection, {interval_ms} ms apart'
    )
    print(
        f'direct  p50 {result.direct_p50:.2f} ms  '
        f'p99 {result.direct_p99:.2f} ms'
    )
    print(
        f'path    p50 {result.path_p50:.2f} ms  p99 {result.path_p99:.2f} ms'
    )
    print(
        f'added   p50 {result.added_p50:.2f} ms  p99 {result.added_p99:.2f} ms'
        f'  (aim: {TARGET_ADDED_P99_MS} ms at p99)'
    )


if __name__ == '__main__':
    typer.run(main)
