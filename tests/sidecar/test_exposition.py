"""Tests of the metrics in the exposition format."""

import subprocess
import sys

from sassafraswood.sidecar import exposition
from sassafraswood.sidecar import measures


def test_counts_have_their_labels() -> None:
    """Metric names and labels are those of the operations page."""
    recorded = measures.Measures()
    recorded.count('refused', 'status', 'overloaded')
    recorded.count('refused', 'status', 'overloaded')
    recorded.observe('status', 200, 0.03)
    recorded.observe('status', 200, 9.0)
    recorded.gauge('open_requests', 3.0)
    text = exposition.Exposition(recorded).render().decode()
    assert (
        'sassafraswood_requests_total{outcome="refused",'
        'reason="overloaded",service="status"} 2.0'
    ) in text
    assert (
        'sassafraswood_latency_seconds_bucket{le="0.05",'
        'service="status",status="200"} 1.0'
    ) in text
    assert (
        'sassafraswood_latency_seconds_count{service="status",'
        'status="200"} 2.0'
    ) in text
    assert 'sassafraswood_open_requests 3.0' in text


def test_daemon_starts_without_prometheus_client() -> None:
    """An import of prometheus_client takes a fifth of the start time."""
    script = (
        'import sys; import sassafraswood.sidecar.process; '
        'sys.exit("prometheus_client" in sys.modules)'
    )
    subprocess.run([sys.executable, '-c', script], check=True)
