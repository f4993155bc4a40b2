"""Runs at an upstream that got no answer, until it is known to be alive."""

import collections
import math
from typing import Final, Generic, TypeVar

from sassafraswood import clock as clock_module

CallT = TypeVar('CallT')
# What tells kinds of requests apart within this process.
Kind = tuple[bytes, str, int]
# The end of an upstream is noticed within this time, in seconds: three reports
# that stay out.
MAX_AGE_S: Final = 10.0
# Connections that break no later than this after each other, in seconds, may
# break for the same reason.
BREAKS_S: Final = 0.05
# An upstream has a few hundred slots.
MAX_LOST: Final = 1024
# Answers are counted over one to two of these times, in seconds.
PERIOD_S: Final = 10.0
# Answers that are taken to be missed in that time (Jeffreys prior of a rate).
UNSEEN_ANSWERS: Final = 0.5
# Rates are those of the busiest time of this length, in seconds; waves of
# retries last about as long.
SECOND_S: Final = 1.0
# Kinds that are counted in a period; calls of 400 kinds a second.
MAX_KINDS: Final = 4096


class LostRun(Generic[CallT]):
    """A run whose connection or caller was lost.

    Attributes:
        started_at: Monotonic time in seconds.
        ended_at: When it was lost; monotonic time in seconds.
        connections: Number of the connection to the upstream that was opened
            last before it was lost.
        is_broken: Whether its connection ended; its caller left otherwise.
    """

    __slots__ = (
        'call',
        'connections',
        'ended_at',
        'is_broken',
        'started_at',
    )

    def __init__(
        self,
        *,
        call: CallT,
        started_at: float,
        ended_at: float,
        connections: int,
        is_broken: bool,
    ) -> None:
        """Take the run."""
        self.call = call
        self.started_at = started_at
        self.ended_at = ended_at
        self.connections = connections
        self.is_broken = is_broken


class LostRuns(Generic[CallT]):
    """Which runs may have ended with the upstream, and how common they are.

    A connection ends with the process that holds it. So an answer on one that
    is older than the loss of a run, to a request sent after it, shows that
    the run was lost for another reason.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        """Start without runs."""
        self._clock = clock
        self._lost: collections.deque[LostRun[CallT]] = collections.deque(
            maxlen=MAX_LOST
        )
        self._answered: dict[Kind, int] = {}
        self._answered_before: dict[Kind, int] = {}
        self._period_at = clock.monotonic()
        self._period_before_at = self._period_at
        # Answers of the present second, and the most of any second.
        self._second: dict[Kind, int] = {}
        self._second_at = self._period_at
        self._peaks: dict[Kind, int] = {}
        self._peaks_before: dict[Kind, int] = {}

    def note_answer(
        self, kind: Kind, started_at: float, connection: int
    ) -> None:
        """Take the answer of a run.

        Args:
            kind: Of the request.
            started_at: When it was sent; monotonic time in seconds.
            connection: Number of the connection that carried it.
        """
        lost = self._lost
        while (
            lost
            and lost[0].ended_at <= started_at
            and connection <= lost[0].connections
        ):
            lost.popleft()
        self._count(kind)

    def note_lost(
        self,
        call: CallT,
        started_at: float,
        connections: int,
        *,
        is_broken: bool = True,
    ) -> None:
        """Take a run without an answer."""
        self._lost.append(
            LostRun(
                call=call,
                started_at=started_at,
                ended_at=self._clock.monotonic(),
                connections=connections,
                is_broken=is_broken,
            )
        )

    def take(self) -> list[LostRun[CallT]]:
        """Return the runs that may have ended with the upstream.

        Connections to an upstream that ends break one after the other within
        moments. A run that began after the first of them was not there.
        """
        since = self._clock.monotonic() - MAX_AGE_S
        found = []
        # Times of the first and the last break in a row.
        first_at = last_at = -math.inf
        for item in self._lost:
            if item.ended_at < since:
                continue
            if item.is_broken:
                if item.ended_at - last_at > BREAKS_S:
                    first_at = item.ended_at
                last_at = item.ended_at
                if item.started_at > first_at:
                    continue
                item.ended_at = first_at
            found.append(item)
        self._lost.clear()
        return found

    @property
    def has_lost(self) -> bool:
        """Return whether a run may have ended with the upstream."""
        since = self._clock.monotonic() - MAX_AGE_S
        return bool(self._lost) and self._lost[-1].ended_at >= since

    def rate_per_s(self, kind: Kind) -> float:
        """Return how many answers to a kind came per second lately.

        Of a kind that comes in waves, the busiest second counts: upstreams
        end when there is much to do, and the others then get more. A kind
        that was not seen yet counts as half an answer, so that little is
        concluded from a short time.
        """
        elapsed_s = self._clock.monotonic() - self._period_before_at
        count = self._answered.get(kind, 0) + self._answered_before.get(
            kind, 0
        )
        peak = max(
            self._second.get(kind, 0),
            self._peaks.get(kind, 0),
            self._peaks_before.get(kind, 0),
        )
        mean = (count + UNSEEN_ANSWERS) / max(1.0, elapsed_s)
        return max(mean, peak / SECOND_S if peak > 1 else 0.0)

    def _count(self, kind: Kind) -> None:
        now = self._clock.monotonic()
        if (
            now - self._period_at >= PERIOD_S
            or len(self._answered) >= MAX_KINDS
        ):
            self._answered_before = self._answered
            self._period_before_at = self._period_at
            self._answered = {}
            self._period_at = now
            self._peaks_before = self._peaks
            self._peaks = {}
        self._answered[kind] = self._answered.get(kind, 0) + 1
        if now - self._second_at >= SECOND_S:
            self._note_peaks()
            self._second_at = now
        self._second[kind] = self._second.get(kind, 0) + 1

    def _note_peaks(self) -> None:
        """Keep the counts of a second in which a kind came repeatedly."""
        for kind, count in self._second.items():
            if count > max(1, self._peaks.get(kind, 0)):
                self._peaks[kind] = count
        self._second = {}
