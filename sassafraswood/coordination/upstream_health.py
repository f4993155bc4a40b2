"""How the own upstream does compared with its usual self.

The daemon beside an upstream sees all of its calls. What it finds is told to
the other daemons, so that not each of them has to lose calls to find it too.
"""

from typing import Final

from sassafraswood import clock as clock_module

# Gain of the means of slowness and errors; about the last ten calls count.
GAIN: Final = 0.1
# Gain of the usual time of a route, and its share while calls take much longer
# than usual: a change that stays is usual after some thousand calls.
USUAL_GAIN: Final = 0.02
USUAL_SHARE_SLOW: Final = 0.05
SLOW: Final = 3.0
MAX_ROUTES: Final = 1024
# A call is overdue after this multiple of the usual time of its route; the
# longest one in a hundred takes five times as long.
OVERDUE: Final = 5.0
# Overdue calls below this number may be such long ones.
MIN_OVERDUE: Final = 2
# After this time in seconds without a call the means count half.
HALF_LIFE_S: Final = 3.0


class UpstreamHealth:
    """Slowness and errors of the calls at one upstream."""

    def __init__(self, clock: clock_module.Clock) -> None:
        """Start with an upstream that does as usual."""
        self._clock = clock
        self._usual_s: dict[str, float] = {}
        # Start of each running call and when it is overdue.
        self._running: dict[int, tuple[str, float, float]] = {}
        self._excess = 0.0
        self._errors = 0.0
        self._noted_at = clock.monotonic()

    @property
    def slowness(self) -> float:
        """Return the time of calls relative to what is usual."""
        now = self._clock.monotonic()
        measured = 1.0 + self._excess * self._weight(now)
        overdue = sum(
            overdue_at <= now for _, _, overdue_at in self._running.values()
        )
        if overdue < MIN_OVERDUE:
            return measured
        share = overdue / len(self._running)
        return max(measured, 1.0 + OVERDUE * share)

    @property
    def errors(self) -> float:
        """Return the share of calls that failed lately."""
        return self._errors * self._weight(self._clock.monotonic())

    def reset(self) -> None:
        """Take that another upstream is there now."""
        self._usual_s.clear()
        self._excess = 0.0
        self._errors = 0.0

    def note_start(self, call_id: int, route: str) -> None:
        """Take a call that is sent to the upstream."""
        now = self._clock.monotonic()
        usual_s = self._usual_s.get(route, float('inf'))
        self._running[call_id] = route, now, now + OVERDUE * usual_s

    def note_end(self, call_id: int, *, is_error: bool) -> None:
        """Take the end of a call.

        Args:
            call_id: Of the call.
            is_error: Whether the upstream failed; the time of such calls
                tells nothing about speed.
        """
        route, started_at, _ = self._running.pop(call_id)
        now = self._clock.monotonic()
        weight = self._weight(now)
        self._noted_at = now
        self._errors = self._mix(self._errors * weight, float(is_error))
        self._excess *= weight
        if is_error:
            return
        elapsed_s = max(1e-6, now - started_at)
        if len(self._usual_s) >= MAX_ROUTES:
            self._usual_s.clear()
        usual_s = self._usual_s.get(route, elapsed_s)
        ratio = elapsed_s / usual_s
        gain = USUAL_GAIN
        if ratio > SLOW:
            gain *= USUAL_SHARE_SLOW
        self._usual_s[route] = usual_s + gain * (elapsed_s - usual_s)
        self._excess = self._mix(self._excess, ratio - 1.0)

    def drop(self, call_id: int) -> None:
        """Take a call that was broken off; it says nothing."""
        self._running.pop(call_id, None)

    def _mix(self, mean: float, value: float) -> float:
        return mean + GAIN * (value - mean)

    def _weight(self, now: float) -> float:
        return 0.5 ** ((now - self._noted_at) / HALF_LIFE_S)
