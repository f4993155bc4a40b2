"""Client connections of HTTP/1.1 that carry one exchange at a time."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum
import math
import socket
import time
import typing
from typing import Final

import httptools

from sassafraswood.models import fields
from sassafraswood.state import held_bytes
from sassafraswood.transport import tcp

# Fields of one connection (RFC 9110, section 7.6.1) and the length, which
# the next sender states anew.
CONNECTION_FIELDS: Final = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    }
)
# Answers above this are broken off; several must fit into memory.
MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024
# Bytes of an exchange outside of bodies: heads, trailers and what chunks are
# framed with. Servers limit heads to 8 to 64 KiB.
MAX_OVERHEAD_BYTES: Final = 128 * 1024
# Framing bytes for each byte of a body; a chunk of one byte takes six.
FRAMING_SHARE: Final = 8
# Interim answers, and answers to other requests, before the one that counts.
MAX_SKIPPED: Final = 16
# Idle connections without a stated timeout are not used again after this
# time in seconds; below the usual timeouts of servers.
IDLE_DEFAULT_S: Final = 4.0
# Share of a stated idle timeout after which the server may be closing.
IDLE_SHARE: Final = 0.7
# Connections that were idle for less than this time, in seconds, are not
# forgotten by any server; a request that may run once gets no other.
FRESH_IDLE_S: Final = 0.1
# After a reset, connections are used again up to this share of the idle time
# that was too long, and not below the least one, in seconds.
IDLE_CUT: Final = 0.5
IDLE_MIN_S: Final = 0.05
# The limit doubles in this time in seconds, so that a server that forgets no
# more is believed within half a minute.
IDLE_DOUBLES_S: Final = 5.0
# A new connection that takes longer in seconds counts as refused.
CONNECT_TIMEOUT_S: Final = 1.0


class FailureKind(enum.StrEnum):
    """How an exchange failed."""

    # Nothing was sent.
    CONNECT = 'connect_failed'
    # Nothing was sent, for nobody listens.
    REFUSED = 'connect_refused'
    # The connection ended before the answer began.
    BROKEN = 'connection_broken'
    # The answer began and is not whole.
    TRUNCATED = 'answer_truncated'
    # The bytes are no answer.
    MALFORMED = 'answer_malformed'
    TOO_LARGE = 'answer_too_large'
    CANCELLED = 'cancelled'


NOTHING_SENT: Final = frozenset({FailureKind.CONNECT, FailureKind.REFUSED})


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """A whole answer.

    Attributes:
        head: Header fields without those of one connection.
        fields: Values of the fields that the reader asked for.
    """

    status: int
    head: bytes
    fields: dict[bytes, bytes]
    body: bytes


Outcome = Response | FailureKind


class ExchangeConnection(asyncio.Protocol):
    """Sends one request at a time and reads its whole answer.

    An answer that carries the id of another request is dropped: servers
    may answer twice, and the second answer can arrive where the next one is
    expected.
    """

    def __init__(
        self,
        noted: frozenset[bytes],
        id_field: bytes | None = None,
        held: held_bytes.HeldBytes | None = None,
        on_lost: Callable[['ExchangeConnection'], None] | None = None,
    ) -> None:
        """Take the fields to note and the field that carries the id.

        Args:
            noted: Names of the fields to note.
            id_field: Name of the field that carries the id.
            held: Counts the bytes of answers that are not whole.
            on_lost: Called when the connection has ended, before the end of
                its exchange is told.
        """
        # Set by the pool: rises with each connection that it opens.
        self.number = 0
        self._on_lost = on_lost
        self._noted = noted
        self._held = held or held_bytes.HeldBytes()
        self._size = 0
        self._id_field = id_field
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_done: Callable[[Outcome], None] | None = None
        self._request_id: bytes | None = None
        self._result: Outcome | None = None
        # Of this exchange: bytes, those of bodies, and answers left out.
        self._received = 0
        self._body_bytes = 0
        self._skipped = 0
        self._is_closed = False
        self._is_dirty = False
        self._has_ended = False
        self._idle_s = IDLE_DEFAULT_S
        self.idle_since = 0.0
        self._may_reuse = True
        self._reset()

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has ended."""
        return self._is_closed

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent now."""
        return (
            not self._is_closed
            and self._may_reuse
            and self._on_done is None
            and self.idle_s < self._idle_s
        )

    @property
    def idle_s(self) -> float:
        """Return for how long the connection has carried nothing."""
        return time.monotonic() - self.idle_since

    def start(
        self,
        payload: bytes,
        request_id: bytes | None,
        on_done: Callable[[Outcome], None],
    ) -> None:
        """Send a request; on_done is called once."""
        if self._is_closed or self._transport is None:
            on_done(FailureKind.CONNECT)
            return
        self._on_done = on_done
        self._request_id = request_id
        self._result = None
        self._received = 0
        self._body_bytes = 0
        self._skipped = 0
        self._reset()
        self._transport.write(payload)

    def cancel(self) -> None:
        """Break the exchange off without a call of on_done."""
        self._on_done = None
        self._release()
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the established connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        connection = transport.get_extra_info('socket')
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tcp.detect_silence(connection)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer."""
        if self._on_done is None:
            # Bytes after a whole answer belong to no request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._result is None:
                self._fail(FailureKind.MALFORMED)
                return
            self._is_dirty = True
        if self._result is not None:
            self._finish()
            return
        self._received += len(data)
        if self._on_done is not None and self._is_endless:
            self._fail(FailureKind.TOO_LARGE)

    @property
    def _is_endless(self) -> bool:
        """Return whether bytes come that are not part of any answer."""
        overhead = self._received - self._body_bytes
        return (
            overhead > MAX_OVERHEAD_BYTES + FRAMING_SHARE * self._body_bytes
            or self._received > (1 + FRAMING_SHARE) * MAX_ANSWER_BYTES
            or self._skipped > MAX_SKIPPED
        )

    def eof_received(self) -> bool:
        """End an answer whose length is the end of its connection."""
        if self._on_done is not None and self._is_unframed_body():
            self._may_reuse = False
            self._complete()
            if self._result is not None:
                self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End an exchange whose answer is not whole."""
        del exc
        self._is_closed = True
        if self._on_lost is not None:
            self._on_lost(self)
        if self._on_done is None:
            return
        self._fail(
            FailureKind.TRUNCATED if self._has_begun else FailureKind.BROKEN
        )

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start an answer."""
        if self._result is not None:
            self._is_dirty = True
            return
        self._reset()
        self._has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field."""
        if self._result is not None:
            return
        lower = name.lower()
        if lower in self._noted:
            self._fields[lower] = value
        if lower in CONNECTION_FIELDS:
            self._take_connection_field(lower, value)
            return
        self._head.append(b'%b: %b\r\n' % (name, value))

    def on_headers_complete(self) -> None:
        """Note that the header is whole."""
        self._has_header = True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._result is not None or self._on_done is None:
            return
        self._body_bytes += len(data)
        if self._size + len(data) > MAX_ANSWER_BYTES or not self._held.take(
            len(data)
        ):
            self._fail(FailureKind.TOO_LARGE)
            return
        self._size += len(data)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Take a whole answer."""
        if self._result is not None or self._on_done is None:
            return
        if self._parser.get_status_code() < 200:
            self._skipped += 1
            return
        if not self._parser.should_keep_alive():
            self._may_reuse = False
        self._complete()

    def _take_connection_field(self, name: bytes, value: bytes) -> None:
        if name in (b'content-length', b'transfer-encoding'):
            self._is_framed = True
        elif name == b'connection' and b'close' in value.lower():
            self._may_reuse = False
        elif name == b'keep-alive':
            self._idle_s = _idle_timeout(value)

    def _is_unframed_body(self) -> bool:
        return (
            self._has_header and not self._is_framed and self._result is None
        )

    def _complete(self) -> None:
        if self._id_field is not None and self._request_id is not None:
            if self._fields.get(self._id_field) != self._request_id:
                self._skipped += 1
                self._has_begun = False
                self._has_header = False
                return
        self._result = Response(
            status=self._parser.get_status_code(),
            head=b''.join(self._head),
            fields=self._fields,
            body=b''.join(self._body),
        )

    def _finish(self) -> None:
        on_done, result = self._on_done, self._result
        self._on_done = None
        self._release()
        self.idle_since = time.monotonic()
        if self._is_dirty or not self._may_reuse:
            self.close()
        if on_done is not None and result is not None:
            on_done(result)

    def _fail(self, kind: FailureKind) -> None:
        on_done = self._on_done
        self._on_done = None
        self._release()
        if not self._is_closed:
            self.close()
        if on_done is not None:
            on_done(kind)

    def _release(self) -> None:
        if self._size:
            self._held.release(self._size)
            self._size = 0

    def _reset(self) -> None:
        self._release()
        self._head: list[bytes] = []
        self._fields: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._is_framed = False
        self._has_begun = False
        self._has_header = False


