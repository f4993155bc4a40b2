"""Helpers for a service that runs as an upstream.

A service announces itself to the daemon beside it, makes its own calls
through it, and drains before it stops.
"""

import dataclasses
import uuid

import httpcore
import msgspec

from sassafraswood import const
from sassafraswood import exceptions


class DaemonRefusedError(exceptions.SassafraswoodError):
    """The daemon did not take an announcement.

    Attributes:
        status: HTTP status of its answer.
    """

    def __init__(self, status: int) -> None:
        """Take the HTTP status."""
        super().__init__(f'the daemon answered {status}')
        self.status = status


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChildAnswer:
    """Answer to a call that an upstream made.

    Attributes:
        run: Whether the call ran: run, not-run or unknown.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    run: str


class DaemonApi:
    """The local interface of the daemon beside an upstream."""

    def __init__(self, address: str, *, max_connections: int = 512) -> None:
        """Use the daemon whose local_listen is host:port."""
        self._base = f'http://{address}'
        self._instance = uuid.uuid4().hex
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections
        )

    async def async_announce(self, address: str, *, slots: int) -> None:
        """Offer an upstream at host:port that runs slots calls at once.

        Raises:
            DaemonRefusedError: The daemon did not take it.
        """
        await self._async_post(
            '/upstream/announce',
            {'address': address, 'slots': slots, 'instance': self._instance},
        )

    async def async_drain(self) -> None:
        """Ask for no more calls; those that run are finished."""
        await self._async_post('/upstream/drain', {})

    async def async_leave(self) -> None:
        """Withdraw the upstream."""
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
        """Call another service on behalf of a call that this one runs.

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


def not_run_headers(call_token: str) -> list[tuple[str, str]]:
    """Return the headers with which an upstream sheds a call.

    With status 429 or 503 they prove that the call was not run.
    """
    return [(const.HEADER_NOT_RUN, call_token)]
