"""Adaptive limit on the calls in flight at one upstream."""

import dataclasses
import math
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.models import enums

COLD_FRACTION: Final = 0.1
WINDOW_MIN_S: Final = 0.1
WINDOW_MAX_S: Final = 1.0
# A window covers this many service times, so that calls that span the whole
# window do not dominate its result.
WINDOW_SERVICE_TIMES: Final = 2.0
# Growth as a fraction of the slots. The whole range takes 1.25 s, so that a
# recovery within 2 s leaves time for the window that detects the end of a
# slowdown.
GROWTH_FRACTION_PER_S: Final = 0.8
# Longest time that growth counts for one window, so that a long window does
# not raise the limit to its maximum in one step.
GROWTH_MAX_S: Final = 0.3
# The limit grows while the service time ratio is at most GROWTH_MAX_RATIO, and
# a cut is tried above TRIAL_MIN_RATIO. Each bound is raised by a noise factor
# divided by the square root of the number of calls: with exponential service
# times the ratio of n calls has a relative standard deviation of 1 / sqrt(n).
GROWTH_MAX_RATIO: Final = 1.2
GROWTH_NOISE_FACTOR: Final = 0.5
TRIAL_MIN_RATIO: Final = 1.35
TRIAL_NOISE_FACTOR: Final = 2.0
CUT_FACTOR: Final = 0.7
MIN_WINDOW_CALLS: Final = 8
MIN_CALLS_BEFORE_TRIAL: Final = 30
MIN_TRIAL_CALLS: Final = 60
TRIAL_MAX_S: Final = 1.0
# Minimum fall of the service time relative to the cut of the calls in flight,
# both as logarithms. The quotient is 1 where the upstream divides a fixed
# capacity among its calls, and 0 where each call is slow by itself.
MIN_ELASTICITY: Final = 0.5
# A trial of a cut that does not help loses up to 30% of the goodput while it
# runs, so the next trial waits for a multiple of its duration.
TRIAL_GAP_FACTOR: Final = 8.0
TRIAL_BACKOFF_MIN_S: Final = 2.0
CAPACITY_HEADROOM_FACTOR: Final = 1.1
TRIAL_BACKOFF_MAX_S: Final = 16.0
SHED_FRACTION: Final = 0.02
# The cut is relative to the peak of the calls in flight. A cut by 10% would
# leave slots of a small upstream unused after each attempt at a higher limit.
SHED_CUT_FACTOR: Final = 0.95
SHED_HOLD_S: Final = 1.0
MIN_TIMEOUTS: Final = 5
# The baseline falls fast and rises slowly, so that a slowdown of minutes is
# not taken for the normal service time.
PROVISIONAL_BASELINE_CALLS: Final = 20
BASELINE_CALLS: Final = 100
BASELINE_FALL_GAIN: Final = 0.3
BASELINE_RISE_GAIN: Final = 0.02
BASELINE_MAX_RISE_PER_S: Final = 0.02
FIRST_BASELINE_WAIT_S: Final = 1.0
MAX_ROUTES: Final = 64
# Key of the common meter of all routes beyond MAX_ROUTES.
OTHER_ROUTES: Final = ''
RATIO_LIFETIME_S: Final = 2.0
# A higher ratio carries no information, and estimates from it are useless.
MAX_RATIO: Final = 100.0


class _RouteMeter:
    """Measures time in flight and completions of one route.

    Time in flight divided by completions is the mean service time. Unlike
    the mean over finished calls it includes calls that still run. So it is
    not too low while calls time out, and it rises at once when calls hang.
    """

    def __init__(self, now: float) -> None:
        self.in_flight = 0
        self.busy_s = 0.0
        self.completions = 0
        self.updated_at = now
        self.baseline_s: float | None = None
        self.is_provisional = True
        self.window_busy_s = 0.0
        self.window_completions = 0
        self.baseline_busy_s = 0.0
        self.baseline_completions = 0
        self.baseline_at = now

    def advance(self, now: float) -> None:
        """Add the time in flight up to now."""
        self.busy_s += self.in_flight * (now - self.updated_at)
        self.updated_at = now

    def start_window(self) -> None:
        """Begin a control window."""
        self.window_busy_s = self.busy_s
        self.window_completions = self.completions

    def update_baseline(self, now: float, may_rise: bool) -> None:
        """Update the baseline with the service time since the last update.

        The first baseline is provisional: until BASELINE_CALLS calls have
        completed, it is the mean since the start.
        """
        calls = self.completions - self.baseline_completions
        if calls < PROVISIONAL_BASELINE_CALLS:
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
            self.baseline_s += BASELINE_FALL_GAIN * (
                measured_s - self.baseline_s
            )
        elif may_rise:
            rise_s = BASELINE_RISE_GAIN * (measured_s - self.baseline_s)
            limit_s = BASELINE_MAX_RISE_PER_S * elapsed_s * self.baseline_s
            self.baseline_s += min(rise_s, limit_s)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Window:
    """Result of a control window.

    Attributes:
        ratio: Service time relative to the baselines; None if unknown.
        mean_in_flight: Mean number of calls in flight.
        calls: Completed calls of routes with a baseline, from which the ratio
            is computed.
        all_calls: Completed calls of all routes.
    """

    ratio: float | None
    mean_in_flight: float
    calls: int
    all_calls: int
    elapsed_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Trial:
    """A cut of the limit whose effect is being measured."""

    previous_limit: float
    before: _Window
    started_at: float


