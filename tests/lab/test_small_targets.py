"""Tests of calls to many upstreams with few slots each."""

import pytest

from lab import small_targets

SEEDS = range(3)
# Half of the time within which calls of the deepest services have to end.
MAX_P99_WAIT_S = 0.15


# Pattern: many upstreams of 5 to 7 slots, and callers that know a sample.
@pytest.mark.parametrize('slots', [5, 7])
def test_calls_do_not_queue_beside_free_slots(slots: int) -> None:
    """At three quarters of the slots, hardly a call waits for long."""
    load = small_targets.Load(slots=slots, utilization=0.75)
    waits_s = [small_targets.simulate(load, seed).p99_wait_s for seed in SEEDS]
    print(f'{slots} slots: p99 of the wait {waits_s} s')
    assert max(waits_s) <= MAX_P99_WAIT_S
