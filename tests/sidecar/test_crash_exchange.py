"""Tests of the exchange of crash reports and verdicts between daemons."""

import types

import pytest

from sassafraswood import clock
from sassafraswood.coordination import crash_counts
from sassafraswood.models import crash
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.sidecar import crash_exchange
from sassafraswood.sidecar import measures
from sassafraswood.transport import json_log

POISON = ids.Fingerprint('poison')
SUSPECT = crash.Suspect(fingerprint=POISON, rate_per_s=0.05, age_s=0.002)


class FakeLink:
    """A link to a peer that the test opens and closes."""

    def __init__(self, name: str) -> None:
        """Start with the first connection open."""
        self.member = types.SimpleNamespace(daemon_id=ids.DaemonId(name))
        self.connection_count = 1
        self.is_open = True
        self.sent = []

    def send(self, message) -> bool:
        """Record a message."""
        self.sent.append(message)
        return True

    def take_sent(self) -> list:
        """Return the messages sent since the last call."""
        sent, self.sent = self.sent, []
        return sent


class Node:
    """The crash exchange of one daemon."""

    def __init__(self, tmp_path, name: str, on_own=None) -> None:
        """Start without crashes."""
        self.clock = clock.ManualClock()
        self.counts = crash_counts.CrashCounts(self.clock)
        self.stored = []
        self.announced = []
        self.log_file = open(tmp_path / name, 'wb')
        self.exchange = crash_exchange.CrashExchange(
            clock=self.clock,
            daemon_id=ids.DaemonId(name),
            service=ids.ServiceName('ordering'),
            counts=self.counts,
            log=json_log.JsonLog(name, self.log_file.fileno()),
            metrics=measures.Measures(),
            on_own=on_own or self.stored.append,
            on_verdicts=self.announced.append,
        )

    def crash(self, number: int) -> None:
        """Report a crash of the local upstream, some time after the last."""
        self.clock.advance(0.5)
        self.exchange.report(
            fleet.UpstreamProcess(instance_id=f'i{number}', born=number),
            [SUSPECT],
        )


def test_report_is_stored_and_resent_until_it_is_confirmed(tmp_path) -> None:
    """The peers that count crashes may be unreachable at the crash."""
    node, link = Node(tmp_path, 'a'), FakeLink('b')
    link.is_open = False
    node.crash(1)
    assert len(node.stored) == 1
    node.exchange.tick([link])
    assert not link.take_sent()
    link.is_open = True
    node.exchange.tick([link])
    (report,) = link.take_sent()
    node.exchange.tick([link])
    assert not link.take_sent()
    node.clock.advance(crash_exchange.RESEND_INTERVAL_S)
    node.exchange.tick([link])
    (resent,) = link.take_sent()
    assert resent.record_id == report.record_id
    node.exchange.handle_confirmation(
        frames.CrashConfirmation(record_id=report.record_id), 'b'
    )
    node.clock.advance(crash_exchange.RESEND_INTERVAL_S)
    node.exchange.tick([link])
    assert not link.take_sent()


# Guards against crashes that nobody counts, since their daemon fails to store
# them.
def test_crash_counts_though_it_cannot_be_stored(tmp_path) -> None:
    """An error of the store's part comes after the count."""

    def fail(record) -> None:
        raise ValueError(record)

    node = Node(tmp_path, 'a', on_own=fail)
    with pytest.raises(ValueError):
        node.crash(1)
    assert len(node.counts.records) == 1


def test_report_is_resent_to_a_restarted_peer(tmp_path) -> None:
    """A restarted peer has lost the report and has a new connection."""
    node, link = Node(tmp_path, 'a'), FakeLink('b')
    node.crash(1)
    node.exchange.tick([link])
    (report,) = link.take_sent()
    node.exchange.handle_confirmation(
        frames.CrashConfirmation(record_id=report.record_id), 'b'
    )
    link.connection_count += 1
    node.exchange.tick([link])
    assert [item.record_id for item in link.take_sent()] == [report.record_id]


def test_reports_of_peers_are_forwarded_but_not_returned(tmp_path) -> None:
    """All daemons that count crashes get a report, even indirectly."""
    node = Node(tmp_path, 'a')
    source, other = FakeLink('b'), FakeLink('c')
    node.exchange.tick([source, other])
    report = frames.CrashReport(
        record_id='b/i1/1',
        service='ordering',
        age_s=1.0,
        suspects=[(POISON, 0.05, 0.002, False)],
    )
    for _ in range(2):
        confirmation = node.exchange.handle_report(report, 'b')
        assert confirmation == frames.CrashConfirmation(record_id='b/i1/1')
    node.exchange.tick([source, other])
    assert not source.take_sent()
    assert len(other.take_sent()) == 1
    assert node.counts.count(POISON) == 1


def test_verdict_is_sent_to_all(tmp_path) -> None:
    """It is sent by the daemon that reaches it, and once by each receiver."""
    node, other = Node(tmp_path, 'a'), Node(tmp_path, 'b')
    node.crash(1)
    node.crash(2)
    (message,) = node.announced
    assert other.exchange.handle_verdicts(message, 'a') is None
    assert other.counts.is_refused(POISON)
    assert len(other.announced) == 1
    other.exchange.handle_verdicts(message, 'a')
    assert len(other.announced) == 1


# A verdict is sent once over the connections that are open then. A daemon
# without a connection at that time would never get it.
def test_daemon_that_missed_a_verdict_gets_it_by_its_digest(
    tmp_path,
) -> None:
    """The exchange works whichever of the two compares the digests."""
    for requester_has_verdict in (False, True):
        node, other = Node(tmp_path, 'a'), Node(tmp_path, 'b')
        node.crash(1)
        node.crash(2)
        requester, responder = (
            (node, other) if requester_has_verdict else (other, node)
        )
        link = FakeLink('x')
        requester.exchange.compare(link, responder.exchange.digest)
        (request,) = link.take_sent()
        reply = responder.exchange.handle_verdicts(request, 'x')
        requester.exchange.handle_verdicts(reply, 'x')
        assert other.counts.is_refused(POISON)
        assert node.exchange.digest == other.exchange.digest
        requester.exchange.compare(link, responder.exchange.digest)
        assert not link.take_sent()


def test_digests_that_stay_different_are_compared_rarely(
    tmp_path,
) -> None:
    """Digests stay different if full tables hold different verdicts."""
    node, link = Node(tmp_path, 'a'), FakeLink('b')
    for _ in range(10):
        node.exchange.compare(link, 7)
        node.clock.advance(0.1)
    assert len(link.take_sent()) == 1


# Without the store all daemons would lose the verdicts when they all restart.
def test_verdict_follows_from_the_crashes_in_the_store(tmp_path) -> None:
    """A new process reaches the verdict from the stored crash records."""
    former, node = Node(tmp_path, 'a'), Node(tmp_path, 'b')
    former.crash(1)
    former.crash(2)
    node.exchange.load(reversed(former.stored))
    assert node.counts.is_refused(POISON)
