"""Which daemon of a service gets a call."""

from collections.abc import Iterable, Sequence
import random as random_module
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.models import fleet
from sassafraswood.models import ids

LATENCY_GAIN: Final = 0.1
# A daemon of the own failure domain is taken while its load is below this
# share and its latency is below this multiple of the best one.
NEAR_LOAD: Final = 0.85
NEAR_LATENCY: Final = 2.0
# Weight of load above the share in the score of a daemon.
LOAD_WEIGHT: Final = 4.0
# Where all are compared, load above 1 counts with this power.
LOAD_POWER: Final = 2.0
# Upstreams of a service differ in speed by up to three times; one that is
# slower than that gets only enough calls to show when it has recovered.
SLOW_LATENCY: Final = 3.5
PROBE_SHARE: Final = 0.1
# Of a large service only this many daemons are compared, chosen at random,
# so that daemons with the same knowledge do not all pick the same one.
MAX_COMPARED: Final = 8
# After this time without an answer, in seconds, a latency says nothing.
LATENCY_LIFETIME_S: Final = 3.0
# A daemon that failed is avoided for this time, doubled with each failure.
AVOID_S: Final = 0.25
AVOID_MAX_S: Final = 4.0


class Candidate:
    """What is known of the upstream beside another daemon or this one."""

    def __init__(self, member: fleet.Member) -> None:
        """Start without knowledge."""
        self.member = member
        self.is_reachable = False
        self.is_serving = False
        self.outstanding = 0
        self.load = 0.0
        self.latency_s: float | None = None
        self.latency_at = 0.0
        self.failures = 0
        self.avoid_until = 0.0

    def note_load(self, load: float) -> None:
        """Take the load that an answer tells."""
        self.load = load

    def note_answer(self, elapsed_s: float, now: float) -> None:
        """Take the time of a call."""
        self.failures = 0
        if (
            self.latency_s is None
            or now - self.latency_at > LATENCY_LIFETIME_S
        ):
            self.latency_s = elapsed_s
        else:
            self.latency_s += LATENCY_GAIN * (elapsed_s - self.latency_s)
        self.latency_at = now

    def note_failure(self, now: float) -> None:
        """Avoid the daemon for a while."""
        pause_s = min(AVOID_MAX_S, AVOID_S * 2**self.failures)
        self.failures = min(self.failures + 1, 8)
        self.avoid_until = now + pause_s


class UpstreamChoice:
    """Picks the own failure domain first while it has room."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        domain: ids.FailureDomain,
    ) -> None:
        """Take the failure domain of this daemon."""
        self._clock = clock
        self._random = random
        self._domain = domain

    def pick(
        self,
        candidates: Iterable[Candidate],
        tried: Sequence[ids.DaemonId] = (),
    ) -> Candidate | None:
        """Return the daemon to send a call to, if there is one."""
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
        usable = trusted or usable
        if len(usable) == 1:
            return usable[0]
        near = [
            item
            for item in usable
            if item.member.failure_domain == self._domain
        ]
        best_s = self._best_latency(usable, now)
        chosen = self._least(near, now, best_s)
        if (
            chosen is not None
            and chosen.load < NEAR_LOAD
            and self._latency(chosen, now, best_s) <= NEAR_LATENCY * best_s
        ):
            return chosen
        return self._draw(usable, now, best_s)

    def _draw(
        self, candidates: list[Candidate], now: float, best_s: float
    ) -> Candidate:
        """Draw one; equally slow upstreams get equal parts.

        A fixed order would send all daemons with the same knowledge to the
        same upstream until they hear of its load.
        """
        weights = [self._weight(item, now, best_s) for item in candidates]
        return self._random.choices(candidates, weights)[0]

    def _weight(
        self, candidate: Candidate, now: float, best_s: float
    ) -> float:
        latency_s = max(1e-4, self._latency(candidate, now, best_s))
        weight = 1.0 / (
            latency_s
            * max(1.0, candidate.load) ** LOAD_POWER
            # Grows before the first slow answer is there.
            * (1.0 + candidate.outstanding)
        )
        if latency_s > SLOW_LATENCY * best_s:
            return PROBE_SHARE * weight
        return weight

    def _least(
        self, candidates: list[Candidate], now: float, best_s: float
    ) -> Candidate | None:
        if not candidates:
            return None
        if len(candidates) > MAX_COMPARED:
            candidates = self._random.sample(candidates, MAX_COMPARED)
        return min(
            candidates,
            key=lambda item: (
                self._latency(item, now, best_s)
                * (1.0 + LOAD_WEIGHT * item.load)
                * (1.0 + 0.02 * item.outstanding),
                self._random.random(),
            ),
        )

    def _best_latency(self, candidates: list[Candidate], now: float) -> float:
        known = [
            item.latency_s
            for item in candidates
            if item.latency_s is not None
            and now - item.latency_at <= LATENCY_LIFETIME_S
        ]
        return min(known) if known else 1e-3

    def _latency(
        self, candidate: Candidate, now: float, best_s: float
    ) -> float:
        if (
            candidate.latency_s is None
            or now - candidate.latency_at > LATENCY_LIFETIME_S
        ):
            return best_s
        return candidate.latency_s