class ConcurrencyLimit:
    """Adapts a limit between 1 and the announced slots.

    The input is the service time relative to the long-term baseline of the
    same route. A high ratio alone does not show whether fewer calls in flight
    would help: where each call is slow by itself, a cut only loses goodput.
    So the limit is cut for a trial, and the cut is kept only if the service
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
        """Return the service time relative to the baseline; 1 if unknown."""
        if self._clock.monotonic() - self._ratio_at > RATIO_LIFETIME_S:
            return 1.0
        return self._ratio

    def restart(self, slots: int) -> None:
        """Begin a cold start with the fraction COLD_FRACTION of the slots."""
        now = self._clock.monotonic()
        self._slots = slots
        self._limit = float(max(1, math.ceil(COLD_FRACTION * slots)))
        self._meters: dict[str, _RouteMeter] = {}
        self._in_flight = 0
        self._peak_in_flight = 0
        self._started_at = now
        self._window_start = now
        self._shed_count = 0
        self._last_shed_at = -math.inf
        self._timeout_count = 0
        self._trial: _Trial | None = None
        self._trial_not_before = now
        self._trial_backoff_s = TRIAL_BACKOFF_MIN_S
        self._is_constrained = False
        self._is_settling = False
        self._ratio = 1.0
        self._ratio_at = -math.inf
        self._mean_service_s: float | None = None

    def set_slots(self, slots: int) -> None:
        """Change the announced slots of a running upstream."""
        self._slots = slots
        self._limit = min(self._limit, float(slots))

    def service_s(self, route: str) -> float | None:
        """Return the expected service time in seconds, None if unknown."""
        meter = self._meters.get(route)
        if meter is None or meter.baseline_s is None:
            return self._mean_service_s
        return meter.baseline_s * max(1.0, self.ratio)

    def mean_service_s(self) -> float | None:
        """Return the recent mean service time in seconds, None if unknown."""
        return self._mean_service_s

    def note_start(self, route: str) -> None:
        """Count a call that starts."""
        meter = self._find_meter(route)
        meter.advance(self._clock.monotonic())
        meter.in_flight += 1
        self._in_flight += 1
        self._peak_in_flight = max(self._peak_in_flight, self._in_flight)

    def note_end(
        self, route: str, elapsed_s: float, outcome: enums.ServiceOutcome
    ) -> None:
        """Count a call that ended after elapsed_s seconds.

        Calls that timed out or were cancelled add their time but no
        completion, as for censored observations. Calls that failed or were
        shed say nothing about the service time, so their time is removed.
        """
        meter = self._find_meter(route)
        meter.advance(self._clock.monotonic())
        meter.in_flight = max(0, meter.in_flight - 1)
        self._in_flight = max(0, self._in_flight - 1)
        match outcome:
            case enums.ServiceOutcome.COMPLETED:
                meter.completions += 1
            case enums.ServiceOutcome.TIMED_OUT:
                self._timeout_count += 1
            case enums.ServiceOutcome.CANCELLED:
                pass
            case enums.ServiceOutcome.SHED:
                self._shed_count += 1
                meter.busy_s -= elapsed_s
            case _:
                meter.busy_s -= elapsed_s
        self.update()

    def update(self) -> None:
        """Adapt the limit if the control window has ended."""
        now = self._clock.monotonic()
        if self._is_settling and self._in_flight <= self.limit:
            self._is_settling = False
            self._start_window(now)
        elapsed_s = now - self._window_start
        if elapsed_s < self._min_window_s():
            return
        window = self._measure_window(now, elapsed_s)
        if self._must_continue(window):
            return
        self._adapt_limit(now, window)
        self._start_window(now)

    def _find_meter(self, route: str) -> _RouteMeter:
        meter = self._meters.get(route)
        if meter is not None:
            return meter
        if len(self._meters) >= MAX_ROUTES:
            route = OTHER_ROUTES
        now = self._clock.monotonic()
        return self._meters.setdefault(route, _RouteMeter(now))

    def _min_window_s(self) -> float:
        service_s = (
            self._mean_service_s if self._mean_service_s is not None else 0.0
        )
        window_s = WINDOW_SERVICE_TIMES * service_s
        return min(max(window_s, WINDOW_MIN_S), WINDOW_MAX_S)

    def _start_window(self, now: float) -> None:
        for meter in self._meters.values():
            meter.advance(now)
            meter.start_window()
        self._window_start = now
        self._peak_in_flight = self._in_flight
        self._shed_count = 0
        self._timeout_count = 0

    def _measure_window(self, now: float, elapsed_s: float) -> _Window:
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
        if all_calls >= MIN_WINDOW_CALLS:
            self._mean_service_s = max(0.0, all_busy_s) / all_calls
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

    def _must_continue(self, window: _Window) -> bool:
        """Return whether the window has to continue to measure more calls."""
        if self._is_settling:
            return window.elapsed_s < TRIAL_MAX_S
        if self._shed_count or self._timeout_count >= MIN_TIMEOUTS:
            return False
        needed_calls = MIN_WINDOW_CALLS
        longest_s = WINDOW_MAX_S
        if self._trial is not None:
            needed_calls = MIN_TRIAL_CALLS
            longest_s = TRIAL_MAX_S
        return window.all_calls < needed_calls and window.elapsed_s < longest_s

    def _adapt_limit(self, now: float, window: _Window) -> None:
        self._is_settling = False
        if window.ratio is not None and window.calls >= MIN_WINDOW_CALLS:
            self._ratio = window.ratio
            self._ratio_at = now
        may_rise = not self._is_constrained and self._trial is None
        for meter in self._meters.values():
            meter.update_baseline(now, may_rise)
        if self._cut_for_sheds_and_timeouts(now, window):
            self._trial = None
            return
        if self._trial is not None:
            self._conclude_trial(now, window, self._trial)
            return
        if self._needs_trial(now, window):
            self._trial = _Trial(
                previous_limit=self._limit, before=window, started_at=now
            )
            self._limit = max(
                1.0, CUT_FACTOR * min(self._limit, float(self._peak_in_flight))
            )
            self._is_settling = True
            return
        self._grow_limit(now, window)

    def _cut_for_sheds_and_timeouts(self, now: float, window: _Window) -> bool:
        """Cut the limit if the upstream sheds calls or many calls time out."""
        calls = window.calls
        if self._shed_count > SHED_FRACTION * (calls + self._shed_count):
            self._limit = max(
                1.0,
                SHED_CUT_FACTOR
                * min(self._limit, float(self._peak_in_flight)),
            )
            self._last_shed_at = now
            return True
        if self._timeout_count >= MIN_TIMEOUTS and self._timeout_count > calls:
            floor = max(1.0, COLD_FRACTION * self._slots)
            self._limit = max(floor, CUT_FACTOR * self._limit)
            return True
        return False

    def _needs_trial(self, now: float, window: _Window) -> bool:
        if window.ratio is None or window.calls < MIN_CALLS_BEFORE_TRIAL:
            return False
        if now < self._trial_not_before or self.limit <= 1:
            return False
        # So few calls ran that a cut would not change their number.
        if window.mean_in_flight < CUT_FACTOR * self.limit:
            return False
        noise = TRIAL_NOISE_FACTOR / math.sqrt(window.calls)
        return window.ratio > TRIAL_MIN_RATIO + noise

    def _conclude_trial(
        self, now: float, window: _Window, trial: _Trial
    ) -> None:
        """Keep the cut if the service time fell with it, or undo it."""
        self._trial = None
        if window.ratio is None or trial.before.ratio is None:
            self._limit = trial.previous_limit
            return
        service_time_fall = math.log(
            trial.before.ratio / max(window.ratio, 0.01)
        )
        in_flight_cut = math.log(
            trial.before.mean_in_flight / max(window.mean_in_flight, 0.01)
        )
        if (
            in_flight_cut > 0.0
            and service_time_fall >= MIN_ELASTICITY * in_flight_cut
        ):
            # Calls in flight divided by the ratio are the calls that the
            # upstream can run at full speed. The trial may have cut the
            # limit below that number.
            capacity = trial.before.mean_in_flight / trial.before.ratio
            self._limit = min(
                trial.previous_limit,
                max(self._limit, CAPACITY_HEADROOM_FACTOR * capacity),
            )
            self._is_constrained = True
            self._trial_backoff_s = TRIAL_BACKOFF_MIN_S
            return
        # If this cut did not help, an earlier cut may have been wrong too.
        self._limit = min(
            float(self._slots), trial.previous_limit / CUT_FACTOR
        )
        self._is_constrained = False
        trial_s = now - trial.started_at
        gap_s = max(self._trial_backoff_s, TRIAL_GAP_FACTOR * trial_s)
        self._trial_not_before = now + gap_s
        self._trial_backoff_s = min(
            2 * self._trial_backoff_s, TRIAL_BACKOFF_MAX_S
        )

    def _grow_limit(self, now: float, window: _Window) -> None:
        if self._limit >= self._slots:
            self._is_constrained = False
            return
        if now - self._last_shed_at < SHED_HOLD_S:
            return
        if 2 * self._peak_in_flight < self.limit:
            return
        if window.ratio is None:
            # Without a baseline, growth would hide a wrong slot count.
            if now - self._started_at < FIRST_BASELINE_WAIT_S:
                return
        else:
            noise = GROWTH_NOISE_FACTOR / math.sqrt(max(1, window.calls))
            if window.ratio > GROWTH_MAX_RATIO + noise:
                return
        elapsed_s = min(window.elapsed_s, GROWTH_MAX_S)
        step = max(1.0, GROWTH_FRACTION_PER_S * self._slots * elapsed_s)
        self._limit = min(float(self._slots), self._limit + step)
