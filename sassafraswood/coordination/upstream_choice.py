"""Load balancing: selects the daemon of a service that gets a call."""

from collections.abc import Iterable, Sequence
import math
import random as random_module
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import completion_estimate
from sassafraswood.models import fleet
from sassafraswood.models import ids

# Gain of the moving averages of latency and errors, which cover about the last
# ten calls.
EWMA_GAIN: Final = 0.1
# Gain of the baseline latency of a route, over all upstreams of the route.
BASELINE_GAIN: Final = 0.02
MAX_ROUTES: Final = 1024
# A daemon of the own failure domain is preferred while its load is below this
# fraction and its slowness is at most this multiple of the lowest one.
# Upstreams of a service differ in speed by a factor of 2.3, and averages of
# ten calls vary.
LOCAL_MAX_LOAD: Final = 0.85
LOCAL_MAX_SLOWNESS_RATIO: Final = 3.0
# A response is overdue after this multiple of the baseline latency of its
# route; the slowest 1 percent of the calls take five times the baseline.
OVERDUE_FACTOR: Final = 5.0
MAX_OVERDUE_COUNT: Final = 8
# The slowness that a daemon reports of its upstream counts above this value.
MIN_REPORTED_SLOWNESS: Final = 2.0
# Factor for the weight of a daemon in another failure domain: calls to it
# cause traffic between failure domains.
REMOTE_WEIGHT: Final = 0.4
# Weight of the load in the score of a daemon of the own failure domain.
LOAD_WEIGHT: Final = 4.0
# Exponent of a load above 1 in the weight of a daemon.
LOAD_EXPONENT: Final = 3.0
# Upstreams slower than this multiple of the lowest slowness have their weight
# reduced by this factor. They get just enough calls to detect their recovery.
SLOW_RATIO: Final = 3.5
PROBE_WEIGHT: Final = 0.1
# Exponent of the weight for errors, which compares the error fraction of a
# daemon with the lowest one. When the difference reaches the second value,
# calls go to other failure domains too.
ERROR_EXPONENT: Final = 4.0
LOCAL_MAX_EXCESS_ERRORS: Final = 0.2
# Of more daemons in the own failure domain, a random sample of this size is
# compared, so that callers with the same knowledge do not all select the same
# daemon.
MAX_COMPARED: Final = 8
# Time without a response after which the average latency is discarded. The
# error fraction halves each time that this period passes.
OUTCOME_LIFETIME_S: Final = 3.0
# Time for which a daemon is avoided after a failure; each further failure in
# sequence doubles it up to the maximum.
INITIAL_AVOID_S: Final = 0.25
MAX_AVOID_S: Final = 4.0
# Avoided daemons are considered again while all others have at least this
# load: some failures cost less than a queue that fails the call trees above.
MAX_TRUSTED_LOAD: Final = 3.5
# Fraction of its usual calls that an upstream with a pace gets at first, the
# lowest one, and the factors on it after a refusal for the pace and after a
# response.
START_PACED_SHARE: Final = 0.25
MIN_PACED_SHARE: Final = 0.02
PACED_SHARE_CUT: Final = 0.7
PACED_SHARE_GROWTH: Final = 1.1


