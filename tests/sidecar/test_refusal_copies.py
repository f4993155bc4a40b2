"""Tests of daemon processes whose upstreams send refusals again."""

import pytest

from lab import platform_upstream
from lab import refusal_copies

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
async def test_copy_of_a_refusal_ends_no_repeat(
    tmp_path, status, copy
) -> None:
    """No request that runs is refused, and no unsafe one runs twice."""
    outcome = await refusal_copies.async_play(
        tmp_path, refusal_copies.Refusals(status=status, copy=copy), LENGTH_S
    )
    found = {'not run': outcome.told_not_run, 'twice': outcome.ran_twice}
    assert not any(found.values()), (dict(found), outcome.describe())
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
