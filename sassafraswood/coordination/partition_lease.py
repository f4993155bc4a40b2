"""Leases on partitions: who owns one, and which records to append.

No two daemons hold a partition at the same instant. The argument:

1. The fold gives each partition one term in force, with one owner. A record
   replaces a term only by naming it, and terms only grow, so a copy that the
   log appends late changes nothing. An owner's role belongs to its
   incarnation; a restarted daemon holds nothing.
2. Let a record that replaces term t take effect in the log at instant E. A
   read up to the tail that started after E shows it. A lease from a read
   (valid for LEASE_S from its start) therefore ends by E + LEASE_S.
3. Hand-over and release: the owner stops using term t before it sends the
   record, and never uses t again.
4. Claim by the guardian: it never promises again for a term once it has sent
   a claim that replaces it, whatever became of that claim. A promise counts
   from before the request for it was sent, so it ends by E + LEASE_S too.
   The owner asks only the guardian in force: it sends no requests from the
   moment it sends a ChangeGuardian until it has folded one, and a
   ChangeGuardian names the guardian version that it replaces.
5. Claim by anyone else: all leases of term t end at most
   MAX_LEASE_WITHOUT_LOG_S / (1 + MAX_CLOCK_RATE_DIFFERENCE) after a read of
   the log by the owner or the guardian that didn't show the claim, and that
   read started before E.
6. The new owner counts the wait from an instant after E (its acknowledgement,
   or its reading the record back). LEASE_MARGIN_S and the divisor above cover
   clock rates that differ by up to MAX_CLOCK_RATE_DIFFERENCE.
7. A claim waits at least as long as the claim that it replaces, so that 5
   also holds for the owner before the last. An owner hands over or changes
   its guardian only after its own term began.

An owner without guardian holds its lease for the time of 5 after its last
read, because only claims with the long wait are accepted then.

Assumptions: appends and reads of the log are linearizable; CLOCK_BOOTTIME of
any two VMs differs in rate by at most MAX_CLOCK_RATE_DIFFERENCE; an operator
reclaims only partitions whose owner and guardian are destroyed; what a caller
does after `owned` returned an entry (a pause may follow) is guarded by the
caller, see `idempotency` and the quota owner.
"""

import dataclasses
import math
import random as random_module
import typing

import msgspec

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import placement
from sassafraswood.coordination import ports
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.state import partitions


