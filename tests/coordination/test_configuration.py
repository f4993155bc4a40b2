"""Tests of the state that results from the log."""

from collections.abc import Sequence
import hashlib
import typing

import hypothesis
from hypothesis import strategies
import pytest

from sassafraswood import const
from sassafraswood.coordination import configuration
from sassafraswood import exceptions
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.protocol import codec
from sassafraswood.protocol import documents

_KEYS = [hashlib.sha256(key.encode()).hexdigest() for key in 'xyz']
_NAMES = strategies.sampled_from(['a', 'b', 'c'])
_IDS = strategies.sampled_from([f'p{number}' for number in range(12)])
_VERSIONS = strategies.integers(0, 3)
_HOLDERS = strategies.builds(
    records.Holder, daemon_id=_NAMES, incarnation=_VERSIONS
)


class _FakePartitions:
    """Partitions that accept claims which replace the term in force."""

    def __init__(self) -> None:
        self._entries: dict[typing.Any, records.PartitionEntry] = {}

    def apply(self, record: records.Record, offset: ids.Offset) -> bool:
        if not isinstance(record, records.ClaimPartition):
            return False
        known = self.get(record.service, record.partition)
        if record.replaces != (0 if known is None else known.term):
            return False
        term = ids.Term(record.replaces + 1)
        self._entries[record.service, record.partition] = (
            records.PartitionEntry(
                service=record.service,
                partition=record.partition,
                term=term,
                owner=record.owner,
                guardian=record.guardian,
                offset=offset,
                wait_s=record.wait_s,
                continuous_since=term,
            )
        )
        return True

    def get(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        return self._entries.get((service, partition))

    def entries(self) -> list[records.PartitionEntry]:
        return list(self._entries.values())

    def restore(self, entries: list[records.PartitionEntry]) -> None:
        self._entries = {(e.service, e.partition): e for e in entries}


def _new_state() -> configuration.Configuration:
    return configuration.Configuration(
        decode=codec.decode_record,
        check_document=documents.check_document,
        partitions=_FakePartitions(),
    )


def _make_document(service: str, rate: float = 1.0) -> dict[str, typing.Any]:
    return {
        'version': 1,
        'service': service,
        'routes': [{'path': '/**'}],
        'workspaces': {'own': {'rate': rate, 'burst': 1}},
    }


def _make_publication(
    publication_id: str, replaces: int, service: str = 'a', rate: float = 1.0
) -> records.Publish:
    return records.Publish(
        publication_id=ids.PublicationId(publication_id),
        service=ids.ServiceName(service),
        replaces=ids.Revision(replaces),
        document=_make_document(service, rate),
    )


def _make_grant(
    publication_id: str, key_id: str, key: int = 0
) -> records.GrantKey:
    return records.GrantKey(
        publication_id=ids.PublicationId(publication_id),
        key_id=ids.KeyId(key_id),
        workspace=ids.Workspace('own'),
        key_sha256=_KEYS[key],
    )


def _make_withdrawal(publication_id: str, key_id: str) -> records.WithdrawKey:
    return records.WithdrawKey(
        publication_id=ids.PublicationId(publication_id),
        key_id=ids.KeyId(key_id),
    )


def _make_entries(
    bodies: Sequence[records.Record | str],
) -> list[records.LogEntry]:
    return [
        records.LogEntry(
            offset=ids.Offset(offset),
            body=body if isinstance(body, str) else codec.encode_record(body),
        )
        for offset, body in enumerate(bodies)
    ]


def _apply_all(
    bodies: Sequence[records.Record | str],
) -> configuration.Configuration:
    state = _new_state()
    for entry in _make_entries(bodies):
        state.apply(entry)
    return state


def _get_status(
    state: configuration.Configuration, publication_id: str
) -> str:
    entry = state.publication(ids.PublicationId(publication_id))
    assert entry is not None
    return entry.status.value


_RECORDS = strategies.one_of(
    strategies.builds(
        _make_publication, _IDS, _VERSIONS, _NAMES, strategies.floats(-1, 9)
    ),
    strategies.builds(_make_grant, _IDS, _NAMES, strategies.integers(0, 2)),
    strategies.builds(_make_withdrawal, _IDS, _NAMES),
    strategies.builds(
        records.Announce,
        member=strategies.builds(
            records.Member,
            daemon_id=_NAMES,
            incarnation=_VERSIONS,
            version=_VERSIONS,
            service=_NAMES,
            failure_domain=_NAMES,
            region=_NAMES,
            peer_address=_NAMES,
            http_address=_NAMES,
        ),
    ),
    strategies.builds(records.Leave, daemon_id=_NAMES, incarnation=_VERSIONS),
    strategies.builds(
        records.ClaimPartition,
        service=_NAMES,
        partition=strategies.just(0),
        replaces=_VERSIONS,
        owner=_HOLDERS,
        guardian=_HOLDERS,
        wait_s=strategies.just(11.0),
    ),
    strategies.builds(
        records.QuarantineFingerprint,
        fingerprint=_NAMES,
        service=_NAMES,
        until_unix_s=strategies.floats(0, 9),
    ),
    strategies.sampled_from(['', '{"type":"newer"}', '[1]', '{"type":']),
)
_LOGS = strategies.lists(_RECORDS, max_size=40)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(_LOGS, strategies.integers(0, 40), strategies.integers(0, 9))
def test_snapshot_and_tail_equal_the_full_log(
    log: list, cut: int, overlap: int
) -> None:
    """Guards against daemons whose state depends on how they started.

    Some read the whole log, others a snapshot and the records after it.
    """
    full = _apply_all(log)
    head = _apply_all(log[:cut])
    body = codec.encode_record(head.snapshot())
    snapshot = codec.decode_record(body)
    assert isinstance(snapshot, records.Snapshot)
    restored = _new_state()
    assert restored.apply_snapshot(snapshot) == (head.next_offset > 0)
    # Batches from the log and from peers may overlap.
    for entry in _make_entries(log)[max(0, cut - overlap) :]:
        restored.apply(entry)
    assert restored.snapshot() == full.snapshot()
    # A daemon past the snapshot ignores it, from the log and from a peer.
    before = full.snapshot()
    assert not full.apply_snapshot(snapshot)
    full.apply(records.LogEntry(offset=full.next_offset, body=body))
    after = full.snapshot()
    assert after.next_offset == before.next_offset + 1
    assert (after.documents, after.keys) == (before.documents, before.keys)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(_LOGS)
def test_state_in_force_never_reverts(log: list) -> None:
    """Guards against the return of an older revision or a withdrawn key."""
    state = _new_state()
    revisions: dict[str, int] = {}
    withdrawn: set[str] = set()
    results: dict[str, records.PublicationEntry] = {}
    for entry in _make_entries(log):
        state.apply(entry)
        state.apply(entry)
        for item in state.documents():
            step = item.revision - revisions.get(item.service, 0)
            assert step in (0, 1)
            revisions[item.service] = item.revision
        withdrawn |= {
            key.key_id for key in state.snapshot().keys if key.withdrawn
        }
        assert not any(state.is_key_valid(ids.KeyId(k)) for k in withdrawn)
        for result in state.snapshot().publications:
            first = results.setdefault(result.publication_id, result)
            assert result == first


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    # Larger numbers of slots are tested separately below.
    _LOGS.filter(
        lambda log: (
            not any(
                isinstance(record, records.Announce)
                and abs(record.member.slots) >= 2**63
                for record in log
            )
        )
    ),
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['records', 'snapshot']),
            strategies.integers(0, 40),
            strategies.integers(1, 15),
        ),
        max_size=12,
    ),
)
def test_any_delivery_leads_to_the_same_state(
    log: list, deliveries: list[tuple[str, int, int]]
) -> None:
    """Guards against late or repeated deliveries that revert the state."""
    entries = _make_entries(log)
    daemon = _new_state()
    revisions: dict[str, int] = {}
    for kind, start, length in deliveries:
        if kind == 'snapshot':
            daemon.apply_snapshot(_apply_all(log[:start]).snapshot())
        for entry in entries[start : start + length]:
            if kind == 'records' and entry.offset <= daemon.next_offset:
                daemon.apply(entry)
        assert (
            daemon.snapshot()
            == _apply_all(log[: daemon.next_offset]).snapshot()
        )
        found = {item.service: item.revision for item in daemon.documents()}
        for service, revision in revisions.items():
            assert found[ids.ServiceName(service)] >= revision
        revisions.update(found)


