"""Tests of the member table."""

import hypothesis
from hypothesis import strategies

from lab import gossip
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.state import member_hashes
from sassafraswood.state import members

_MEMBERS = strategies.builds(
    lambda number, incarnation, version, address, slots: gossip.make_member(
        number,
        2,
        incarnation=incarnation,
        version=version,
        peer_address=f'10.0.0.{address}:1',
        slots=slots,
    ),
    *(strategies.integers(0, 2) for _ in range(5)),
)


def _merge(*groups: list[records.Member]) -> members.MemberTable:
    table = members.MemberTable()
    for group in groups:
        for member in group:
            table.merge(member)
    return table


def _content(table: members.MemberTable) -> tuple[list, list]:
    def daemon_id(member: records.Member) -> str:
        return member.daemon_id

    return (
        sorted(table.entries(), key=daemon_id),
        sorted(table.present(), key=daemon_id),
    )


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    *(strategies.lists(_MEMBERS, max_size=6) for _ in range(3)),
)
def test_merge_is_commutative_associative_and_idempotent(
    first: list, second: list, third: list
) -> None:
    """Guards against tables that depend on the order of gossip messages."""
    expected = _content(_merge(first, second, third))
    assert _content(_merge(third, first, second)) == expected
    inner = _merge(second, third).entries()
    assert _content(_merge(first, inner)) == expected
    outer = _merge(first, second).entries()
    assert _content(_merge(outer, third, outer, third)) == expected


def test_newer_incarnation_takes_over_the_address() -> None:
    """Guards against calls to a daemon whose VM was replaced."""
    old = gossip.make_member(1, 1, incarnation=5, peer_address='10.0.0.1:1')
    new = gossip.make_member(2, 1, incarnation=6, peer_address='10.0.0.1:1')
    assert _merge([new, old]).present() == [new]
    assert _merge([old, new]).present() == [new]


def test_late_announcement_does_not_bring_a_left_daemon_back() -> None:
    """Guards against calls that are sent to a daemon that left (R10)."""
    member = gossip.make_member(1, 1)
    table = _merge([member])
    left = table.leave(member.daemon_id, member.incarnation)
    assert left is not None and left.status is enums.MemberStatus.LEFT
    assert table.leave(member.daemon_id, member.incarnation) is None
    assert not table.merge(gossip.make_member(1, 1, version=99))
    assert table.present() == []
    assert table.merge(
        gossip.make_member(1, 1, incarnation=left.incarnation + 1)
    )


def test_trim_evicts_absent_members_first() -> None:
    """Guards against evicting running daemons from a full table."""
    all_members = [gossip.make_member(number, 1) for number in range(4)]
    table = _merge(all_members)
    table.leave(all_members[3].daemon_id, all_members[3].incarnation)
    table.trim(2)
    assert table.entries() == all_members[1:3]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(_MEMBERS, max_size=8),
    strategies.lists(strategies.integers(0, 2), max_size=4),
)
def test_hashes_depend_on_the_entries_only(added: list, removed: list) -> None:
    """Guards against hashes that differ between equal tables.

    Two daemons with equal tables would then exchange entries for ever.
    """
    hashes = member_hashes.MemberHashes(4)
    final: dict[ids.DaemonId, records.Member] = {}
    for member in added:
        hashes.add(member)
        final[member.daemon_id] = member
    for number in removed:
        hashes.remove(ids.DaemonId(f'daemon-{number}'))
        final.pop(ids.DaemonId(f'daemon-{number}'), None)
    fresh = member_hashes.MemberHashes(4)
    for member in final.values():
        fresh.add(member)
    assert (hashes.total, hashes.buckets) == (fresh.total, fresh.buckets)
    assert hashes.summaries(range(4)) == fresh.summaries(range(4))
    assert not hashes.differing(fresh.buckets)
