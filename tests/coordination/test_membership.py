"""Tests of gossip in virtual time."""

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


def _fleet() -> tuple[gossip.Fleet, list[records.Member]]:
    fleet = gossip.Fleet(seed=7)
    everyone = [gossip.member(n, _DOMAINS) for n in range(_COUNT)]
    for own in everyone:
        fleet.add(own, everyone)
    fleet.run(2.0)
    return fleet, everyone


def _knowing(fleet: gossip.Fleet, member: records.Member) -> int:
    return sum(
        daemon.get(member.daemon_id) == member
        for daemon in fleet.daemons.values()
    )


class _Sent:
    def __init__(self) -> None:
        self.messages: list[tuple[ids.DaemonId, messages.Message]] = []

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        self.messages.append((daemon_id, message))


def _alone(
    sent: _Sent, manual: clock.ManualClock, number: int = 0
) -> membership.Membership:
    return membership.Membership(
        clock=manual,
        random=random.Random(1),
        outbox=sent,
        own=gossip.member(number, _DOMAINS),
    )


@pytest.mark.parametrize('loss', [0.0, 0.2])
def test_changes_and_new_members_reach_everyone(loss: float) -> None:
    """Guards against daemons that never learn of a member."""
    fleet, everyone = _fleet()
    lost = random.Random(3)
    fleet.is_cut = lambda one, other: lost.random() < loss
    changed = fleet.daemons[everyone[5].daemon_id].update_own(slots=7)
    newcomer = gossip.member(_COUNT, _DOMAINS)
    fleet.add(newcomer, everyone[:1])
    fleet.run(15.0)
    assert _knowing(fleet, changed) == _COUNT + 1
    assert _knowing(fleet, newcomer) == _COUNT + 1
    assert len(fleet.daemons[newcomer.daemon_id].members()) == _COUNT + 1
    hashes = {d.digest().members_hash for d in fleet.daemons.values()}
    assert len(hashes) == 1


def test_leaving_reaches_connected_peers_at_once() -> None:
    """Guards against new work for a leaving daemon (R10)."""
    fleet, everyone = _fleet()
    leaving = fleet.daemons[everyone[0].daemon_id]
    connected = [
        daemon
        for daemon in fleet.daemons.values()
        if daemon.own.daemon_id in leaving._heard_at
    ]
    own = leaving.update_own(status=enums.MemberStatus.LEAVING)
    fleet.run(0.002)
    assert connected
    assert all(daemon.get(own.daemon_id) == own for daemon in connected)


def test_crashed_daemon_is_forgotten_and_stays_so() -> None:
    """Guards against daemons that keep a lost member alive together."""
    fleet, everyone = _fleet()
    lost = everyone[3]
    del fleet.daemons[lost.daemon_id]
    fleet.run(const.MEMBER_FORGET_S - 60.0)
    assert _knowing(fleet, lost) == _COUNT - 1
    fleet.run(120.0)
    assert _knowing(fleet, lost) == 0
    fleet.run(60.0)
    assert _knowing(fleet, lost) == 0
    assert _knowing(fleet, everyone[4]) == _COUNT - 1


def test_partition_of_minutes_removes_nobody() -> None:
    """Guards against taking regions without contact for lost VMs."""
    fleet, everyone = _fleet()
    domain = {m.daemon_id: m.failure_domain for m in everyone}
    fleet.is_cut = lambda one, other: domain[one] != domain[other]
    for daemon in fleet.daemons.values():
        for member in everyone:
            if member.failure_domain != daemon.own.failure_domain:
                daemon.note_silent(member.daemon_id)
    fleet.run(400.0)
    changed = fleet.daemons[everyone[0].daemon_id].update_own(slots=1)
    fleet.is_cut = lambda one, other: False
    fleet.run(30.0)
    assert _knowing(fleet, changed) == _COUNT
    assert all(len(d.members()) == _COUNT for d in fleet.daemons.values())
    daemon = fleet.daemons[everyone[0].daemon_id]
    assert not any(daemon.is_silent(m.daemon_id) for m in everyone)


def test_silent_daemon_is_avoided_until_someone_hears_it() -> None:
    """Guards against a healed partition that leaves upstreams unused."""
    manual = clock.ManualClock()
    daemon = _alone(_Sent(), manual)
    other = gossip.member(1, _DOMAINS)
    daemon.merge([other])
    daemon.note_silent(other.daemon_id)
    manual.advance(60.0)
    assert daemon.is_silent(other.daemon_id)
    daemon.merge([other], age_s=1.0)
    assert not daemon.is_silent(other.daemon_id)
    daemon.note_silent(other.daemon_id)
    manual.advance(1.0)
    daemon.merge([other])
    assert daemon.is_silent(other.daemon_id)
    daemon.note_heard(other.daemon_id, other.incarnation)
    assert not daemon.is_silent(other.daemon_id)