def _idle_timeout(value: bytes) -> float:
    """Return for how long a connection may idle, in seconds."""
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return IDLE_SHARE * int(number)
    return IDLE_DEFAULT_S


class Exchange:
    """An exchange that may still be waiting for its connection."""

    __slots__ = ('_connection', '_is_cancelled')

    def __init__(self) -> None:
        """Wait for a connection."""
        self._connection: ExchangeConnection | None = None
        self._is_cancelled = False

    @property
    def is_cancelled(self) -> bool:
        """Return whether the exchange was broken off."""
        return self._is_cancelled

    @property
    def connection_number(self) -> int:
        """Return the number of its connection; 0 before it has one."""
        return 0 if self._connection is None else self._connection.number

    def attach(self, connection: ExchangeConnection) -> None:
        """Take the connection that carries the exchange."""
        self._connection = connection

    def cancel(self) -> None:
        """Break the exchange off and close its connection."""
        self._is_cancelled = True
        if self._connection is not None:
            self._connection.cancel()


class _IdleLimit:
    """How long connections may be idle before they are used again.

    A server that forgets idle connections tells nobody. What is sent next on
    one is reset, so a reset shows an idle time that is too long.
    """

    def __init__(self) -> None:
        self._limit_s = math.inf
        self._lowered_at = 0.0

    @property
    def limit_s(self) -> float:
        """Return the limit in seconds, which grows back with time."""
        since_s = time.monotonic() - self._lowered_at
        return self._limit_s * 2.0 ** min(64.0, since_s / IDLE_DOUBLES_S)

    def note_broken(self, idle_s: float) -> None:
        """Take that a request on a connection that was idle was lost."""
        lowered_s = max(IDLE_MIN_S, IDLE_CUT * idle_s)
        if lowered_s < self.limit_s:
            self._limit_s = lowered_s
            self._lowered_at = time.monotonic()


