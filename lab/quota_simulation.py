"""Simulates quota clients and owners in virtual time, with faults."""

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

# Service and workspace that a limit applies to.
LimitKey = tuple[str, str]


@dataclasses.dataclass(kw_only=True)
class Network:
    """Delays and faults of messages.

    Attributes:
        min_delay_s: Shortest delay of a message in seconds.
        max_delay_s: Longest delay in seconds, unless the message is late.
        loss_probability: Probability that a message is lost.
        duplicate_probability: Probability that a message is delivered twice.
        late_probability: Probability that a copy of a message is late.
        max_late_s: Longest additional delay of a late copy in seconds.
    """

    min_delay_s: float = 0.001
    max_delay_s: float = 0.004
    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    late_probability: float = 0.0
    max_late_s: float = 3.0


@dataclasses.dataclass(kw_only=True)
class Call:
    """A call and its verdict.

    Attributes:
        key: Service and workspace of the call.
        client: Index of the client daemon at which the call arrives.
        arrived_at: Virtual time of the arrival in seconds.
        done_at: Virtual time of the verdict in seconds.
        verdict: The last verdict; None while the call waits.
        verdicts: Number of verdicts, which must be 1 in the end.
    """

    key: LimitKey
    client: int
    arrived_at: float
    done_at: float | None = None
    verdict: quota_client.QuotaVerdict | None = None
    verdicts: int = 0


class Documents:
    """Documents in force as one daemon knows them."""

    def __init__(self) -> None:
        """Start without documents."""
        self.entries: dict[str, records.DocumentEntry] = {}

    def document(
        self, service: ids.ServiceName
    ) -> records.DocumentEntry | None:
        """Return the document in force, or None."""
        return self.entries.get(service)


