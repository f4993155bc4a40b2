"""HTTP servers on the event loop of the daemon."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import MutableMapping
import contextlib
import functools
from typing import Any

import anyio
import uvicorn
from uvicorn.protocols.http import httptools_impl

from sassafraswood import const
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.protocol import problems
from sassafraswood.transport import tcp

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
Count = Callable[[str], None]


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
    parts = [body]
    size_bytes = len(body)
    while message.get('more_body', False):
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnectedError
        parts.append(message.get('body', b''))
        size_bytes += len(parts[-1])
        if size_bytes > limit_bytes:
            raise BodyTooLargeError
    return b''.join(parts)


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
        self, count: Count, max_connections: int, *args: Any, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._count = count
        self._max_connections = max_connections
        self._header_timer: asyncio.TimerHandle | None = None

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
        super().on_headers_complete()

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
    """A uvicorn server that leaves signals to the composition root."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


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
                _HttpProtocol, count, max_connections
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

    @property
    def is_started(self) -> bool:
        """Return whether the server listens."""
        return self._server.started

    async def async_serve(self) -> None:
        """Serve until stop is called and all connections are closed."""
        await self._server.serve()

    async def async_wait_started(self) -> None:
        """Wait until the server listens."""
        while not self._server.started and not self._server.should_exit:
            await anyio.sleep(0.005)

    def stop(self) -> None:
        """Stop listening; requests in flight are still answered."""
        self._server.should_exit = True
