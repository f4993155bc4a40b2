"""Counters, latency histograms and gauges of a daemon."""

from typing import Final

# Upper bounds of the latency buckets, at most a factor of 2.5 apart, from the
# latency of a local response to the longest usual deadline.
BUCKETS_S: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
    5.0,
)


class Histogram:
    """Numbers of latencies by bucket.

    Attributes:
        counts: Number of latencies in each bucket; the last bucket has no
            upper bound.
        sum_s: Sum of all latencies in seconds.
    """

    def __init__(self) -> None:
        """Start with all buckets at zero."""
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def observe(self, elapsed_s: float) -> None:
        """Add a latency in seconds."""
        index = 0
        for bound in BUCKETS_S:
            if elapsed_s <= bound:
                break
            index += 1
        self.counts[index] += 1
        self.sum_s += elapsed_s


class Measures:
    """Counters, histograms and gauges.

    They have no locks, since the daemon runs on one thread.
    """

    def __init__(self) -> None:
        """Start without values."""
        self._counters: dict[tuple[str, str, str], int] = {}
        self._histograms: dict[tuple[str, int], Histogram] = {}
        self._gauges: dict[str, float] = {}

    def count(self, outcome: str, service: str, reason: str) -> None:
        """Increment the counter of an outcome, a service and a reason."""
        key = (outcome, service, reason)
        self._counters[key] = self._counters.get(key, 0) + 1

    def observe(self, service: str, status: int, elapsed_s: float) -> None:
        """Add a response and its latency in seconds to the histogram."""
        key = (service, status)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = Histogram()
        histogram.observe(elapsed_s)

    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self._gauges[name] = value

    @property
    def counters(self) -> dict[tuple[str, str, str], int]:
        """Return counters by outcome, service and reason."""
        return self._counters

    @property
    def histograms(self) -> dict[tuple[str, int], Histogram]:
        """Return latency histograms by service and HTTP status."""
        return self._histograms

    @property
    def gauges(self) -> dict[str, float]:
        """Return current values by gauge name."""
        return self._gauges