class Configuration(Documents):
    """Documents and partition terms in force as one client knows them."""

    def __init__(self) -> None:
        """Start without entries."""
        super().__init__()
        self.partitions: dict[tuple[str, int], records.PartitionEntry] = {}

    def partition(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry of the term in force, or None."""
        return self.partitions.get((service, partition))


class Leases:
    """Leases of one owner, which the simulation sets."""

    def __init__(self) -> None:
        """Start without leases."""
        self.entries: dict[tuple[str, int], records.PartitionEntry] = {}

    def owned(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry while the lease is valid, or None."""
        return self.entries.get((service, partition))


class _Process:
    """Runs the events of one daemon.

    Events are delayed while the daemon is paused and dropped once it is
    killed.
    """

    def __init__(self, fleet: 'Fleet') -> None:
        self._fleet = fleet
        self.paused_until = 0.0
        self.is_alive = True

    def run(self, action: Callable[[], None]) -> None:
        if not self.is_alive:
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
        self.configuration = Configuration()
        self.quota = quota_client.QuotaClient(
            clock=fleet.clock,
            random=random.Random(fleet.random.random()),
            outbox=_ClientOutbox(fleet, self),
            own=self.own,
            configuration=self.configuration,
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
    """Client daemons, partition owners and the network between them.

    All times are virtual, in seconds.

    Attributes:
        network: Delays and faults of messages, which may change at any time.
        calls: All calls that have arrived, in order of arrival.
        transferred_bytes: Encoded bytes of all requests and replies.
        message_count: Number of all requests and replies.
        limit_history: For each limit, a list per partition of the changes
            that its owner applied: (time, rate, burst) of the limit of the
            fleet.
        partition_entries: Entry of the latest term of each partition.
        clients: Client daemons, by index.
    """

    def __init__(
        self,
        *,
        seed: int,
        clients: int,
        specs: dict[LimitKey, document.WorkspaceSpec],
        network: Network | None = None,
        has_prompt_refresh: bool = True,
    ) -> None:
        """Start all daemons with the first terms and documents.

        Args:
            seed: Seed of all random choices.
            clients: Number of client daemons.
            specs: Rate and burst of each limit.
            network: Delays and faults of messages.
            has_prompt_refresh: Whether an owner applies a new term or
                document at once, and not only at the next request.
        """
        self.random = random.Random(seed)
        self.clock = clock.ManualClock()
        self.network = network or Network()
        self.calls: list[Call] = []
        self.transferred_bytes = 0
        self.message_count = 0
        self.limit_history: dict[
            LimitKey, list[list[tuple[float, float, float]]]
        ] = {}
        self._has_prompt_refresh = has_prompt_refresh
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._revisions: collections.Counter[str] = collections.Counter()
        self._owners: dict[ids.DaemonId, _Owner] = {}
        self.partition_entries: dict[
            tuple[str, int], records.PartitionEntry
        ] = {}
        self.clients = [_Client(self, index, 1) for index in range(clients)]
        for service in sorted({service for service, _ in specs}):
            for partition in range(const.PARTITIONS_PER_SERVICE):
                self.begin_term(service, partition, wait_s=0.0)
        for service in sorted({service for service, _ in specs}):
            self.publish(service, specs, max_delay_s=0.0)
        for index in range(clients):
            self.at(self.now + index * 0.0007, self._make_tick(index))

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.clock.monotonic()

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in seconds."""
        self._event_count += 1
        heapq.heappush(self._events, (at_s, self._event_count, action))

    def run(self, until_s: float) -> None:
        """Run all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.now))
            action()
        self.clock.advance(max(0.0, until_s - self.now))

    def offer(self, arrives_at: float, client: int, key: LimitKey) -> None:
        """Schedule the arrival of a call at a client daemon."""
        self.at(
            arrives_at,
            lambda: self.clients[client].run(
                lambda: self._take_token(client, key)
            ),
        )

    def publish(
        self,
        service: str,
        specs: dict[LimitKey, document.WorkspaceSpec],
        max_delay_s: float = 0.5,
    ) -> None:
        """Publish a document; each daemon applies it after its own delay."""
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
            applied_at = self.now + self.random.random() * max_delay_s
            self.at(applied_at, self._make_owner_update(entry, partition))
        for client in self.clients:
            applied_at = self.now + self.random.random() * max_delay_s
            self.at(applied_at, self._make_client_update(client, entry))

    def hand_over(self, service: str, partition: int) -> None:
        """End a term and begin the next one with the limits of the last."""
        previous = self.partition_entries[(service, partition)]
        self.end_lease(service, partition)
        owner = self.owner(service, partition)
        self.begin_term(
            service,
            partition,
            wait_s=0.0,
            quota=owner.quota.export(previous),
        )

    def begin_term(
        self,
        service: str,
        partition: int,
        wait_s: float,
        quota: messages.QuotaState | None = None,
    ) -> None:
        """Begin a term with a new owner; clients apply it after a delay.

        Args:
            service: The service.
            partition: The partition of the service.
            wait_s: Seconds for which the new owner must wait before it
                grants tokens.
            quota: Limits that the last owner hands over.
        """
        previous = self.partition_entries.get((service, partition))
        term = ids.Term(previous.term + 1 if previous else 1)
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
        if previous is not None:
            previous_owner = self._owners[previous.owner.daemon_id]
            owner.documents.entries = dict(previous_owner.documents.entries)
            owner.quota.accept(build_hand_over(previous, quota))
        self._owners[daemon_id] = owner
        self.partition_entries[(service, partition)] = entry
        self._refresh(entry)
        for client in self.clients:
            delay_s = self.random.random() * 0.3 if previous else 0.0
            self.at(
                self.now + delay_s, self._make_partition_update(client, entry)
            )

    def end_lease(self, service: str, partition: int) -> None:
        """End the lease of the current owner of a partition."""
        self.owner(service, partition).leases.entries.clear()

    def owner(self, service: str, partition: int) -> _Owner:
        """Return the owner of the latest term."""
        return self._owners[
            self.partition_entries[(service, partition)].owner.daemon_id
        ]

    def restart_client(self, index: int) -> None:
        """Kill a client daemon and start it with a new incarnation."""
        old = self.clients[index]
        old.is_alive = False
        new = _Client(self, index, old.own.incarnation + 1)
        new.configuration.entries = dict(old.configuration.entries)
        new.configuration.partitions = dict(self.partition_entries)
        self.clients[index] = new

    def send_request(
        self,
        client: _Client,
        daemon_id: ids.DaemonId,
        message: messages.Message,
    ) -> None:
        """Transmit a request to an owner and its reply to the client."""
        assert isinstance(message, messages.QuotaRequest)
        self._record_message(message)
        owner = self._owners[daemon_id]

        def reply() -> None:
            grant = owner.quota.on_request(message)
            self._record_message(grant)
            self._transmit(
                lambda: client.run(
                    lambda: client.quota.on_grant(grant, daemon_id)
                )
            )

        self._transmit(lambda: owner.run(reply))

    def list_grant_times(self, key: LimitKey) -> list[float]:
        """Return the sorted times at which calls of a limit were granted."""
        return sorted(
            call.done_at
            for call in self.calls
            if call.key == key
            and call.done_at is not None
            and call.verdict is not None
            and call.verdict.granted
        )

    def _take_token(self, client: int, key: LimitKey) -> None:
        call = Call(key=key, client=client, arrived_at=self.now)
        self.calls.append(call)

        def record_verdict(verdict: quota_client.QuotaVerdict) -> None:
            call.verdicts += 1
            call.verdict = verdict
            call.done_at = self.now

        verdict = self.clients[client].quota.take(
            ids.ServiceName(key[0]),
            ids.Workspace(key[1]),
            record_verdict,
            const.QUOTA_WAIT_S,
        )
        if verdict is not None:
            record_verdict(verdict)

    def _transmit(self, on_delivery: Callable[[], None]) -> None:
        network = self.network
        if self.random.random() < network.loss_probability:
            return
        copies = (
            2 if self.random.random() < network.duplicate_probability else 1
        )
        for _ in range(copies):
            delay_s = self.random.uniform(
                network.min_delay_s, network.max_delay_s
            )
            if self.random.random() < network.late_probability:
                delay_s += self.random.random() * network.max_late_s
            self.at(self.now + delay_s, on_delivery)

    def _record_message(self, message: messages.Message) -> None:
        self.transferred_bytes += len(msgspec.msgpack.encode(message))
        self.message_count += 1

    def _make_tick(self, index: int) -> Callable[[], None]:
        def tick() -> None:
            client = self.clients[index]
            if self.now >= client.paused_until and client.quota.is_active:
                client.quota.tick()
            self.at(self.now + const.QUOTA_TICK_S, tick)

        return tick

    def _make_owner_update(
        self, entry: records.DocumentEntry, partition: int
    ) -> Callable[[], None]:
        def apply() -> None:
            owner = self.owner(entry.service, partition)
            if owner.is_alive and self.now < owner.paused_until:
                self.at(owner.paused_until, apply)
                return
            known = owner.documents.entries.get(entry.service)
            if known is not None and known.revision >= entry.revision:
                return
            owner.documents.entries[entry.service] = entry
            self._record_limits(entry, partition)
            self._refresh(self.partition_entries[(entry.service, partition)])

        return apply

    def _record_limits(
        self, entry: records.DocumentEntry, partition: int
    ) -> None:
        for workspace, spec in entry.document.workspaces.items():
            parts = self.limit_history.setdefault(
                (entry.service, workspace),
                [[] for _ in range(const.PARTITIONS_PER_SERVICE)],
            )
            parts[partition].append((self.now, spec.rate, spec.burst))

    def _refresh(self, entry: records.PartitionEntry) -> None:
        if self._has_prompt_refresh:
            owner = self._owners[entry.owner.daemon_id]
            owner.run(
                lambda: owner.quota.refresh(entry.service, entry.partition)
            )

    def _make_client_update(
        self, client: _Client, entry: records.DocumentEntry
    ) -> Callable[[], None]:
        def apply() -> None:
            known = client.configuration.entries.get(entry.service)
            if known is None or known.revision < entry.revision:
                client.configuration.entries[entry.service] = entry

        return apply

    def _make_partition_update(
        self, client: _Client, entry: records.PartitionEntry
    ) -> Callable[[], None]:
        def apply() -> None:
            key = (entry.service, entry.partition)
            known = client.configuration.partitions.get(key)
            if known is None or known.term < entry.term:
                client.configuration.partitions[key] = entry

        return apply