class PartitionView(typing.Protocol):
    """The part of Configuration that leases use."""

    def partition(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry in force."""


class MemberView(typing.Protocol):
    """The part of Membership that leases use."""

    @property
    def own(self) -> records.Member:
        """Return the entry of this daemon."""

    def members(
        self, service: ids.ServiceName | None = None
    ) -> list[records.Member]:
        """Return the known members of a service."""

    def get(self, daemon_id: ids.DaemonId) -> records.Member | None:
        """Return the newest known entry of a daemon."""

    def is_silent(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether this daemon no longer hears another."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOverPlan:
    """A hand-over whose state is to be sent to its target.

    Attributes:
        entry: The term that ends. It isn't used any more.
        started_at: Monotonic time of the decision in seconds.
    """

    entry: records.PartitionEntry
    target: records.Holder
    started_at: float


@dataclasses.dataclass(kw_only=True)
class _Slot:
    """What this daemon remembers about one partition during one term.

    `unresolved_claims` outlives a change of guardian, because a claim that
    the log appends late is accepted if its sender is guardian again.
    """

    term: int = -1
    version: int = -1
    # Since when the entry is known, and since when it has been lost.
    seen_at: float = 0.0
    lost_since: float | None = None
    # As owner.
    starts_at: float = math.inf
    start_wall: float | None = None
    promise_sent_at: float = -math.inf
    guardian_read_at: float = -math.inf
    granted_at: float = 0.0
    asked_at: float = -math.inf
    checked_at: float = -math.inf
    plan: HandOverPlan | None = None
    transfer: records.TransferPartition | None = None
    unresolved_changes: int = 0
    # As guardian.
    heard_at: float = 0.0
    unresolved_claims: int = 0
    appended_at: float = -math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Asked:
    """A guard request without an answer yet."""

    partition: int
    term: ids.Term
    guardian: records.Holder
    sent_at: float


class PartitionLeases:
    """Leases of the own service's partitions.

    Call `tick` every 0.2 s. All times are seconds of Clock.monotonic().
    `append` hands a record to the log client, which tries once and reports
    `note_appended`, or `note_append_failed` if the record surely was not
    appended, or nothing if the outcome is unknown. Lost answers lead to equal
    records later, which the fold rejects.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        outbox: ports.Outbox,
        own: records.Holder,
        configuration: PartitionView,
        membership: MemberView,
        append: typing.Callable[[records.Record], None],
    ) -> None:
        """Start without leases."""
        self._clock = clock
        self._outbox = outbox
        self._own = own
        self._configuration = configuration
        self._membership = membership
        self._append = append
        self._service = membership.own.service
        self._slots = [_Slot() for _ in range(const.PARTITIONS_PER_SERVICE)]
        self._acknowledged: dict[tuple[int, ids.Offset], float] = {}
        self._asked: dict[int, _Asked] = {}
        # Spreads the sequence numbers of incarnations apart.
        self._sequence = random.getrandbits(32)
        # By process: a daemon that returns after a planned stop is another
        # one, and as good as any.
        self._avoided: dict[records.Holder, float] = {}
        self._created_at = clock.monotonic()
        self._ticked_at = self._created_at
        self._moved_at = self._created_at
        self._log_read_at = -math.inf
        self._is_stopping = False

    @property
    def is_released(self) -> bool:
        """Return whether this daemon owns no term in force."""
        return not any(self._is_own(entry) for entry in self._entries())

    def note_log_read(self, started_at: float) -> None:
        """Note a read up to the tail, after all its records were folded."""
        self._log_read_at = max(self._log_read_at, started_at)
        self._sync_all()

    def note_appended(self, entry: records.PartitionEntry) -> None:
        """Note the acknowledgement of an append of this daemon.

        Args:
            entry: `partitions.proposed_entry` of the record and the offset
                that the log answered.
        """
        key = (entry.partition, entry.offset)
        self._acknowledged[key] = self._clock.monotonic()

    def note_append_failed(self, record: records.Record) -> None:
        """Note that a record surely was and will not be appended."""
        if isinstance(record, records.ClaimPartition):
            slot = self._slots[record.partition]
            if slot.term == record.replaces and slot.unresolved_claims:
                slot.unresolved_claims -= 1
        if isinstance(record, records.ChangeGuardian):
            slot = self._slots[record.partition]
            named = (record.term, record.replaces_version)
            if (slot.term, slot.version) == named and slot.unresolved_changes:
                slot.unresolved_changes -= 1

    def on_guard_request(
        self, message: messages.GuardRequest, sender: ids.DaemonId
    ) -> None:
        """Answer an owner that asks for a promise."""
        if not self._is_own_partition(message.service, message.partition):
            return
        now = self._clock.monotonic()
        entry = self._sync(message.partition)
        slot = self._slots[message.partition]
        is_guardian = (
            entry is not None
            and not entry.released
            and entry.term == message.term
            and entry.owner == message.owner
            and entry.owner.daemon_id == sender
            and entry.guardian == self._own
        )
        if is_guardian:
            slot.heard_at = now
        granted = is_guardian and slot.unresolved_claims == 0
        self._outbox.send(
            sender,
            messages.GuardPromise(
                sequence=message.sequence,
                service=message.service,
                partition=message.partition,
                term=message.term,
                granted=granted,
                log_read_age_s=now - self._log_read_at,
            ),
        )

    def on_guard_promise(
        self, message: messages.GuardPromise, sender: ids.DaemonId
    ) -> None:
        """Extend the lease by a guardian's promise."""
        asked = self._asked.pop(message.sequence, None)
        if asked is None or not message.granted:
            return
        if asked.guardian.daemon_id != sender:
            return
        if not self._is_own_partition(message.service, message.partition):
            return
        if (asked.partition, asked.term) != (message.partition, message.term):
            return
        self._sync(asked.partition)
        slot = self._slots[asked.partition]
        if slot.term != asked.term:
            return
        slot.promise_sent_at = max(slot.promise_sent_at, asked.sent_at)
        # Counted from before the request was sent, as the promise itself.
        read_at = asked.sent_at - max(0.0, message.log_read_age_s)
        slot.guardian_read_at = max(slot.guardian_read_at, read_at)
        slot.granted_at = self._clock.monotonic()

    def owned(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry while this daemon holds a valid lease on it."""
        if not self._is_own_partition(service, partition):
            return None
        entry = self._sync(partition)
        if entry is None or not self._is_own(entry):
            return None
        slot = self._slots[partition]
        if slot.plan is not None or slot.transfer is not None:
            return None
        now = self._clock.monotonic()
        if not slot.starts_at <= now < self._lease_end(entry, slot):
            return None
        if slot.start_wall is None:
            slot.start_wall = self._clock.wall()
        return entry

    def in_force(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry in force, whoever owns it."""
        return self._configuration.partition(service, partition)

    def term_start_wall(
        self, service: ids.ServiceName, partition: int
    ) -> float | None:
        """Return the Unix time at which the own term was first held.

        It is None unless this daemon has held the term in force.
        """
        if not self._is_own_partition(service, partition):
            return None
        entry = self._sync(partition)
        if entry is None or not self._is_own(entry):
            return None
        return self._slots[partition].start_wall

    def hand_overs(self) -> list[HandOverPlan]:
        """Return the hand-overs whose state is to be sent.

        For each one: wait a short time for running calls, send the export
        of the state, and call `finish_hand_over` once the target holds it.
        """
        return [slot.plan for slot in self._slots if slot.plan is not None]

    def release_all(self) -> list[HandOverPlan]:
        """Begin a planned stop; return the hand-overs to be done.

        Partitions that nobody can take are released at once. The stop is
        complete when `is_released` is true.
        """
        self._is_stopping = True
        now = self._clock.monotonic()
        for partition in range(const.PARTITIONS_PER_SERVICE):
            entry = self._sync(partition)
            if entry is None or not self._is_own(entry):
                continue
            slot = self._slots[partition]
            if slot.plan is None and slot.transfer is None:
                self._stop_term(entry, slot, now)
        return self.hand_overs()

    def finish_hand_over(
        self, service: ids.ServiceName, partition: int, *, with_state: bool
    ) -> None:
        """Append the transfer of a planned hand-over.

        Args:
            service: The own service.
            partition: Partition of the plan.
            with_state: Whether the target holds the whole state.
        """
        if not self._is_own_partition(service, partition):
            return
        slot = self._slots[partition]
        if slot.plan is None:
            return
        plan = slot.plan
        self._transfer(plan.entry, slot, plan.target, with_state=with_state)

    def tick(self) -> None:
        """Decide what to append and which promises to ask for."""
        now = self._clock.monotonic()
        if now - self._ticked_at > const.TICK_GAP_S:
            self._forgive_silence(now)
        self._ticked_at = now
        for partition in range(const.PARTITIONS_PER_SERVICE):
            entry = self._sync(partition)
            slot = self._slots[partition]
            if entry is None or entry.released:
                self._consider_free(partition, entry, slot, now)
            elif self._is_own(entry):
                self._act_as_owner(entry, slot, now)
            elif entry.guardian == self._own:
                self._act_as_guardian(entry, slot, now)
            else:
                self._consider_lost(entry, slot, now)
        self._balance(now)
        self._forget(now)

    # State of a partition.

    def _sync(self, partition: int) -> records.PartitionEntry | None:
        """Return the entry in force and bring the slot up to date."""
        entry = self._configuration.partition(self._service, partition)
        slot = self._slots[partition]
        term = 0 if entry is None else entry.term
        version = 0 if entry is None else entry.guardian_version
        if (slot.term, slot.version) == (term, version):
            return entry
        now = self._clock.monotonic()
        if slot.term != term:
            slot = _Slot(term=term)
            self._slots[partition] = slot
            if entry is not None and self._is_own(entry):
                slot.starts_at = self._start_of(entry, now)
        slot.version = version
        slot.seen_at = slot.granted_at = slot.heard_at = now
        slot.unresolved_changes = 0
        slot.appended_at = -math.inf
        return entry

    def _sync_all(self) -> None:
        for partition in range(const.PARTITIONS_PER_SERVICE):
            self._sync(partition)

    def _entries(self) -> list[records.PartitionEntry]:
        entries = [
            self._sync(partition)
            for partition in range(const.PARTITIONS_PER_SERVICE)
        ]
        return [e for e in entries if e is not None and not e.released]

    def _start_of(self, entry: records.PartitionEntry, now: float) -> float:
        """Return the start of an own term that is seen for the first time."""
        key = (entry.partition, entry.offset)
        return self._acknowledged.pop(key, now) + entry.wait_s

    def _lease_end(self, entry: records.PartitionEntry, slot: _Slot) -> float:
        without_log_s = const.MAX_LEASE_WITHOUT_LOG_S / (
            1 + const.MAX_CLOCK_RATE_DIFFERENCE
        )
        by_read = self._log_read_at + const.LEASE_S
        if entry.guardian is None and slot.unresolved_changes == 0:
            return max(by_read, self._log_read_at + without_log_s)
        last_read_at = max(self._log_read_at, slot.guardian_read_at)
        by_promise = min(
            slot.promise_sent_at + const.LEASE_S,
            last_read_at + without_log_s,
        )
        return max(by_read, by_promise)

    def _forgive_silence(self, now: float) -> None:
        """Don't count a pause of this process as silence of others."""
        for slot in self._slots:
            slot.heard_at = slot.granted_at = slot.seen_at = now
            slot.lost_since = None

    def _is_log_fresh(self, now: float) -> bool:
        return now - self._log_read_at <= const.LOG_FRESH_S

    def _is_own(self, entry: records.PartitionEntry) -> bool:
        return entry.owner == self._own and not entry.released

    def _is_own_partition(
        self, service: ids.ServiceName, partition: int
    ) -> bool:
        return (
            service == self._service
            and 0 <= partition < const.PARTITIONS_PER_SERVICE
        )

    # Other daemons.

    def _live_others(self, now: float) -> list[records.Member]:
        return [
            member
            for member in self._membership.members(self._service)
            if member.daemon_id != self._own.daemon_id
            and member.status is enums.MemberStatus.ACTIVE
            and not self._membership.is_silent(member.daemon_id)
            and self._avoided.get(_holder(member), -math.inf) <= now
        ]

    def _is_gone(self, holder: records.Holder, now: float) -> bool:
        """Return whether a holder surely no longer serves.

        A member is unknown also shortly after this process started, which
        says nothing about it.
        """
        member = self._membership.get(holder.daemon_id)
        if member is None:
            return now - self._created_at > const.MEMBER_FORGET_S
        if member.incarnation != holder.incarnation:
            return member.incarnation > holder.incarnation
        return member.status is enums.MemberStatus.LEFT

    def _is_leaving(self, holder: records.Holder) -> bool:
        member = self._membership.get(holder.daemon_id)
        return (
            member is not None
            and member.status is not enums.MemberStatus.ACTIVE
        )

    def _guardian_for(
        self,
        partition: int,
        owner: records.Member,
        now: float,
        *,
        without: records.Holder | None = None,
    ) -> records.Holder | None:
        """Return the best guardian for an owner among the live daemons."""
        candidates = self._live_others(now)
        if not self._is_stopping:
            candidates.append(self._membership.own)
        excluded = {owner.daemon_id}
        if without is not None:
            excluded.add(without.daemon_id)
        chosen = placement.choose_guardian(
            self._service,
            partition,
            owner.failure_domain,
            [c for c in candidates if c.daemon_id not in excluded],
        )
        return None if chosen is None else _holder(chosen)

    # Owner.

    def _act_as_owner(
        self, entry: records.PartitionEntry, slot: _Slot, now: float
    ) -> None:
        if slot.unresolved_changes == 0:
            # Also during a hand-over, so that the guardian doesn't claim.
            self._ask_guardian(entry, slot, now)
        if slot.transfer is not None:
            self._repeat_transfer(entry, slot, now)
            return
        if slot.plan is not None:
            if now - slot.plan.started_at > const.HAND_OVER_TIMEOUT_S:
                self._give_up_plan(entry, slot)
            return
        if self._is_stopping:
            self._stop_term(entry, slot, now)
            return
        if slot.starts_at <= now and self._is_log_fresh(now):
            self._consider_guardian(entry, slot, now)

    def _ask_guardian(
        self, entry: records.PartitionEntry, slot: _Slot, now: float
    ) -> None:
        if entry.guardian is None:
            return
        if now - slot.asked_at < const.GUARD_REQUEST_INTERVAL_S:
            return
        slot.asked_at = now
        self._sequence += 1
        self._asked[self._sequence] = _Asked(
            partition=entry.partition,
            term=entry.term,
            guardian=entry.guardian,
            sent_at=now,
        )
        self._outbox.send(
            entry.guardian.daemon_id,
            messages.GuardRequest(
                sequence=self._sequence,
                service=self._service,
                partition=entry.partition,
                term=entry.term,
                owner=self._own,
            ),
        )

    def _consider_guardian(
        self, entry: records.PartitionEntry, slot: _Slot, now: float
    ) -> None:
        """Append a better guardian, or the fact that the term has begun."""
        if now - slot.checked_at < const.GUARD_REQUEST_INTERVAL_S:
            return
        slot.checked_at = now
        if now - slot.appended_at < const.APPEND_RETRY_S:
            return
        current = entry.guardian
        is_lost = current is not None and (
            self._is_gone(current, now)
            or self._is_leaving(current)
            or now - slot.granted_at > const.GUARDIAN_SILENT_S
        )
        if is_lost and current is not None:
            until = now + const.GUARDIAN_AVOID_S
            self._avoided[current] = until
        best = self._guardian_for(entry.partition, self._membership.own, now)
        if current is not None and not is_lost:
            if not self._is_better(best, current):
                best = current
        has_long_wait = entry.wait_s > partitions.SHORT_WAIT_S
        if best == current and not has_long_wait:
            return
        slot.unresolved_changes += 1
        slot.appended_at = now
        self._append(
            records.ChangeGuardian(
                service=self._service,
                partition=entry.partition,
                term=entry.term,
                sender=self._own,
                guardian=best,
                replaces_version=entry.guardian_version,
            )
        )

    def _is_better(
        self, best: records.Holder | None, current: records.Holder
    ) -> bool:
        """Return whether only the best one is in another failure domain."""
        if best is None:
            return False
        own_domain = self._membership.own.failure_domain
        chosen = self._membership.get(best.daemon_id)
        present = self._membership.get(current.daemon_id)
        return (
            chosen is not None
            and present is not None
            and present.failure_domain == own_domain
            and chosen.failure_domain != own_domain
        )

    # Guardian.

    def _act_as_guardian(
        self, entry: records.PartitionEntry, slot: _Slot, now: float
    ) -> None:
        is_silent = now - slot.heard_at >= const.OWNER_SILENT_S
        if not is_silent and not self._is_gone(entry.owner, now):
            return
        # Without the log the claim can't take effect, and the promises that
        # it ends are the only lease that the owner can have.
        if self._is_stopping or not self._is_log_fresh(now):
            return
        self._claim(entry.partition, entry, slot, now, without=entry.owner)

    # Claims.

    def _consider_free(
        self,
        partition: int,
        entry: records.PartitionEntry | None,
        slot: _Slot,
        now: float,
    ) -> None:
        if self._is_stopping or not self._is_log_fresh(now):
            return
        delay_s = const.FREE_CLAIM_DELAY_S + self._rank_delay_s(partition, now)
        if now - max(slot.seen_at, self._created_at) < delay_s:
            return
        self._claim(partition, entry, slot, now)

    def _consider_lost(
        self, entry: records.PartitionEntry, slot: _Slot, now: float
    ) -> None:
        is_lost = self._is_gone(entry.owner, now) and (
            entry.guardian is None or self._is_gone(entry.guardian, now)
        )
        if not is_lost:
            slot.lost_since = None
            return
        if slot.lost_since is None:
            slot.lost_since = now
        if self._is_stopping or not self._is_log_fresh(now):
            return
        rank_s = self._rank_delay_s(entry.partition, now)
        if now - slot.lost_since < const.LOST_CLAIM_DELAY_S + rank_s:
            return
        self._claim(entry.partition, entry, slot, now, without=entry.owner)

    def _rank_delay_s(self, partition: int, now: float) -> float:
        members = [*self._live_others(now), self._membership.own]
        order = placement.claim_order(self._service, partition, members)
        rank = [member.daemon_id for member in order].index(
            self._own.daemon_id
        )
        return rank * const.CLAIM_RANK_DELAY_S

    def _claim(
        self,
        partition: int,
        entry: records.PartitionEntry | None,
        slot: _Slot,
        now: float,
        *,
        without: records.Holder | None = None,
    ) -> None:
        if now - slot.appended_at < const.APPEND_RETRY_S:
            return
        slot.appended_at = now
        slot.unresolved_claims += 1
        record = records.ClaimPartition(
            service=self._service,
            partition=partition,
            replaces=ids.Term(0) if entry is None else entry.term,
            owner=self._own,
            guardian=self._guardian_for(
                partition, self._membership.own, now, without=without
            ),
            wait_s=0.0,
        )
        self._append(
            msgspec.structs.replace(
                record, wait_s=partitions.required_wait_s(entry, record)
            )
        )

    # Hand-over.

    def _balance(self, now: float) -> None:
        """Hand one partition to a live daemon that owns none."""
        if self._is_stopping or not self._is_log_fresh(now):
            return
        if now - self._moved_at < const.BALANCE_INTERVAL_S:
            return
        held = [
            entry
            for entry in self._entries()
            if self.owned(self._service, entry.partition) is not None
        ]
        if len(held) < 2:
            return
        owners = {entry.owner.daemon_id for entry in self._entries()}
        idle = [m for m in self._live_others(now) if m.daemon_id not in owners]
        if not idle:
            return
        entry, target = min(
            ((entry, member) for entry in held for member in idle),
            key=lambda pair: (
                pair[1].failure_domain == self._membership.own.failure_domain,
                -placement.score(
                    self._service, pair[0].partition, pair[1].daemon_id
                ),
            ),
        )
        self._moved_at = now
        self._slots[entry.partition].plan = HandOverPlan(
            entry=entry, target=_holder(target), started_at=now
        )

    def _stop_term(
        self, entry: records.PartitionEntry, slot: _Slot, now: float
    ) -> None:
        """Plan the hand-over of an own term in a planned stop.

        A term that has not begun is left to its guardian: an owner before
        it may still hold a lease.
        """
        if now < slot.starts_at:
            return
        target = self._successor(entry, now)
        if target is None:
            self._release(entry, slot)
            return
        slot.plan = HandOverPlan(entry=entry, target=target, started_at=now)

    def _successor(
        self, entry: records.PartitionEntry, now: float
    ) -> records.Holder | None:
        """Return who takes over a partition, those who own least first."""
        owners = [e.owner.daemon_id for e in self._entries()]
        owners += [
            plan.target.daemon_id
            for plan in self.hand_overs()
            if plan.entry.partition != entry.partition
        ]
        chosen = min(
            self._live_others(now),
            key=lambda member: (
                owners.count(member.daemon_id),
                -placement.score(
                    self._service, entry.partition, member.daemon_id
                ),
            ),
            default=None,
        )
        return None if chosen is None else _holder(chosen)

    def _give_up_plan(
        self, entry: records.PartitionEntry, slot: _Slot
    ) -> None:
        """End a hand-over whose target did not confirm the state.

        The term is not resumed, because the target may hold an export of it
        that later keys would be missing from. While the daemon stays, it
        takes a new term itself and keeps the state.
        """
        if slot.plan is None:
            return
        if self._is_stopping:
            self._transfer(entry, slot, slot.plan.target, with_state=False)
            return
        until = self._clock.monotonic() + const.GUARDIAN_AVOID_S
        self._avoided[slot.plan.target] = until
        self._transfer(entry, slot, self._own, with_state=True)

    def _repeat_transfer(
        self, entry: records.PartitionEntry, slot: _Slot, now: float
    ) -> None:
        if slot.transfer is None or not self._is_log_fresh(now):
            return
        if now - slot.appended_at < const.APPEND_RETRY_S:
            return
        target = slot.transfer.owner
        if target != self._own and self._is_gone(target, now):
            successor = self._successor(entry, now)
            if not self._is_stopping:
                self._transfer(entry, slot, self._own, with_state=True)
            elif successor is not None:
                self._transfer(entry, slot, successor, with_state=False)
            else:
                self._release(entry, slot)
            return
        slot.appended_at = now
        self._append(slot.transfer)

    def _release(self, entry: records.PartitionEntry, slot: _Slot) -> None:
        self._transfer(entry, slot, self._own, with_state=False, release=True)

    def _transfer(
        self,
        entry: records.PartitionEntry,
        slot: _Slot,
        target: records.Holder,
        *,
        with_state: bool,
        release: bool = False,
    ) -> None:
        """Append a transfer; the term isn't used from here on."""
        now = self._clock.monotonic()
        member = self._membership.get(target.daemon_id)
        guardian = None
        if member is not None and not release:
            guardian = self._guardian_for(entry.partition, member, now)
        slot.plan = None
        slot.appended_at = now
        slot.transfer = records.TransferPartition(
            service=self._service,
            partition=entry.partition,
            replaces=entry.term,
            sender=self._own,
            owner=target,
            guardian=guardian,
            with_state=with_state,
            release=release,
        )
        self._append(slot.transfer)

    def _forget(self, now: float) -> None:
        """Drop what can no longer matter."""
        self._asked = {
            sequence: asked
            for sequence, asked in self._asked.items()
            if now - asked.sent_at < const.LEASE_S
        }
        # An acknowledged record is read back long before.
        self._acknowledged = {
            key: at
            for key, at in self._acknowledged.items()
            if now - at < const.MAX_LEASE_WITHOUT_LOG_S
        }


def _holder(member: records.Member) -> records.Holder:
    return records.Holder(
        daemon_id=member.daemon_id, incarnation=member.incarnation
    )
