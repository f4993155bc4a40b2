"""How long calls wait for an upstream, and which are refused unstarted.

The calls of a route have slack if its latency target is most of the time that
its callers give: they may wait longer than others and still end in time, and
a refusal would leave their callers little time to come back. The daemon that
takes the request decides that, since the timeout of the route may shorten the
time that the daemon beside the upstream sees. All other calls wait a fixed
fraction of their target.
"""

import math
from typing import Final

# Fraction of the latency target that a call without slack may wait. An early
# refusal leaves the caller time for a retry.
WAIT_FRACTION: Final = 0.125
# Calls have slack if their target is at least this fraction of the time that
# their callers give. Callers with more time than that can come back after a
# refusal and still get a late response.
MIN_SLACK_TARGET_FRACTION: Final = 0.6
# Fraction of the time between the usual run and the target that a call with
# slack may wait; the rest is for the wait after its caller has come back, and
# for longer runs.
SLACK_WAIT_FRACTION: Final = 0.5
# Fraction of this time that each inner call of a run with slack may wait; a
# run makes several of them in sequence.
INNER_SLACK_WAIT_FRACTION: Final = 0.2
# One of this many starts is that of a call with slack while any waits, so that
# calls without slack do not starve them.
SLACK_START_INTERVAL: Final = 8
# Quantiles of the duration of runs, and the relative change of their estimates
# with each run. Hardly any run is shorter than the first.
SHORT_QUANTILE: Final = 0.01
USUAL_QUANTILE: Final = 0.8
QUANTILE_STEP: Final = 0.1
MIN_RUNS: Final = 20
# Without a run for this time, durations count as unknown: the upstream may
# have become faster.
DURATION_LIFETIME_S: Final = 2.0
# Fraction by which the longest time that callers give approaches a shorter
# one with each call.
TIME_GIVEN_SMOOTHING_FACTOR: Final = 0.002
# Time constant of the mean rate of starts. A few starts in this time are
# enough for an estimate.
START_RATE_TIME_CONSTANT_S: Final = 2.0
MAX_ROUTES: Final = 1024
# Retry-After as a fraction of the latency target, and the largest random
# fraction added to it; a retry at that time can still meet the target.
RETRY_AFTER_FRACTION: Final = 0.25
RETRY_AFTER_JITTER_FRACTION: Final = 0.3
# Upper bound of Retry-After as a fraction of the time until the deadline, so
# that most of this time is left for the retry; RETRY_AFTER_MIN_S may exceed
# this bound.
RETRY_AFTER_LEFT_FRACTION: Final = 0.3
RETRY_AFTER_MIN_S: Final = 0.05
# Part of the spread of Retry-After that depends on the importance of a call
# that has slack; the rest is random.
RETRY_AFTER_URGENCY_FRACTION: Final = 0.3


class _Durations:
    """Quantiles of the duration of the runs of one route.

    Attributes:
        short_s: Duration in seconds that hardly any run falls below.
        usual_s: Duration in seconds that most runs do not exceed.
    """

    def __init__(self) -> None:
        self.short_s = 0.0
        self.usual_s = 0.0
        self._count = 0
        self._updated_at = -math.inf

    def note(self, run_s: float, now: float) -> None:
        """Move the quantiles towards the duration of a run."""
        if now - self._updated_at > DURATION_LIFETIME_S:
            self._count = 0
        self._updated_at = now
        self._count += 1
        if self._count == 1:
            self.short_s = run_s
            self.usual_s = run_s
            return
        self.short_s = _move_quantile(self.short_s, run_s, SHORT_QUANTILE)
        self.usual_s = _move_quantile(self.usual_s, run_s, USUAL_QUANTILE)

    def is_known(self, now: float) -> bool:
        """Return whether enough runs ended recently."""
        return (
            self._count >= MIN_RUNS
            and now - self._updated_at <= DURATION_LIFETIME_S
        )


def _move_quantile(estimate: float, value: float, quantile: float) -> float:
    """Return the estimate of a quantile after another value."""
    if value < estimate:
        return estimate * (1.0 - QUANTILE_STEP * (1.0 - quantile))
    return estimate * (1.0 + QUANTILE_STEP * quantile)


class StartRate:
    """Mean rate of starts over the last START_RATE_TIME_CONSTANT_S."""

    def __init__(self) -> None:
        """Begin without starts."""
        self._count = 0.0
        self._updated_at = 0.0

    def note_start(self, now: float) -> None:
        """Count a start."""
        self._count = self._decayed_count(now) + 1.0
        self._updated_at = now

    def compute_wait_s(self, calls: int, now: float) -> float:
        """Return the time in seconds in which some calls start.

        One start is added to those counted, so that a kind that starts rarely
        is not taken for one that has stopped.
        """
        count = self._decayed_count(now) + 1.0
        return calls * START_RATE_TIME_CONSTANT_S / count

    def _decayed_count(self, now: float) -> float:
        return self._count * math.exp(
            (self._updated_at - now) / START_RATE_TIME_CONSTANT_S
        )


