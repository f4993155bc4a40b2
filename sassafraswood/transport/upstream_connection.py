"""HTTP/1.1 connection to the upstream, parsed by httptools."""

import asyncio
import typing

import httptools

from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.transport import body_buffer
from sassafraswood.transport import response_limits
from sassafraswood.transport import tcp

# Methods whose requests get no Content-Length if the body is empty (RFC 9110).
_BODILESS_METHODS = frozenset({'GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE'})


class UpstreamConnection(asyncio.Protocol):
    """Sends one request at a time and reads its response.

    A response without Content-Length and without chunks would end with the
    connection. A crash of the upstream looks the same, so such a response
    counts as truncated.

    An upstream may send a response twice. The first response on a connection
    is that to the first request; a later one is that to its request only if it
    returns the Call-Token. The connection is reused only after responses that
    return it, so a copy is told by its token.
    """

    def __init__(self, host: str) -> None:
        """Initialize a connection without a transport.

        Args:
            host: Value of the Host field of each request.
        """
        self._host = host
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[call.Answer] | None = None
        # The parser holds methods of this object; this reference is dropped
        # with the connection, so that both are freed without a garbage
        # collection.
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._read_limit = tcp.ReadLimit()
        self._is_closed = False
        self._is_reusable = False
        self._method = ''
        self._token: str | None = None
        self._has_responded = False
        self._max_body_bytes = 0
        # Totals since the request was sent.
        self._received_bytes = 0
        self._all_body_bytes = 0
        self._part_count = 0
        self._skipped_count = 0
        self._body = body_buffer.BodyBuffer()
        self._reset_response()

    @property
    def is_usable(self) -> bool:
        """Return whether another request may be sent."""
        return self._is_reusable and not self._is_closed

    async def async_send(
        self, request: call.HttpRequest, max_body_bytes: int
    ) -> call.Answer:
        """Send a request and return its complete response.

        Args:
            request: The request to send.
            max_body_bytes: Largest accepted body of the response.

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
        self._token = dict(request.headers).get(const.HEADER_CALL_TOKEN)
        self._max_body_bytes = max_body_bytes
        self._is_reusable = False
        self._received_bytes = 0
        self._all_body_bytes = 0
        self._part_count = 0
        self._skipped_count = 0
        # If the connection ends before the first byte of this response, the
        # state of the previous response must not make it count as truncated.
        self._reset_response()
        self._response = asyncio.get_running_loop().create_future()
        payload = self._encode_request(request)
        self._read_limit.apply(self._transport, len(payload))
        self._transport.write(payload)
        return await self._response

    def close(self) -> None:
        """Abort the connection without flushing its write buffer."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket of the established connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        tcp.configure(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of the response."""
        if (
            self._response is None
            or self._response.done()
            or self._parser is None
        ):
            # No request is in progress, so the bytes belong to none.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail_request(enums.RefusalReason.UPSTREAM_BROKE)
        except httptools.HttpParserError:
            self._fail_request(self._failure_reason())
        self._received_bytes += len(data)
        if not self._response.done() and response_limits.is_oversized(
            received_bytes=self._received_bytes,
            body_bytes=self._all_body_bytes,
            skipped_count=self._skipped_count,
            max_body_bytes=max(
                self._max_body_bytes, response_limits.MAX_OVERHEAD_BYTES
            ),
        ):
            self._fail_request(enums.RefusalReason.ANSWER_TOO_LARGE)
        if response_limits.has_excessive_parts(
            part_count=self._part_count, body_bytes=self._all_body_bytes
        ):
            self._fail_request(enums.RefusalReason.ANSWER_TOO_LARGE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request whose response is incomplete, if any."""
        del exc
        self._is_closed = True
        self._transport = None
        self._parser = None
        self._fail_request(self._failure_reason())
        self._reset_response()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new response."""
        if self._response is not None and self._response.done():
            # These bytes follow a complete response and belong to none.
            self._is_reusable = False
        self._reset_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field."""
        lower = name.lower()
        if lower in (b'content-length', b'transfer-encoding'):
            self._is_framed = True
        self._headers.append((lower.decode(), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Tell whether the response is that to the request.

        That to a HEAD request has no body and is complete.
        """
        self._has_headers = True
        assert self._parser is not None
        status = self._parser.get_status_code()
        if not response_limits.is_valid_status(status):
            self._fail_request(enums.RefusalReason.ANSWER_STATUS_INVALID)
            return
        if status < 200:
            return
        self._match_token()
        if self._is_skipped or self._is_closed:
            return
        if self._method == 'HEAD':
            # The parser would wait for a body, so the connection cannot be
            # reused.
            self._complete_response(status, is_reusable=False)

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, or fail if the body is too large."""
        self._body_bytes += len(data)
        self._all_body_bytes += len(data)
        self._part_count += 1
        if self._body_bytes > self._max_body_bytes:
            self._fail_request(enums.RefusalReason.ANSWER_TOO_LARGE)
            return
        if not self._is_skipped:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete the response unless it is an interim one."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if not response_limits.is_valid_status(status):
            return
        if status < 200 or self._is_skipped:
            self._skipped_count += 1
            return
        if not self._is_framed and status not in (204, 304):
            self._fail_request(enums.RefusalReason.ANSWER_TRUNCATED)
            return
        self._complete_response(
            status, is_reusable=self._parser.should_keep_alive()
        )

    def _reset_response(self) -> None:
        self._headers: call.Headers = []
        self._body.clear()
        self._body_bytes = 0
        self._is_framed = False
        self._has_headers = False
        self._is_skipped = False
        self._has_token = False

    def _match_token(self) -> None:
        """Skip a response to another request, or fail if it may be one."""
        tokens = self._find_values(const.HEADER_CALL_TOKEN)
        self._has_token = self._token in tokens
        if self._has_token:
            return
        if tokens:
            self._is_skipped = True
        elif self._has_responded and (
            self._token not in self._find_values(const.HEADER_NOT_RUN)
        ):
            self._fail_request(enums.RefusalReason.ANSWER_WITHOUT_TOKEN)

    def _find_values(self, name: str) -> list[str]:
        return [value for key, value in self._headers if key == name]

    def _complete_response(self, status: int, *, is_reusable: bool) -> None:
        if self._response is None or self._response.done():
            return
        answer = call.Answer(
            status=status, headers=self._headers, body=self._body.take()
        )
        self._has_responded = True
        # The upstream might read the next request as the rest of this one.
        is_sent = (
            self._transport is not None
            and self._transport.get_write_buffer_size() == 0
        )
        self._is_reusable = is_reusable and self._has_token and is_sent
        self._response.set_result(answer)

    def _fail_request(self, reason: enums.RefusalReason) -> None:
        self._is_reusable = False
        if self._response is not None and not self._response.done():
            error = exceptions.UpstreamError(reason, enums.Outcome.UNKNOWN)
            self._response.set_exception(error)
        if not self._is_closed:
            self.close()

    def _failure_reason(self) -> enums.RefusalReason:
        if self._has_headers:
            return enums.RefusalReason.ANSWER_TRUNCATED
        return enums.RefusalReason.UPSTREAM_BROKE

    def _encode_request(self, request: call.HttpRequest) -> bytes:
        lines = [
            f'{request.method} {request.target} HTTP/1.1',
            f'host: {self._host}',
        ]
        lines += [f'{name}: {value}' for name, value in request.headers]
        if request.body or request.method not in _BODILESS_METHODS:
            lines.append(f'content-length: {len(request.body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        return head.encode('latin-1') + request.body
