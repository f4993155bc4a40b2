"""Outgoing connection to one peer."""

import asyncio
from collections.abc import Callable
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import upstream_choice
from sassafraswood.models import fleet
from sassafraswood.protocol import frames
from sassafraswood.sidecar import body_parts
from sassafraswood.sidecar import upstream_side
from sassafraswood.transport import frame_link
from sassafraswood.transport import json_log

# Ping interval for store sources, which are the peers polled for the state of
# the store; a fifth of the time within which new rules have to be in force.
STORE_SOURCE_PING_INTERVAL_S: Final = 0.4
# Other peers get a ping after this time without a message from them; it is
# half of the time after which a connection counts as silent.
IDLE_PING_INTERVAL_S: Final = 0.8
# A connection is closed as silent if a ping gets no reply and no message
# arrives within this time; a slow VM takes about 1 s to reply.
SILENCE_TIMEOUT_S: Final = 1.6
# A peer whose kernel acknowledges nothing for this time is avoided, since the
# link to it may be cut. Kernels acknowledge within 0.05 s, also on slow VMs; a
# lost packet is sent again after 0.2 s.
UNACKNOWLEDGED_S: Final = 0.3
# The kernel is not asked while data of the peer has arrived within this time.
UNACKNOWLEDGED_CHECK_S: Final = 0.1
# Time for which it is avoided after each such observation; longer than the
# interval between two of them.
UNACKNOWLEDGED_AVOID_S: Final = 0.25
# First and longest timeout of an attempt to connect; a connection takes 2 ms.
# The first packet to a VM without power is lost. The kernel resends it after
# 1 s; a new attempt is made sooner.
CONNECT_TIMEOUT_S: Final = 0.2
CONNECT_TIMEOUT_MAX_S: Final = 1.0
# First and longest backoff between attempts to connect.
RECONNECT_BACKOFF_S: Final = 0.1
RECONNECT_BACKOFF_MAX_S: Final = 0.8

OnMessage = Callable[[frame_link.FrameConnection, frames.Received], None]
OnReply = Callable[[upstream_side.Reply | None], None]


