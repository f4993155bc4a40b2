"""Tests of the detection of crashing requests beside ordinary ones."""

import pytest

from lab import crash_simulation

# Share of ordinary requests that may be refused by mistake.
MAX_WRONG_SHARE = 1e-3
# Crashes within which a request that crashes upstreams is refused: the three
# that make it known, and three more.
MAX_CRASHES = 6
RUNS = 100


@pytest.mark.parametrize('crash_gap_s', [0.0, 0.05, 0.1])
@pytest.mark.parametrize('rate_per_s', [0.2, 2.0, 10.0])
def test_ordinary_requests_at_unrelated_crashes(
    crash_gap_s: float, rate_per_s: float
) -> None:
    """Callers send lost requests again, which meet the next crash."""
    load = crash_simulation.Load(
        is_poisoned=False, crash_gap_s=crash_gap_s, rate_per_s=rate_per_s
    )
    wrong = sum(
        crash_simulation.simulate(load, seed).wrongly_refused
        for seed in range(RUNS)
    )
    assert wrong <= MAX_WRONG_SHARE * RUNS * load.kinds


@pytest.mark.parametrize('crash_gap_s', [0.05, 0.25, 1.0])
def test_crashing_request_is_found_among_ordinary_ones(
    crash_gap_s: float,
) -> None:
    """It is sent again after a short or a longer pause."""
    load = crash_simulation.Load(crash_gap_s=crash_gap_s, crashes=12)
    outcomes = [crash_simulation.simulate(load, seed) for seed in range(RUNS)]
    assert max(outcome.crashes for outcome in outcomes) <= MAX_CRASHES
    wrong = sum(outcome.wrongly_refused for outcome in outcomes)
    assert wrong <= MAX_WRONG_SHARE * RUNS * load.kinds


# Guards against a crashing request that is found late, or not at all, in a
# crowd that daemons repeat.
@pytest.mark.parametrize('crash_gap_s', [0.05, 0.3])
def test_crashing_request_is_found_in_a_repeated_crowd(
    crash_gap_s: float,
) -> None:
    """There are three upstreams, so that repeats meet the next crash."""
    load = crash_simulation.Load(
        rate_per_s=0.2,
        duration_s=0.6,
        upstreams=3,
        crash_gap_s=crash_gap_s,
        crashes=12,
        is_repeated=True,
        crowd=40,
    )
    outcomes = [crash_simulation.simulate(load, seed) for seed in range(RUNS)]
    assert max(outcome.crashes for outcome in outcomes) <= MAX_CRASHES
    wrong = sum(outcome.wrongly_refused for outcome in outcomes)
    assert wrong <= MAX_WRONG_SHARE * RUNS * load.kinds


# Guards against ordinary requests that are refused, since daemons repeat what
# a crash has lost, and a crowd is sent again with it.
@pytest.mark.parametrize('crash_gap_s', [0.05, 0.3])
def test_ordinary_requests_that_daemons_repeat(crash_gap_s: float) -> None:
    """The crashes have no request as their cause."""
    load = crash_simulation.Load(
        is_poisoned=False,
        rate_per_s=0.2,
        duration_s=0.6,
        upstreams=3,
        crash_gap_s=crash_gap_s,
        is_repeated=True,
        crowd=40,
    )
    wrong = sum(
        crash_simulation.simulate(load, seed).wrongly_refused
        for seed in range(RUNS)
    )
    assert wrong <= MAX_WRONG_SHARE * RUNS * load.kinds
