"""Tests of the counters."""

from collections.abc import Iterator
import socket

import pytest
import statsd

from sassafraswood.models import enums
from sassafraswood.transport import metrics

_TIMEOUT_S = 10.0


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """Return a UDP socket that stands in for a statsd server."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(_TIMEOUT_S)
        yield server


def make_metrics(listener: socket.socket) -> metrics.Metrics:
    """Return metrics that are sent to the listener."""
    host, port = listener.getsockname()
    return metrics.Metrics(address=f'{host}:{port}', prefix='fleet')


def receive_lines(listener: socket.socket, count: int) -> list[str]:
    """Return the lines of received packets, at least count of them."""
    received: list[str] = []
    while len(received) < count:
        received += listener.recv(65536).decode().split('\n')
    return received


def test_each_refusal_reason_has_a_counter(listener: socket.socket) -> None:
    """Guards against refusals and retries that no counter shows."""
    counters = make_metrics(listener)
    names = [f'refused.{reason.value}' for reason in enums.RefusalReason]
    names += [f'retried.{reason.value}' for reason in enums.RetryReason]
    for name in names:
        counters.count(name)
    counters.count(names[0])
    counters.flush()
    expected = {f'fleet.{name}:1|c' for name in names[1:]}
    expected.add(f'fleet.{names[0]}:2|c')
    received = receive_lines(listener, len(names))
    assert set(received) == expected
    assert len(received) == len(names)


def test_counts_are_sent_once_and_kept(listener: socket.socket) -> None:
    """Guards against sending the same counts with each flush."""
    counters = make_metrics(listener)
    counters.count('a')
    counters.flush()
    counters.flush()
    counters.count('b')
    counters.flush()
    assert receive_lines(listener, 2) == ['fleet.a:1|c', 'fleet.b:1|c']
    assert counters.counts == {'a': 1, 'b': 1}


def test_counts_without_a_server_are_kept() -> None:
    """Guards against a status page without counters if statsd is not set."""
    counters = metrics.Metrics(address=None)
    counters.count('a')
    counters.gauge('g', 1.0)
    counters.flush()
    assert counters.counts == {'a': 1}


def test_ipv6_server_is_named_without_brackets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a daemon that cannot start with an IPv6 address."""
    seen: dict[str, object] = {}

    def make_client(host: str, port: int, **options: object) -> object:
        seen.update(options, host=host, port=port)
        return object()

    # Some machines have no IPv6, so the client is replaced.
    monkeypatch.setattr(statsd, 'StatsClient', make_client)
    metrics.Metrics(address='[fd00::1]:8125', prefix='fleet')
    assert seen == {
        'host': 'fd00::1',
        'port': 8125,
        'prefix': 'fleet',
        'ipv6': True,
    }


def test_unreachable_server_raises_no_error() -> None:
    """Guards against calls that fail because the statsd server is down."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        port = server.getsockname()[1]
    counters = metrics.Metrics(address=f'127.0.0.1:{port}')
    for _ in range(3):
        counters.count('a')
        counters.flush()
        counters.gauge('g', 2.0)
    assert counters.counts == {'a': 3}