class ExchangePool:
    """Connections to one server."""

    def __init__(
        self,
        address: tuple[str, int],
        noted: frozenset[bytes],
        id_field: bytes | None = None,
    ) -> None:
        """Take the server's address and what to note of its answers."""
        self._address = address
        self._noted = noted
        self._id_field = id_field
        self._idle: collections.deque[ExchangeConnection] = collections.deque()
        self._idle_limit = _IdleLimit()
        self._connecting: set[asyncio.Task[None]] = set()
        self._open: dict[int, ExchangeConnection] = {}
        self.connects = 0
        # Number of the connection that was opened last.
        self.opened = 0
        self.held = held_bytes.HeldBytes()

    def start(
        self,
        payload: bytes,
        request_id: bytes | None,
        on_done: Callable[[Outcome], None],
        *,
        may_repeat: bool = True,
    ) -> Exchange:
        """Send a request on a free or new connection.

        Args:
            payload: The whole request.
            request_id: Id that its answer carries, if any.
            on_done: Called once with the outcome.
            may_repeat: Whether the request may be sent again if it is lost;
                others get a connection that was in use just now.
        """
        exchange = Exchange()
        connection = self._take_idle(may_repeat)
        if connection is not None:
            self._send(connection, exchange, payload, request_id, on_done)
            return exchange
        task = asyncio.get_running_loop().create_task(
            self._async_connect(exchange, payload, request_id, on_done)
        )
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return exchange

    def _take_idle(self, may_repeat: bool) -> ExchangeConnection | None:
        """Return the connection that was in use last, if it is good."""
        limit_s = self._idle_limit.limit_s
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_reusable or connection.idle_s > limit_s:
                connection.close()
                continue
            if may_repeat or connection.idle_s <= FRESH_IDLE_S:
                return connection
            # All others have been idle for longer.
            self._idle.append(connection)
            return None
        return None

    def has_open(self, up_to: int) -> bool:
        """Return whether a connection up to a number is still open."""
        return any(number <= up_to for number in self._open)

    async def async_check(self) -> FailureKind | None:
        """Open a connection; return what failed, or None.

        The connection is kept for the next request.
        """
        connection = await self._async_open()
        if isinstance(connection, FailureKind):
            return connection
        connection.idle_since = time.monotonic()
        self._idle.append(connection)
        return None

    def close_idle(self) -> None:
        """Close the connections that carry no exchange."""
        while self._idle:
            self._idle.pop().close()

    def _send(
        self,
        connection: ExchangeConnection,
        exchange: Exchange,
        payload: bytes,
        request_id: bytes | None,
        on_done: Callable[[Outcome], None],
    ) -> None:
        exchange.attach(connection)
        idle_s = connection.idle_s if connection.idle_since else 0.0

        def done(outcome: Outcome) -> None:
            if connection.is_reusable:
                self._idle.append(connection)
            elif outcome is FailureKind.BROKEN and idle_s > IDLE_MIN_S:
                self._idle_limit.note_broken(idle_s)
            on_done(outcome)

        connection.start(payload, request_id, done)

    async def _async_connect(
        self,
        exchange: Exchange,
        payload: bytes,
        request_id: bytes | None,
        on_done: Callable[[Outcome], None],
    ) -> None:
        connection = await self._async_open()
        if isinstance(connection, FailureKind):
            if not exchange.is_cancelled:
                on_done(connection)
            return
        if exchange.is_cancelled:
            connection.close()
            return
        self._send(connection, exchange, payload, request_id, on_done)

    async def _async_open(self) -> ExchangeConnection | FailureKind:
        """Return a new connection, or what failed."""
        self.connects += 1
        loop = asyncio.get_running_loop()
        host, port = self._address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ExchangeConnection(
                        self._noted, self._id_field, self.held, self._forget
                    ),
                    host,
                    port,
                )
        except ConnectionRefusedError:
            return FailureKind.REFUSED
        except OSError:
            # TimeoutError is an OSError.
            return FailureKind.CONNECT
        if connection.is_closed:
            return FailureKind.CONNECT
        self.opened += 1
        connection.number = self.opened
        self._open[connection.number] = connection
        return connection

    def _forget(self, connection: ExchangeConnection) -> None:
        self._open.pop(connection.number, None)


def noted_fields(names: fields.FieldNames) -> frozenset[bytes]:
    """Return the fields of an upstream's answer that decide something."""
    return frozenset(
        {
            names.attempt_id,
            names.seal,
            names.not_run,
            names.instance_id,
            b'content-encoding',
            b'retry-after',
        }
    )
