"""HTTP servers on the event loop of the daemon."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import MutableMapping
import contextlib
import functools
import os
import socket
from typing import Any, Final

import anyio
import uvicorn
from uvicorn.protocols.http import httptools_impl

from sassafraswood import const
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.protocol import problems
from sassafraswood.transport import body_buffer
from sassafraswood.transport import tcp

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
Count = Callable[[str], None]

# Time for which a stopping server accepts the connections that the kernel has
# completed, before it closes its listener.
_LAST_ACCEPT_S: Final = 0.05
# Longest time for which a stopping server then waits for requests that are on
# their way, and the interval at which it looks for them.
_LAST_REQUEST_S: Final = 0.25
_LOOK_INTERVAL_S: Final = 0.01


class BodyTooLargeError(Exception):
    """The body of a request exceeds the limit."""


class CallerDisconnectedError(Exception):
    """The caller disconnected before the whole body was received."""


async def async_read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Return the whole body of a request.

    Args:
        receive: ASGI receive function.
        limit_bytes: Largest body to accept.

    Raises:
        BodyTooLargeError: The body is larger than the limit.
        CallerDisconnectedError: The body was not received to its end.
    """
    message = await receive()
    body: bytes = message.get('body', b'')
    if not message.get('more_body', False):
        if message['type'] == 'http.disconnect':
            raise CallerDisconnectedError
        if len(body) > limit_bytes:
            raise BodyTooLargeError
        return body
    parts = body_buffer.BodyBuffer()
    parts.append(body)
    size_bytes = len(body)
    while message.get('more_body', False):
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnectedError
        part = message.get('body', b'')
        parts.append(part)
        size_bytes += len(part)
        if size_bytes > limit_bytes:
            raise BodyTooLargeError
    return parts.take()


async def async_send(
    send: Send, status: int, headers: call.Headers, body: bytes
) -> None:
    """Send a complete answer with its length."""
    encoded_headers = [
        (name.encode('latin-1'), value.encode('latin-1'))
        for name, value in headers
    ]
    encoded_headers.append((b'content-length', str(len(body)).encode()))
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': encoded_headers,
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def async_send_refusal(send: Send, refusal: call.Refusal) -> None:
    """Answer with the problem details of a refusal."""
    details = problems.problem_details(refusal)
    await async_send(send, details.status, details.headers, details.body)


