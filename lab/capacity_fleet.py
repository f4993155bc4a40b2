"""Starts fleets for capacity measurements and measures their daemons."""

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

STREAM: typing.Final = 'sassafraswood'
DOMAINS: typing.Final = 3
_START_TIMEOUT_S: typing.Final = 120.0
# Free partitions are claimed after 1 s and up to 3 s for each rank; terms of
# claimed ones begin 11 s later, and a balance may follow 10 s after that.
SETTLE_S: typing.Final = 14.0

Point = dict[str, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """What daemons used in a window, means per daemon.

    Attributes:
        window_s: Length of the window for processor time.
        cpu_s: Processor time of each daemon.
        traffic: Messages/s and bytes/s by 'direction.kind'.
        traffic_of: The same of each daemon.
        opened_per_s: Peer connections opened per second.
        machine_busy: Share of all processors that was busy, by anyone.
    """

    window_s: float
    cpu_s: dict[str, float]
    resident_mb: float
    private_mb: float
    connections: float
    traffic: dict[str, tuple[float, float]]
    traffic_of: dict[str, dict[str, tuple[float, float]]]
    opened_per_s: float
    machine_busy: float

    @property
    def cpu_share(self) -> float:
        """Return the mean share of one core."""
        return statistics.fmean(self.cpu_s.values()) / self.window_s

    def rate(self, *kinds: str) -> tuple[float, float]:
        """Return messages/s and bytes/s, sent and received, of kinds."""
        return _sum_rates(self.traffic, kinds)

    def rate_of(self, name: str, *kinds: str) -> tuple[float, float]:
        """Return the same of one daemon."""
        return _sum_rates(self.traffic_of[name], kinds)

    def kinds(self) -> list[str]:
        """Return all kinds of messages."""
        return sorted({name.partition('.')[2] for name in self.traffic})


def publish(
    service: str,
    *,
    routes: int = 1,
    workspaces: Iterable[str] = (),
    rate: float = 100.0,
    burst: float = 100.0,
) -> records.Publish:
    """Return the first revision of a document.

    The last route takes all paths, and `/open/**` needs no key.
    """
    paths = [f'/resource-{number}/{{id}}' for number in range(routes - 1)]
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


def grant(workspace: str) -> records.GrantKey:
    """Return the grant of the key that is named like its workspace."""
    return records.GrantKey(
        publication_id=ids.PublicationId(f'grant-{workspace}'),
        key_id=ids.KeyId(workspace),
        workspace=ids.Workspace(workspace),
        key_sha256=hashlib.sha256(workspace.encode()).hexdigest(),
    )


def workspaces(count: int) -> list[str]:
    """Return names of workspaces."""
    return [f'workspace-{number}' for number in range(count)]


def append(running: fleet.Fleet, log: Iterable[records.Record]) -> int:
    """Append records to the log and return the next offset."""
    url = f'http://{running.log_address}/streams/{STREAM}'
    offset = -1
    for record in log:
        status, answer = fleet.http_json(
            'POST', url, msgspec.to_builtins(record)
        )
        if status != 201:
            raise fleet.FleetError(f'append: {status} {answer}')
        offset = answer['offset']
    return offset + 1


@contextlib.contextmanager
def started(
    specs: list[fleet.DaemonSpec],
    log: Iterable[records.Record] = (),
    *,
    later: frozenset[str] = frozenset(),
) -> Iterator[fleet.Fleet]:
    """Run a fleet whose log holds records before the daemons start.

    Args:
        specs: All daemons.
        log: The records.
        later: Daemons that the caller starts.
    """
    running = fleet.Fleet(specs, start_timeout_s=_START_TIMEOUT_S)
    try:
        running.start_log()
        append(running, log)
        first = [name for name in running.daemons if name not in later]
        for name in first:
            running.start_daemon(name)
        for name in first:
            if running.daemons[name].spec.has_upstream:
                running.start_upstream(name)
        _wait_for_members(running, first)
        time.sleep(SETTLE_S)
        yield running
    finally:
        running.stop()


def _wait_for_members(running: fleet.Fleet, names: list[str]) -> None:
    deadline = time.monotonic() + _START_TIMEOUT_S
    for name in names:
        while _known_members(running, name) < len(names):
            if time.monotonic() > deadline:
                raise fleet.FleetError(f'{name} does not know all members')
            time.sleep(0.2)


def _known_members(running: fleet.Fleet, name: str) -> int:
    try:
        _, known = running.operate(name, 'GET', 'fleet')
    except OSError:
        return 0
    return len(known['members'])


def wait_for_offset(running: fleet.Fleet, name: str, offset: int) -> None:
    """Wait until a daemon has folded the log up to an offset."""
    deadline = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            if running.status(name)['next_offset'] >= offset:
                return
        except OSError:
            pass
        if time.monotonic() > deadline:
            raise fleet.FleetError(f'{name} does not reach {offset}')
        time.sleep(0.02)


class Meter:
    """Measures some daemons of a fleet from its creation to finish()."""

    def __init__(self, running: fleet.Fleet, names: list[str]) -> None:
        """Start a window."""
        self._running = running
        self._names = names
        # The queries for counters are kept out of the processor time, as far
        # as they come before and after it is read.
        self._before = self._counters()
        time.sleep(0.3)
        self._cpu_before = self._cpu()
        self._machine = process_cost.machine_times()
        self._started = time.monotonic()

    def finish(self) -> Usage:
        """End the window."""
        window_s = time.monotonic() - self._started
        cpu = self._cpu()
        busy, total = process_cost.machine_times()
        pids = [self._pid(name) for name in self._names]
        after = self._counters()
        rates = [
            _rates(self._before[name], after[name]) for name in self._names
        ]
        kinds = sorted({kind for rate in rates for kind in rate})
        count = len(rates)
        traffic = {
            kind: (
                sum(rate.get(kind, (0.0, 0.0))[0] for rate in rates) / count,
                sum(rate.get(kind, (0.0, 0.0))[1] for rate in rates) / count,
            )
            for kind in kinds
        }
        opened = traffic.pop('peer.opened', (0.0, 0.0))[0]
        return Usage(
            window_s=window_s,
            cpu_s={n: cpu[n] - self._cpu_before[n] for n in self._names},
            resident_mb=_mean_mb(process_cost.resident_bytes, pids),
            private_mb=_mean_mb(process_cost.private_bytes, pids),
            connections=statistics.fmean(
                process_cost.tcp_connections(pid) for pid in pids
            ),
            traffic=traffic,
            traffic_of=dict(zip(self._names, rates, strict=True)),
            opened_per_s=opened,
            machine_busy=(busy - self._machine[0])
            / max(total - self._machine[1], 1e-9),
        )

    def _cpu(self) -> dict[str, float]:
        return {
            name: process_cost.cpu_s(self._pid(name)) for name in self._names
        }

    def _pid(self, name: str) -> int:
        process = self._running.daemons[name].process
        if process is None:
            raise fleet.FleetError(f'{name} is not started')
        return process.pid

    def _counters(self) -> dict[str, tuple[float, dict[str, typing.Any]]]:
        return {
            name: (time.monotonic(), self._running.status(name))
            for name in self._names
        }


def _rates(
    before: tuple[float, dict[str, typing.Any]],
    after: tuple[float, dict[str, typing.Any]],
) -> dict[str, tuple[float, float]]:
    """Return messages/s and bytes/s by kind, and peer.opened."""
    elapsed_s = after[0] - before[0]
    rates = {}
    zero = {'messages': 0, 'bytes': 0}
    for kind, count in after[1]['traffic'].items():
        old = before[1]['traffic'].get(kind, zero)
        rates[kind] = (
            (count['messages'] - old['messages']) / elapsed_s,
            (count['bytes'] - old['bytes']) / elapsed_s,
        )
    opened = after[1]['counts'].get('peer.opened', 0)
    opened -= before[1]['counts'].get('peer.opened', 0)
    rates['peer.opened'] = (opened / elapsed_s, 0.0)
    return rates


def _sum_rates(
    traffic: dict[str, tuple[float, float]], kinds: Iterable[str]
) -> tuple[float, float]:
    pairs = [
        traffic.get(f'{direction}.{kind}', (0.0, 0.0))
        for direction in ('sent', 'received')
        for kind in kinds
    ]
    return sum(p[0] for p in pairs), sum(p[1] for p in pairs)


def _mean_mb(read: typing.Callable[[int], int], pids: Iterable[int]) -> float:
    return statistics.fmean(read(pid) for pid in pids) / 1e6


def load_average() -> float:
    """Return the load of the last minute."""
    return os.getloadavg()[0]
