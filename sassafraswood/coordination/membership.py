"""Members of the fleet and gossip about them."""

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

# Entries without a sign of life for so long are not passed on, so that two
# daemons do not keep a lost member alive by telling each other of it.
_SPREAD_S = const.MEMBER_FORGET_S / 2
# A daemon that others hear but this one does not is tried again so seldom.
_RETRY_SILENT_S = 30.0
# Looking at all members takes long for every tick.
_FORGET_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogState:
    """What a digest tells beside the members.

    Attributes:
        next_offset: First offset that was not folded.
        log_read_age_s: Seconds since the start of the last known read of
            the log up to its tail.
        fingerprints_hash: Hash of the table of crash fingerprints.
    """

    next_offset: ids.Offset = ids.Offset(0)
    log_read_age_s: float | None = None
    fingerprints_hash: int = 0


class Membership:
    """The member table, kept equal over the fleet by gossip.

    Call tick() every GOSSIP_INTERVAL_S.
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
        """Start with the own entry only."""
        self._clock = clock
        self._random = random
        self._outbox = outbox
        self._own = own
        self._log_state = log_state
        self._table = members_module.MemberTable()
        self._hashes = member_hashes.MemberHashes(const.GOSSIP_BUCKETS)
        # Last sign of life of each entry that anyone noticed.
        self._news_at: dict[ids.DaemonId, float] = {}
        # The process of each entry as gossip names it, and the reverse.
        self._process_of: dict[ids.DaemonId, int] = {}
        self._daemon_of: dict[int, ids.DaemonId] = {}
        # Members whose age was not told in this round.
        self._to_tell: list[ids.DaemonId] = []
        # Last message from each daemon to this one.
        self._heard_at: dict[ids.DaemonId, float] = {}
        # When each daemon that did not answer was noted.
        self._silent: dict[ids.DaemonId, float] = {}
        # Numbers of questions go on across restarts, so that an answer to an
        # earlier process of this daemon is not taken for a fresh one.
        self._sequence: int = own.incarnation
        self._asked: dict[ids.DaemonId, tuple[int, float]] = {}
        self._exchanges_left = const.GOSSIP_EXCHANGES_PER_S
        self._next_domain = 0
        self._ticked_at = clock.monotonic()
        # Present members by service and others by domain, while unchanged.
        self._by_service: dict[ids.ServiceName, list[records.Member]] = {}
        self._by_domain: dict[ids.FailureDomain, list[ids.DaemonId]] = {}
        self._present: list[records.Member] | None = None
        self._forget_at = self._ticked_at
        self._put_own(own)

    @property
    def own(self) -> records.Member:
        """Return the entry of this daemon."""
        return self._own

    @property
    def is_replaced(self) -> bool:
        """Return whether a newer process has the id of this daemon."""
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
        """Change the own entry and push it to connected peers."""
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
        self._put_own(msgspec.structs.replace(changed, version=version))
        for daemon_id in self._connected():
            self._outbox.send(daemon_id, messages.Leaving(member=self._own))
        return self._own

    def merge(
        self, members: Sequence[records.Member], *, age_s: float = 0.0
    ) -> list[records.Member]:
        """Take the newer entries; return those that changed the table.

        Args:
            members: Entries of any source.
            age_s: Seconds since the entries were true. Entries of a snapshot
                or of an old part of the log may be those of lost members:
                with MEMBER_FORGET_S - 60 they are tried for a minute, are
                not passed on, and stay if anyone hears of them.
        """
        return [member for member in members if self._take(member, age_s)]

    def remove(
        self, daemon_id: ids.DaemonId, incarnation: ids.Incarnation
    ) -> None:
        """Mark a daemon as left, after its Leave record."""
        if daemon_id == self._own.daemon_id:
            return
        left = self._table.leave(daemon_id, incarnation)
        if left is not None:
            self._changed(left, self._clock.monotonic())

    def get(self, daemon_id: ids.DaemonId) -> records.Member | None:
        """Return a member that neither left nor lost its address."""
        member = self._table.get(daemon_id)
        if member is None or not self._table.is_present(member):
            return None
        return member

    def members(
        self, service: ids.ServiceName | None = None
    ) -> list[records.Member]:
        """Return the present members, of one service or all.

        The list is shared and must not be changed.
        """
        present = self._refresh_present()
        return (
            present if service is None else self._by_service.get(service, [])
        )

    def entries(self) -> list[records.Member]:
        """Return all entries, also of daemons that left."""
        return self._table.entries()

    def age(self, daemon_id: ids.DaemonId) -> float | None:
        """Return the seconds since anyone noticed a daemon."""
        if daemon_id == self._own.daemon_id:
            return 0.0
        news_at = self._news_at.get(daemon_id)
        return None if news_at is None else self._clock.monotonic() - news_at

    def note_heard(
        self, daemon_id: ids.DaemonId, incarnation: ids.Incarnation
    ) -> None:
        """Note a message from a daemon."""
        now = self._clock.monotonic()
        self._heard_at[daemon_id] = now
        self._silent.pop(daemon_id, None)
        known = self._table.get(daemon_id)
        if known is not None and known.incarnation == incarnation:
            self._note_news(daemon_id, now)

    def note_silent(self, daemon_id: ids.DaemonId) -> None:
        """Note that a daemon did not answer for PEER_SILENT_S."""
        self._silent[daemon_id] = self._clock.monotonic()

    def is_silent(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether a daemon is to be avoided.

        It is from note_silent() until it is heard, or until _RETRY_SILENT_S
        have passed and another daemon has heard it since: after a network
        partition it may take minutes until it is heard directly.
        """
        silent_at = self._silent.get(daemon_id)
        if silent_at is None:
            return False
        is_heard = self._news_at.get(daemon_id, silent_at) > silent_at
        age = self._clock.monotonic() - silent_at
        if not is_heard or age < _RETRY_SILENT_S:
            return True
        del self._silent[daemon_id]
        return False

    def digest(self) -> messages.Digest:
        """Return the digest of the next question."""
        self._sequence += 1
        return self._digest(self._sequence, with_heard=True)

    def tick(self) -> None:
        """Forget lost members and send digests."""
        now = self._clock.monotonic()
        if now - self._ticked_at > const.GOSSIP_PAUSE_S:
            self._survive_pause(now, now - self._ticked_at)
            self._forget_at = now
        self._ticked_at = now
        self._exchanges_left = const.GOSSIP_EXCHANGES_PER_S
        if now >= self._forget_at:
            self._forget_at = now + _FORGET_INTERVAL_S
            self._forget(now)
        targets = self._targets()
        self._random.shuffle(targets)
        for number, daemon_id in enumerate(targets):
            self._sequence += 1
            question = self._digest(
                self._sequence, with_heard=number < const.GOSSIP_FANOUT
            )
            self._asked[daemon_id] = (question.sequence, now)
            self._outbox.send(daemon_id, question)

    def on_digest(self, message: messages.Digest) -> float | None:
        """Answer a question, or compare with an answer.

        Returns:
            For the answer to the last question to that daemon, when the
            question was sent; None otherwise. See Freshness.note_peer.
        """
        sender = message.daemon_id
        if sender == self._own.daemon_id:
            return None
        self.note_heard(sender, message.incarnation)
        self._take_heard(message.heard)
        differs = message.members_hash != self._hashes.total
        if not message.is_reply:
            buckets = []
            if differs and self._take_exchange():
                buckets = self._hashes.buckets
            reply = self._digest(
                message.sequence,
                with_heard=bool(message.heard),
                buckets=buckets,
            )
            self._outbox.send(sender, reply)
            return None
        if differs and message.bucket_hashes:
            self._compare(sender, message.bucket_hashes)
        sequence, asked_at = self._asked.get(sender, (0, 0.0))
        return asked_at if sequence == message.sequence else None

    def on_members_delta(
        self, message: messages.MembersDelta, sender: ids.DaemonId
    ) -> list[records.Member]:
        """Merge entries and answer with those that the sender lacks.

        Returns:
            The entries that changed the table.
        """
        ages = message.ages_s + [0] * len(message.members)
        changed = [
            member
            for member, age in zip(message.members, ages, strict=False)
            if self._take(member, max(age, 0))
        ]
        if message.is_full:
            self._send_entries(sender, self._hashes.daemon_ids(), [])
        elif message.buckets:
            own = self._hashes.summaries(message.buckets)
            others = message.summaries
            differing = [s for s in own if others.get(s) != own[s]]
            wanted = [s for s in others if own.get(s) != others[s]]
            self._send_entries(sender, self._find(differing), wanted)
        elif message.wanted:
            self._send_entries(sender, self._find(message.wanted), [])
        return changed

    def on_leaving(self, message: messages.Leaving) -> list[records.Member]:
        """Merge an entry that its daemon pushed."""
        return self.merge([message.member])

    def _digest(
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
            heard=self._some_heard() if with_heard else {},
            bucket_hashes=buckets or [],
        )

    def _some_heard(self) -> dict[int, int]:
        """Return the ages of the next members, all of them in turn."""
        heard = {}
        for _ in range(const.GOSSIP_HEARD_MEMBERS):
            if not self._to_tell:
                self._to_tell = self._hashes.daemon_ids()
                self._random.shuffle(self._to_tell)
            daemon_id = self._to_tell.pop()
            is_own = daemon_id == self._own.daemon_id
            if not is_own and daemon_id in self._hashes:
                process = self._process_of[daemon_id]
                heard[process] = self._sent_age(daemon_id)
        return heard

    def _sent_age(self, daemon_id: ids.DaemonId) -> int:
        # Rounded up, as an age that shrinks on its way would keep a lost
        # member alive.
        return int(self.age(daemon_id) or 0.0) + 1

    def _take_heard(self, heard: dict[int, int]) -> None:
        now = self._clock.monotonic()
        for process, age in heard.items():
            daemon_id = self._daemon_of.get(process)
            if daemon_id is not None:
                self._note_news(daemon_id, now - max(age, 0))

    def _take_exchange(self) -> bool:
        if self._exchanges_left <= 0:
            return False
        self._exchanges_left -= 1
        return True

    def _compare(self, sender: ids.DaemonId, bucket_hashes: list[int]) -> None:
        buckets = self._hashes.differing(bucket_hashes)
        if len(buckets) > const.GOSSIP_BUCKETS_PER_EXCHANGE:
            if len(buckets) < const.GOSSIP_BUCKETS // 2:
                # The rest follows in the next exchanges.
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
            self._outbox.send(sender, delta)

    def _find(self, shorts: Iterable[int]) -> list[ids.DaemonId]:
        found = (self._hashes.find(short) for short in shorts)
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
            ages_s=[self._sent_age(member.daemon_id) for member in entries],
            wanted=wanted,
        )
        self._outbox.send(receiver, delta)

    def _put_own(self, own: records.Member) -> None:
        self._own = own
        if self._table.merge(own):
            self._changed(own, self._clock.monotonic())

    def _take(self, member: records.Member, age_s: float) -> bool:
        if age_s >= const.MEMBER_FORGET_S:
            return False
        if member.daemon_id == self._own.daemon_id:
            if self._correct_own(member):
                return False
        news_at = self._clock.monotonic() - age_s
        known = self._table.get(member.daemon_id)
        if self._table.merge(member):
            if known is not None and known.incarnation == member.incarnation:
                news_at = max(news_at, self._news_at[member.daemon_id])
            self._changed(member, news_at)
            return True
        if known == member:
            self._note_news(member.daemon_id, news_at)
        return False

    def _correct_own(self, member: records.Member) -> bool:
        """Return whether an entry with the own id concerns this process."""
        own = self._own
        if member.incarnation != own.incarnation:
            return member.incarnation < own.incarnation
        is_newer = own.version < member.version < members_module.LEFT_VERSION
        if is_newer:
            version = member.version + 1
            self._put_own(msgspec.structs.replace(own, version=version))
        return True

    def _changed(self, member: records.Member, news_at: float) -> None:
        daemon_id = member.daemon_id
        process = member_hashes.process_id(daemon_id, member.incarnation)
        self._forget_process(daemon_id)
        self._process_of[daemon_id] = process
        self._daemon_of[process] = daemon_id
        self._hashes.remove(daemon_id)
        self._news_at[daemon_id] = news_at
        self._spread(daemon_id)
        self._present = None

    def _note_news(self, daemon_id: ids.DaemonId, news_at: float) -> None:
        if news_at > self._news_at.get(daemon_id, news_at):
            self._news_at[daemon_id] = news_at
            self._spread(daemon_id)

    def _spread(self, daemon_id: ids.DaemonId) -> None:
        """Pass the entry on while it is not too old."""
        age = self.age(daemon_id)
        member = self._table.get(daemon_id)
        if member is None or age is None or age >= _SPREAD_S:
            self._hashes.remove(daemon_id)
        elif daemon_id not in self._hashes:
            self._hashes.add(member)

    def _forget(self, now: float) -> None:
        for daemon_id, news_at in list(self._news_at.items()):
            if daemon_id == self._own.daemon_id or now - news_at < _SPREAD_S:
                continue
            self._hashes.remove(daemon_id)
            if now - news_at >= const.MEMBER_FORGET_S:
                self._drop(daemon_id)
        # Peers that never became members, or were dropped meanwhile.
        for daemon_ids in (self._heard_at, self._silent, self._asked):
            for daemon_id in list(daemon_ids):
                if self._table.get(daemon_id) is None:
                    del daemon_ids[daemon_id]

    def _drop(self, daemon_id: ids.DaemonId) -> None:
        self._table.discard(daemon_id)
        del self._news_at[daemon_id]
        self._forget_process(daemon_id)
        self._present = None

    def _forget_process(self, daemon_id: ids.DaemonId) -> None:
        process = self._process_of.pop(daemon_id, None)
        if process is not None:
            self._daemon_of.pop(process, None)

    def _survive_pause(self, now: float, pause_s: float) -> None:
        """Keep the members, which could not be heard during a pause.

        They are not passed on until somebody else is heard to know them.
        """
        for daemon_id, news_at in self._news_at.items():
            self._news_at[daemon_id] = min(news_at + pause_s, now - _SPREAD_S)

    def _connected(self) -> list[ids.DaemonId]:
        """Return the daemons heard since idle connections are closed."""
        since = self._clock.monotonic() - const.PEER_IDLE_CLOSE_S
        return [
            daemon_id
            for daemon_id, heard_at in self._heard_at.items()
            if heard_at >= since
        ]

    def _targets(self) -> list[ids.DaemonId]:
        """Return peers in the own domain, in another one, and any."""
        present = self._refresh_present()
        domains = {
            domain: live
            for domain, daemon_ids in self._by_domain.items()
            if (live := self._without_silent(daemon_ids))
        }
        chosen = []
        own_domain = domains.pop(self._own.failure_domain, None)
        if own_domain:
            chosen.append(self._random.choice(own_domain))
        others = sorted(domains)
        age = self._log_state().log_read_age_s
        if age is None or age > const.GOSSIP_PROBE_LOG_AGE_S:
            chosen += [self._random.choice(domains[d]) for d in others]
        elif others:
            # In turn, so that each domain is heard as often as can be.
            self._next_domain += 1
            domain = others[self._next_domain % len(others)]
            chosen.append(self._random.choice(domains[domain]))
        # Any others, also silent ones, which heals a network partition.
        missing = max(1, const.GOSSIP_FANOUT - len(chosen))
        taken = {self._own.daemon_id, *chosen}
        count = min(len(present), missing + len(taken))
        for member in self._random.sample(present, count):
            if missing > 0 and member.daemon_id not in taken:
                chosen.append(member.daemon_id)
                missing -= 1
        return chosen

    def _without_silent(
        self, daemon_ids: list[ids.DaemonId]
    ) -> list[ids.DaemonId]:
        if not self._silent:
            return daemon_ids
        return [d for d in daemon_ids if not self.is_silent(d)]

    def _refresh_present(self) -> list[records.Member]:
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