class TimesGiven:
    """Longest time that callers of each route give."""

    def __init__(self) -> None:
        """Begin without calls."""
        self._longest_s: dict[str, float] = {}

    def note_call(self, route: str, target_s: float, time_s: float) -> bool:
        """Record a call; return whether the calls of its route have slack.

        Args:
            route: Name of the route.
            target_s: Latency target of the route.
            time_s: Time that the caller gives; one that came back gives less
                than at first.
        """
        longest_s = self._longest_s.get(route, 0.0)
        longest_s = max(
            time_s,
            longest_s + TIME_GIVEN_SMOOTHING_FACTOR * (time_s - longest_s),
        )
        if len(self._longest_s) >= MAX_ROUTES:
            self._longest_s.clear()
        self._longest_s[route] = longest_s
        return target_s >= MIN_SLACK_TARGET_FRACTION * longest_s


class KindSchedule:
    """Slack and starts of the new calls of one kind.

    Attributes:
        starts: Rate at which they start.
        wait_s: Time in seconds that the last of them was allowed to wait.
        due_s: Wait in seconds after which they start before other calls; the
            more urgent they are, the less of their slack they leave to others.
        has_slack: Whether they have slack.
    """

    def __init__(self, urgency: float) -> None:
        """Begin without calls.

        Args:
            urgency: Urgency of the calls, from 0 to 1.
        """
        self.starts = StartRate()
        self.wait_s = 0.0
        self.due_s = 0.0
        self._urgency = urgency
        self.has_slack = False

    def note_call(
        self,
        *,
        target_s: float,
        time_left_s: float,
        usual_s: float,
        has_slack: bool,
    ) -> None:
        """Update the allowed wait by the times of a new call.

        Args:
            target_s: Latency target of the call.
            time_left_s: Time until its deadline.
            usual_s: Usual duration of its run; 0 if unknown.
            has_slack: Whether it has slack.
        """
        self.has_slack = has_slack
        self.due_s = WAIT_FRACTION * target_s
        self.wait_s = self.due_s
        if has_slack and usual_s > 0.0:
            slack_s = min(target_s, time_left_s) - usual_s
            self.wait_s = max(self.wait_s, SLACK_WAIT_FRACTION * slack_s)
            self.due_s += (1.0 - self._urgency) * (self.wait_s - self.due_s)


class CallSchedule:
    """Measures runs at one upstream and derives the times of calls."""

    def __init__(self) -> None:
        """Begin without measured runs."""
        self._routes: dict[str, _Durations] = {}

    def note_run(self, route: str, run_s: float, now: float) -> None:
        """Record the duration of a run that ended."""
        durations = self._routes.get(route)
        if durations is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            durations = self._routes[route] = _Durations()
        durations.note(run_s, now)

    def usual_s(self, route: str, now: float) -> float:
        """Return the usual duration of a run in seconds; 0 if unknown."""
        durations = self._routes.get(route)
        if durations is None or not durations.is_known(now):
            return 0.0
        return durations.usual_s

    def short_s(self, route: str, now: float) -> float:
        """Return the duration of the shortest runs; 0 if unknown."""
        durations = self._routes.get(route)
        if durations is None or not durations.is_known(now):
            return 0.0
        return durations.short_s

    def can_end(self, route: str, deadline: float, now: float) -> bool:
        """Return whether a call that starts now can end by its deadline."""
        return now + self.short_s(route, now) < deadline

    def compute_inner_wait_s(
        self, route: str, target_at: float, now: float
    ) -> float:
        """Return how long an inner call of a run with slack may wait.

        Args:
            route: Route of the run.
            target_at: Time at which the latency target of the run ends.
            now: Monotonic time in seconds.

        Returns:
            Time in seconds; 0 if the duration of the run is unknown.
        """
        usual_s = self.usual_s(route, now)
        if usual_s <= 0.0:
            return 0.0
        return max(
            0.0, INNER_SLACK_WAIT_FRACTION * (target_at - now - usual_s)
        )


def compute_retry_after_s(
    *,
    target_s: float,
    left_s: float,
    wait_s: float,
    urgency: float,
    jitter: float,
) -> float:
    """Return when the caller of a refused call is to come back, in seconds.

    Where the time left bounds the delay, the whole spread is kept below that
    bound, so that the callers of one moment do not come back together.

    Args:
        target_s: Latency target of the call.
        left_s: Time until its deadline.
        wait_s: Time that the call would have waited for a start; 0 if unknown.
        urgency: From 0 to 1; the most urgent calls come back first.
        jitter: Random number from 0 to 1.
    """
    latest_s = RETRY_AFTER_LEFT_FRACTION * left_s
    largest_s = (RETRY_AFTER_FRACTION + RETRY_AFTER_JITTER_FRACTION) * target_s
    if largest_s <= latest_s:
        delay_s = (
            RETRY_AFTER_FRACTION + RETRY_AFTER_JITTER_FRACTION * jitter
        ) * target_s
        return max(RETRY_AFTER_MIN_S, delay_s)
    earliest_s = min(
        max(RETRY_AFTER_FRACTION * target_s, wait_s),
        latest_s * RETRY_AFTER_FRACTION / (largest_s / target_s),
    )
    position = (
        RETRY_AFTER_URGENCY_FRACTION * (1.0 - urgency)
        + (1.0 - RETRY_AFTER_URGENCY_FRACTION) * jitter
    )
    return max(
        RETRY_AFTER_MIN_S, earliest_s + position * (latest_s - earliest_s)
    )
