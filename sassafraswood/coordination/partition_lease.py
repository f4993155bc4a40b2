"""Leases on partitions: who owns each one, and which records to append.

No two daemons hold a partition at the same instant, because:

1. The applied log gives each partition one term in force, with one owner. A
   record replaces a term only by naming it, and terms only grow, so a copy
   that the log appends late changes nothing. Ownership belongs to an
   incarnation; a restarted daemon holds nothing.
2. Let a record that replaces term t take effect in the log at instant E. A
   read up to the tail that started after E shows it. A lease from a read
   (valid for LEASE_S from its start) therefore ends by E + LEASE_S.
3. Hand-over and release: the owner stops using term t before it sends the
   record, and never uses t again.
4. Claim by the guardian: once it has sent a claim that replaces a term, it
   makes no promise for that term unless the claim surely was not appended. A
   promise counts from before the request for it was sent, so it ends by
   E + LEASE_S too. The owner sends requests only to the guardian in force: it
   sends none from the moment it sends a ChangeGuardian until it has applied
   one, and a ChangeGuardian names the guardian version that it replaces.
5. Claim by anyone else: all leases of term t end at most
   MAX_LEASE_WITHOUT_LOG_S / (1 + MAX_CLOCK_RATE_DIFFERENCE) after a read of
   the log by the owner or the guardian that didn't show the claim, and that
   read started before E.
6. The new owner counts the wait from an instant after E: the acknowledgement
   of its append, or the time at which it reads the record back. LEASE_MARGIN_S
   and the divisor above cover clock rates that differ by up to
   MAX_CLOCK_RATE_DIFFERENCE.
7. A claim waits at least as long as the claim that it replaces, so that 5
   also holds for the owner before the last. An owner hands over or changes
   its guardian only after its own term began.

An owner without a guardian holds its lease after its last read for as long as
5 allows, because only claims with the long wait are accepted then.

Assumptions: appends and reads of the log are linearizable; CLOCK_BOOTTIME of
any two VMs differs in rate by at most MAX_CLOCK_RATE_DIFFERENCE; an operator
reclaims only partitions whose owner and guardian are destroyed; a process may
pause after `owned` returned an entry, so the users of `owned` guard what they
do next themselves (`idempotency` and the quota owner).
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
        """Return whether messages of a peer no longer arrive."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOverPlan:
    """A hand-over whose state has to be sent to its target.

    Attributes:
        entry: The term that ends. This daemon no longer uses it.
        target: The next owner.
        started_at: Monotonic time of the decision in seconds.
    """

    entry: records.PartitionEntry
    target: records.Holder
    started_at: float


@dataclasses.dataclass(kw_only=True)
class _PartitionState:
    """State that this daemon keeps for one partition during one term.

    All times are seconds of Clock.monotonic(), except `start_unix_s`.
    `unresolved_claims` is kept when the guardian changes, because a claim that
    the log appends late is accepted if its sender is the guardian again.
    """

    term: int = -1
    version: int = -1
    # When the entry was first seen, and since when its owner is lost.
    seen_at: float = 0.0
    owner_lost_since: float | None = None
    # Used while this daemon is the owner.
    starts_at: float = math.inf
    start_unix_s: float | None = None
    promise_sent_at: float = -math.inf
    guardian_read_at: float = -math.inf
    granted_at: float = 0.0
    request_sent_at: float = -math.inf
    guardian_checked_at: float = -math.inf
    plan: HandOverPlan | None = None
    transfer: records.TransferPartition | None = None
    unresolved_changes: int = 0
    # Used while this daemon is the guardian.
    owner_heard_at: float = 0.0
    unresolved_claims: int = 0
    # Time of the last append, as owner or claimant.
    appended_at: float = -math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PendingGuardRequest:
    """A guard request that has not been answered yet."""

    partition: int
    term: ids.Term
    guardian: records.Holder
    sent_at: float


