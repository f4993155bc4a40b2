"""Limit on the calls of one route that run at one upstream.

A call that makes child calls loads the downstream services. The limit keeps
their queues short, so that calls are refused before they start and not after
a part of their work is done.
"""

import math
from typing import Final

# Downstream load above which the limit of the least urgent calls is cut, and
# the additional load that the most urgent calls tolerate. At 1 every slot is
# in use; a queue of a fifth of the slots keeps them in use when arrivals vary.
MIN_CUT_LOAD: Final = 1.2
CUT_LOAD_RANGE: Final = 1.0
# Up to this load, with a fifth of the downstream slots free, the limit grows
# at its highest rate.
FAST_GROWTH_LOAD: Final = 0.8
# Fraction of the slots that a route starts with. Without it, a whole burst
# would reach the downstream services before their load is known.
START_FRACTION: Final = 0.25
UPDATE_INTERVAL_S: Final = 0.1
# A cut takes effect only after the running calls have ended and have reported
# their load, so that the limit does not change again before that.
CUT_INTERVAL_S: Final = 1.0
# Lowest factor that a single cut applies.
MIN_CUT_FACTOR: Final = 0.35
# Growth of one update as a fraction of the capacity. Additive increase and
# multiplicative decrease make the limits of several upstreams converge to the
# same share (Chiu and Jain, 1989). The whole range takes 25 s, or 4 s while
# downstream slots are free.
GROWTH_FRACTION: Final = 0.004
FAST_GROWTH_FRACTION: Final = 0.025
# The limit grows only if the calls in flight used this fraction of it.
MIN_USED_FRACTION: Final = 0.8
MIN_LIMIT: Final = 1.0


class TreeLimit:
    """Adapts the limit on calls in flight to the load they cause."""

    def __init__(self, *, capacity: int, now: float) -> None:
        """Start with the fraction START_FRACTION of the capacity in calls."""
        self._capacity = capacity
        self._limit = max(MIN_LIMIT, START_FRACTION * capacity)
        self._in_flight = 0
        self._peak_in_flight = 0
        self._updated_at = now
        self._last_cut_at = -math.inf

    @property
    def limit(self) -> float:
        """Return the number of calls that may be in flight."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return self._in_flight

    @property
    def has_room(self) -> bool:
        """Return whether another call may start."""
        return self._in_flight < max(1, int(self._limit))

    def set_capacity(self, capacity: int) -> None:
        """Set the capacity of the upstream; a change restarts the limit."""
        if capacity != self._capacity:
            self._capacity = capacity
            self._limit = max(MIN_LIMIT, START_FRACTION * capacity)

    def note_start(self) -> None:
        """Count a call that starts."""
        self._in_flight += 1
        self._peak_in_flight = max(self._peak_in_flight, self._in_flight)

    def note_end(self) -> None:
        """Count a call that ended."""
        self._in_flight -= 1

    def update(self, now: float, urgency: float, deep_load: float) -> None:
        """Adapt the limit to the load of the downstream services.

        Args:
            now: Monotonic time in seconds.
            urgency: Urgency of the calls of the route, from 0 to 1.
            deep_load: Load of the downstream services; at 1 every slot is in
                use.
        """
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        peak_in_flight, self._peak_in_flight = (
            self._peak_in_flight,
            self._in_flight,
        )
        cut_load = MIN_CUT_LOAD + CUT_LOAD_RANGE * urgency
        if now - self._last_cut_at < CUT_INTERVAL_S:
            return
        if deep_load > cut_load:
            self._cut_limit(now, peak_in_flight, cut_load / deep_load)
        elif peak_in_flight >= MIN_USED_FRACTION * (self._limit - 1.0):
            headroom = (cut_load - deep_load) / (cut_load - FAST_GROWTH_LOAD)
            growth_fraction = GROWTH_FRACTION + min(1.0, headroom) * (
                FAST_GROWTH_FRACTION - GROWTH_FRACTION
            )
            grown = self._limit + growth_fraction * self._capacity
            self._limit = min(float(self._capacity), grown)

    def _cut_limit(
        self, now: float, peak_in_flight: int, factor: float
    ) -> None:
        self._last_cut_at = now
        used = min(self._limit, max(MIN_LIMIT, float(peak_in_flight)))
        self._limit = max(MIN_LIMIT, used * max(MIN_CUT_FACTOR, factor))
