"""One HTTP/1.1 connection to the upstream, parsed by httptools."""

import asyncio
import socket
import typing

import httptools

from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.transport import tcp

# Methods whose requests carry no body unless one was given (RFC 9110).
_BODILESS_METHODS = frozenset({'GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE'})


class UpstreamConnection(asyncio.Protocol):
    """Runs one request at a time.

    An answer without Content-Length and without chunks would end with the
    connection; a crash of the upstream looks the same, so it counts as
    truncated.
    """

    def __init__(self, host: str) -> None:
        """Send host as the Host field."""
        self._host = host
        self._transport: asyncio.Transport | None = None
        self._done: asyncio.Future[call.Answer] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._is_closed = False
        self._is_reusable = False
        self._method = ''
        self._max_body_bytes = 0
        self._reset()

    @property
    def is_usable(self) -> bool:
        """Return whether another request may be sent."""
        return self._is_reusable and not self._is_closed

    async def async_send(
        self, request: call.HttpRequest, max_body_bytes: int
    ) -> call.Answer:
        """Send a request and return its whole answer.

        Raises:
            UpstreamError: With outcome UNKNOWN, except when the connection
                had closed before a byte was sent.
        """
        if self._is_closed or self._transport is None:
            raise exceptions.UpstreamError(
                enums.RefusalReason.UPSTREAM_UNREACHABLE,
                enums.Outcome.NOT_RUN,
            )
        self._method = request.method
        self._max_body_bytes = max_body_bytes
        self._is_reusable = False
        # A break before the first byte must not count as a truncated answer
        # because of the answer before it on this connection.
        self._reset()
        self._done = asyncio.get_running_loop().create_future()
        self._transport.write(self._encode(request))
        return await self._done

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
        if self._done is None or self._done.done():
            # Nothing was asked for, so the connection is out of step.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(enums.RefusalReason.UPSTREAM_BROKE)
        except httptools.HttpParserError:
            self._fail(self._broken_reason())

    def connection_lost(self, exc: Exception | None) -> None:
        """End a request whose answer is not whole."""
        del exc
        self._is_closed = True
        self._fail(self._broken_reason())

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new answer."""
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field."""
        lower = name.lower()
        if lower in (b'content-length', b'transfer-encoding'):
            self._is_framed = True
        self._headers.append((lower.decode(), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Finish an answer that has no body."""
        self._has_headers = True
        status = self._parser.get_status_code()
        if self._method == 'HEAD' and status >= 200:
            # The parser would wait for a body, so the connection is spent.
            self._finish(status, is_reusable=False)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._size += len(data)
        if self._size > self._max_body_bytes:
            self._fail(enums.RefusalReason.ANSWER_TOO_LARGE)
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Finish the answer."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        if not self._is_framed and status not in (204, 304):
            self._fail(enums.RefusalReason.ANSWER_TRUNCATED)
            return
        self._finish(status, is_reusable=self._parser.should_keep_alive())

    def _reset(self) -> None:
        self._headers: call.Headers = []
        self._body: list[bytes] = []
        self._size = 0
        self._is_framed = False
        self._has_headers = False

    def _finish(self, status: int, *, is_reusable: bool) -> None:
        if self._done is None or self._done.done():
            return
        answer = call.Answer(
            status=status, headers=self._headers, body=b''.join(self._body)
        )
        self._is_reusable = is_reusable
        self._done.set_result(answer)

    def _fail(self, reason: enums.RefusalReason) -> None:
        self._is_reusable = False
        if self._done is not None and not self._done.done():
            error = exceptions.UpstreamError(reason, enums.Outcome.UNKNOWN)
            self._done.set_exception(error)
        if not self._is_closed:
            self.close()

    def _broken_reason(self) -> enums.RefusalReason:
        if self._has_headers:
            return enums.RefusalReason.ANSWER_TRUNCATED
        return enums.RefusalReason.UPSTREAM_BROKE

    def _encode(self, request: call.HttpRequest) -> bytes:
        lines = [
            f'{request.method} {request.target} HTTP/1.1',
            f'host: {self._host}',
        ]
        lines += [f'{name}: {value}' for name, value in request.headers]
        if request.body or request.method not in _BODILESS_METHODS:
            lines.append(f'content-length: {len(request.body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        return head.encode('latin-1') + request.body
