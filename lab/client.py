"""Callers for experiments."""

from collections.abc import Iterable
import dataclasses
import typing

import anyio
import httpcore

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Answer that a caller got.

    Attributes:
        run: run, not-run or unknown; empty without the header.
        reason: Reason of a refusal; empty for answers.
        is_whole: False if the connection failed before the whole answer.
    """

    status: int
    run: str
    reason: str
    body: bytes
    is_whole: bool = True
    headers: tuple[tuple[str, str], ...] = ()


BROKEN: typing.Final = Reply(
    status=0, run='unknown', reason='', body=b'', is_whole=False
)


class Caller:
    """One kept-open connection to a daemon, replaced when it breaks."""

    def __init__(self, address: str, *, key: str | None = None) -> None:
        """Call the daemon at host:port with a key."""
        self.address = address
        host, port = address.rsplit(':', 1)
        self._origin = httpcore.Origin(b'http', host.encode(), int(port))
        self._key = key
        self._connection: httpcore.AsyncHTTPConnection | None = None

    async def async_call(
        self,
        method: str,
        target: str,
        *,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        timeout_s: float = 30.0,
    ) -> Reply:
        """Return the reply, or BROKEN if none came in time."""
        connection = self._take()
        try:
            with anyio.fail_after(timeout_s):
                response = await connection.handle_async_request(
                    self._request(method, target, headers, body)
                )
                content = await response.aread()
                await response.aclose()
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            TimeoutError,
        ):
            await self.async_close()
            return BROKEN
        return _reply(response, content)

    async def async_close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    def _take(self) -> httpcore.AsyncHTTPConnection:
        connection = self._connection
        if connection is None or not connection.is_available():
            connection = httpcore.AsyncHTTPConnection(self._origin)
            self._connection = connection
        return connection

    def _request(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
    ) -> httpcore.Request:
        pairs = [('host', self._origin.host.decode()), *headers]
        if self._key is not None:
            pairs.append(('authorization', f'Bearer {self._key}'))
        if body or method in ('POST', 'PUT', 'PATCH'):
            pairs.append(('content-length', str(len(body))))
        return httpcore.Request(
            method,
            httpcore.URL(
                scheme=b'http',
                host=self._origin.host,
                port=self._origin.port,
                target=target.encode(),
            ),
            headers=[(name.encode(), value.encode()) for name, value in pairs],
            content=body,
        )


def _reply(response: httpcore.Response, content: bytes) -> Reply:
    headers = tuple(
        (name.decode().lower(), value.decode('latin-1'))
        for name, value in response.headers
    )
    fields = dict(headers)
    reason = ''
    if fields.get('content-type', '').startswith('application/problem+json'):
        before, _, after = content.partition(b'"reason":"')
        del before
        reason = after.partition(b'"')[0].decode()
    return Reply(
        status=response.status,
        run=fields.get('sassafraswood-run', ''),
        reason=reason,
        body=content,
        headers=headers,
    )
