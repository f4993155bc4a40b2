"""Tests of the depth of the call tree below an upstream."""

from sassafraswood.coordination import call_depth


def test_highest_depth_counts() -> None:
    """Guards against a depth that follows the last call only."""
    depth = call_depth.CallDepth()
    assert depth.depth is None
    for number, levels in enumerate((1, 2, 0)):
        depth.note(levels, 10.0 + number)
    assert depth.depth == 2


def test_depth_that_is_not_observed_again_expires() -> None:
    """Guards against a depth that stays after a service makes fewer calls."""
    depth = call_depth.CallDepth()
    depth.note(2, 10.0)
    depth.note(0, 10.0 + call_depth.DEPTH_LIFETIME_S + 1.0)
    assert depth.depth == 0


def test_depth_of_services_that_call_each_other_is_limited() -> None:
    """Guards against a depth without bound in a cycle of services.

    Each response would report one level more than the one before it.
    """
    depth = call_depth.CallDepth()
    for number in range(100):
        depth.note((depth.depth or 0) + 1, float(number))
    assert depth.depth == call_depth.MAX_DEPTH
