"""Runs each idempotency key at most once, at the owner of its partition.

At most one run per key follows from three facts:

1. At any instant at most one daemon holds the lease of a key's partition
   (`partition_lease`), and only the holder begins a key without an entry.
2. A holder keeps an entry for each key that it began, until the key is too
   old for any daemon to begin it.
3. A holder begins a key only if no earlier holder can have begun it: either
   the holder has the entries of all earlier terms (through hand-overs with
   state since the first term of the service), or the key is newer than the
   start of the first term whose entries the holder has.

For a UUIDv7 key, fact 3 compares the creation time in the key with wall
clocks. An earlier holder accepted a key only if its creation time was before
the holder's wall clock plus CLOCK_SKEW_S, and only before the new term began.
So the new holder needs `creation time > start of term + CLOCK_SKEW_S + S`,
where S bounds how far the wall clock of the earlier holder was ahead of the
new holder's. The wall clocks of any two daemons are assumed to differ by at
most CLOCK_SKEW_S at any instant, so the new holder adds CLOCK_SKEW_S twice.
The clocks of callers may be wrong by any amount: the key contains its creation
time, so a wrong clock only leads to more refusals.

A pause of the process between the check of a key and its run is safe: the key
was created before the next term began, so no later holder begins it.

The outcome in a refusal is the outcome of the refused attempt. If the detail
mentions earlier attempts with the same key, those may have run.
"""

import dataclasses
import enum
import typing
import uuid

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import partition_lease
from sassafraswood.coordination import placement
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.state import idempotency_table


