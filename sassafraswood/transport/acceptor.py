"""Listening socket on which connections wait while descriptors are scarce."""

import asyncio
from collections.abc import Callable
import contextlib
import resource
import socket
from typing import Final

from sassafraswood.transport import tcp

# Interval at which free descriptors are looked for; the second one while the
# listener is paused.
CHECK_INTERVAL_S: Final = 0.25
RESUME_INTERVAL_S: Final = 0.05
# The listener pauses with fewer free descriptors, whoever uses the others.
MIN_FREE_DESCRIPTORS: Final = 4
# Fraction of the free descriptors that accepted connections leave to others,
# and the largest number of them; an upstream runs some hundred calls at once.
DEFAULT_RESERVE_FRACTION: Final = 1.0 / 16.0
MAX_RESERVED_DESCRIPTORS: Final = 1024


def count_allowed_descriptors() -> float:
    """Return the number of descriptors that the process may have open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float('inf') if limit == resource.RLIM_INFINITY else limit


class Acceptor:
    """Accepts connections, but none while few descriptors are left.

    At the limit of descriptors the event loop accepts and closes connections,
    and a request that was sent on one is lost. Before the limit is reached,
    the event loop stops to listen; the kernel keeps new connections, and what
    is sent on them, until descriptors are free.

    The kernel gives out the lowest free descriptor, so each one tells that
    all below it are in use.

    Attributes:
        is_paused: Whether new connections wait.
    """

    def __init__(
        self,
        create_protocol: Callable[[], asyncio.BaseProtocol],
        *,
        backlog: int,
        reserve_fraction: float = DEFAULT_RESERVE_FRACTION,
        on_crowded: Callable[[], None] = lambda: None,
    ) -> None:
        """Initialize an acceptor that does not listen yet.

        Args:
            create_protocol: Returns the protocol of each connection.
            backlog: Connections that the kernel keeps.
            reserve_fraction: Fraction of the descriptors that are free when
                it starts to listen and that it leaves to others.
            on_crowded: Called again and again while new connections wait, to
                make room for them.
        """
        self.is_paused = False
        self._create_protocol = create_protocol
        self._backlog = backlog
        self._on_crowded = on_crowded
        self._reserve_fraction = reserve_fraction
        self._max_descriptor = float('inf')
        self._loop = asyncio.get_running_loop()
        self._is_closed = False
        self._handshakes_until = 0.0
        self._server: asyncio.Server | None = None
        # Keeps the address and the waiting connections while it is paused.
        self._kept: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._resuming: asyncio.Task[None] | None = None

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """Return the listening socket, also while it is paused."""
        return () if self._kept is None else (self._kept,)

    async def async_open(self, bound: socket.socket) -> None:
        """Start accepting connections on a bound socket.

        Raises:
            OSError: Another socket listens on the address.
        """
        kept = bound.dup()
        try:
            self._server = await self._async_listen(bound)
        except OSError:
            kept.close()
            raise
        self._kept = kept
        limit = count_allowed_descriptors()
        used = self._find_free_descriptor()
        if used < limit < float('inf'):
            self._max_descriptor = limit - min(
                MAX_RESERVED_DESCRIPTORS,
                self._reserve_fraction * (limit - used),
            )
            self._schedule_check()

    @property
    def has_waiting(self) -> bool:
        """Return whether connections may wait although it is closed."""
        return self._is_closed and self._kept is not None

    def close(self, handshake_s: float = 0.0) -> list[socket.socket]:
        """Stop accepting connections; established ones stay open.

        Args:
            handshake_s: Time for which connections that clients are opening
                are still completed.

        Returns:
            The connections that wait to be accepted, which the close of the
            listener would reset. It stays open for others that come or wait
            for descriptors; take_waiting returns them.
        """
        self._is_closed = True
        self._handshakes_until = self._loop.time() + handshake_s
        if self._timer is not None:
            self._timer.cancel()
        if self._resuming is not None:
            self._resuming.cancel()
        if self._server is not None:
            self._server.close()
        if self._kept is None:
            return []
        # Without it, those completed between the last accept and the close
        # would be reset.
        with contextlib.suppress(OSError):
            tcp.ignore_new_connections(self._kept)
        return self.take_waiting()

    def take_waiting(self) -> list[socket.socket]:
        """Return connections that wait, and end once no other can come."""
        if (
            self._kept is None
            or self._find_free_descriptor() >= self._max_descriptor
        ):
            return []
        waiting, is_empty = tcp.accept_waiting(
            self._kept, self._max_descriptor
        )
        if is_empty and self._loop.time() >= self._handshakes_until:
            self._kept.close()
            self._kept = None
        return waiting

    def note_accepted(self, descriptor: int) -> None:
        """Pause if few descriptors are left after a connection.

        Args:
            descriptor: Descriptor of the connection.
        """
        if (
            descriptor < self._max_descriptor
            or self.is_paused
            or self._is_closed
        ):
            return
        self.is_paused = True
        # Not within the callback of the listener that is closed.
        self._loop.call_soon(self._pause)

    def _pause(self) -> None:
        if self._is_closed or self._server is None:
            return
        self._server.close()
        self._server = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._schedule_check()

    def _check(self) -> None:
        """Pause, or listen again, by the descriptors that are free."""
        self._timer = None
        if self._is_closed:
            return
        is_short = self._find_free_descriptor() >= self._max_descriptor
        if self._server is None and not is_short:
            self._resuming = self._loop.create_task(self._async_resume())
            return
        if is_short and self._server is not None:
            self.is_paused = True
            self._server.close()
            self._server = None
        self._schedule_check()
        if self._server is None:
            self._on_crowded()

    def _schedule_check(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(
                RESUME_INTERVAL_S if self.is_paused else CHECK_INTERVAL_S,
                self._check,
            )

    def _find_free_descriptor(self) -> float:
        """Return the descriptor that a connection would get.

        The listener takes the lowest free one before. Infinity if fewer than
        MIN_FREE_DESCRIPTORS are free.
        """
        assert self._kept is not None
        with contextlib.ExitStack() as stack:
            try:
                probes = [
                    stack.enter_context(self._kept.dup()).fileno()
                    for _ in range(MIN_FREE_DESCRIPTORS)
                ]
            except OSError:
                return float('inf')
        return probes[1]

    async def _async_resume(self) -> None:
        assert self._kept is not None
        try:
            bound = self._kept.dup()
        except OSError:
            self._schedule_check()
            return
        try:
            server = await self._async_listen(bound)
        except Exception as error:
            # Connections would wait for good without another try.
            bound.close()
            self._schedule_check()
            if isinstance(error, OSError):
                return
            raise
        if self._is_closed:
            server.close()
            return
        self._server = server
        self.is_paused = False
        self._schedule_check()

    async def _async_listen(self, bound: socket.socket) -> asyncio.Server:
        return await self._loop.create_server(
            self._create_protocol, sock=bound, backlog=self._backlog
        )