def build_hand_over(
    entry: records.PartitionEntry, quota: messages.QuotaState | None
) -> messages.HandOver:
    return messages.HandOver(
        service=entry.service,
        partition=entry.partition,
        term=entry.term,
        sender=entry.owner,
        part=0,
        last=True,
        knowledge_age_s=None,
        entries=[],
        quota=quota,
    )


def compute_excess(fleet: Fleet, key: LimitKey) -> float:
    """Return by how many calls the worst window exceeds its limit.

    The limit of a window from s to e, summed over the partitions, is the
    largest share of the burst in force between 1.25 s before s and s, plus
    the integral of the rate from s to e. The result is negative if no window
    reaches its limit.

    Args:
        fleet: The fleet after its run.
        key: Service and workspace of the limit.
    """
    parts = fleet.limit_history[key]
    worst = float('-inf')
    min_offset = float('inf')
    for index, granted_at in enumerate(fleet.list_grant_times(key)):
        refilled = sum(_compute_refill(part, granted_at) for part in parts)
        burst = sum(_find_max_burst(part, granted_at) for part in parts)
        min_offset = min(min_offset, index + burst - refilled)
        worst = max(worst, index + 1 - refilled - min_offset)
    return worst


def _compute_refill(
    changes: list[tuple[float, float, float]], until_s: float
) -> float:
    tokens = 0.0
    for index, (start, rate, _) in enumerate(changes):
        end = changes[index + 1][0] if index + 1 < len(changes) else until_s
        tokens += rate * max(0.0, min(end, until_s) - start)
    return tokens / const.PARTITIONS_PER_SERVICE


def _find_max_burst(
    changes: list[tuple[float, float, float]], at_s: float
) -> float:
    lifetime_s = const.QUOTA_TOKEN_LIFETIME_S + const.QUOTA_TOKEN_MARGIN_S
    starts = [start for start, _, _ in changes]
    first = max(0, bisect.bisect_right(starts, at_s - lifetime_s) - 1)
    last = max(first + 1, bisect.bisect_right(starts, at_s))
    bursts = [burst for _, _, burst in changes[first:last]]
    return max(bursts) / const.PARTITIONS_PER_SERVICE


class IdealBucket:
    """Token bucket that decides at once, as one for the whole fleet would."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Start with a full bucket.

        Args:
            rate: Tokens per second.
            burst: Size of the bucket in tokens.
            now: Current time in seconds.
        """
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._updated_at = now

    def take(self, now: float) -> bool:
        """Take a token at a time in seconds; return whether there was one."""
        elapsed_s = now - self._updated_at
        self._level = min(self._burst, self._level + self._rate * elapsed_s)
        self._updated_at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