class LeaseView(typing.Protocol):
    """The methods of PartitionLeases that idempotency uses."""

    def owned(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry while this daemon holds a valid lease on it."""

    def in_force(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry in force, whoever owns it."""

    def term_start_unix_s(
        self, service: ids.ServiceName, partition: int
    ) -> float | None:
        """Return the Unix time at which this daemon first held its term."""

    def planned_hand_overs(self) -> list[partition_lease.HandOverPlan]:
        """Return the planned hand-overs whose state has to be sent."""


class IdempotencyAction(enum.Enum):
    """What to do with a request that has an idempotency key."""

    RUN = enum.auto()
    WAIT = enum.auto()
    DONE = enum.auto()


@dataclasses.dataclass(frozen=True, kw_only=True)
class IdempotencyVerdict:
    """Decision about a request with an idempotency key.

    Attributes:
        action: RUN: run the request and call `finish` once. WAIT: an earlier
            request with the key is running and `on_done` is called at its
            end. DONE: `result` is the result.
        result: Result of the request; None unless the action is DONE.
    """

    action: IdempotencyAction
    result: call.Result | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Knowledge:
    """How far the entries of a partition reach back.

    Attributes:
        term: Term for which this was determined.
        since_at: Monotonic time from which the entries are complete; None if
            they are complete since the first term.
        since_unix_s: Unix time of the same instant.
    """

    term: ids.Term
    since_at: float | None
    since_unix_s: float


@dataclasses.dataclass(kw_only=True)
class _ReceivedState:
    """State of a partition received in a hand-over that may come into force.

    Attributes:
        term: Term of the sender.
        sender: Owner that hands the partition over.
        parts: Number of parts received, in order from the first.
        is_complete: Whether the last part has been received.
        knowledge_age_s: Seconds before the receipt from which on the entries
            are complete; None if they are complete since the first term.
        received_at: Monotonic time at which the first part was received.
        entries: Entries of all received parts.
    """

    term: ids.Term
    sender: records.Holder
    parts: int = 0
    is_complete: bool = False
    knowledge_age_s: float | None = None
    received_at: float = 0.0
    entries: list[messages.IdempotencyEntry] = dataclasses.field(
        default_factory=list
    )


_PartitionKey = tuple[ids.ServiceName, int]


class IdempotencyOwner:
    """Decides about idempotency keys of the partitions that this daemon owns.

    `tick` must be called every second.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        leases: LeaseView,
        table: idempotency_table.IdempotencyTable | None = None,
    ) -> None:
        """Start without entries."""
        self._clock = clock
        self._leases = leases
        if table is None:
            table = idempotency_table.IdempotencyTable()
        self._table = table
        self._knowledge: dict[_PartitionKey, _Knowledge] = {}
        self._received_states: dict[_PartitionKey, _ReceivedState] = {}
        self._exports: dict[
            _PartitionKey, tuple[ids.Term, list[messages.HandOver]]
        ] = {}
        # Latest wall clock reading. It never decreases, so that an expired key
        # stays expired after the wall clock is set back.
        self._latest_unix_s = clock.wall()

    def begin(
        self,
        *,
        service: ids.ServiceName,
        workspace: ids.Workspace | None,
        key: str,
        request_sha256: str,
        on_done: typing.Callable[[call.Result], None],
    ) -> IdempotencyVerdict:
        """Decide whether a request runs, waits or gets a result at once.

        Args:
            service: The called service.
            workspace: The caller's workspace; each has its own keys.
            key: Idempotency key as the caller sent it.
            request_sha256: Hash of the request, to detect reuse of the key.
            on_done: Called by `finish` with the result if the action is WAIT.
        """
        if not is_well_formed(key):
            return _refuse(
                enums.RefusalReason.IDEMPOTENCY_KEY_MALFORMED,
                enums.Outcome.NOT_RUN,
                'a key has 1 to '
                f'{const.MAX_IDEMPOTENCY_KEY_BYTES} printable ASCII '
                'characters without spaces',
            )
        now = self._clock.monotonic()
        self._latest_unix_s = max(self._latest_unix_s, self._clock.wall())
        self._table.expire(now)
        partition = placement.partition_of_key(key)
        knowledge = self._get_held_knowledge(service, partition)
        entry_key = (service, workspace, key)
        entry = self._table.get(entry_key)
        if entry is not None:
            return _decide_repeat(entry, request_sha256, on_done)
        if knowledge is None:
            return _refuse(
                enums.RefusalReason.IDEMPOTENCY_OWNER_UNAVAILABLE,
                enums.Outcome.NOT_RUN,
                'this attempt was not run, because this daemon does not own '
                'the partition of the key; earlier attempts may have run',
                retry_after_s=1.0,
            )
        refusal = self._check_new_key(key, knowledge, now)
        if refusal is not None:
            return refusal
        if not self._table.has_room(entry_key):
            return _refuse(
                enums.RefusalReason.IDEMPOTENCY_TABLE_FULL,
                enums.Outcome.NOT_RUN,
                'no room for another idempotency key',
                retry_after_s=1.0,
            )
        self._add_entry(
            entry_key, partition, request_sha256, first_seen_at=now
        )
        return IdempotencyVerdict(action=IdempotencyAction.RUN)

    def finish(
        self,
        *,
        service: ids.ServiceName,
        workspace: ids.Workspace | None,
        key: str,
        result: call.Result,
    ) -> None:
        """Store the result of a run; call this once for each RUN.

        A request that was not run frees its key. If the outcome is unknown,
        it stays unknown for all repeats of the key.
        """
        entry_key = (service, workspace, key)
        entry = self._table.get(entry_key)
        if entry is None:
            return
        if entry.state is not idempotency_table.KeyState.RUNNING:
            return
        waiters, entry.waiters = entry.waiters, []
        outcome = enums.Outcome.RUN
        if isinstance(result, call.Refusal):
            outcome = result.outcome
        if outcome is enums.Outcome.NOT_RUN:
            self._table.remove(entry_key)
        elif outcome is enums.Outcome.UNKNOWN:
            entry.state = idempotency_table.KeyState.UNKNOWN
        else:
            kept_until = (
                self._clock.monotonic() + const.IDEMPOTENCY_RESULT_LIFETIME_S
            )
            self._table.store_result(
                entry_key, result, result_expires_at=kept_until
            )
        for on_done in waiters:
            on_done(result)

    def running(self, service: ids.ServiceName, partition: int) -> int:
        """Return the number of keys whose requests are running."""
        return sum(
            entry.state is idempotency_table.KeyState.RUNNING
            for _, entry in self._table.items(service, partition)
        )

    def export(
        self, service: ids.ServiceName, partition: int
    ) -> list[messages.HandOver]:
        """Return the state of a partition whose hand-over is planned.

        Keys whose requests are still running are exported with an unknown
        outcome. The list is the same for each call in one term, so that parts
        can be sent again. It is empty if no hand-over is planned.
        """
        plans = [
            plan
            for plan in self._leases.planned_hand_overs()
            if (plan.entry.service, plan.entry.partition)
            == (service, partition)
        ]
        if not plans:
            return []
        entry = plans[0].entry
        exported = self._exports.get((service, partition))
        if exported is not None and exported[0] == entry.term:
            return exported[1]
        parts = self._build_export(entry)
        self._exports[service, partition] = (entry.term, parts)
        return parts

    def accept(self, message: messages.HandOver) -> bool:
        """Store one part of a hand-over; return whether all parts are here.

        Parts are accepted in order, and the sender repeats missing ones. The
        state comes into force only once the log contains the transfer that
        follows the term of the hand-over.
        """
        key = (message.service, message.partition)
        received_state = self._received_states.get(key)
        if received_state is not None and received_state.term > message.term:
            return False
        if received_state is None or (
            received_state.term,
            received_state.sender,
        ) != (
            message.term,
            message.sender,
        ):
            received_state = _ReceivedState(
                term=message.term, sender=message.sender
            )
            self._received_states[key] = received_state
        if message.part != received_state.parts or received_state.is_complete:
            return received_state.is_complete
        now = self._clock.monotonic()
        if message.part == 0:
            received_state.received_at = now
            received_state.knowledge_age_s = message.knowledge_age_s
        received_state.parts += 1
        received_state.entries += message.entries
        received_state.is_complete = message.last
        return received_state.is_complete

    def tick(self) -> None:
        """Remove expired entries and apply received state to new terms."""
        self._table.expire(self._clock.monotonic())
        self._latest_unix_s = max(self._latest_unix_s, self._clock.wall())
        for service, partition in list(self._received_states):
            self._get_held_knowledge(service, partition)
            received_state = self._received_states.get((service, partition))
            entry = self._leases.in_force(service, partition)
            if received_state is None or entry is None:
                continue
            if entry.term > received_state.term + 1:
                del self._received_states[service, partition]
        for key, (term, _) in list(self._exports.items()):
            entry = self._leases.in_force(*key)
            if entry is None or entry.term != term:
                del self._exports[key]

    def _get_held_knowledge(
        self, service: ids.ServiceName, partition: int
    ) -> _Knowledge | None:
        """Return the knowledge of a partition, or None if it is not held."""
        entry = self._leases.owned(service, partition)
        return None if entry is None else self._get_knowledge(entry)

    def _get_knowledge(self, entry: records.PartitionEntry) -> _Knowledge:
        """Return the knowledge of an own term, which is determined once."""
        key = (entry.service, entry.partition)
        knowledge = self._knowledge.get(key)
        if knowledge is not None and knowledge.term == entry.term:
            return knowledge
        knowledge = self._inherit_knowledge(
            entry, knowledge
        ) or self._start_knowledge(entry)
        self._knowledge[key] = knowledge
        return knowledge

    def _start_knowledge(self, entry: records.PartitionEntry) -> _Knowledge:
        """Return the knowledge of a term that inherits no state."""
        start_unix_s = self._leases.term_start_unix_s(
            entry.service, entry.partition
        )
        now = self._clock.monotonic()
        return _Knowledge(
            term=entry.term,
            since_at=None if entry.term == 1 else now,
            since_unix_s=self._clock.wall()
            if start_unix_s is None
            else start_unix_s,
        )

    def _inherit_knowledge(
        self, entry: records.PartitionEntry, previous: _Knowledge | None
    ) -> _Knowledge | None:
        """Return the knowledge from a hand-over with state, or None."""
        received_state = self._received_states.pop(
            (entry.service, entry.partition), None
        )
        if entry.continuous_since == entry.term:
            return None
        if previous is not None and previous.term == entry.term - 1:
            return dataclasses.replace(previous, term=entry.term)
        if received_state is None or not received_state.is_complete:
            return None
        if received_state.term != entry.term - 1:
            return None
        if not self._add_received_entries(entry, received_state):
            return None
        now = self._clock.monotonic()
        now_unix_s = self._clock.wall()
        if received_state.knowledge_age_s is None:
            return _Knowledge(
                term=entry.term, since_at=None, since_unix_s=now_unix_s
            )
        since_at = received_state.received_at - received_state.knowledge_age_s
        return _Knowledge(
            term=entry.term,
            since_at=since_at,
            since_unix_s=now_unix_s - (now - since_at),
        )

    def _add_received_entries(
        self, entry: records.PartitionEntry, received_state: _ReceivedState
    ) -> bool:
        """Add received entries; return False if the table has no room left."""
        for received in received_state.entries:
            key = (entry.service, received.workspace, received.key)
            if self._table.get(key) is not None:
                continue
            if not self._table.has_room(key):
                return False
            first_seen_at = received_state.received_at - received.age_s
            added = self._add_entry(
                key,
                entry.partition,
                received.request_sha256,
                first_seen_at=first_seen_at,
            )
            added.state = idempotency_table.KeyState.UNKNOWN
            if received.result is not None:
                self._table.store_result(
                    key,
                    received.result,
                    result_expires_at=first_seen_at
                    + const.IDEMPOTENCY_RESULT_LIFETIME_S,
                )
        return True

    def _check_new_key(
        self, key: str, knowledge: _Knowledge, now: float
    ) -> IdempotencyVerdict | None:
        """Return a refusal unless no earlier holder can have begun the key."""
        created_unix_s = parse_creation_unix_s(key)
        is_complete = knowledge.since_at is None
        if created_unix_s is None:
            if knowledge.since_at is None:
                return None
            if now - knowledge.since_at >= const.OPAQUE_KEY_LIFETIME_S:
                return None
            return _outcome_unknown(
                'the partition of the key changed its owner; a key that is '
                'a UUIDv7 of this moment can be run'
            )
        expires_unix_s = created_unix_s + const.IDEMPOTENCY_KEY_LIFETIME_S
        if expires_unix_s < self._latest_unix_s:
            return _outcome_unknown('the key has expired')
        known_from_unix_s = knowledge.since_unix_s + 2 * const.CLOCK_SKEW_S
        if not is_complete and created_unix_s <= known_from_unix_s:
            return _outcome_unknown(
                'the key is older than the present owner of its partition'
            )
        if created_unix_s > self._clock.wall() + const.CLOCK_SKEW_S:
            return _refuse(
                enums.RefusalReason.IDEMPOTENCY_KEY_FUTURE,
                enums.Outcome.NOT_RUN,
                'the time in the key is in the future',
            )
        return None

    def _add_entry(
        self,
        key: idempotency_table.EntryKey,
        partition: int,
        request_sha256: str,
        *,
        first_seen_at: float,
    ) -> idempotency_table.Entry:
        lifetime_s = const.OPAQUE_KEY_LIFETIME_S
        if parse_creation_unix_s(key[2]) is not None:
            # Covers the time in which the key can be begun and in which its
            # result is kept.
            lifetime_s = (
                const.IDEMPOTENCY_KEY_LIFETIME_S
                + const.MAX_TIMEOUT_S
                + 2 * const.CLOCK_SKEW_S
            )
        entry = idempotency_table.Entry(
            partition=partition,
            request_sha256=request_sha256,
            state=idempotency_table.KeyState.RUNNING,
            first_seen_at=first_seen_at,
        )
        self._table.add(key, entry, remove_at=first_seen_at + lifetime_s)
        return entry

    def _build_export(
        self, entry: records.PartitionEntry
    ) -> list[messages.HandOver]:
        now = self._clock.monotonic()
        since_at = self._get_knowledge(entry).since_at
        items = self._table.items(entry.service, entry.partition)
        chunks: list[list[messages.IdempotencyEntry]] = [[]]
        part_bytes = 0
        for key, table_entry in items:
            answer = table_entry.result
            if not isinstance(answer, call.Answer):
                answer = None
            entry_bytes = idempotency_table.key_bytes(key)
            if answer is not None:
                entry_bytes += idempotency_table.result_bytes(answer)
            if (
                chunks[-1]
                and part_bytes + entry_bytes > const.HAND_OVER_PART_BYTES
            ):
                chunks.append([])
                part_bytes = 0
            part_bytes += entry_bytes
            chunks[-1].append(
                messages.IdempotencyEntry(
                    workspace=key[1],
                    key=key[2],
                    request_sha256=table_entry.request_sha256,
                    result=answer,
                    age_s=now - table_entry.first_seen_at,
                )
            )
        return [
            messages.HandOver(
                service=entry.service,
                partition=entry.partition,
                term=entry.term,
                sender=entry.owner,
                part=part,
                last=part == len(chunks) - 1,
                knowledge_age_s=None if since_at is None else now - since_at,
                entries=chunk,
            )
            for part, chunk in enumerate(chunks)
        ]


def is_well_formed(key: str) -> bool:
    """Return whether a key has an allowed length and characters."""
    if not 1 <= len(key) <= const.MAX_IDEMPOTENCY_KEY_BYTES:
        return False
    return all('!' <= character <= '~' for character in key)


def parse_creation_unix_s(key: str) -> float | None:
    """Return the creation time in a UUIDv7 key, or None for an opaque key.

    The first 48 bits are the Unix time in milliseconds (RFC 9562, section
    5.7).
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    # A UUID in another notation that uuid.UUID parses is an opaque key.
    if str(parsed) != key.lower():
        return None
    if parsed.variant != uuid.RFC_4122 or parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000


def _decide_repeat(
    entry: idempotency_table.Entry,
    request_sha256: str,
    on_done: typing.Callable[[call.Result], None],
) -> IdempotencyVerdict:
    """Decide about a request whose key has an entry."""
    if entry.request_sha256 != request_sha256:
        # The outcome is certain: the key never ran with this request.
        return _refuse(
            enums.RefusalReason.IDEMPOTENCY_KEY_REUSED,
            enums.Outcome.NOT_RUN,
            'this request was not run; its key belongs to a different '
            'request, which may have run',
        )
    if entry.state is idempotency_table.KeyState.RUNNING:
        if len(entry.waiters) >= const.MAX_IDEMPOTENCY_WAITERS:
            return _outcome_unknown(
                'the request runs and too many repeats wait for it'
            )
        entry.waiters.append(on_done)
        return IdempotencyVerdict(action=IdempotencyAction.WAIT)
    if entry.result is not None:
        return IdempotencyVerdict(
            action=IdempotencyAction.DONE, result=entry.result
        )
    return _outcome_unknown(
        'an earlier attempt with this key may have run; its answer is not '
        'known'
    )


def _outcome_unknown(detail: str) -> IdempotencyVerdict:
    return _refuse(
        enums.RefusalReason.IDEMPOTENCY_OUTCOME_UNKNOWN,
        enums.Outcome.UNKNOWN,
        detail,
    )


def _refuse(
    reason: enums.RefusalReason,
    outcome: enums.Outcome,
    detail: str,
    *,
    retry_after_s: float | None = None,
) -> IdempotencyVerdict:
    refusal = call.Refusal(
        reason=reason,
        outcome=outcome,
        detail=detail,
        retry_after_s=retry_after_s,
    )
    return IdempotencyVerdict(action=IdempotencyAction.DONE, result=refusal)
