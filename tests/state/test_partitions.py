"""Tests of the partition table."""

import math
from typing import Any

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from sassafraswood import const
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.state import partitions

SERVICE = ids.ServiceName('ordering')
SHORT_S = const.LEASE_S + const.LEASE_MARGIN_S
LONG_S = const.MAX_LEASE_WITHOUT_LOG_S + SHORT_S


def holder(name: str, incarnation: int = 1) -> records.Holder:
    """Return a holder."""
    return records.Holder(
        daemon_id=ids.DaemonId(name), incarnation=ids.Incarnation(incarnation)
    )


A, B, C = holder('a'), holder('b'), holder('c')


def claim(owner: records.Holder, **changes: Any) -> records.ClaimPartition:
    """Return a claim, by default one that replaces the first term."""
    first = records.ClaimPartition(
        service=SERVICE,
        partition=0,
        replaces=ids.Term(1),
        owner=owner,
        guardian=C,
        wait_s=SHORT_S,
    )
    return msgspec.structs.replace(first, **changes)


def transfer(**changes: Any) -> records.TransferPartition:
    """Return a transfer from A to C that replaces the first term."""
    first = records.TransferPartition(
        service=SERVICE,
        partition=0,
        replaces=ids.Term(1),
        sender=A,
        owner=C,
        guardian=B,
        with_state=True,
    )
    return msgspec.structs.replace(first, **changes)


def change(guardian: records.Holder, version: int) -> records.ChangeGuardian:
    """Return a change of guardian by A in the first term."""
    return records.ChangeGuardian(
        service=SERVICE,
        partition=0,
        term=ids.Term(1),
        sender=A,
        guardian=guardian,
        replaces_version=version,
    )


@pytest.fixture
def table() -> partitions.PartitionTable:
    """Return a table with owner A and guardian B in term 1."""
    table = partitions.PartitionTable()
    first = claim(A, replaces=ids.Term(0), guardian=B, wait_s=0.0)
    assert table.apply(first, ids.Offset(0))
    return table


@pytest.mark.parametrize(
    ('record', 'accepted'),
    [
        (claim(B), True),
        (claim(B, wait_s=SHORT_S - 0.1), False),
        (claim(B, wait_s=math.nan), False),
        (claim(B, replaces=ids.Term(0)), False),
        (claim(holder('b', 2)), False),
        (claim(C), False),
        (claim(C, wait_s=LONG_S), True),
        (claim(C, wait_s=LONG_S - 0.1), False),
        (claim(A), False),
        (claim(C, reclaimed_by_operator=True), True),
        (claim(C, reclaimed_by_operator=True, wait_s=1.0), False),
        (claim(B, partition=3), False),
        (transfer(), True),
        (transfer(sender=B), False),
        (transfer(sender=holder('a', 2)), False),
        (transfer(replaces=ids.Term(0)), False),
        (transfer(release=True), False),
        (change(C, 0), True),
        (change(C, 1), False),
        (change(A, 0), False),
    ],
)
def test_only_valid_records_are_accepted(
    table: partitions.PartitionTable,
    record: partitions.PartitionRecord,
    accepted: bool,
) -> None:
    """Guards against a term that begins while another owner may serve."""
    before = table.entries()
    assert table.apply(record, ids.Offset(1)) is accepted
    assert (table.entries() == before) is not accepted


def test_second_of_two_claims_is_rejected(
    table: partitions.PartitionTable,
) -> None:
    """Guards against a second term that begins with a repeated append."""
    assert table.apply(claim(B), ids.Offset(1))
    assert not table.apply(claim(B), ids.Offset(2))
    entry = table.get(SERVICE, 0)
    assert entry is not None and (entry.term, entry.offset) == (2, 1)


def test_late_copy_of_a_change_is_rejected(
    table: partitions.PartitionTable,
) -> None:
    """Guards against a former guardian that claims with a short wait."""
    assert table.apply(change(C, 0), ids.Offset(1))
    assert table.apply(change(B, 1), ids.Offset(2))
    assert not table.apply(change(C, 0), ids.Offset(3))


def test_claim_waits_as_long_as_the_claim_it_replaces(
    table: partitions.PartitionTable,
) -> None:
    """Guards against a short wait to replace a term that has not begun.

    Promises may extend the lease of owner A for the whole long wait.
    """
    assert table.apply(claim(C, guardian=B, wait_s=LONG_S), ids.Offset(1))
    second = claim(B, replaces=ids.Term(2))
    assert not table.apply(second, ids.Offset(2))
    # An owner changes its guardian only once its term has begun.
    begun = msgspec.structs.replace(change(B, 0), term=ids.Term(2), sender=C)
    assert table.apply(begun, ids.Offset(3))
    assert table.apply(second, ids.Offset(4))


def test_released_partition_is_claimed_without_wait(
    table: partitions.PartitionTable,
) -> None:
    """Guards against hours without an owner after the last daemon stops."""
    assert table.apply(transfer(owner=A, release=True), ids.Offset(1))
    first = claim(C, replaces=ids.Term(2), wait_s=0.0)
    assert table.apply(first, ids.Offset(2))
    entry = table.get(SERVICE, 0)
    # The state of idempotency keys is lost when a partition is released.
    assert entry is not None and entry.continuous_since == 3


def test_transfer_without_state_breaks_continuity(
    table: partitions.PartitionTable,
) -> None:
    """Guards against continuity without a hand-over of idempotency keys."""
    assert table.apply(transfer(), ids.Offset(1))
    entry = table.get(SERVICE, 0)
    assert entry is not None and entry.continuous_since == 1
    without = transfer(
        replaces=ids.Term(2), sender=C, owner=A, with_state=False
    )
    assert table.apply(without, ids.Offset(2))
    entry = table.get(SERVICE, 0)
    assert entry is not None and entry.continuous_since == 3


_HOLDERS = strategies.sampled_from([A, B, C, holder('a', 2)])
_TERMS = strategies.integers(0, 4).map(ids.Term)
_RECORDS = strategies.one_of(
    strategies.builds(
        claim,
        _HOLDERS,
        replaces=_TERMS,
        guardian=_HOLDERS | strategies.none(),
        wait_s=strategies.sampled_from([0.0, SHORT_S, LONG_S, math.nan]),
        reclaimed_by_operator=strategies.booleans(),
    ),
    strategies.builds(
        transfer,
        replaces=_TERMS,
        sender=_HOLDERS,
        owner=_HOLDERS,
        guardian=_HOLDERS | strategies.none(),
        with_state=strategies.booleans(),
    ),
    strategies.builds(change, _HOLDERS, strategies.integers(0, 3)),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.lists(_RECORDS, max_size=30), strategies.integers(0, 30)
)
def test_result_is_the_same_from_any_restored_table(
    log: list[partitions.PartitionRecord], cut: int
) -> None:
    """Guards against owners that depend on where a daemon began to read.

    Also checks that the term never decreases or skips a number.
    """
    full = partitions.PartitionTable()
    restored = partitions.PartitionTable()
    term = 0
    for number, record in enumerate(log):
        if number == cut:
            restored.restore(full.entries())
        offset = ids.Offset(number)
        accepted = full.apply(record, offset)
        if number >= cut:
            assert restored.apply(record, offset) is accepted
            assert restored.entries() == full.entries()
        entry = full.get(SERVICE, 0)
        if entry is not None:
            assert entry.term - term in (0, 1)
            term = entry.term
