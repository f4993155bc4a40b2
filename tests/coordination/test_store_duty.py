"""Tests of the choice of the daemons that read the store."""

from sassafraswood.coordination import peer_plan
from sassafraswood.coordination import store_duty
from sassafraswood.models import fleet


def make_members(count: int) -> list[fleet.Member]:
    """Return the members of one service in one failure domain."""
    return [
        fleet.Member(
            daemon_id=f'd{index}',
            address=('10.0.0.1', 7000 + index),
            failure_domain='a',
            service='status',
        )
        for index in range(count)
    ]


def test_three_daemons_of_the_group_read() -> None:
    """Guards against too few readers after a reader fails.

    The next daemon reads as soon as one ahead of it does not, and no longer
    than that.
    """
    members = make_members(12)
    plans = []
    for member in members:
        plan = peer_plan.PeerPlan(member)
        plan.set_members(members)
        plans.append((member.daemon_id, plan))
    group = [item for item in plans if item[1].is_in_reading_group]
    group.sort(key=lambda item: len(item[1].ahead))
    reading = {daemon_id for daemon_id, _ in group[:3]}
    duties = {
        daemon_id: store_duty.StoreDuty(plan, reading.__contains__)
        for daemon_id, plan in plans
    }
    assert {key for key, duty in duties.items() if duty.is_reader} == reading
    reading.discard(group[1][0])
    assert duties[group[3][0]].is_reader
    reading.add(group[3][0])
    assert not duties[group[4][0]].is_reader


def test_lone_daemon_reads() -> None:
    """Guards against a daemon without peers that waits for a reader."""
    plan = peer_plan.PeerPlan(make_members(1)[0])
    assert store_duty.StoreDuty(plan, lambda item: False).is_reader
