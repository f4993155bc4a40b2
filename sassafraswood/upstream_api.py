"""Helpers for a service that runs as an upstream.

A service announces itself to the daemon beside it, makes its own calls
through it, and drains before it stops.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import dataclasses
from typing import Any
import uuid

import httpcore
import msgspec

from sassafraswood import const
from sassafraswood import exceptions

_Message = MutableMapping[str, Any]
_Receive = Callable[[], Awaitable[_Message]]
_Send = Callable[[_Message], Awaitable[None]]
_AsgiApp = Callable[[_Message, _Receive, _Send], Awaitable[None]]


class DaemonRefusedError(exceptions.SassafraswoodError):
    """The daemon refused a request on its local interface.

    Attributes:
        status: HTTP status of its answer.
    """

    def __init__(self, status: int) -> None:
        """Create an error from the HTTP status of the daemon's answer."""
        super().__init__(
            f'the daemon answered with HTTP status {status}, expected 200'
        )
        self.status = status


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChildAnswer:
    """Answer to a call that an upstream made through its daemon.

    Attributes:
        status: HTTP status.
        headers: Names and values in the order received.
        body: Whole body.
        run: Whether the call ran: run, not-run or unknown.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    run: str


class DaemonApi:
    """Client of the local interface of the daemon beside an upstream."""

    def __init__(self, address: str, *, max_connections: int = 512) -> None:
        """Create a client.

        Args:
            address: `local_listen` of the daemon, as host:port.
            max_connections: Most connections to the daemon at a time.
        """
        self._base = f'http://{address}'
        self._instance = uuid.uuid4().hex
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections
        )

    async def async_announce(self, address: str, *, slots: int) -> None:
        """Announce the upstream to the daemon.

        Args:
            address: Address of the upstream, as host:port.
            slots: Number of calls that the upstream runs at once.

        Raises:
            DaemonRefusedError: The daemon refused the announcement.
        """
        await self._async_post(
            '/upstream/announce',
            {'address': address, 'slots': slots, 'instance': self._instance},
        )

    async def async_drain(self) -> None:
        """Stop the daemon from sending new calls; running ones continue.

        Raises:
            DaemonRefusedError: The daemon refused the request.
        """
        await self._async_post('/upstream/drain', {})

    async def async_leave(self) -> None:
        """Withdraw the announcement of the upstream.

        Raises:
            DaemonRefusedError: The daemon refused the request.
        """
        await self._async_post('/upstream/leave', {})

    async def async_call(
        self,
        method: str,
        target: str,
        *,
        call_token: str,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b'',
        timeout_s: float | None = None,
    ) -> ChildAnswer:
        """Call another service on behalf of a call in flight.

        Args:
            method: HTTP method.
            target: `/{service}/{path}` with an optional query.
            call_token: `Call-Token` of the request that is being served.
            headers: Further headers.
            body: Body of the request.
            timeout_s: Shorter time limit than that of the call, in seconds.
        """
        all_headers = [*(headers or []), (const.HEADER_CALL_TOKEN, call_token)]
        if timeout_s is not None:
            timeout_ms = str(max(1, int(timeout_s * 1000)))
            all_headers.append((const.HEADER_TIMEOUT_MS, timeout_ms))
        response = await self._pool.request(
            method,
            f'{self._base}/call{target}',
            headers=all_headers,
            content=body,
        )
        run = b'unknown'
        for name, value in response.headers:
            if name.lower() == const.HEADER_RUN.encode():
                run = value
        return ChildAnswer(
            status=response.status,
            headers=list(response.headers),
            body=response.content,
            run=run.decode(),
        )

    async def async_close(self) -> None:
        """Close the connections to the daemon."""
        await self._pool.aclose()

    async def _async_post(self, path: str, value: dict) -> None:
        response = await self._pool.request(
            'POST',
            self._base + path,
            headers={'content-type': 'application/json'},
            content=msgspec.json.encode(value),
        )
        if response.status != 200:
            raise DaemonRefusedError(response.status)


class CallTokenMiddleware:
    """ASGI middleware that returns the Call-Token in each response.

    By the token the daemon tells the response from a copy of an earlier one,
    so that it can use the connection again.
    """

    def __init__(self, app: _AsgiApp) -> None:
        """Wrap an ASGI application."""
        self._app = app

    async def __call__(
        self, scope: _Message, receive: _Receive, send: _Send
    ) -> None:
        """Serve one request."""
        name = const.HEADER_CALL_TOKEN.encode()
        fields = [
            (name, value)
            for key, value in scope.get('headers', ())
            if key == name
        ]
        if scope['type'] != 'http' or not fields:
            await self._app(scope, receive, send)
            return

        async def async_send(message: _Message) -> None:
            if message['type'] == 'http.response.start':
                headers = [*message.get('headers', ()), *fields]
                message = {**message, 'headers': headers}
            await send(message)

        await self._app(scope, receive, async_send)


def answer_headers(call_token: str) -> list[tuple[str, str]]:
    """Return the headers that each response of an upstream should have.

    CallTokenMiddleware adds them to the responses of an ASGI application.

    Args:
        call_token: `Call-Token` of the request.
    """
    return [(const.HEADER_CALL_TOKEN, call_token)]


def not_run_headers(call_token: str) -> list[tuple[str, str]]:
    """Return the headers of a response with which an upstream sheds a call.

    With status 429 or 503 they prove that the call was not run.

    Args:
        call_token: `Call-Token` of the request that is shed.
    """
    return [(const.HEADER_NOT_RUN, call_token)]
