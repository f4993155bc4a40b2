"""Text of the counters and histograms for a metrics reader."""

from collections.abc import Iterable

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from sassafraswood.sidecar import measures


class Exposition(registry.Collector):
    """Brings the counts of a daemon into the exposition format."""

    def __init__(self, counted: measures.Measures) -> None:
        """Take what was counted."""
        self._measures = counted

    def collect(self) -> Iterable[core.Metric]:
        """Return everything for the exposition."""
        counter = core.CounterMetricFamily(
            'sassafraswood_requests',
            'Requests by what happened to them and why.',
            labels=['outcome', 'service', 'reason'],
        )
        for (what, service, reason), value in self._measures.counters.items():
            counter.add_metric([what, service, reason], value)
        yield counter
        latency = core.HistogramMetricFamily(
            'sassafraswood_latency_seconds',
            'Time from the whole request to the answer of its upstream.',
            labels=['service', 'status'],
        )
        for (service, status), histogram in self._measures.histograms.items():
            buckets: list[tuple[str, float]] = []
            total = 0.0
            for bound, count in zip(
                (*map(str, measures.BUCKETS_S), '+Inf'),
                histogram.counts,
                strict=True,
            ):
                total += count
                buckets.append((bound, total))
            latency.add_metric(
                [service, str(status)], buckets, histogram.sum_s
            )
        yield latency
        for name, level in self._measures.gauges.items():
            yield core.GaugeMetricFamily(
                f'sassafraswood_{name}', f'Current {name}.', value=level
            )

    def render(self) -> bytes:
        """Return the text of the exposition format."""
        collectors = prometheus_client.CollectorRegistry()
        collectors.register(self)
        return prometheus_client.generate_latest(collectors)
