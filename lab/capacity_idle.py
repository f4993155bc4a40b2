"""Capacity slopes of daemons without calls."""

import json
import statistics
import time
import typing

from lab import capacity_fleet
from lab import configuration_cost
from lab import fleet
from lab import process_cost
from lab import wire_cost
from sassafraswood.coordination import configuration
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.protocol import codec
from sassafraswood.protocol import documents
from sassafraswood.state import partitions

Point = capacity_fleet.Point

_DAEMONS_PER_SERVICE: typing.Final = 8
_GUARD: typing.Final = ('guard_request', 'guard_promise')
_HEARTBEATS: typing.Final = ('ping', 'pong')
_GOSSIP: typing.Final = ('digest', 'members_delta', 'leaving')
_LOG: typing.Final = ('log_read', 'log_append')
# IP and TCP headers with time stamps, for the message and for its share of
# acknowledgements (one for two segments, RFC 9293).
_SEGMENT_BYTES: typing.Final = 52 * 1.5


def specs(count: int, services: int) -> list[fleet.DaemonSpec]:
    """Return daemons without upstreams."""
    return [
        fleet.DaemonSpec(
            daemon_id=f'daemon-{number}',
            service=f'service-{number % services}',
            failure_domain=f'domain-{number % capacity_fleet.DOMAINS}',
            has_upstream=False,
        )
        for number in range(count)
    ]


