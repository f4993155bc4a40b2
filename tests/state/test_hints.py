"""Tests of the table of peer loads."""

from sassafraswood.models import ids
from sassafraswood.state import hints


def test_find_adds_no_entry() -> None:
    """Guards against a table that grows with each lookup of a peer."""
    table = hints.HintTable()
    name = ids.DaemonId('a')
    assert table.find(name) is None
    assert len(table) == 0
    table.get(name).in_flight += 1
    assert table.get(name).in_flight == 1
    table.remove(name)
    table.remove(name)
    assert table.items() == []
