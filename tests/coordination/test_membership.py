"""Tests of membership and gossip with a manual clock."""

import random

import msgspec
import pytest

from lab import gossip
from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import membership
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.state import member_hashes

_COUNT = 24
_DOMAINS = 3


def _start_fleet() -> tuple[gossip.Fleet, list[records.Member]]:
    fleet = gossip.Fleet(seed=7)
    all_members = [gossip.make_member(n, _DOMAINS) for n in range(_COUNT)]
    for own in all_members:
        fleet.add(own, all_members)
    fleet.run(2.0)
    return fleet, all_members


def _count_knowing(fleet: gossip.Fleet, member: records.Member) -> int:
    return sum(
        daemon.get(member.daemon_id) == member
        for daemon in fleet.daemons.values()
    )


class _SentMessages:
    def __init__(self) -> None:
        self.messages: list[tuple[ids.DaemonId, messages.Message]] = []

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        self.messages.append((daemon_id, message))


def _new_membership(
    sent: _SentMessages, manual_clock: clock.ManualClock, number: int = 0
) -> membership.Membership:
    return membership.Membership(
        clock=manual_clock,
        random=random.Random(1),
        outbox=sent,
        own=gossip.make_member(number, _DOMAINS),
    )


@pytest.mark.parametrize('loss', [0.0, 0.2])
def test_changes_and_new_members_reach_everyone(loss: float) -> None:
    """Guards against daemons that never get the entry of a member.

    Messages may be lost on the way.
    """
    fleet, all_members = _start_fleet()
    lost = random.Random(3)
    fleet.is_cut = lambda one, other: lost.random() < loss
    changed = fleet.daemons[all_members[5].daemon_id].update_own(slots=7)
    newcomer = gossip.make_member(_COUNT, _DOMAINS)
    fleet.add(newcomer, all_members[:1])
    fleet.run(15.0)
    assert _count_knowing(fleet, changed) == _COUNT + 1
    assert _count_knowing(fleet, newcomer) == _COUNT + 1
    assert len(fleet.daemons[newcomer.daemon_id].members()) == _COUNT + 1
    hashes = {d.digest().members_hash for d in fleet.daemons.values()}
    assert len(hashes) == 1


def test_leaving_reaches_connected_peers_at_once() -> None:
    """Guards against new calls to a leaving daemon (R10)."""
    fleet, all_members = _start_fleet()
    leaving = fleet.daemons[all_members[0].daemon_id]
    connected = [
        daemon
        for daemon in fleet.daemons.values()
        if daemon.own.daemon_id in leaving._heard_at
    ]
    own = leaving.update_own(status=enums.MemberStatus.LEAVING)
    fleet.run(0.002)
    assert connected
    assert all(daemon.get(own.daemon_id) == own for daemon in connected)


def test_crashed_daemon_is_removed_for_good() -> None:
    """Guards against two daemons that keep a lost member in their tables.

    Each would send the entry to the other before it expires there.
    """
    fleet, all_members = _start_fleet()
    lost = all_members[3]
    del fleet.daemons[lost.daemon_id]
    fleet.run(const.MEMBER_RETENTION_S - 60.0)
    assert _count_knowing(fleet, lost) == _COUNT - 1
    fleet.run(120.0)
    assert _count_knowing(fleet, lost) == 0
    fleet.run(60.0)
    assert _count_knowing(fleet, lost) == 0
    assert _count_knowing(fleet, all_members[4]) == _COUNT - 1


def test_network_partition_of_minutes_removes_no_member() -> None:
    """Guards against removal of members behind a network partition."""
    fleet, all_members = _start_fleet()
    domain = {m.daemon_id: m.failure_domain for m in all_members}
    fleet.is_cut = lambda one, other: domain[one] != domain[other]
    for daemon in fleet.daemons.values():
        for member in all_members:
            if member.failure_domain != daemon.own.failure_domain:
                daemon.note_silent(member.daemon_id)
    fleet.run(400.0)
    changed = fleet.daemons[all_members[0].daemon_id].update_own(slots=1)
    fleet.is_cut = lambda one, other: False
    fleet.run(30.0)
    assert _count_knowing(fleet, changed) == _COUNT
    assert all(len(d.members()) == _COUNT for d in fleet.daemons.values())
    daemon = fleet.daemons[all_members[0].daemon_id]
    assert not any(daemon.is_silent(m.daemon_id) for m in all_members)


def test_daemon_is_silent_until_any_daemon_hears_it() -> None:
    """Guards against upstreams unused after a network partition has ended.

    Minutes may pass before a message from their daemon arrives here.
    """
    manual_clock = clock.ManualClock()
    daemon = _new_membership(_SentMessages(), manual_clock)
    other = gossip.make_member(1, _DOMAINS)
    daemon.merge([other])
    daemon.note_silent(other.daemon_id)
    manual_clock.advance(60.0)
    assert daemon.is_silent(other.daemon_id)
    daemon.merge([other], age_s=1.0)
    assert not daemon.is_silent(other.daemon_id)
    daemon.note_silent(other.daemon_id)
    manual_clock.advance(1.0)
    daemon.merge([other])
    assert daemon.is_silent(other.daemon_id)
    daemon.record_contact(other.daemon_id, other.incarnation)
    assert not daemon.is_silent(other.daemon_id)


