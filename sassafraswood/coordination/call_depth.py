"""How many levels of calls are below those of the own upstream."""

import math
from typing import Final

# Depth that is not exceeded, also where services call each other in a circle.
MAX_DEPTH: Final = 12
# A depth that was not seen for this time, in seconds, counts no more.
MEMORY_S: Final = 10.0


class CallDepth:
    """The most levels that were below a call lately.

    It travels with answers, like the load of the services below.
    """

    def __init__(self) -> None:
        """Start without knowledge."""
        self._depth: int | None = None
        self._seen_at = -math.inf

    def note(self, depth: int, now: float) -> None:
        """Take the levels below a call of the upstream."""
        known = self._depth
        if known is None or depth >= known or now - self._seen_at > MEMORY_S:
            self._depth = min(depth, MAX_DEPTH)
            self._seen_at = now

    @property
    def depth(self) -> int | None:
        """Return the levels below calls of the upstream, if known."""
        return self._depth