class _HttpProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP protocol of uvicorn with the limits of the daemon.

    Adds a limit on connections and one on the time for the headers of a
    request. Each request that breaks a limit, and each malformed one, is
    counted and answered with problem details.
    """

    def __init__(
        self,
        count: Count,
        max_connections: int,
        is_stopping: Callable[[], bool],
        *args: Any,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self._count = count
        self._is_stopping = is_stopping
        self._max_connections = max_connections
        self._header_timer: asyncio.TimerHandle | None = None
        # Time of the event loop; None while the server listens.
        self._closes_at: float | None = None

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        tcp.enable_keepalive(transport.get_extra_info('socket'))
        if len(self.connections) > self._max_connections:
            refusal = call.Refusal(
                reason=enums.RefusalReason.TOO_MANY_CONNECTIONS,
                outcome=enums.Outcome.NOT_RUN,
            )
            self._refuse(refusal)
            return
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_header_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        if self._header_timer is None:
            self._start_header_timer()

    def on_headers_complete(self) -> None:
        self._stop_header_timer()
        previous = self.cycle
        super().on_headers_complete()
        if not self._is_stopping():
            return
        # Only the last response of several requests closes the connection.
        if previous is not None and not previous.response_complete:
            previous.keep_alive = True
        self.cycle.keep_alive = False

    def shutdown(self) -> None:
        """Close the connection after the requests that have arrived.

        A close before the process has read what the kernel holds of a request
        resets the connection, and its client does not learn whether it ran.
        """
        if self.transport.is_closing():
            return
        if self._closes_at is None:
            self._closes_at = self.loop.time() + _LAST_REQUEST_S
        is_idle = self.cycle is None or self.cycle.response_complete
        is_request_on_its_way = (
            self._header_timer is not None
            or tcp.count_unread_bytes(self.transport) > 0
        )
        if (
            is_idle
            and is_request_on_its_way
            and self.loop.time() < self._closes_at
        ):
            self.loop.call_later(_LOOK_INTERVAL_S, self.shutdown)
            return
        super().shutdown()

    def send_400_response(self, msg: str) -> None:
        """Answer malformed HTTP with problem details and disconnect."""
        del msg
        refusal = call.Refusal(
            reason=enums.RefusalReason.MALFORMED_REQUEST,
            outcome=enums.Outcome.NOT_RUN,
        )
        self._refuse(refusal)

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            const.HEADER_TIMEOUT_S, self._on_header_timeout
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        if self.transport.is_closing():
            return
        refusal = call.Refusal(
            reason=enums.RefusalReason.HEADERS_TIMEOUT,
            outcome=enums.Outcome.NOT_RUN,
        )
        self._refuse(refusal)

    def _refuse(self, refusal: call.Refusal) -> None:
        self._count(f'refused.{refusal.reason.value}')
        details = problems.problem_details(refusal)
        lines = [f'HTTP/1.1 {details.status} Refused'.encode()]
        lines += [
            f'{name}: {value}'.encode('latin-1')
            for name, value in details.headers
        ]
        lines += [
            b'connection: close',
            f'content-length: {len(details.body)}'.encode(),
        ]
        self.transport.write(b'\r\n'.join(lines) + b'\r\n\r\n' + details.body)
        self.transport.close()


class _Server(uvicorn.Server):
    """A uvicorn server that loses no request that arrives before its end.

    It leaves signals to the composition root.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Accept what waits at the listeners, and stop as uvicorn does."""
        for server in self.servers:
            for listener in server.sockets:
                # Without a filter, connections completed between the last
                # accept and the close are reset.
                with (
                    contextlib.suppress(OSError),
                    socket.socket(fileno=os.dup(listener.fileno())) as shared,
                ):
                    tcp.ignore_new_connections(shared)
        await asyncio.sleep(_LAST_ACCEPT_S)
        await super().shutdown(sockets)


class HttpServer:
    """A server for one application on one listening address."""

    def __init__(
        self,
        *,
        address: str,
        application: Application,
        count: Count,
        max_connections: int,
    ) -> None:
        """Configure a server without starting it.

        Args:
            address: Address to listen on, as host:port.
            application: ASGI application.
            count: Increments a counter.
            max_connections: Most open connections; further ones are refused.
        """
        host, port = address.rsplit(':', 1)
        config = uvicorn.Config(
            application,
            host=host.strip('[]'),
            port=int(port),
            http=functools.partial(  # type: ignore[arg-type]
                _HttpProtocol,
                count,
                max_connections,
                self._is_stopping,
            ),
            loop='none',
            ws='none',
            interface='asgi3',
            proxy_headers=False,
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=const.CALLER_KEEP_ALIVE_S,
            backlog=2048,
        )
        config.load()
        self._server = _Server(config)
        self._has_ended = asyncio.Event()

    @property
    def is_started(self) -> bool:
        """Return whether the server listens."""
        return self._server.started

    async def async_serve(self) -> None:
        """Serve until stop is called and all connections are closed."""
        try:
            await self._server.serve()
        finally:
            self._has_ended.set()

    async def async_wait_started(self) -> None:
        """Wait until the server listens."""
        while not self._server.started and not self._server.should_exit:
            await anyio.sleep(0.005)

    async def async_wait_ended(self) -> None:
        """Wait until all connections are closed after a stop."""
        await self._has_ended.wait()

    def stop(self) -> None:
        """Stop listening; requests that have arrived are still answered."""
        self._server.should_exit = True

    def _is_stopping(self) -> bool:
        return self._server.should_exit
