"""Connection of a client: parses its requests and sends their responses."""

import asyncio
import collections
import enum
import hashlib
import http
import socket
import typing
from typing import Final, Protocol

import httptools

from sassafraswood.coordination import client_budget
from sassafraswood.models import fields
from sassafraswood.models import traffic
from sassafraswood.transport import exchange
from sassafraswood.transport import parse_turns
from sassafraswood.transport import tcp

# Requests on one connection that wait for the response to an earlier one; from
# this number on, received bytes are kept unparsed.
MAX_PIPELINED_REQUESTS: Final = 16
# Requests of one connection that are started before others get their turn.
MAX_STARTED_AT_ONCE: Final = 8
# Requests of one connection that are handled behind an earlier one.
MAX_REQUESTS_AHEAD: Final = 7
# Bytes that are parsed at once: of a body, of what was received at once, and
# otherwise, so that they hold few requests.
MAX_PARSED_BYTES: Final = 16 * 1024
MAX_DIRECT_BYTES: Final = 4 * 1024
MAX_PARSED_HEAD_BYTES: Final = 1024
# Unparsed bytes of one client above which nothing more is received from it.
MAX_KEPT_BYTES: Final = 32 * 1024
# Bytes of responses that a client has not read, above which none of its
# further requests is handled.
MAX_UNREAD_BYTES: Final = 16 * 1024
# Time without progress after which clients that do not read their responses
# are disconnected, where these fill the memory or descriptors are scarce.
UNREAD_STALL_S: Final = 2.0
# Larger bodies of requests are not copied when they are complete.
LARGE_BODY_BYTES: Final = 4 * 1024 * 1024
# Larger bodies are not copied behind the head of their response.
MAX_COPIED_BYTES: Final = 64 * 1024
# Allowed beyond the header limit for what is parsed at once, and for framing.
MAX_FRAMING_BYTES: Final = 2 * MAX_PARSED_BYTES
# Time between the decision to close an idle connection and its close, in which
# a request is read that arrived before the decision.
IDLE_CLOSE_DELAY_S: Final = 0.01
# Time in which a new client is expected to send its first request.
FIRST_REQUEST_TIME_S: Final = 1.0
# Responses that leave a connection open while a server stops, since another
# request is being received; a client that sends on for ever is sent away then.
MAX_LATE_RESPONSES: Final = 100
# Retry-After of requests that are refused because the bodies held reach their
# limit; large bodies take about that long to be forwarded.
RETRY_AFTER_S: Final = 1.0
# Interval at which bytes of a response are sent ahead; a client that has gone
# is noticed after two of them.
PROBE_INTERVAL_S: Final = 0.2
# Time without input after which a client has sent all that follows its last
# response, and the longest time for which that is read and dropped.
LINGER_S: Final = 2.0
MAX_LINGER_S: Final = 15.0
# Begin of each response, whatever its status.
_RESPONSE_BEGIN: Final = b'HTTP/1.1 '
_STATUS_LINES: Final = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}\r\n'.encode()
    for status in http.HTTPStatus
}


class ClientState(enum.StrEnum):
    """What a connection does at a moment."""

    # Nothing was received yet.
    NEW = 'new'
    IDLE = 'idle'
    # The kernel has received bytes that the event loop has not read.
    UNREAD = 'unread'
    RECEIVING = 'receiving'
    HANDLING = 'handling'
    CLOSING = 'closing'


# States in which nothing of a request is known here.
_SILENT_STATES: Final = frozenset({ClientState.NEW, ClientState.IDLE})
# States in which a request has no response yet.
_WAITING_STATES: Final = frozenset(
    {ClientState.UNREAD, ClientState.RECEIVING, ClientState.HANDLING}
)


class RequestRejectedError(Exception):
    """Stops the parser behind the request that was rejected."""


class IngressRequest:
    """A complete request of a client.

    Attributes:
        connection: Connection that the response is sent on.
        method: HTTP method.
        target: Request target.
        host: Value of the Host field.
        head: Encoded header fields to forward.
        body: Body without its transfer encoding; empty if it is large.
        large_body: Body of more than LARGE_BODY_BYTES, or None.
        body_hash: SHA-256 hash of a large body.
        attempt_id: Value of the attempt id field; empty without one.
        deadline_ms: Value of the deadline field; empty without one.
        key: API key; empty if its scheme is unknown, None without the field.
        received_at: Time of the event loop when the request was complete.
        is_closing: Whether the client asked to close the connection.
        has_body: Whether the body is complete; otherwise it was dropped,
            since the handler did not need it.
        held_bytes: Bytes that are reserved for the request.
        context: State that the handler keeps for the request.
        response: Status, head and body of the response while those of earlier
            requests are awaited.
    """

    __slots__ = (
        'attempt_id',
        'body',
        'body_hash',
        'connection',
        'context',
        'deadline_ms',
        'has_body',
        'head',
        'held_bytes',
        'host',
        'is_closing',
        'key',
        'large_body',
        'method',
        'received_at',
        'response',
        'target',
    )

    def __init__(self, connection: 'IngressConnection') -> None:
        """Initialize an empty request."""
        self.connection = connection
        self.method = b''
        self.target = b''
        self.host = b''
        self.head = b''
        self.body = b''
        self.large_body: bytearray | None = None
        self.body_hash = b''
        self.attempt_id = b''
        self.deadline_ms = b''
        self.key: bytes | None = None
        self.received_at = 0.0
        self.is_closing = False
        self.has_body = True
        self.held_bytes = 0
        self.context: typing.Any = None
        self.response: tuple[int, bytes, bytes] | None = None

    def reply(
        self,
        status: int,
        head: bytes = b'',
        body: bytes = b'',
    ) -> None:
        """Send the response, unless the client has disconnected.

        Args:
            status: HTTP status code.
            head: Encoded header fields, each with its line end.
            body: Body of the response.
        """
        self.connection.reply(self, status, head, body)


