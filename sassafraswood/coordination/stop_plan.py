"""Decides which calls a stopping daemon still takes."""

import math
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.state import route_maxima

# With fewer recent calls of a route, the longest one says little of the next.
MIN_CALLS: Final = 5
# A call may take this many times as long as the longest recent one of its
# route.
DURATION_MARGIN_FACTOR: Final = 1.25
# Time for the response of a call to pass between daemons, and for the ticks
# that end the process.
END_MARGIN_S: Final = 0.1
# Requests that arrive within this time after the stop signal may be cut off
# at its end, together with the process.
EARLY_S: Final = 3.0
# A later one may take this much longer than the longest recent call of its
# route; services become slow within fractions of a second.
LATE_MARGIN_S: Final = 0.75


class StopPlan:
    """Admits the calls that end before the process does.

    A call that is cut off at the end of the grace period may have run, so its
    caller must not repeat it unless it is idempotent. A call that is refused
    has not run. So a call is taken only if it can be expected to end in the
    time that is left: by its own time limit, or by the duration of the recent
    calls of its route, with a larger margin for a request that arrives late.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        """Create the plan of a daemon that is not stopping.

        Args:
            clock: Monotonic clock.
        """
        self._clock = clock
        self._durations = route_maxima.RouteMaxima(clock.monotonic())
        self._begun_at = math.inf
        self._end_at = math.inf

    @property
    def is_stopping(self) -> bool:
        """Return whether the end of the process is known."""
        return self._end_at < math.inf

    @property
    def left_s(self) -> float:
        """Return the time in which calls can still end, in seconds."""
        if not self.is_stopping:
            return math.inf
        return self._end_at - self._clock.monotonic() - END_MARGIN_S

    def begin(self, left_s: float) -> None:
        """Start to admit only calls that end in time.

        Args:
            left_s: Time until calls are cut off, in seconds.
        """
        self._begun_at = self._clock.monotonic()
        self._end_at = self._begun_at + left_s

    def is_early(self, started_at: float) -> bool:
        """Return whether a request may be cut off at the end of the stop.

        Args:
            started_at: Monotonic time in seconds at which it arrived.
        """
        return started_at - self._begun_at <= EARLY_S

    def note_end(self, route: str, started_at: float) -> None:
        """Count a call that has ended.

        Args:
            route: Name of the route.
            started_at: Monotonic time of its start in seconds.
        """
        now = self._clock.monotonic()
        self._durations.note_call(route, now - started_at, now)

    def note_running(self, route: str, started_at: float) -> None:
        """Note that a call has not ended yet.

        Args:
            route: Name of the route.
            started_at: Monotonic time of its start in seconds.
        """
        now = self._clock.monotonic()
        self._durations.note_at_least(route, now - started_at, now)

    def may_begin(
        self,
        route: str,
        time_left_s: float,
        started_at: float | None = None,
    ) -> bool:
        """Return whether a call can be expected to end in time.

        Args:
            route: Name of the route.
            time_left_s: Time limit of the call, in seconds.
            started_at: Monotonic time in seconds at which its request
                arrived; None if it did within EARLY_S.
        """
        if not self.is_stopping:
            return True
        needed_s = time_left_s
        if self._durations.count(route) >= MIN_CALLS:
            longest_s = self._durations.largest(route)
            usual_s = DURATION_MARGIN_FACTOR * longest_s
            if started_at is not None and not self.is_early(started_at):
                usual_s = max(usual_s, longest_s + LATE_MARGIN_S)
            needed_s = min(time_left_s, usual_s)
        return needed_s <= self.left_s
