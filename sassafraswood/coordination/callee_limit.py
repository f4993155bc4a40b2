"""Bounds the calls that one daemon has in flight to one callee service."""

import dataclasses

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.models import enums
from sassafraswood.models import ids


@dataclasses.dataclass(kw_only=True)
class _Sample:
    """Windows from which the usual values are learned."""

    elapsed_s: float = 0.0
    area: float = 0.0
    started: int = 0
    finished: int = 0


@dataclasses.dataclass(kw_only=True)
class _Callee:
    """Measurements of one callee.

    Attributes:
        sample: The windows since the usual values were last changed.
        area: Integral of the calls in flight over the window, call-seconds.
        usual_service_s: Service time that counts as usual; None if unknown.
        usual_rate: Calls per second while the service time was usual.
    """

    window_start: float
    updated_at: float
    in_flight: int = 0
    area: float = 0.0
    started: int = 0
    finished: int = 0
    usual_service_s: float | None = None
    usual_rate: float = 0.0
    is_slow: bool = False
    sample: _Sample = dataclasses.field(default_factory=_Sample)


class CalleeLimits:
    """Limits by callee, adapted to the measured service time.

    A callee may hold as many calls as the document says, or as all its
    upstreams have slots together. That alone would let a slow callee occupy
    every call of the services above it, so a stricter limit applies while
    the callee is slow.

    Little's law (J. D. C. Little, "A Proof for the Queuing Formula: L =
    lambda W", Operations Research 9, 1961) relates calls in flight L, rate
    lambda and service time W. Per window of 0.25 s, W is the integral of the
    calls in flight divided by the calls that finished. A callee is slow from
    3 times its usual W on. From then on it may hold no more than

        max(8, 3 x usual rate x usual W)

    calls, that is 3 times what it usually holds. Both usual values are
    smoothed over samples of at least 20 calls while the callee was not
    slow. The usual W drifts up by 0.3% per second while the measured W is
    above it, so that a lasting change is accepted in the end.

    The limits above are those of low calls. More important calls may go
    beyond them by CALLEE_CLASS_FACTORS, so that less important ones that hold
    the limit do not keep them out. The limit of a document is the same for
    all classes.
    """

    def __init__(self, *, clock: clock_module.Clock) -> None:
        """Take the clock."""
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
        """Count a call in, or return False if the callee holds its limit.

        Args:
            service: The callee.
            limit: Limit of the document in calls; None derives it.
            total_slots: Slots of all upstreams of the callee.
            importance: Importance of the call.
        """
        now = self._clock.monotonic()
        callee = self._callees.get(service)
        if callee is None:
            callee = _Callee(window_start=now, updated_at=now)
            self._callees[service] = callee
        _advance(callee, now)
        allowed = _find_limit(callee, limit, total_slots)
        if limit is None or allowed < _find_ceiling(limit, total_slots):
            allowed = int(allowed * const.CALLEE_CLASS_FACTORS[importance])
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
        _advance(callee, self._clock.monotonic())
        callee.in_flight -= 1
        callee.finished += 1

    def in_flight(self, service: ids.ServiceName) -> int:
        """Return the calls that the callee holds now."""
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
    if not callee.is_slow or callee.usual_service_s is None:
        return ceiling
    usual = callee.usual_rate * callee.usual_service_s
    allowed = int(const.CALLEE_SLOW_RATIO * usual)
    return min(ceiling, max(const.CALLEE_MIN_LIMIT, allowed))


def _advance(callee: _Callee, now: float) -> None:
    callee.area += callee.in_flight * (now - callee.updated_at)
    callee.updated_at = now
    elapsed_s = now - callee.window_start
    if elapsed_s < const.CALLEE_WINDOW_S:
        return
    if callee.finished > 0 or callee.in_flight > 0:
        _close_window(callee, elapsed_s)
    callee.window_start = now
    callee.area = 0.0
    callee.started = 0
    callee.finished = 0


def _close_window(callee: _Callee, elapsed_s: float) -> None:
    # Without a finished call the area is a lower bound for the time of one.
    service_s = callee.area / max(1, callee.finished)
    usual_s = callee.usual_service_s
    if usual_s is not None:
        callee.is_slow = service_s > const.CALLEE_SLOW_RATIO * usual_s
        if service_s > usual_s:
            # A long pause between two calls is no evidence of a change.
            step_s = min(elapsed_s, 1.0)
            drift = 1.0 + const.CALLEE_USUAL_DRIFT_PER_S * step_s
            callee.usual_service_s = min(service_s, usual_s * drift)
    if callee.is_slow:
        return
    sample = callee.sample
    sample.elapsed_s += elapsed_s
    sample.area += callee.area
    sample.started += callee.started
    sample.finished += callee.finished
    if sample.finished >= const.CALLEE_MIN_SAMPLES:
        _learn(callee, sample)
        callee.sample = _Sample()


def _learn(callee: _Callee, sample: _Sample) -> None:
    service_s = sample.area / sample.finished
    rate = sample.started / sample.elapsed_s
    usual_s = callee.usual_service_s
    if usual_s is None:
        callee.usual_service_s = service_s
        callee.usual_rate = rate
        return
    callee.usual_rate += const.CALLEE_USUAL_GAIN * (rate - callee.usual_rate)
    if service_s < usual_s:
        gap_s = service_s - usual_s
        callee.usual_service_s = usual_s + const.CALLEE_USUAL_GAIN * gap_s
