"""HTTP/1.1 client with one persistent connection to a daemon."""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """Complete HTTP response of a daemon."""

    status: int
    fields: dict[str, str]
    body: bytes


class HttpCaller:
    """Sends one request at a time over a persistent connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Initialize with the daemon's host and port."""
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def async_call(self, payload: bytes, timeout_s: float) -> Response:
        """Send a request and return the response.

        Raises:
            ConnectionError: The connection failed or ended early.
            TimeoutError: No complete response arrived within timeout_s.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._async_exchange(payload)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            if isinstance(error, TimeoutError):
                raise
            raise ConnectionError(str(error)) from error

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _async_exchange(self, payload: bytes) -> Response:
        if self._reader is None or self._reader.at_eof():
            self.close()
            self._reader, self._writer = await asyncio.open_connection(
                *self._address
            )
        assert self._writer is not None
        self._writer.write(payload)
        response = await async_read_response(self._reader)
        if response.fields.get('connection', '').lower() == 'close':
            self.close()
        return response


async def async_read_response(
    reader: asyncio.StreamReader, *, has_body: bool = True
) -> Response:
    """Return the next response on a connection.

    Args:
        reader: Stream of the connection.
        has_body: Whether a body follows, unlike in a response to HEAD.

    Raises:
        IncompleteReadError: The connection ended before.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    line, *rows = head.decode('latin-1').split('\r\n')
    fields = {
        name.lower(): value
        for name, _, value in (row.partition(': ') for row in rows if row)
    }
    length = int(fields.get('content-length', '0')) if has_body else 0
    body = await reader.readexactly(length)
    return Response(status=int(line.split()[1]), fields=fields, body=body)
