"""Tests of the levels of calls below an upstream."""

from sassafraswood.coordination import call_depth


def test_most_levels_count() -> None:
    """Some calls lead to more of them than others."""
    depth = call_depth.CallDepth()
    assert depth.depth is None
    for number, levels in enumerate((1, 2, 0)):
        depth.note(levels, 10.0 + number)
    assert depth.depth == 2


def test_levels_that_are_not_seen_any_more_are_forgotten() -> None:
    """A changed service may call less."""
    depth = call_depth.CallDepth()
    depth.note(2, 10.0)
    depth.note(0, 10.0 + call_depth.MEMORY_S + 1.0)
    assert depth.depth == 0


def test_services_that_call_each_other_in_a_circle() -> None:
    """Each answer would be a level deeper than the last one."""
    depth = call_depth.CallDepth()
    for number in range(100):
        depth.note((depth.depth or 0) + 1, float(number))
    assert depth.depth == call_depth.MAX_DEPTH
