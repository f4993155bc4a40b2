"""Connections to peers and dispatch of the messages on them."""

import asyncio
from collections.abc import Callable, Iterable
import functools
import socket
import sys
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import answer_memory
from sassafraswood.coordination import peer_plan
from sassafraswood.coordination import store_knowledge
from sassafraswood.coordination import upstream_choice
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.sidecar import body_parts
from sassafraswood.sidecar import crash_exchange
from sassafraswood.sidecar import evacuation_exchange
from sassafraswood.sidecar import member_follower
from sassafraswood.sidecar import peer_link
from sassafraswood.sidecar import rules_follower
from sassafraswood.sidecar import upstream_side
from sassafraswood.transport import frame_link
from sassafraswood.transport import json_log

# Interval between reviews of all connections; a quarter of the shortest ping
# interval.
REVIEW_INTERVAL_S: Final = 0.1
# The connection to a peer that was not used for this time is closed.
UNUSED_S: Final = 60.0
# An accepted connection on which no message arrives for this time is closed;
# the peer sends pings four times as often.
ACCEPTED_SILENT_S: Final = 6.4
# A document is not requested again within this time; a large one takes about
# 0.1 s between failure domains.
FETCH_RETRY_S: Final = 0.5
# Peers get the health of the local upstream at once when its slowness changes
# by this ratio or its error fraction by this difference.
SLOWNESS_CHANGE_RATIO: Final = 1.5
ERROR_FRACTION_CHANGE: Final = 0.1


