"""Depth of the call tree below the upstream of this daemon."""

import math
from typing import Final

# Upper bound of the depth. Services that call each other in a cycle would
# raise it without end.
MAX_DEPTH: Final = 12
# Time after which a depth that was not observed again is replaced by a lower
# one, in seconds.
DEPTH_LIFETIME_S: Final = 10.0


class CallDepth:
    """Highest recent number of call levels below the upstream.

    It is sent with responses, as is the load of the called services.
    """

    def __init__(self) -> None:
        """Initialize with an unknown depth."""
        self._depth: int | None = None
        self._observed_at = -math.inf

    def note(self, depth: int, now: float) -> None:
        """Record the number of levels below one call of the upstream.

        Args:
            depth: Number of levels.
            now: Monotonic time, in seconds.
        """
        known = self._depth
        if (
            known is None
            or depth >= known
            or now - self._observed_at > DEPTH_LIFETIME_S
        ):
            self._depth = min(depth, MAX_DEPTH)
            self._observed_at = now

    @property
    def depth(self) -> int | None:
        """Return the number of levels below the upstream, None if unknown."""
        return self._depth
