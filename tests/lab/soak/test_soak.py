"""Soak runs with seeds that found faults in the past."""

import asyncio

import pytest

from lab.soak import faults
from lab.soak import run

# Seeds and the faults that they found, with six VMs and 25 s of traffic.
REGRESSIONS = {
    16: 'the first read after a store outage waited for new records',
    25: 'as seed 16, after a slow store',
}


@pytest.mark.process
@pytest.mark.parametrize('seed', REGRESSIONS)
def test_regression_seed_has_no_problems(seed, tmp_path) -> None:
    """Real daemons keep all checked guarantees under injected faults."""
    soak = run.Soak(
        seed=seed,
        length_s=25.0,
        machines=6,
        folder=tmp_path,
        has_later_kinds=False,
    )
    result = asyncio.run(soak.async_run())
    assert result.problems == []


# Guards against the copy of a refusal that passes for the answer to a repeat:
# requests that ran are called "not run", and an unsafe one runs twice.
@pytest.mark.process
def test_upstreams_that_send_copies_of_their_refusals(tmp_path) -> None:
    """They do so beside floods and other faults of upstreams."""
    soak = run.Soak(seed=13, length_s=20.0, machines=2, folder=tmp_path)
    result = asyncio.run(soak.async_run())
    kinds = {fault.kind for fault in result.faults}
    assert {
        faults.FaultKind.UPSTREAM_REFUSES,
        faults.FaultKind.UPSTREAM_FLOODS,
    } <= kinds
    assert result.problems == []


# Guards against soaks that fail to start, since another one at the same time
# listens on their addresses.
def test_soaks_at_the_same_time_share_no_address(tmp_path) -> None:
    """They may run in any processes."""
    first, second = (
        run.Soak(seed=1, length_s=1.0, machines=6, folder=tmp_path)
        for _ in range(2)
    )
    assert not set(first.hosts) & set(second.hosts)
