"""Pace of the calls to an upstream that is cold or has just recovered.

The operator may state the rate that a cold upstream tolerates. Calls then get
tokens in virtual time. Where no rate is stated, the number of calls in flight
grows with the responses, as in the slow start of TCP.
"""

import math
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.models import enums

# Length of the window to which the bound on the rate applies.
WINDOW_S: Final = 1.0
# Calls that may start at once at a stated rate. The rest of the tolerated
# excess is left for requests that are delayed on their way, and for those of
# a former process of this daemon.
BURST: Final = 2.0
# Added to the stated cold time, which is rounded and measured by the upstream.
COLD_MARGIN_S: Final = 0.1
# Longer stated cold times are invalid.
MAX_COLD_S: Final = 60.0
# A report may be late by up to this time, so for as long it does not end a
# cold time that a health response has stated.
MAX_REPORT_DELAY_S: Final = 3.0
# Calls in flight at the beginning, where no rate is stated. From there, the
# limit reaches 64 within four service times.
START_LIMIT: Final = 4.0
MIN_LIMIT: Final = 1.0
# Least time between two reductions, so that calls that started before the
# first one do not cause a second one.
REDUCTION_INTERVAL_S: Final = 0.25
# The limit ends after this time without a reduction: the demand is below it.
MAX_GROWTH_S: Final = 10.0
# Gain of the moving average of the service time, and its first value.
SERVICE_TIME_GAIN: Final = 0.1
ASSUMED_SERVICE_TIME_S: Final = 0.1


