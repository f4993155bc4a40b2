"""Infers from deadlines which routes of an upstream make calls themselves.

A call made by an upstream does not identify the run that made it. It expires
with that run, or earlier if its own timeout is shorter. In the first case its
deadline equals that of the run; in the second the run has a later deadline.
"""

import dataclasses
from typing import Final, Generic, Protocol, TypeVar

# Differences between the deadlines of a run and of a call that it made, in ms,
# the most likely first. Both deadlines are sent as whole milliseconds.
MATCHING_OFFSETS_MS: Final = (0, 1, -1, 2)
# Differences in ms at which runs match only by chance, as many as above. They
# estimate the number of chance matches.
CHANCE_OFFSETS_MS: Final = (12, 13, 11, 14)
# A route counts as one that makes calls from the larger of these: a number of
# calls per run, and a number of calls.
MIN_CALLS_PER_RUN: Final = 0.3
MIN_CALLS: Final = 3.0
# Number of ended runs after which a route is classified; until then its runs
# are assumed to be able to make calls.
CLASSIFICATION_RUNS: Final = 20
# Calls per run, over all routes, from which on an upstream makes calls.
MIN_CALLS_PER_RUN_OVERALL: Final = 0.05
# If this fraction of all calls matches a run, unmatched calls are ignored.
MIN_MATCHED_FRACTION: Final = 0.3
# From the larger of these, a number of matches of a route and a number per
# run, real matches would be distinguishable from those by chance. Unmatched
# calls then do not count for the route.
MIN_HITS: Final = 10.0
MIN_HITS_PER_RUN: Final = 0.1
# One of this many unmatched calls is compared with all runs, which is costly.
SAMPLE_INTERVAL: Final = 8
# Number of runs after which the counts of a route are halved, so that changes
# of its behaviour have an effect.
MEMORY_RUNS: Final = 200.0
MAX_ROUTES: Final = 1024
# Gain of the moving average of the urgency of unmatched calls.
URGENCY_GAIN: Final = 0.1


class Run(Protocol):
    """A call that runs at the upstream.

    Attributes:
        route: Name of the route.
        deadline: Monotonic time in seconds.
        urgency: From 0 to 1.
    """

    route: str
    deadline: float
    urgency: float


RunT = TypeVar('RunT', bound=Run)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Counts:
    """Counts of one route; all but ended are halved after MEMORY_RUNS.

    Attributes:
        runs: Runs that started.
        matched: Calls with the deadline of a run, minus chance matches.
        hits: Calls with the deadline of a run, plus chance matches.
        outlasting: Unmatched calls for which only runs of this route had a
            deadline that is late enough.
        ended: Runs that ended since the process started.
    """

    runs: float = 0.0
    matched: float = 0.0
    hits: float = 0.0
    outlasting: float = 0.0
    ended: int = 0