class RequestHandler(Protocol):
    """Handles the requests that a server receives."""

    def handle(self, request: IngressRequest) -> None:
        """Handle a complete request; its reply may be sent later."""

    def may_run_ahead(self, request: IngressRequest) -> bool:
        """Return whether to handle a request before earlier ones are answered.

        The connection may be lost before its response can be sent, so that
        its client sends it again.
        """

    def needs_body(self, request: IngressRequest) -> bool:
        """Return whether a request with a large body may need it.

        The head of the request is complete.
        """

    def abandon(self, request: IngressRequest) -> None:
        """Stop handling a request that gets no response of the handler.

        Its client has disconnected, or `handle` has raised an error.
        """


class ConnectionOwner:
    """What the connections of one server share.

    Attributes:
        handler: Handler of the requests.
        names: Names of the header fields that this system uses.
        limits: Limits on what clients send.
        held: Counts what is held of requests that have no response yet;
            servers may share it.
        turns: Gives turns to connections whose requests are slow to parse;
            servers may share it.
        is_short_of_room: Whether responses that clients have not read fill
            half of the memory that requests may hold, or new connections wait
            for descriptors.
        is_closing: Whether connections close after their next response.
        connections: The open connections.
        removed_fields: Fields that are not forwarded: those of a connection,
            and those that this system sets itself.
    """

    def __init__(
        self,
        handler: RequestHandler,
        names: fields.FieldNames,
        limits: traffic.ClientLimits,
    ) -> None:
        """Initialize the state without connections.

        Args:
            handler: Handler of the requests.
            names: Names of the header fields that this system uses.
            limits: Limits on what clients send.
        """
        self.handler = handler
        self.names = names
        self.limits = limits
        self.held = client_budget.ClientBudget()
        self.turns = parse_turns.ParseTurns()
        self.is_short_of_room = False
        self.is_closing = False
        self.connections: set[IngressConnection] = set()
        self.removed_fields = exchange.CONNECTION_FIELDS | {
            names.workspace,
            names.expected_instance,
            names.caller_service,
        }
        # Connections that had unsent data when they were last looked at.
        self._unsent: set[IngressConnection] = set()

    @property
    def is_crowded(self) -> bool:
        """Return whether new connections wait for free descriptors.

        Connections close after their next response then.
        """
        return False

    def note_accepted(
        self, connection: 'IngressConnection', descriptor: int
    ) -> None:
        """Register a new connection with its descriptor."""
        del descriptor
        self.connections.add(connection)

    def note_unsent(self, connection: 'IngressConnection') -> None:
        """Note that a client may not have read its response yet."""
        self._unsent.add(connection)

    def note_lost(self, connection: 'IngressConnection') -> None:
        """Note that a connection has ended."""
        self.connections.discard(connection)
        self._unsent.discard(connection)

    def log_failure(self, request: IngressRequest | None) -> None:
        """Log the error that is being handled, with its traceback.

        Args:
            request: Request that caused it, if one was being received.
        """


