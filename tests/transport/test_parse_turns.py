"""Tests of the turns in which slow messages are parsed."""

import asyncio

from sassafraswood.transport import parse_turns

CONNECTIONS = 8
TURNS_OF_MESSAGE = 50


class Connection:
    """Connection whose message ends after some turns."""

    def __init__(
        self, turns: parse_turns.ParseTurns, order: list['Connection']
    ) -> None:
        """Initialize with a list to which each turn is added."""
        self.parsed_events = 0
        self._turns = turns
        self._order = order

    def request(self) -> None:
        """Ask for a turn."""
        self._turns.request(self, asyncio.get_running_loop())

    def continue_parsing(self) -> None:
        """Parse a part of the message."""
        self._order.append(self)
        self.parsed_events += parse_turns.MAX_EVENTS_AT_ONCE
        if self._order.count(self) < TURNS_OF_MESSAGE:
            self.request()


async def async_take_turns() -> tuple[list[Connection], list[Connection]]:
    """Return the connections, and the same in the order of their turns."""
    turns = parse_turns.ParseTurns()
    order: list[Connection] = []
    connections = [Connection(turns, order) for _ in range(CONNECTIONS)]
    for connection in connections:
        connection.request()
    async with asyncio.timeout(20.0):
        while len(order) < CONNECTIONS * TURNS_OF_MESSAGE:
            await asyncio.sleep(0)
    return connections, order


# Guards against messages without end that all last until their deadlines,
# since each waits for the turns of all others.
def test_long_messages_end_one_after_the_other() -> None:
    """The first one ends in about twice its own time."""
    connections, order = asyncio.run(async_take_turns())
    ends = sorted(
        max(i for i, taker in enumerate(order) if taker is connection)
        for connection in connections
    )
    assert ends[0] <= 2 * TURNS_OF_MESSAGE + CONNECTIONS
    assert ends[1] <= 4 * TURNS_OF_MESSAGE


# Guards against a long message that keeps others from being parsed.
def test_other_messages_have_half_of_the_turns() -> None:
    """Each of them has a turn in twice the number of connections."""
    connections, order = asyncio.run(async_take_turns())
    begin = order[:TURNS_OF_MESSAGE]
    for start in range(0, len(begin) - 2 * CONNECTIONS):
        assert set(begin[start : start + 2 * CONNECTIONS]) == set(connections)
