"""Largest recent value, such as a duration, of the calls of each route."""

from typing import Final

# Values count for at least this time, and for at most twice as long.
WINDOW_S: Final = 60.0
# Routes that are kept; further ones count as unknown.
MAX_ROUTES: Final = 1024


class _Window:
    """Number of the calls of one route, and their largest value."""

    __slots__ = ('count', 'largest')

    def __init__(self) -> None:
        self.count = 0
        self.largest = 0.0


class RouteMaxima:
    """Keeps the largest value of each route in a sliding window."""

    def __init__(self, now: float) -> None:
        """Start without calls.

        Args:
            now: Monotonic time in seconds.
        """
        self._current: dict[str, _Window] = {}
        self._previous: dict[str, _Window] = {}
        self._current_since = now

    def note_call(self, route: str, value: float, now: float) -> None:
        """Count a call with its value.

        Args:
            route: Name of the route.
            value: Value of the call.
            now: Monotonic time in seconds.
        """
        window = self._get_window(route, now)
        if window is None:
            return
        window.count += 1
        if value > window.largest:
            window.largest = value

    def note_at_least(self, route: str, value: float, now: float) -> None:
        """Note that a call that has not ended will have at least this value.

        Args:
            route: Name of the route.
            value: Value so far.
            now: Monotonic time in seconds.
        """
        window = self._get_window(route, now)
        if window is not None and value > window.largest:
            window.largest = value

    def count(self, route: str) -> int:
        """Return the number of recent calls of a route."""
        return sum(window.count for window in self._find_windows(route))

    def largest(self, route: str) -> float:
        """Return the largest recent value of a route, or 0."""
        return max(
            (window.largest for window in self._find_windows(route)),
            default=0.0,
        )

    def _find_windows(self, route: str) -> list[_Window]:
        return [
            windows[route]
            for windows in (self._previous, self._current)
            if route in windows
        ]

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
