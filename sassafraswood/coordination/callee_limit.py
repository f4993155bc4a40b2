"""Limits the calls that one daemon has in flight to one callee service."""

import dataclasses

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.models import enums
from sassafraswood.models import ids


@dataclasses.dataclass(kw_only=True)
class _BaselineSample:
    """Sum of the windows from which the baselines are updated.

    Attributes:
        in_flight_s: Integral of the calls in flight, in call-seconds.
    """

    elapsed_s: float = 0.0
    in_flight_s: float = 0.0
    started: int = 0
    finished: int = 0


@dataclasses.dataclass(kw_only=True)
class _Callee:
    """Measurements of one callee.

    Attributes:
        in_flight_s: Integral of the calls in flight over the window, in
            call-seconds.
        baseline_service_s: Baseline of the service time; None if unknown.
        baseline_rate_per_s: Baseline of the calls per second, measured while
            the callee is not slow.
        sample: Windows since the last update of the baselines.
    """

    window_start: float
    advanced_at: float
    in_flight: int = 0
    in_flight_s: float = 0.0
    started: int = 0
    finished: int = 0
    baseline_service_s: float | None = None
    baseline_rate_per_s: float = 0.0
    is_slow: bool = False
    sample: _BaselineSample = dataclasses.field(
        default_factory=_BaselineSample
    )


class CalleeLimits:
    """Limits calls per callee according to the measured service time.

    A callee may have as many calls in flight as its document allows, or
    without such a limit as all its upstreams have slots. That alone would let
    a slow callee occupy every call of its callers, so a stricter limit
    applies while the callee is slow.

    Little's law (J. D. C. Little, "A Proof for the Queuing Formula: L =
    lambda W", Operations Research 9, 1961) relates calls in flight L, rate
    lambda and service time W. Per window of 0.25 s, W is the integral of the
    calls in flight divided by the finished calls. A callee counts as slow
    while W is above 3 times its baseline. It may then have no more than

        max(8, 3 x baseline rate x baseline W)

    calls in flight, that is 3 times its normal number. Both baselines are
    smoothed over samples of at least 20 calls while the callee is not slow.
    The baseline of W rises by 0.3% per second while the measured W is above
    it, so that a permanent change is accepted after some minutes.

    These limits apply to calls of low importance. For more important calls
    they are multiplied by CALLEE_IMPORTANCE_FACTORS, so that less important
    calls that use up the limit do not block them. The limit of a document is
    the same for all classes.
    """

    def __init__(self, *, clock: clock_module.Clock) -> None:
        """Start without measurements."""
        self._clock = clock
        self._callees: dict[ids.ServiceName, _Callee] = {}

    def acquire(
        self,
        service: ids.ServiceName,
        *,
        limit: int | None,
        total_slots: int,
        importance: enums.Importance = enums.Importance.LOW,
    ) -> bool:
        """Count a call in, or return False if the callee is at its limit.

        Args:
            service: The callee.
            limit: Limit of the document in calls; None derives the limit from
                the slots.
            total_slots: Slots of all upstreams of the callee.
            importance: Importance of the call.
        """
        now = self._clock.monotonic()
        callee = self._callees.get(service)
        if callee is None:
            callee = _Callee(window_start=now, advanced_at=now)
            self._callees[service] = callee
        _advance_window(callee, now)
        allowed = _find_limit(callee, limit, total_slots)
        if limit is None or allowed < _find_ceiling(limit, total_slots):
            allowed = int(
                allowed * const.CALLEE_IMPORTANCE_FACTORS[importance]
            )
        if limit is not None:
            allowed = min(allowed, max(1, limit))
        if callee.in_flight >= allowed:
            return False
        callee.in_flight += 1
        callee.started += 1
        return True

    def release(self, service: ids.ServiceName) -> None:
        """Count a call out; a release without acquire is ignored."""
        callee = self._callees.get(service)
        if callee is None or callee.in_flight < 1:
            return
        _advance_window(callee, self._clock.monotonic())
        callee.in_flight -= 1
        callee.finished += 1

    def in_flight(self, service: ids.ServiceName) -> int:
        """Return the number of calls that the callee has in flight."""
        callee = self._callees.get(service)
        return 0 if callee is None else callee.in_flight

    def current_limit(
        self, service: ids.ServiceName, *, limit: int | None, total_slots: int
    ) -> int:
        """Return the limit in calls as of the last measured window."""
        callee = self._callees.get(service)
        if callee is None:
            return _find_ceiling(limit, total_slots)
        return _find_limit(callee, limit, total_slots)


def _find_ceiling(limit: int | None, total_slots: int) -> int:
    if limit is not None:
        return max(1, limit)
    return max(const.CALLEE_MIN_LIMIT, total_slots)


def _find_limit(callee: _Callee, limit: int | None, total_slots: int) -> int:
    ceiling = _find_ceiling(limit, total_slots)
    if not callee.is_slow or callee.baseline_service_s is None:
        return ceiling
    baseline_in_flight = callee.baseline_rate_per_s * callee.baseline_service_s
    allowed = int(const.CALLEE_SLOW_RATIO * baseline_in_flight)
    return min(ceiling, max(const.CALLEE_MIN_LIMIT, allowed))


def _advance_window(callee: _Callee, now: float) -> None:
    callee.in_flight_s += callee.in_flight * (now - callee.advanced_at)
    callee.advanced_at = now
    elapsed_s = now - callee.window_start
    if elapsed_s < const.CALLEE_WINDOW_S:
        return
    if callee.finished > 0 or callee.in_flight > 0:
        _close_window(callee, elapsed_s)
    callee.window_start = now
    callee.in_flight_s = 0.0
    callee.started = 0
    callee.finished = 0


def _close_window(callee: _Callee, elapsed_s: float) -> None:
    # Without a finished call, the call-seconds are a lower bound of the
    # service time.
    service_s = callee.in_flight_s / max(1, callee.finished)
    baseline_s = callee.baseline_service_s
    if baseline_s is not None:
        callee.is_slow = service_s > const.CALLEE_SLOW_RATIO * baseline_s
        if service_s > baseline_s:
            # A long pause between two calls is no evidence of a slower callee.
            step_s = min(elapsed_s, 1.0)
            drift = 1.0 + const.CALLEE_BASELINE_DRIFT_PER_S * step_s
            callee.baseline_service_s = min(service_s, baseline_s * drift)
    if callee.is_slow:
        return
    sample = callee.sample
    sample.elapsed_s += elapsed_s
    sample.in_flight_s += callee.in_flight_s
    sample.started += callee.started
    sample.finished += callee.finished
    if sample.finished >= const.CALLEE_MIN_SAMPLES:
        _update_baseline(callee, sample)
        callee.sample = _BaselineSample()


def _update_baseline(callee: _Callee, sample: _BaselineSample) -> None:
    service_s = sample.in_flight_s / sample.finished
    rate_per_s = sample.started / sample.elapsed_s
    baseline_s = callee.baseline_service_s
    if baseline_s is None:
        callee.baseline_service_s = service_s
        callee.baseline_rate_per_s = rate_per_s
        return
    callee.baseline_rate_per_s += const.CALLEE_BASELINE_GAIN * (
        rate_per_s - callee.baseline_rate_per_s
    )
    if service_s < baseline_s:
        gap_s = service_s - baseline_s
        callee.baseline_service_s = (
            baseline_s + const.CALLEE_BASELINE_GAIN * gap_s
        )
