"""Adaptive limit of the calls in flight at one upstream."""

import dataclasses
import math
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.models import enums

COLD_FRACTION: Final = 0.1
WINDOW_MIN_S: Final = 0.1
WINDOW_MAX_S: Final = 1.0
# A window covers this many service times, so that calls that run through it
# do not decide its result.
WINDOW_SERVICE_TIMES: Final = 2.0
# Growth as a share of the slots: the whole range in 1.25 s, so that recovery
# within 2 s leaves time for the window that notices the end of a slowdown.
GROWTH_PER_S: Final = 0.8
# A long window does not allow a jump to the full limit.
GROWTH_MAX_S: Final = 0.3
# The limit grows below the first ratio and is put to the test above the
# second. The terms with the square root of the number of calls allow for
# noise: with exponential service times the ratio of n calls has a relative
# standard deviation of 1 / sqrt(n).
GROW_RATIO: Final = 1.2
GROW_NOISE: Final = 0.5
CUT_RATIO: Final = 1.35
CUT_NOISE: Final = 2.0
CUT: Final = 0.7
MIN_CALLS_GROW: Final = 8
MIN_CALLS_CUT: Final = 30
MIN_CALLS_TEST: Final = 60
TEST_MAX_S: Final = 1.0
# Share of the cut that has to show in the service time. One is expected where
# the upstream divides a fixed capacity, zero where each call is slow alone.
MIN_ELASTICITY: Final = 0.5
# A trial of a cut that does not help loses up to 30% of the goodput while it
# lasts, so the next one waits several times its length.
TRIAL_GAP_FACTOR: Final = 8.0
BACKOFF_MIN_S: Final = 2.0
CAPACITY_ROOM: Final = 1.1
BACKOFF_MAX_S: Final = 16.0
SHED_FRACTION: Final = 0.02
# The limit follows the peak in flight, so that a tenth would leave slots of
# a small upstream unused after each trial of a higher limit.
SHED_CUT: Final = 0.95
SHED_HOLD_S: Final = 1.0
MIN_TIMEOUTS: Final = 5
# Baseline: falls fast and rises slowly, so that a slowdown of minutes does
# not become normal.
BASELINE_CALLS_FIRST: Final = 20
BASELINE_CALLS: Final = 100
BASELINE_FALL: Final = 0.3
BASELINE_RISE: Final = 0.02
BASELINE_RISE_PER_S: Final = 0.02
FIRST_BASELINE_WAIT_S: Final = 1.0
MAX_ROUTES: Final = 64
OTHER_ROUTES: Final = ''
RATIO_LIFETIME_S: Final = 2.0
# A higher ratio says no more, and estimates from it would be useless.
MAX_RATIO: Final = 100.0