@pytest.mark.parametrize('slots', [2**63, 2**64, -(2**63) - 1])
def test_announcement_with_large_slots_does_not_raise(slots: int) -> None:
    """Guards against a record that ends each daemon that reads the log."""

    def announce(number: int) -> records.Announce:
        member = records.Member(
            daemon_id=ids.DaemonId('d'),
            incarnation=ids.Incarnation(1),
            version=1,
            service=ids.ServiceName('a'),
            failure_domain=ids.FailureDomain('f'),
            region='r',
            peer_address='10.0.0.1:1',
            http_address='10.0.0.1:2',
            status=enums.MemberStatus.ACTIVE,
            upstream_status=enums.UpstreamStatus.READY,
            slots=number,
        )
        return records.Announce(member=member)

    state = _apply_all([announce(1), announce(slots)])
    assert state.next_offset == 2


def test_one_of_two_concurrent_publications_is_accepted() -> None:
    """Guards against a revision that silently replaces another (R12)."""
    state = _apply_all(
        [
            _make_publication('p1', 0, rate=1),
            _make_publication('p2', 0, rate=2),
        ]
    )
    assert _get_status(state, 'p1') == 'accepted'
    assert _get_status(state, 'p2') == 'conflict'
    entry = state.document(ids.ServiceName('a'))
    assert entry is not None
    assert entry.document.workspaces[ids.Workspace('own')].rate == 1


