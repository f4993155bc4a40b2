"""Measured demand of one limit and what to prefetch for it."""

import math

from sassafraswood import const
from sassafraswood.models import document

_LONG_S = 1.0
# Notices within about 0.1 s that callers moved to this daemon.
_SHORT_S = 0.1
# Below this many calls a short average says little.
_SHORT_MIN_CALLS = 5.0
# With steady demand, a gap of five mean gaps comes once in 150 calls.
_SILENT_CALLS = 5.0
# Less expected demand than this is served by asking once per call.
_MIN_PREFETCH = 0.7


class QuotaDemandMeter:
    """Calls per second, as exponentially decaying averages."""

    def __init__(self) -> None:
        """Start without demand."""
        self._long = 0.0
        self._short = 0.0
        self._at = 0.0
        self._called_at = 0.0

    def note_call(self, now: float) -> None:
        """Count a call at the time now in seconds."""
        self._decay(now)
        self._long += 1.0
        self._short += 1.0
        self._called_at = now

    def rate(self, now: float) -> float:
        """Return the demand in calls/s."""
        self._decay(now)
        rate = self._long / _LONG_S
        if self._short >= _SHORT_MIN_CALLS:
            rate = max(rate, self._short / _SHORT_S)
        silence_s = now - self._called_at
        gaps = rate * silence_s
        if gaps > _SILENT_CALLS:
            # Callers have moved to another daemon, which needs the tokens.
            rate *= (_SILENT_CALLS / gaps) ** 2
        return rate

    def prefetch(self, now: float, spec: document.WorkspaceSpec) -> float:
        """Return the tokens to hold, 0 for asking once per call.

        This is the demand over the next interval. A margin on top would
        add up over many first daemons with little demand each.
        """
        if spec.burst < const.QUOTA_MIN_PREFETCH_BURST:
            return 0.0
        horizon_s = min(const.QUOTA_PREFETCH_S, batch_interval_s(spec))
        expected = min(self.rate(now), spec.rate) * horizon_s
        if expected < _MIN_PREFETCH:
            return 0.0
        return float(math.ceil(expected))

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._long *= math.exp(-elapsed / _LONG_S)
        self._short *= math.exp(-elapsed / _SHORT_S)


def batch_interval_s(spec: document.WorkspaceSpec) -> float:
    """Return seconds in which the rate uses one batch of the burst."""
    if spec.rate <= 0.0:
        return const.QUOTA_TOKEN_LIFETIME_S
    return spec.burst * const.QUOTA_BURST_FRACTION / spec.rate
