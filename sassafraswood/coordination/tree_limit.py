"""Limit of the calls of one route that run at one upstream.

A call that makes calls of its own loads the services below. The limit keeps
their queues short, so that calls are refused before they start and not when
half of their work is done.
"""

import math
from typing import Final

# Load of the services below at which the least urgent calls give way, and how
# much more the most urgent ones bear. At 1 every slot is in use; a fifth of
# the slots as a queue keeps them in use when arrivals vary.
PRESSED_LOAD: Final = 1.2
PRESSED_RANGE: Final = 1.0
# Up to this load, a fifth of the slots below free, the limit grows fastest.
CALM_LOAD: Final = 0.8
# Share of the slots that a route starts with; calls of a whole burst would
# reach the services below before their load is known.
START_SHARE: Final = 0.25
UPDATE_S: Final = 0.1
# A cut shows once the calls that run have ended and their load is known here,
# so that neither the next cut nor growth comes earlier.
CUT_INTERVAL_S: Final = 1.0
MAX_CUT: Final = 0.35
# Growth of one update as a share of the capacity: equal steps and cuts in
# proportion bring the limits of several upstreams to the same share (Chiu and
# Jain, 1989). The whole range takes 25 s, or 4 s while there are free slots.
GROWTH_SHARE: Final = 0.004
GROWTH_SHARE_CALM: Final = 0.025
USED_SHARE: Final = 0.8
MIN_LIMIT: Final = 1.0


class TreeLimit:
    """Adapts the number of calls in flight to the load they cause."""

    def __init__(self, *, capacity: int, now: float) -> None:
        """Start with a part of the capacity of the upstream."""
        self._capacity = capacity
        self._limit = max(MIN_LIMIT, START_SHARE * capacity)
        self._in_flight = 0
        self._peak = 0
        self._updated_at = now
        self._cut_at = -math.inf

    @property
    def limit(self) -> float:
        """Return how many calls may be in flight."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Return how many calls are in flight."""
        return self._in_flight

    @property
    def has_room(self) -> bool:
        """Return whether another call may start."""
        return self._in_flight < max(1, int(self._limit))

    def set_capacity(self, capacity: int) -> None:
        """Take a new capacity of the upstream."""
        if capacity != self._capacity:
            self._capacity = capacity
            self._limit = max(MIN_LIMIT, START_SHARE * capacity)

    def note_start(self) -> None:
        """Count a call that starts."""
        self._in_flight += 1
        self._peak = max(self._peak, self._in_flight)

    def note_end(self) -> None:
        """Count a call that ended."""
        self._in_flight -= 1

    def update(self, now: float, urgency: float, deep_load: float) -> None:
        """Adapt the limit to the load of the services below.

        Args:
            now: Monotonic time in seconds.
            urgency: Of the calls, from 0 to 1.
            deep_load: Load that calls of the upstream met.
        """
        if now - self._updated_at < UPDATE_S:
            return
        self._updated_at = now
        peak, self._peak = self._peak, self._in_flight
        pressed = PRESSED_LOAD + PRESSED_RANGE * urgency
        if now - self._cut_at < CUT_INTERVAL_S:
            return
        if deep_load > pressed:
            self._cut(now, peak, pressed / deep_load)
        elif peak >= USED_SHARE * (self._limit - 1.0):
            room = (pressed - deep_load) / (pressed - CALM_LOAD)
            share = GROWTH_SHARE + min(1.0, room) * (
                GROWTH_SHARE_CALM - GROWTH_SHARE
            )
            grown = self._limit + share * self._capacity
            self._limit = min(float(self._capacity), grown)

    def _cut(self, now: float, peak: int, share: float) -> None:
        self._cut_at = now
        used = min(self._limit, max(MIN_LIMIT, float(peak)))
        self._limit = max(MIN_LIMIT, used * max(MAX_CUT, share))
