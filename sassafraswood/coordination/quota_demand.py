"""Measured demand for one limit and the tokens to prefetch for it."""

import math

from sassafraswood import const
from sassafraswood.models import document

# Time constants of the two averages. The short one detects within about 0.1 s
# that callers have moved to this daemon.
_LONG_AVERAGE_S = 1.0
_SHORT_AVERAGE_S = 0.1
# The short average is too noisy below this number of calls.
_MIN_SHORT_CALLS = 5.0
# At a steady rate of independent calls, a gap of five mean gaps occurs once in
# 150 calls, so a longer one suggests that the demand has fallen.
_MAX_STEADY_GAPS = 5.0
# With less expected demand than this, tokens are requested per call.
_MIN_PREFETCH_TOKENS = 0.7


class QuotaDemandMeter:
    """Measures calls per second by two exponentially decaying averages."""

    def __init__(self) -> None:
        """Start without demand."""
        self._long_calls = 0.0
        self._short_calls = 0.0
        self._decayed_at = 0.0
        self._called_at = 0.0

    def note_call(self, now: float) -> None:
        """Count a call at a monotonic time in seconds."""
        self._decay(now)
        self._long_calls += 1.0
        self._short_calls += 1.0
        self._called_at = now

    def rate(self, now: float) -> float:
        """Return the demand in calls/s."""
        self._decay(now)
        rate = self._long_calls / _LONG_AVERAGE_S
        if self._short_calls >= _MIN_SHORT_CALLS:
            rate = max(rate, self._short_calls / _SHORT_AVERAGE_S)
        silence_s = now - self._called_at
        gaps = rate * silence_s
        if gaps > _MAX_STEADY_GAPS:
            # The callers have probably moved to another daemon, which needs
            # the tokens.
            rate *= (_MAX_STEADY_GAPS / gaps) ** 2
        return rate

    def prefetch_tokens(
        self, now: float, spec: document.WorkspaceSpec
    ) -> float:
        """Return the tokens to hold; 0 if each call requests its own token.

        This is the demand over the next interval, without a margin: margins
        would add up over many daemons with little demand each.
        """
        if spec.burst < const.QUOTA_MIN_PREFETCH_BURST:
            return 0.0
        horizon_s = min(const.QUOTA_PREFETCH_S, batch_interval_s(spec))
        expected_calls = min(self.rate(now), spec.rate) * horizon_s
        if expected_calls < _MIN_PREFETCH_TOKENS:
            return 0.0
        return float(math.ceil(expected_calls))

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._decayed_at)
        self._decayed_at = max(self._decayed_at, now)
        self._long_calls *= math.exp(-elapsed_s / _LONG_AVERAGE_S)
        self._short_calls *= math.exp(-elapsed_s / _SHORT_AVERAGE_S)


def batch_interval_s(spec: document.WorkspaceSpec) -> float:
    """Return the seconds in which the rate refills one batch of the burst.

    A batch is the fraction QUOTA_BURST_FRACTION of the burst.
    """
    if spec.rate <= 0.0:
        return const.QUOTA_TOKEN_LIFETIME_S
    return spec.burst * const.QUOTA_BURST_FRACTION / spec.rate
