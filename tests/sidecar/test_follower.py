"""Tests of what daemons pass on to each other of the store."""

import random

from sassafraswood import clock
from sassafraswood.coordination import peer_plan
from sassafraswood.coordination import store_knowledge
from sassafraswood.models import fleet
from sassafraswood.platform import members as member_records
from sassafraswood.protocol import frames
from sassafraswood.sidecar import follower
from sassafraswood.transport import json_log


def make_member(index: int) -> fleet.Member:
    """Return a daemon."""
    return fleet.Member(
        daemon_id=f'd{index}',
        address=('10.0.0.1', 7000 + index),
        failure_domain='a',
        service='status',
    )


def make_row(index: int) -> tuple[str, bytes]:
    """Return the record of a daemon."""
    return f'd{index}', member_records.encode(make_member(index))


class Side:
    """A follower that only learns from other daemons."""

    def __init__(self, tmp_path, index: int = 0) -> None:
        """Wire it up without a store."""
        self.clock = clock.ManualClock()
        self.members: list[fleet.Member] = []
        self.news = 0
        self.reading: set[str] = set()
        self.knowledge = store_knowledge.StoreKnowledge(self.clock)
        self.plan = peer_plan.PeerPlan(make_member(index))
        self.log_file = open(tmp_path / f'log{index}', 'wb')
        self.follower = follower.Follower(
            clock=self.clock,
            random=random.Random(1),
            own=make_member(index),
            store=None,
            knowledge=self.knowledge,
            log=json_log.JsonLog('d', self.log_file.fileno()),
            on_rules=lambda rules: None,
            on_members=self.set_members,
            on_registered=lambda was_member: None,
            on_news=self.count_news,
            plan=self.plan,
            is_reading=self.reading.__contains__,
            apply_s=2.0,
        )

    def set_members(self, members: list[fleet.Member]) -> None:
        """Keep what is told."""
        self.members = members
        self.plan.set_members(members)

    def count_news(self) -> None:
        """Count what would be announced."""
        self.news += 1

    def take(self, start: int, end: int, *rows: tuple[str, bytes]) -> None:
        """Take a document of another daemon."""
        self.follower.take_members(
            frames.MembersDocument(start=start, end=end, rows=list(rows))
        )

    def names(self) -> list[str]:
        """Return the members in order."""
        return sorted(member.daemon_id for member in self.members)


def test_only_new_records_are_passed_on(tmp_path) -> None:
    """A whole document for each change would cost more with each daemon."""
    side = Side(tmp_path)
    side.take(-1, 5, make_row(1), make_row(2))
    side.take(5, 6, make_row(3))
    assert side.names() == ['d1', 'd2', 'd3']
    document = side.follower.members_document(5)
    assert (document.start, document.end) == (5, 6)
    assert document.rows == [make_row(3)]
    assert side.news == 2


def test_whole_document_where_the_start_is_not_known(tmp_path) -> None:
    """The first records of the history may be gone."""
    side = Side(tmp_path)
    side.take(-1, 5, make_row(1), make_row(2))
    document = side.follower.members_document(3)
    assert document.start == -1
    assert len(document.rows) == 2


def test_document_with_a_gap_is_not_taken(tmp_path) -> None:
    """A member in the gap would hold a part of a limit unknown to this one."""
    side = Side(tmp_path)
    side.take(-1, 5, make_row(1))
    side.take(7, 8, make_row(2))
    assert side.names() == ['d1']
    assert side.knowledge.members_end == 5


def test_records_known_already_are_left_out(tmp_path) -> None:
    """Two daemons may tell the same."""
    side = Side(tmp_path)
    side.take(-1, 5, make_row(1))
    side.take(5, 6, make_row(2))
    side.take(5, 7, make_row(2), ('d1', b''))
    assert side.names() == ['d2']
    assert side.follower.members_document(5).rows == [make_row(2), ('d1', b'')]


def test_older_document_changes_nothing(tmp_path) -> None:
    """Records never go back."""
    side = Side(tmp_path)
    side.take(-1, 5, make_row(1), make_row(2))
    side.take(-1, 4, make_row(1))
    assert side.names() == ['d1', 'd2']


def test_three_daemons_of_the_group_read(tmp_path) -> None:
    """The next one reads as soon as one before it does not."""
    rows = [make_row(index) for index in range(12)]
    sides = [Side(tmp_path, index) for index in range(12)]
    for side in sides:
        side.take(-1, 12, *rows)
    group = [side for side in sides if side.plan.is_in_reading_group]
    group.sort(key=lambda side: len(side.plan.ahead))
    names = [f'd{sides.index(side)}' for side in group]
    for side in group:
        side.reading.update(names[:3])
    assert [side.follower.is_reader for side in group] == (
        [True] * 3 + [False] * 5
    )
    for side in group:
        side.reading.discard(names[1])
    assert group[3].follower.is_reader
    assert not any(
        side.follower.is_reader for side in sides if side not in group
    )
