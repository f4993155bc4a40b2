"""Membership of the fleet, replicated by gossip."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random as random_module

import msgspec

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import ports
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.state import member_hashes
from sassafraswood.state import members as members_module

# Entries of members that nobody has heard from for this time are no longer
# sent to peers. Otherwise two daemons could keep the entry of a lost member
# alive by sending it to each other.
_GOSSIP_MAX_AGE_S = const.MEMBER_RETENTION_S / 2
# Time after which a silent daemon that other daemons still hear is used again.
_SILENT_RETRY_S = 30.0
# Interval of the scan for expired members, which is too slow for every tick.
_EXPIRY_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogState:
    """State outside the membership that a digest carries.

    Attributes:
        next_offset: First offset of the log that is not applied yet.
        log_read_age_s: Seconds since the start of the last known read of
            the log up to its tail, or None if none is known.
        fingerprints_hash: Hash of the table of crash fingerprints.
    """

    next_offset: ids.Offset = ids.Offset(0)
    log_read_age_s: float | None = None
    fingerprints_hash: int = 0


class Membership:
    """Member table that gossip keeps consistent over the fleet.

    tick() is to be called every GOSSIP_INTERVAL_S.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        outbox: ports.Outbox,
        own: records.Member,
        log_state: Callable[[], LogState] = LogState,
    ) -> None:
        """Initialize the table with the entry of this daemon only.

        Args:
            clock: Source of monotonic time.
            random: Random source of the choice of gossip peers.
            outbox: Sends messages to peers.
            own: Entry of this daemon.
            log_state: Returns the state of the log for the next digest.
        """
        self._clock = clock
        self._random = random
        self._outbox = outbox
        self._own = own
        self._log_state = log_state
        self._table = members_module.MemberTable()
        self._hashes = member_hashes.MemberHashes(const.GOSSIP_BUCKET_COUNT)
        # Monotonic time at which any daemon last heard from the process of
        # each entry, in seconds.
        self._last_seen_at: dict[ids.DaemonId, float] = {}
        # Hash by which gossip identifies the process of each entry, and the
        # reverse.
        self._process_by_daemon: dict[ids.DaemonId, int] = {}
        self._daemon_by_process: dict[int, ids.DaemonId] = {}
        # Members whose age is still to be sent in this round of digests.
        self._ages_to_send: list[ids.DaemonId] = []
        # Monotonic time of the last message from each daemon to this one, in
        # seconds.
        self._heard_at: dict[ids.DaemonId, float] = {}
        # Monotonic time at which each silent daemon was last marked as such,
        # in seconds.
        self._silent_at: dict[ids.DaemonId, float] = {}
        # Sequence numbers of requests keep growing across restarts, so that a
        # reply to an earlier process of this daemon matches no request of
        # this one.
        self._sequence: int = own.incarnation
        # Sequence number of the last request to each daemon and the monotonic
        # time at which it was sent, in seconds.
        self._last_requests: dict[ids.DaemonId, tuple[int, float]] = {}
        self._exchanges_left = const.GOSSIP_EXCHANGES_PER_S
        self._next_domain = 0
        self._ticked_at = clock.monotonic()
        # Present members by service, and those other than this daemon by
        # failure domain. Both are rebuilt when _present is None.
        self._by_service: dict[ids.ServiceName, list[records.Member]] = {}
        self._by_domain: dict[ids.FailureDomain, list[ids.DaemonId]] = {}
        self._present: list[records.Member] | None = None
        self._expire_at = self._ticked_at
        self._set_own(own)

    @property
    def own(self) -> records.Member:
        """Return the entry of this daemon."""
        return self._own

    @property
    def is_replaced(self) -> bool:
        """Return whether a newer process uses the id of this daemon."""
        known = self._table.get(self._own.daemon_id)
        return known is not None and (
            known.incarnation > self._own.incarnation
        )

    def update_own(
        self,
        *,
        status: enums.MemberStatus | None = None,
        upstream_status: enums.UpstreamStatus | None = None,
        slots: int | None = None,
    ) -> records.Member:
        """Change the own entry and push it to connected peers.

        Args:
            status: New status of the member, None to keep it.
            upstream_status: New status of the upstream, None to keep it.
            slots: New number of slots, None to keep it.

        Returns:
            The own entry, changed or not.
        """
        own = self._own
        changed = msgspec.structs.replace(
            own,
            status=own.status if status is None else status,
            upstream_status=(
                own.upstream_status
                if upstream_status is None
                else upstream_status
            ),
            slots=own.slots if slots is None else slots,
        )
        if changed == own:
            return own
        version = own.version + 1
        if changed.status is enums.MemberStatus.LEFT:
            version = members_module.LEFT_VERSION
        self._set_own(msgspec.structs.replace(changed, version=version))
        for daemon_id in self._find_connected():
            self._outbox.send(daemon_id, messages.Leaving(member=self._own))
        return self._own

    def merge(
        self, members: Sequence[records.Member], *, age_s: float = 0.0
    ) -> list[records.Member]:
        """Merge entries that are newer than those of the table.

        Args:
            members: Entries of any source.
            age_s: Seconds since the entries are known to have been valid.
                Entries of a snapshot or of an old part of the log may belong
                to lost members. With MEMBER_RETENTION_S - 60 they are kept for
                a minute, are not sent to peers, and stay in the table if any
                daemon hears from the member within that minute.

        Returns:
            The entries that changed the table.
        """
        return [
            member for member in members if self._merge_entry(member, age_s)
        ]

    def remove(
        self, daemon_id: ids.DaemonId, incarnation: ids.Incarnation
    ) -> None:
        """Mark a daemon as left when its Leave record is applied."""
        if daemon_id == self._own.daemon_id:
            return
        left = self._table.leave(daemon_id, incarnation)
        if left is not None:
            self._record_change(left, self._clock.monotonic())

    def get(self, daemon_id: ids.DaemonId) -> records.Member | None:
        """Return a member, or None if it left or its address was reused."""
        member = self._table.get(daemon_id)
        if member is None or not self._table.is_present(member):
            return None
        return member

    def members(
        self, service: ids.ServiceName | None = None
    ) -> list[records.Member]:
        """Return the present members of one service, or of all for None.

        The list is shared with the cache and must not be changed.
        """
        present = self._get_present()
        return (
            present if service is None else self._by_service.get(service, [])
        )

    def entries(self) -> list[records.Member]:
        """Return all entries, including those of daemons that left."""
        return self._table.entries()

    def age(self, daemon_id: ids.DaemonId) -> float | None:
        """Return the seconds since any daemon last heard from a member."""
        if daemon_id == self._own.daemon_id:
            return 0.0
        seen_at = self._last_seen_at.get(daemon_id)
        return None if seen_at is None else self._clock.monotonic() - seen_at

    def record_contact(
        self, daemon_id: ids.DaemonId, incarnation: ids.Incarnation
    ) -> None:
        """Record that a message from a daemon has arrived."""
        now = self._clock.monotonic()
        self._heard_at[daemon_id] = now
        self._silent_at.pop(daemon_id, None)
        known = self._table.get(daemon_id)
        if known is not None and known.incarnation == incarnation:
            self._record_seen(daemon_id, now)

    def note_silent(self, daemon_id: ids.DaemonId) -> None:
        """Mark a daemon as silent; it did not reply for PEER_TIMEOUT_S."""
        self._silent_at[daemon_id] = self._clock.monotonic()

    def is_silent(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether a daemon is silent and must not be sent calls.

        It is silent from note_silent() until a message from it arrives, or
        until _SILENT_RETRY_S have passed and another daemon has heard from it
        since. After a network partition it may take minutes before a message
        from it arrives here.
        """
        silent_at = self._silent_at.get(daemon_id)
        if silent_at is None:
            return False
        is_heard = self._last_seen_at.get(daemon_id, silent_at) > silent_at
        silent_s = self._clock.monotonic() - silent_at
        if not is_heard or silent_s < _SILENT_RETRY_S:
            return True
        del self._silent_at[daemon_id]
        return False

    def digest(self) -> messages.Digest:
        """Return a digest with a new sequence number, to be sent to a peer."""
        self._sequence += 1
        return self._build_digest(self._sequence, with_heard=True)

    def tick(self) -> None:
        """Remove expired members and send digests to some peers."""
        now = self._clock.monotonic()
        if now - self._ticked_at > const.GOSSIP_MAX_TICK_GAP_S:
            self._keep_after_pause(now, now - self._ticked_at)
            self._expire_at = now
        self._ticked_at = now
        self._exchanges_left = const.GOSSIP_EXCHANGES_PER_S
        if now >= self._expire_at:
            self._expire_at = now + _EXPIRY_INTERVAL_S
            self._expire_members(now)
        targets = self._choose_targets()
        self._random.shuffle(targets)
        for number, daemon_id in enumerate(targets):
            self._sequence += 1
            request = self._build_digest(
                self._sequence, with_heard=number < const.GOSSIP_FANOUT
            )
            self._last_requests[daemon_id] = (request.sequence, now)
            self._outbox.send(daemon_id, request)

    def on_digest(self, message: messages.Digest) -> float | None:
        """Reply to the digest of a peer, or process the reply of a peer.

        Returns:
            The monotonic time at which the request was sent, in seconds, if
            the digest is the reply to the last request to that peer; None
            otherwise. Freshness.note_peer() needs it.
        """
        sender = message.daemon_id
        if sender == self._own.daemon_id:
            return None
        self.record_contact(sender, message.incarnation)
        self._merge_heard_ages(message.heard)
        differs = message.members_hash != self._hashes.total
        if not message.is_reply:
            buckets = []
            if differs and self._try_start_exchange():
                buckets = self._hashes.buckets
            reply = self._build_digest(
                message.sequence,
                with_heard=bool(message.heard),
                buckets=buckets,
            )
            self._outbox.send(sender, reply)
            return None
        if differs and message.bucket_hashes:
            self._send_summaries(sender, message.bucket_hashes)
        sequence, sent_at = self._last_requests.get(sender, (0, 0.0))
        return sent_at if sequence == message.sequence else None

    def on_members_delta(
        self, message: messages.MembersDelta, sender: ids.DaemonId
    ) -> list[records.Member]:
        """Merge the entries of a peer and reply with those that it lacks.

        Args:
            message: Entries, and summaries of those that the peer has.
            sender: The peer.

        Returns:
            The entries that changed the table.
        """
        ages_s = message.ages_s + [0] * len(message.members)
        changed = [
            member
            for member, age_s in zip(message.members, ages_s, strict=False)
            if self._merge_entry(member, max(age_s, 0))
        ]
        if message.is_full:
            self._send_entries(sender, self._hashes.daemon_ids(), [])
        elif message.buckets:
            own = self._hashes.summaries(message.buckets)
            received = message.summaries
            differing = [s for s in own if received.get(s) != own[s]]
            wanted = [s for s in received if own.get(s) != received[s]]
            self._send_entries(
                sender, self._find_daemon_ids(differing), wanted
            )
        elif message.wanted:
            self._send_entries(
                sender, self._find_daemon_ids(message.wanted), []
            )
        return changed

    def on_leaving(self, message: messages.Leaving) -> list[records.Member]:
        """Merge an entry that its daemon pushed.

        Returns:
            The entries that changed the table.
        """
        return self.merge([message.member])

    def _build_digest(
        self,
        sequence: int,
        *,
        with_heard: bool,
        buckets: list[int] | None = None,
    ) -> messages.Digest:
        state = self._log_state()
        return messages.Digest(
            daemon_id=self._own.daemon_id,
            incarnation=self._own.incarnation,
            failure_domain=self._own.failure_domain,
            next_offset=state.next_offset,
            log_read_age_s=state.log_read_age_s,
            members_hash=self._hashes.total,
            fingerprints_hash=state.fingerprints_hash,
            is_reply=buckets is not None,
            sequence=sequence,
            heard=self._collect_heard_ages() if with_heard else {},
            bucket_hashes=buckets or [],
        )

    def _collect_heard_ages(self) -> dict[int, int]:
        """Return ages in seconds by process; each call takes the next ones."""
        heard = {}
        for _ in range(const.GOSSIP_HEARTBEAT_MEMBERS):
            if not self._ages_to_send:
                self._ages_to_send = self._hashes.daemon_ids()
                self._random.shuffle(self._ages_to_send)
            daemon_id = self._ages_to_send.pop()
            is_own = daemon_id == self._own.daemon_id
            if not is_own and daemon_id in self._hashes:
                process = self._process_by_daemon[daemon_id]
                heard[process] = self._get_sent_age_s(daemon_id)
        return heard

    def _get_sent_age_s(self, daemon_id: ids.DaemonId) -> int:
        # Rounded up: an age that shrinks with each hop would keep the entry of
        # a lost member alive.
        return int(self.age(daemon_id) or 0.0) + 1

    def _merge_heard_ages(self, heard: dict[int, int]) -> None:
        now = self._clock.monotonic()
        for process, age_s in heard.items():
            daemon_id = self._daemon_by_process.get(process)
            if daemon_id is not None:
                self._record_seen(daemon_id, now - max(age_s, 0))

    def _try_start_exchange(self) -> bool:
        if self._exchanges_left <= 0:
            return False
        self._exchanges_left -= 1
        return True

    def _send_summaries(
        self, receiver: ids.DaemonId, bucket_hashes: list[int]
    ) -> None:
        """Send the hashes of own entries in the buckets that differ."""
        buckets = self._hashes.differing(bucket_hashes)
        if len(buckets) > const.GOSSIP_BUCKETS_PER_EXCHANGE:
            if len(buckets) < const.GOSSIP_BUCKET_COUNT // 2:
                # Later exchanges cover the remaining buckets.
                buckets = self._random.sample(
                    buckets, const.GOSSIP_BUCKETS_PER_EXCHANGE
                )
        if buckets:
            delta = messages.MembersDelta(
                members=[],
                is_full=False,
                buckets=buckets,
                summaries=self._hashes.summaries(buckets),
            )
            self._outbox.send(receiver, delta)

    def _find_daemon_ids(self, short_ids: Iterable[int]) -> list[ids.DaemonId]:
        found = (self._hashes.find(short_id) for short_id in short_ids)
        return [daemon_id for daemon_id in found if daemon_id is not None]

    def _send_entries(
        self,
        receiver: ids.DaemonId,
        daemon_ids: list[ids.DaemonId],
        wanted: list[int],
    ) -> None:
        found = [self._table.get(daemon_id) for daemon_id in daemon_ids]
        entries = [member for member in found if member is not None]
        if not entries and not wanted:
            return
        delta = messages.MembersDelta(
            members=entries,
            is_full=False,
            ages_s=[
                self._get_sent_age_s(member.daemon_id) for member in entries
            ],
            wanted=wanted,
        )
        self._outbox.send(receiver, delta)

    def _set_own(self, own: records.Member) -> None:
        self._own = own
        if self._table.merge(own):
            self._record_change(own, self._clock.monotonic())

    def _merge_entry(self, member: records.Member, age_s: float) -> bool:
        if age_s >= const.MEMBER_RETENTION_S:
            return False
        if member.daemon_id == self._own.daemon_id:
            if self._correct_own(member):
                return False
        seen_at = self._clock.monotonic() - age_s
        known = self._table.get(member.daemon_id)
        if self._table.merge(member):
            if known is not None and known.incarnation == member.incarnation:
                seen_at = max(seen_at, self._last_seen_at[member.daemon_id])
            self._record_change(member, seen_at)
            return True
        if known == member:
            self._record_seen(member.daemon_id, seen_at)
        return False

    def _correct_own(self, member: records.Member) -> bool:
        """Handle an entry with the id of this daemon from another source.

        Only this daemon changes its entry. If the given one has the same
        incarnation and a higher version, the own entry gets a still higher
        version and replaces it.

        Returns:
            Whether the entry is of this process or of an earlier one and
            must not be merged.
        """
        own = self._own
        if member.incarnation != own.incarnation:
            return member.incarnation < own.incarnation
        is_newer = own.version < member.version < members_module.LEFT_VERSION
        if is_newer:
            version = member.version + 1
            self._set_own(msgspec.structs.replace(own, version=version))
        return True

    def _record_change(self, member: records.Member, seen_at: float) -> None:
        daemon_id = member.daemon_id
        process = member_hashes.process_id(daemon_id, member.incarnation)
        self._remove_process(daemon_id)
        self._process_by_daemon[daemon_id] = process
        self._daemon_by_process[process] = daemon_id
        self._hashes.remove(daemon_id)
        self._last_seen_at[daemon_id] = seen_at
        self._update_gossiped(daemon_id)
        self._present = None

    def _record_seen(self, daemon_id: ids.DaemonId, seen_at: float) -> None:
        if seen_at > self._last_seen_at.get(daemon_id, seen_at):
            self._last_seen_at[daemon_id] = seen_at
            self._update_gossiped(daemon_id)

    def _update_gossiped(self, daemon_id: ids.DaemonId) -> None:
        """Send an entry to peers only while it is recent enough."""
        age_s = self.age(daemon_id)
        member = self._table.get(daemon_id)
        if member is None or age_s is None or age_s >= _GOSSIP_MAX_AGE_S:
            self._hashes.remove(daemon_id)
        elif daemon_id not in self._hashes:
            self._hashes.add(member)

    def _expire_members(self, now: float) -> None:
        for daemon_id, seen_at in list(self._last_seen_at.items()):
            if (
                daemon_id == self._own.daemon_id
                or now - seen_at < _GOSSIP_MAX_AGE_S
            ):
                continue
            self._hashes.remove(daemon_id)
            if now - seen_at >= const.MEMBER_RETENTION_S:
                self._remove_member(daemon_id)
        # Peers that never became members or have been removed.
        for daemon_ids in (
            self._heard_at,
            self._silent_at,
            self._last_requests,
        ):
            for daemon_id in list(daemon_ids):
                if self._table.get(daemon_id) is None:
                    del daemon_ids[daemon_id]

    def _remove_member(self, daemon_id: ids.DaemonId) -> None:
        self._table.discard(daemon_id)
        del self._last_seen_at[daemon_id]
        self._remove_process(daemon_id)
        self._present = None

    def _remove_process(self, daemon_id: ids.DaemonId) -> None:
        process = self._process_by_daemon.pop(daemon_id, None)
        if process is not None:
            self._daemon_by_process.pop(process, None)

    def _keep_after_pause(self, now: float, pause_s: float) -> None:
        """Keep members that this daemon could not hear while it was suspended.

        They are not sent to peers until another daemon reports a newer age.
        """
        for daemon_id, seen_at in self._last_seen_at.items():
            self._last_seen_at[daemon_id] = min(
                seen_at + pause_s, now - _GOSSIP_MAX_AGE_S
            )

    def _find_connected(self) -> list[ids.DaemonId]:
        """Return the daemons whose connection is not closed as idle yet."""
        since = self._clock.monotonic() - const.PEER_IDLE_TIMEOUT_S
        return [
            daemon_id
            for daemon_id, heard_at in self._heard_at.items()
            if heard_at >= since
        ]

    def _choose_targets(self) -> list[ids.DaemonId]:
        """Return the peers of this tick, at least GOSSIP_FANOUT if possible.

        These are one peer of the own domain, one of another domain, and
        others at random. While the last known read of the log is older than
        GOSSIP_PROBE_LOG_AGE_S, there is one of each domain.
        """
        present = self._get_present()
        domains = {
            domain: live
            for domain, daemon_ids in self._by_domain.items()
            if (live := self._exclude_silent(daemon_ids))
        }
        chosen = []
        own_domain = domains.pop(self._own.failure_domain, None)
        if own_domain:
            chosen.append(self._random.choice(own_domain))
        others = sorted(domains)
        age_s = self._log_state().log_read_age_s
        if age_s is None or age_s > const.GOSSIP_PROBE_LOG_AGE_S:
            chosen += [self._random.choice(domains[d]) for d in others]
        elif others:
            # Round robin reaches each domain as often as possible.
            self._next_domain += 1
            domain = others[self._next_domain % len(others)]
            chosen.append(self._random.choice(domains[domain]))
        # Further peers at random. Silent ones are included, so that the fleet
        # reconnects after a network partition.
        missing_count = max(1, const.GOSSIP_FANOUT - len(chosen))
        excluded = {self._own.daemon_id, *chosen}
        count = min(len(present), missing_count + len(excluded))
        for member in self._random.sample(present, count):
            if missing_count > 0 and member.daemon_id not in excluded:
                chosen.append(member.daemon_id)
                missing_count -= 1
        return chosen

    def _exclude_silent(
        self, daemon_ids: list[ids.DaemonId]
    ) -> list[ids.DaemonId]:
        if not self._silent_at:
            return daemon_ids
        return [d for d in daemon_ids if not self.is_silent(d)]

    def _get_present(self) -> list[records.Member]:
        if self._present is not None:
            return self._present
        self._present = self._table.present()
        self._by_service = {}
        self._by_domain = {}
        for member in self._present:
            self._by_service.setdefault(member.service, []).append(member)
            if member.daemon_id != self._own.daemon_id:
                self._by_domain.setdefault(member.failure_domain, []).append(
                    member.daemon_id
                )
        return self._present
