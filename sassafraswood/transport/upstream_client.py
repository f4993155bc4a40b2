"""HTTP client for the upstream beside this daemon."""

import asyncio
import collections
import math

import anyio

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.transport import upstream_connection


class UpstreamClient:
    """Sends requests to one upstream over persistent connections.

    Admission limits the calls in flight, so the client has no limit of its
    own.
    """

    def __init__(self, *, clock: clock_module.Clock) -> None:
        """Initialize a client without an address."""
        self._clock = clock
        self._address: tuple[str, int] | None = None
        self._idle_connections: collections.deque[
            tuple[float, upstream_connection.UpstreamConnection]
        ] = collections.deque()
        # Monotonic time in seconds from which connections are reused.
        self._reuse_at = -math.inf

    def set_address(self, address: str) -> None:
        """Set the address, as host:port, of all further requests."""
        host, port = address.rsplit(':', 1)
        parsed = (host.strip('[]'), int(port))
        if parsed != self._address:
            self._address = parsed
            self._close_idle_connections()

    async def async_probe(self) -> bool:
        """Return whether the upstream accepts a new connection."""
        try:
            connection = await self._async_connect()
        except exceptions.UpstreamError:
            return False
        connection.close()
        return True

    async def async_send(
        self, request: call.HttpRequest, *, max_body_bytes: int
    ) -> call.Answer:
        """Send a request and return its complete response.

        Cancellation closes the connection.

        Args:
            request: The request to send.
            max_body_bytes: Largest accepted body of the response.

        Raises:
            UpstreamError: With outcome NOT_RUN if no byte was sent, and
                UNKNOWN otherwise.
        """
        connection = self._pop_idle_connection()
        if connection is None:
            connection = await self._async_connect()
        try:
            return await connection.async_send(request, max_body_bytes)
        except exceptions.UpstreamError as error:
            if error.reason is enums.RefusalReason.ANSWER_WITHOUT_TOKEN:
                self._pause_reuse()
            raise
        finally:
            now = self._clock.monotonic()
            if connection.is_usable and now >= self._reuse_at:
                self._idle_connections.append((now, connection))
            else:
                connection.close()

    def close_expired_connections(self) -> None:
        """Close connections idle for more than UPSTREAM_IDLE_TIMEOUT_S."""
        expired_before_s = (
            self._clock.monotonic() - const.UPSTREAM_IDLE_TIMEOUT_S
        )
        while (
            self._idle_connections
            and self._idle_connections[0][0] < expired_before_s
        ):
            _, connection = self._idle_connections.popleft()
            connection.close()

    def _pause_reuse(self) -> None:
        """Use each connection once for a while.

        An upstream that returns the token in some answers only would fail
        each other one on a reused connection.
        """
        self._reuse_at = self._clock.monotonic() + const.UPSTREAM_REUSE_PAUSE_S
        self._close_idle_connections()

    def _pop_idle_connection(
        self,
    ) -> upstream_connection.UpstreamConnection | None:
        while self._idle_connections:
            _, connection = self._idle_connections.pop()
            if connection.is_usable:
                return connection
        return None

    def _close_idle_connections(self) -> None:
        while self._idle_connections:
            self._idle_connections.pop()[1].close()

    async def _async_connect(
        self,
    ) -> upstream_connection.UpstreamConnection:
        if self._address is None:
            raise exceptions.UpstreamError(
                enums.RefusalReason.NO_UPSTREAM, enums.Outcome.NOT_RUN
            )
        host, port = self._address
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(const.UPSTREAM_CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: upstream_connection.UpstreamConnection(
                        f'{host}:{port}'
                    ),
                    host,
                    port,
                )
        except (OSError, TimeoutError) as error:
            raise exceptions.UpstreamError(
                enums.RefusalReason.UPSTREAM_UNREACHABLE,
                enums.Outcome.NOT_RUN,
            ) from error
        return connection
