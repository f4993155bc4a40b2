"""Tests of daemon processes whose upstreams send refusals again."""

import pytest

from lab import platform_upstream
from lab import process_site
from lab import refusal_copies
from lab.soak import http_caller
from lab.soak import machine as machine_module

LENGTH_S = 3.0
# Requests of each kind of outcome that make a play worth something.
MIN_COUNT = 50

pytestmark = [pytest.mark.process, pytest.mark.anyio]

COPIES = [
    (status, copy)
    for status in (429, 503)
    for copy in (
        platform_upstream.Copy.BEHIND,
        platform_upstream.Copy.DELAYED,
        platform_upstream.Copy.AT_NEXT_REQUEST,
        platform_upstream.Copy.AT_SECOND_REQUEST,
        platform_upstream.Copy.AT_REPEAT,
        platform_upstream.Copy.TWICE_AT_REPEAT,
    )
]


# Guards against the copy of a refusal that passes for the answer to a repeat:
# a request that ran is called "not run", or runs a second time.
@pytest.mark.parametrize(('status', 'copy'), COPIES)
async def test_copy_of_a_refusal_does_not_answer_a_repeat(
    tmp_path, status, copy
) -> None:
    """No request that runs is refused, and no unsafe one runs twice."""
    outcome = await refusal_copies.async_play(
        tmp_path, refusal_copies.Refusals(status=status, copy=copy), LENGTH_S
    )
    found = {'not run': outcome.told_not_run, 'twice': outcome.ran_twice}
    assert not any(found.values()), (dict(found), outcome.describe())
    assert not outcome.repeats
    assert outcome.totals[200] > MIN_COUNT
    assert outcome.totals[503] > MIN_COUNT


# Guards against a flood beside which a request that ran is called "not run".
@pytest.mark.parametrize('status', [200, 500])
async def test_flood_beside_copies_breaks_no_promise(tmp_path, status) -> None:
    """Chunks of one byte and copies of refusals come at the same time."""
    outcome = await refusal_copies.async_play(
        tmp_path,
        refusal_copies.Refusals(
            copy=platform_upstream.Copy.AT_REPEAT,
            flood=platform_upstream.Fault.ENDLESS_BYTE_CHUNKS,
            flood_status=status,
        ),
        LENGTH_S,
    )
    found = {'not run': outcome.told_not_run, 'twice': outcome.ran_twice}
    assert not any(found.values()), (dict(found), outcome.describe())
    assert not outcome.exits
    assert not outcome.repeats
    assert outcome.totals[200] > MIN_COUNT


# Guards against a client that is told "not run" of a request that ran, since
# its upstream answered with such a status.
@pytest.mark.parametrize('status', [408, 429, 503])
async def test_status_without_proof_promises_nothing(tmp_path, status) -> None:
    """Only a response that proves it passes for a refusal of the upstream."""
    services = refusal_copies.SERVICES
    async with process_site.async_site(
        tmp_path, services, rules=refusal_copies.build_rules()
    ) as site:
        address = site.first.host, machine_module.CALLER
        for service in services:
            upstream = site.upstream(service)
            upstream.answer_status = status
            for kind in refusal_copies.KINDS:
                upstream.seen.clear()
                caller = http_caller.HttpCaller(address)
                response = await caller.async_call(
                    process_site.build_request(f'{service}-{kind}'), 4.0
                )
                caller.close()
                runs = len(upstream.seen)
                assert response.status == 502
                assert runs == 1 if kind == 'unsafe' else runs


# Guards against a daemon that is given up while it stands still, and runs
# later what its caller has called "not run" or sent again.
@pytest.mark.parametrize(
    'disturbance',
    [
        refusal_copies.Disturbance.KILLS,
        refusal_copies.Disturbance.PAUSES,
        refusal_copies.Disturbance.ALL_PAUSES,
    ],
)
async def test_daemon_that_stands_still_breaks_no_promise(
    tmp_path, disturbance
) -> None:
    """It does so several times, beside a flood, with calls that wait."""
    outcome = await refusal_copies.async_play(
        tmp_path,
        refusal_copies.Refusals(
            flood=platform_upstream.Fault.ENDLESS_BYTE_CHUNKS,
            flood_status=500,
            refusal_share=0.02,
            run_s=0.2,
            slots=10,
            clients=36,
        ),
        2.0 * LENGTH_S,
        disturbance,
    )
    found = {'not run': outcome.told_not_run, 'twice': outcome.ran_twice}
    assert not any(found.values()), (dict(found), outcome.describe())
    assert not outcome.exits
    assert outcome.totals[200] > MIN_COUNT
    assert outcome.totals[503] > MIN_COUNT