def test_repeated_publication_is_applied_once() -> None:
    """Guards against a retry after a lost response that counts twice."""
    state = _apply_all(
        [
            _make_publication('p1', 0),
            _make_publication('p1', 0),
            _make_publication('p2', 1),
            _make_publication('p1', 2, rate=9),
        ]
    )
    entry = state.document(ids.ServiceName('a'))
    assert entry is not None and entry.revision == 2
    assert _get_status(state, 'p1') == 'accepted'


def test_invalid_document_is_recorded_and_replaces_nothing() -> None:
    """Guards against an invalid document that removes that in force."""
    state = _apply_all(
        [_make_publication('p1', 0), _make_publication('p2', 1, rate=-1)]
    )
    entry = state.publication(ids.PublicationId('p2'))
    assert entry is not None
    assert entry.status is enums.PublicationStatus.INVALID
    assert '.rate' in entry.detail
    in_force = state.document(ids.ServiceName('a'))
    assert in_force is not None and in_force.revision == 1


def test_withdrawn_keys_stay_withdrawn() -> None:
    """Guards against a withdrawn key that becomes valid again (R5)."""
    state = _apply_all(
        [
            _make_grant('p1', 'k1'),
            _make_withdrawal('p2', 'k1'),
            _make_grant('p3', 'k1', 1),
            _make_grant('p4', 'k2', 0),
            _make_withdrawal('p5', 'k3'),
        ]
    )
    assert not state.is_key_valid(ids.KeyId('k1'))
    found = state.find_key('x')
    assert found is not None and found.withdrawn
    for publication_id in ('p3', 'p4', 'p5'):
        assert _get_status(state, publication_id) == 'conflict'
    assert state.find_key('y') is None


def test_key_works_once_granted_after_a_miss() -> None:
    """Guards against a new key refused because of a cached miss."""
    state = _new_state()
    assert state.find_key('x') is None
    state.apply(_make_entries([_make_grant('p1', 'k1')])[0])
    assert state.find_key('x') is not None
    assert state.is_key_valid(ids.KeyId('k1'))


def test_missing_entries_raise() -> None:
    """Guards against applying entries after a gap."""
    entries = _make_entries(
        [_make_publication('p1', 0), _make_publication('p2', 1)]
    )
    with pytest.raises(exceptions.OffsetGapError) as caught:
        _new_state().apply(entries[1])
    assert (caught.value.expected, caught.value.found) == (0, 1)


def test_reader_past_retention_starts_from_a_snapshot_record() -> None:
    """Guards against daemons that cannot start once old records are gone."""
    log: list[records.Record | str] = [
        _make_publication('p1', 0),
        _make_grant('p2', 'k1'),
    ]
    log.append(_apply_all(log).snapshot())
    log += [_make_publication('p3', 1), '']
    log.append(_apply_all(log[:4]).snapshot())
    log.append(_make_withdrawal('p4', 'k1'))
    full = _apply_all(log)
    # Offset 4 and later are kept; the first snapshot is gone.
    kept = _make_entries(log)[4:]
    reader = _new_state()
    assert reader.apply_newest_snapshot(kept)
    assert reader.next_offset == 4
    for entry in kept:
        reader.apply(entry)
    assert reader.snapshot() == full.snapshot()
    # A daemon that has applied only earlier entries uses the snapshot too.
    behind = _new_state()
    behind.apply(_make_entries(log)[0])
    assert behind.apply_newest_snapshot(kept)
    assert behind.entries_from(ids.Offset(3)) is None
    # A snapshot whose following records are not kept would leave a gap.
    assert not _new_state().apply_newest_snapshot(_make_entries(log)[5:])


def test_kept_entries_and_results_are_limited() -> None:
    """Guards against memory that grows with the log."""
    state = _new_state()
    total = const.MAX_PUBLICATION_RESULTS + 10
    for number in range(total):
        body = codec.encode_record(_make_withdrawal(f'p{number}', 'k'))
        state.apply(records.LogEntry(offset=ids.Offset(number), body=body))
    assert len(state.snapshot().publications) == (
        const.MAX_PUBLICATION_RESULTS
    )
    first = total - const.MAX_RECENT_ENTRIES
    assert state.entries_from(ids.Offset(first - 1)) is None
    kept = state.entries_from(ids.Offset(first))
    assert kept is not None and kept[0].offset == first
    assert state.entries_from(ids.Offset(total)) == []
    huge = 'x' * (const.MAX_RECENT_ENTRY_BYTES + 1)
    state.apply(records.LogEntry(offset=ids.Offset(total), body=huge))
    assert state.entries_from(ids.Offset(total)) is None