def measure_fleet(quick: bool) -> list[Point]:
    """Return points by the number of daemons."""
    cost = wire_cost.measure()
    points = []
    for count in (3, 5, 8, 12) if quick else (3, 8, 16, 32, 60):
        services = max(2, -(-count // _DAEMONS_PER_SERVICE))
        with capacity_fleet.started(specs(count, services)) as running:
            meter = capacity_fleet.Meter(running, list(running.daemons))
            time.sleep(5.0 if quick else 20.0)
            usage = meter.finish()
        points.append(_fleet_point(count, usage, cost))
    return points


def _fleet_point(
    count: int, usage: capacity_fleet.Usage, cost: wire_cost.WireCost
) -> Point:
    peer_kinds = [kind for kind in usage.kinds() if kind not in _LOG]
    messages, payload = usage.rate(*peer_kinds)
    log_messages, log_bytes = usage.rate(*_LOG)
    # Each connection is opened by one daemon and accepted by another.
    handshakes = 2 * usage.opened_per_s
    curve = messages * cost.added_short + handshakes * cost.handshake_bytes
    point = {
        'daemons': float(count),
        'cpu_percent': usage.cpu_share * 100,
        'cpu_percent_most': max(usage.cpu_s.values()) / usage.window_s * 100,
        'resident_mb': usage.resident_mb,
        'private_mb': usage.private_mb,
        'connections': usage.connections,
        'opened_per_s': usage.opened_per_s,
        'messages_per_s': messages,
        'payload_bytes_per_s': payload,
        'curve_bytes_per_s': curve,
        'log_bytes_per_s': log_bytes,
        'stream_bytes_per_s': payload + curve + log_bytes,
        # With TCP and IP headers, as estimated above.
        'wire_bytes_per_s': payload
        + curve
        + log_bytes
        + (messages + log_messages) * _SEGMENT_BYTES,
        'machine_busy': usage.machine_busy,
    }
    groups = {
        'guard': _GUARD,
        'heartbeat': _HEARTBEATS,
        'gossip': _GOSSIP,
    }
    named = {kind for kinds in groups.values() for kind in kinds}
    others = tuple(kind for kind in peer_kinds if kind not in named)
    for name, kinds in {**groups, 'other': others}.items():
        rate, size = usage.rate(*kinds)
        point[f'{name}_messages_per_s'] = rate
        point[f'{name}_bytes_per_s'] = size
    return point


def measure_documents(quick: bool) -> list[Point]:
    """Return points by the number of documents at four daemons.

    Each document has 20 routes and 8 workspaces. A daemon that starts last
    shows how long the configuration takes to reach it.
    """
    points = []
    for count in (1, 20, 50, 92):
        log = [
            capacity_fleet.publish(
                f'published-{number}',
                routes=20,
                workspaces=capacity_fleet.workspaces(8),
            )
            for number in range(count)
        ]
        points.append(_documents_point(count, list(log), quick))
    # The whole log of two years' size, without a fit: its documents have 20
    # revisions, and it holds 2,000 keys and 750 members.
    whole = _documents_point(92, configuration_cost.log_records(), quick)
    print('\nlog of lab.configuration_cost, 4,590 records:')
    for name, value in whole.items():
        print(f'  {name:32} {value:10.4g}')
    return points


def _documents_point(
    count: int, log: list[records.Record], quick: bool
) -> Point:
    last = 'daemon-3'
    with capacity_fleet.started(
        specs(4, 2), log, later=frozenset({last})
    ) as running:
        names = [name for name in running.daemons if name != last]
        meter = capacity_fleet.Meter(running, names)
        time.sleep(5.0 if quick else 12.0)
        usage = meter.finish()
        tail = running.status(names[0])['next_offset']
        start = _start_point(running, last, tail)
    return {
        'documents': float(count),
        'routes': 20.0 * count,
        'records': float(len(log)),
        'cpu_percent': usage.cpu_share * 100,
        'resident_mb': usage.resident_mb,
        'private_mb': usage.private_mb,
        'machine_busy': usage.machine_busy,
        **start,
    }


def measure_snapshots(quick: bool) -> list[Point]:
    """Return points by the snapshots in the part of the log that is kept.

    Each is a snapshot of the log of lab.configuration_cost. A daemon that
    starts reads all of them before it reaches the tail.
    """
    del quick
    folded = configuration.Configuration(
        decode=codec.decode_record,
        check_document=documents.check_document,
        partitions=partitions.PartitionTable(),
    )
    for offset, record in enumerate(configuration_cost.log_records()):
        folded.apply(
            records.LogEntry(
                offset=ids.Offset(offset), body=codec.encode_record(record)
            )
        )
    snapshot = folded.snapshot()
    points = []
    for count in (1, 12, 24, 48):
        running = fleet.Fleet(specs(1, 1))
        try:
            running.start_log()
            tail = capacity_fleet.append(running, [snapshot] * count)
            point = _start_point(running, 'daemon-0', tail)
        finally:
            running.stop()
        points.append({'snapshots': float(count), **point})
    return points


def _start_point(running: fleet.Fleet, name: str, tail: int) -> Point:
    """Start a daemon and return what it takes to reach the tail."""
    started = time.monotonic()
    running.start_daemon(name)
    capacity_fleet.wait_for_offset(running, name, tail)
    joined_s = time.monotonic() - started
    process = running.daemons[name].process
    assert process is not None
    traffic = running.status(name)['traffic']
    return {
        'start_to_tail_s': joined_s,
        'start_to_tail_cpu_s': process_cost.cpu_s(process.pid),
        'start_resident_mb': process_cost.resident_bytes(process.pid) / 1e6,
        'start_read_mb': traffic['received.log_read']['bytes'] / 1e6,
    }


def measure_rollout(quick: bool) -> list[Point]:
    """Return points by daemons: seconds until a revision is in force.

    The time runs from the append, which an operator's tool would do, to the
    log line of each daemon; all clocks are that of this machine.
    """
    points = []
    for count in (3, 5, 8, 12) if quick else (3, 8, 16, 32):
        with capacity_fleet.started(specs(count, 2)) as running:
            times: list[float] = []
            for number in range(5):
                log = [capacity_fleet.publish(f'rolled-out-{number}')]
                appended_at = time.time()
                capacity_fleet.append(running, log)
                time.sleep(2.5)
                times += _in_force_after(running, number, appended_at)
        points.append(
            {
                'daemons': float(count),
                'seen': len(times) / 5,
                'mean_ms': statistics.fmean(times) * 1e3,
                'last_ms': max(times) * 1e3,
                'load': capacity_fleet.load_average(),
            }
        )
    return points


def _in_force_after(
    running: fleet.Fleet, number: int, appended_at: float
) -> list[float]:
    times = []
    for name in running.daemons:
        for line in running.output(name).splitlines():
            if f'"rolled-out-{number}"' in line:
                event = json.loads(line)
                times.append(event['timestamp'] - appended_at)
    return times


def measure_workspaces(quick: bool) -> list[Point]:
    """Return points by the number of workspaces in each of 20 documents."""
    points = []
    for count in (8, 50, 200, 500):
        names = capacity_fleet.workspaces(count)
        log: list[records.Record] = [
            capacity_fleet.publish(
                f'published-{number}', routes=20, workspaces=names
            )
            for number in range(20)
        ]
        log += [capacity_fleet.grant(name) for name in names]
        fold_s, log_bytes = _fold(log)
        with capacity_fleet.started(specs(2, 2), log) as running:
            meter = capacity_fleet.Meter(running, list(running.daemons))
            time.sleep(2.0 if quick else 10.0)
            usage = meter.finish()
        points.append(
            {
                'workspaces': float(count),
                'fold_ms': fold_s * 1e3,
                'log_kb': log_bytes / 1e3,
                'resident_mb': usage.resident_mb,
                'private_mb': usage.private_mb,
                'cpu_percent': usage.cpu_share * 100,
                'machine_busy': usage.machine_busy,
            }
        )
    return points


def _fold(log: list[records.Record]) -> tuple[float, int]:
    """Return the processor time to fold records, and their bytes."""
    entries = [
        records.LogEntry(
            offset=ids.Offset(offset), body=codec.encode_record(record)
        )
        for offset, record in enumerate(log)
    ]
    folded = configuration.Configuration(
        decode=codec.decode_record,
        check_document=documents.check_document,
        partitions=partitions.PartitionTable(),
    )
    started = time.process_time()
    for entry in entries:
        folded.apply(entry)
    elapsed_s = time.process_time() - started
    return elapsed_s, sum(len(entry.body) for entry in entries)
