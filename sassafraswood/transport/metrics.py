"""Counters that are sent to statsd and shown on the status page."""

import collections

import statsd


class Metrics:
    """Counts events by name and sends the counts to statsd."""

    def __init__(
        self, *, address: str | None, prefix: str = 'sassafraswood'
    ) -> None:
        """Initialize the counters.

        Args:
            address: Statsd server as host:port; None to send nothing.
            prefix: First part of each name at the statsd server.
        """
        self._totals: collections.Counter[str] = collections.Counter()
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
        """Return the counts since the start by name."""
        return dict(self._totals)

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self._totals[name] += 1
        self._unsent[name] += 1

    def gauge(self, name: str, value: float) -> None:
        """Send the value of a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def flush(self) -> None:
        """Send the counts since the last flush batched into packets."""
        unsent, self._unsent = self._unsent, collections.Counter()
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, count in unsent.items():
                pipeline.incr(name, count)
