"""Expected wait of a call at an upstream, and whether a domain spills calls.

The daemon beside an upstream sees all of its calls. It measures how long they
occupy a slot, and tells callers with each answer how long the next call would
wait. A failure domain whose own upstreams make calls wait sends calls to
others only as long as the time that this saves exceeds the longer way.
"""

from collections.abc import Sequence
from typing import Final

# Gain of the moving averages of the time in a slot, and of the time that calls
# take at one upstream relative to the others; about the last 20 and 50 calls.
SLOT_TIME_GAIN: Final = 0.05
DURATION_GAIN: Final = 0.02
# A duration counts after this number of calls; before, it is the one usual for
# the route.
MIN_MEASURED_COUNT: Final = 25
# Upstreams are uneven if their durations differ by this factor. Averages of
# 50 calls of even upstreams differ less.
UNEVEN_RATIO: Final = 1.6
# The reported wait halves in this time without a further report. A queue of
# the usual length drains within it.
WAIT_HALF_LIFE_S: Final = 0.25
# Time that a call to another failure domain takes longer, both ways.
REMOTE_WAY_S: Final = 0.002
# A domain begins to spill calls when that saves this fraction of their usual
# duration, and stops when it saves nothing, so that it does not change with
# each answer.
SPILL_START_FRACTION: Final = 0.1
# Fraction of the slots of another domain that are left to its own callers.
REMOTE_RESERVE: Final = 0.1


class SlotTime:
    """Mean time for which calls occupy a slot of the own upstream."""

    def __init__(self) -> None:
        """Start without a measurement."""
        self._mean_s = 0.0

    @property
    def mean_s(self) -> float:
        """Return the mean of the recent calls in seconds; 0 if unknown."""
        return self._mean_s

    def reset(self) -> None:
        """Discard the measurement after a change of the upstream."""
        self._mean_s = 0.0

    def note_end(self, slot_s: float) -> None:
        """Record for how many seconds a call occupied a slot."""
        if not self._mean_s:
            self._mean_s = slot_s
        else:
            self._mean_s += SLOT_TIME_GAIN * (slot_s - self._mean_s)


class CompletionEstimate:
    """What one caller knows of the time that calls take at one upstream."""

    def __init__(self) -> None:
        """Start without reports."""
        self.is_spilling = False
        self._wait_s = 0.0
        self._reported_at = 0.0
        self._duration = 1.0
        self._measured_count = 0

    @property
    def duration(self) -> float:
        """Return the duration of calls relative to that of their route."""
        if self._measured_count < MIN_MEASURED_COUNT:
            return 1.0
        return self._duration

    def forget(self) -> None:
        """Discard what is known after the connection was lost."""
        self.is_spilling = False
        self._wait_s = 0.0
        self._duration = 1.0
        self._measured_count = 0

    def note_wait(self, wait_s: float, now: float) -> None:
        """Record the wait that an answer reports, in seconds."""
        self._wait_s = wait_s
        self._reported_at = now

    def note_duration(self, duration: float) -> None:
        """Record the duration of a call relative to that of its route."""
        self._measured_count += 1
        # The mean of all calls, until there are enough for the moving average.
        gain = max(DURATION_GAIN, 1.0 / self._measured_count)
        self._duration += gain * (duration - self._duration)

    def wait_s(self, now: float) -> float:
        """Return the expected wait in seconds; old reports lose weight."""
        if not self._wait_s:
            return 0.0
        age_s = now - self._reported_at
        return self._wait_s * float(0.5 ** (age_s / WAIT_HALF_LIFE_S))


def are_uneven(estimates: Sequence[CompletionEstimate]) -> bool:
    """Return whether the upstreams differ in the time that calls take."""
    durations = [item.duration for item in estimates]
    return max(durations) >= UNEVEN_RATIO * min(durations)


def compute_remote_delay_s(
    estimate: CompletionEstimate, load: float, baseline_s: float, now: float
) -> float:
    """Return the delay of a call in another failure domain in seconds.

    It counts the calls that the domain's own callers would have to wait for
    in the slots that are left to them.

    Args:
        estimate: Estimate for the upstream in the other domain.
        load: Running and waiting calls there, relative to the capacity.
        baseline_s: Usual duration of the calls.
        now: Monotonic time in seconds.
    """
    reserved_s = min(REMOTE_RESERVE, max(0.0, load + REMOTE_RESERVE - 1.0)) * (
        estimate.duration * baseline_s
    )
    return REMOTE_WAY_S + reserved_s + estimate.wait_s(now)


def should_spill(
    local: CompletionEstimate,
    remote_delay_s: float,
    baseline_s: float,
    now: float,
) -> bool:
    """Return whether a call is better sent to another failure domain.

    Args:
        local: Estimate for the best upstream of the own domain.
        remote_delay_s: Delay in the other domain.
        baseline_s: Usual duration of the call.
        now: Monotonic time in seconds.
    """
    saved_s = local.wait_s(now) - remote_delay_s
    margin_s = 0.0 if local.is_spilling else SPILL_START_FRACTION * baseline_s
    local.is_spilling = saved_s > margin_s
    return local.is_spilling
