"""Tests of writes and positions in a store that comes back from a copy."""

from sassafraswood import clock
from sassafraswood.coordination import store_era


def test_positions_of_a_later_era_are_greater() -> None:
    """Guards against offsets that are given out again and look old."""
    before = store_era.make_position(1, 1_000_000)
    after = store_era.make_position(2, 3)
    assert after > before
    assert store_era.get_era(after) == 2
    assert store_era.get_offset(after) == 3
    assert store_era.get_era(-1) == 0


def test_writes_of_an_earlier_era_are_lost_until_written_again() -> None:
    """Only the newest write of a key is written again, while it may lack."""
    now = clock.ManualClock()
    writes = store_era.RecentWrites(now)
    assert not writes.note_era(4)
    writes.note_write('t', 'old', b'1', 4)
    now.advance(store_era.MAX_COPY_AGE_S + 1.0)
    writes.note_write('t', 'a', b'1', 4)
    writes.note_write('t', 'a', b'2', 4)
    assert not writes.find_lost()
    assert writes.note_era(5)
    assert not writes.note_era(4)
    assert writes.find_lost() == [('t', 'a', b'2')]
    writes.note_write('t', 'a', b'2', 5)
    assert not writes.find_lost()
