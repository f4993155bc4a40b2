"""Counters and latency histograms of a daemon."""

from typing import Final

# Upper bounds of the latency histogram in seconds; twice per doubling
# between a local answer and the longest usual deadline.
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
    """Counts of latencies by bucket.

    Attributes:
        counts: Number of latencies up to each bound, and beyond the last.
        sum_s: Sum of all latencies in seconds.
    """

    def __init__(self) -> None:
        """Start with zero everywhere."""
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def observe(self, elapsed_s: float) -> None:
        """Count a latency in seconds."""
        index = 0
        for bound in BUCKETS_S:
            if elapsed_s <= bound:
                break
            index += 1
        self.counts[index] += 1
        self.sum_s += elapsed_s


class Measures:
    """Counts without locks on the one thread of the daemon."""

    def __init__(self) -> None:
        """Start with zero everywhere."""
        self._counters: dict[tuple[str, str, str], int] = {}
        self._histograms: dict[tuple[str, int], Histogram] = {}
        self._gauges: dict[str, float] = {}

    def count(self, what: str, service: str, reason: str) -> None:
        """Count an event of a kind with its reason."""
        key = (what, service, reason)
        self._counters[key] = self._counters.get(key, 0) + 1

    def observe(self, service: str, status: int, elapsed_s: float) -> None:
        """Count an answer of an upstream and its latency."""
        key = (service, status)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = Histogram()
        histogram.observe(elapsed_s)

    def gauge(self, name: str, value: float) -> None:
        """Set a value that goes up and down."""
        self._gauges[name] = value

    @property
    def counters(self) -> dict[tuple[str, str, str], int]:
        """Return counts by what happened, service and reason."""
        return self._counters

    @property
    def histograms(self) -> dict[tuple[str, int], Histogram]:
        """Return latencies by service and status."""
        return self._histograms

    @property
    def gauges(self) -> dict[str, float]:
        """Return values that go up and down."""
        return self._gauges
