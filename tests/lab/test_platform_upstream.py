"""Tests of the test double of an upstream."""

import asyncio

import pytest

from lab import platform_upstream
from lab import ports
from lab.soak import http_caller

Copy = platform_upstream.Copy


async def async_exchange(
    copy: Copy, *ids: str, is_refusal: bool = False
) -> list[str]:
    """Return the ids of all responses to requests with these ids.

    Health checks have an empty id. The responses to them are named "health".
    """
    (host,) = ports.reserve_hosts(1)
    upstream = platform_upstream.PlatformUpstream('u1', 'front', host=host)
    if is_refusal:
        upstream.refusal_copy, upstream.refusal_share = copy, 1.0
    else:
        upstream.answer_copy, upstream.answer_copy_share = copy, 1.0
    await upstream.async_start(7006)
    reader, writer = await asyncio.open_connection(host, 7006)
    seen: list[str] = []

    async def async_read() -> None:
        while True:
            response = await http_caller.async_read_response(reader)
            seen.append(response.fields.get('x-attempt-id', 'health'))

    task = asyncio.create_task(async_read())
    for attempt in ids:
        path, fields = '/health', ''
        if attempt:
            path, fields = '/a', f'X-Attempt-Id: {attempt}\r\n'
        writer.write(f'GET {path} HTTP/1.1\r\n{fields}\r\n'.encode())
        await asyncio.sleep(0.1)
    task.cancel()
    writer.close()
    upstream.crash()
    return seen


@pytest.mark.parametrize('is_refusal', [False, True])
@pytest.mark.parametrize(
    ('copy', 'ids', 'expected'),
    [
        (Copy.NEVER, 'a b', 'a b'),
        (Copy.BEHIND, 'a b', 'a a b b'),
        (Copy.DELAYED, 'a b', 'a a b b'),
        (Copy.AT_NEXT_REQUEST, 'a b', 'a a b'),
        (Copy.AT_SECOND_REQUEST, 'a b c', 'a b a c'),
        (Copy.AT_REPEAT, 'a b a', 'a b a a'),
        (Copy.AFTER_REPEAT, 'a b a', 'a b a a'),
        (Copy.TWICE_AT_REPEAT, 'a b a', 'a b a a a'),
    ],
)
def test_copies_come_when_they_are_due(
    copy, ids, expected, is_refusal
) -> None:
    """Copies of refusals and of other responses come at the same times."""
    seen = asyncio.run(
        async_exchange(copy, *ids.split(), is_refusal=is_refusal)
    )
    assert seen == expected.split()


def test_copies_come_at_a_health_check() -> None:
    """Not before, and before the response to the check."""
    seen = asyncio.run(async_exchange(Copy.AT_HEALTH_CHECK, 'a', 'b', ''))
    assert seen == ['a', 'b', 'a', 'b', 'health']
