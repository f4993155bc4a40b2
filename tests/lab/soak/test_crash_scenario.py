"""Real daemons and a request that crashes each upstream that runs it.

Guards against the incident in docs/incidents/budget-crashing-request.md: the
request came through all daemons in turn and went on to reach upstreams.
"""

import asyncio

import pytest

from lab.soak import callers
from lab.soak import crash_scenario
from lab.soak import ledger
from lab.soak import machine
from lab.soak import run

End = machine.UpstreamEnd
Spread = crash_scenario.Spread


def play(
    tmp_path, scenario: crash_scenario.Scenario
) -> tuple[crash_scenario.CrashSoak, run.Result]:
    """Play a scenario on six daemons."""
    soak = crash_scenario.CrashSoak(scenario, machines=6, folder=tmp_path)
    return soak, asyncio.run(soak.async_run())


def check(tmp_path, **changes) -> None:
    """Check that few of the request arrive and all others are served."""
    scenario = crash_scenario.Scenario(**changes)
    soak, result = play(tmp_path, scenario)
    late = soak.ledger.known_arrivals(soak.target)
    told = crash_scenario.describe(soak)
    assert late <= ledger.MAX_KNOWN_ARRIVALS, told
    assert result.problems == [], told
    assert soak.arrivals(), 'the request reached no upstream'


# Guards against ends that only a later call could find.
@pytest.mark.process
def test_end_of_an_upstream_with_few_calls_is_noticed(tmp_path) -> None:
    """Nobody tries the port before the next upstream is there."""
    check(tmp_path, has_callers=False, pause_s=0.7, away_s=0.5)


# Guards against ends that are over before the next report.
@pytest.mark.process
@pytest.mark.parametrize('end', [End.REPLACED, End.SAME_ID])
def test_end_of_an_upstream_that_is_back_at_once_is_noticed(
    end, tmp_path
) -> None:
    """Its successor has another id, or a later start."""
    check(tmp_path, has_callers=False, end=end)


# Guards against ends without a reset.
@pytest.mark.process
def test_end_of_a_silent_upstream_is_noticed(tmp_path) -> None:
    """Its reports stay out and its calls have no answers."""
    check(tmp_path, end=End.DARK, away_s=3.0, pause_s=0.5)


# Guards against refusals of what the crash only met.
@pytest.mark.process
def test_other_callers_are_served(tmp_path) -> None:
    """They are in flight at the crashes too."""
    check(tmp_path)


# Guards against requests that are above suspicion because others succeeded.
@pytest.mark.process
def test_request_that_looks_like_others_is_refused(tmp_path) -> None:
    """Its path, body and workspace are those of requests that succeed."""
    check(tmp_path, crash=callers.CrashRequest(target='/read/1'))


# Guards against suspects that are cut off at a small number.
@pytest.mark.process
@pytest.mark.parametrize('after_s', [0.0, 0.3])
def test_request_among_many_is_found(after_s, tmp_path) -> None:
    """It is begun last, or first."""
    check(
        tmp_path,
        crash=callers.CrashRequest(
            route='moved', target='/moved/odd', after_s=after_s
        ),
        has_crowd=True,
    )


# Guards against requests of one kind only being counted.
@pytest.mark.process
@pytest.mark.parametrize(
    'crash',
    [
        callers.CrashRequest(route='book', target='/book/1', body='odd'),
        callers.CrashRequest(is_inner=True),
    ],
    ids=['unsafe', 'inner'],
)
def test_unsafe_and_inner_requests_are_refused(crash, tmp_path) -> None:
    """With a body, and as a call of an upstream."""
    check(tmp_path, crash=crash)


# Guards against verdicts that come one copy at a time.
@pytest.mark.process
def test_copies_at_once_are_refused(tmp_path) -> None:
    """Three come at the same moment to three daemons."""
    check(tmp_path, copies=3)


# Guards against knowledge that is told once and to those who listen then.
@pytest.mark.process
@pytest.mark.parametrize(
    'spread',
    [
        Spread.FROZEN,
        Spread.CUT_OFF,
        Spread.RESTARTED,
        Spread.KILLED,
        Spread.WITNESS_KILLED,
    ],
)
def test_daemons_that_missed_it_learn_of_it(spread, tmp_path) -> None:
    """They stood still, were cut off, or started after it."""
    check(tmp_path, spread=spread, pause_s=0.15)


# Guards against a verdict that holds for one service only.
@pytest.mark.process
def test_request_whose_route_moves_is_refused(tmp_path) -> None:
    """Its route passes to another service after the second crash."""
    check(
        tmp_path,
        crash=callers.CrashRequest(route='moved', target='/moved/odd'),
        spread=Spread.MOVED,
    )
