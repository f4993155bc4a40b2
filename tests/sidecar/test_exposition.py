"""Tests of the text of the counters and histograms."""

import subprocess
import sys

from sassafraswood.sidecar import exposition
from sassafraswood.sidecar import measures


def test_counts_have_their_labels() -> None:
    """Names and labels are those of the operations page."""
    counted = measures.Measures()
    counted.count('refused', 'status', 'overloaded')
    counted.count('refused', 'status', 'overloaded')
    counted.observe('status', 200, 0.03)
    counted.observe('status', 200, 9.0)
    counted.gauge('open_requests', 3.0)
    text = exposition.Exposition(counted).render().decode()
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


def test_daemon_starts_without_the_library() -> None:
    """It would take a fifth of the start of each process."""
    script = (
        'import sys; import sassafraswood.sidecar.process; '
        'sys.exit("prometheus_client" in sys.modules)'
    )
    subprocess.run([sys.executable, '-c', script], check=True)