class Candidate:
    """State of an upstream, as known by the daemon that selects one.

    Attributes:
        member: The daemon beside the upstream.
        is_reachable: Whether calls can be sent to the daemon.
        is_serving: Whether the upstream accepts calls.
        load: Running and waiting calls relative to the capacity.
        avoid_until: Monotonic time until which other daemons are preferred.
        pace_per_s: Calls per second that the upstream is given while it is
            cold or recovers; 0 if they are not limited.
        paced_share: Fraction of its usual calls that it gets meanwhile.
        estimate: Expected wait and duration of calls.
    """

    def __init__(self, member: fleet.Member) -> None:
        """Create a candidate without any outcomes."""
        self.member = member
        self.is_reachable = False
        self.is_serving = False
        self.load = 0.0
        self.avoid_until = 0.0
        self.pace_per_s = 0.0
        self.paced_share = 1.0
        self.estimate = completion_estimate.CompletionEstimate()
        self._slowness: float | None = None
        self._error_fraction = 0.0
        self._reported_slowness = 1.0
        self._reported_error_fraction = 0.0
        self._failures = 0
        self._updated_at = -math.inf
        # Time at which each outstanding call is overdue by call id, in order
        # of the starts of the calls.
        self._overdue_at: dict[int, float] = {}

    @property
    def outstanding(self) -> int:
        """Return the number of calls in flight to this daemon."""
        return len(self._overdue_at)

    def note_start(self, call_id: int, overdue_at: float) -> None:
        """Record the start of a call and the time when it is overdue."""
        self._overdue_at[call_id] = overdue_at

    def note_end(self, call_id: int) -> None:
        """Record the end of a call, whatever its outcome."""
        self._overdue_at.pop(call_id, None)

    def overdue(self, now: float) -> int:
        """Return the number of overdue calls, at most MAX_OVERDUE_COUNT."""
        count = 0
        for overdue_at in self._overdue_at.values():
            if overdue_at > now or count == MAX_OVERDUE_COUNT:
                break
            count += 1
        return count

    def forget(self) -> None:
        """Discard the known slowness after the connection was lost."""
        self._slowness = None
        self.estimate.forget()
        self.record_reported_health(1.0, 0.0)
        self.record_pace(0.0)

    def record_pace(self, pace_per_s: float) -> None:
        """Record the pace that the daemon reports."""
        if not pace_per_s:
            self.paced_share = 1.0
        elif not self.pace_per_s:
            self.paced_share = START_PACED_SHARE
        elif pace_per_s > self.pace_per_s:
            self.paced_share *= pace_per_s / self.pace_per_s
            self.paced_share = min(1.0, self.paced_share)
        self.pace_per_s = pace_per_s

    def note_cold_refusal(self) -> None:
        """Record a call that the upstream was not given for its pace."""
        if self.pace_per_s:
            self.paced_share = max(
                MIN_PACED_SHARE, PACED_SHARE_CUT * self.paced_share
            )

    def record_serving(self, is_serving: bool) -> None:
        """Record whether the daemon reports that its upstream accepts calls.

        Failures before the return of an upstream say nothing about it.
        """
        if is_serving and not self.is_serving and self.is_reachable:
            self.avoid_until = 0.0
            self._failures = 0
            self._error_fraction = 0.0
            self._slowness = None
            self.estimate.forget()
        self.is_serving = is_serving

    def record_reported_load(self, load: float) -> None:
        """Record the load that a response reports."""
        self.load = load

    def record_reported_health(self, slowness: float, errors: float) -> None:
        """Record the slowness and error fraction that the daemon reports."""
        self._reported_slowness = slowness
        self._reported_error_fraction = errors

    def note_response(self, slowness: float, now: float) -> None:
        """Record a response and its latency relative to the baseline."""
        self._failures = 0
        if self.pace_per_s:
            self.paced_share = min(1.0, PACED_SHARE_GROWTH * self.paced_share)
        self._update_error_fraction(0.0, now)
        self.estimate.note_duration(slowness)
        if self._slowness is None:
            self._slowness = slowness
        else:
            self._slowness += EWMA_GAIN * (slowness - self._slowness)

    def note_error(self, now: float) -> None:
        """Record a response that reports a failure of the upstream."""
        self._update_error_fraction(1.0, now)

    def note_failure(self, now: float) -> None:
        """Record a failed call and avoid the daemon for a while."""
        self._update_error_fraction(1.0, now)
        avoid_s = min(MAX_AVOID_S, INITIAL_AVOID_S * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        self.avoid_until = now + avoid_s

    def slowness(self, now: float) -> float | None:
        """Return the latency relative to the baseline, or None if unknown.

        A high slowness reported by the daemon, which sees all calls of its
        upstream, is a lower bound for the one observed here.
        """
        reported = (
            self._reported_slowness
            if self._reported_slowness > MIN_REPORTED_SLOWNESS
            else None
        )
        if (
            now - self._updated_at > OUTCOME_LIFETIME_S
            or self._slowness is None
        ):
            return reported
        return max(self._slowness, reported or 0.0)

    def errors(self, now: float) -> float:
        """Return the recent fraction of error responses."""
        observed = self._error_fraction * 0.5 ** (
            (now - self._updated_at) / OUTCOME_LIFETIME_S
        )
        return max(observed, self._reported_error_fraction)

    def _update_error_fraction(self, outcome: float, now: float) -> None:
        if now - self._updated_at > OUTCOME_LIFETIME_S:
            self._slowness = None
        errors = self._error_fraction * 0.5 ** (
            (now - self._updated_at) / OUTCOME_LIFETIME_S
        )
        self._error_fraction = errors + EWMA_GAIN * (outcome - errors)
        self._updated_at = now


class UpstreamSelector:
    """Selects daemons, first those of the own failure domain.

    Daemons of other failure domains are considered when the best one of the
    own domain is too loaded, too slow or returns too many errors.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        domain: ids.FailureDomain,
    ) -> None:
        """Create a selector without baselines.

        Args:
            clock: Monotonic clock.
            random: Source of random numbers.
            domain: Failure domain of this daemon.
        """
        self._clock = clock
        self._random = random
        self._domain = domain
        # Baseline latency of each route in seconds.
        self._baseline_s: dict[str, float] = {}

    def note_start(
        self, candidate: Candidate, call_id: int, route: str
    ) -> None:
        """Record a call that is sent to a daemon."""
        baseline_s = self._baseline_s.get(route, math.inf)
        now = self._clock.monotonic()
        candidate.note_start(call_id, now + OVERDUE_FACTOR * baseline_s)

    def note_response(
        self,
        candidate: Candidate,
        route: str,
        elapsed_s: float,
        *,
        is_error: bool,
    ) -> None:
        """Record the response to a call.

        Args:
            candidate: The daemon that sent the response.
            route: Name of the route of the call.
            elapsed_s: Duration of the call in seconds.
            is_error: Whether the response reports a failure of the upstream.
                Error responses are often fast and do not count as latencies.
        """
        now = self._clock.monotonic()
        if is_error:
            candidate.note_error(now)
            return
        baseline_s = self._baseline_s.get(route)
        if baseline_s is None:
            if len(self._baseline_s) >= MAX_ROUTES:
                self._baseline_s.clear()
            baseline_s = elapsed_s
        baseline_s += BASELINE_GAIN * (elapsed_s - baseline_s)
        self._baseline_s[route] = baseline_s
        candidate.note_response(elapsed_s / max(1e-6, baseline_s), now)

    def pick(
        self,
        candidates: Iterable[Candidate],
        tried: Sequence[ids.DaemonId] = (),
        route: str = '',
    ) -> Candidate | None:
        """Return the daemon to send a call to, or None if there is none.

        Args:
            candidates: The daemons of the service.
            tried: Daemons to leave out, as they were tried for this call.
            route: Name of the route of the call.
        """
        now = self._clock.monotonic()
        usable = [
            candidate
            for candidate in candidates
            if candidate.is_reachable
            and candidate.is_serving
            and candidate.member.daemon_id not in tried
        ]
        if not usable:
            return None
        trusted = [item for item in usable if item.avoid_until <= now]
        if any(item.load < MAX_TRUSTED_LOAD for item in trusted):
            usable = trusted
        baseline_s = self._baseline_s.get(route, 0.0)
        chosen = self._select(usable, baseline_s, now)
        if chosen.pace_per_s and self._random.random() >= chosen.paced_share:
            unpaced = [item for item in usable if not item.pace_per_s]
            if unpaced:
                return self._select(unpaced, baseline_s, now)
        return chosen

    def _select(
        self, usable: list[Candidate], baseline_s: float, now: float
    ) -> Candidate:
        if len(usable) == 1:
            return usable[0]
        comparison = _Comparison(usable, now)
        local = [
            item
            for item in usable
            if item.member.failure_domain == self._domain
        ]
        chosen = self._select_best(local, comparison)
        if chosen is not None and comparison.is_good_enough(chosen):
            return chosen
        if (
            chosen is None or comparison.is_healthy(chosen)
        ) and completion_estimate.are_uneven(
            [item.estimate for item in usable]
        ):
            return self._select_earliest(
                chosen, usable, comparison, baseline_s
            )
        return self._draw_weighted(usable, comparison)

    def _select_earliest(
        self,
        local: Candidate | None,
        candidates: list[Candidate],
        comparison: '_Comparison',
        baseline_s: float,
    ) -> Candidate:
        """Return the candidate that begins a call first.

        Of the other failure domains two are compared: the best of all would
        get the calls of all callers until its load is reported.

        Args:
            local: Best candidate of the own failure domain, if there is one.
            candidates: All candidates.
            comparison: Comparison of the candidates.
            baseline_s: Usual duration of the call in seconds.
        """
        remote = [
            item
            for item in candidates
            if item.member.failure_domain != self._domain
            and comparison.is_healthy(item)
        ]
        if not remote:
            return local or self._draw_weighted(candidates, comparison)
        if len(remote) > 2:
            remote = self._random.sample(remote, 2)
        now = comparison.now
        delay_s, _, index = min(
            (
                completion_estimate.compute_remote_delay_s(
                    item.estimate, item.load, baseline_s, now
                ),
                item.load,
                index,
            )
            for index, item in enumerate(remote)
        )
        if local is not None and not completion_estimate.should_spill(
            local.estimate, delay_s, baseline_s, now
        ):
            return local
        return remote[index]

    def has_spare(
        self,
        candidates: Iterable[Candidate],
        tried: Sequence[ids.DaemonId],
    ) -> bool:
        """Return whether an untried daemon may have a free slot.

        Args:
            candidates: The daemons of the service.
            tried: Daemons to leave out.
        """
        now = self._clock.monotonic()
        return any(
            candidate.is_reachable
            and candidate.is_serving
            and candidate.load < 1.0
            and not candidate.pace_per_s
            and candidate.avoid_until <= now
            and candidate.member.daemon_id not in tried
            for candidate in candidates
        )

    def _draw_weighted(
        self, candidates: list[Candidate], comparison: '_Comparison'
    ) -> Candidate:
        """Draw a candidate at random, in proportion to the weights.

        With a fixed order, all daemons with the same knowledge would select
        the same upstream until its load is reported.
        """
        weights = [
            self._compute_weight(item, comparison) for item in candidates
        ]
        return self._random.choices(candidates, weights)[0]

    def _compute_weight(
        self, candidate: Candidate, comparison: '_Comparison'
    ) -> float:
        slowness = comparison.slowness(candidate)
        weight = comparison.success_weight(candidate) / (
            slowness
            * max(1.0, candidate.load) ** LOAD_EXPONENT
            * (1.0 + candidate.outstanding)
        )
        if candidate.member.failure_domain != self._domain:
            weight *= REMOTE_WEIGHT
        if slowness > SLOW_RATIO * comparison.best_slowness:
            weight *= PROBE_WEIGHT
        return weight

    def _select_best(
        self, candidates: list[Candidate], comparison: '_Comparison'
    ) -> Candidate | None:
        if not candidates:
            return None
        if len(candidates) > MAX_COMPARED:
            candidates = self._random.sample(candidates, MAX_COMPARED)
        return min(
            candidates,
            key=lambda item: (
                comparison.slowness(item)
                / comparison.success_weight(item)
                * (1.0 + LOAD_WEIGHT * item.load)
                * (1.0 + 0.02 * item.outstanding),
                self._random.random(),
            ),
        )


class _Comparison:
    """Compares the candidates of one call with the best of them."""

    def __init__(self, candidates: list[Candidate], now: float) -> None:
        self.now = now
        self.best_slowness = min(
            self._bounded_slowness(item) for item in candidates
        )
        self._lowest_error_fraction = min(
            item.errors(now) for item in candidates
        )

    def slowness(self, candidate: Candidate) -> float:
        """Return the slowness (1 if unknown), raised by overdue calls."""
        # Overdue calls raise the value before the first slow response.
        return self._bounded_slowness(candidate) * (
            1.0 + candidate.overdue(self.now)
        )

    def _bounded_slowness(self, candidate: Candidate) -> float:
        slowness = candidate.slowness(self.now)
        return 1.0 if slowness is None else max(1e-3, slowness)

    def success_weight(self, candidate: Candidate) -> float:
        """Return a weight that falls with errors beyond those of the best."""
        excess_errors = (
            candidate.errors(self.now) - self._lowest_error_fraction
        )
        return max(0.01, 1.0 - excess_errors) ** ERROR_EXPONENT

    def is_good_enough(self, candidate: Candidate) -> bool:
        """Return whether a local candidate needs no comparison with others."""
        return candidate.load < LOCAL_MAX_LOAD and self.is_healthy(candidate)

    def is_healthy(self, candidate: Candidate) -> bool:
        """Return whether a candidate is neither slow nor has many errors."""
        excess_errors = (
            candidate.errors(self.now) - self._lowest_error_fraction
        )
        return (
            excess_errors < LOCAL_MAX_EXCESS_ERRORS
            and self.slowness(candidate)
            <= LOCAL_MAX_SLOWNESS_RATIO * self.best_slowness
        )
