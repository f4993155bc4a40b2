"""Tests of what daemons tell each other of requests that crash upstreams."""

import types

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
    """A connection to another daemon that the test cuts."""

    def __init__(self, name: str) -> None:
        """Start with a first connection."""
        self.member = types.SimpleNamespace(daemon_id=ids.DaemonId(name))
        self.connection_count = 1
        self.is_open = True
        self.sent = []

    def send(self, message) -> bool:
        """Keep a message."""
        self.sent.append(message)
        return True

    def take(self) -> list:
        """Return what was sent since."""
        sent, self.sent = self.sent, []
        return sent


class Node:
    """One daemon's part."""

    def __init__(self, tmp_path, name: str) -> None:
        """Start without ends."""
        self.clock = clock.ManualClock()
        self.counts = crash_counts.CrashCounts(self.clock)
        self.kept = []
        self.told = []
        self.log_file = open(tmp_path / name, 'wb')
        self.exchange = crash_exchange.CrashExchange(
            clock=self.clock,
            daemon_id=ids.DaemonId(name),
            service=ids.ServiceName('ordering'),
            counts=self.counts,
            log=json_log.JsonLog(name, self.log_file.fileno()),
            metrics=measures.Measures(),
            on_own=self.kept.append,
            on_verdicts=self.told.append,
        )

    def crash(self, number: int) -> None:
        """Let the own upstream end."""
        self.clock.advance(0.01)
        self.exchange.report(
            fleet.UpstreamStart(instance_id=f'i{number}', born=number),
            [SUSPECT],
        )


def test_report_is_kept_and_sent_until_it_is_confirmed(tmp_path) -> None:
    """The daemons that count may be lost at that moment."""
    node, link = Node(tmp_path, 'a'), FakeLink('b')
    link.is_open = False
    node.crash(1)
    assert len(node.kept) == 1
    node.exchange.tick([link])
    assert not link.take()
    link.is_open = True
    node.exchange.tick([link])
    (report,) = link.take()
    node.exchange.tick([link])
    assert not link.take()
    node.clock.advance(crash_exchange.RESEND_S)
    node.exchange.tick([link])
    (again,) = link.take()
    assert again.record_id == report.record_id
    node.exchange.take_seen(frames.CrashSeen(record_id=report.record_id), 'b')
    node.clock.advance(crash_exchange.RESEND_S)
    node.exchange.tick([link])
    assert not link.take()


def test_daemon_that_starts_again_is_told_again(tmp_path) -> None:
    """Its memory is empty, and its connection a new one."""
    node, link = Node(tmp_path, 'a'), FakeLink('b')
    node.crash(1)
    node.exchange.tick([link])
    (report,) = link.take()
    node.exchange.take_seen(frames.CrashSeen(record_id=report.record_id), 'b')
    link.connection_count += 1
    node.exchange.tick([link])
    assert [item.record_id for item in link.take()] == [report.record_id]


def test_reports_of_others_are_passed_on_but_not_back(tmp_path) -> None:
    """All that count get them from whom they reach."""
    node = Node(tmp_path, 'a')
    back, on = FakeLink('b'), FakeLink('c')
    node.exchange.tick([back, on])
    report = frames.CrashReport(
        record_id='b/i1/1',
        service='ordering',
        age_s=1.0,
        suspects=[(POISON, 0.05, 0.002, False)],
    )
    for _ in range(2):
        seen = node.exchange.take_report(report, 'b')
        assert seen == frames.CrashSeen(record_id='b/i1/1')
    node.exchange.tick([back, on])
    assert not back.take()
    assert len(on.take()) == 1
    assert node.counts.count(POISON) == 1


def test_verdict_is_told_to_all(tmp_path) -> None:
    """By the daemon that reaches it, and by those that learn it."""
    node, other = Node(tmp_path, 'a'), Node(tmp_path, 'b')
    node.crash(1)
    node.crash(2)
    (message,) = node.told
    assert other.exchange.take_verdicts(message, 'a') is None
    assert other.counts.is_refused(POISON)
    assert len(other.told) == 1
    other.exchange.take_verdicts(message, 'a')
    assert len(other.told) == 1


# Guards against verdicts that are told once and to those who listen then.
def test_daemon_that_missed_a_verdict_learns_it_by_its_digest(
    tmp_path,
) -> None:
    """Whichever of the two compares."""
    for is_asked in (False, True):
        node, other = Node(tmp_path, 'a'), Node(tmp_path, 'b')
        node.crash(1)
        node.crash(2)
        asker, answerer = (node, other) if is_asked else (other, node)
        link = FakeLink('x')
        asker.exchange.compare(link, answerer.exchange.digest)
        (question,) = link.take()
        reply = answerer.exchange.take_verdicts(question, 'x')
        asker.exchange.take_verdicts(reply, 'x')
        assert other.counts.is_refused(POISON)
        assert node.exchange.digest == other.exchange.digest
        asker.exchange.compare(link, answerer.exchange.digest)
        assert not link.take()


def test_digests_that_stay_different_are_not_compared_all_the_time(
    tmp_path,
) -> None:
    """The tables of two daemons may be full of other requests."""
    node, link = Node(tmp_path, 'a'), FakeLink('b')
    for _ in range(10):
        node.exchange.compare(link, 7)
        node.clock.advance(0.1)
    assert len(link.take()) == 1


# Guards against a fleet that forgets when all daemons restart.
def test_ends_in_the_store_give_the_verdict_again(tmp_path) -> None:
    """The first thing that a new process learns."""
    former, node = Node(tmp_path, 'a'), Node(tmp_path, 'b')
    former.crash(1)
    former.crash(2)
    node.exchange.load(reversed(former.kept))
    assert node.counts.is_refused(POISON)
