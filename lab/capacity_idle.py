"""Measures capacity slopes of daemons without calls."""

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
_GUARD_MESSAGES: typing.Final = ('guard_request', 'guard_promise')
_HEARTBEAT_MESSAGES: typing.Final = ('ping', 'pong')
_GOSSIP_MESSAGES: typing.Final = ('digest', 'members_delta', 'leaving')
_LOG_MESSAGES: typing.Final = ('log_read', 'log_append')
# IP and TCP headers with timestamps, of the message and of its share of
# acknowledgements (one per two segments, RFC 9293).
_HEADER_BYTES_PER_MESSAGE: typing.Final = 52 * 1.5


def make_specs(count: int, service_count: int) -> list[fleet.DaemonSpec]:
    """Return specifications of daemons without upstreams."""
    return [
        fleet.DaemonSpec(
            daemon_id=f'daemon-{number}',
            service=f'service-{number % service_count}',
            failure_domain=f'domain-{number % capacity_fleet.DOMAIN_COUNT}',
            has_upstream=False,
        )
        for number in range(count)
    ]


def measure_fleet(is_quick: bool) -> list[Point]:
    """Return points by the number of daemons."""
    cost = wire_cost.measure()
    points = []
    for count in (3, 5, 8, 12) if is_quick else (3, 8, 16, 32, 60):
        service_count = max(2, -(-count // _DAEMONS_PER_SERVICE))
        with capacity_fleet.run_fleet(
            make_specs(count, service_count)
        ) as running:
            meter = capacity_fleet.Meter(running, list(running.daemons))
            time.sleep(5.0 if is_quick else 20.0)
            usage = meter.finish()
        points.append(_make_fleet_point(count, usage, cost))
    return points


def _make_fleet_point(
    count: int, usage: capacity_fleet.Usage, cost: wire_cost.WireCost
) -> Point:
    peer_kinds = [
        kind for kind in usage.list_kinds() if kind not in _LOG_MESSAGES
    ]
    messages, payload_bytes = usage.sum_rates(*peer_kinds)
    log_messages, log_bytes = usage.sum_rates(*_LOG_MESSAGES)
    # Each connection is opened by one daemon and accepted by another, so that
    # a daemon takes part in twice as many handshakes as it opens connections.
    handshakes = 2 * usage.opened_per_s
    curve_bytes = (
        messages * cost.added_short + handshakes * cost.handshake_bytes
    )
    point = {
        'daemons': float(count),
        'cpu_percent': usage.cpu_share * 100,
        'cpu_percent_most': max(usage.cpu_s.values()) / usage.window_s * 100,
        'resident_mb': usage.resident_mb,
        'private_mb': usage.private_mb,
        'connections': usage.connections,
        'opened_per_s': usage.opened_per_s,
        'messages_per_s': messages,
        'payload_bytes_per_s': payload_bytes,
        'curve_bytes_per_s': curve_bytes,
        'log_bytes_per_s': log_bytes,
        'stream_bytes_per_s': payload_bytes + curve_bytes + log_bytes,
        # Includes the estimate of TCP and IP headers.
        'wire_bytes_per_s': payload_bytes
        + curve_bytes
        + log_bytes
        + (messages + log_messages) * _HEADER_BYTES_PER_MESSAGE,
        'machine_busy': usage.machine_busy,
    }
    groups = {
        'guard': _GUARD_MESSAGES,
        'heartbeat': _HEARTBEAT_MESSAGES,
        'gossip': _GOSSIP_MESSAGES,
    }
    named = {kind for kinds in groups.values() for kind in kinds}
    others = tuple(kind for kind in peer_kinds if kind not in named)
    for name, kinds in {**groups, 'other': others}.items():
        message_rate, byte_rate = usage.sum_rates(*kinds)
        point[f'{name}_messages_per_s'] = message_rate
        point[f'{name}_bytes_per_s'] = byte_rate
    return point


def measure_documents(is_quick: bool) -> list[Point]:
    """Return points by the number of documents at four daemons.

    Each document has 20 routes and 8 workspaces. One daemon starts last, to
    measure how long it takes to read the configuration.
    """
    points = []
    for count in (1, 20, 50, 92):
        log = [
            capacity_fleet.make_publish_record(
                f'published-{number}',
                route_count=20,
                workspaces=capacity_fleet.make_workspace_names(8),
            )
            for number in range(count)
        ]
        points.append(_measure_documents_point(count, list(log), is_quick))
    # The measurement with the log of the size planned for two years is printed
    # but not fitted, because that log differs: its documents have 20 revisions
    # each, and it holds 2,000 keys and 750 members.
    full_log_point = _measure_documents_point(
        92, configuration_cost.make_log_records(), is_quick
    )
    print('\nlog of lab.configuration_cost, 4,590 records:')
    for name, value in full_log_point.items():
        print(f'  {name:32} {value:10.4g}')
    return points


def _measure_documents_point(
    count: int, log: list[records.Record], is_quick: bool
) -> Point:
    late_daemon_id = 'daemon-3'
    with capacity_fleet.run_fleet(
        make_specs(4, 2), log, later_ids=frozenset({late_daemon_id})
    ) as running:
        names = [name for name in running.daemons if name != late_daemon_id]
        meter = capacity_fleet.Meter(running, names)
        time.sleep(5.0 if is_quick else 12.0)
        usage = meter.finish()
        tail_offset = running.fetch_status(names[0])['next_offset']
        start = _measure_start_point(running, late_daemon_id, tail_offset)
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


def measure_snapshots(is_quick: bool) -> list[Point]:
    """Return points by the number of snapshots in the retained log.

    Each is a snapshot of the log of lab.configuration_cost. A daemon that
    starts reads all of them before it reaches the tail.
    """
    del is_quick
    state = configuration.Configuration(
        decode=codec.decode_record,
        check_document=documents.check_document,
        partitions=partitions.PartitionTable(),
    )
    for offset, record in enumerate(configuration_cost.make_log_records()):
        state.apply(
            records.LogEntry(
                offset=ids.Offset(offset), body=codec.encode_record(record)
            )
        )
    snapshot = state.snapshot()
    points = []
    for count in (1, 12, 24, 48):
        running = fleet.Fleet(make_specs(1, 1))
        try:
            running.start_log()
            tail_offset = capacity_fleet.append_records(
                running, [snapshot] * count
            )
            point = _measure_start_point(running, 'daemon-0', tail_offset)
        finally:
            running.stop()
        points.append({'snapshots': float(count), **point})
    return points


def _measure_start_point(
    running: fleet.Fleet, name: str, tail_offset: int
) -> Point:
    """Start a daemon and return its time and resources to reach the tail."""
    started_at = time.monotonic()
    running.start_daemon(name)
    capacity_fleet.wait_for_offset(running, name, tail_offset)
    start_to_tail_s = time.monotonic() - started_at
    process = running.daemons[name].daemon_process
    assert process is not None
    traffic = running.fetch_status(name)['traffic']
    return {
        'start_to_tail_s': start_to_tail_s,
        'start_to_tail_cpu_s': process_cost.read_cpu_s(process.pid),
        'start_resident_mb': process_cost.read_resident_bytes(process.pid)
        / 1e6,
        'start_read_mb': traffic['received.log_read']['bytes'] / 1e6,
    }


def measure_rollout(is_quick: bool) -> list[Point]:
    """Return points by the number of daemons: delay until a revision applies.

    The delay runs from the append, which an operator's tool would do, to the
    log line of each daemon. All processes use the clock of this machine.
    """
    points = []
    for count in (3, 5, 8, 12) if is_quick else (3, 8, 16, 32):
        with capacity_fleet.run_fleet(make_specs(count, 2)) as running:
            delays_s: list[float] = []
            for number in range(5):
                log = [
                    capacity_fleet.make_publish_record(f'rolled-out-{number}')
                ]
                appended_at = time.time()
                capacity_fleet.append_records(running, log)
                time.sleep(2.5)
                delays_s += _read_rollout_delays_s(
                    running, number, appended_at
                )
        points.append(
            {
                'daemons': float(count),
                'seen': len(delays_s) / 5,
                'mean_ms': statistics.fmean(delays_s) * 1e3,
                'last_ms': max(delays_s) * 1e3,
                'load': capacity_fleet.read_load_average(),
            }
        )
    return points


def _read_rollout_delays_s(
    running: fleet.Fleet, number: int, appended_at: float
) -> list[float]:
    delays_s = []
    for name in running.daemons:
        for line in running.read_output(name).splitlines():
            if f'"rolled-out-{number}"' in line:
                event = json.loads(line)
                delays_s.append(event['timestamp'] - appended_at)
    return delays_s


def measure_workspaces(is_quick: bool) -> list[Point]:
    """Return points by the number of workspaces in each of 20 documents."""
    points = []
    for count in (8, 50, 200, 500):
        names = capacity_fleet.make_workspace_names(count)
        log: list[records.Record] = [
            capacity_fleet.make_publish_record(
                f'published-{number}', route_count=20, workspaces=names
            )
            for number in range(20)
        ]
        log += [capacity_fleet.make_grant_record(name) for name in names]
        apply_cpu_s, log_bytes = _measure_apply(log)
        with capacity_fleet.run_fleet(make_specs(2, 2), log) as running:
            meter = capacity_fleet.Meter(running, list(running.daemons))
            time.sleep(2.0 if is_quick else 10.0)
            usage = meter.finish()
        points.append(
            {
                'workspaces': float(count),
                # Processor time to apply the log, in milliseconds.
                'fold_ms': apply_cpu_s * 1e3,
                'log_kb': log_bytes / 1e3,
                'resident_mb': usage.resident_mb,
                'private_mb': usage.private_mb,
                'cpu_percent': usage.cpu_share * 100,
                'machine_busy': usage.machine_busy,
            }
        )
    return points


def _measure_apply(log: list[records.Record]) -> tuple[float, int]:
    """Return the processor time to apply records, and their size in bytes."""
    entries = [
        records.LogEntry(
            offset=ids.Offset(offset), body=codec.encode_record(record)
        )
        for offset, record in enumerate(log)
    ]
    state = configuration.Configuration(
        decode=codec.decode_record,
        check_document=documents.check_document,
        partitions=partitions.PartitionTable(),
    )
    started_at = time.process_time()
    for entry in entries:
        state.apply(entry)
    cpu_s = time.process_time() - started_at
    return cpu_s, sum(len(entry.body) for entry in entries)