class _Meter:
    """Time in flight and completions of one route.

    Time in flight divided by completions is the mean service time. Unlike
    the mean of the finished calls it counts calls that still run, so it is
    neither too low while calls are cut off nor late when calls hang.
    """

    def __init__(self, now: float) -> None:
        self.in_flight = 0
        self.busy_s = 0.0
        self.completions = 0
        self.changed_at = now
        self.baseline_s: float | None = None
        self.is_provisional = True
        self.window_busy_s = 0.0
        self.window_completions = 0
        self.baseline_busy_s = 0.0
        self.baseline_completions = 0
        self.baseline_at = now

    def advance(self, now: float) -> None:
        """Count the time in flight up to now."""
        self.busy_s += self.in_flight * (now - self.changed_at)
        self.changed_at = now

    def start_window(self) -> None:
        """Begin a control window."""
        self.window_busy_s = self.busy_s
        self.window_completions = self.completions

    def update_baseline(self, now: float, may_rise: bool) -> None:
        """Take the service time since the last update into the baseline.

        The first baseline is provisional: it is the mean since the start
        until enough calls are known.
        """
        calls = self.completions - self.baseline_completions
        if calls < BASELINE_CALLS_FIRST:
            return
        measured_s = max(0.0, self.busy_s - self.baseline_busy_s) / calls
        if self.is_provisional:
            self.baseline_s = measured_s
        if calls < BASELINE_CALLS:
            return
        elapsed_s = now - self.baseline_at
        self.baseline_busy_s = self.busy_s
        self.baseline_completions = self.completions
        self.baseline_at = now
        if self.baseline_s is None or self.is_provisional:
            self.is_provisional = False
        elif measured_s < self.baseline_s:
            self.baseline_s += BASELINE_FALL * (measured_s - self.baseline_s)
        elif may_rise:
            rise_s = BASELINE_RISE * (measured_s - self.baseline_s)
            limit_s = BASELINE_RISE_PER_S * elapsed_s * self.baseline_s
            self.baseline_s += min(rise_s, limit_s)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Window:
    """Result of a control window.

    Attributes:
        ratio: Service time relative to the baselines; None if unknown.
        mean_in_flight: Mean number of calls in flight.
        calls: Completed calls that the ratio rests on.
        all_calls: Completed calls, also of routes without a baseline.
    """

    ratio: float | None
    mean_in_flight: float
    calls: int
    all_calls: int
    elapsed_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Test:
    """A cut of the limit whose effect is being measured."""

    previous_limit: float
    before: _Window
    started_at: float