class Peers:
    """Keeps connections to peers, sends calls to them and runs theirs."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        own: fleet.Member,
        plan: peer_plan.PeerPlan,
        upstream: upstream_side.UpstreamSide,
        knowledge: store_knowledge.StoreKnowledge,
        rules: rules_follower.RulesFollower,
        evacuations: evacuation_exchange.EvacuationExchange,
        membership: member_follower.MemberFollower,
        log: json_log.JsonLog,
        crashes: crash_exchange.CrashExchange,
        on_reached: Callable[[ids.ServiceName], None],
        on_lend: Callable[[frames.LendTokens], None],
        on_borrow: Callable[[frames.BorrowTokens], frames.LendTokens],
    ) -> None:
        """Create it without connections.

        Args:
            clock: Clock that also counts time while the VM is suspended.
            own: Member record of this daemon.
            plan: Selects the daemons to connect to.
            upstream: Runs calls at the local upstream.
            knowledge: Versions and ages of the data known from the store.
            rules: Traffic rules, exchanged with peers.
            evacuations: Evacuated failure domains, exchanged with peers.
            membership: Member records, exchanged with peers.
            log: Structured log.
            crashes: Exchange of crash reports and quarantine verdicts.
            on_reached: Called with a service when a daemon of it begins to
                accept calls.
            on_lend: Called with the reply of a lender.
            on_borrow: Returns the reply to a borrower.
        """
        self._clock = clock
        self._own = own
        self._plan = plan
        self._upstream = upstream
        self._knowledge = knowledge
        self._rules = rules
        self._evacuations = evacuations
        self._membership = membership
        self._log = log
        self._crashes = crashes
        self._on_reached = on_reached
        self._on_lend = on_lend
        self._on_borrow = on_borrow
        self._started_at = int(clock.wall() * 1e6)
        self._members: dict[ids.DaemonId, fleet.Member] = {}
        self._links: dict[ids.DaemonId, peer_link.PeerLink] = {}
        # Links to daemons that are no longer members, until their calls have
        # ended; a daemon removes its record before it ends its last calls.
        self._retiring_links: list[peer_link.PeerLink] = []
        self._accepted: set[frame_link.FrameConnection] = set()
        # Accepted connections on which a reply may be on its way.
        self._replied: set[frame_link.FrameConnection] = set()
        # Accepted connections whose peer has not confirmed that it sends no
        # further calls.
        self._unconfirmed: set[frame_link.FrameConnection] = set()
        # Bytes of replies that are held for one peer before its further calls
        # are refused.
        self.max_unsent_bytes = sys.maxsize
        # Limits the bytes of answers that are held for all peers.
        self.answer_memory = answer_memory.AnswerMemory(
            clock, lambda: self.unsent_bytes
        )
        self._running: dict[
            tuple[frame_link.FrameConnection, int],
            upstream_side.UpstreamCall,
        ] = {}
        self._own_candidate = upstream_choice.Candidate(own)
        self._own_candidate.is_reachable = True
        # Services that were called within UNUSED_S, with the time of the last
        # call; monotonic time in seconds.
        self._called_at: dict[ids.ServiceName, float] = {}
        self._links_by_service: dict[
            ids.ServiceName, list[peer_link.PeerLink]
        ] = {}
        self._candidates: dict[
            ids.ServiceName, list[upstream_choice.Candidate]
        ] = {}
        self._reviewed_at = 0.0
        self._fetched_at: dict[tuple[str, int], float] = {}
        # Slowness and error fraction of the local upstream as last sent, and
        # whether a pace was.
        self._sent_health = 1.0, 0.0
        self._has_sent_pace = False
        self._server: asyncio.Server | None = None

    @property
    def reachable_count(self) -> int:
        """Return the number of reachable peers."""
        return sum(
            link.candidate.is_reachable for link in self._links.values()
        )

    @property
    def accepted_count(self) -> int:
        """Return the number of connections accepted from peers."""
        return len(self._accepted)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of replies that are still held for peers."""
        return sum(connection.unsent_bytes for connection in self._accepted)

    @property
    def has_undelivered_replies(self) -> bool:
        """Return whether a reply has not reached the machine of its peer.

        What the kernel holds counts only while the peer is heard of. Other
        messages do not count, since some are on their way at any time.
        """
        for connection in list(self._replied):
            if not connection.undelivered_bytes:
                self._replied.discard(connection)
        return any(
            connection.unsent_bytes
            or connection.silent_s < peer_link.SILENCE_TIMEOUT_S
            for connection in self._replied
        )

    @property
    def has_unconfirmed_peers(self) -> bool:
        """Return whether a peer may have sent calls that were not read here.

        A peer that is not heard of is not waited for.
        """
        return any(
            connection.silent_s < peer_link.SILENCE_TIMEOUT_S
            for connection in self._unconfirmed
        )

    def request_last_calls(self) -> None:
        """Ask peers to confirm that they have read that no calls are taken.

        A peer confirms it by a reply behind the calls that it has sent.
        """
        self._unconfirmed |= self._accepted
        self._send_to_accepted(frames.Ping(sequence=0))

    def candidates(
        self, service: ids.ServiceName
    ) -> list[upstream_choice.Candidate]:
        """Return the daemons of a service, and keep connections to them.

        The first call for a service starts to connect.
        """
        now = self._clock.monotonic()
        is_new = service not in self._called_at
        self._called_at[service] = now
        if is_new:
            self._review(now)
        return self._candidates.get(service, [])

    def has_daemons(self, service: ids.ServiceName) -> bool:
        """Return whether a daemon may soon accept calls of a service.

        It may be starting, or the connection to it is being opened.
        """
        return (
            not self._members
            or (
                service == self._own.service
                and not self._upstream.is_evacuated
            )
            or bool(self._links_by_service.get(service))
        )

    def is_reachable(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether a peer is connected and has reported its state."""
        link = self._links.get(daemon_id)
        return link is not None and link.candidate.is_reachable

    def has_store_access(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether a peer reports that it reads the store."""
        link = self._links.get(daemon_id)
        return link is not None and link.has_store_access

    def set_members(self, members: Iterable[fleet.Member]) -> None:
        """Set the members; close connections to removed or changed ones.

        Calls that are in flight on such a connection end before.
        """
        self._members = {
            member.daemon_id: member
            for member in members
            if member.daemon_id != self._own.daemon_id
        }
        self._plan.set_members(self._members.values())
        for daemon_id, link in list(self._links.items()):
            if self._members.get(daemon_id) != link.member:
                del self._links[daemon_id]
                self._retiring_links.append(link)
        self._review(self._clock.monotonic())

    @property
    def failure_domains(self) -> set[ids.FailureDomain]:
        """Return the failure domains of all members; empty before them."""
        if not self._members:
            return set()
        return {
            self._own.failure_domain,
            *(item.failure_domain for item in self._members.values()),
        }

    def set_evacuated(self, domains: frozenset[ids.FailureDomain]) -> None:
        """Select no daemons of evacuated failure domains for calls.

        They refuse calls themselves; not sending any saves the way there.
        """
        self._plan.set_evacuated(domains)
        self._review(self._clock.monotonic())
        for service in list(self._links_by_service):
            self._on_reached(service)

    def set_serving(self, is_serving: bool) -> None:
        """Send all peers whether this daemon accepts calls."""
        self._own_candidate.record_serving(is_serving)
        self._own_candidate.record_reported_load(self._upstream.load)
        self._send_status()
        if is_serving:
            self._on_reached(self._own.service)

    def _send_status(self) -> None:
        """Send load and health of the local upstream to all peers."""
        health = self._upstream.health
        slowness, errors = health.slowness, health.errors
        self._sent_health = slowness, errors
        self._own_candidate.record_reported_health(slowness, errors)
        pace_per_s = self._upstream.pace_per_s
        self._has_sent_pace = pace_per_s > 0.0
        self._own_candidate.record_pace(pace_per_s)
        status = frames.Status(
            is_serving=self._upstream.is_serving,
            load=self._upstream.load,
            slowness=slowness,
            errors=errors,
            pace_per_s=pace_per_s,
        )
        self._send_to_accepted(status)

    def _review_health(self) -> None:
        """Send the status if health or pace have changed since it was sent."""
        health = self._upstream.health
        slowness, errors = self._sent_health
        ratio = health.slowness / slowness
        if (
            max(ratio, 1.0 / ratio) > SLOWNESS_CHANGE_RATIO
            or abs(health.errors - errors) > ERROR_FRACTION_CHANGE
            or self._has_sent_pace != (self._upstream.pace_per_s > 0.0)
        ):
            self._send_status()

    def announce(self) -> None:
        """Send all peers the versions of rules and members known here."""
        self._send_to_accepted(self._build_pong(0))

    def start_call(
        self,
        candidate: upstream_choice.Candidate,
        run: frames.Run,
        on_reply: peer_link.OnReply,
        large_body: bytearray | None = None,
    ) -> Callable[[], None]:
        """Send a call; on_reply gets None if the connection is lost.

        Args:
            candidate: Daemon that the call is sent to.
            run: The message that asks for the call.
            on_reply: Called with the reply.
            large_body: Body that is sent in parts, if any.

        Returns:
            Function that cancels the call.
        """
        if candidate is self._own_candidate:
            if large_body is None:
                call = self._upstream.submit(run, on_reply)
            else:
                call = self._submit_large(run, on_reply, large_body)
            return lambda: self._upstream.cancel(call)
        link = self._links.get(candidate.member.daemon_id)
        if link is None or not link.may_take(run):
            # A peer of an earlier version would run it without its body.
            on_reply(
                frames.Refused(
                    call_id=run.call_id,
                    reason=enums.RefusalReason.PEER_UNREACHABLE.value,
                    is_local=True,
                    has_reached_upstream=False,
                    load=0.0,
                )
            )
            return lambda: None
        link.used_at = self._clock.monotonic()
        link.start_call(run, on_reply, large_body)
        return lambda: link.cancel_call(run.call_id)

    def _submit_large(
        self,
        run: frames.Run,
        on_reply: peer_link.OnReply,
        large_body: bytearray,
    ) -> upstream_side.UpstreamCall:
        """Run a call at the local upstream, with its body in parts."""
        loop = asyncio.get_running_loop()
        sender = body_parts.BodySender(
            large_body, lambda data: self._upstream.feed_body(call, data)
        )
        call = self._upstream.submit(
            run,
            on_reply,
            # A part may be asked for while another one is written.
            lambda end: loop.call_soon(sender.send_up_to, end),
        )
        return call

    def send(self, daemon_id: ids.DaemonId, message: frames.AnyFrame) -> bool:
        """Send a message; return False if the peer is not connected."""
        link = self._links.get(daemon_id)
        if link is None:
            return False
        link.used_at = self._clock.monotonic()
        return link.send(message)

    def connect(self, daemon_id: ids.DaemonId) -> None:
        """Start to connect to a peer to which messages will be sent."""
        now = self._clock.monotonic()
        self._use_link(daemon_id, now)
        link = self._links.get(daemon_id)
        if link is not None:
            link.tick(now)

    async def async_accept(self, bound: socket.socket) -> None:
        """Start to accept connections of peers on a bound socket.

        Raises:
            OSError: Another socket listens on the address.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: frame_link.FrameConnection(
                self._on_message, self._on_accepted, self._on_accepted_lost
            ),
            sock=bound,
            backlog=1024,
        )

    def tick(self) -> None:
        """Maintain the connections, and send health and crash reports."""
        now = self._clock.monotonic()
        if now - self._reviewed_at < REVIEW_INTERVAL_S:
            return
        self._review(now)
        self._review_health()
        self.send_crash_reports()
        for connection in list(self._accepted):
            if connection.silent_s > ACCEPTED_SILENT_S:
                connection.close('silent')

    def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        self._log.run_each(
            'stop_failed',
            [
                functools.partial(link.close, 'stopped')
                for link in (*self._links.values(), *self._retiring_links)
            ]
            + [
                functools.partial(connection.close, 'stopped')
                for connection in self._accepted
            ],
        )

    # Crash reports and verdicts.

    def send_crash_reports(self) -> None:
        """Send pending crash reports to the peers that count crashes."""
        self._crashes.tick(
            link for link in self._links.values() if link.is_store_source
        )

    def send_to_all(self, message: frames.AnyFrame) -> None:
        """Send a message over all connections."""
        self._log.run_each(
            'send_failed',
            [
                functools.partial(link.send, message)
                for link in self._links.values()
            ],
        )
        self._send_to_accepted(message)

    def _send_to_accepted(self, message: frames.AnyFrame) -> None:
        self._log.run_each(
            'send_failed',
            [
                functools.partial(connection.send, message)
                for connection in self._accepted
            ],
        )

    # Outgoing connections.

    def _review(self, now: float) -> None:
        """Open the connections that are needed and close unused ones."""
        self._reviewed_at = now
        sources = set(self._plan.store_sources) if self._members else set()
        for daemon_id in sources:
            self._use_link(daemon_id, now)
        self._links_by_service = {}
        for service, called_at in list(self._called_at.items()):
            if now - called_at > UNUSED_S:
                del self._called_at[service]
                continue
            subset = self._plan.subset(service, self._is_failing)
            self._links_by_service[service] = [
                link
                for daemon_id in subset
                if (link := self._use_link(daemon_id, now)) is not None
            ]
        self._index_candidates()
        for daemon_id, link in self._links.items():
            link.is_store_source = daemon_id in sources
        self._log.run_each(
            'tick_failed',
            [
                functools.partial(self._review_link, daemon_id, link, now)
                for daemon_id, link in self._links.items()
            ]
            + [
                functools.partial(self._review_retired_link, link, now)
                for link in self._retiring_links
            ],
        )

    def _review_link(
        self, daemon_id: ids.DaemonId, link: peer_link.PeerLink, now: float
    ) -> None:
        if now - link.used_at > UNUSED_S and not link.has_calls:
            del self._links[daemon_id]
            link.close('connection is unused')
        else:
            link.tick(now)

    def _review_retired_link(
        self, link: peer_link.PeerLink, now: float
    ) -> None:
        """Close the link to a former member once its calls have ended."""
        if link.has_calls:
            link.tick(now)
        else:
            self._retiring_links.remove(link)
            link.close('daemon is no longer a member')

    def _index_candidates(self) -> None:
        self._candidates = {
            service: [link.candidate for link in links]
            for service, links in self._links_by_service.items()
        }
        own_service = self._own.service
        if own_service in self._called_at:
            self._candidates.setdefault(own_service, []).append(
                self._own_candidate
            )

    def _use_link(
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
                hello=self._build_hello,
                log=self._log,
                on_message=self._on_message,
            )
        link.used_at = now
        return link

    def _is_failing(self, daemon_id: ids.DaemonId) -> bool:
        link = self._links.get(daemon_id)
        return link is not None and link.is_failing

    # Incoming connections.

    def _on_accepted(self, connection: frame_link.FrameConnection) -> None:
        self._accepted.add(connection)
        connection.send(self._build_hello())

    def _on_accepted_lost(
        self, connection: frame_link.FrameConnection, reason: str
    ) -> None:
        del reason
        self._accepted.discard(connection)
        self._replied.discard(connection)
        self._unconfirmed.discard(connection)
        lost = [key for key in self._running if key[0] is connection]
        for key in lost:
            call = self._running.pop(key)
            try:
                self._upstream.cancel(call)
            except Exception:
                self._log.unexpected('cancel_failed', call=key[1])

    # Messages.

    def _on_message(
        self,
        connection: frame_link.FrameConnection,
        message: frames.Received,
    ) -> None:
        """Handle a message; a failure to do so concerns its call alone."""
        try:
            self._dispatch(connection, message)
        except Exception:
            self._log.unexpected(
                'message_failed',
                peer=connection.daemon_id or '',
                kind=type(message).__name__,
            )
            if isinstance(message, frames.Run):
                self._running.pop((connection, message.call_id), None)
                connection.send(
                    frames.CallFailed(
                        call_id=message.call_id,
                        reason=upstream_side.INTERNAL_ERROR,
                        load=0.0,
                    )
                )

    def _dispatch(
        self,
        connection: frame_link.FrameConnection,
        message: frames.Received,
    ) -> None:
        if isinstance(message, frames.Run):
            self._handle_call(connection, message)
        elif isinstance(
            message, frames.Answer | frames.Refused | frames.CallFailed
        ):
            link = self._find_link(connection)
            if link is not None:
                link.handle_reply(message)
        elif isinstance(message, frames.Cancel):
            call = self._running.pop((connection, message.call_id), None)
            if call is not None:
                self._upstream.cancel(call)
        elif isinstance(message, frames.BodyPart):
            call = self._running.get((connection, message.call_id))
            if call is not None:
                self._upstream.feed_body(call, message.data)
        elif isinstance(message, frames.BodyRequest):
            link = self._find_link(connection)
            if link is not None:
                link.send_body(message)
        elif isinstance(message, frames.Ping):
            connection.send(self._build_pong(message.sequence))
        elif isinstance(message, frames.Pong):
            self._unconfirmed.discard(connection)
            self._handle_pong(connection, message)
        elif isinstance(message, frames.Invalid):
            self._handle_invalid(connection, message)
        else:
            self._on_control_message(connection, message)

    def _handle_invalid(
        self,
        connection: frame_link.FrameConnection,
        message: frames.Invalid,
    ) -> None:
        """End the call of an undecodable message; the others go on."""
        self._log.decision(
            'message_rejected',
            peer=connection.daemon_id or '',
            kind=message.kind,
            call=message.call_id,
            error=message.error,
        )
        if connection.daemon_id is None:
            connection.close(f'cannot decode frames: {message.error}')
        elif message.call_id is not None and message.is_run:
            if (connection, message.call_id) in self._running:
                # A refusal would deny the run of the call with this id.
                return
            connection.send(
                frames.Refused(
                    call_id=message.call_id,
                    reason=enums.RefusalReason.MALFORMED_REQUEST.value,
                    is_local=True,
                    has_reached_upstream=False,
                    load=min(self._upstream.load, frames.MAX_NUMBER),
                )
            )
        elif message.call_id is not None and message.is_reply:
            link = self._find_link(connection)
            if link is not None:
                link.handle_reply(
                    frames.CallFailed(
                        call_id=message.call_id,
                        reason='malformed_reply',
                        load=link.candidate.load,
                    )
                )

    def _on_control_message(
        self,
        connection: frame_link.FrameConnection,
        message: frames.AnyFrame,
    ) -> None:
        if isinstance(message, frames.Hello):
            self._handle_hello(connection, message)
        elif isinstance(message, frames.Status):
            self._handle_status(connection, message)
        elif isinstance(message, frames.BorrowTokens):
            connection.send(self._on_borrow(message))
        elif isinstance(message, frames.LendTokens):
            self._on_lend(message)
        elif isinstance(message, frames.FetchRules):
            document = self._rules.document()
            if document is not None:
                connection.send(document)
        elif isinstance(message, frames.RulesDocument):
            self._rules.take(message)
        elif isinstance(message, frames.FetchEvacuations):
            evacuations = self._evacuations.document()
            if evacuations is not None:
                connection.send(evacuations)
        elif isinstance(message, frames.Evacuations):
            self._evacuations.take(message)
        elif isinstance(message, frames.FetchMemberRecords):
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
            connection.send(self._crashes.handle_report(message, sender))
            self.send_crash_reports()
        elif isinstance(message, frames.CrashConfirmation):
            self._crashes.handle_confirmation(message, sender)
        elif isinstance(message, frames.Verdicts):
            reply = self._crashes.handle_verdicts(message, sender)
            if reply is not None:
                connection.send(reply)

    def _handle_status(
        self, connection: frame_link.FrameConnection, status: frames.Status
    ) -> None:
        link = self._find_link(connection)
        if link is None:
            return
        candidate = link.candidate
        was_serving = candidate.is_serving
        candidate.record_serving(status.is_serving)
        candidate.record_reported_load(status.load)
        candidate.record_reported_health(status.slowness, status.errors)
        candidate.record_pace(status.pace_per_s)
        if status.is_serving and not was_serving and candidate.is_reachable:
            self._on_reached(link.member.service)

    def _build_hello(self) -> frames.Hello:
        return frames.Hello(
            daemon_id=self._own.daemon_id,
            started_at=self._started_at,
            takes_body_parts=True,
        )

    def _handle_hello(
        self, connection: frame_link.FrameConnection, hello: frames.Hello
    ) -> None:
        connection.takes_body_parts = hello.takes_body_parts
        if connection not in self._accepted:
            if connection.daemon_id != hello.daemon_id:
                connection.close(
                    f'address belongs to daemon {hello.daemon_id} now'
                )
            return
        connection.daemon_id = hello.daemon_id
        link = self._links.get(ids.DaemonId(hello.daemon_id))
        if link is not None and not link.is_open:
            # The peer is running, so the reconnect backoff is not needed.
            link.connect_soon()
        if not self._members:
            # Nothing was read from the store yet; it may be unreachable.
            connection.send(frames.FetchMemberRecords(start=-1))
            connection.send(frames.FetchRules())
            connection.send(frames.FetchEvacuations())

    def _find_link(
        self, connection: frame_link.FrameConnection
    ) -> peer_link.PeerLink | None:
        link = self._links.get(ids.DaemonId(connection.daemon_id or ''))
        if link is not None and link.is_current(connection):
            return link
        for link in self._retiring_links:
            if link.is_current(connection):
                return link
        return None

    def _handle_call(
        self, connection: frame_link.FrameConnection, run: frames.Run
    ) -> None:
        key = (connection, run.call_id)
        if key in self._running:
            # Its first message is answered; a second run could run it twice.
            self._log.decision(
                'call_repeated',
                peer=connection.daemon_id or '',
                call=run.call_id,
            )
            return
        if connection.unsent_bytes > self.max_unsent_bytes:
            # Another daemon or the caller may send the call again.
            connection.send(
                frames.Refused(
                    call_id=run.call_id,
                    reason=enums.RefusalReason.MEMORY_FULL.value,
                    is_local=True,
                    has_reached_upstream=False,
                    load=0.0,
                )
            )
            return

        def deliver(reply: upstream_side.Reply) -> None:
            self._running.pop(key, None)
            if connection.is_open:
                self._replied.add(connection)
            # A peer that reads takes no part of the memory for long.
            if (
                isinstance(reply, frames.Answer)
                and connection.unsent_bytes
                and not self.answer_memory.has_room(len(reply.body))
            ):
                reply = frames.CallFailed(
                    call_id=run.call_id,
                    reason=enums.RefusalReason.MEMORY_FULL.value,
                    load=reply.load,
                )
            connection.send(reply)

        call = self._upstream.submit(
            run,
            deliver,
            lambda end: connection.send(
                frames.BodyRequest(call_id=run.call_id, end=end)
            ),
        )
        if call.state is not call.state.ENDED:
            self._running[key] = call

    def _build_pong(self, sequence: int) -> frames.Pong:
        knowledge = self._knowledge
        return frames.Pong(
            sequence=sequence,
            rules_version=knowledge.rules_version,
            rules_age_s=min(knowledge.rules_age_s, 1e9),
            members_end_offset=knowledge.members_end_offset,
            members_age_s=min(knowledge.members_age_s, 1e9),
            is_serving=self._upstream.is_serving,
            load=self._upstream.load,
            slowness=self._upstream.health.slowness,
            errors=self._upstream.health.errors,
            has_store_access=(
                self._rules.has_recent_response
                and self._membership.has_recent_response
            ),
            verdicts=self._crashes.digest,
            evacuations=self._evacuations.revision,
            pace_per_s=self._upstream.pace_per_s,
        )

    def _handle_pong(
        self, connection: frame_link.FrameConnection, pong: frames.Pong
    ) -> None:
        link = self._find_link(connection)
        if link is None:
            return
        was_usable = link.candidate.is_reachable and link.candidate.is_serving
        pinged_at = link.handle_pong(pong)
        if link.candidate.is_serving and not was_usable:
            self._on_reached(link.member.service)
        self._crashes.compare(link, pong.verdicts)
        knowledge = self._knowledge
        if pong.rules_version > knowledge.rules_version:
            self._fetch('rules', pong.rules_version, link)
        own_revision = self._evacuations.revision
        if pong.evacuations > own_revision:
            self._fetch('evacuations', pong.evacuations, link)
        if pong.members_end_offset > knowledge.members_end_offset:
            self._fetch('members', pong.members_end_offset, link)
        if pinged_at is None:
            return
        # An age below 0 is unknown. The age counts for rules and evacuations
        # together, so a peer that knows more or none of these vouches for
        # nothing.
        if (
            0 < pong.evacuations <= own_revision
            and pong.rules_version == knowledge.rules_version
            and pong.rules_age_s >= 0.0
        ):
            knowledge.note_rules(
                pong.rules_version, pinged_at - pong.rules_age_s
            )
        if (
            pong.members_end_offset == knowledge.members_end_offset
            and pong.members_age_s >= 0.0
        ):
            knowledge.note_members(
                pong.members_end_offset, pinged_at - pong.members_age_s
            )

    def _fetch(self, kind: str, end: int, link: peer_link.PeerLink) -> None:
        """Request a document unless it was requested within FETCH_RETRY_S.

        Args:
            kind: Either "rules", "evacuations" or "members".
            end: Version of the rules, revision of the evacuations, or end of
                the member records.
            link: Link to the peer that has the document.
        """
        now = self._clock.monotonic()
        if (
            now - self._fetched_at.get((kind, end), -FETCH_RETRY_S)
            < FETCH_RETRY_S
        ):
            return
        self._fetched_at = {
            key: at
            for key, at in self._fetched_at.items()
            if now - at < FETCH_RETRY_S
        }
        self._fetched_at[kind, end] = now
        if kind == 'rules':
            link.send(frames.FetchRules())
        elif kind == 'evacuations':
            link.send(frames.FetchEvacuations())
        else:
            link.send(
                frames.FetchMemberRecords(
                    start=self._knowledge.members_end_offset
                )
            )
