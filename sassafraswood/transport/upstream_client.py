"""Client to the upstream beside this daemon."""

import collections
import socket

import anyio
import httpcore

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(const.PEER_SILENT_S * 1000),
    ),
]


class UpstreamClient:
    """Sends requests to one upstream over connections that stay open.

    The admission bounds how many calls run, so the client bounds nothing.
    httpcore's own pool is not used: its bookkeeping per request costs more
    than the request (docs/decisions/http.md).
    """

    def __init__(self, *, clock: clock_module.Clock) -> None:
        """Create a client without an address."""
        self._clock = clock
        self._origin: httpcore.Origin | None = None
        self._idle: collections.deque[
            tuple[float, httpcore.AsyncHTTPConnection]
        ] = collections.deque()

    def set_address(self, address: str) -> None:
        """Send further requests to host:port."""
        host, port = address.rsplit(':', 1)
        origin = httpcore.Origin(b'http', host.encode(), int(port))
        if origin != self._origin:
            self._origin = origin
            self._idle.clear()

    async def async_probe(self) -> bool:
        """Return whether the upstream accepts a new connection."""
        if self._origin is None:
            return False
        try:
            with anyio.fail_after(const.UPSTREAM_CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(
                    self._origin.host.decode(), self._origin.port
                )
        except (OSError, TimeoutError):
            return False
        await stream.aclose()
        return True

    async def async_send(
        self, request: call.HttpRequest, *, max_body_bytes: int
    ) -> call.Answer:
        """Send a request and return the whole answer.

        Cancelling it closes the connection.

        Raises:
            UpstreamError: With outcome NOT_RUN if no byte was sent.
        """
        if self._origin is None:
            raise exceptions.UpstreamError(
                enums.RefusalReason.NO_UPSTREAM, enums.Outcome.NOT_RUN
            )
        connection = self._take()
        is_kept = False
        try:
            answer, is_kept = await self._async_exchange(
                connection, request, max_body_bytes
            )
        finally:
            if is_kept:
                self._idle.append((self._clock.monotonic(), connection))
            else:
                with anyio.CancelScope(shield=True):
                    await connection.aclose()
        return answer

    async def async_retire_idle(self) -> None:
        """Close connections that were idle for UPSTREAM_IDLE_S."""
        limit = self._clock.monotonic() - const.UPSTREAM_IDLE_S
        while self._idle and self._idle[0][0] < limit:
            _, connection = self._idle.popleft()
            await connection.aclose()

    def _take(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            _, connection = self._idle.pop()
            if not connection.is_closed() and not connection.has_expired():
                return connection
        assert self._origin is not None
        return httpcore.AsyncHTTPConnection(
            self._origin, socket_options=_SOCKET_OPTIONS
        )

    async def _async_exchange(
        self,
        connection: httpcore.AsyncHTTPConnection,
        request: call.HttpRequest,
        max_body_bytes: int,
    ) -> tuple[call.Answer, bool]:
        try:
            response = await connection.handle_async_request(
                self._to_http(request)
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise exceptions.UpstreamError(
                enums.RefusalReason.UPSTREAM_UNREACHABLE,
                enums.Outcome.NOT_RUN,
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise exceptions.UpstreamError(
                enums.RefusalReason.UPSTREAM_BROKE, enums.Outcome.UNKNOWN
            ) from error
        body = await self._async_read_body(response, max_body_bytes)
        headers = [
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in response.headers
        ]
        answer = call.Answer(
            status=response.status, headers=headers, body=body
        )
        return answer, connection.is_idle()

    async def _async_read_body(
        self, response: httpcore.Response, max_body_bytes: int
    ) -> bytes:
        parts = []
        size = 0
        try:
            async for part in response.aiter_stream():
                size += len(part)
                if size > max_body_bytes:
                    raise exceptions.UpstreamError(
                        enums.RefusalReason.ANSWER_TOO_LARGE,
                        enums.Outcome.UNKNOWN,
                    )
                parts.append(part)
            await response.aclose()
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise exceptions.UpstreamError(
                enums.RefusalReason.ANSWER_TRUNCATED, enums.Outcome.UNKNOWN
            ) from error
        return b''.join(parts)

    def _to_http(self, request: call.HttpRequest) -> httpcore.Request:
        assert self._origin is not None
        host = b'%s:%d' % (self._origin.host, self._origin.port)
        headers = [(b'host', host)]
        headers += [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in request.headers
        ]
        if request.body or request.method not in ('GET', 'HEAD', 'DELETE'):
            length = str(len(request.body)).encode()
            headers.append((b'content-length', length))
        return httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b'http',
                host=self._origin.host,
                port=self._origin.port,
                target=request.target.encode('latin-1'),
            ),
            headers=headers,
            content=request.body,
        )
