"""Outgoing connection to one other daemon."""

import asyncio
from collections.abc import Callable
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import upstream_choice
from sassafraswood.models import fleet
from sassafraswood.protocol import frames
from sassafraswood.sidecar import upstream_side
from sassafraswood.transport import frame_link
from sassafraswood.transport import json_log

# Pings to daemons that tell the state of the store, in seconds; a fifth of
# the time in which rules have to be in force.
FEED_PING_S: Final = 0.4
# Pings to a daemon of which nothing else was heard for this time, in seconds;
# half of the time until it counts as silent.
IDLE_PING_S: Final = 0.8
# A ping that stays without an answer for this time, in seconds, shows a silent
# connection; a slow VM takes about a second.
SILENT_S: Final = 1.6
# First and longest wait for a connection, in seconds. A VM that has no power
# yet drops the first packet, which the kernel sends again after a second; a
# new try comes sooner. A connection takes 2 ms.
CONNECT_TIMEOUT_S: Final = 0.2
CONNECT_TIMEOUT_MAX_S: Final = 1.0
# First and longest pause between tries to connect, in seconds.
RECONNECT_S: Final = 0.1
RECONNECT_MAX_S: Final = 0.8

OnMessage = Callable[[frame_link.FrameConnection, frames.AnyFrame], None]
OnReply = Callable[[upstream_side.Reply | None], None]


