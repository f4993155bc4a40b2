"""Connections to other daemons and the messages on them."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import peer_plan
from sassafraswood.coordination import store_knowledge
from sassafraswood.coordination import upstream_choice
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.sidecar import crash_exchange
from sassafraswood.sidecar import member_follower
from sassafraswood.sidecar import peer_link
from sassafraswood.sidecar import rules_follower
from sassafraswood.sidecar import upstream_side
from sassafraswood.transport import frame_link
from sassafraswood.transport import json_log

# Pause between reviews of all connections in seconds; a quarter of the
# shortest time between pings.
REVIEW_S: Final = 0.1
# A daemon that was not called for this time, in seconds, is disconnected.
UNUSED_S: Final = 60.0
# Accepted connections without a message for this time, in seconds, are
# closed; the other end sends a ping four times as often.
ACCEPTED_SILENT_S: Final = 6.4
# A document that was asked for is not asked for again for this time, in
# seconds; a large one takes about 0.1 s between failure domains.
FETCH_S: Final = 0.5
# Changes of the own upstream that are told to the others at once: its slowness
# by this ratio, or its share of errors by this much.
HEALTH_RATIO: Final = 1.5
HEALTH_ERRORS: Final = 0.1


class Peers:
    """Connects to the daemons that are of use and takes calls of theirs."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        own: fleet.Member,
        address: tuple[str, int],
        plan: peer_plan.PeerPlan,
        upstream: upstream_side.UpstreamSide,
        knowledge: store_knowledge.StoreKnowledge,
        rules: rules_follower.RulesFollower,
        membership: member_follower.MemberFollower,
        log: json_log.JsonLog,
        crashes: crash_exchange.CrashExchange,
        on_reached: Callable[[ids.ServiceName], None],
        on_lend: Callable[[frames.Lend], None],
        on_borrow: Callable[[frames.Borrow], frames.Lend],
    ) -> None:
        """Take this daemon's record and what messages are handed to.

        Args:
            clock: Counts time while the VM is suspended.
            own: This daemon's record.
            address: Where to listen.
            plan: Tells which daemons to connect to.
            upstream: Runs calls at the own upstream.
            knowledge: Ages of what is known of the store.
            rules: Rules that daemons pass on to each other.
            membership: Records of members that they pass on.
            log: Log lines.
            crashes: What daemons tell each other of requests that crash
                upstreams.
            on_reached: Called when a daemon of a service takes calls.
            on_lend: Called with the answer of a lender.
            on_borrow: Answers a borrower.
        """
        self._clock = clock
        self._own = own
        self._address = address
        self._plan = plan
        self._upstream = upstream
        self._knowledge = knowledge
        self._rules = rules
        self._membership = membership
        self._log = log
        self._crashes = crashes
        self._on_reached = on_reached
        self._on_lend = on_lend
        self._on_borrow = on_borrow
        self._started_at = int(clock.wall() * 1e6)
        self._members: dict[ids.DaemonId, fleet.Member] = {}
        self._links: dict[ids.DaemonId, peer_link.PeerLink] = {}
        self._accepted: set[frame_link.FrameConnection] = set()
        self._running: dict[
            tuple[frame_link.FrameConnection, int],
            upstream_side.UpstreamCall,
        ] = {}
        self._own_candidate = upstream_choice.Candidate(own)
        self._own_candidate.is_reachable = True
        # Services that are called, and since when they were not.
        self._called_at: dict[ids.ServiceName, float] = {}
        self._by_service: dict[ids.ServiceName, list[peer_link.PeerLink]] = {}
        self._candidates: dict[
            ids.ServiceName, list[upstream_choice.Candidate]
        ] = {}
        self._reviewed_at = 0.0
        self._fetched_at: dict[tuple[str, int], float] = {}
        # Slowness and errors of the own upstream as the others know them.
        self._told_health = 1.0, 0.0
        self._server: asyncio.Server | None = None

    @property
    def open_count(self) -> int:
        """Return the number of daemons that can be reached."""
        return sum(
            link.candidate.is_reachable for link in self._links.values()
        )

    @property
    def accepted_count(self) -> int:
        """Return the number of connections of other daemons."""
        return len(self._accepted)

    def candidates(
        self, service: ids.ServiceName
    ) -> list[upstream_choice.Candidate]:
        """Return daemons beside upstreams of a service that is called."""
        now = self._clock.monotonic()
        is_new = service not in self._called_at
        self._called_at[service] = now
        if is_new:
            self._review(now)
        return self._candidates.get(service, [])

    def has_daemons(self, service: ids.ServiceName) -> bool:
        """Return whether a daemon may begin to take calls of a service.

        It may be starting, or the connection to it is being made.
        """
        return (
            not self._members
            or service == self._own.service
            or bool(self._by_service.get(service))
        )

    def is_reachable(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether messages to a daemon can be sent."""
        link = self._links.get(daemon_id)
        return link is not None and link.candidate.is_reachable

    def reads_store(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether a daemon says that it reads the store."""
        link = self._links.get(daemon_id)
        return link is not None and link.reads_store

    def set_members(self, members: Iterable[fleet.Member]) -> None:
        """Take all daemons; connections to those that are gone end."""
        self._members = {
            member.daemon_id: member
            for member in members
            if member.daemon_id != self._own.daemon_id
        }
        self._plan.set_members(self._members.values())
        for daemon_id, link in list(self._links.items()):
            if self._members.get(daemon_id) != link.member:
                del self._links[daemon_id]
                link.close('no member any more')
        self._review(self._clock.monotonic())

    def set_serving(self, is_serving: bool) -> None:
        """Tell all daemons whether this one takes calls."""
        self._own_candidate.is_serving = is_serving
        self._own_candidate.note_load(self._upstream.load)
        self._tell_status()
        if is_serving:
            self._on_reached(self._own.service)

    def _tell_status(self) -> None:
        """Tell all daemons how the own upstream does."""
        health = self._upstream.health
        slowness, errors = health.slowness, health.errors
        self._told_health = slowness, errors
        self._own_candidate.note_health(slowness, errors)
        status = frames.Status(
            is_serving=self._upstream.is_serving,
            load=self._upstream.load,
            slowness=slowness,
            errors=errors,
        )
        for connection in self._accepted:
            connection.send(status)

    def _review_health(self) -> None:
        """Tell what has changed since it was told."""
        health = self._upstream.health
        slowness, errors = self._told_health
        ratio = health.slowness / slowness
        if (
            max(ratio, 1.0 / ratio) > HEALTH_RATIO
            or abs(health.errors - errors) > HEALTH_ERRORS
        ):
            self._tell_status()

    def announce(self) -> None:
        """Tell all daemons which state of the store this one knows."""
        pong = self._pong(0)
        for connection in self._accepted:
            connection.send(pong)

    def start_call(
        self,
        candidate: upstream_choice.Candidate,
        run: frames.Run,
        on_reply: peer_link.OnReply,
    ) -> Callable[[], None]:
        """Send a call; on_reply gets None if the daemon was lost.

        Returns:
            What cancels the call.
        """
        if candidate is self._own_candidate:
            call = self._upstream.submit(run, on_reply)
            return lambda: self._upstream.cancel(call)
        link = self._links.get(candidate.member.daemon_id)
        if link is None or not link.is_open:
            on_reply(
                frames.Refused(
                    call_id=run.call_id,
                    reason=enums.RefusalReason.PEER_UNREACHABLE.value,
                    is_local=True,
                    has_arrived=False,
                    load=0.0,
                )
            )
            return lambda: None
        link.wanted_at = self._clock.monotonic()
        link.start_call(run, on_reply)
        return lambda: link.cancel_call(run.call_id)

    def send(self, daemon_id: ids.DaemonId, message: frames.AnyFrame) -> bool:
        """Send a message; return False if the daemon is not reachable."""
        link = self._links.get(daemon_id)
        if link is None:
            return False
        link.wanted_at = self._clock.monotonic()
        return link.send(message)

    def connect(self, daemon_id: ids.DaemonId) -> None:
        """Connect to a daemon because messages to it will follow."""
        now = self._clock.monotonic()
        self._want(daemon_id, now)
        link = self._links.get(daemon_id)
        if link is not None:
            link.tick(now)

    async def async_listen(self) -> None:
        """Take connections of other daemons from now on."""
        loop = asyncio.get_running_loop()
        host, port = self._address
        self._server = await loop.create_server(
            lambda: frame_link.FrameConnection(
                self._on_message, self._on_accepted, self._on_accepted_lost
            ),
            host,
            port,
            backlog=1024,
            reuse_address=True,
        )

    def tick(self) -> None:
        """Connect, ping and drop silent connections."""
        now = self._clock.monotonic()
        if now - self._reviewed_at < REVIEW_S:
            return
        self._review(now)
        self._review_health()
        self.tell_crashes()
        for connection in list(self._accepted):
            if connection.silent_s > ACCEPTED_SILENT_S:
                connection.close('silent')

    def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for link in self._links.values():
            link.close('stopped')
        for connection in list(self._accepted):
            connection.close('stopped')

    # Requests that crash upstreams.

    def tell_crashes(self) -> None:
        """Send what other daemons have to know of ends of upstreams."""
        self._crashes.tick(
            link for link in self._links.values() if link.is_feed
        )

    def send_to_all(self, message: frames.AnyFrame) -> None:
        """Send a message over all connections."""
        for link in self._links.values():
            link.send(message)
        for connection in self._accepted:
            connection.send(message)

    # Outgoing connections.

    def _review(self, now: float) -> None:
        """Bring the connections in line with what is of use."""
        self._reviewed_at = now
        feeds = set(self._plan.feeds) if self._members else set()
        for daemon_id in feeds:
            self._want(daemon_id, now)
        self._by_service = {}
        for service, called_at in list(self._called_at.items()):
            if now - called_at > UNUSED_S:
                del self._called_at[service]
                continue
            subset = self._plan.subset(service, self._is_failing)
            self._by_service[service] = [
                link
                for daemon_id in subset
                if (link := self._want(daemon_id, now)) is not None
            ]
        self._index()
        for daemon_id, link in list(self._links.items()):
            link.is_feed = daemon_id in feeds
            if now - link.wanted_at > UNUSED_S and not link.has_calls:
                del self._links[daemon_id]
                link.close('not used')
                continue
            link.tick(now)

    def _index(self) -> None:
        self._candidates = {
            service: [link.candidate for link in links]
            for service, links in self._by_service.items()
        }
        own_service = self._own.service
        if own_service in self._called_at:
            self._candidates.setdefault(own_service, []).append(
                self._own_candidate
            )

    def _want(
        self, daemon_id: ids.DaemonId, now: float
    ) -> peer_link.PeerLink | None:
        member = self._members.get(daemon_id)
        if member is None:
            return None
        link = self._links.get(daemon_id)
        if link is None:
            link = self._links[daemon_id] = peer_link.PeerLink(
                member,
                clock=self._clock,
                hello=self._hello,
                log=self._log,
                on_message=self._on_message,
            )
        link.wanted_at = now
        return link

    def _is_failing(self, daemon_id: ids.DaemonId) -> bool:
        link = self._links.get(daemon_id)
        return link is not None and link.is_failing

    # Incoming connections.

    def _on_accepted(self, connection: frame_link.FrameConnection) -> None:
        self._accepted.add(connection)
        connection.send(self._hello())

    def _on_accepted_lost(
        self, connection: frame_link.FrameConnection, reason: str
    ) -> None:
        del reason
        self._accepted.discard(connection)
        lost = [key for key in self._running if key[0] is connection]
        for key in lost:
            self._upstream.cancel(self._running.pop(key))

    # Messages.

    def _on_message(
        self,
        connection: frame_link.FrameConnection,
        message: frames.AnyFrame,
    ) -> None:
        if isinstance(message, frames.Run):
            self._take_call(connection, message)
        elif isinstance(
            message, frames.Answer | frames.Refused | frames.Failed
        ):
            link = self._link_of(connection)
            if link is not None:
                link.take_reply(message)
        elif isinstance(message, frames.Cancel):
            call = self._running.pop((connection, message.call_id), None)
            if call is not None:
                self._upstream.cancel(call)
        elif isinstance(message, frames.Ping):
            connection.send(self._pong(message.sequence))
        elif isinstance(message, frames.Pong):
            self._take_pong(connection, message)
        else:
            self._on_rare_message(connection, message)

    def _on_rare_message(
        self,
        connection: frame_link.FrameConnection,
        message: frames.AnyFrame,
    ) -> None:
        if isinstance(message, frames.Hello):
            self._take_hello(connection, message)
        elif isinstance(message, frames.Status):
            self._take_status(connection, message)
        elif isinstance(message, frames.Borrow):
            connection.send(self._on_borrow(message))
        elif isinstance(message, frames.Lend):
            self._on_lend(message)
        elif isinstance(message, frames.FetchRules):
            document = self._rules.document()
            if document is not None:
                connection.send(document)
        elif isinstance(message, frames.RulesDocument):
            self._rules.take(message)
        elif isinstance(message, frames.FetchMembers):
            connection.send(self._membership.document(message.start))
        elif isinstance(message, frames.MembersDocument):
            self._membership.take(message)
        else:
            self._on_crash_message(connection, message)

    def _on_crash_message(
        self,
        connection: frame_link.FrameConnection,
        message: frames.AnyFrame,
    ) -> None:
        sender = connection.daemon_id
        if isinstance(message, frames.CrashReport):
            connection.send(self._crashes.take_report(message, sender))
            self.tell_crashes()
        elif isinstance(message, frames.CrashSeen):
            self._crashes.take_seen(message, sender)
        elif isinstance(message, frames.Verdicts):
            reply = self._crashes.take_verdicts(message, sender)
            if reply is not None:
                connection.send(reply)

    def _take_status(
        self, connection: frame_link.FrameConnection, status: frames.Status
    ) -> None:
        link = self._link_of(connection)
        if link is None:
            return
        candidate = link.candidate
        was_serving = candidate.is_serving
        candidate.is_serving = status.is_serving
        candidate.note_load(status.load)
        candidate.note_health(status.slowness, status.errors)
        if status.is_serving and not was_serving and candidate.is_reachable:
            self._on_reached(link.member.service)

    def _hello(self) -> frames.Hello:
        return frames.Hello(
            daemon_id=self._own.daemon_id, started_at=self._started_at
        )

    def _take_hello(
        self, connection: frame_link.FrameConnection, hello: frames.Hello
    ) -> None:
        if connection not in self._accepted:
            if connection.daemon_id != hello.daemon_id:
                connection.close(f'address is of {hello.daemon_id} now')
            return
        connection.daemon_id = hello.daemon_id
        link = self._links.get(ids.DaemonId(hello.daemon_id))
        if link is not None and not link.is_open:
            # It lives, so a pause after failed tries is of no use.
            link.connect_soon()
        if not self._members:
            # Nothing was read of the store yet; it may be away.
            connection.send(frames.FetchMembers(start=-1))
            connection.send(frames.FetchRules())

    def _link_of(
        self, connection: frame_link.FrameConnection
    ) -> peer_link.PeerLink | None:
        link = self._links.get(ids.DaemonId(connection.daemon_id or ''))
        if link is None or not link.owns(connection):
            return None
        return link

    def _take_call(
        self, connection: frame_link.FrameConnection, run: frames.Run
    ) -> None:
        key = (connection, run.call_id)

        def deliver(reply: upstream_side.Reply) -> None:
            self._running.pop(key, None)
            connection.send(reply)

        call = self._upstream.submit(run, deliver)
        if call.state is not call.state.ENDED:
            self._running[key] = call

    def _pong(self, sequence: int) -> frames.Pong:
        knowledge = self._knowledge
        return frames.Pong(
            sequence=sequence,
            rules_version=knowledge.rules_version,
            rules_age_s=min(knowledge.rules_age_s, 1e9),
            members_end=knowledge.members_end,
            members_age_s=min(knowledge.members_age_s, 1e9),
            is_serving=self._upstream.is_serving,
            load=self._upstream.load,
            slowness=self._upstream.health.slowness,
            errors=self._upstream.health.errors,
            reads_store=(
                self._rules.gets_answers and self._membership.gets_answers
            ),
            verdicts=self._crashes.digest,
        )

    def _take_pong(
        self, connection: frame_link.FrameConnection, pong: frames.Pong
    ) -> None:
        link = self._link_of(connection)
        if link is None:
            return
        was_usable = link.candidate.is_reachable and link.candidate.is_serving
        asked_at = link.take_pong(pong)
        if link.candidate.is_serving and not was_usable:
            self._on_reached(link.member.service)
        self._crashes.compare(link, pong.verdicts)
        knowledge = self._knowledge
        if pong.rules_version > knowledge.rules_version:
            self._fetch('rules', pong.rules_version, link)
        if pong.members_end > knowledge.members_end:
            self._fetch('members', pong.members_end, link)
        if asked_at is None:
            return
        if pong.rules_version == knowledge.rules_version:
            knowledge.note_rules(
                pong.rules_version, asked_at - pong.rules_age_s
            )
        if pong.members_end == knowledge.members_end:
            knowledge.note_members(
                pong.members_end, asked_at - pong.members_age_s
            )

    def _fetch(self, what: str, end: int, link: peer_link.PeerLink) -> None:
        """Ask for a document, unless the same was just asked for."""
        now = self._clock.monotonic()
        if now - self._fetched_at.get((what, end), -FETCH_S) < FETCH_S:
            return
        self._fetched_at = {
            key: at
            for key, at in self._fetched_at.items()
            if now - at < FETCH_S
        }
        self._fetched_at[what, end] = now
        if what == 'rules':
            link.send(frames.FetchRules())
        else:
            link.send(frames.FetchMembers(start=self._knowledge.members_end))
