"""Longest recent duration of the calls of each route."""

import math
from typing import Final

# Durations count for at least this time, and for at most twice as long.
WINDOW_S: Final = 60.0
# With fewer calls in the window, the longest one says little of the next.
MIN_CALLS: Final = 5
# Routes that are kept; further ones count as unknown.
MAX_ROUTES: Final = 1024


class _Window:
    """Number and longest duration of the calls of one route."""

    __slots__ = ('count', 'longest_s')

    def __init__(self) -> None:
        self.count = 0
        self.longest_s = 0.0


class RouteDurations:
    """Keeps the longest duration of each route in a sliding window."""

    def __init__(self, now: float) -> None:
        """Start without calls.

        Args:
            now: Monotonic time in seconds.
        """
        self._current: dict[str, _Window] = {}
        self._previous: dict[str, _Window] = {}
        self._current_since = now

    def note_end(self, route: str, duration_s: float, now: float) -> None:
        """Count a call that has ended.

        Args:
            route: Name of the route.
            duration_s: Duration in seconds.
            now: Monotonic time in seconds.
        """
        window = self._get_window(route, now)
        if window is None:
            return
        window.count += 1
        if duration_s > window.longest_s:
            window.longest_s = duration_s

    def note_running(self, route: str, age_s: float, now: float) -> None:
        """Note how long a call has lasted that has not ended.

        Args:
            route: Name of the route.
            age_s: Time since its start in seconds.
            now: Monotonic time in seconds.
        """
        window = self._get_window(route, now)
        if window is not None and age_s > window.longest_s:
            window.longest_s = age_s

    def longest_s(self, route: str) -> float:
        """Return the longest recent duration of a route, in seconds.

        It is infinite if there were too few calls.
        """
        windows = [
            window
            for windows in (self._previous, self._current)
            if (window := windows.get(route)) is not None
        ]
        if sum(window.count for window in windows) < MIN_CALLS:
            return math.inf
        return max(window.longest_s for window in windows)

    def _get_window(self, route: str, now: float) -> _Window | None:
        """Return the current window of a route, or None if there are too many.

        Args:
            route: Name of the route.
            now: Monotonic time in seconds.
        """
        if now - self._current_since >= WINDOW_S:
            self._previous, self._current = self._current, {}
            self._current_since = now
        window = self._current.get(route)
        if window is None and len(self._current) < MAX_ROUTES:
            window = self._current[route] = _Window()
        return window
