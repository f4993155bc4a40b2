"""Owners, guardians and terms of partitions, folded from the log."""

import functools
from typing import Iterable

import msgspec

from sassafraswood import const
from sassafraswood.models import ids
from sassafraswood.models import records

PartitionRecord = (
    records.ClaimPartition | records.TransferPartition | records.ChangeGuardian
)
PartitionKey = tuple[ids.ServiceName, int]

# Shortest wait after which every lease that the last owner got from a read
# of the log or from a guardian who then claims has expired.
SHORT_WAIT_S = const.LEASE_S + const.LEASE_MARGIN_S


def required_wait_s(
    entry: records.PartitionEntry | None, record: records.ClaimPartition
) -> float:
    """Return the shortest wait in seconds with which a claim is accepted.

    A claim also waits at least as long as the term that it replaces, because
    the log doesn't tell whether that term had begun; an owner before it may
    hold a lease for the rest of that wait.
    """
    if entry is None or entry.released:
        return 0.0
    if record.reclaimed_by_operator:
        return SHORT_WAIT_S
    if record.owner == entry.guardian:
        return max(SHORT_WAIT_S, entry.wait_s)
    return max(const.MAX_LEASE_WITHOUT_LOG_S + SHORT_WAIT_S, entry.wait_s)


class PartitionTable:
    """Pure fold of partition records.

    Records are applied in the order of their offsets. The result depends on
    the records alone, so that all daemons agree.
    """

    def __init__(self) -> None:
        """Start without partitions."""
        self._entries: dict[PartitionKey, records.PartitionEntry] = {}

    def get(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry in force, or None for a partition never owned."""
        return self._entries.get((service, partition))

    def entries(self) -> list[records.PartitionEntry]:
        """Return all entries, for a snapshot."""
        return list(self._entries.values())

    def restore(self, entries: Iterable[records.PartitionEntry]) -> None:
        """Take the entries of a snapshot instead of the present ones."""
        self._entries = {(e.service, e.partition): e for e in entries}

    def apply(self, record: PartitionRecord, offset: ids.Offset) -> bool:
        """Fold a record; return whether it was accepted."""
        if not 0 <= record.partition < const.PARTITIONS_PER_SERVICE:
            return False
        key = (record.service, record.partition)
        entry = next_entry(record, self._entries.get(key), offset)
        if entry is None:
            return False
        self._entries[key] = entry
        return True


@functools.singledispatch
def next_entry(
    record: PartitionRecord,
    entry: records.PartitionEntry | None,
    offset: ids.Offset,
) -> records.PartitionEntry | None:
    """Return the entry that follows, or None if the record is rejected.

    Args:
        record: The record to fold.
        entry: The entry in force, or None for a partition never owned.
        offset: Offset of the record.
    """
    raise TypeError(f'{type(record).__name__} is no partition record')


@next_entry.register
def _(
    record: records.ClaimPartition,
    entry: records.PartitionEntry | None,
    offset: ids.Offset,
) -> records.PartitionEntry | None:
    term = ids.Term(0) if entry is None else entry.term
    if record.replaces != term:
        return None
    # Written so that NaN is rejected as well.
    if not record.wait_s >= required_wait_s(entry, record):
        return None
    return proposed_entry(record, offset)


@next_entry.register
def _(
    record: records.TransferPartition,
    entry: records.PartitionEntry | None,
    offset: ids.Offset,
) -> records.PartitionEntry | None:
    if entry is None or entry.released or record.replaces != entry.term:
        return None
    if record.sender != entry.owner:
        return None
    if record.release and record.owner != record.sender:
        return None
    proposed = proposed_entry(record, offset)
    if not record.with_state or record.release:
        return proposed
    return msgspec.structs.replace(
        proposed, continuous_since=entry.continuous_since
    )


@next_entry.register
def _(
    record: records.ChangeGuardian,
    entry: records.PartitionEntry | None,
    offset: ids.Offset,
) -> records.PartitionEntry | None:
    if entry is None or entry.released or record.term != entry.term:
        return None
    if record.sender != entry.owner:
        return None
    if record.replaces_version != entry.guardian_version:
        return None
    if record.guardian == entry.owner:
        return None
    # An owner changes its guardian only after its term began.
    return msgspec.structs.replace(
        entry,
        guardian=record.guardian,
        guardian_version=entry.guardian_version + 1,
        wait_s=0.0,
    )


def proposed_entry(
    record: records.ClaimPartition | records.TransferPartition,
    offset: ids.Offset,
) -> records.PartitionEntry:
    """Return the entry of a record if it is accepted without state."""
    wait_s = 0.0
    released = False
    if isinstance(record, records.ClaimPartition):
        wait_s = record.wait_s
    else:
        released = record.release
    term = ids.Term(record.replaces + 1)
    guardian = None if record.guardian == record.owner else record.guardian
    return records.PartitionEntry(
        service=record.service,
        partition=record.partition,
        term=term,
        owner=record.owner,
        guardian=guardian,
        offset=offset,
        wait_s=wait_s,
        continuous_since=term,
        released=released,
    )
