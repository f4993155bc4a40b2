"""Turns of connections that have received more than is parsed at once."""

import asyncio
import collections
from typing import Final, Protocol

# Fields and body parts of a message that are parsed before the rest waits
# for turns, and those that are parsed in a turn.
MAX_EVENTS_AT_ONCE: Final = 2048


class ParsingConnection(Protocol):
    """A connection with received bytes that are not parsed yet."""

    @property
    def parsed_events(self) -> int:
        """Return the fields and body parts of its message so far."""

    def continue_parsing(self) -> None:
        """Parse further bytes; may ask for another turn."""


class ParseTurns:
    """Gives one connection a turn in each iteration of the event loop.

    However many connections receive responses that are slow to parse, the rest
    of the process waits for one turn at most. Every other turn is that of the
    longest message, so that messages which never end meet their limits one
    after the other, and not all of them only shortly before their deadlines.

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
        self._is_turn_of_longest = False

    def request(
        self, connection: ParsingConnection, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Give a connection a turn, in general behind those that wait already.

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
        if self._is_turn_of_longest:
            connection = max(
                self._waiting, key=lambda waiting: waiting.parsed_events
            )
            self._waiting.remove(connection)
        else:
            connection = self._waiting.popleft()
        self._is_turn_of_longest = not self._is_turn_of_longest
        if self._waiting:
            self._schedule(loop)
        connection.continue_parsing()
