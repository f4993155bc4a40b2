"""Runs at an upstream that were lost before a response arrived.

They are kept until the upstream is known to be alive, or until they are too
old to have been lost in a crash that is still undetected.
"""

import collections
import math
from typing import Final, Generic, TypeVar

from sassafraswood import clock as clock_module

CallT = TypeVar('CallT')
# Identifies equal requests within this process: method and target, or its
# path alone, workspace and hash of the body.
RequestKind = tuple[bytes, str, int]
# The end of an upstream is detected within this time, after three missing
# reports.
MAX_AGE_S: Final = 10.0
# Connections that break within this time of each other may break for the same
# reason.
MAX_BREAK_GAP_S: Final = 0.05
# An upstream has a few hundred slots.
MAX_LOST_RUNS: Final = 1024
# Responses are counted over one to two of these periods.
RATE_PERIOD_S: Final = 10.0
# Responses added to each count (Jeffreys prior of a rate).
PRIOR_RESPONSE_COUNT: Final = 0.5
# Peak rates are measured over windows of this length, about as long as a wave
# of retries.
PEAK_WINDOW_S: Final = 1.0
# Kinds counted in a period; enough for 400 new kinds per second.
MAX_KINDS: Final = 4096


class LostRun(Generic[CallT]):
    """A run whose connection broke or whose caller disconnected.

    Attributes:
        call: The call of the run.
        started_at: When it was sent; monotonic time in seconds.
        ended_at: When it was lost; monotonic time in seconds.
        last_connection: Number of the newest connection to the upstream when
            the run was lost.
        is_broken: Whether its connection broke; if not, its caller
            disconnected.
    """

    __slots__ = (
        'call',
        'ended_at',
        'is_broken',
        'last_connection',
        'started_at',
    )

    def __init__(
        self,
        *,
        call: CallT,
        started_at: float,
        ended_at: float,
        last_connection: int,
        is_broken: bool,
    ) -> None:
        """Initialize the run."""
        self.call = call
        self.started_at = started_at
        self.ended_at = ended_at
        self.last_connection = last_connection
        self.is_broken = is_broken


class LostRuns(Generic[CallT]):
    """Lost runs possibly in flight when the upstream ended, and request rates.

    A connection ends with the process that holds it. If a request is sent
    after a run was lost, and its response arrives on a connection opened
    before the loss, the upstream is still alive and the run was lost for
    another reason.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        """Initialize without runs."""
        self._clock = clock
        self._lost: collections.deque[LostRun[CallT]] = collections.deque(
            maxlen=MAX_LOST_RUNS
        )
        self._response_counts: dict[RequestKind, int] = {}
        self._previous_response_counts: dict[RequestKind, int] = {}
        self._period_started_at = clock.monotonic()
        self._previous_period_started_at = self._period_started_at
        # Responses of the current window, and the most of any window.
        self._window_counts: dict[RequestKind, int] = {}
        self._window_started_at = self._period_started_at
        self._peaks: dict[RequestKind, int] = {}
        self._previous_peaks: dict[RequestKind, int] = {}

    def note_response(
        self, kind: RequestKind, started_at: float, connection: int
    ) -> None:
        """Count a response and remove the runs that it clears.

        Args:
            kind: The kind of the request.
            started_at: When the request was sent; monotonic time in seconds.
            connection: Number of the connection that carried it.
        """
        lost = self._lost
        while (
            lost
            and lost[0].ended_at <= started_at
            and connection <= lost[0].last_connection
        ):
            lost.popleft()
        self.count_response(kind)

    def record_lost_run(
        self,
        call: CallT,
        started_at: float,
        last_connection: int,
        *,
        is_broken: bool = True,
    ) -> None:
        """Record a run that was lost before its response arrived.

        Args:
            call: The call of the run.
            started_at: When it was sent; monotonic time in seconds.
            last_connection: Number of the newest connection to the upstream.
            is_broken: Whether the connection broke; if not, the caller
                disconnected.
        """
        self._lost.append(
            LostRun(
                call=call,
                started_at=started_at,
                ended_at=self._clock.monotonic(),
                last_connection=last_connection,
                is_broken=is_broken,
            )
        )

    def take(self) -> list[LostRun[CallT]]:
        """Remove all runs; return those that a crash may have interrupted.

        The connections to an upstream that ends break one after the other
        within `MAX_BREAK_GAP_S`. A run that began after the first break never
        reached the process and is left out.
        """
        since = self._clock.monotonic() - MAX_AGE_S
        found = []
        # First and latest break of the current series.
        first_break_at = last_break_at = -math.inf
        for item in self._lost:
            if item.ended_at < since:
                continue
            if item.is_broken:
                if item.ended_at - last_break_at > MAX_BREAK_GAP_S:
                    first_break_at = item.ended_at
                last_break_at = item.ended_at
                if item.started_at > first_break_at:
                    continue
                item.ended_at = first_break_at
            found.append(item)
        self._lost.clear()
        return found

    @property
    def has_recent_losses(self) -> bool:
        """Return whether a recent run may have been lost in a crash."""
        since = self._clock.monotonic() - MAX_AGE_S
        return bool(self._lost) and self._lost[-1].ended_at >= since

    def rate_per_s(self, kind: RequestKind) -> float:
        """Return the recent rate of responses to a kind of request.

        For a kind that comes in waves this is the rate of its busiest window:
        upstreams tend to end under high load, which then moves to the other
        upstreams. A kind without responses counts as
        `PRIOR_RESPONSE_COUNT`, so that a short observation does not make it
        look rare.
        """
        elapsed_s = self._clock.monotonic() - self._previous_period_started_at
        count = self._response_counts.get(
            kind, 0
        ) + self._previous_response_counts.get(kind, 0)
        peak = max(
            self._window_counts.get(kind, 0),
            self._peaks.get(kind, 0),
            self._previous_peaks.get(kind, 0),
        )
        mean = (count + PRIOR_RESPONSE_COUNT) / max(1.0, elapsed_s)
        return max(mean, peak / PEAK_WINDOW_S if peak > 1 else 0.0)

    def count_response(self, kind: RequestKind) -> None:
        """Count a response for the rate of a kind of request."""
        now = self._clock.monotonic()
        if (
            now - self._period_started_at >= RATE_PERIOD_S
            or len(self._response_counts) >= MAX_KINDS
        ):
            self._previous_response_counts = self._response_counts
            self._previous_period_started_at = self._period_started_at
            self._response_counts = {}
            self._period_started_at = now
            self._previous_peaks = self._peaks
            self._peaks = {}
        self._response_counts[kind] = self._response_counts.get(kind, 0) + 1
        if now - self._window_started_at >= PEAK_WINDOW_S:
            self._update_peaks()
            self._window_started_at = now
        self._window_counts[kind] = self._window_counts.get(kind, 0) + 1

    def _update_peaks(self) -> None:
        """Keep the counts of kinds seen repeatedly in the window."""
        for kind, count in self._window_counts.items():
            if count > max(1, self._peaks.get(kind, 0)):
                self._peaks[kind] = count
        self._window_counts = {}
