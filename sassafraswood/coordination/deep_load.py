"""Load of the services that an upstream calls, directly or not."""

import math
from typing import Final

# An answer's weight; about twenty answers decide, so that one busy upstream
# of several does not.
GAIN: Final = 0.05
# Without answers for this time in seconds nothing is known.
LIFETIME_S: Final = 1.0
# Load that a refused call stands for; it found no room in a full queue.
REFUSED_LOAD: Final = 2.0


class DeepLoad:
    """Mean load that the calls of the own upstream met.

    It travels with answers from the deepest service to the first, so that
    each daemon knows the load below it without knowing the call graph.
    """

    def __init__(self) -> None:
        """Start without knowledge."""
        self._load = 0.0
        self._noted_at = -math.inf

    def note(self, load: float, now: float) -> None:
        """Take the load that one call met."""
        if now - self._noted_at > LIFETIME_S:
            self._load = 0.0
        self._load += GAIN * (load - self._load)
        self._noted_at = now

    def load(self, now: float) -> float:
        """Return the mean load; 0 if nothing is known."""
        if now - self._noted_at > LIFETIME_S:
            return 0.0
        return self._load
