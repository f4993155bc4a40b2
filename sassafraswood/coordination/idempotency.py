"""Runs each idempotency key at most once, beside the partition's owner.

At most one run per key follows from three facts:

1. At any instant one daemon at most holds the partition of a key
   (`partition_lease`), and only the holder begins a key that it has no entry
   for.
2. A holder keeps an entry for each key that it began, until the key is too
   old to be begun by anyone.
3. A holder begins a key only if no earlier holder can have begun it: it has
   the entries of all earlier terms (hand-overs with state back to the first
   term of the service), or the key is younger than the first term that it
   has entries of.

Fact 3 for a UUIDv7 key compares the time in the key with wall clocks. An
earlier holder accepted a key only if it was minted before the holder's wall
clock plus CLOCK_SKEW_S, and only before the new term began. So the new holder
needs `minted > start of term + CLOCK_SKEW_S + S`, where S bounds how far the
wall clock of the earlier holder was ahead of its own. The assumption is that
the wall clocks of any two daemons differ by at most CLOCK_SKEW_S at any
instant, so the new holder adds CLOCK_SKEW_S twice. The clocks of callers may
be wrong by any amount: a key carries its time with it, so a wrong clock only
leads to more refusals.

A pause between the check of a key and the run that follows is harmless: the
key was minted before the next term began, so no later holder begins it.

The outcome in a refusal is that of the attempt that is refused. Where the
detail speaks of earlier attempts with the same key, those may have run.
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
    """The part of PartitionLeases that idempotency uses."""

    def owned(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry while this daemon holds a valid lease on it."""

    def in_force(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry in force, whoever owns it."""

    def term_start_wall(
        self, service: ids.ServiceName, partition: int
    ) -> float | None:
        """Return the Unix time at which the own term was first held."""

    def hand_overs(self) -> list[partition_lease.HandOverPlan]:
        """Return the hand-overs whose state is to be sent."""


class IdempotencyAction(enum.Enum):
    """What to do with a request."""

    RUN = enum.auto()
    WAIT = enum.auto()
    DONE = enum.auto()


@dataclasses.dataclass(frozen=True, kw_only=True)
class IdempotencyVerdict:
    """Decision about a request with an idempotency key.

    Attributes:
        action: RUN: run it and call `finish` once. WAIT: `on_done` will be
            called. DONE: `result` is the answer.
        result: Only with DONE.
    """

    action: IdempotencyAction
    result: call.Result | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Knowledge:
    """How far the entries of a partition reach back.

    Attributes:
        term: The term that this was determined for.
        since_at: Monotonic time; None if back to the first term.
        since_wall: The same instant as Unix time.
    """

    term: ids.Term
    since_at: float | None
    since_wall: float


@dataclasses.dataclass(kw_only=True)
class _Staged:
    """State received for a term that may follow."""

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
    """Idempotency keys of the partitions that this daemon owns.

    Call `tick` every second.
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
        self._staged: dict[_PartitionKey, _Staged] = {}
        self._exports: dict[
            _PartitionKey, tuple[ids.Term, list[messages.HandOver]]
        ] = {}
        # Never goes back, so that an expired key stays expired.
        self._latest_wall = clock.wall()

    def begin(
        self,
        *,
        service: ids.ServiceName,
        workspace: ids.Workspace | None,
        key: str,
        request_sha256: str,
        on_done: typing.Callable[[call.Result], None],
    ) -> IdempotencyVerdict:
        """Decide about a request.

        Args:
            service: The called service.
            workspace: The caller; keys of different ones are unrelated.
            key: Idempotency key as the caller sent it.
            request_sha256: Hash of the request, to detect reuse of the key.
            on_done: Called from `finish` with the result, only after WAIT.
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
        self._latest_wall = max(self._latest_wall, self._clock.wall())
        self._table.expire(now)
        partition = placement.partition_of_key(key)
        knowledge = self._sync(service, partition)
        entry_key = (service, workspace, key)
        entry = self._table.get(entry_key)
        if entry is not None:
            return _repeat(entry, request_sha256, on_done)
        if knowledge is None:
            return _refuse(
                enums.RefusalReason.IDEMPOTENCY_OWNER_UNAVAILABLE,
                enums.Outcome.NOT_RUN,
                'this attempt was not run, because this daemon does not own '
                'the partition of the key; earlier attempts may have run',
                retry_after_s=1.0,
            )
        refusal = self._check_new(key, knowledge, now)
        if refusal is not None:
            return refusal
        if not self._table.has_room(entry_key):
            return _refuse(
                enums.RefusalReason.IDEMPOTENCY_TABLE_FULL,
                enums.Outcome.NOT_RUN,
                'no room for another idempotency key',
                retry_after_s=1.0,
            )
        self._add(entry_key, partition, request_sha256, first_seen_at=now)
        return IdempotencyVerdict(action=IdempotencyAction.RUN)

    def finish(
        self,
        *,
        service: ids.ServiceName,
        workspace: ids.Workspace | None,
        key: str,
        result: call.Result,
    ) -> None:
        """Note the end of a run, once for each RUN.

        A result that was not run frees the key. An unknown one stays
        unknown.
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
                self._clock.monotonic() + const.IDEMPOTENCY_ANSWER_KEPT_S
            )
            self._table.store_result(entry_key, result, drop_at=kept_until)
        for on_done in waiters:
            on_done(result)

    def running(self, service: ids.ServiceName, partition: int) -> int:
        """Return the number of running keys, for draining."""
        return sum(
            entry.state is idempotency_table.KeyState.RUNNING
            for _, entry in self._table.items(service, partition)
        )

    def export(
        self, service: ids.ServiceName, partition: int
    ) -> list[messages.HandOver]:
        """Return the state of a partition whose hand-over is planned.

        Keys that still run are exported as unknown. The result is the same
        for each call in one term, so that parts may be sent again. It is
        empty if no hand-over of the partition is planned.
        """
        plans = [
            plan
            for plan in self._leases.hand_overs()
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
        """Take one part of a hand-over; return whether it is complete.

        Parts are taken in order; the sender repeats what is missing. The
        state counts only once the log shows the transfer that follows the
        term of the hand-over.
        """
        key = (message.service, message.partition)
        staged = self._staged.get(key)
        if staged is not None and staged.term > message.term:
            return False
        if staged is None or (staged.term, staged.sender) != (
            message.term,
            message.sender,
        ):
            staged = _Staged(term=message.term, sender=message.sender)
            self._staged[key] = staged
        if message.part != staged.parts or staged.is_complete:
            return staged.is_complete
        now = self._clock.monotonic()
        if message.part == 0:
            staged.received_at = now
            staged.knowledge_age_s = message.knowledge_age_s
        staged.parts += 1
        staged.entries += message.entries
        staged.is_complete = message.last
        return staged.is_complete

    def tick(self) -> None:
        """Drop what is due and take over the state of new terms."""
        self._table.expire(self._clock.monotonic())
        self._latest_wall = max(self._latest_wall, self._clock.wall())
        for service, partition in list(self._staged):
            self._sync(service, partition)
            staged = self._staged.get((service, partition))
            entry = self._leases.in_force(service, partition)
            if staged is None or entry is None:
                continue
            if entry.term > staged.term + 1:
                del self._staged[service, partition]
        for key, (term, _) in list(self._exports.items()):
            entry = self._leases.in_force(*key)
            if entry is None or entry.term != term:
                del self._exports[key]

    def _sync(
        self, service: ids.ServiceName, partition: int
    ) -> _Knowledge | None:
        """Return the knowledge of a partition that is held."""
        entry = self._leases.owned(service, partition)
        return None if entry is None else self._know(entry)

    def _know(self, entry: records.PartitionEntry) -> _Knowledge:
        """Return the knowledge of an own term, determined once."""
        key = (entry.service, entry.partition)
        known = self._knowledge.get(key)
        if known is not None and known.term == entry.term:
            return known
        known = self._inherit(entry, known) or self._start(entry)
        self._knowledge[key] = known
        return known

    def _start(self, entry: records.PartitionEntry) -> _Knowledge:
        """Return the knowledge of a term that inherits nothing."""
        start_wall = self._leases.term_start_wall(
            entry.service, entry.partition
        )
        now = self._clock.monotonic()
        return _Knowledge(
            term=entry.term,
            since_at=None if entry.term == 1 else now,
            since_wall=self._clock.wall()
            if start_wall is None
            else start_wall,
        )

    def _inherit(
        self, entry: records.PartitionEntry, known: _Knowledge | None
    ) -> _Knowledge | None:
        """Return the knowledge that comes with a hand-over with state."""
        staged = self._staged.pop((entry.service, entry.partition), None)
        if entry.continuous_since == entry.term:
            return None
        if known is not None and known.term == entry.term - 1:
            return dataclasses.replace(known, term=entry.term)
        if staged is None or not staged.is_complete:
            return None
        if staged.term != entry.term - 1:
            return None
        if not self._adopt(entry, staged):
            return None
        now = self._clock.monotonic()
        wall = self._clock.wall()
        if staged.knowledge_age_s is None:
            return _Knowledge(term=entry.term, since_at=None, since_wall=wall)
        since_at = staged.received_at - staged.knowledge_age_s
        return _Knowledge(
            term=entry.term,
            since_at=since_at,
            since_wall=wall - (now - since_at),
        )

    def _adopt(self, entry: records.PartitionEntry, staged: _Staged) -> bool:
        """Add received entries; return whether all of them fit."""
        for received in staged.entries:
            key = (entry.service, received.workspace, received.key)
            if self._table.get(key) is not None:
                continue
            if not self._table.has_room(key):
                return False
            first_seen_at = staged.received_at - received.age_s
            added = self._add(
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
                    drop_at=first_seen_at + const.IDEMPOTENCY_ANSWER_KEPT_S,
                )
        return True

    def _check_new(
        self, key: str, knowledge: _Knowledge, now: float
    ) -> IdempotencyVerdict | None:
        """Return a refusal unless the key surely has not been begun."""
        minted = minted_unix_s(key)
        is_complete = knowledge.since_at is None
        if minted is None:
            if knowledge.since_at is None:
                return None
            if now - knowledge.since_at >= const.OPAQUE_KEY_LIFETIME_S:
                return None
            return _outcome_unknown(
                'the partition of the key changed its owner; a key that is '
                'a UUIDv7 of this moment can be run'
            )
        expires_wall = minted + const.IDEMPOTENCY_KEY_LIFETIME_S
        if expires_wall < self._latest_wall:
            return _outcome_unknown('the key has expired')
        known_from = knowledge.since_wall + 2 * const.CLOCK_SKEW_S
        if not is_complete and minted <= known_from:
            return _outcome_unknown(
                'the key is older than the present owner of its partition'
            )
        if minted > self._clock.wall() + const.CLOCK_SKEW_S:
            return _refuse(
                enums.RefusalReason.IDEMPOTENCY_KEY_FUTURE,
                enums.Outcome.NOT_RUN,
                'the time in the key is in the future',
            )
        return None

    def _add(
        self,
        key: idempotency_table.EntryKey,
        partition: int,
        request_sha256: str,
        *,
        first_seen_at: float,
    ) -> idempotency_table.Entry:
        lifetime_s = const.OPAQUE_KEY_LIFETIME_S
        if minted_unix_s(key[2]) is not None:
            # Longer than the key can be begun and its answer is kept.
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
        since_at = self._know(entry).since_at
        items = self._table.items(entry.service, entry.partition)
        chunks: list[list[messages.IdempotencyEntry]] = [[]]
        size = 0
        for key, kept in items:
            answer = kept.result
            if not isinstance(answer, call.Answer):
                answer = None
            cost = idempotency_table.key_bytes(key)
            if answer is not None:
                cost += idempotency_table.result_bytes(answer)
            if chunks[-1] and size + cost > const.HAND_OVER_PART_BYTES:
                chunks.append([])
                size = 0
            size += cost
            chunks[-1].append(
                messages.IdempotencyEntry(
                    workspace=key[1],
                    key=key[2],
                    request_sha256=kept.request_sha256,
                    result=answer,
                    age_s=now - kept.first_seen_at,
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


def minted_unix_s(key: str) -> float | None:
    """Return the Unix time in a UUIDv7 key, or None for an opaque key.

    The time is the first 48 bits, in milliseconds (RFC 9562, section 5.7).
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    # Other spellings that uuid.UUID takes are opaque keys.
    if str(parsed) != key.lower():
        return None
    if parsed.variant != uuid.RFC_4122 or parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000


def _repeat(
    entry: idempotency_table.Entry,
    request_sha256: str,
    on_done: typing.Callable[[call.Result], None],
) -> IdempotencyVerdict:
    """Decide about a request whose key is known."""
    if entry.request_sha256 != request_sha256:
        # True of this request: the key has never run with another one.
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
