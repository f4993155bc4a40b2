"""Listening addresses of a daemon, which may not be free yet at its start."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
import dataclasses
import socket
from typing import Final

from sassafraswood.transport import json_log
from sassafraswood.transport import tcp

FIRST_BACKOFF_S: Final = 0.02
MAX_BACKOFF_S: Final = 0.25
# Until a server sets its own.
BACKLOG: Final = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listener:
    """A server and the address that it listens on.

    Attributes:
        name: Name of the address in the log.
        address: IP address and port.
        async_accept: Starts to accept connections on a bound socket.
    """

    name: str
    address: tuple[str, int]
    async_accept: Callable[[socket.socket], Awaitable[None]]


class ListenerGroup:
    """Opens listeners together, and waits for addresses that are taken.

    No connection is accepted before all addresses are bound, so that nobody
    reaches a part of a daemon. The listeners are opened in order; of two
    processes that wait for the same addresses, one gets all of them.
    """

    def __init__(
        self, listeners: Iterable[Listener], log: json_log.JsonLog
    ) -> None:
        """Initialize the group without binding an address.

        Args:
            listeners: The listeners in the order in which they are opened.
            log: Log that events are written to.
        """
        self._closed = list(listeners)
        self._log = log
        self._bound: dict[str, socket.socket] = {}
        # Time of the event loop at the first failure of each address.
        self._failed_at: dict[str, float] = {}

    async def async_open(self, stop_requested: asyncio.Event) -> bool:
        """Accept connections on all addresses once all can be bound.

        Args:
            stop_requested: Ends the wait.

        Returns:
            Whether all listeners accept connections.
        """
        backoff_s = FIRST_BACKOFF_S
        try:
            while not stop_requested.is_set():
                if await self._async_try():
                    return True
                self._log.flush()
                try:
                    async with asyncio.timeout(backoff_s):
                        await stop_requested.wait()
                except TimeoutError:
                    backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)
            return False
        finally:
            for bound in self._bound.values():
                bound.close()
            self._bound.clear()

    async def _async_try(self) -> bool:
        """Bind and open the listeners as far as possible."""
        for listener in self._closed:
            if listener.name in self._bound:
                continue
            try:
                self._bound[listener.name] = tcp.bind(listener.address)
            except OSError as error:
                self._note_failure(listener, error)
        if len(self._bound) < len(self._closed):
            return False
        while self._closed:
            listener = self._closed[0]
            bound = self._bound.pop(listener.name)
            try:
                # Not left to uvloop, which ignores a failure of it.
                bound.listen(BACKLOG)
                await listener.async_accept(bound)
            except OSError as error:
                # Another process was the first to listen.
                bound.close()
                self._note_failure(listener, error)
                return False
            self._closed.pop(0)
            self._note_success(listener)
        return True

    def _note_failure(self, listener: Listener, error: OSError) -> None:
        if listener.name in self._failed_at:
            return
        self._failed_at[listener.name] = asyncio.get_running_loop().time()
        self._log.change(
            'address_unavailable',
            name=listener.name,
            address='%s:%d' % listener.address,
            error=str(error),
        )

    def _note_success(self, listener: Listener) -> None:
        failed_at = self._failed_at.pop(listener.name, None)
        if failed_at is None:
            return
        waited_s = asyncio.get_running_loop().time() - failed_at
        self._log.change(
            'address_bound', name=listener.name, waited_s=round(waited_s, 3)
        )
