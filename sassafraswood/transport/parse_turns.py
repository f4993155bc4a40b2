"""Turns of connections that have received more than is parsed at once."""

import asyncio
import collections
from typing import Final, Protocol

# Fields and body parts of a message that are parsed before the rest waits
# for turns, and those that are parsed in a turn.
MAX_EVENTS_AT_ONCE: Final = 2048


class ParsingConnection(Protocol):
    """A connection with received bytes that are not parsed yet."""

    def continue_parsing(self) -> None:
        """Parse further bytes; may ask for another turn."""


class ParseTurns:
    """Gives one connection a turn in each iteration of the event loop.

    However many connections receive responses that are slow to parse, the rest
    of the process waits for one turn at most.

    Attributes:
        part_count: Body parts of responses that were parsed since the start.
    """

    def __init__(self) -> None:
        """Initialize without connections."""
        self.part_count = 0
        self._waiting: collections.deque[ParsingConnection] = (
            collections.deque()
        )
        self._is_scheduled = False

    def request(
        self, connection: ParsingConnection, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Give a connection a turn behind those that wait already.

        Args:
            connection: Connection that continues to parse in its turn.
            loop: Event loop of the connection.
        """
        self._waiting.append(connection)
        self._schedule(loop)

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._take_turn, loop)

    def _take_turn(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        connection = self._waiting.popleft()
        if self._waiting:
            self._schedule(loop)
        connection.continue_parsing()
