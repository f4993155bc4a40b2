"""Tests of the clocks."""

from sassafraswood import clock


def test_manual_clock_advances_both_times() -> None:
    """Guards against a manual clock whose two times drift apart."""
    manual = clock.ManualClock(monotonic_s=5.0, wall_s=100.0)
    manual.advance(2.5)
    assert manual.monotonic() == 7.5
    assert manual.wall() == 102.5
