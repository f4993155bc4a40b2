"""HTTP client for the callers of experiments and scenarios."""

from collections.abc import Iterable
import dataclasses
import typing

import anyio
import httpcore

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Answer or refusal that a caller received.

    Attributes:
        status: HTTP status; 0 if no complete reply came.
        run: Value of the header sassafraswood-run: run, not-run or unknown;
            empty without the header.
        reason: Reason of a refusal; empty for answers.
        body: Body of the reply.
        is_complete: False if the connection failed or the time was over before
            the whole reply was received.
        headers: Names in lower case, and values, in the order received.
    """

    status: int
    run: str
    reason: str
    body: bytes
    is_complete: bool = True
    headers: tuple[tuple[str, str], ...] = ()


BROKEN_REPLY: typing.Final = Reply(
    status=0, run='unknown', reason='', body=b'', is_complete=False
)


class Caller:
    """Client with a persistent connection, which is replaced if it breaks."""

    def __init__(self, address: str, *, key: str | None = None) -> None:
        """Initialize without connecting.

        Args:
            address: Address of the daemon or upstream, as host:port.
            key: API key that the calls carry; None for none.
        """
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
        """Return the reply, or BROKEN_REPLY if it was not complete in time."""
        connection = self._get_connection()
        try:
            with anyio.fail_after(timeout_s):
                response = await connection.handle_async_request(
                    self._build_request(method, target, headers, body)
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
            return BROKEN_REPLY
        return _build_reply(response, content)

    async def async_close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    def _get_connection(self) -> httpcore.AsyncHTTPConnection:
        connection = self._connection
        if connection is None or not connection.is_available():
            connection = httpcore.AsyncHTTPConnection(self._origin)
            self._connection = connection
        return connection

    def _build_request(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
    ) -> httpcore.Request:
        all_headers = [('host', self._origin.host.decode()), *headers]
        if self._key is not None:
            all_headers.append(('authorization', f'Bearer {self._key}'))
        if body or method in ('POST', 'PUT', 'PATCH'):
            all_headers.append(('content-length', str(len(body))))
        return httpcore.Request(
            method,
            httpcore.URL(
                scheme=b'http',
                host=self._origin.host,
                port=self._origin.port,
                target=target.encode(),
            ),
            headers=[
                (name.encode(), value.encode()) for name, value in all_headers
            ],
            content=body,
        )


def _build_reply(response: httpcore.Response, content: bytes) -> Reply:
    headers = tuple(
        (name.decode().lower(), value.decode('latin-1'))
        for name, value in response.headers
    )
    header_values = dict(headers)
    reason = ''
    if header_values.get('content-type', '').startswith(
        'application/problem+json'
    ):
        before, _, after = content.partition(b'"reason":"')
        del before
        reason = after.partition(b'"')[0].decode()
    return Reply(
        status=response.status,
        run=header_values.get('sassafraswood-run', ''),
        reason=reason,
        body=content,
        headers=headers,
    )
