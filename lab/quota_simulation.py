"""Fleet of quota objects in virtual time, with faults and a checker."""

import bisect
import collections
import dataclasses
import heapq
import random
from typing import Callable

import msgspec

from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import quota_client
from sassafraswood.coordination import quota_owner
from sassafraswood.models import document
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records

Key = tuple[str, str]


@dataclasses.dataclass(kw_only=True)
class Network:
    """Behaviour of messages; times in seconds."""

    min_delay_s: float = 0.001
    max_delay_s: float = 0.004
    lost: float = 0.0
    duplicated: float = 0.0
    late: float = 0.0
    max_late_s: float = 3.0


@dataclasses.dataclass(kw_only=True)
class Call:
    """A call and what became of it; times in seconds."""

    key: Key
    client: int
    arrived_at: float
    done_at: float | None = None
    verdict: quota_client.QuotaVerdict | None = None
    verdicts: int = 0


class Documents:
    """Documents that one daemon has folded."""

    def __init__(self) -> None:
        """Start without documents."""
        self.entries: dict[str, records.DocumentEntry] = {}

    def document(
        self, service: ids.ServiceName
    ) -> records.DocumentEntry | None:
        """Return the document in force."""
        return self.entries.get(service)


class View(Documents):
    """Documents and partitions that one first daemon has folded."""

    def __init__(self) -> None:
        """Start without entries."""
        super().__init__()
        self.partitions: dict[tuple[str, int], records.PartitionEntry] = {}

    def partition(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the term in force."""
        return self.partitions.get((service, partition))


class Leases:
    """Leases of one owner daemon, set by the simulation."""

    def __init__(self) -> None:
        """Start without leases."""
        self.entries: dict[tuple[str, int], records.PartitionEntry] = {}

    def owned(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry while the lease is valid."""
        return self.entries.get((service, partition))


class _Process:
    """Runs events of one daemon, later if it is paused, never if killed."""

    def __init__(self, fleet: 'Fleet') -> None:
        self._fleet = fleet
        self.paused_until = 0.0
        self.alive = True

    def run(self, action: Callable[[], None]) -> None:
        if not self.alive:
            return
        if self._fleet.now < self.paused_until:
            self._fleet.at(self.paused_until, lambda: self.run(action))
            return
        action()


class _Client(_Process):
    def __init__(self, fleet: 'Fleet', index: int, incarnation: int) -> None:
        super().__init__(fleet)
        self.own = records.Holder(
            daemon_id=ids.DaemonId(f'daemon-{index:03}'),
            incarnation=ids.Incarnation(incarnation),
        )
        self.view = View()
        self.quota = quota_client.QuotaClient(
            clock=fleet.clock,
            random=random.Random(fleet.random.random()),
            outbox=_ClientOutbox(fleet, self),
            own=self.own,
            configuration=self.view,
        )


class _ClientOutbox:
    def __init__(self, fleet: 'Fleet', client: _Client) -> None:
        self._fleet = fleet
        self._client = client

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        self._fleet.send_request(self._client, daemon_id, message)


class _Owner(_Process):
    def __init__(self, fleet: 'Fleet', daemon_id: ids.DaemonId) -> None:
        super().__init__(fleet)
        self.daemon_id = daemon_id
        self.leases = Leases()
        self.documents = Documents()
        self.quota = quota_owner.QuotaOwner(
            clock=fleet.clock,
            leases=self.leases,
            configuration=self.documents,
        )


class Fleet:
    """First daemons, partition owners and the network between them."""

    def __init__(
        self,
        *,
        seed: int,
        clients: int,
        specs: dict[Key, document.WorkspaceSpec],
        network: Network | None = None,
        refreshes: bool = True,
    ) -> None:
        """Start all daemons with the first terms and documents."""
        self.random = random.Random(seed)
        self.clock = clock.ManualClock()
        self.network = network or Network()
        self.calls: list[Call] = []
        self.bytes = 0
        self.messages = 0
        # Per key and partition: (time, rate, burst) of the fleet's limit.
        self.history: dict[Key, list[list[tuple[float, float, float]]]] = {}
        self._refreshes = refreshes
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._revisions: collections.Counter[str] = collections.Counter()
        self._owners: dict[ids.DaemonId, _Owner] = {}
        self.entries: dict[tuple[str, int], records.PartitionEntry] = {}
        self.clients = [_Client(self, index, 1) for index in range(clients)]
        for service in sorted({service for service, _ in specs}):
            for partition in range(const.PARTITIONS_PER_SERVICE):
                self.begin_term(service, partition, wait_s=0.0)
        for service in sorted({service for service, _ in specs}):
            self.publish(service, specs, max_delay_s=0.0)
        for index in range(clients):
            self.at(self.now + index * 0.0007, self._ticker(index))

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.clock.monotonic()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, action))

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            when, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, when - self.now))
            action()
        self.clock.advance(max(0.0, until - self.now))

    def offer(self, when: float, client: int, key: Key) -> None:
        """Let a call arrive at a first daemon."""
        self.at(
            when,
            lambda: self.clients[client].run(lambda: self._call(client, key)),
        )

    def publish(
        self,
        service: str,
        specs: dict[Key, document.WorkspaceSpec],
        max_delay_s: float = 0.5,
    ) -> None:
        """Publish a document that reaches the daemons one by one."""
        self._revisions[service] += 1
        entry = records.DocumentEntry(
            service=ids.ServiceName(service),
            revision=ids.Revision(self._revisions[service]),
            offset=ids.Offset(self._revisions[service]),
            document=document.ServiceDocument(
                version=1,
                service=ids.ServiceName(service),
                routes=[],
                workspaces={
                    ids.Workspace(workspace): spec
                    for (name, workspace), spec in specs.items()
                    if name == service
                },
            ),
        )
        for partition in range(const.PARTITIONS_PER_SERVICE):
            when = self.now + self.random.random() * max_delay_s
            self.at(when, self._fold_at_owners(entry, partition))
        for client in self.clients:
            when = self.now + self.random.random() * max_delay_s
            self.at(when, self._fold_at_client(client, entry))

    def begin_term(self, service: str, partition: int, wait_s: float) -> None:
        """Give the partition to a new daemon; clients learn of it later."""
        last = self.entries.get((service, partition))
        term = ids.Term(last.term + 1 if last else 1)
        daemon_id = ids.DaemonId(f'{service}-{partition}-{term}')
        entry = records.PartitionEntry(
            service=ids.ServiceName(service),
            partition=partition,
            term=term,
            owner=records.Holder(
                daemon_id=daemon_id, incarnation=ids.Incarnation(1)
            ),
            guardian=None,
            offset=ids.Offset(term),
            wait_s=wait_s,
            continuous_since=ids.Term(1),
        )
        owner = _Owner(self, daemon_id)
        owner.leases.entries[(service, partition)] = entry
        if last is not None:
            before = self._owners[last.owner.daemon_id]
            owner.documents.entries = dict(before.documents.entries)
        self._owners[daemon_id] = owner
        self.entries[(service, partition)] = entry
        self._refresh(entry)
        for client in self.clients:
            delay_s = self.random.random() * 0.3 if last else 0.0
            self.at(self.now + delay_s, self._learn(client, entry))

    def end_lease(self, service: str, partition: int) -> None:
        """End the lease of the owner of a partition."""
        self.owner(service, partition).leases.entries.clear()

    def owner(self, service: str, partition: int) -> _Owner:
        """Return the daemon of the latest term."""
        return self._owners[self.entries[(service, partition)].owner.daemon_id]

    def restart_client(self, index: int) -> None:
        """Kill a first daemon and start it again."""
        old = self.clients[index]
        old.alive = False
        new = _Client(self, index, old.own.incarnation + 1)
        new.view.entries = dict(old.view.entries)
        new.view.partitions = dict(self.entries)
        self.clients[index] = new

    def send_request(
        self,
        client: _Client,
        daemon_id: ids.DaemonId,
        message: messages.Message,
    ) -> None:
        """Carry a request to an owner daemon and its answer back."""
        assert isinstance(message, messages.QuotaRequest)
        self._count_bytes(message)
        owner = self._owners[daemon_id]

        def answer() -> None:
            grant = owner.quota.on_request(message)
            self._count_bytes(grant)
            self._carry(
                lambda: client.run(
                    lambda: client.quota.on_grant(grant, daemon_id)
                )
            )

        self._carry(lambda: owner.run(answer))

    def granted(self, key: Key) -> list[float]:
        """Return the times of all admissions of a limit in order."""
        return sorted(
            call.done_at
            for call in self.calls
            if call.key == key
            and call.done_at is not None
            and call.verdict is not None
            and call.verdict.granted
        )

    def _call(self, client: int, key: Key) -> None:
        call = Call(key=key, client=client, arrived_at=self.now)
        self.calls.append(call)

        def done(verdict: quota_client.QuotaVerdict) -> None:
            call.verdicts += 1
            call.verdict = verdict
            call.done_at = self.now

        verdict = self.clients[client].quota.take(
            ids.ServiceName(key[0]),
            ids.Workspace(key[1]),
            done,
            const.QUOTA_WAIT_S,
        )
        if verdict is not None:
            done(verdict)

    def _carry(self, deliver: Callable[[], None]) -> None:
        network = self.network
        if self.random.random() < network.lost:
            return
        copies = 2 if self.random.random() < network.duplicated else 1
        for _ in range(copies):
            delay_s = self.random.uniform(
                network.min_delay_s, network.max_delay_s
            )
            if self.random.random() < network.late:
                delay_s += self.random.random() * network.max_late_s
            self.at(self.now + delay_s, deliver)

    def _count_bytes(self, message: messages.Message) -> None:
        self.bytes += len(msgspec.msgpack.encode(message))
        self.messages += 1

    def _ticker(self, index: int) -> Callable[[], None]:
        def tick() -> None:
            client = self.clients[index]
            if self.now >= client.paused_until and client.quota.is_active:
                client.quota.tick()
            self.at(self.now + const.QUOTA_TICK_S, tick)

        return tick

    def _fold_at_owners(
        self, entry: records.DocumentEntry, partition: int
    ) -> Callable[[], None]:
        def fold() -> None:
            owner = self.owner(entry.service, partition)
            if owner.alive and self.now < owner.paused_until:
                self.at(owner.paused_until, fold)
                return
            before = owner.documents.entries.get(entry.service)
            if before is not None and before.revision >= entry.revision:
                return
            owner.documents.entries[entry.service] = entry
            self._note_history(entry, partition)
            self._refresh(self.entries[(entry.service, partition)])

        return fold

    def _note_history(
        self, entry: records.DocumentEntry, partition: int
    ) -> None:
        for workspace, spec in entry.document.workspaces.items():
            parts = self.history.setdefault(
                (entry.service, workspace),
                [[] for _ in range(const.PARTITIONS_PER_SERVICE)],
            )
            parts[partition].append((self.now, spec.rate, spec.burst))

    def _refresh(self, entry: records.PartitionEntry) -> None:
        if self._refreshes:
            owner = self._owners[entry.owner.daemon_id]
            owner.run(
                lambda: owner.quota.refresh(entry.service, entry.partition)
            )

    def _fold_at_client(
        self, client: _Client, entry: records.DocumentEntry
    ) -> Callable[[], None]:
        def fold() -> None:
            before = client.view.entries.get(entry.service)
            if before is None or before.revision < entry.revision:
                client.view.entries[entry.service] = entry

        return fold

    def _learn(
        self, client: _Client, entry: records.PartitionEntry
    ) -> Callable[[], None]:
        def learn() -> None:
            key = (entry.service, entry.partition)
            before = client.view.partitions.get(key)
            if before is None or before.term < entry.term:
                client.view.partitions[key] = entry

        return learn


