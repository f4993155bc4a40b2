"""Which daemon of a service gets a call."""

from collections.abc import Iterable, Sequence
import math
import random as random_module
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.models import fleet
from sassafraswood.models import ids

# Gain of the means of latencies and errors; about the last ten calls count.
GAIN: Final = 0.1
# Gain of the usual latency of a route, over all of its upstreams.
USUAL_GAIN: Final = 0.02
MAX_ROUTES: Final = 1024
# A daemon of the own failure domain is taken while its load is below this
# share and it is no slower than this relative to the best. Upstreams of a
# service differ in speed by 2.3, and means of ten calls vary.
NEAR_LOAD: Final = 0.85
NEAR_SLOW: Final = 3.0
# An answer is overdue after this multiple of what is usual for its route;
# the longest one in a hundred takes five times as long.
OVERDUE: Final = 5.0
MAX_OVERDUE: Final = 8
# What a daemon says of its upstream counts from this slowness on.
TOLD_SLOW: Final = 2.0
# Where all are compared, a daemon of another failure domain counts by this
# share: calls to it cost bytes between failure domains.
FAR_WEIGHT: Final = 0.4
# Weight of load above the share in the score of a daemon.
LOAD_WEIGHT: Final = 4.0
# Where all are compared, load above 1 counts with this power.
LOAD_POWER: Final = 3.0
# Upstreams that are slower than the best by more than this get only enough
# calls to show when they have recovered.
SLOW: Final = 3.5
PROBE_SHARE: Final = 0.1
# The share of errors of a daemon beyond that of the best one counts with this
# power. At 0.2 the own failure domain is left.
ERROR_POWER: Final = 4.0
NEAR_ERRORS: Final = 0.2
# Of a large service only this many daemons are compared, chosen at random,
# so that daemons with the same knowledge do not all pick the same one.
MAX_COMPARED: Final = 8
# After this time without an answer, in seconds, a latency says nothing, and
# errors say half as much for each half of it.
LIFETIME_S: Final = 3.0
# A daemon that failed is avoided for this time, doubled with each failure.
AVOID_S: Final = 0.25
AVOID_MAX_S: Final = 4.0