class PeerLink:
    """Keeps a connection to a daemon while it is wanted.

    Attributes:
        member: Record of the daemon.
        candidate: What is known of its upstream.
        reads_store: Whether it says that it reads the store itself.
        is_feed: Whether it is asked often for the state of the store.
        wanted_at: When it was last of use; monotonic time in seconds.
        connection_count: Number of connections so far.
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
        """Start without a connection."""
        self.member = member
        self.candidate = upstream_choice.Candidate(member)
        self.reads_store = False
        self.is_feed = False
        self.wanted_at = clock.monotonic()
        self.connection_count = 0
        self._clock = clock
        self._hello = hello
        self._log = log
        self._on_message = on_message
        self._connection: frame_link.FrameConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._is_closed = False
        self._has_failed = False
        self._connect_at = 0.0
        self._pause_s = RECONNECT_S
        self._timeout_s = CONNECT_TIMEOUT_S
        self._sequence = 0
        self._pinged: dict[int, float] = {}
        self._pinged_at = 0.0
        self._calls: dict[int, OnReply] = {}

    @property
    def is_open(self) -> bool:
        """Return whether messages can be sent."""
        return self._connection is not None

    @property
    def has_calls(self) -> bool:
        """Return whether calls wait for an answer."""
        return bool(self._calls)

    @property
    def is_failing(self) -> bool:
        """Return whether the daemon is known to take no calls now."""
        if self.candidate.is_reachable:
            return not self.candidate.is_serving
        return self._has_failed

    def owns(self, connection: frame_link.FrameConnection) -> bool:
        """Return whether a message came over this connection."""
        return self._connection is connection

    def send(self, message: frames.AnyFrame) -> bool:
        """Send a message; return False without a connection."""
        if self._connection is None:
            return False
        self._connection.send(message)
        return True

    def start_call(self, run: frames.Run, on_reply: OnReply) -> None:
        """Send a call; on_reply gets None if the daemon is lost."""
        self._calls[run.call_id] = on_reply
        self.send(run)

    def cancel_call(self, call_id: int) -> None:
        """Tell that nobody waits for the answer of a call."""
        if self._calls.pop(call_id, None) is not None:
            self.send(frames.Cancel(call_id=call_id))

    def take_reply(self, reply: upstream_side.Reply) -> None:
        """Hand over the answer of a call."""
        on_reply = self._calls.pop(reply.call_id, None)
        if on_reply is not None:
            on_reply(reply)

    def take_pong(self, pong: frames.Pong) -> float | None:
        """Take the state of the daemon.

        Returns:
            When the ping was sent that it answers; None if it answers none.
        """
        self.candidate.is_serving = pong.is_serving
        self.candidate.note_load(pong.load)
        self.candidate.note_health(pong.slowness, pong.errors)
        self.reads_store = pong.reads_store
        if not self.candidate.is_reachable:
            self.candidate.is_reachable = True
            self._has_failed = False
            self._pause_s = RECONNECT_S
            self._timeout_s = CONNECT_TIMEOUT_S
            self._log.change('peer_reached', peer=self.member.daemon_id)
        return self._pinged.pop(pong.sequence, None)

    def connect_soon(self) -> None:
        """Try to connect without a pause; the daemon has shown itself."""
        self._connect_at = 0.0
        self._timeout_s = CONNECT_TIMEOUT_S
        if self._connecting is not None:
            # Its first packet may be lost.
            self._connecting.cancel()

    def tick(self, now: float) -> None:
        """Connect, ping, or drop a silent connection.

        Args:
            now: Monotonic time in seconds.
        """
        if self._connection is None:
            if self._connecting is None and now >= self._connect_at:
                self._connecting = asyncio.get_running_loop().create_task(
                    self._async_connect()
                )
            return
        heard_s = self._connection.silent_s
        oldest = next(iter(self._pinged.values()), now)
        if now - oldest > SILENT_S and heard_s > SILENT_S:
            self._connection.close('silent')
            return
        interval_s = FEED_PING_S if self.is_feed else IDLE_PING_S
        if now - self._pinged_at < interval_s:
            return
        # The other end drops connections on which it hears nothing.
        is_quiet = now - self._pinged_at >= 2.0 * IDLE_PING_S
        if self.is_feed or is_quiet or heard_s >= IDLE_PING_S:
            self._ping(now)

    def close(self, reason: str) -> None:
        """Close for good; open calls are told."""
        self._is_closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        self._drop(reason)

    async def _async_connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self.member.address
        try:
            async with asyncio.timeout(self._timeout_s):
                _, connection = await loop.create_connection(
                    lambda: frame_link.FrameConnection(
                        self._on_message, _wait_for_task, self._on_lost
                    ),
                    host,
                    port,
                )
        except OSError:
            # A VM that is down is tried again; TimeoutError is an OSError.
            self._timeout_s = min(CONNECT_TIMEOUT_MAX_S, 2.0 * self._timeout_s)
            self._delay()
            return
        finally:
            self._connecting = None
        self._take_connection(connection)

    def _take_connection(self, connection: frame_link.FrameConnection) -> None:
        if self._is_closed:
            connection.close('not wanted any more')
            return
        if not connection.is_open:
            self._delay()
            return
        self._connection = connection
        self.connection_count += 1
        connection.daemon_id = self.member.daemon_id
        connection.send(self._hello())
        self._ping(self._clock.monotonic())

    def _on_lost(
        self, connection: frame_link.FrameConnection, reason: str
    ) -> None:
        if self._connection is not connection:
            return
        self._log.change(
            'peer_lost',
            peer=self.member.daemon_id,
            reason=reason,
            open_calls=len(self._calls),
        )
        self._drop(reason)
        self._delay()

    def _delay(self) -> None:
        self._has_failed = True
        self._connect_at = self._clock.monotonic() + self._pause_s
        self._pause_s = min(RECONNECT_MAX_S, 2.0 * self._pause_s)

    def _drop(self, reason: str) -> None:
        connection, self._connection = self._connection, None
        self.candidate.is_reachable = False
        self.candidate.is_serving = False
        self.candidate.forget()
        self.reads_store = False
        self._pinged.clear()
        if connection is not None and connection.is_open:
            connection.close(reason)
        calls, self._calls = self._calls, {}
        for on_reply in calls.values():
            on_reply(None)

    def _ping(self, now: float) -> None:
        self._sequence += 1
        self._pinged[self._sequence] = now
        self._pinged_at = now
        self.send(frames.Ping(sequence=self._sequence))


def _wait_for_task(connection: frame_link.FrameConnection) -> None:
    """Do nothing: a cancelled task closes the connection that it made."""
    del connection
