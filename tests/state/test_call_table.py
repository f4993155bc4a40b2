"""Tests of the table of calls by token."""

from sassafraswood.models import ids
from sassafraswood.state import call_table


def test_only_entries_past_their_deadline_are_removed() -> None:
    """Guards against expiring calls in the order in which they were added."""
    table: call_table.CallTable[str] = call_table.CallTable()
    table.add(ids.CallToken('a'), 9.0, 'late')
    table.add(ids.CallToken('b'), 3.0, 'early')
    table.remove_until(3.0)
    assert table.get(ids.CallToken('b')) is None
    stored = table.get(ids.CallToken('a'))
    assert stored is not None and stored.entry == 'late'


def test_heap_is_rebuilt_after_many_removals() -> None:
    """Guards against a heap that grows with calls that end early."""
    table: call_table.CallTable[int] = call_table.CallTable()
    for number in range(5000):
        token = ids.CallToken(str(number))
        table.add(token, 1000.0 + number, number)
        table.remove(token)
    assert len(table) == 0
    assert len(table._by_deadline) < 100