class Candidate:
    """What is known of the upstream beside another daemon or this one.

    Attributes:
        load: Calls that run and wait there relative to what it allows.
    """

    def __init__(self, member: fleet.Member) -> None:
        """Start without knowledge."""
        self.member = member
        self.is_reachable = False
        self.is_serving = False
        self.load = 0.0
        self.avoid_until = 0.0
        self._slowness: float | None = None
        self._errors = 0.0
        self._told_slowness = 1.0
        self._told_errors = 0.0
        self._failures = 0
        self._noted_at = -math.inf
        # When calls that wait for its answer are overdue, the first one first.
        self._overdue_at: dict[int, float] = {}

    @property
    def outstanding(self) -> int:
        """Return how many calls wait for its answer."""
        return len(self._overdue_at)

    def note_start(self, call_id: int, overdue_at: float) -> None:
        """Take a call that is sent, and when its answer is overdue."""
        self._overdue_at[call_id] = overdue_at

    def note_end(self, call_id: int) -> None:
        """Take the end of a call, whatever it was."""
        self._overdue_at.pop(call_id, None)

    def overdue(self, now: float) -> int:
        """Return how many answers are overdue."""
        count = 0
        for overdue_at in self._overdue_at.values():
            if overdue_at > now or count == MAX_OVERDUE:
                break
            count += 1
        return count

    def forget(self) -> None:
        """Know nothing of its speed; the connection was lost."""
        self._slowness = None
        self.note_health(1.0, 0.0)

    def note_load(self, load: float) -> None:
        """Take the load that an answer tells."""
        self.load = load

    def note_health(self, slowness: float, errors: float) -> None:
        """Take what the daemon says of its upstream."""
        self._told_slowness = slowness
        self._told_errors = errors

    def note_answer(self, slowness: float, now: float) -> None:
        """Take the time of a call relative to what is usual."""
        self._failures = 0
        self._note_outcome(0.0, now)
        if self._slowness is None:
            self._slowness = slowness
        else:
            self._slowness += GAIN * (slowness - self._slowness)

    def note_error(self, now: float) -> None:
        """Take an answer that says that the upstream failed."""
        self._note_outcome(1.0, now)

    def note_failure(self, now: float) -> None:
        """Avoid the daemon for a while."""
        self._note_outcome(1.0, now)
        pause_s = min(AVOID_MAX_S, AVOID_S * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        self.avoid_until = now + pause_s

    def slowness(self, now: float) -> float | None:
        """Return its latency relative to what is usual, if it is known.

        What its daemon says goes before what few calls showed here.
        """
        told = self._told_slowness if self._told_slowness > TOLD_SLOW else None
        if now - self._noted_at > LIFETIME_S or self._slowness is None:
            return told
        return max(self._slowness, told or 0.0)

    def errors(self, now: float) -> float:
        """Return the share of its answers that were errors lately."""
        own = self._errors * 0.5 ** ((now - self._noted_at) / LIFETIME_S)
        return max(own, self._told_errors)

    def _note_outcome(self, outcome: float, now: float) -> None:
        if now - self._noted_at > LIFETIME_S:
            self._slowness = None
        errors = self._errors * 0.5 ** ((now - self._noted_at) / LIFETIME_S)
        self._errors = errors + GAIN * (outcome - errors)
        self._noted_at = now


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
        # Usual latency of each route in seconds.
        self._usual_s: dict[str, float] = {}

    def note_start(
        self, candidate: Candidate, call_id: int, route: str
    ) -> None:
        """Take a call that is sent to a daemon."""
        usual_s = self._usual_s.get(route, math.inf)
        now = self._clock.monotonic()
        candidate.note_start(call_id, now + OVERDUE * usual_s)

    def note_answer(
        self,
        candidate: Candidate,
        route: str,
        elapsed_s: float,
        *,
        is_error: bool,
    ) -> None:
        """Take the answer to a call.

        Args:
            candidate: Who gave it.
            route: Name of the route of the call.
            elapsed_s: Time of the call in seconds.
            is_error: Whether it says that the upstream failed. Such answers
                are often fast and tell nothing about speed.
        """
        now = self._clock.monotonic()
        if is_error:
            candidate.note_error(now)
            return
        usual_s = self._usual_s.get(route)
        if usual_s is None:
            if len(self._usual_s) >= MAX_ROUTES:
                self._usual_s.clear()
            usual_s = elapsed_s
        usual_s += USUAL_GAIN * (elapsed_s - usual_s)
        self._usual_s[route] = usual_s
        candidate.note_answer(elapsed_s / max(1e-6, usual_s), now)

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
        view = _View(usable, now)
        near = [
            item
            for item in usable
            if item.member.failure_domain == self._domain
        ]
        chosen = self._least(near, view)
        if chosen is not None and view.is_good(chosen):
            return chosen
        return self._draw(usable, view)

    def _draw(self, candidates: list[Candidate], view: '_View') -> Candidate:
        """Draw one; equally slow upstreams get equal parts.

        A fixed order would send all daemons with the same knowledge to the
        same upstream until they hear of its load.
        """
        weights = [self._weight(item, view) for item in candidates]
        return self._random.choices(candidates, weights)[0]

    def _weight(self, candidate: Candidate, view: '_View') -> float:
        slowness = view.slowness(candidate)
        weight = view.soundness(candidate) / (
            slowness
            * max(1.0, candidate.load) ** LOAD_POWER
            * (1.0 + candidate.outstanding)
        )
        if candidate.member.failure_domain != self._domain:
            weight *= FAR_WEIGHT
        if slowness > SLOW * view.best_slowness:
            weight *= PROBE_SHARE
        return weight

    def _least(
        self, candidates: list[Candidate], view: '_View'
    ) -> Candidate | None:
        if not candidates:
            return None
        if len(candidates) > MAX_COMPARED:
            candidates = self._random.sample(candidates, MAX_COMPARED)
        return min(
            candidates,
            key=lambda item: (
                view.slowness(item)
                / view.soundness(item)
                * (1.0 + LOAD_WEIGHT * item.load)
                * (1.0 + 0.02 * item.outstanding),
                self._random.random(),
            ),
        )


class _View:
    """The candidates of one call compared with the best of them."""

    def __init__(self, candidates: list[Candidate], now: float) -> None:
        self._now = now
        self.best_slowness = min(self._known(item) for item in candidates)
        self._fewest_errors = min(item.errors(now) for item in candidates)

    def slowness(self, candidate: Candidate) -> float:
        """Return the slowness; the usual one if it is not known."""
        # Grows before the first slow answer is there.
        return self._known(candidate) * (1.0 + candidate.overdue(self._now))

    def _known(self, candidate: Candidate) -> float:
        slowness = candidate.slowness(self._now)
        return 1.0 if slowness is None else max(1e-3, slowness)

    def soundness(self, candidate: Candidate) -> float:
        """Return a weight that falls with errors that others do not make."""
        excess = candidate.errors(self._now) - self._fewest_errors
        return max(0.01, 1.0 - excess) ** ERROR_POWER

    def is_good(self, candidate: Candidate) -> bool:
        """Return whether a call of the own failure domain goes there."""
        excess = candidate.errors(self._now) - self._fewest_errors
        return (
            candidate.load < NEAR_LOAD
            and excess < NEAR_ERRORS
            and self.slowness(candidate) <= NEAR_SLOW * self.best_slowness
        )