class PartitionLeases:
    """Leases of the own service's partitions.

    `tick` has to be called every 0.2 s. All times are seconds of
    Clock.monotonic(), unless a name says otherwise.
    `append` passes a record to the log client, which tries once. It then calls
    `note_appended`, or `note_append_failed` if the record surely was not
    appended, or neither if the outcome is unknown. After a lost
    acknowledgement an equal record is appended later, which the configuration
    rejects.
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
        """Initialize without leases."""
        self._clock = clock
        self._outbox = outbox
        self._own = own
        self._configuration = configuration
        self._membership = membership
        self._append = append
        self._service = membership.own.service
        self._states = [
            _PartitionState() for _ in range(const.PARTITIONS_PER_SERVICE)
        ]
        self._acknowledged_at: dict[tuple[int, ids.Offset], float] = {}
        self._pending_requests: dict[int, _PendingGuardRequest] = {}
        # A random start keeps the sequence numbers of incarnations distinct.
        self._sequence = random.getrandbits(32)
        # Keyed by incarnation, so that a daemon restarted after a planned stop
        # is not avoided.
        self._avoided_until: dict[records.Holder, float] = {}
        self._created_at = clock.monotonic()
        self._ticked_at = self._created_at
        self._balanced_at = self._created_at
        self._log_read_at = -math.inf
        self._is_stopping = False

    @property
    def is_released(self) -> bool:
        """Return whether this daemon owns no term in force."""
        return not any(self._is_own(entry) for entry in self._list_entries())

    def note_log_read(self, started_at: float) -> None:
        """Record a read up to the tail, once all its records are applied.

        Args:
            started_at: Monotonic time in seconds at which the read started.
        """
        self._log_read_at = max(self._log_read_at, started_at)
        self._sync_all()

    def note_appended(self, entry: records.PartitionEntry) -> None:
        """Record the acknowledgement of an append by this daemon.

        Args:
            entry: `partitions.proposed_entry` of the record and the offset
                that the log returned.
        """
        key = (entry.partition, entry.offset)
        self._acknowledged_at[key] = self._clock.monotonic()

    def note_append_failed(self, record: records.Record) -> None:
        """Record that a record was not, and will not be, appended."""
        if isinstance(record, records.ClaimPartition):
            state = self._states[record.partition]
            if state.term == record.replaces and state.unresolved_claims:
                state.unresolved_claims -= 1
        if isinstance(record, records.ChangeGuardian):
            state = self._states[record.partition]
            key = (record.term, record.replaces_version)
            if (state.term, state.version) == key and state.unresolved_changes:
                state.unresolved_changes -= 1

    def on_guard_request(
        self, message: messages.GuardRequest, sender: ids.DaemonId
    ) -> None:
        """Reply to an owner that requests a promise."""
        if not self._is_own_partition(message.service, message.partition):
            return
        now = self._clock.monotonic()
        entry = self._sync_partition(message.partition)
        state = self._states[message.partition]
        is_guardian = (
            entry is not None
            and not entry.released
            and entry.term == message.term
            and entry.owner == message.owner
            and entry.owner.daemon_id == sender
            and entry.guardian == self._own
        )
        if is_guardian:
            state.owner_heard_at = now
        granted = is_guardian and state.unresolved_claims == 0
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
        request = self._pending_requests.pop(message.sequence, None)
        if request is None or not message.granted:
            return
        if request.guardian.daemon_id != sender:
            return
        if not self._is_own_partition(message.service, message.partition):
            return
        if (request.partition, request.term) != (
            message.partition,
            message.term,
        ):
            return
        self._sync_partition(request.partition)
        state = self._states[request.partition]
        if state.term != request.term:
            return
        state.promise_sent_at = max(state.promise_sent_at, request.sent_at)
        # Counted from before the request was sent, like the promise itself.
        read_at = request.sent_at - max(0.0, message.log_read_age_s)
        state.guardian_read_at = max(state.guardian_read_at, read_at)
        state.granted_at = self._clock.monotonic()

    def owned(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry while this daemon holds a valid lease on it."""
        if not self._is_own_partition(service, partition):
            return None
        entry = self._sync_partition(partition)
        if entry is None or not self._is_own(entry):
            return None
        state = self._states[partition]
        if state.plan is not None or state.transfer is not None:
            return None
        now = self._clock.monotonic()
        if not state.starts_at <= now < self._find_lease_end(entry, state):
            return None
        if state.start_unix_s is None:
            state.start_unix_s = self._clock.wall()
        return entry

    def in_force(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry in force, whoever owns it."""
        return self._configuration.partition(service, partition)

    def term_start_unix_s(
        self, service: ids.ServiceName, partition: int
    ) -> float | None:
        """Return the Unix time at which the own term was first held.

        It is None unless this daemon has held the term in force.
        """
        if not self._is_own_partition(service, partition):
            return None
        entry = self._sync_partition(partition)
        if entry is None or not self._is_own(entry):
            return None
        return self._states[partition].start_unix_s

    def planned_hand_overs(self) -> list[HandOverPlan]:
        """Return the hand-overs whose state has to be sent.

        For each one, the user of this class waits a short time for running
        calls, sends the exported state, and calls `finish_hand_over` once the
        target confirms the state.
        """
        return [state.plan for state in self._states if state.plan is not None]

    def release_all(self) -> list[HandOverPlan]:
        """Begin a planned stop; return the hand-overs to perform.

        Partitions that no other daemon can take over are released at once.
        The stop is complete when `is_released` is true.
        """
        self._is_stopping = True
        now = self._clock.monotonic()
        for partition in range(const.PARTITIONS_PER_SERVICE):
            entry = self._sync_partition(partition)
            if entry is None or not self._is_own(entry):
                continue
            state = self._states[partition]
            if state.plan is None and state.transfer is None:
                self._plan_stop(entry, state, now)
        return self.planned_hand_overs()

    def finish_hand_over(
        self, service: ids.ServiceName, partition: int, *, with_state: bool
    ) -> None:
        """Append the transfer of a planned hand-over.

        Args:
            service: The own service.
            partition: Partition of the plan.
            with_state: Whether the target confirmed the whole state.
        """
        if not self._is_own_partition(service, partition):
            return
        state = self._states[partition]
        if state.plan is None:
            return
        plan = state.plan
        self._append_transfer(
            plan.entry, state, plan.target, with_state=with_state
        )

    def tick(self) -> None:
        """Append records and request promises that are due."""
        now = self._clock.monotonic()
        if now - self._ticked_at > const.LEASE_MAX_TICK_GAP_S:
            self._restart_silence_timers(now)
        self._ticked_at = now
        for partition in range(const.PARTITIONS_PER_SERVICE):
            entry = self._sync_partition(partition)
            state = self._states[partition]
            if entry is None or entry.released:
                self._claim_if_free(partition, entry, state, now)
            elif self._is_own(entry):
                self._act_as_owner(entry, state, now)
            elif entry.guardian == self._own:
                self._act_as_guardian(entry, state, now)
            else:
                self._claim_if_lost(entry, state, now)
        self._balance(now)
        self._remove_expired(now)

    # State and leases of partitions.

    def _sync_partition(self, partition: int) -> records.PartitionEntry | None:
        """Return the entry in force and update the state to match it."""
        entry = self._configuration.partition(self._service, partition)
        state = self._states[partition]
        term = 0 if entry is None else entry.term
        version = 0 if entry is None else entry.guardian_version
        if (state.term, state.version) == (term, version):
            return entry
        now = self._clock.monotonic()
        if state.term != term:
            state = _PartitionState(term=term)
            self._states[partition] = state
            if entry is not None and self._is_own(entry):
                state.starts_at = self._find_term_start(entry, now)
        state.version = version
        state.seen_at = state.granted_at = state.owner_heard_at = now
        state.unresolved_changes = 0
        state.appended_at = -math.inf
        return entry

    def _sync_all(self) -> None:
        for partition in range(const.PARTITIONS_PER_SERVICE):
            self._sync_partition(partition)

    def _list_entries(self) -> list[records.PartitionEntry]:
        entries = [
            self._sync_partition(partition)
            for partition in range(const.PARTITIONS_PER_SERVICE)
        ]
        return [e for e in entries if e is not None and not e.released]

    def _find_term_start(
        self, entry: records.PartitionEntry, now: float
    ) -> float:
        """Return when a newly seen term of this daemon may be used."""
        key = (entry.partition, entry.offset)
        return self._acknowledged_at.pop(key, now) + entry.wait_s

    def _find_lease_end(
        self, entry: records.PartitionEntry, state: _PartitionState
    ) -> float:
        without_log_s = const.MAX_LEASE_WITHOUT_LOG_S / (
            1 + const.MAX_CLOCK_RATE_DIFFERENCE
        )
        end_by_read = self._log_read_at + const.LEASE_S
        if entry.guardian is None and state.unresolved_changes == 0:
            return max(end_by_read, self._log_read_at + without_log_s)
        last_read_at = max(self._log_read_at, state.guardian_read_at)
        end_by_promise = min(
            state.promise_sent_at + const.LEASE_S,
            last_read_at + without_log_s,
        )
        return max(end_by_read, end_by_promise)

    def _restart_silence_timers(self, now: float) -> None:
        """Keep a pause of this process from counting as silence of peers."""
        for state in self._states:
            state.owner_heard_at = state.granted_at = state.seen_at = now
            state.owner_lost_since = None

    def _is_log_fresh(self, now: float) -> bool:
        return now - self._log_read_at <= const.MAX_LOG_READ_AGE_S

    def _is_own(self, entry: records.PartitionEntry) -> bool:
        return entry.owner == self._own and not entry.released

    def _is_own_partition(
        self, service: ids.ServiceName, partition: int
    ) -> bool:
        return (
            service == self._service
            and 0 <= partition < const.PARTITIONS_PER_SERVICE
        )

    # Peers.

    def _list_live_peers(self, now: float) -> list[records.Member]:
        return [
            member
            for member in self._membership.members(self._service)
            if member.daemon_id != self._own.daemon_id
            and member.status is enums.MemberStatus.ACTIVE
            and not self._membership.is_silent(member.daemon_id)
            and self._avoided_until.get(_make_holder(member), -math.inf) <= now
        ]

    def _is_gone(self, holder: records.Holder, now: float) -> bool:
        """Return whether a holder restarted, left or is no longer known.

        Shortly after this process started, members may be unknown only
        because the membership is still incomplete.
        """
        member = self._membership.get(holder.daemon_id)
        if member is None:
            return now - self._created_at > const.MEMBER_RETENTION_S
        if member.incarnation != holder.incarnation:
            return member.incarnation > holder.incarnation
        return member.status is enums.MemberStatus.LEFT

    def _is_leaving(self, holder: records.Holder) -> bool:
        member = self._membership.get(holder.daemon_id)
        return (
            member is not None
            and member.status is not enums.MemberStatus.ACTIVE
        )

    def _choose_guardian(
        self,
        partition: int,
        owner: records.Member,
        now: float,
        *,
        without: records.Holder | None = None,
    ) -> records.Holder | None:
        """Return the best guardian for an owner, or None if there is none.

        Args:
            partition: The partition to guard.
            owner: Owner of the partition; never its own guardian.
            now: Monotonic time in seconds.
            without: Another holder to exclude.
        """
        candidates = self._list_live_peers(now)
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
        return None if chosen is None else _make_holder(chosen)

    # Actions as owner.

    def _act_as_owner(
        self, entry: records.PartitionEntry, state: _PartitionState, now: float
    ) -> None:
        if state.unresolved_changes == 0:
            # A hand-over needs requests too, or the guardian would claim.
            self._request_promise(entry, state, now)
        if state.transfer is not None:
            self._retry_transfer(entry, state, now)
            return
        if state.plan is not None:
            if now - state.plan.started_at > const.HAND_OVER_TIMEOUT_S:
                self._abort_hand_over(entry, state)
            return
        if self._is_stopping:
            self._plan_stop(entry, state, now)
            return
        if state.starts_at <= now and self._is_log_fresh(now):
            self._update_guardian(entry, state, now)

    def _request_promise(
        self, entry: records.PartitionEntry, state: _PartitionState, now: float
    ) -> None:
        if entry.guardian is None:
            return
        if now - state.request_sent_at < const.GUARD_REQUEST_INTERVAL_S:
            return
        state.request_sent_at = now
        self._sequence += 1
        self._pending_requests[self._sequence] = _PendingGuardRequest(
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

    def _update_guardian(
        self, entry: records.PartitionEntry, state: _PartitionState, now: float
    ) -> None:
        """Append a ChangeGuardian if a change is due.

        It names a better guardian, or replaces an entry with a long wait now
        that the term has begun.
        """
        if now - state.guardian_checked_at < const.GUARD_REQUEST_INTERVAL_S:
            return
        state.guardian_checked_at = now
        if now - state.appended_at < const.APPEND_RETRY_S:
            return
        current = entry.guardian
        is_lost = current is not None and (
            self._is_gone(current, now)
            or self._is_leaving(current)
            or now - state.granted_at > const.GUARDIAN_TIMEOUT_S
        )
        if is_lost and current is not None:
            until = now + const.GUARDIAN_EXCLUSION_S
            self._avoided_until[current] = until
        best = self._choose_guardian(
            entry.partition, self._membership.own, now
        )
        if current is not None and not is_lost:
            if not self._improves_domain_spread(best, current):
                best = current
        has_long_wait = entry.wait_s > partitions.SHORT_WAIT_S
        if best == current and not has_long_wait:
            return
        state.unresolved_changes += 1
        state.appended_at = now
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

    def _improves_domain_spread(
        self, best: records.Holder | None, current: records.Holder
    ) -> bool:
        """Return whether a new guardian improves the spread over domains.

        That is the case if it is in another failure domain than this daemon
        and the current guardian is not.
        """
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

    # Actions as guardian.

    def _act_as_guardian(
        self, entry: records.PartitionEntry, state: _PartitionState, now: float
    ) -> None:
        is_silent = now - state.owner_heard_at >= const.OWNER_TIMEOUT_S
        if not is_silent and not self._is_gone(entry.owner, now):
            return
        # While the log is unavailable a claim cannot take effect, but it ends
        # the promises, which are then the only lease of the owner.
        if self._is_stopping or not self._is_log_fresh(now):
            return
        self._append_claim(
            entry.partition, entry, state, now, without=entry.owner
        )

    # Claims.

    def _claim_if_free(
        self,
        partition: int,
        entry: records.PartitionEntry | None,
        state: _PartitionState,
        now: float,
    ) -> None:
        if self._is_stopping or not self._is_log_fresh(now):
            return
        delay_s = const.FREE_CLAIM_DELAY_S + self._rank_delay_s(partition, now)
        if now - max(state.seen_at, self._created_at) < delay_s:
            return
        self._append_claim(partition, entry, state, now)

    def _claim_if_lost(
        self, entry: records.PartitionEntry, state: _PartitionState, now: float
    ) -> None:
        is_lost = self._is_gone(entry.owner, now) and (
            entry.guardian is None or self._is_gone(entry.guardian, now)
        )
        if not is_lost:
            state.owner_lost_since = None
            return
        if state.owner_lost_since is None:
            state.owner_lost_since = now
        if self._is_stopping or not self._is_log_fresh(now):
            return
        rank_s = self._rank_delay_s(entry.partition, now)
        if (
            now - state.owner_lost_since
            < const.LOST_HOLDERS_CLAIM_DELAY_S + rank_s
        ):
            return
        self._append_claim(
            entry.partition, entry, state, now, without=entry.owner
        )

    def _rank_delay_s(self, partition: int, now: float) -> float:
        members = [*self._list_live_peers(now), self._membership.own]
        order = placement.rank_claimants(self._service, partition, members)
        rank = [member.daemon_id for member in order].index(
            self._own.daemon_id
        )
        return rank * const.CLAIM_RANK_DELAY_S

    def _append_claim(
        self,
        partition: int,
        entry: records.PartitionEntry | None,
        state: _PartitionState,
        now: float,
        *,
        without: records.Holder | None = None,
    ) -> None:
        if now - state.appended_at < const.APPEND_RETRY_S:
            return
        state.appended_at = now
        state.unresolved_claims += 1
        record = records.ClaimPartition(
            service=self._service,
            partition=partition,
            replaces=ids.Term(0) if entry is None else entry.term,
            owner=self._own,
            guardian=self._choose_guardian(
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
        """Plan the hand-over of one partition to a peer that owns none."""
        if self._is_stopping or not self._is_log_fresh(now):
            return
        if now - self._balanced_at < const.BALANCE_INTERVAL_S:
            return
        held = [
            entry
            for entry in self._list_entries()
            if self.owned(self._service, entry.partition) is not None
        ]
        if len(held) < 2:
            return
        owners = {entry.owner.daemon_id for entry in self._list_entries()}
        idle = [
            m for m in self._list_live_peers(now) if m.daemon_id not in owners
        ]
        if not idle:
            return
        entry, target = min(
            ((entry, member) for entry in held for member in idle),
            key=lambda pair: (
                pair[1].failure_domain == self._membership.own.failure_domain,
                -placement.compute_weight(
                    self._service, pair[0].partition, pair[1].daemon_id
                ),
            ),
        )
        self._balanced_at = now
        self._states[entry.partition].plan = HandOverPlan(
            entry=entry, target=_make_holder(target), started_at=now
        )

    def _plan_stop(
        self, entry: records.PartitionEntry, state: _PartitionState, now: float
    ) -> None:
        """Plan the hand-over or release of an own term in a planned stop.

        A term that has not begun is left to its guardian, because the
        previous owner may still hold a lease.
        """
        if now < state.starts_at:
            return
        target = self._choose_successor(entry, now)
        if target is None:
            self._append_release(entry, state)
            return
        state.plan = HandOverPlan(entry=entry, target=target, started_at=now)

    def _choose_successor(
        self, entry: records.PartitionEntry, now: float
    ) -> records.Holder | None:
        """Return the live peer that owns the fewest partitions, or None."""
        owners = [e.owner.daemon_id for e in self._list_entries()]
        owners += [
            plan.target.daemon_id
            for plan in self.planned_hand_overs()
            if plan.entry.partition != entry.partition
        ]
        chosen = min(
            self._list_live_peers(now),
            key=lambda member: (
                owners.count(member.daemon_id),
                -placement.compute_weight(
                    self._service, entry.partition, member.daemon_id
                ),
            ),
            default=None,
        )
        return None if chosen is None else _make_holder(chosen)

    def _abort_hand_over(
        self, entry: records.PartitionEntry, state: _PartitionState
    ) -> None:
        """End a hand-over whose target did not confirm the state.

        The term is not resumed, because the target may hold an export that
        would lack later keys. Unless this daemon is stopping, it transfers
        the partition to itself in a new term and keeps the state.
        """
        if state.plan is None:
            return
        if self._is_stopping:
            self._append_transfer(
                entry, state, state.plan.target, with_state=False
            )
            return
        until = self._clock.monotonic() + const.GUARDIAN_EXCLUSION_S
        self._avoided_until[state.plan.target] = until
        self._append_transfer(entry, state, self._own, with_state=True)

    def _retry_transfer(
        self, entry: records.PartitionEntry, state: _PartitionState, now: float
    ) -> None:
        if state.transfer is None or not self._is_log_fresh(now):
            return
        if now - state.appended_at < const.APPEND_RETRY_S:
            return
        target = state.transfer.owner
        if target != self._own and self._is_gone(target, now):
            successor = self._choose_successor(entry, now)
            if not self._is_stopping:
                self._append_transfer(entry, state, self._own, with_state=True)
            elif successor is not None:
                self._append_transfer(
                    entry, state, successor, with_state=False
                )
            else:
                self._append_release(entry, state)
            return
        state.appended_at = now
        self._append(state.transfer)

    def _append_release(
        self, entry: records.PartitionEntry, state: _PartitionState
    ) -> None:
        self._append_transfer(
            entry, state, self._own, with_state=False, release=True
        )

    def _append_transfer(
        self,
        entry: records.PartitionEntry,
        state: _PartitionState,
        target: records.Holder,
        *,
        with_state: bool,
        release: bool = False,
    ) -> None:
        """Append a transfer; the term is not used after this call."""
        now = self._clock.monotonic()
        member = self._membership.get(target.daemon_id)
        guardian = None
        if member is not None and not release:
            guardian = self._choose_guardian(entry.partition, member, now)
        state.plan = None
        state.appended_at = now
        state.transfer = records.TransferPartition(
            service=self._service,
            partition=entry.partition,
            replaces=entry.term,
            sender=self._own,
            owner=target,
            guardian=guardian,
            with_state=with_state,
            release=release,
        )
        self._append(state.transfer)

    def _remove_expired(self, now: float) -> None:
        """Remove expired guard requests and acknowledgements."""
        self._pending_requests = {
            sequence: request
            for sequence, request in self._pending_requests.items()
            if now - request.sent_at < const.LEASE_S
        }
        # An acknowledged record is read back long before this limit.
        self._acknowledged_at = {
            key: at
            for key, at in self._acknowledged_at.items()
            if now - at < const.MAX_LEASE_WITHOUT_LOG_S
        }


def _make_holder(member: records.Member) -> records.Holder:
    return records.Holder(
        daemon_id=member.daemon_id, incarnation=member.incarnation
    )
