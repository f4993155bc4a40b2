"""Limit of the calls of one route that run at one upstream.

A call that makes calls of its own slows down when a service below it is
full. The limit keeps its time in flight below a target, so that calls are
refused before they start and not when half of their work is done.
"""

import math
from typing import Final

# Share of the latency target of the least important calls, and of the most
# important ones, which give way last.
TARGET_SHARE: Final = 0.5
TARGET_SHARE_IMPORTANT: Final = 0.75
# Latency relative to the lowest one seen that is no sign of load, for routes
# that need most of their target even alone.
BASELINE_FACTOR: Final = 1.6
# The baseline rises by this share per second, so that a lasting change of
# the work is taken over within minutes.
BASELINE_RISE_PER_S: Final = 0.01
WINDOW_S: Final = 0.1
# With service times that vary by a third, the mean of ten calls is known to
# a tenth.
MIN_COMPLETIONS: Final = 10
MAX_WINDOW_S: Final = 1.0
# Load of the services below from which on calls wait for each other.
PRESSED_LOAD: Final = 1.0
# One cut at most halves the limit, and one step of growth is a tenth, so
# that a wrong cut is made good within ten windows.
MAX_CUT: Final = 0.5
GROWTH: Final = 0.1
USED_SHARE: Final = 0.8
MIN_LIMIT: Final = 1.0


class LatencyLimit:
    """Adapts the number of calls in flight to their latency.

    The mean latency is the time in flight over the completions (Little,
    1961), so that calls that hang count while they hang.
    """

    def __init__(self, *, capacity: int, now: float) -> None:
        """Start with the capacity of the upstream as limit."""
        self._capacity = capacity
        self._limit = float(capacity)
        self._in_flight = 0
        self._peak = 0
        self._busy_s = 0.0
        self._completions = 0
        self._changed_at = now
        self._window_at = now
        self._cut_at = -math.inf
        self._baseline_s: float | None = None

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
            if self._limit >= self._capacity:
                self._limit = float(capacity)
            self._capacity = capacity
            self._limit = min(self._limit, float(capacity))

    def note_start(self, now: float) -> None:
        """Count a call that starts."""
        self._advance(now)
        self._in_flight += 1
        self._peak = max(self._peak, self._in_flight)

    def note_end(self, now: float) -> None:
        """Count a call that ended."""
        self._advance(now)
        self._in_flight -= 1
        self._completions += 1

    def update(self, now: float, target_s: float, deep_load: float) -> None:
        """Adapt the limit if a window has ended.

        Args:
            now: Monotonic time in seconds.
            target_s: Latency in seconds above which the limit is cut.
            deep_load: Load of the services below; without load there, fewer
                calls would not be faster.
        """
        elapsed_s = now - self._window_at
        if elapsed_s < WINDOW_S:
            return
        if self._completions < MIN_COMPLETIONS and elapsed_s < MAX_WINDOW_S:
            return
        self._advance(now)
        if self._busy_s > 0.0:
            latency_s = self._busy_s / max(1, self._completions)
            self._adapt(
                now, elapsed_s, latency_s, target_s, deep_load > PRESSED_LOAD
            )
        self._window_at = now
        self._busy_s = 0.0
        self._completions = 0
        self._peak = self._in_flight

    def _adapt(
        self,
        now: float,
        elapsed_s: float,
        latency_s: float,
        target_s: float,
        is_pressed: bool,
    ) -> None:
        allowed_s = target_s
        if self._baseline_s is not None:
            allowed_s = max(target_s, BASELINE_FACTOR * self._baseline_s)
        if self._completions >= MIN_COMPLETIONS:
            self._update_baseline(latency_s, elapsed_s)
        if is_pressed and latency_s > allowed_s:
            # A cut shows after the calls in flight have ended.
            if now - self._cut_at < latency_s:
                return
            self._cut_at = now
            used = min(self._limit, max(1.0, float(self._peak)))
            cut = max(MAX_CUT, allowed_s / latency_s)
            self._limit = max(MIN_LIMIT, used * cut)
        elif not is_pressed or self._peak >= USED_SHARE * self._limit:
            grown = self._limit + max(1.0, GROWTH * self._limit)
            self._limit = min(float(self._capacity), grown)

    def _update_baseline(self, latency_s: float, elapsed_s: float) -> None:
        if self._baseline_s is None or latency_s < self._baseline_s:
            self._baseline_s = latency_s
            return
        self._baseline_s *= 1.0 + BASELINE_RISE_PER_S * elapsed_s

    def _advance(self, now: float) -> None:
        self._busy_s += self._in_flight * (now - self._changed_at)
        self._changed_at = now


def latency_target_s(aim_s: float, rank: int) -> float:
    """Return the latency in seconds that calls of a rank may reach."""
    share = TARGET_SHARE_IMPORTANT if rank == 0 else TARGET_SHARE
    return share * aim_s
