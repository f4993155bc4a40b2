"""Tests of the comparison of the processor time of calls."""

import os
import time

from lab import call_cost


def _create_cost(taker_us: float, server_us: float) -> call_cost.Cost:
    return call_cost.Cost(
        call_us={call_cost.TAKER: taker_us, call_cost.SERVER: server_us},
        system_us={},
        idle_us={},
    )


# Guards against a ratio of turns that have nothing to do with each other.
def test_ratio_is_the_median_of_the_turns() -> None:
    """Each turn of the changed tree is compared with its own of the base."""
    base = [_create_cost(60.0, 40.0), _create_cost(120.0, 80.0)]
    change = [_create_cost(50.0, 40.0), _create_cost(100.0, 70.0)]
    ratios = call_cost.describe_ratios(base, change)
    assert ratios == 'ratio 0.875 (0.850 to 0.900, 2 turns)'


# Guards against a measurement that counts nothing of a process.
def test_usage_grows_with_the_work_of_a_process() -> None:
    """The time that this process takes is seen."""
    before = call_cost.read_usage(os.getpid())
    until = time.process_time() + 0.05
    while time.process_time() < until:
        pass
    used = call_cost.read_usage(os.getpid()) - before
    assert 0.04 < used.total_s < 1.0
