"""Health of the own upstream: slowness relative to a baseline, and errors.

The daemon beside an upstream sees all of its calls. It reports the health of
the upstream to its peers, so that they avoid a bad upstream before they lose
calls to it.
"""

import math
from typing import Final

from sassafraswood import clock as clock_module

# Gain of the moving averages of slowness and errors, which cover about the
# last ten calls.
EWMA_GAIN: Final = 0.1
# Gain of the baseline latency of a route, and the factor on it for calls
# slower than SLOW_RATIO times the baseline: a lasting slowdown becomes the
# baseline only after some thousand calls.
BASELINE_GAIN: Final = 0.02
SLOW_BASELINE_GAIN_FACTOR: Final = 0.05
SLOW_RATIO: Final = 3.0
# Least time in which the baseline of a route follows a change. Many calls a
# second would otherwise make a slowdown the baseline within 0.3 s.
BASELINE_TIME_CONSTANT_S: Final = 10.0
# The baseline is the mean of as many first calls.
FIRST_CALLS: Final = 50
MAX_ROUTES: Final = 1024
# A call is overdue after this multiple of the baseline latency of its route;
# the slowest 1 percent of the calls take five times the baseline.
OVERDUE_FACTOR: Final = 5.0
# Fewer overdue calls are ignored, as they may be of the slowest 1 percent.
MIN_OVERDUE_COUNT: Final = 2
# Time without a finished call in which the averages decay by half.
HALF_LIFE_S: Final = 3.0


class UpstreamHealth:
    """Measures slowness and errors of the calls at one upstream."""

    def __init__(self, clock: clock_module.Clock) -> None:
        """Start with a healthy upstream and no baselines."""
        self._clock = clock
        self._baseline_s: dict[str, float] = {}
        # Monotonic time at which each baseline was updated.
        self._baseline_at: dict[str, float] = {}
        # Calls that each baseline contains, up to FIRST_CALLS.
        self._baseline_count: dict[str, int] = {}
        # Route, start and overdue time (monotonic) of each running call.
        self._running: dict[int, tuple[str, float, float]] = {}
        self._excess_slowness = 0.0
        self._error_fraction = 0.0
        self._updated_at = clock.monotonic()

    @property
    def slowness(self) -> float:
        """Return the latency of calls relative to the baseline."""
        now = self._clock.monotonic()
        measured = 1.0 + self._excess_slowness * self._decay_factor(now)
        overdue_count = sum(
            overdue_at <= now for _, _, overdue_at in self._running.values()
        )
        if overdue_count < MIN_OVERDUE_COUNT:
            return measured
        overdue_fraction = overdue_count / len(self._running)
        return max(measured, 1.0 + OVERDUE_FACTOR * overdue_fraction)

    @property
    def errors(self) -> float:
        """Return the recent fraction of calls that failed."""
        return self._error_fraction * self._decay_factor(
            self._clock.monotonic()
        )

    def reset(self) -> None:
        """Discard baselines and averages after a change of the upstream."""
        self._baseline_s.clear()
        self._baseline_at.clear()
        self._baseline_count.clear()
        self._excess_slowness = 0.0
        self._error_fraction = 0.0

    def note_start(self, call_id: int, route: str) -> None:
        """Record a call that is sent to the upstream."""
        now = self._clock.monotonic()
        baseline_s = self._baseline_s.get(route, float('inf'))
        self._running[call_id] = route, now, now + OVERDUE_FACTOR * baseline_s

    def note_end(self, call_id: int, *, is_error: bool) -> None:
        """Record the end of a call.

        Args:
            call_id: Identifier given to note_start.
            is_error: Whether the upstream failed. Failed calls do not count
                as latencies.

        Raises:
            KeyError: No call with this identifier is running.
        """
        route, started_at, _ = self._running.pop(call_id)
        now = self._clock.monotonic()
        weight = self._decay_factor(now)
        self._updated_at = now
        self._error_fraction = self._update_average(
            self._error_fraction * weight, float(is_error)
        )
        self._excess_slowness *= weight
        if is_error:
            return
        elapsed_s = max(1e-6, now - started_at)
        if len(self._baseline_s) >= MAX_ROUTES:
            self._baseline_s.clear()
            self._baseline_at.clear()
            self._baseline_count.clear()
        baseline_s = self._baseline_s.get(route, elapsed_s)
        ratio = elapsed_s / baseline_s
        age_s = now - self._baseline_at.get(route, -math.inf)
        self._baseline_at[route] = now
        gain = min(BASELINE_GAIN, age_s / BASELINE_TIME_CONSTANT_S)
        count = self._baseline_count.get(route, 0)
        if count < FIRST_CALLS:
            self._baseline_count[route] = count + 1
            gain = 1.0 / (count + 1)
        elif ratio > SLOW_RATIO:
            gain *= SLOW_BASELINE_GAIN_FACTOR
        self._baseline_s[route] = baseline_s + gain * (elapsed_s - baseline_s)
        self._excess_slowness = self._update_average(
            self._excess_slowness, ratio - 1.0
        )

    def drop(self, call_id: int) -> None:
        """Remove an aborted call without counting it."""
        self._running.pop(call_id, None)

    def _update_average(self, average: float, value: float) -> float:
        return average + EWMA_GAIN * (value - average)

    def _decay_factor(self, now: float) -> float:
        return 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
