"""Which routes of an upstream make calls of their own, learnt from deadlines.

A call that an upstream makes carries no mark of the run that made it. It
expires with that run, or earlier if its own time is shorter. In the first case
its deadline equals that of the run; in the other the run outlasts it.
"""

import dataclasses
from typing import Final, Generic, Protocol, TypeVar

# Differences in milliseconds between the deadline of a run and of a call that
# it made, the likeliest first: both travel as whole milliseconds.
MATCHING_TICKS: Final = (0, 1, -1, 2)
# Differences at which runs match by chance only; as many as those above.
CHANCE_TICKS: Final = (12, 13, 11, 14)
# Calls for each run above which a route counts as one that makes calls.
CALLS_PER_RUN: Final = 0.3
MIN_CALLS: Final = 3.0
# After this many runs of a route have ended it is known whether they make
# calls; until then they may.
KNOWN_RUNS: Final = 20
# Calls for each run of any route above which an upstream makes calls.
CALLING_SHARE: Final = 0.05
# Where this share of all calls matches a run, the others are not looked at.
MATCHED_SHARE: Final = 0.3
# Deadlines of a route that met those of calls this often, or in this share of
# its runs, would show if they were equal more often than by chance.
MIN_HITS: Final = 10.0
HITS_PER_RUN: Final = 0.1
# Only each eighth such call is compared with all runs, for its cost.
SAMPLE: Final = 8
# After this many runs of a route its counts are halved, so that changes show.
MEMORY_RUNS: Final = 200.0
MAX_ROUTES: Final = 1024


class Run(Protocol):
    """A call that runs at the upstream."""

    route: str
    deadline: float


RunT = TypeVar('RunT', bound=Run)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Counts:
    """What is known of one route.

    Attributes:
        matched: Calls with the deadline of a run, less those by chance.
        hits: Calls with the deadline of a run, and those by chance.
        outlasting: Calls that only runs of this route would outlast.
        ended: Runs that ended since the process started.
    """

    runs: float = 0.0
    matched: float = 0.0
    hits: float = 0.0
    outlasting: float = 0.0
    ended: int = 0


class CallTree(Generic[RunT]):
    """Counts calls and the runs that may have made them."""

    def __init__(self) -> None:
        """Start without runs."""
        self._by_tick: dict[int, RunT] = {}
        self._routes: dict[str, _Counts] = {}
        self._calls = 0.0
        self._matched = 0.0
        self._skipped = 0
        self._runs = 0.0

    @property
    def is_calling(self) -> bool:
        """Return whether the upstream makes calls at all.

        Callers on the same VM send a few requests that look like its calls.
        """
        return self._calls >= max(MIN_CALLS, CALLING_SHARE * self._runs)

    def start(self, run: RunT) -> None:
        """Take a run that begins."""
        self._by_tick[_tick(run.deadline)] = run
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
        """Take a run that ended."""
        tick = _tick(run.deadline)
        if self._by_tick.get(tick) is run:
            del self._by_tick[tick]
        counts = self._routes.get(run.route)
        if counts is not None:
            counts.ended += 1

    def note_call(self, deadline: float) -> RunT | None:
        """Count a call that the upstream made; return its run, if known.

        Args:
            deadline: Of the call; monotonic time in seconds.
        """
        self._calls += 1.0
        if self._calls + self._runs > 20.0 * MEMORY_RUNS:
            self._runs /= 2.0
            self._calls /= 2.0
            self._matched /= 2.0
        tick = _tick(deadline)
        run = self._near(tick, MATCHING_TICKS)
        chance = self._near(tick, CHANCE_TICKS)
        if run is not None:
            self._credit(run, 1.0)
        else:
            self._note_outlasting(tick)
        if chance is not None:
            self._credit(chance, -1.0)
        return run

    def may_make_calls(self, route: str) -> bool:
        """Return whether runs of a route make calls, or nothing is known."""
        counts = self._routes.get(route)
        if counts is None or counts.ended < KNOWN_RUNS:
            return True
        return self.makes_calls(route)

    def makes_calls(self, route: str) -> bool:
        """Return whether runs of a route make calls."""
        counts = self._routes.get(route)
        if counts is None:
            return False
        threshold = max(MIN_CALLS, CALLS_PER_RUN * counts.runs)
        if counts.matched >= threshold:
            return True
        if self._matched >= MATCHED_SHARE * self._calls:
            return False
        if counts.hits >= max(MIN_HITS, HITS_PER_RUN * counts.runs):
            return False
        return counts.outlasting >= threshold

    def _note_outlasting(self, tick: int) -> None:
        """Credit the route of runs that end after the call, if it is one."""
        self._skipped += 1
        if self._skipped < SAMPLE:
            return
        self._skipped = 0
        routes = {
            run.route for end, run in self._by_tick.items() if end >= tick
        }
        if len(routes) != 1:
            return
        counts = self._routes.get(routes.pop())
        if counts is not None:
            counts.outlasting += SAMPLE

    def _near(self, tick: int, offsets: tuple[int, ...]) -> RunT | None:
        for offset in offsets:
            run = self._by_tick.get(tick + offset)
            if run is not None:
                return run
        return None

    def _credit(self, run: RunT, calls: float) -> None:
        self._matched += calls
        counts = self._routes.get(run.route)
        if counts is not None:
            counts.matched += calls
            counts.hits += 1.0


def _tick(deadline: float) -> int:
    return int(1000.0 * deadline)