class CallTree(Generic[RunT]):
    """Counts calls and attributes them to the runs with equal deadlines.

    Attributes:
        unmatched_urgency: Mean urgency of the runs that may have made the
            calls without a matching run; None before the first of them.
    """

    def __init__(self) -> None:
        """Create a tree without runs."""
        self._runs_by_deadline_ms: dict[int, RunT] = {}
        self._routes: dict[str, _Counts] = {}
        self._calls = 0.0
        self._matched = 0.0
        # The first unmatched call is examined.
        self._unsampled_count = SAMPLE_INTERVAL - 1
        self._runs = 0.0
        self.unmatched_urgency: float | None = None

    @property
    def has_inner_calls(self) -> bool:
        """Return whether the upstream makes calls at all.

        A few requests of other callers on the same VM look like calls of the
        upstream, so that the number has to exceed a threshold.
        """
        return self._calls >= max(
            MIN_CALLS, MIN_CALLS_PER_RUN_OVERALL * self._runs
        )

    def start(self, run: RunT) -> None:
        """Record the start of a run."""
        self._runs_by_deadline_ms[_to_ms(run.deadline)] = run
        counts = self._routes.get(run.route)
        if counts is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            counts = self._routes[run.route] = _Counts()
        counts.runs += 1.0
        self._runs += 1.0
        if counts.runs > MEMORY_RUNS:
            counts.runs /= 2.0
            counts.matched /= 2.0
            counts.hits /= 2.0
            counts.outlasting /= 2.0

    def end(self, run: RunT) -> None:
        """Record the end of a run."""
        deadline_ms = _to_ms(run.deadline)
        if self._runs_by_deadline_ms.get(deadline_ms) is run:
            del self._runs_by_deadline_ms[deadline_ms]
        counts = self._routes.get(run.route)
        if counts is not None:
            counts.ended += 1

    def note_call(self, deadline: float) -> RunT | None:
        """Count a call that the upstream made; return the matching run.

        Args:
            deadline: Deadline of the call as monotonic time in seconds.
        """
        self._calls += 1.0
        if self._calls + self._runs > 20.0 * MEMORY_RUNS:
            self._runs /= 2.0
            self._calls /= 2.0
            self._matched /= 2.0
        deadline_ms = _to_ms(deadline)
        run = self._find_run(deadline_ms, MATCHING_OFFSETS_MS)
        chance_run = self._find_run(deadline_ms, CHANCE_OFFSETS_MS)
        if run is not None:
            self._credit(run, 1.0)
        else:
            self._note_outlasting(deadline_ms)
        if chance_run is not None:
            self._credit(chance_run, -1.0)
        return run

    def may_make_calls(self, route: str) -> bool:
        """Return whether a route makes calls or is not yet classified."""
        counts = self._routes.get(route)
        if counts is None or counts.ended < CLASSIFICATION_RUNS:
            return True
        return self.makes_calls(route)

    def makes_calls(self, route: str) -> bool:
        """Return whether runs of a route make calls."""
        counts = self._routes.get(route)
        if counts is None:
            return False
        threshold = max(MIN_CALLS, MIN_CALLS_PER_RUN * counts.runs)
        if counts.matched >= threshold:
            return True
        if self._matched >= MIN_MATCHED_FRACTION * self._calls:
            return False
        if counts.hits >= max(MIN_HITS, MIN_HITS_PER_RUN * counts.runs):
            return False
        return counts.outlasting >= threshold

    def _note_outlasting(self, deadline_ms: int) -> None:
        """Credit unmatched calls to the only route that may have made them.

        One of SAMPLE_INTERVAL calls is examined and counts for all of these.
        Nothing is credited if runs of several routes have late enough
        deadlines.
        """
        self._unsampled_count += 1
        if self._unsampled_count < SAMPLE_INTERVAL:
            return
        self._unsampled_count = 0
        outlasting = [
            run
            for run_deadline_ms, run in self._runs_by_deadline_ms.items()
            if run_deadline_ms >= deadline_ms
        ]
        self._note_urgency(outlasting)
        routes = {run.route for run in outlasting}
        if len(routes) != 1:
            return
        counts = self._routes.get(routes.pop())
        if counts is not None:
            counts.outlasting += SAMPLE_INTERVAL

    def _note_urgency(self, runs: list[RunT]) -> None:
        """Add those of some runs that may make calls to the mean urgency."""
        urgencies = [
            run.urgency for run in runs if self.may_make_calls(run.route)
        ]
        if not urgencies:
            return
        mean = sum(urgencies) / len(urgencies)
        if self.unmatched_urgency is None:
            self.unmatched_urgency = mean
        else:
            self.unmatched_urgency += URGENCY_GAIN * (
                mean - self.unmatched_urgency
            )

    def _find_run(
        self, deadline_ms: int, offsets: tuple[int, ...]
    ) -> RunT | None:
        for offset in offsets:
            run = self._runs_by_deadline_ms.get(deadline_ms + offset)
            if run is not None:
                return run
        return None

    def _credit(self, run: RunT, calls: float) -> None:
        self._matched += calls
        counts = self._routes.get(run.route)
        if counts is not None:
            counts.matched += calls
            counts.hits += 1.0


def _to_ms(deadline: float) -> int:
    return int(1000.0 * deadline)