def test_members_heard_by_others_only_stay_known() -> None:
    """Guards against removal of members that never contact this daemon."""
    fleet, all_members = _start_fleet()
    fleet.run(const.MEMBER_RETENTION_S + 100.0)
    assert all(len(d.members()) == _COUNT for d in fleet.daemons.values())


def test_suspended_daemon_keeps_its_members() -> None:
    """Guards against a resumed daemon without a peer to contact.

    While it is suspended, the ages of all its members pass the limit.
    """
    fleet, all_members = _start_fleet()
    daemon = fleet.daemons[all_members[0].daemon_id]
    fleet.clock.advance(2 * const.MEMBER_RETENTION_S)
    daemon.tick()
    assert len(daemon.members()) == _COUNT


def test_entries_of_a_snapshot_are_kept_but_not_gossiped() -> None:
    """Guards against lost members that return with each restart.

    A snapshot may hold members that were lost after it was written.
    """
    manual_clock = clock.ManualClock()
    daemon = _new_membership(_SentMessages(), manual_clock)
    before = daemon.digest().members_hash
    old = gossip.make_member(1, _DOMAINS)
    age_s = const.MEMBER_RETENTION_S - 60.0
    assert daemon.merge([old], age_s=age_s) == [old]
    assert daemon.digest().members_hash == before
    daemon.record_contact(old.daemon_id, old.incarnation)
    assert daemon.digest().members_hash != before
    assert daemon.merge([gossip.make_member(2, 3)], age_s=age_s + 60.0) == []


def test_message_of_an_old_process_does_not_refresh_the_new_one() -> None:
    """Guards against a lost process that stays in the table.

    Late messages of an earlier process of the same daemon must not count.
    """
    manual_clock = clock.ManualClock()
    daemon = _new_membership(_SentMessages(), manual_clock)
    old = gossip.make_member(1, _DOMAINS)
    new = gossip.make_member(1, _DOMAINS, incarnation=old.incarnation + 1)
    daemon.merge([old, new])
    manual_clock.advance(100.0)
    daemon.record_contact(old.daemon_id, old.incarnation)
    process = member_hashes.process_id(old.daemon_id, old.incarnation)
    sender = _new_membership(_SentMessages(), manual_clock, number=2)
    digest = msgspec.structs.replace(sender.digest(), heard={process: 1})
    daemon.on_digest(digest)
    assert daemon.age(new.daemon_id) == 100.0


def test_only_the_reply_to_the_last_request_returns_its_time() -> None:
    """Guards against a queued reply that counts as fresh.

    It waits in the socket while the daemon is suspended or restarts.
    """
    manual_clock = clock.ManualClock()
    sent, replies_sent = _SentMessages(), _SentMessages()
    requester = _new_membership(sent, manual_clock)
    replier = _new_membership(replies_sent, manual_clock, number=1)
    requester.merge([replier.own])
    requester.tick()
    request = sent.messages[0][1]
    assert isinstance(request, messages.Digest)
    assert replier.on_digest(request) is None
    reply = replies_sent.messages[0][1]
    assert isinstance(reply, messages.Digest)
    sent_at = manual_clock.monotonic()
    manual_clock.advance(1.0)
    assert requester.on_digest(reply) == sent_at
    requester.tick()
    assert requester.on_digest(reply) is None
    restarted = membership.Membership(
        clock=manual_clock,
        random=random.Random(1),
        outbox=_SentMessages(),
        own=gossip.make_member(
            0, 3, incarnation=requester.own.incarnation + 10**6
        ),
    )
    restarted.merge([replier.own])
    restarted.tick()
    assert restarted.on_digest(reply) is None


def test_outage_of_the_log_probes_every_domain() -> None:
    """Guards against a daemon that counts as cut off while the log is down.

    Without the log it needs a reply from a majority of the failure domains.
    """
    manual_clock = clock.ManualClock()
    sent = _SentMessages()
    daemon = _new_membership(sent, manual_clock)
    others = [gossip.make_member(n, 10) for n in range(1, 40)]
    daemon.merge(others)
    daemon.tick()
    domain = {m.daemon_id: m.failure_domain for m in others}
    assert {domain[receiver] for receiver, _ in sent.messages} == set(
        domain.values()
    )


@pytest.mark.parametrize('version', [2, 2**62])
def test_own_entry_is_corrected_by_its_daemon_only(version: int) -> None:
    """Guards against an entry of another source that replaces the own one."""
    daemon = _new_membership(_SentMessages(), clock.ManualClock())
    foreign = gossip.make_member(0, _DOMAINS, version=version, slots=1)
    assert daemon.merge([foreign]) == []
    assert daemon.own.slots == 60
    assert daemon.get(daemon.own.daemon_id) == daemon.own
    newer = gossip.make_member(0, 3, incarnation=daemon.own.incarnation + 1)
    assert not daemon.is_replaced
    daemon.merge([newer])
    assert daemon.is_replaced
