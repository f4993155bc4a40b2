"""Runs fleets for capacity measurements and measures their daemons."""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import hashlib
import os
import statistics
import time
import typing

import msgspec

from lab import fleet
from lab import process_cost
from sassafraswood.models import ids
from sassafraswood.models import records

LOG_STREAM: typing.Final = 'sassafraswood'
DOMAIN_COUNT: typing.Final = 3
_START_TIMEOUT_S: typing.Final = 120.0
# Free partitions are claimed after 1 s plus up to 3 s per rank. The term of a
# claimed partition begins 11 s later, and partitions may be rebalanced 10 s
# after that.
SETTLE_S: typing.Final = 14.0

Point = dict[str, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Resource usage of daemons in a window, as means per daemon.

    Attributes:
        window_s: Length of the window for processor time.
        cpu_s: Processor time by daemon.
        resident_mb: Resident memory in MB of 1,000,000 bytes.
        private_mb: Resident memory that is not shared with other processes.
        connections: Established TCP connections.
        traffic: Messages/s and bytes/s by 'direction.kind'.
        traffic_by_daemon: Same as traffic, for each daemon.
        opened_per_s: Peer connections opened per second.
        machine_busy: Fraction of the time of all processors that was used,
            by any process.
    """

    window_s: float
    cpu_s: dict[str, float]
    resident_mb: float
    private_mb: float
    connections: float
    traffic: dict[str, tuple[float, float]]
    traffic_by_daemon: dict[str, dict[str, tuple[float, float]]]
    opened_per_s: float
    machine_busy: float

    @property
    def cpu_share(self) -> float:
        """Return the mean fraction of one core that a daemon used."""
        return statistics.fmean(self.cpu_s.values()) / self.window_s

    def sum_rates(self, *message_kinds: str) -> tuple[float, float]:
        """Return messages/s and bytes/s of kinds, sent plus received."""
        return _sum_rates(self.traffic, message_kinds)

    def sum_rates_of_daemon(
        self, name: str, *message_kinds: str
    ) -> tuple[float, float]:
        """Return messages/s and bytes/s of kinds for one daemon."""
        return _sum_rates(self.traffic_by_daemon[name], message_kinds)

    def list_kinds(self) -> list[str]:
        """Return the kinds of all messages."""
        return sorted({name.partition('.')[2] for name in self.traffic})


def make_publish_record(
    service: str,
    *,
    route_count: int = 1,
    workspaces: Iterable[str] = (),
    rate: float = 100.0,
    burst: float = 100.0,
) -> records.Publish:
    """Return a record that publishes the first revision of a document.

    The last route matches all paths, and `/open/**` needs no key.
    """
    paths = [f'/resource-{number}/{{id}}' for number in range(route_count - 1)]
    document = {
        'version': 1,
        'service': service,
        'routes': [
            {'path': '/open/**', 'open': True},
            *({'path': path} for path in paths),
            {'path': '/**'},
        ],
        'workspaces': {
            name: {'rate': rate, 'burst': burst} for name in workspaces
        },
    }
    return records.Publish(
        publication_id=ids.PublicationId(f'publish-{service}'),
        service=ids.ServiceName(service),
        replaces=ids.Revision(0),
        document=document,
    )


def make_grant_record(workspace: str) -> records.GrantKey:
    """Return a record that grants a workspace the key of the same name."""
    return records.GrantKey(
        publication_id=ids.PublicationId(f'grant-{workspace}'),
        key_id=ids.KeyId(workspace),
        workspace=ids.Workspace(workspace),
        key_sha256=hashlib.sha256(workspace.encode()).hexdigest(),
    )


def make_workspace_names(count: int) -> list[str]:
    """Return names of workspaces."""
    return [f'workspace-{number}' for number in range(count)]


def append_records(running: fleet.Fleet, log: Iterable[records.Record]) -> int:
    """Append records to the log and return the next offset."""
    url = f'http://{running.log_address}/streams/{LOG_STREAM}'
    offset = -1
    for record in log:
        status, response = fleet.request_json(
            'POST', url, msgspec.to_builtins(record)
        )
        if status != 201:
            raise fleet.FleetError(
                f'appending a record failed: status {status}, {response}'
            )
        offset = response['offset']
    return offset + 1


@contextlib.contextmanager
def run_fleet(
    specs: list[fleet.DaemonSpec],
    log: Iterable[records.Record] = (),
    *,
    later_ids: frozenset[str] = frozenset(),
) -> Iterator[fleet.Fleet]:
    """Run a fleet whose log holds records before the daemons start.

    Args:
        specs: Specifications of all daemons.
        log: Records to append before the start.
        later_ids: Ids of the daemons that the caller starts itself.

    Raises:
        fleet.FleetError: An append failed, or a daemon did not learn of all
            members in time.
    """
    running = fleet.Fleet(specs, start_timeout_s=_START_TIMEOUT_S)
    try:
        running.start_log()
        append_records(running, log)
        initial_names = [
            name for name in running.daemons if name not in later_ids
        ]
        for name in initial_names:
            running.start_daemon(name)
        for name in initial_names:
            if running.daemons[name].spec.has_upstream:
                running.start_upstream(name)
        _wait_for_members(running, initial_names)
        time.sleep(SETTLE_S)
        yield running
    finally:
        running.stop()


def _wait_for_members(running: fleet.Fleet, names: list[str]) -> None:
    deadline = time.monotonic() + _START_TIMEOUT_S
    for name in names:
        while _count_known_members(running, name) < len(names):
            if time.monotonic() > deadline:
                raise fleet.FleetError(
                    f'daemon {name} did not learn of all members in time'
                )
            time.sleep(0.2)


def _count_known_members(running: fleet.Fleet, name: str) -> int:
    try:
        _, fleet_status = running.send_operator_request(name, 'GET', 'fleet')
    except OSError:
        return 0
    return len(fleet_status['members'])


def wait_for_offset(running: fleet.Fleet, name: str, offset: int) -> None:
    """Wait until a daemon has applied the log up to an offset.

    Raises:
        fleet.FleetError: The daemon did not do so in time.
    """
    deadline = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            if running.fetch_status(name)['next_offset'] >= offset:
                return
        except OSError:
            pass
        if time.monotonic() > deadline:
            raise fleet.FleetError(
                f'daemon {name} did not apply the log up to offset {offset}'
            )
        time.sleep(0.02)


class Meter:
    """Measures daemons of a fleet from its creation until finish()."""

    def __init__(self, running: fleet.Fleet, names: list[str]) -> None:
        """Start the window."""
        self._running = running
        self._names = names
        # Counters are queried before the first and after the last reading of
        # the processor time, so that it excludes most of their cost.
        self._counters_before = self._read_counters()
        time.sleep(0.3)
        self._cpu_s_before = self._read_cpu_s()
        self._machine_times_before = process_cost.read_machine_times()
        self._started_at = time.monotonic()

    def finish(self) -> Usage:
        """End the window and return the usage."""
        window_s = time.monotonic() - self._started_at
        cpu_s_after = self._read_cpu_s()
        busy_s, total_s = process_cost.read_machine_times()
        pids = [self._find_pid(name) for name in self._names]
        counters_after = self._read_counters()
        rates = [
            _compute_rates(self._counters_before[name], counters_after[name])
            for name in self._names
        ]
        message_kinds = sorted({kind for rate in rates for kind in rate})
        count = len(rates)
        traffic = {
            kind: (
                sum(rate.get(kind, (0.0, 0.0))[0] for rate in rates) / count,
                sum(rate.get(kind, (0.0, 0.0))[1] for rate in rates) / count,
            )
            for kind in message_kinds
        }
        opened_per_s = traffic.pop('peer.opened', (0.0, 0.0))[0]
        return Usage(
            window_s=window_s,
            cpu_s={
                daemon_id: cpu_s_after[daemon_id]
                - self._cpu_s_before[daemon_id]
                for daemon_id in self._names
            },
            resident_mb=_compute_mean_mb(
                process_cost.read_resident_bytes, pids
            ),
            private_mb=_compute_mean_mb(process_cost.read_private_bytes, pids),
            connections=statistics.fmean(
                process_cost.count_tcp_connections(pid) for pid in pids
            ),
            traffic=traffic,
            traffic_by_daemon=dict(zip(self._names, rates, strict=True)),
            opened_per_s=opened_per_s,
            machine_busy=(busy_s - self._machine_times_before[0])
            / max(total_s - self._machine_times_before[1], 1e-9),
        )

    def _read_cpu_s(self) -> dict[str, float]:
        return {
            name: process_cost.read_cpu_s(self._find_pid(name))
            for name in self._names
        }

    def _find_pid(self, name: str) -> int:
        process = self._running.daemons[name].daemon_process
        if process is None:
            raise fleet.FleetError(f'daemon {name} was not started')
        return process.pid

    def _read_counters(self) -> dict[str, tuple[float, dict[str, typing.Any]]]:
        return {
            name: (time.monotonic(), self._running.fetch_status(name))
            for name in self._names
        }


def _compute_rates(
    before: tuple[float, dict[str, typing.Any]],
    after: tuple[float, dict[str, typing.Any]],
) -> dict[str, tuple[float, float]]:
    """Return messages/s and bytes/s by kind, and connections opened/s."""
    elapsed_s = after[0] - before[0]
    rates = {}
    no_traffic = {'messages': 0, 'bytes': 0}
    for kind, count in after[1]['traffic'].items():
        count_before = before[1]['traffic'].get(kind, no_traffic)
        rates[kind] = (
            (count['messages'] - count_before['messages']) / elapsed_s,
            (count['bytes'] - count_before['bytes']) / elapsed_s,
        )
    connections_opened = after[1]['counts'].get('peer.opened', 0)
    connections_opened -= before[1]['counts'].get('peer.opened', 0)
    rates['peer.opened'] = (connections_opened / elapsed_s, 0.0)
    return rates


def _sum_rates(
    traffic: dict[str, tuple[float, float]], message_kinds: Iterable[str]
) -> tuple[float, float]:
    pairs = [
        traffic.get(f'{direction}.{kind}', (0.0, 0.0))
        for direction in ('sent', 'received')
        for kind in message_kinds
    ]
    return sum(pair[0] for pair in pairs), sum(pair[1] for pair in pairs)


def _compute_mean_mb(
    read_bytes: typing.Callable[[int], int], pids: Iterable[int]
) -> float:
    return statistics.fmean(read_bytes(pid) for pid in pids) / 1e6


def read_load_average() -> float:
    """Return the load average of the last minute."""
    return os.getloadavg()[0]