def test_quiet_members_stay_known() -> None:
    """Guards against forgetting members that are heard by others only."""
    fleet, everyone = _fleet()
    fleet.run(const.MEMBER_FORGET_S + 100.0)
    assert all(len(d.members()) == _COUNT for d in fleet.daemons.values())


def test_suspended_daemon_keeps_its_members() -> None:
    """Guards against a resumed daemon that knows nobody to ask."""
    fleet, everyone = _fleet()
    daemon = fleet.daemons[everyone[0].daemon_id]
    fleet.clock.advance(2 * const.MEMBER_FORGET_S)
    daemon.tick()
    assert len(daemon.members()) == _COUNT


def test_entries_of_a_snapshot_are_tried_but_not_passed_on() -> None:
    """Guards against lost members that each restart brings back."""
    manual = clock.ManualClock()
    daemon = _alone(_Sent(), manual)
    before = daemon.digest().members_hash
    old = gossip.member(1, _DOMAINS)
    age_s = const.MEMBER_FORGET_S - 60.0
    assert daemon.merge([old], age_s=age_s) == [old]
    assert daemon.digest().members_hash == before
    daemon.note_heard(old.daemon_id, old.incarnation)
    assert daemon.digest().members_hash != before
    assert daemon.merge([gossip.member(2, 3)], age_s=age_s + 60.0) == []


def test_message_of_an_old_process_is_no_news_of_the_new_one() -> None:
    """Guards against a lost process kept alive by its predecessor."""
    manual = clock.ManualClock()
    daemon = _alone(_Sent(), manual)
    old = gossip.member(1, _DOMAINS)
    new = gossip.member(1, _DOMAINS, incarnation=old.incarnation + 1)
    daemon.merge([old, new])
    manual.advance(100.0)
    daemon.note_heard(old.daemon_id, old.incarnation)
    process = member_hashes.process_id(old.daemon_id, old.incarnation)
    sender = _alone(_Sent(), manual, number=2)
    digest = msgspec.structs.replace(sender.digest(), heard={process: 1})
    daemon.on_digest(digest)
    assert daemon.age(new.daemon_id) == 100.0


def test_only_the_answer_to_the_last_question_tells_its_time() -> None:
    """Guards against a queued answer taken as fresh after a suspension."""
    manual = clock.ManualClock()
    sent, answers = _Sent(), _Sent()
    asking = _alone(sent, manual)
    answering = _alone(answers, manual, number=1)
    asking.merge([answering.own])
    asking.tick()
    question = sent.messages[0][1]
    assert isinstance(question, messages.Digest)
    assert answering.on_digest(question) is None
    answer = answers.messages[0][1]
    assert isinstance(answer, messages.Digest)
    asked_at = manual.monotonic()
    manual.advance(1.0)
    assert asking.on_digest(answer) == asked_at
    asking.tick()
    assert asking.on_digest(answer) is None
    restarted = membership.Membership(
        clock=manual,
        random=random.Random(1),
        outbox=_Sent(),
        own=gossip.member(0, 3, incarnation=asking.own.incarnation + 10**6),
    )
    restarted.merge([answering.own])
    restarted.tick()
    assert restarted.on_digest(answer) is None


def test_outage_of_the_log_probes_every_domain() -> None:
    """Guards against taking an outage of the log for being cut off."""
    manual = clock.ManualClock()
    sent = _Sent()
    daemon = _alone(sent, manual)
    others = [gossip.member(n, 10) for n in range(1, 40)]
    daemon.merge(others)
    daemon.tick()
    domain = {m.daemon_id: m.failure_domain for m in others}
    assert {domain[receiver] for receiver, _ in sent.messages} == set(
        domain.values()
    )


@pytest.mark.parametrize('version', [2, 2**62])
def test_own_entry_is_corrected_by_its_daemon_only(version: int) -> None:
    """Guards against a foreign entry that speaks for this daemon."""
    daemon = _alone(_Sent(), clock.ManualClock())
    foreign = gossip.member(0, _DOMAINS, version=version, slots=1)
    assert daemon.merge([foreign]) == []
    assert daemon.own.slots == 60
    assert daemon.get(daemon.own.daemon_id) == daemon.own
    newer = gossip.member(0, 3, incarnation=daemon.own.incarnation + 1)
    assert not daemon.is_replaced
    daemon.merge([newer])
    assert daemon.is_replaced
