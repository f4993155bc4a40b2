"""Tests real daemons with a request that crashes each upstream it reaches.

Guards against the incident in docs/incidents/budget-crashing-request.md: the
request is sent through each daemon in turn and keeps reaching upstreams.
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


def run_scenario(
    tmp_path, scenario: crash_scenario.Scenario
) -> tuple[crash_scenario.CrashSoak, run.Result]:
    """Run a scenario on six daemons."""
    soak = crash_scenario.CrashSoak(scenario, machines=6, folder=tmp_path)
    return soak, asyncio.run(soak.async_run())


def check(tmp_path, **changes) -> None:
    """Check that few crashing requests arrive and all others are served."""
    scenario = crash_scenario.Scenario(**changes)
    soak, result = run_scenario(tmp_path, scenario)
    late_arrivals = soak.ledger.count_known_arrivals(soak.target)
    description = crash_scenario.describe(soak)
    assert late_arrivals <= ledger.MAX_KNOWN_ARRIVALS, description
    assert result.problems == [], description
    assert soak.arrivals(), 'the crashing request reached no upstream'


# Guards against crashes that are detected only by a later call.
@pytest.mark.process
def test_crash_of_an_upstream_with_few_calls_is_detected(tmp_path) -> None:
    """No call tries the port before the next upstream has started."""
    check(tmp_path, has_callers=False, pause_s=0.7, downtime_s=0.5)


# Guards against missing a crash whose successor starts before the next report.
@pytest.mark.process
@pytest.mark.parametrize('end', [End.REPLACED, End.SAME_ID])
def test_crash_of_an_upstream_that_restarts_at_once_is_detected(
    end, tmp_path
) -> None:
    """The successor has another instance id, or a later start time."""
    check(tmp_path, has_callers=False, end=end)


# Guards against missing a crash that resets no connection.
@pytest.mark.process
def test_crash_of_a_silent_upstream_is_detected(tmp_path) -> None:
    """The upstream sends no reports and does not respond to calls."""
    check(tmp_path, end=End.DARK, downtime_s=3.0, pause_s=0.5)


# Guards against refusing requests that are merely in flight at a crash.
@pytest.mark.process
def test_other_callers_are_served(tmp_path) -> None:
    """Requests of other callers are in flight at the crashes too."""
    check(tmp_path)


# Guards against exempting a request because similar ones have succeeded.
@pytest.mark.process
def test_request_that_looks_like_others_is_refused(tmp_path) -> None:
    """It has the path, body and workspace of requests that succeed."""
    check(tmp_path, crash=callers.CrashRequest(target='/read/1'))


# Guards against a request that escapes its refusal by another query each time.
@pytest.mark.process
def test_request_with_a_varying_query_is_refused(tmp_path) -> None:
    """Its path alone tells it from other requests."""
    check(tmp_path, crash=callers.CrashRequest(varies_query=True))


# Guards against a suspect list that is truncated to a few requests.
@pytest.mark.process
@pytest.mark.parametrize('after_s', [0.0, 0.3])
def test_request_among_many_is_found(after_s, tmp_path) -> None:
    """The crashing request starts last, or first, of those in flight."""
    check(
        tmp_path,
        crash=callers.CrashRequest(
            route='moved', target='/moved/odd', after_s=after_s
        ),
        has_crowd=True,
    )


# Guards against counting crashes for one kind of request only.
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
    """The crash is caused by a request with a body, or an inner call."""
    check(tmp_path, crash=crash)


# Guards against refusals that start only after copies arrive one by one.
@pytest.mark.process
def test_copies_at_once_are_refused(tmp_path) -> None:
    """Three copies are sent at the same time through three daemons."""
    check(tmp_path, copies=3)


# Guards against sending crash reports only once, so that a daemon which is
# unreachable at that time never receives them.
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
    """Daemons are paused, partitioned, or started after the crashes."""
    check(tmp_path, spread=spread, pause_s=0.15)


# Guards against a refusal that applies to one service only.
@pytest.mark.process
def test_request_whose_route_moves_is_refused(tmp_path) -> None:
    """The route moves to another service after the second crash."""
    check(
        tmp_path,
        crash=callers.CrashRequest(route='moved', target='/moved/odd'),
        spread=Spread.MOVED,
    )
