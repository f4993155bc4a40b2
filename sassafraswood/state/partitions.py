"""Table of the owners, guardians and terms of partitions."""

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

# Shortest wait in seconds after which every lease has expired that the last
# owner got from reading the log or from a guardian that then claims the
# partition.
SHORT_WAIT_S = const.LEASE_S + const.LEASE_MARGIN_S


def required_wait_s(
    entry: records.PartitionEntry | None, record: records.ClaimPartition
) -> float:
    """Return the shortest wait in seconds with which a claim is accepted.

    A claim also waits at least as long as the term that it replaces. The log
    does not show whether that term has begun, so an earlier owner may hold a
    lease for the rest of that wait.
    """
    if entry is None or entry.released:
        return 0.0
    if record.reclaimed_by_operator:
        return SHORT_WAIT_S
    if record.owner == entry.guardian:
        return max(SHORT_WAIT_S, entry.wait_s)
    return max(const.MAX_LEASE_WITHOUT_LOG_S + SHORT_WAIT_S, entry.wait_s)


class PartitionTable:
    """Partition entries, computed from the partition records of the log.

    Records are applied in the order of their offsets. The result depends on
    the records alone, so that all daemons agree.
    """

    def __init__(self) -> None:
        """Create an empty table."""
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
        """Replace all entries by those of a snapshot."""
        self._entries = {
            (entry.service, entry.partition): entry for entry in entries
        }

    def apply(self, record: PartitionRecord, offset: ids.Offset) -> bool:
        """Apply a record; return whether it was accepted."""
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
    """Return the entry after a record, or None if the record is rejected.

    Args:
        record: The record to apply.
        entry: The entry in force, or None for a partition never owned.
        offset: Offset of the record.
    """
    raise TypeError(f'{type(record).__name__} is not a partition record')


@next_entry.register
def _(
    record: records.ClaimPartition,
    entry: records.PartitionEntry | None,
    offset: ids.Offset,
) -> records.PartitionEntry | None:
    term = ids.Term(0) if entry is None else entry.term
    if record.replaces != term:
        return None
    # A comparison with NaN is false, so this form rejects NaN as well.
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
    # An owner changes its guardian only after its term has begun, so no claim
    # needs to wait for that term any more.
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
    """Return the entry that an accepted record without state gives."""
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