class PeerLink:
    """Keeps a connection to a peer and reconnects until it is closed.

    Attributes:
        member: Member record of the peer.
        candidate: Load, health and reachability of its upstream.
        has_store_access: Whether it reports that it reads the store itself.
        is_store_source: Whether it is pinged often for the state of the store.
        used_at: When it was last used; monotonic time in seconds.
        connection_count: Number of connections opened so far.
    """

    def __init__(
        self,
        member: fleet.Member,
        *,
        clock: clock_module.Clock,
        hello: Callable[[], frames.Hello],
        log: json_log.JsonLog,
        on_message: OnMessage,
    ) -> None:
        """Create the link without a connection.

        Args:
            member: Member record of the peer.
            clock: Monotonic time.
            hello: Returns the first message of each connection.
            log: Log lines.
            on_message: Called with each connection and message received.
        """
        self.member = member
        self.candidate = upstream_choice.Candidate(member)
        self.has_store_access = False
        self.is_store_source = False
        self.used_at = clock.monotonic()
        self.connection_count = 0
        self._clock = clock
        self._hello = hello
        self._log = log
        self._on_message = on_message
        self._connection: frame_link.FrameConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._is_closed = False
        self._has_failed = False
        self._reconnect_at = 0.0
        self._backoff_s = RECONNECT_BACKOFF_S
        self._timeout_s = CONNECT_TIMEOUT_S
        self._sequence = 0
        self._pinged_at_by_sequence: dict[int, float] = {}
        self._pinged_at = 0.0
        # Last time at which the kernel of the peer is known to have
        # acknowledged everything, or data of the peer arrived.
        self._acknowledged_at = 0.0
        self._reply_callbacks: dict[int, OnReply] = {}
        # Bodies that are sent in parts, by call id.
        self._bodies: dict[int, body_parts.BodySender] = {}

    @property
    def is_open(self) -> bool:
        """Return whether there is a connection to send messages on."""
        return self._connection is not None

    @property
    def has_calls(self) -> bool:
        """Return whether calls wait for a reply."""
        return bool(self._reply_callbacks)

    @property
    def is_failing(self) -> bool:
        """Return whether the peer is known to accept no calls now."""
        if self.candidate.is_reachable:
            return not self.candidate.is_serving
        return self._has_failed

    def is_current(self, connection: frame_link.FrameConnection) -> bool:
        """Return whether this is the current connection of the link."""
        return self._connection is connection

    def send(self, message: frames.AnyFrame) -> bool:
        """Send a message; return False if there is no connection."""
        if self._connection is None:
            return False
        self._connection.send(message)
        return True

    def may_take(self, run: frames.Run) -> bool:
        """Return whether a call can be sent, as it is, to the peer."""
        return self._connection is not None and (
            not run.body_bytes or self._connection.takes_body_parts
        )

    def start_call(
        self,
        run: frames.Run,
        on_reply: OnReply,
        large_body: bytearray | None = None,
    ) -> None:
        """Send a call; on_reply gets None if the connection is lost.

        Args:
            run: The message that asks for the call.
            on_reply: Called with the reply.
            large_body: Body that the peer gets in parts, if any.
        """
        self._reply_callbacks[run.call_id] = on_reply
        if large_body is not None:
            self._bodies[run.call_id] = body_parts.BodySender(
                large_body,
                lambda data: self.send(
                    frames.BodyPart(call_id=run.call_id, data=data)
                ),
            )
        self.send(run)

    def send_body(self, request: frames.BodyRequest) -> None:
        """Send parts of a body that the peer asks for."""
        sender = self._bodies.get(request.call_id)
        if sender is not None:
            sender.send_up_to(request.end)

    def cancel_call(self, call_id: int) -> None:
        """Cancel a call at the peer; its reply is discarded."""
        self._bodies.pop(call_id, None)
        if self._reply_callbacks.pop(call_id, None) is not None:
            self.send(frames.Cancel(call_id=call_id))

    def handle_reply(self, reply: upstream_side.Reply) -> None:
        """Pass a reply to its call, unless that was cancelled."""
        self._bodies.pop(reply.call_id, None)
        on_reply = self._reply_callbacks.pop(reply.call_id, None)
        if on_reply is not None:
            on_reply(reply)

    def handle_pong(self, pong: frames.Pong) -> float | None:
        """Update load, health and reachability from the reply to a ping.

        Returns:
            Monotonic time in seconds at which the ping was sent; None if the
            message replies to no ping of this connection.
        """
        self.candidate.record_serving(pong.is_serving)
        self.candidate.record_reported_load(pong.load)
        self.candidate.record_reported_health(pong.slowness, pong.errors)
        self.candidate.record_pace(pong.pace_per_s)
        self.has_store_access = pong.has_store_access
        if not self.candidate.is_reachable:
            self.candidate.is_reachable = True
            self._has_failed = False
            self._backoff_s = RECONNECT_BACKOFF_S
            self._timeout_s = CONNECT_TIMEOUT_S
            self._log.change('peer_reached', peer=self.member.daemon_id)
        return self._pinged_at_by_sequence.pop(pong.sequence, None)

    def connect_soon(self) -> None:
        """Connect without backoff since the peer has connected to this one."""
        self._reconnect_at = 0.0
        self._timeout_s = CONNECT_TIMEOUT_S
        if self._connecting is not None:
            # The first packet of the running attempt may be lost.
            self._connecting.cancel()

    def tick(self, now: float) -> None:
        """Connect, send a ping, or close a silent connection.

        Args:
            now: Monotonic time in seconds.
        """
        if self._connection is None:
            if self._connecting is None and now >= self._reconnect_at:
                self._connecting = asyncio.get_running_loop().create_task(
                    self._async_connect()
                )
                # A task that is cancelled before it has begun runs none of
                # its code, but its callbacks.
                self._connecting.add_done_callback(self._on_attempt_done)
            return
        silent_s = self._connection.silent_s
        self._review_acknowledgement(now, silent_s)
        oldest_pinged_at = next(
            iter(self._pinged_at_by_sequence.values()), now
        )
        if (
            now - oldest_pinged_at > SILENCE_TIMEOUT_S
            and silent_s > SILENCE_TIMEOUT_S
        ):
            self._connection.close('silent')
            return
        interval_s = (
            STORE_SOURCE_PING_INTERVAL_S
            if self.is_store_source
            else IDLE_PING_INTERVAL_S
        )
        if now - self._pinged_at < interval_s:
            return
        # The peer closes connections on which no message arrives.
        needs_keepalive = now - self._pinged_at >= 2.0 * IDLE_PING_INTERVAL_S
        if (
            self.is_store_source
            or needs_keepalive
            or silent_s >= IDLE_PING_INTERVAL_S
        ):
            self._send_ping(now)

    def _review_acknowledgement(self, now: float, silent_s: float) -> None:
        """Avoid the peer while its kernel acknowledges nothing.

        A silent connection is closed much later, since its calls may still
        get a reply.
        """
        assert self._connection is not None
        if silent_s < UNACKNOWLEDGED_CHECK_S:
            self._acknowledged_at = now - silent_s
            return
        if not self._connection.undelivered_bytes:
            self._acknowledged_at = now
            return
        if now - self._acknowledged_at >= UNACKNOWLEDGED_S:
            self.candidate.avoid_until = max(
                self.candidate.avoid_until, now + UNACKNOWLEDGED_AVOID_S
            )

    def close(self, reason: str) -> None:
        """Close the link for good; calls in flight get None as reply."""
        self._is_closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        self._reset(reason)

    async def _async_connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self.member.address
        try:
            async with asyncio.timeout(self._timeout_s):
                _, connection = await loop.create_connection(
                    self._create_connection, host, port
                )
        except OSError:
            # The VM may be down and come back. TimeoutError is an OSError.
            self._timeout_s = min(CONNECT_TIMEOUT_MAX_S, 2.0 * self._timeout_s)
            self._schedule_reconnect()
            return
        self._use_connection(connection)

    def _create_connection(self) -> frame_link.FrameConnection:
        connection = frame_link.FrameConnection(
            self._on_message, _wait_for_task, self._on_lost
        )
        # The first message of the peer may arrive before the task that
        # connects goes on.
        connection.daemon_id = self.member.daemon_id
        return connection

    def _on_attempt_done(self, task: asyncio.Task[None]) -> None:
        if self._connecting is task:
            self._connecting = None

    def _use_connection(self, connection: frame_link.FrameConnection) -> None:
        if self._is_closed:
            connection.close('link was closed while connecting')
            return
        if not connection.is_open:
            self._schedule_reconnect()
            return
        self._connection = connection
        self.connection_count += 1
        self._acknowledged_at = self._clock.monotonic()
        connection.send(self._hello())
        self._send_ping(self._clock.monotonic())

    def _on_lost(
        self, connection: frame_link.FrameConnection, reason: str
    ) -> None:
        if self._connection is not connection:
            return
        self._log.change(
            'peer_lost',
            peer=self.member.daemon_id,
            reason=reason,
            open_calls=len(self._reply_callbacks),
        )
        self._reset(reason)
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        self._has_failed = True
        self._reconnect_at = self._clock.monotonic() + self._backoff_s
        self._backoff_s = min(RECONNECT_BACKOFF_MAX_S, 2.0 * self._backoff_s)

    def _reset(self, reason: str) -> None:
        connection, self._connection = self._connection, None
        self.candidate.is_reachable = False
        self.candidate.is_serving = False
        self.candidate.forget()
        self.has_store_access = False
        self._pinged_at_by_sequence.clear()
        if connection is not None and connection.is_open:
            connection.close(reason)
        self._bodies.clear()
        calls, self._reply_callbacks = self._reply_callbacks, {}
        for call_id, on_reply in calls.items():
            try:
                on_reply(None)
            except Exception:
                self._log.unexpected(
                    'reply_failed', peer=self.member.daemon_id, call=call_id
                )

    def _send_ping(self, now: float) -> None:
        self._sequence += 1
        self._pinged_at_by_sequence[self._sequence] = now
        self._pinged_at = now
        self.send(frames.Ping(sequence=self._sequence))


def _wait_for_task(connection: frame_link.FrameConnection) -> None:
    """Do nothing; the connecting task takes the connection.

    If that task is cancelled, the connection is closed with it.
    """
    del connection
