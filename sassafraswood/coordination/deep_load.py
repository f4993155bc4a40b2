"""Load of the services that an upstream calls, directly or indirectly."""

import math
from typing import Final

# Time constant of the exponential mean. Three levels of a call graph then lag
# by less than the duration of a usual call tree. Weighting by time makes the
# lag independent of the call rate.
MEAN_TIME_CONSTANT_S: Final = 0.1
# Without an update for this time, the load counts as unknown.
LOAD_LIFETIME_S: Final = 1.0
# Factor applied to a load at each hop, so that it decays where services call
# each other in a cycle.
HOP_DECAY_FACTOR: Final = 0.95
# Load recorded for a refused call, which found a full queue.
REFUSED_CALL_LOAD: Final = 2.0


class DownstreamLoad:
    """Averages the load that calls made by the own upstream encountered.

    Answers carry the load from the deepest service back to the first, so
    that each daemon knows its downstream load without the call graph.
    """

    def __init__(self) -> None:
        """Start without a known load."""
        self._load = 0.0
        self._updated_at = -math.inf

    def note(self, load: float, now: float) -> None:
        """Add the load that one call encountered to the mean."""
        gain = 1.0 - math.exp((self._updated_at - now) / MEAN_TIME_CONSTANT_S)
        self._load += gain * (load - self._load)
        self._updated_at = now

    def load(self, now: float) -> float:
        """Return the mean load; 0 if it is unknown."""
        if now - self._updated_at > LOAD_LIFETIME_S:
            return 0.0
        return self._load