def excess(fleet: Fleet, key: Key) -> float:
    """Return by how much the worst window is above what is allowed.

    A window from s to e allows, summed over the partitions, the largest
    share of the burst in force within 1.25 s before s, and the integral of
    the rate from s to e. The result is negative while there is room.
    """
    parts = fleet.history[key]
    worst = float('-inf')
    least = float('inf')
    for index, when in enumerate(fleet.granted(key)):
        refilled = sum(_refilled(part, when) for part in parts)
        burst = sum(_burst(part, when) for part in parts)
        least = min(least, index + burst - refilled)
        worst = max(worst, index + 1 - refilled - least)
    return worst


def _refilled(part: list[tuple[float, float, float]], when: float) -> float:
    tokens = 0.0
    for index, (start, rate, _) in enumerate(part):
        end = part[index + 1][0] if index + 1 < len(part) else when
        tokens += rate * max(0.0, min(end, when) - start)
    return tokens / const.PARTITIONS_PER_SERVICE


def _burst(part: list[tuple[float, float, float]], when: float) -> float:
    memory_s = const.QUOTA_TOKEN_LIFETIME_S + const.QUOTA_TOKEN_MARGIN_S
    starts = [start for start, _, _ in part]
    first = max(0, bisect.bisect_right(starts, when - memory_s) - 1)
    last = max(first + 1, bisect.bisect_right(starts, when))
    bursts = [burst for _, _, burst in part[first:last]]
    return max(bursts) / const.PARTITIONS_PER_SERVICE


class IdealBucket:
    """One token bucket for the whole fleet, without messages."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Start full."""
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._now = now

    def take(self, now: float) -> bool:
        """Return whether a call at the time now is within the limit."""
        elapsed = now - self._now
        self._level = min(self._burst, self._level + self._rate * elapsed)
        self._now = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
