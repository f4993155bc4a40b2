"""Tests of the member records that daemons read, renew and pass on."""

import asyncio
import random

import pytest

from sassafraswood import clock
from sassafraswood.coordination import peer_plan
from sassafraswood.coordination import store_duty
from sassafraswood.coordination import store_era
from sassafraswood.coordination import store_knowledge
from sassafraswood import exceptions
from sassafraswood.models import fleet
from sassafraswood.platform import members as member_records
from sassafraswood.platform import store
from sassafraswood.protocol import frames
from sassafraswood.sidecar import member_follower
from sassafraswood.sidecar import store_reader
from sassafraswood.transport import json_log


def make_member(index: int) -> fleet.Member:
    """Return the member with a number."""
    return fleet.Member(
        daemon_id=f'd{index}',
        address=('10.0.0.1', 7000 + index),
        failure_domain='a',
        service='status',
    )


def make_row(index: int) -> tuple[str, bytes]:
    """Return the key and value of a member record."""
    return f'd{index}', member_records.encode(make_member(index))


class FakeStore:
    """Keeps records in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[store.StoredRecord] = []
        self.era = 0
        self.loses_response = False

    async def async_newest(self, topic: str) -> store.Page:
        """Return all records."""
        return await self.async_read(topic, 0, 0.0)

    async def async_read(self, topic: str, start: int, wait_s) -> store.Page:
        """Return the records from an offset."""
        await asyncio.sleep(0)
        return store.Page(
            records=self.records[store_era.get_offset(start) :],
            next_offset=store_era.make_position(self.era, len(self.records)),
        )

    async def async_append(self, topic: str, record) -> None:
        """Keep a record."""
        self.records.append(record)
        if self.loses_response:
            raise exceptions.LogOutcomeUnknownError('lost')


class Case:
    """A member follower with its own fake store."""

    def __init__(self, tmp_path, index: int = 0) -> None:
        """Create the follower and its dependencies."""
        self.store = FakeStore()
        self.clock = clock.ManualClock()
        self.members: list[fleet.Member] = []
        self.updates = 0
        # Whether this daemon was a member before, for each registration.
        self.registrations: list[bool] = []
        self.reader_ids: set[str] = set()
        self.knowledge = store_knowledge.StoreKnowledge(self.clock)
        self.plan = peer_plan.PeerPlan(make_member(index))
        self.log_file = open(tmp_path / f'log{index}', 'wb')
        self.duty = store_duty.StoreDuty(
            self.plan, self.reader_ids.__contains__
        )
        self.context = store_reader.ReaderContext(
            clock=self.clock,
            random=random.Random(1),
            store=self.store,
            duty=self.duty,
            log=json_log.JsonLog('d', self.log_file.fileno()),
        )
        self.follower = member_follower.MemberFollower(
            context=self.context,
            own=make_member(index),
            knowledge=self.knowledge,
            max_age_s=5.0,
            on_members=self.set_members,
            on_registered=self.registrations.append,
            on_update=self.count_updates,
        )

    def set_members(self, members: list[fleet.Member]) -> None:
        """Keep the members of the last call."""
        self.members = members
        self.plan.set_members(members)

    def count_updates(self) -> None:
        """Count the announcements to peers."""
        self.updates += 1

    def take(self, start: int, end: int, *rows: tuple[str, bytes]) -> None:
        """Apply a document received from a peer."""
        self.follower.take(
            frames.MembersDocument(start=start, end=end, rows=list(rows))
        )

    def read(self) -> None:
        """Read the store once."""
        asyncio.run(self.follower._async_read(0.0))

    def names(self) -> list[str]:
        """Return the sorted ids of the members."""
        return sorted(member.daemon_id for member in self.members)


def test_only_new_records_are_passed_on(tmp_path) -> None:
    """Whole documents on each change would grow with the fleet."""
    case = Case(tmp_path)
    case.take(-1, 5, make_row(1), make_row(2))
    case.take(5, 6, make_row(3))
    assert case.names() == ['d1', 'd2', 'd3']
    document = case.follower.document(5)
    assert (document.start, document.end) == (5, 6)
    assert document.rows == [make_row(3)]
    assert case.updates == 2


def test_whole_document_where_the_start_is_not_known(tmp_path) -> None:
    """The history may no longer have the records that the peer lacks."""
    case = Case(tmp_path)
    case.take(-1, 5, make_row(1), make_row(2))
    document = case.follower.document(3)
    assert document.start == -1
    assert len(document.rows) == 2


def test_document_with_a_gap_is_not_taken(tmp_path) -> None:
    """A member in the gap would hold a share of a limit unseen by this one."""
    case = Case(tmp_path)
    case.take(-1, 5, make_row(1))
    case.take(7, 8, make_row(2))
    assert case.names() == ['d1']
    assert case.knowledge.members_end_offset == 5


def test_records_known_already_are_left_out(tmp_path) -> None:
    """Two peers may send the same records."""
    case = Case(tmp_path)
    case.take(-1, 5, make_row(1))
    case.take(5, 6, make_row(2))
    case.take(5, 7, make_row(2), ('d1', b''))
    assert case.names() == ['d2']
    assert case.follower.document(5).rows == [make_row(2), ('d1', b'')]


def test_older_document_changes_nothing(tmp_path) -> None:
    """A delayed document must not bring back older records."""
    case = Case(tmp_path)
    case.take(-1, 5, make_row(1), make_row(2))
    case.take(-1, 4, make_row(1))
    assert case.names() == ['d1', 'd2']


def test_record_is_written_once_and_renewed(tmp_path) -> None:
    """Renewals distinguish running daemons from those that have ended."""
    case = Case(tmp_path)
    case.read()
    case.read()
    assert [record.key for record in case.store.records] == ['d0']
    assert not case.follower._must_read
    case.clock.advance(member_follower.RENEWAL_INTERVAL_S + 1.0)
    assert case.follower._must_read
    case.read()
    assert [record.key for record in case.store.records] == ['d0', 'd0']


def test_record_of_an_ended_daemon_expires(tmp_path) -> None:
    """Otherwise it would hold a share of each limit for ever."""
    case = Case(tmp_path)
    key, value = make_row(1)
    case.store.records.append(store.StoredRecord(key=key, value=value))
    case.read()
    assert case.names() == ['d0', 'd1']
    for _ in range(4):
        case.clock.advance(0.3 * member_follower.RECORD_EXPIRY_S)
        case.read()
    case.read()
    assert case.names() == ['d0']
    assert store.StoredRecord(key='d1', value=b'') in case.store.records


def test_deletion_outlasts_a_store_that_comes_back_from_a_copy(
    tmp_path,
) -> None:
    """Guards against members that have ended and hold a share of limits."""
    case = Case(tmp_path)
    case.store.records = [
        store.StoredRecord(key=key, value=value)
        for key, value in (make_row(0), make_row(1))
    ]
    case.read()
    case.take(2, 3, ('d1', b''))
    assert case.names() == ['d0']
    case.store.era = 1
    case.follower._reset_offset()
    case.read()
    assert case.store.records[-1] == store.StoredRecord(key='d1', value=b'')


def test_daemon_with_a_deleted_record_writes_it_again(tmp_path) -> None:
    """A daemon that could not renew its record for long is still alive."""
    case = Case(tmp_path)
    case.read()
    case.store.records.append(store.StoredRecord(key='d0', value=b''))
    case.read()
    assert case.store.records[-1].value


# Guards against members that are known but not in use after an error.
def test_members_that_fail_to_apply_are_applied_again(tmp_path) -> None:
    """They are with the next read, although no record has changed."""
    case = Case(tmp_path)
    case.read()
    key, value = make_row(1)
    case.store.records.append(store.StoredRecord(key=key, value=value))
    case.follower._on_members = lambda members: members[9]
    with pytest.raises(IndexError):
        case.read()
    case.follower._on_members = case.set_members
    case.read()
    assert case.names() == ['d0', 'd1']


# Guards against knowledge that looks newer than it is, so that a withdrawn
# key or a share of a limit is used for too long.
def test_empty_read_that_ends_early_shows_its_start(tmp_path) -> None:
    """The store may have made the response at any time since then."""
    case = Case(tmp_path)
    case.read()
    case.read()
    asyncio.run(case.follower._async_read(2.0))
    assert case.knowledge.members_age_s == 0.0


# Guards against a new member that spends its share of each limit before the
# other daemons know of it, since it reads a record that it has just written.
def test_member_is_new_though_a_response_was_lost(tmp_path) -> None:
    """The second read returns the record."""
    case = Case(tmp_path)
    case.store.loses_response = True
    with pytest.raises(exceptions.LogOutcomeUnknownError):
        case.read()
    assert not case.registrations
    case.read()
    assert case.registrations == [False]


def test_restarted_member_is_not_new(tmp_path) -> None:
    """Its record is there, so that its share has not been given to others."""
    case = Case(tmp_path)
    key, value = make_row(0)
    case.store.records.append(store.StoredRecord(key=key, value=value))
    case.read()
    assert case.registrations == [True]


# Guards against a daemon that spends its share of each limit although a late
# deletion by its former process has passed the share to others.
@pytest.mark.parametrize('source', ['store', 'peer', 'whole_from_peer'])
def test_deleted_member_is_new(tmp_path, source) -> None:
    """It is none until its record is written, and waits like any new one."""
    case = Case(tmp_path)
    for index in (0, 1):
        key, value = make_row(index)
        case.store.records.append(store.StoredRecord(key=key, value=value))
    case.read()
    assert case.registrations == [True]
    case.store.records.append(store.StoredRecord(key='d0', value=b''))
    if source == 'peer':
        case.take(2, 3, ('d0', b''))
        assert case.names() == ['d1']
    elif source == 'whole_from_peer':
        case.take(-1, 3, make_row(1))
    case.read()
    assert case.names() == ['d0', 'd1']
    assert case.registrations == [True, False]
    assert case.store.records[-1] == store.StoredRecord(
        key='d0', value=make_row(0)[1]
    )


# Guards against a share that is spent without the wait of a new member, since
# a peer has read the record before its writer has the response.
def test_record_known_from_a_peer_registers_nobody(tmp_path) -> None:
    """The share counts from the registration on."""
    case = Case(tmp_path)
    for index in (0, 1):
        key, value = make_row(index)
        case.store.records.append(store.StoredRecord(key=key, value=value))
    case.read()
    case.take(2, 3, ('d0', b''))
    case.take(3, 4, make_row(0))
    assert case.names() == ['d1']
    case.store.records.append(store.StoredRecord(key='d0', value=b''))
    case.store.records.append(
        store.StoredRecord(key='d0', value=make_row(0)[1])
    )
    case.read()
    assert case.names() == ['d0', 'd1']
    assert case.registrations == [True, False]


def test_member_that_peers_do_not_know_yet_stays_one(tmp_path) -> None:
    """Their records may be older than its own."""
    case = Case(tmp_path)
    case.read()
    case.take(-1, 9, make_row(1))
    assert case.names() == ['d0', 'd1']
    assert case.registrations == [False]
