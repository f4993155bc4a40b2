"""Counters, sent to statsd and kept for the status page."""

import collections

import statsd


class Metrics:
    """Counts events by name."""

    def __init__(
        self, *, address: str | None, prefix: str = 'sassafraswood'
    ) -> None:
        """Send to the statsd server at host:port, or only keep counts."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._unsent: collections.Counter[str] = collections.Counter()
        self._client: statsd.StatsClient | None = None
        if address is not None:
            host, port = address.rsplit(':', 1)
            self._client = statsd.StatsClient(
                host.strip('[]'),
                int(port),
                prefix=prefix,
                ipv6=host.startswith('['),
            )

    @property
    def counts(self) -> dict[str, int]:
        """Return all counts since the start."""
        return dict(self._counts)

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self._counts[name] += 1
        self._unsent[name] += 1

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def flush(self) -> None:
        """Send the counts since the last flush, batched per second."""
        unsent, self._unsent = self._unsent, collections.Counter()
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, count in unsent.items():
                pipeline.incr(name, count)
