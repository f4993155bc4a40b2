"""Metrics of a daemon in the Prometheus exposition format."""

from collections.abc import Iterable

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from sassafraswood.sidecar import measures


class Exposition(registry.Collector):
    """Collects the metrics of a daemon for the Prometheus client."""

    def __init__(self, source: measures.Measures) -> None:
        """Set the source of the metrics."""
        self._measures = source

    def collect(self) -> Iterable[core.Metric]:
        """Yield all metric families."""
        counter = core.CounterMetricFamily(
            'sassafraswood_requests',
            'Requests by what happened to them and why.',
            labels=['outcome', 'service', 'reason'],
        )
        for (
            outcome,
            service,
            reason,
        ), value in self._measures.counters.items():
            counter.add_metric([outcome, service, reason], value)
        yield counter
        latency = core.HistogramMetricFamily(
            'sassafraswood_latency_seconds',
            'Time from the whole request to the answer of its upstream.',
            labels=['service', 'status'],
        )
        for (service, status), histogram in self._measures.histograms.items():
            buckets: list[tuple[str, float]] = []
            cumulative_count = 0.0
            for bound, count in zip(
                (*map(str, measures.BUCKETS_S), '+Inf'),
                histogram.counts,
                strict=True,
            ):
                cumulative_count += count
                buckets.append((bound, cumulative_count))
            latency.add_metric(
                [service, str(status)], buckets, histogram.sum_s
            )
        yield latency
        for name, gauge_value in self._measures.gauges.items():
            yield core.GaugeMetricFamily(
                f'sassafraswood_{name}', f'Current {name}.', value=gauge_value
            )

    def render(self) -> bytes:
        """Return the text for a scrape."""
        collector_registry = prometheus_client.CollectorRegistry()
        collector_registry.register(self)
        return prometheus_client.generate_latest(collector_registry)
