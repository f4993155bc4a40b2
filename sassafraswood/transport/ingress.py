"""HTTP/1.1 server that passes complete requests to a handler."""

import asyncio
import collections
from collections.abc import Callable, Iterable
import dataclasses
import functools
import heapq
import operator
import socket
import traceback
import typing
from typing import Final

from sassafraswood.models import fields
from sassafraswood.models import traffic
from sassafraswood.transport import acceptor
from sassafraswood.transport import ingress_connection
from sassafraswood.transport import json_log
from sassafraswood.transport import tcp

LISTEN_BACKLOG: Final = 1024
# Interval at which connections that still wait are accepted when the listener
# has closed.
ACCEPT_INTERVAL_S: Final = 0.02
# While new connections wait for descriptors, at most this many are closed at
# once that are idle, and were for this time; a client that has just connected
# or got a response may be sending its next request.
CROWDED_CLOSES: Final = 16
CROWDED_IDLE_S: Final = 1.0
DEFAULT_LIMITS: Final = traffic.ClientLimits(
    max_header_bytes=16384,
    max_body_bytes=1 << 20,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class IngressServer(ingress_connection.ConnectionOwner):
    """Accepts client connections on one address."""

    def __init__(
        self,
        handler: ingress_connection.RequestHandler,
        names: fields.FieldNames,
        log: json_log.JsonLog | None = None,
    ) -> None:
        """Initialize a server that does not listen yet.

        Args:
            handler: Handler of the requests.
            names: Names of the header fields that this system uses.
            log: Log of errors that the handler raises; None for no log.
        """
        super().__init__(handler, names, DEFAULT_LIMITS)
        self._log = log
        # Fraction of the descriptors that clients leave to other connections.
        self.reserve_fraction = acceptor.DEFAULT_RESERVE_FRACTION
        # Open connections beyond which the oldest one without a request that
        # is handled is closed; 0 for no limit.
        self.max_connections = 0
        self._server: acceptor.Acceptor | None = None
        # Listener that is closed, and has connections for free descriptors.
        self._closing_listener: acceptor.Acceptor | None = None
        # Connections that were accepted when the listener was closed.
        self._accept_tasks: set[asyncio.Task[typing.Any]] = set()

    @property
    def is_crowded(self) -> bool:
        """Return whether new connections wait for free descriptors.

        Connections close after their next response then.
        """
        return self._server is not None and self._server.is_paused

    @property
    def has_waiting_clients(self) -> bool:
        """Return whether a request is on its way, or has no response yet."""
        return self._is_accepting_rest or any(
            connection.awaits_response for connection in self.connections
        )

    @property
    def _is_accepting_rest(self) -> bool:
        """Return whether connections of the closed listener still wait."""
        return bool(self._accept_tasks) or self._closing_listener is not None

    @property
    def expects_requests(self) -> bool:
        """Return whether more than the rest of a request is waited for.

        A request of which a part was received can be refused.
        """
        return self._is_accepting_rest or any(
            connection.awaits_response
            and connection.state
            is not ingress_connection.ClientState.RECEIVING
            for connection in self.connections
        )

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that are still held for clients."""
        total = 0
        for connection in list(self._unsent):
            size = connection.unsent_bytes
            if not size:
                self._unsent.discard(connection)
            total += size
        return total

    def count_states(self) -> dict[str, int]:
        """Return the number of connections in each state that any is in."""
        return collections.Counter(
            connection.state.value for connection in self.connections
        )

    def log_failure(
        self, request: ingress_connection.IngressRequest | None
    ) -> None:
        """Log the error that is being handled, with its traceback.

        Args:
            request: Request that caused it, if one was being received.
        """
        if self._log is None:
            return
        self._log.decision(
            'request_raised',
            request=(
                '' if request is None else request.attempt_id.decode('latin-1')
            ),
            error=traceback.format_exc(),
        )

    async def async_listen(self, address: tuple[str, int]) -> None:
        """Start accepting connections.

        Args:
            address: Host and port to listen on.

        Raises:
            OSError: If the address cannot be bound.
        """
        await self.async_accept(tcp.bind(address))

    async def async_accept(self, bound: socket.socket) -> None:
        """Start accepting connections on a bound socket.

        Raises:
            OSError: Another socket listens on the address.
        """
        server = acceptor.Acceptor(
            lambda: ingress_connection.IngressConnection(self),
            backlog=LISTEN_BACKLOG,
            reserve_fraction=self.reserve_fraction,
            on_crowded=self._make_room,
        )
        await server.async_open(bound)
        self._server = server

    def set_time_limits(self, limits: traffic.ClientLimits) -> None:
        """Set how long a client may take or be idle; sizes stay as they are.

        Args:
            limits: Limits whose times apply.
        """
        self.limits = dataclasses.replace(
            self.limits,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def close_slow_connections(self, now: float) -> None:
        """Close connections that are idle or whose client is too slow.

        Args:
            now: Time of the event loop, in seconds.
        """
        self.is_short_of_room = (
            self.is_crowded or self.unsent_bytes > self.held.limit // 2
        )
        self._run_each(
            'tick_failed',
            [
                functools.partial(connection.close_if_slow, now, self.limits)
                for connection in self.connections
            ],
        )

    def note_accepted(
        self, connection: ingress_connection.IngressConnection, descriptor: int
    ) -> None:
        """Register a new connection with its descriptor."""
        super().note_accepted(connection, descriptor)
        if 0 < self.max_connections < len(self.connections):
            self._close_oldest()
        if self._server is not None:
            self._server.note_accepted(descriptor)

    def _close_oldest(self) -> None:
        """Close the connection that has waited for a request for longest."""
        oldest = min(
            (
                connection
                for connection in self.connections
                if connection.state
                is not ingress_connection.ClientState.HANDLING
            ),
            key=operator.attrgetter('since'),
            default=None,
        )
        if oldest is not None:
            oldest.abort()

    def _make_room(self) -> None:
        """Make room for connections that wait for descriptors.

        Idle ones are closed first, then those whose client does not end its
        side behind its last response, then those that send slowest. Last
        are those that send so far ahead that requests wait unparsed.
        """
        if self._log is not None:
            self._log.decision(
                'connections_wait', open_connections=len(self.connections)
            )
        now = asyncio.get_running_loop().time()
        old = [
            connection
            for connection in self.connections
            if connection.since <= now - CROWDED_IDLE_S
        ]
        by_age = operator.attrgetter('since')
        idle = heapq.nsmallest(
            CROWDED_CLOSES,
            (
                item
                for item in old
                if item.may_be_closed and not item.has_unsent_data
            ),
            key=by_age,
        )
        for connection in idle:
            connection.close_idle_soon()
        room = CROWDED_CLOSES - len(idle)
        lingering = heapq.nsmallest(
            room, (item for item in old if item.is_lingering), key=by_age
        )
        for connection in lingering:
            connection.abort()
        receiving = heapq.nsmallest(
            room - len(lingering),
            (
                item
                for item in old
                if item.state is ingress_connection.ClientState.RECEIVING
            ),
            key=lambda item: item.measure_rate(now),
        )
        for connection in receiving:
            connection.evict()
        ahead = heapq.nlargest(
            room - len(lingering) - len(receiving),
            (item for item in self.connections if item.has_kept_bytes),
            key=operator.attrgetter('undelivered_bytes'),
        )
        for connection in ahead:
            connection.end_input()

    def close_idle(self) -> None:
        """Close the idle connections on which no request has arrived.

        New ones are not idle: their first request may be on its way.
        """
        self._run_each(
            'stop_failed',
            [connection.close_if_unused for connection in self.connections],
        )

    def stop_listening(self, handshake_s: float = 0.0) -> None:
        """Stop accepting connections; established ones stay open.

        Those that wait to be accepted are established: their clients may have
        sent requests, and the close of the listener would reset them. Those
        for which there are no descriptors are accepted later.

        Args:
            handshake_s: Time for which connections that clients are opening
                are still completed.
        """
        server, self._server = self._server, None
        if server is None:
            return
        self._accept(server.close(handshake_s))
        if server.has_waiting:
            self._closing_listener = server
            self._accept_rest()

    def _accept_rest(self) -> None:
        if self._closing_listener is None:
            return
        self._accept(self._closing_listener.take_waiting())
        if not self._closing_listener.has_waiting:
            self._closing_listener = None
            return
        # Their descriptors are for those that wait.
        self.close_idle()
        asyncio.get_running_loop().call_later(
            ACCEPT_INTERVAL_S, self._accept_rest
        )

    def _accept(self, accepted: list[socket.socket]) -> None:
        loop = asyncio.get_running_loop()
        for connection in accepted:
            task = loop.create_task(
                loop.connect_accepted_socket(
                    lambda: ingress_connection.IngressConnection(self),
                    connection,
                )
            )
            self._accept_tasks.add(task)
            task.add_done_callback(self._accept_tasks.discard)

    def disconnect(self) -> None:
        """Close all connections, and refuse requests that are incomplete."""
        self._run_each(
            'stop_failed',
            [connection.disconnect for connection in self.connections],
        )

    def _run_each(
        self, event: str, steps: Iterable[Callable[[], object]]
    ) -> None:
        """Take steps; with a log, one that raises does not keep the others."""
        if self._log is not None:
            self._log.run_each(event, steps)
            return
        for step in steps:
            step()