class IngressConnection(asyncio.Protocol):
    """Connection of a client, with responses in the order of requests.

    Requests are handled one at a time, but for those that may run ahead. The
    connection closes behind a response only if no later request was passed to
    the handler.
    """

    def __init__(self, server: ConnectionOwner) -> None:
        """Initialize a connection without a transport.

        Args:
            server: Server whose limits and handler apply.
        """
        self._server = server
        self._transport: asyncio.Transport | None = None
        # The parser holds methods of this object; this reference is dropped
        # with the connection, so that both are freed without a garbage
        # collection.
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._pending: collections.deque[IngressRequest] = collections.deque()
        # The request whose response is sent next, and later ones that are
        # handled or have their responses.
        self._current: IngressRequest | None = None
        self._ahead: collections.deque[IngressRequest] = collections.deque()
        self._delayed_bytes = 0
        self._incomplete: IngressRequest | None = None
        self._loop = asyncio.get_running_loop()
        self._is_closing = False
        # Whether no request is read after the pending ones.
        self._is_input_over = False
        # Bytes of the response to the current request that were sent ahead.
        self._sent_ahead_bytes = 0
        self._probe_timer: asyncio.TimerHandle | None = None
        self._close_timer: asyncio.TimerHandle | None = None
        # Encoded fields of the incomplete request that are forwarded, their
        # size, and the names of fields that are not.
        self._head: list[bytes] = []
        self._header_bytes = 0
        self._removed_fields: set[bytes] = set()
        # Header fields that delimit its body.
        self._framing: list[bytes] = []
        # Whether the client of the incomplete request waits for an interim
        # response before it sends the body.
        self._expects_continue = False
        # Whether the parser reads the head that _ignore_upgrade returned; the
        # head of the client was read before.
        self._is_behind_head = False
        # Time of the event loop when the connection began, a request began or
        # a response was sent, whichever is latest.
        self.since = self._loop.time()
        # Bytes received and bytes unsent when the progress was last looked at,
        # the time at which they had changed, and `since` at that time.
        self._received_bytes = 0
        # Those of them that came before the last response.
        self._bytes_before_close = 0
        self._progress = (0, 0)
        self._progress_at = self.since
        self._progress_since = self.since
        # Whether the client may not have received all of its response yet.
        self._is_delivering = False
        # Idle limit when the connection began or its last response was sent.
        self._idle_limit_s = server.limits.idle_timeout_s
        self.peer = ''
        # The only part of a body, or all parts of it.
        self._body_part = b''
        self._body = bytearray()
        self._body_bytes = 0
        # Hash of a large body, which is computed part by part.
        self._body_hash = hashlib.sha256()
        self._hashed_bytes = 0
        # Value of the Content-Length field; -1 without one.
        self._content_length = -1
        # Bytes that are reserved for the incomplete request, and those of
        # them for its head.
        self.held_bytes = 0
        self._held_head_bytes = 0
        self._is_holder = False
        # Whether the body of the incomplete request is needed; None before
        # the handler was asked.
        self._needs_body: bool | None = None
        # Bytes received since the parser last completed a header, a part of a
        # body or a request.
        self._unparsed_bytes = 0
        self._is_paused = False
        # Received bytes that are not parsed until earlier requests have their
        # responses. The end of input applies after them.
        self._kept = bytearray()
        self._is_receiving_paused = False
        self._has_eof = False
        self._is_advancing = False
        self._advance_handle: asyncio.Handle | None = None
        # Fields and body parts that the parser has delivered, and the number
        # of them behind the last complete request.
        self._event_count = 0
        self._first_event = 0
        self._waits_for_turn = False
        # Bytes of the responses since the transport was last empty.
        self._written_bytes = 0
        # Responses since the server began to stop.
        self._late_responses = 0
        # Whether the handler has raised an error.
        self._has_failed = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or handled."""
        return (
            self._current is None
            and self._incomplete is None
            and not self._pending
            and not self._kept
        )

    @property
    def may_be_closed(self) -> bool:
        """Return whether the connection is idle and is not closing yet."""
        return self.is_idle and not self._is_closing

    @property
    def state(self) -> ClientState:
        """Return what the connection does now."""
        if self._transport is None or self._is_closing:
            return ClientState.CLOSING
        if self._current is not None or self._pending:
            return ClientState.HANDLING
        if self._incomplete is not None or self._kept:
            return ClientState.RECEIVING
        if tcp.count_unread_bytes(self._transport):
            return ClientState.UNREAD
        return ClientState.IDLE if self._received_bytes else ClientState.NEW

    @property
    def awaits_first_request(self) -> bool:
        """Return whether the client has had no time to send a request."""
        return (
            self.state is ClientState.NEW
            and self._loop.time() - self.since < FIRST_REQUEST_TIME_S
        )

    @property
    def awaits_response(self) -> bool:
        """Return whether a request is on its way, or has no response yet."""
        return (
            self.awaits_first_request
            or self.state in _WAITING_STATES
            # The close would reset a client that sends on while it reads.
            or (
                self._is_closing
                and self._received_bytes > self._bytes_before_close
                and self.undelivered_bytes > 0
            )
        )

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that are still held for the client.

        A response is held as a whole until its last byte is sent.
        """
        if not self.has_unsent_data:
            self._written_bytes = 0
        return self._written_bytes + self._delayed_bytes

    @property
    def has_unsent_data(self) -> bool:
        """Return whether the client has not read all of its response."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    @property
    def _has_unread_bytes(self) -> bool:
        """Return whether the kernel holds bytes of the client."""
        return (
            self._transport is not None
            and tcp.count_unread_bytes(self._transport) > 0
        )

    def abort(self) -> None:
        """Close the connection without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after buffered data is sent."""
        if self._transport is not None and not self._is_closing:
            self._is_closing = True
            self._transport.close()

    def close_if_slow(self, now: float, limits: traffic.ClientLimits) -> None:
        """Close the connection if it is idle or its client is too slow.

        A request that is handled or pending is never cut off.

        Args:
            now: Time of the event loop, in seconds.
            limits: Limits on the time of a client.
        """
        if self._current is not None:
            return
        if self.has_unsent_data or (
            self._is_closing and self.undelivered_bytes
        ):
            limit_s = limits.idle_timeout_s
            if self._server.is_short_of_room:
                limit_s = min(limit_s, UNREAD_STALL_S)
            if self._measure_stall_s(now) > limit_s:
                self.abort()
        elif self._incomplete is not None:
            is_slow = (
                self._measure_stall_s(now) > limits.idle_timeout_s
                if self._body_bytes
                else now - self.since
                > limits.header_timeout_s + limits.idle_timeout_s
            )
            # What the process has not read yet is not the client's delay.
            if is_slow and not self._has_unread_bytes:
                self._reject(408)
        elif self.is_idle:
            # A lower limit is not known to a client that was idle before.
            limit_s = max(limits.idle_timeout_s, self._idle_limit_s)
            if (
                self._is_delivering or now - self.since > limit_s
            ) and self._measure_stall_s(now) > limit_s:
                self.close_idle_soon()

    @property
    def undelivered_bytes(self) -> int:
        """Return the bytes of responses that have not reached the client."""
        if self._transport is None:
            return 0
        return (
            self._transport.get_write_buffer_size()
            + tcp.count_undelivered_bytes(self._transport)
        )

    def _measure_stall_s(self, now: float) -> float:
        """Return the time without progress of the client, in seconds."""
        undelivered_bytes = self.undelivered_bytes
        self._is_delivering = undelivered_bytes > 0
        # What is received behind the last response is dropped.
        received_bytes = 0 if self._is_closing else self._received_bytes
        progress = (received_bytes, undelivered_bytes)
        if self._progress_since != self.since:
            self._progress_since = self._progress_at = self.since
            self._progress = progress
        elif self._progress != progress:
            self._progress_at = now
            self._progress = progress
        return now - self._progress_at

    def disconnect(self) -> None:
        """Close the connection, and refuse a request that is incomplete."""
        state = self.state
        if state is ClientState.RECEIVING:
            self._refuse_incomplete()
        elif state in _SILENT_STATES:
            self._close_silent()
        else:
            self.close()

    @property
    def has_kept_bytes(self) -> bool:
        """Return whether received bytes wait unparsed."""
        return len(self._kept) > 0

    def evict(self) -> None:
        """Refuse the incomplete request to make room for others."""
        if self._incomplete is not None:
            self._refuse_incomplete()

    @property
    def is_lingering(self) -> bool:
        """Return whether only the end of the client's side is awaited."""
        return self._is_closing and not self.undelivered_bytes

    def measure_rate(self, now: float) -> float:
        """Return the bytes per second of the request that is received.

        Args:
            now: Time of the event loop, behind the begin of the request.
        """
        size = self._header_bytes + self._body_bytes + len(self._kept)
        return size / (now - self.since)

    def close_if_unused(self) -> None:
        """Close the connection soon, if it is idle and not a new one."""
        if self.may_be_closed and not self.awaits_first_request:
            self.close_idle_soon()

    def close_idle_soon(self) -> None:
        """Close the connection, unless a request has arrived meanwhile."""
        self._loop.call_later(
            IDLE_CLOSE_DELAY_S, self._close_if_idle, self.since
        )

    def _close_if_idle(self, since: float) -> None:
        if self.since == since and self.state in _SILENT_STATES:
            self._close_silent()

    def _close_silent(self) -> None:
        """Close at once a connection on which nothing is on its way.

        The event loop closes it behind its next poll, and what arrives until
        then would be lost although its client had no sign of the close.
        """
        if self._transport is not None and not self.has_unsent_data:
            tcp.end_sending(self._transport)
        self.close()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure and register the established connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        connection = transport.get_extra_info('socket')
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peername = transport.get_extra_info('peername')
        self.peer = peername[0] if peername else ''
        self._transport.set_write_buffer_limits(MAX_UNREAD_BYTES)
        self._server.note_accepted(self, connection.fileno())

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of requests, or keep them for later."""
        self._received_bytes += len(data)
        if (
            self._kept
            or self._takes_turns
            or len(data) > MAX_DIRECT_BYTES
            or len(self._pending) >= MAX_PIPELINED_REQUESTS
        ):
            self._keep(data)
        else:
            self._receive(data)
        self._advance()

    @property
    def _takes_turns(self) -> bool:
        """Return whether the incomplete request is slow to parse."""
        return self.parsed_events >= parse_turns.MAX_EVENTS_AT_ONCE

    def _keep(self, data: bytes) -> None:
        """Keep received bytes until earlier requests have their responses."""
        if self._has_ended_reading:
            return
        self._kept += data
        self._server.held.take_anyway(len(data))

    def _take_kept(self, size: int) -> bytes:
        """Return the first kept bytes, which are kept no longer."""
        data = bytes(self._kept[:size])
        del self._kept[:size]
        self._server.held.release(len(data))
        return data

    def _receive(self, data: bytes) -> None:
        """Parse received bytes; answer what is no valid request."""
        try:
            self._parse(data)
        except httptools.HttpParserCallbackError as error:
            if not isinstance(error.__context__, RequestRejectedError):
                self._server.log_failure(self._incomplete)
                self._reject(500)
        except httptools.HttpParserError:
            self._reject(400)
        else:
            self._limit_unparsed_bytes(len(data))
            if self._incomplete is not None:
                self._count_incomplete()

    def _count_incomplete(self) -> None:
        """Reserve memory for the head of an incomplete request."""
        if not self._is_holder:
            self._is_holder = True
            self._server.held.add(self)
        size = (
            self._header_bytes
            + self._unparsed_bytes
            + client_budget.FIELD_BYTES
            * (
                len(self._head)
                + len(self._framing)
                + len(self._removed_fields)
            )
            - client_budget.FREE_HEAD_BYTES
        )
        if size <= self._held_head_bytes:
            return
        if self._take(size - self._held_head_bytes):
            self._held_head_bytes = size
        else:
            self._refuse_incomplete()

    def _take(self, size: int) -> bool:
        """Reserve memory for the incomplete request.

        Requests of other clients are refused if there is no room and they
        are to be given up first.

        Returns:
            Whether it was reserved.
        """
        held = self._server.held
        if not held.take(size) and not held.take_single(size, self):
            for victim in held.find_victims(size, self, self._loop.time()):
                typing.cast(IngressConnection, victim).evict()
            if not held.take(size):
                return False
        self.held_bytes += size
        return True

    def _refuse_incomplete(self) -> None:
        """Refuse a request of which nothing was forwarded."""
        self._reject(503, b'Retry-After: %.3f\r\n' % RETRY_AFTER_S)

    def eof_received(self) -> bool:
        """Answer the requests that were read, then close.

        A client that has closed its connection sends the same as one that
        only sends no further request. It answers any byte with a reset, and
        the next write meets the reset. So the first bytes of the response,
        which are the same for each status, are sent ahead one at a time; an
        interim response would not suit clients of HTTP/1.0.

        Returns:
            Whether the connection stays open.
        """
        self._has_eof = True
        self._advance()
        if self._is_closing:
            return False
        if self._probe_timer is None:
            self._probe()
        return True

    def _probe(self) -> None:
        """Send a byte of the response ahead, and go on while that is needed.

        It is until the close, or until the client is read from again.
        """
        self._probe_timer = None
        if self._transport is None or self._is_closing:
            return
        if not self._has_eof and not self._is_receiving_paused:
            return
        if (
            self._current is not None
            and not self.has_unsent_data
            and self._sent_ahead_bytes < len(_RESPONSE_BEGIN)
        ):
            start = self._sent_ahead_bytes
            self._sent_ahead_bytes += 1
            self._transport.write(_RESPONSE_BEGIN[start : start + 1])
        self._probe_timer = self._loop.call_later(
            PROBE_INTERVAL_S, self._probe
        )

    def _parse(self, data: bytes) -> None:
        """Pass received bytes to the parser.

        Raises:
            HttpParserError: The bytes are no request, or were rejected.
        """
        while not self._has_ended_reading and self._parser is not None:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                (head_size,) = upgrade.args
                data = self._ignore_upgrade() + data[head_size:]
            else:
                return

    def _ignore_upgrade(self) -> bytes:
        """Start a new parser behind the head of a request.

        The parser takes what follows the offer of another protocol for bytes
        of that protocol. The offer is ignored, as RFC 9110 allows in section
        7.8, so they are the body of the request.

        Returns:
            A head that makes the new parser read the body.
        """
        parser = self._parser
        if parser is None or self._has_ended_reading:
            return b''
        self._parser = httptools.HttpRequestParser(self)
        self._is_behind_head = True
        return b'%b / HTTP/1.1\r\n%b%b\r\n' % (
            parser.get_method(),
            b'' if parser.should_keep_alive() else b'Connection: close\r\n',
            b''.join(self._framing),
        )

    @property
    def _has_ended_reading(self) -> bool:
        """Return whether no further request is read."""
        return self._is_closing or self._is_input_over

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the requests of the client and abandon the current one."""
        del exc
        self._is_closing = True
        self._transport = None
        self._parser = None
        for timer in (self._probe_timer, self._close_timer):
            if timer is not None:
                timer.cancel()
        self._probe_timer = self._close_timer = None
        if self._advance_handle is not None:
            self._advance_handle.cancel()
            self._advance_handle = None
        self._incomplete = None
        self._server.note_lost(self)
        current, self._current = self._current, None
        self._release_incomplete()
        self._take_kept(len(self._kept))
        for request in self._pending:
            self._release(request)
        self._pending.clear()
        handled = [] if current is None else [current, *self._ahead]
        self._ahead.clear()
        self._delayed_bytes = 0
        for request in handled:
            self._release(request)
            if request.response is None:
                self._abandon(request)
                request.context = None

    def pause_writing(self) -> None:
        """Handle no further request while the client reads slowly."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Handle the pipelined requests of the client again."""
        self._is_paused = False
        self._advance()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start to receive a request."""
        if self._is_behind_head or self._has_ended_reading:
            return
        self._incomplete = IngressRequest(self)
        self.since = self._loop.time()
        self._head = []
        self._framing = []
        self._content_length = -1
        self._needs_body = None
        self._expects_continue = False
        self._removed_fields = set()
        self._header_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        request = self._incomplete
        if request is not None and not self._is_behind_head:
            request.target += url
            self._limit_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field, if it is to be forwarded or used here."""
        request = self._incomplete
        if request is None or self._is_behind_head:
            return
        self._event_count += 1
        self._limit_header_bytes(len(name) + len(value) + 4)
        names = self._server.names
        lower = name.lower()
        if lower == b'host':
            request.host = value
        elif lower == names.attempt_id:
            request.attempt_id = value
        elif lower == names.deadline_ms:
            request.deadline_ms = value
            return
        elif lower == names.key:
            if value[: len(names.key_scheme)].lower() == names.key_scheme:
                request.key = value[len(names.key_scheme) :].strip()
            else:
                request.key = b''
            return
        elif lower in self._server.removed_fields:
            if lower == b'connection':
                self._record_named_fields(value)
            elif lower in (b'content-length', b'transfer-encoding'):
                self._framing.append(b'%b: %b\r\n' % (name, value))
                if lower == b'content-length' and value.isdigit():
                    self._content_length = int(value)
            return
        elif lower == b'expect':
            # Clients of HTTP/1.0 know no interim responses.
            self._expects_continue = (
                value.lower() == b'100-continue'
                and self._parser is not None
                and self._parser.get_http_version() != '1.0'
            )
            return
        self._head.append(b'%b: %b\r\n' % (name, value))

    def on_headers_complete(self) -> None:
        """Record that the header is complete, or reject the request.

        Raises:
            RequestRejectedError: The body is to exceed its limit.
        """
        self._unparsed_bytes = 0
        self._is_behind_head = False
        if (
            self._content_length > self._server.limits.max_body_bytes
            and self._incomplete is not None
        ):
            self._reject(413)
            raise RequestRejectedError('body exceeds max_body_bytes')
        self._continue_if_expected()

    def _continue_if_expected(self) -> None:
        """Ask for the body of a request, behind all earlier responses."""
        if (
            self._expects_continue
            and self._transport is not None
            and self._incomplete is not None
            and self._current is None
            and not self._pending
            and not self._has_eof
            and not self._has_ended_reading
        ):
            self._expects_continue = False
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, or reject the request.

        Raises:
            RequestRejectedError: The body or all bodies exceed their limit.
        """
        self._unparsed_bytes = 0
        self._event_count += 1
        if self._incomplete is None:
            return
        if self._body_bytes + len(data) > self._server.limits.max_body_bytes:
            self._reject(413)
            raise RequestRejectedError('body exceeds max_body_bytes')
        if self._needs_body is None and (
            self._body_bytes + len(data) > MAX_DIRECT_BYTES
        ):
            self._ask_for_body(self._incomplete)
        if self._needs_body is False:
            self._body_bytes += len(data)
            return
        if not self._take(len(data)):
            # Nothing was forwarded, so the client may send the request again.
            self._refuse_incomplete()
            raise RequestRejectedError('all bodies exceed their limit')
        if not self._body_bytes:
            self._body_part = data
        else:
            if self._body_part:
                self._body += self._body_part
                self._body_part = b''
            # Small parts would take far more memory each than their bytes.
            self._body += data
        self._body_bytes += len(data)
        if self._body_bytes > LARGE_BODY_BYTES:
            self._hash_body()

    def _hash_body(self) -> None:
        """Add the part of the body that was received last to its hash."""
        if not self._hashed_bytes:
            self._body_hash = hashlib.sha256()
        with memoryview(self._body) as body:
            self._body_hash.update(body[self._hashed_bytes :])
        self._hashed_bytes = len(self._body)

    def _ask_for_body(self, request: IngressRequest) -> None:
        """Drop the body if the handler does not need it."""
        request.method = self._parser.get_method() if self._parser else b''
        self._needs_body = self._server.handler.needs_body(request)
        if not self._needs_body:
            request.has_body = False
            self._clear_body()
            released_bytes = self.held_bytes - self._held_head_bytes
            self._server.held.release(released_bytes)
            self.held_bytes -= released_bytes

    def _clear_body(self) -> None:
        self._body_part = b''
        self._hashed_bytes = 0
        if self._body:
            self._body = bytearray()

    def on_message_complete(self) -> None:
        """Queue the request for the handler."""
        self._unparsed_bytes = 0
        self._first_event = self._event_count
        request = self._incomplete
        if request is None or self._has_ended_reading or not self._parser:
            return
        request.method = self._parser.get_method()
        if request.method == b'CONNECT':
            # What follows such a request is not HTTP.
            self._reject(501)
            return
        if self._parser.should_upgrade():
            # The body follows, see _ignore_upgrade.
            return
        self._incomplete = None
        if not request.target.startswith(b'/'):
            self._resolve_absolute_form(request)
        request.is_closing = not self._parser.should_keep_alive()
        request.received_at = self._loop.time()
        request.head = b''.join(self._head)
        if self._removed_fields:
            request.head = _remove_fields(request.head, self._removed_fields)
            self._removed_fields = set()
        self._head = []
        if len(self._body) > LARGE_BODY_BYTES:
            request.large_body = self._body
            request.body_hash = self._body_hash.digest()
        else:
            request.body = bytes(self._body) if self._body else self._body_part
        self._clear_body()
        self._body_bytes = 0
        if not self._reserve_complete(request):
            self.end_input()
            return
        # It is handled when all received bytes are parsed: whether a response
        # closes the connection depends on the requests behind it.
        self._pending.append(request)

    def _reserve_complete(self, request: IngressRequest) -> bool:
        """Reserve memory for a request until its response or the close.

        Returns:
            Whether the request is handled; one behind others counts as not
            read while they hold too much.
        """
        held = self._server.held
        head_bytes = len(request.head) + len(request.target)
        size = len(request.body)
        if request.large_body is not None:
            size = len(request.large_body)
        is_behind = self._current is not None or len(self._pending) > 0
        if is_behind:
            size += head_bytes + client_budget.REQUEST_BYTES
        elif head_bytes > client_budget.FREE_HEAD_BYTES:
            size += head_bytes - client_budget.FREE_HEAD_BYTES
        if size != self.held_bytes:
            held.take_anyway(size - self.held_bytes)
        self.held_bytes = size
        if is_behind and held.is_exceeded:
            return False
        request.held_bytes = size
        held.complete_single(self, request)
        self.held_bytes = self._held_head_bytes = 0
        self._forget_holder()
        return True

    def reply(
        self,
        request: IngressRequest,
        status: int,
        head: bytes,
        body: bytes,
    ) -> None:
        """Send the response, once those of earlier requests are sent."""
        if self._transport is None:
            return
        if not self._is_current(request):
            self._delay(request, status, head, body)
            return
        self._respond(request, status, head, body)
        self._respond_delayed()
        if not self._is_closing:
            if self._pending or self._kept:
                self._advance()
            self._continue_if_expected()

    def _is_current(self, request: IngressRequest) -> bool:
        """Return whether the response to a request is sent next.

        Compiled code would take a comparison in place for a proof that there
        is a current request until the end of the function, also after its
        response.
        """
        return request is self._current

    def _respond_delayed(self) -> None:
        """Send the responses that were kept until the earlier ones."""
        following = self._current
        while following is not None and following.response is not None:
            status, head, body = following.response
            self._delayed_bytes -= len(head) + len(body)
            self._respond(following, status, head, body)
            following = self._current

    def _delay(
        self, request: IngressRequest, status: int, head: bytes, body: bytes
    ) -> None:
        """Keep the response to a request that is handled ahead."""
        if request.response is not None or request not in self._ahead:
            return
        request.response = status, head, body
        # The state of the handler refers to the request.
        request.context = None
        self._delayed_bytes += len(head) + len(body)
        self._server.note_unsent(self)

    def _respond(
        self, request: IngressRequest, status: int, head: bytes, body: bytes
    ) -> None:
        """Send the response to the current request."""
        if self._transport is None:
            return
        if self._server.is_closing:
            self._late_responses += 1
        is_closing = request.is_closing or (
            (
                self._server.is_closing
                or self._server.is_crowded
                or self._has_failed
                or self._is_input_over
            )
            and not self._ahead
            and not self._pending
            and not self._kept
            and not self._delays_close()
        )
        line = _STATUS_LINES.get(status) or (
            f'HTTP/1.1 {status} Status\r\n'.encode()
        )
        has_body = request.method != b'HEAD' and status not in (204, 304)
        length = (
            b'Content-Length: %d\r\n' % len(body) if has_body or body else b''
        )
        begin = b'%b%b%b%b\r\n' % (
            line,
            head,
            length,
            b'Connection: close\r\n' if is_closing else b'',
        )
        if self._sent_ahead_bytes:
            begin = begin[self._sent_ahead_bytes :]
            self._sent_ahead_bytes = 0
        if not self.has_unsent_data:
            self._written_bytes = 0
        if not has_body:
            self._transport.write(begin)
        elif len(body) <= MAX_COPIED_BYTES:
            self._transport.write(begin + body)
        else:
            self._transport.write(begin)
            self._transport.write(body)
        self._written_bytes += len(begin) + len(body)
        self._server.note_unsent(self)
        self._current = self._ahead.popleft() if self._ahead else None
        request.context = None
        self._release(request)
        self.since = self._loop.time()
        self._is_delivering = True
        self._idle_limit_s = self._server.limits.idle_timeout_s
        if is_closing:
            if request.is_closing and not self._is_input_over:
                # The client sends nothing more.
                self.close()
            else:
                self._close_after_input()

    def _delays_close(self) -> bool:
        """Return whether another request is being received.

        It gets a response before the close, unless the client has got
        enough of them since the server began to stop.
        """
        if self._incomplete is None and (
            self._is_input_over or not self._has_unread_bytes
        ):
            return False
        return self._late_responses <= MAX_LATE_RESPONSES

    def _advance(self, is_turn: bool = False) -> None:
        """Handle and parse what was received, until a request has to wait.

        Other connections have their turn after some requests, since responses
        that need nothing else are sent at once, and within a request that is
        slow to parse.

        Args:
            is_turn: Whether it is the turn of this connection to parse such a
                request.
        """
        if (
            self._is_advancing
            or self._advance_handle is not None
            or self._waits_for_turn
        ):
            return
        self._is_advancing = True
        last_event = parse_turns.MAX_EVENTS_AT_ONCE + (
            self._event_count if is_turn else self._first_event
        )
        started = 0
        try:
            while not self._is_closing:
                if (
                    self._pending
                    and not self._is_paused
                    and self._may_start(self._pending[0])
                ):
                    if started == MAX_STARTED_AT_ONCE:
                        self._advance_handle = self._loop.call_soon(
                            self._advance_again
                        )
                        break
                    started += 1
                    self._start(self._pending.popleft())
                elif (
                    self._kept and len(self._pending) < MAX_PIPELINED_REQUESTS
                ):
                    if self._event_count >= last_event:
                        self._waits_for_turn = True
                        self._server.turns.request(self, self._loop)
                        break
                    self._receive(self._take_kept(self._parsed_bytes))
                else:
                    break
        finally:
            self._is_advancing = False
        if self._has_eof and not self._kept:
            self.end_input()
            if self._current is None and not self._pending:
                self.close()
        self._limit_kept()

    @property
    def parsed_events(self) -> int:
        """Return the fields and chunks of the incomplete request so far."""
        return self._event_count - self._first_event

    def continue_parsing(self) -> None:
        """Take a turn to parse what was received."""
        self._waits_for_turn = False
        if self._transport is not None:
            self._advance(is_turn=True)

    def _advance_again(self) -> None:
        self._advance_handle = None
        if self._transport is not None:
            self._advance()

    @property
    def _parsed_bytes(self) -> int:
        """Return the number of kept bytes that are parsed next."""
        if self._incomplete is None or not self._body_bytes:
            return MAX_PARSED_HEAD_BYTES
        if self._content_length < 0:
            return MAX_PARSED_BYTES
        return min(
            MAX_PARSED_BYTES,
            max(
                MAX_PARSED_HEAD_BYTES, self._content_length - self._body_bytes
            ),
        )

    def end_input(self) -> None:
        """Read no request after those that are handled or pending."""
        self._is_input_over = True
        self._take_kept(len(self._kept))
        self._incomplete = None
        self._release_incomplete()

    def _limit_kept(self) -> None:
        """Receive nothing while too many bytes are kept, or before a turn.

        The end of the connection is not seen then, and is probed for. If the
        clients hold too much together, what is kept counts as not read.
        """
        if self._transport is None or self._has_eof:
            return
        held = self._server.held
        if self._kept and held.is_exceeded:
            self.end_input()
        is_full = len(self._kept) > MAX_KEPT_BYTES
        is_paused = is_full or self._waits_for_turn
        if is_paused != self._is_receiving_paused:
            self._is_receiving_paused = is_paused
            if is_paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
        if is_full and self._probe_timer is None:
            self._probe()

    def _may_start(self, request: IngressRequest) -> bool:
        """Return whether to handle the first request that is pending."""
        return self._current is None or (
            len(self._ahead) < MAX_REQUESTS_AHEAD
            and not self._has_failed
            and self._server.handler.may_run_ahead(request)
        )

    def _start(self, request: IngressRequest) -> None:
        """Pass a request to the handler.

        If the handler raises an error, the request may have run; the client
        gets a 500, and the connection closes after the requests that have
        arrived behind it.
        """
        if self._current is None:
            self._current = request
        else:
            self._ahead.append(request)
        try:
            self._server.handler.handle(request)
        except Exception:
            self._server.log_failure(request)
            if self._is_current(request) or (
                request in self._ahead and request.response is None
            ):
                self._has_failed = True
                self._abandon(request)
                self.reply(request, 500, b'', b'')

    def _abandon(self, request: IngressRequest) -> None:
        """Let the handler forget a request that it will not answer."""
        try:
            self._server.handler.abandon(request)
        except Exception:
            self._server.log_failure(request)

    def _limit_unparsed_bytes(self, size: int) -> None:
        """Reject a request if the parser buffers too much of it.

        The parser keeps an endless field without a call of on_header.

        Args:
            size: Bytes that were passed to the parser just now.
        """
        self._unparsed_bytes += size
        if (
            self._unparsed_bytes
            > self._server.limits.max_header_bytes + MAX_FRAMING_BYTES
        ):
            self._reject(431)

    def _limit_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._reject(431)
            raise RequestRejectedError('header exceeds max_header_bytes')

    def _resolve_absolute_form(self, request: IngressRequest) -> None:
        """Take host and path from a target in absolute form.

        Its host replaces the Host field (RFC 9112, section 3.2.2), also in
        the head that is forwarded.
        """
        scheme, separator, rest = request.target.partition(b'://')
        if not separator or scheme.lower() not in (b'http', b'https'):
            return
        size = min(
            (rest.index(mark) for mark in (b'/', b'?') if mark in rest),
            default=len(rest),
        )
        request.host, path = rest[:size], rest[size:]
        request.target = path if path.startswith(b'/') else b'/' + path
        self._head = [
            b'Host: %b\r\n' % request.host,
            *(line for line in self._head if line[:5].lower() != b'host:'),
        ]

    def _record_named_fields(self, value: bytes) -> None:
        """Record the fields that the Connection field names, to remove them.

        Args:
            value: Value of the Connection field.
        """
        for part in value.lower().split(b','):
            name = part.strip()
            if name not in (b'close', b'keep-alive', b'', b'host'):
                self._removed_fields.add(name)

    def _release(self, request: IngressRequest) -> None:
        """Release the memory of a complete request."""
        self._server.held.end_single(request)
        self._server.held.release(request.held_bytes)

    def _release_incomplete(self) -> None:
        """Release the memory of a partly received request."""
        if self.held_bytes:
            self._server.held.end_single(self)
            self._server.held.release(self.held_bytes)
            self.held_bytes = self._held_head_bytes = 0
        self._body_bytes = 0
        self._clear_body()
        self._head = []
        self._removed_fields = set()
        self._forget_holder()

    def _forget_holder(self) -> None:
        if self._is_holder:
            self._is_holder = False
            self._server.held.discard(self)

    def _reject(self, status: int, head: bytes = b'') -> None:
        """Send an error response to a rejected request and close.

        If earlier requests wait for their responses, the connection is closed
        after these, and the rejected one gets none.
        """
        if self._transport is None or self._has_ended_reading:
            self._incomplete = None
            self._release_incomplete()
            return
        self.end_input()
        if self._current is not None or self._pending:
            return
        self._transport.write(
            _STATUS_LINES[status]
            + head
            + b'Content-Length: 0\r\nConnection: close\r\n\r\n'
        )
        self.since = self._loop.time()
        self._close_after_input()

    def _close_after_input(self) -> None:
        """Close once the client has ended its side, or sends no more.

        A close with unread bytes resets the connection, and the client might
        lose its response (RFC 9112, section 9.6).
        """
        if self._transport is None or self._is_closing:
            return
        if self._has_eof:
            self.close()
            return
        self._is_closing = True
        self._transport.write_eof()
        self._bytes_before_close = self._received_bytes
        self._schedule_close(self._loop.time() + MAX_LINGER_S)

    def _schedule_close(self, latest: float) -> None:
        self._close_timer = self._loop.call_later(
            LINGER_S, self._close_if_silent, self._received_bytes, latest
        )

    def _close_if_silent(self, received_bytes: int, latest: float) -> None:
        """Close, unless the client still sends or reads its response.

        It gets a whole response only if its input is read till then;
        close_if_slow aborts a response of which it reads nothing more.

        Args:
            received_bytes: Bytes that were received before LINGER_S.
            latest: Time of the event loop from which only a response that is
                read is waited for, in seconds.
        """
        if self._transport is None:
            return
        still_sends = (
            self._received_bytes != received_bytes or self._has_unread_bytes
        ) and self._loop.time() < latest
        if still_sends or self.undelivered_bytes:
            self._schedule_close(latest)
        else:
            self._transport.close()


def _remove_fields(head: bytes, names: set[bytes]) -> bytes:
    """Return encoded header fields without those with the given names."""
    return b''.join(
        line + b'\r\n'
        for line in head.split(b'\r\n')
        if line and line.partition(b':')[0].lower() not in names
    )
