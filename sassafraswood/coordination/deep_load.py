"""Load of the services that an upstream calls, directly or not."""

import math
from typing import Final

# Time constant of the mean in seconds; three levels of a call graph then lag
# by less than the time of a usual call tree. Weights by time make it the same
# for few and for many calls.
MEAN_S: Final = 0.1
# Without answers for this time in seconds nothing is known.
LIFETIME_S: Final = 1.0
# What is left of a load after each hop, so that it dies out where services
# call each other in a circle.
HOP_SHARE: Final = 0.95
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
        gain = 1.0 - math.exp((self._noted_at - now) / MEAN_S)
        self._load += gain * (load - self._load)
        self._noted_at = now

    def load(self, now: float) -> float:
        """Return the mean load; 0 if nothing is known."""
        if now - self._noted_at > LIFETIME_S:
            return 0.0
        return self._load