class ConcurrencyLimit:
    """Limit between 1 and the announced slots.

    The signal is the service time relative to the long-term minimum of the
    same route. A high ratio alone does not say whether fewer calls in flight
    would help: where each call is slow by itself, a cut only loses goodput.
    So the limit is cut for a trial, and the cut stays only if the service
    time falls with it.
    """

    def __init__(self, *, clock: clock_module.Clock) -> None:
        """Start without slots."""
        self._clock = clock
        self._slots = 0
        self._limit = 0.0
        self.restart(0)

    @property
    def limit(self) -> int:
        """Return the number of calls that may be in flight."""
        if self._slots == 0:
            return 0
        return max(1, min(self._slots, int(self._limit + 1e-9)))

    @property
    def slots(self) -> int:
        """Return the announced slots."""
        return self._slots

    @property
    def ratio(self) -> float:
        """Return the current service time relative to the baseline."""
        if self._clock.monotonic() - self._ratio_at > RATIO_LIFETIME_S:
            return 1.0
        return self._ratio

    def restart(self, slots: int) -> None:
        """Begin a cold start with a tenth of the slots."""
        now = self._clock.monotonic()
        self._slots = slots
        self._limit = float(max(1, math.ceil(COLD_FRACTION * slots)))
        self._meters: dict[str, _Meter] = {}
        self._in_flight = 0
        self._peak = 0
        self._started_at = now
        self._window_at = now
        self._sheds = 0
        self._shed_at = -math.inf
        self._timeouts = 0
        self._test: _Test | None = None
        self._test_not_before = now
        self._backoff_s = BACKOFF_MIN_S
        self._is_constrained = False
        self._is_settling = False
        self._ratio = 1.0
        self._ratio_at = -math.inf
        self._mean_s: float | None = None

    def set_slots(self, slots: int) -> None:
        """Change the announced slots of a running upstream."""
        self._slots = slots
        self._limit = min(self._limit, float(slots))

    def service_s(self, route: str) -> float | None:
        """Return the expected service time in seconds, None if unknown."""
        meter = self._meters.get(route)
        if meter is None or meter.baseline_s is None:
            return self._mean_s
        return meter.baseline_s * max(1.0, self.ratio)

    def mean_service_s(self) -> float | None:
        """Return the mean service time of recent calls in seconds."""
        return self._mean_s

    def note_start(self, route: str) -> None:
        """Count a call that starts."""
        meter = self._meter(route)
        meter.advance(self._clock.monotonic())
        meter.in_flight += 1
        self._in_flight += 1
        self._peak = max(self._peak, self._in_flight)

    def note_end(
        self, route: str, elapsed_s: float, outcome: enums.ServiceOutcome
    ) -> None:
        """Count a call that ended after elapsed_s seconds.

        Time without a completion counts for calls that timed out or were
        cancelled, as for censored observations. Calls that failed or were
        shed say nothing about the service time and leave no time behind.
        """
        meter = self._meter(route)
        meter.advance(self._clock.monotonic())
        meter.in_flight = max(0, meter.in_flight - 1)
        self._in_flight = max(0, self._in_flight - 1)
        match outcome:
            case enums.ServiceOutcome.COMPLETED:
                meter.completions += 1
            case enums.ServiceOutcome.TIMED_OUT:
                self._timeouts += 1
            case enums.ServiceOutcome.CANCELLED:
                pass
            case enums.ServiceOutcome.SHED:
                self._sheds += 1
                meter.busy_s -= elapsed_s
            case _:
                meter.busy_s -= elapsed_s
        self.update()

    def update(self) -> None:
        """Adapt the limit if a control window is over."""
        now = self._clock.monotonic()
        if self._is_settling and self._in_flight <= self.limit:
            self._is_settling = False
            self._start_window(now)
        elapsed_s = now - self._window_at
        if elapsed_s < self._window_s():
            return
        window = self._measure(now, elapsed_s)
        if self._is_open(window):
            return
        self._adapt(now, window)
        self._start_window(now)

    def _meter(self, route: str) -> _Meter:
        meter = self._meters.get(route)
        if meter is not None:
            return meter
        if len(self._meters) >= MAX_ROUTES:
            route = OTHER_ROUTES
        now = self._clock.monotonic()
        return self._meters.setdefault(route, _Meter(now))

    def _window_s(self) -> float:
        service_s = self._mean_s if self._mean_s is not None else 0.0
        window_s = WINDOW_SERVICE_TIMES * service_s
        return min(max(window_s, WINDOW_MIN_S), WINDOW_MAX_S)

    def _start_window(self, now: float) -> None:
        for meter in self._meters.values():
            meter.advance(now)
            meter.start_window()
        self._window_at = now
        self._peak = self._in_flight
        self._sheds = 0
        self._timeouts = 0

    def _measure(self, now: float, elapsed_s: float) -> _Window:
        busy_s = 0.0
        all_busy_s = 0.0
        expected_s = 0.0
        calls = 0
        all_calls = 0
        for meter in self._meters.values():
            meter.advance(now)
            meter_busy_s = meter.busy_s - meter.window_busy_s
            meter_calls = meter.completions - meter.window_completions
            all_busy_s += meter_busy_s
            all_calls += meter_calls
            if meter.baseline_s is None:
                continue
            busy_s += meter_busy_s
            expected_s += meter_calls * meter.baseline_s
            calls += meter_calls
        if all_calls >= MIN_CALLS_GROW:
            self._mean_s = max(0.0, all_busy_s) / all_calls
        ratio = None
        if expected_s > 0.0:
            ratio = min(max(0.0, busy_s) / expected_s, MAX_RATIO)
        return _Window(
            ratio=ratio,
            mean_in_flight=max(0.0, all_busy_s) / elapsed_s,
            calls=calls,
            all_calls=all_calls,
            elapsed_s=elapsed_s,
        )

    def _is_open(self, window: _Window) -> bool:
        """Return whether the window has to go on for more calls."""
        if self._is_settling:
            return window.elapsed_s < TEST_MAX_S
        if self._sheds or self._timeouts >= MIN_TIMEOUTS:
            return False
        needed = MIN_CALLS_GROW
        longest_s = WINDOW_MAX_S
        if self._test is not None:
            needed = MIN_CALLS_TEST
            longest_s = TEST_MAX_S
        return window.all_calls < needed and window.elapsed_s < longest_s

    def _adapt(self, now: float, window: _Window) -> None:
        self._is_settling = False
        if window.ratio is not None and window.calls >= MIN_CALLS_GROW:
            self._ratio = window.ratio
            self._ratio_at = now
        may_rise = not self._is_constrained and self._test is None
        for meter in self._meters.values():
            meter.update_baseline(now, may_rise)
        if self._cut_for_refusals(now, window):
            self._test = None
            return
        if self._test is not None:
            self._conclude(now, window, self._test)
            return
        if self._needs_test(now, window):
            self._test = _Test(
                previous_limit=self._limit, before=window, started_at=now
            )
            self._limit = max(1.0, CUT * min(self._limit, float(self._peak)))
            self._is_settling = True
            return
        self._grow(now, window)

    def _cut_for_refusals(self, now: float, window: _Window) -> bool:
        """Cut the limit where the upstream sheds or answers too late."""
        calls = window.calls
        if self._sheds > SHED_FRACTION * (calls + self._sheds):
            self._limit = max(
                1.0, SHED_CUT * min(self._limit, float(self._peak))
            )
            self._shed_at = now
            return True
        if self._timeouts >= MIN_TIMEOUTS and self._timeouts > calls:
            floor = max(1.0, COLD_FRACTION * self._slots)
            self._limit = max(floor, CUT * self._limit)
            return True
        return False

    def _needs_test(self, now: float, window: _Window) -> bool:
        if window.ratio is None or window.calls < MIN_CALLS_CUT:
            return False
        if now < self._test_not_before or self.limit <= 1:
            return False
        # Fewer calls than the limit were there anyway.
        if window.mean_in_flight < CUT * self.limit:
            return False
        noise = CUT_NOISE / math.sqrt(window.calls)
        return window.ratio > CUT_RATIO + noise

    def _conclude(self, now: float, window: _Window, test: _Test) -> None:
        """Keep the cut if the service time fell with it."""
        self._test = None
        if window.ratio is None or test.before.ratio is None:
            self._limit = test.previous_limit
            return
        fall = math.log(test.before.ratio / max(window.ratio, 0.01))
        cut = math.log(
            test.before.mean_in_flight / max(window.mean_in_flight, 0.01)
        )
        if cut > 0.0 and fall >= MIN_ELASTICITY * cut:
            # Calls in flight over the ratio are the calls that run at full
            # speed; the trial may have gone below them.
            capacity = test.before.mean_in_flight / test.before.ratio
            self._limit = min(
                test.previous_limit, max(self._limit, CAPACITY_ROOM * capacity)
            )
            self._is_constrained = True
            self._backoff_s = BACKOFF_MIN_S
            return
        # Where a cut does not help, an earlier cut may have been an error.
        self._limit = min(float(self._slots), test.previous_limit / CUT)
        self._is_constrained = False
        trial_s = now - test.started_at
        gap_s = max(self._backoff_s, TRIAL_GAP_FACTOR * trial_s)
        self._test_not_before = now + gap_s
        self._backoff_s = min(2 * self._backoff_s, BACKOFF_MAX_S)

    def _grow(self, now: float, window: _Window) -> None:
        if self._limit >= self._slots:
            self._is_constrained = False
            return
        if now - self._shed_at < SHED_HOLD_S:
            return
        if 2 * self._peak < self.limit:
            return
        if window.ratio is None:
            # Without a baseline the ramp would hide a wrong slot count.
            if now - self._started_at < FIRST_BASELINE_WAIT_S:
                return
        else:
            noise = GROW_NOISE / math.sqrt(max(1, window.calls))
            if window.ratio > GROW_RATIO + noise:
                return
        elapsed_s = min(window.elapsed_s, GROWTH_MAX_S)
        step = max(1.0, GROWTH_PER_S * self._slots * elapsed_s)
        self._limit = min(float(self._slots), self._limit + step)
