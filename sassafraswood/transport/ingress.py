"""Server connections of HTTP/1.1 that hand over whole requests."""

import asyncio
import collections
import http
import socket
import typing
from typing import Final, Protocol

import httptools

from sassafraswood.models import fields
from sassafraswood.models import traffic
from sassafraswood.state import held_bytes
from sassafraswood.transport import exchange

# Requests that a client may send ahead on one connection.
MAX_PIPELINED: Final = 16
LISTEN_BACKLOG: Final = 1024
# Bytes that a read may hold beside a header; the loop reads up to 256 KiB.
READ_BYTES: Final = 256 * 1024
# Clients that found no room for their body come back after this time in
# seconds; large bodies take that long to be passed on.
FULL_RETRY_S: Final = 1.0
_STATUS_LINES: Final = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}\r\n'.encode()
    for status in http.HTTPStatus
}
DEFAULT_LIMITS: Final = traffic.ClientLimits(
    max_header_bytes=16384,
    max_body_bytes=1 << 20,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class IngressRequest:
    """A whole request of a client.

    Attributes:
        head: Header fields to pass on.
        context: Set by the receiver; what it does for the request.
    """

    __slots__ = (
        'attempt_id',
        'body',
        'connection',
        'context',
        'deadline_ms',
        'head',
        'host',
        'is_closing',
        'key',
        'method',
        'received_at',
        'target',
    )

    def __init__(self, connection: 'IngressConnection') -> None:
        """Start without fields."""
        self.connection = connection
        self.method = b''
        self.target = b''
        self.host = b''
        self.head = b''
        self.body = b''
        self.attempt_id = b''
        self.deadline_ms = b''
        self.key: bytes | None = None
        self.received_at = 0.0
        self.is_closing = False
        self.context: typing.Any = None

    def reply(
        self,
        status: int,
        head: bytes = b'',
        body: bytes = b'',
        *,
        close: bool = False,
    ) -> None:
        """Send the answer; does nothing if the client has left."""
        self.connection.reply(self, status, head, body, close=close)


class RequestHandler(Protocol):
    """Takes the requests of a server."""

    def handle(self, request: IngressRequest) -> None:
        """Take a whole request; it is answered later or at once."""

    def abandon(self, request: IngressRequest) -> None:
        """Take that the client of an unanswered request has left."""


class IngressConnection(asyncio.Protocol):
    """One client; its requests are answered one after the other."""

    def __init__(self, server: 'IngressServer') -> None:
        """Take the server with its limits and its handler."""
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[IngressRequest] = collections.deque()
        self._current: IngressRequest | None = None
        self._building: IngressRequest | None = None
        self._loop = asyncio.get_running_loop()
        self._is_closing = False
        self.since = self._loop.time()
        self.peer = ''
        self._body_bytes = 0
        # Bytes since the last piece of a request that was whole.
        self._unparsed = 0
        self._is_paused = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is read or answered."""
        return self._current is None and self._building is None

    @property
    def is_reading(self) -> bool:
        """Return whether a request has begun and is not whole."""
        return self._building is not None

    @property
    def is_stuck(self) -> bool:
        """Return whether the client does not read its answer."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after what was written."""
        if self._transport is not None and not self._is_closing:
            self._is_closing = True
            self._transport.close()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the established connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        connection = transport.get_extra_info('socket')
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peername = transport.get_extra_info('peername')
        self.peer = peername[0] if peername else ''
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        if self._is_closing:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # The callback has answered already.
            return
        except httptools.HttpParserUpgrade:
            self._reject(501)
        except httptools.HttpParserError:
            self._reject(400)
        else:
            self._check_header(len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the requests of the client."""
        del exc
        self._is_closing = True
        self._transport = None
        self._server.connections.discard(self)
        current, self._current = self._current, None
        self._release_building()
        for request in self._waiting:
            self._server.held.release(len(request.body))
        self._waiting.clear()
        if current is not None:
            self._server.held.release(len(current.body))
            self._server.handler.abandon(current)

    def pause_writing(self) -> None:
        """Begin no further request; the client reads slowly."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Go on with the requests that the client sent ahead."""
        self._is_paused = False
        self._begin_next()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._building = IngressRequest(self)
        self.since = self._loop.time()
        self._head: list[bytes] = []
        self._body: list[bytes] = []
        self._dropped: set[bytes] = set()
        self._header_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        request = self._building
        if request is not None:
            request.target += url
            self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field."""
        request = self._building
        if request is None:
            return
        self._count_header(len(name) + len(value) + 4)
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
        elif lower in self._server.dropped:
            if lower == b'connection':
                self._drop_named(value)
            return
        elif lower == b'expect':
            if value.lower() == b'100-continue' and self._transport:
                self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            return
        self._head.append(b'%b: %b\r\n' % (name, value))

    def on_headers_complete(self) -> None:
        """Note that the header is whole."""
        self._unparsed = 0

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._unparsed = 0
        if self._body_bytes + len(data) > self._server.limits.max_body_bytes:
            self._reject(413)
            raise ValueError('body too large')
        if not self._server.held.take(len(data)):
            # Nothing was passed on, so the client may come back.
            self._reject(503, b'Retry-After: %.3f\r\n' % FULL_RETRY_S)
            raise ValueError('no room for bodies')
        self._body_bytes += len(data)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Hand the request over, or keep it until its turn."""
        self._unparsed = 0
        request = self._building
        if request is None or self._is_closing:
            return
        self._building = None
        request.method = self._parser.get_method()
        request.is_closing = not self._parser.should_keep_alive()
        request.received_at = self._loop.time()
        request.head = b''.join(self._head)
        if self._dropped:
            request.head = _without(request.head, self._dropped)
        body = self._body
        request.body = body[0] if len(body) == 1 else b''.join(body)
        # Held until the request is answered, or its client has left.
        self._body_bytes = 0
        if self._current is not None or self._is_paused:
            if len(self._waiting) >= MAX_PIPELINED:
                self._server.held.release(len(request.body))
                self._reject(503)
                return
            self._waiting.append(request)
            return
        self._current = request
        self._server.handler.handle(request)

    def reply(
        self,
        request: IngressRequest,
        status: int,
        head: bytes,
        body: bytes,
        *,
        close: bool,
    ) -> None:
        """Send the answer of the current request."""
        if request is not self._current or self._transport is None:
            return
        is_closing = close or request.is_closing or self._server.is_closing
        line = _STATUS_LINES.get(status) or (
            f'HTTP/1.1 {status} Status\r\n'.encode()
        )
        has_body = request.method != b'HEAD' and status not in (204, 304)
        length = (
            b'Content-Length: %d\r\n' % len(body) if has_body or body else b''
        )
        self._transport.write(
            b'%b%b%b%b\r\n%b'
            % (
                line,
                head,
                length,
                b'Connection: close\r\n' if is_closing else b'',
                body if has_body else b'',
            )
        )
        self._current = None
        self._server.held.release(len(request.body))
        self.since = self._loop.time()
        if is_closing:
            self.close()
            return
        self._begin_next()

    def _begin_next(self) -> None:
        if self._waiting and self._current is None and not self._is_paused:
            self._current = self._waiting.popleft()
            self._server.handler.handle(self._current)

    def _check_header(self, size: int) -> None:
        """Bound what the parser keeps of a field without an end.

        Args:
            size: Bytes that were parsed just now.
        """
        self._unparsed += size
        if self._unparsed > self._server.limits.max_header_bytes + READ_BYTES:
            self._reject(431)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._reject(431)
            raise ValueError('header too large')

    def _drop_named(self, value: bytes) -> None:
        """Note the fields that belong to this connection by name."""
        for part in value.lower().split(b','):
            name = part.strip()
            if name not in (b'close', b'keep-alive', b'', b'host'):
                self._dropped.add(name)

    def _release_building(self) -> None:
        """Give up the body of a request that is not whole."""
        if self._body_bytes:
            self._server.held.release(self._body_bytes)
            self._body_bytes = 0

    def _reject(self, status: int, head: bytes = b'') -> None:
        """Answer bytes that are no acceptable request and close."""
        self._building = None
        self._release_building()
        if self._transport is None or self._is_closing:
            return
        if self._current is None:
            self._transport.write(
                _STATUS_LINES[status]
                + head
                + b'Content-Length: 0\r\nConnection: close\r\n\r\n'
            )
        self.close()


class IngressServer:
    """Accepts the connections of one address."""

    def __init__(
        self, handler: RequestHandler, names: fields.FieldNames
    ) -> None:
        """Take what handles the requests."""
        self.handler = handler
        self.names = names
        self.limits = DEFAULT_LIMITS
        # Bodies of requests that are read or not answered yet.
        self.held = held_bytes.HeldBytes()
        self.is_closing = False
        self.connections: set[IngressConnection] = set()
        # Set by this system whatever a client sends.
        self.dropped = exchange.CONNECTION_FIELDS | {
            names.workspace,
            names.expected_instance,
            names.caller_service,
        }
        self._server: asyncio.Server | None = None

    async def async_listen(self, address: tuple[str, int]) -> None:
        """Accept connections from now on."""
        loop = asyncio.get_running_loop()
        host, port = address
        self._server = await loop.create_server(
            lambda: IngressConnection(self),
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    def sweep(self, now: float) -> None:
        """Close connections that idle or send a header too slowly."""
        limits = self.limits
        for connection in list(self.connections):
            age_s = now - connection.since
            if connection.is_stuck:
                if age_s > limits.idle_timeout_s:
                    connection.abort()
            elif connection.is_reading:
                if age_s > limits.header_timeout_s + limits.idle_timeout_s:
                    connection.close()
            elif connection.is_idle and age_s > limits.idle_timeout_s:
                connection.close()

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()


def _without(head: bytes, dropped: set[bytes]) -> bytes:
    """Return header fields without those named."""
    return b''.join(
        line + b'\r\n'
        for line in head.split(b'\r\n')
        if line and line.partition(b':')[0].lower() not in dropped
    )