class UpstreamPace:
    """Limits the starts of calls while the upstream is cold or recovers.

    Attributes:
        is_active: Whether starts are limited now.
        reason: Why they are; None if they are not.
    """

    def __init__(
        self, clock: clock_module.Clock, *, is_first_start: bool = False
    ) -> None:
        """Create a pace that limits nothing before set_rules.

        Args:
            clock: Monotonic clock.
            is_first_start: Whether the whole fleet starts for the first time,
                so that the first upstream is cold only if it says so.
        """
        self._clock = clock
        self._is_first = is_first_start
        self.is_active = False
        self.reason: enums.PaceReason | None = None
        self._is_enabled = False
        self._cold_s = 0.0
        # Stated rate, the time per request and the burst; 0 if not stated.
        self._rate_per_s = 0.0
        self._interval_s = 0.0
        self._burst_s = 0.0
        # Theoretical arrival time of the next request (GCRA).
        self._next_at = -math.inf
        self._cold_until = -math.inf
        self._is_cold_known = True
        self._stated_by_health_at = -math.inf
        self._capacity = 1
        # Calls that may be in flight; infinite without such a limit.
        self._limit = math.inf
        self._grows_until = -math.inf
        self._reduced_at = -math.inf
        self._service_time_s = ASSUMED_SERVICE_TIME_S

    @property
    def pace_per_s(self) -> float:
        """Return the calls per second that may start; 0 if not limited."""
        if not self.is_active:
            return 0.0
        if self._rate_per_s:
            return self._rate_per_s
        return self._limit / self._service_time_s

    @property
    def is_found(self) -> bool:
        """Return whether the limit follows the responses."""
        return self.is_active and not self._rate_per_s

    def set_rules(
        self,
        *,
        cold_s: float,
        rate_per_s: float,
        excess: float,
        slack: float,
    ) -> None:
        """Set what the operator states of cold upstreams.

        Args:
            cold_s: Time after its start during which an upstream is cold, in
                seconds; 0 if it is not stated.
            rate_per_s: Requests per second that a cold upstream tolerates; 0
                if it is not stated.
            excess: Factor on that rate up to which it may be exceeded in one
                second; 0 if no bound is stated.
            slack: Requests in one second beyond that product.
        """
        self._is_enabled = cold_s > 0.0 or excess > 0.0
        self._cold_s = min(cold_s, MAX_COLD_S)
        self._rate_per_s = 0.0
        if rate_per_s > 0.0 and excess > 0.0:
            # In any window of a second, at most the rate and the burst start.
            bound = rate_per_s * excess + slack
            rate_per_s = min(rate_per_s, max(bound - 1.0, 0.5 * rate_per_s))
            self._rate_per_s = rate_per_s
            self._interval_s = 1.0 / rate_per_s
            burst = min(BURST, max(1.0, bound - rate_per_s))
            self._burst_s = (burst - 1.0) * self._interval_s
        self._update(self._clock.monotonic())

    def set_capacity(self, capacity: int) -> None:
        """Set the number of calls that the upstream runs at once."""
        self._capacity = capacity

    def note_process(self) -> None:
        """Note that another process of the upstream runs.

        It counts as cold until it states its cold time, at most for the
        stated time after a start.
        """
        now = self._clock.monotonic()
        # A health check may just have been sent to it.
        self._next_at = now + self._interval_s
        self._stated_by_health_at = -math.inf
        if self._is_first:
            self._cold_until = -math.inf
            self._is_cold_known = True
        else:
            self._doubt(now)
        self._update(now)

    def note_doubt(self) -> None:
        """Note that the process of the upstream may be another one."""
        now = self._clock.monotonic()
        self._doubt(now)
        self._update(now)

    def note_recovery(self) -> None:
        """Note that the upstream accepts calls after a start or a failure."""
        now = self._clock.monotonic()
        if self._is_first:
            self._is_first = False
        else:
            self._begin_growth(now)
        self._update(now)

    def note_cold_time(self, left_s: float | None, *, is_late: bool) -> bool:
        """Note the cold time that the upstream states.

        Args:
            left_s: Time until it is warm in seconds; None if not stated.
            is_late: Whether the statement may be seconds old.

        Returns:
            Whether the time is valid. If not, what is known before holds.
        """
        if left_s is None:
            return True
        if not 0.0 <= left_s <= MAX_COLD_S:
            return False
        now = self._clock.monotonic()
        until = -math.inf
        if left_s > 0.0:
            until = now + left_s + COLD_MARGIN_S
        if is_late:
            if (
                until < self._cold_until
                and now - self._stated_by_health_at < MAX_REPORT_DELAY_S
            ):
                return True
        else:
            self._stated_by_health_at = now
        if left_s > 0.0 and self._cold_until <= now:
            self._begin_growth(now)
        self._cold_until = until
        self._is_cold_known = True
        self._update(now)
        return True

    def may_start(self, in_flight: int) -> bool:
        """Return whether a call may start now.

        Args:
            in_flight: Number of calls at the upstream.
        """
        if not self.is_active:
            return True
        if self._rate_per_s:
            now = self._clock.monotonic()
            return self._next_at <= now + self._burst_s + 1e-9
        return in_flight < max(MIN_LIMIT, self._limit)

    def compute_wait_s(self, waiting: int) -> float:
        """Return the time until the last of the waiting calls starts.

        Args:
            waiting: Number of waiting calls.
        """
        if not self.is_active:
            return 0.0
        if self._rate_per_s:
            now = self._clock.monotonic()
            first_s = max(0.0, self._next_at - self._burst_s - now)
            return first_s + (waiting - 1) * self._interval_s
        return waiting * self._service_time_s / max(MIN_LIMIT, self._limit)

    def note_start(self, now: float) -> None:
        """Count a call that starts.

        Args:
            now: Monotonic time in seconds.
        """
        if not self._rate_per_s:
            return
        # Calls to the warm upstream count too, as it may already be cold. No
        # window holds such calls and those that start from the latest time on.
        latest = now + WINDOW_S + self._burst_s
        self._next_at = min(max(self._next_at, now) + self._interval_s, latest)

    def note_response(self, elapsed_s: float, in_flight: int) -> None:
        """Let the limit grow after a response at about the usual latency.

        Args:
            elapsed_s: Service time of the call in seconds.
            in_flight: Calls in flight, with this one. Responses while most of
                the limit is unused do not show that it may grow.
        """
        self._service_time_s += SERVICE_TIME_GAIN * (
            elapsed_s - self._service_time_s
        )
        if in_flight >= 0.5 * self._limit:
            self._limit += 1.0
            if self._limit >= self._capacity:
                self._update(self._clock.monotonic())

    def note_overload(self) -> None:
        """Halve the limit after a slow response, a failure or shed load."""
        now = self._clock.monotonic()
        if now - self._reduced_at < REDUCTION_INTERVAL_S:
            return
        self._reduced_at = now
        self._grows_until = now + MAX_GROWTH_S
        self._limit = max(MIN_LIMIT, 0.5 * self._limit)

    def tick(self) -> None:
        """End the pace when it is due."""
        if self.is_active:
            self._update(self._clock.monotonic())

    def _doubt(self, now: float) -> None:
        if self._cold_until < now + self._cold_s:
            self._cold_until = now + self._cold_s
            self._is_cold_known = False

    def _begin_growth(self, now: float) -> None:
        self._limit = START_LIMIT
        self._grows_until = now + MAX_GROWTH_S
        self._service_time_s = ASSUMED_SERVICE_TIME_S

    def _update(self, now: float) -> None:
        """Set the reason for a pace, if there is one."""
        reason: enums.PaceReason | None = None
        if self._limit >= self._capacity or now >= self._grows_until:
            self._limit = math.inf
        if not self._is_enabled:
            pass
        elif self._rate_per_s:
            if now < self._cold_until:
                reason = enums.PaceReason.UNKNOWN
                if self._is_cold_known:
                    reason = enums.PaceReason.COLD
        elif self._limit < math.inf:
            reason = enums.PaceReason.RECOVERING
        self.reason = reason
        self.is_active = reason is not None
