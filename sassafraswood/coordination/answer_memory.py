"""Bounds the memory of answers that clients have not read yet."""

from collections.abc import Callable
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.state import route_maxima

# Routes with smaller answers need no reservation.
LARGE_ANSWER_BYTES: Final = 256 * 1024
# Answers may exceed the limit by this factor before one is dropped; until the
# size of the answers of a route is known, too many calls may begin.
DROP_FACTOR: Final = 2


class AnswerMemory:
    """Refuses calls whose answers would not fit into memory.

    An answer is held until its client has read it, however slowly. A call that
    is refused has not run; an answer that is dropped may have, so that its
    client must not repeat it. So the memory is reserved before a call begins,
    by the largest recent answer of its route.
    """

    def __init__(
        self, clock: clock_module.Clock, unsent_bytes: Callable[[], int]
    ) -> None:
        """Create it without a limit.

        Args:
            clock: Monotonic clock.
            unsent_bytes: Returns the bytes of answers that are not read yet.
        """
        self.limit: int | None = None
        self._clock = clock
        self._unsent_bytes = unsent_bytes
        self._sizes = route_maxima.RouteMaxima(clock.monotonic())
        self._reserved_bytes = 0

    def note_answer(self, route: str, size: int) -> None:
        """Note the size of an answer in bytes."""
        self._sizes.note_call(route, size, self._clock.monotonic())

    def reserve(self, route: str) -> int | None:
        """Reserve memory for the answer of a call.

        A single call may exceed the limit, so that no answer is too large for
        good.

        Returns:
            The reserved bytes, for release(); None if the call must not begin.
        """
        if self.limit is None:
            return 0
        size = int(self._sizes.largest(route))
        if size < LARGE_ANSWER_BYTES:
            size = 0
        used_bytes = self._unsent_bytes() + self._reserved_bytes
        if used_bytes and used_bytes + size > self.limit:
            return None
        self._reserved_bytes += size
        return size

    def release(self, size: int) -> None:
        """Release reserved bytes when the answer is sent or not expected."""
        self._reserved_bytes -= size

    def has_room(self, size: int) -> bool:
        """Return whether an answer of this size in bytes may be held."""
        if self.limit is None or size < LARGE_ANSWER_BYTES:
            return True
        unsent_bytes = self._unsent_bytes()
        return (
            not unsent_bytes or unsent_bytes + size <= DROP_FACTOR * self.limit
        )
