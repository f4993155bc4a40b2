"""Tests of the limit on bytes in memory."""

from sassafraswood.state import held_bytes


def test_limit_is_not_exceeded() -> None:
    """Guards against counting a reservation that was refused."""
    held = held_bytes.ByteBudget(10)
    assert held.take(6)
    assert not held.take(5)
    assert held.take(4)
    held.release(6)
    assert held.count == 4
    assert held.take(6)
