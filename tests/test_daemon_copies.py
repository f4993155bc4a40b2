"""Tests of the product's own daemon with an upstream that repeats answers."""

import asyncio
import collections
import contextlib
import random
import uuid

import pytest

from lab import client
from lab import fleet
from sassafraswood import upstream_api

NAME = 'van-1'
SPEC = fleet.DaemonSpec(
    daemon_id=NAME, service='van', failure_domain='a', has_upstream=False
)
CALLERS = 8
CALLS_PER_CALLER = 40
DOCUMENT = {
    'version': 1,
    'service': 'van',
    'routes': [{'path': '/**', 'open': True, 'idempotent': False}],
    'workspaces': {},
    'retry_allowance': 2,
}


class CopyingUpstream:
    """Refuses half of the requests and sends each answer again.

    Attributes:
        runs: Number of runs by target.
        copy_count: Copies that were sent.
    """

    def __init__(self, *, returns_token: bool, is_next: bool) -> None:
        """Set when copies are sent.

        Args:
            returns_token: Whether answers bear the Call-Token.
            is_next: Whether a copy precedes the next answer on its connection;
                otherwise it follows within 10 ms.
        """
        self.runs: collections.Counter[str] = collections.Counter()
        self.copy_count = 0
        self._returns_token = returns_token
        self._is_next = is_next
        self._random = random.Random(1)

    async def async_serve(self, reader, writer) -> None:
        """Respond to the requests of one connection."""
        last = b''
        tasks = []
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
                fields = dict(
                    line.split(': ') for line in head.split('\r\n')[1:-2]
                )
                await reader.readexactly(int(fields['content-length']))
                if last and self._is_next:
                    self.copy_count += 1
                    writer.write(last)
                    await asyncio.sleep(0.001)
                target = head.split(' ')[1]
                last = await self._async_answer(target, fields['call-token'])
                writer.write(last)
                if not self._is_next:
                    tasks.append(
                        asyncio.create_task(self._async_repeat(writer, last))
                    )
        await asyncio.gather(*tasks)
        writer.close()

    async def _async_answer(self, target: str, token: str) -> bytes:
        lines = ['HTTP/1.1 200 X', f'Content-Length: {len(target)}']
        if self._returns_token:
            lines.append(f'Call-Token: {token}')
        if self._random.random() < 0.5:
            lines[0] = 'HTTP/1.1 503 X'
            lines.append(f'Call-Not-Run: {token}')
        else:
            self.runs[target] += 1
            await asyncio.sleep(0.005)
        return '\r\n'.join([*lines, '', target]).encode()

    async def _async_repeat(self, writer, response: bytes) -> None:
        await asyncio.sleep(self._random.uniform(0.0, 0.01))
        if not writer.transport.is_closing():
            self.copy_count += 1
            writer.write(response)


async def async_call(
    address: str, name: str
) -> list[tuple[str, client.Reply]]:
    """Return the targets of one caller's requests, and their replies."""
    caller = client.Caller(address)
    replies = []
    for number in range(CALLS_PER_CALLER):
        path = f'/{name}-{number}'
        reply = await caller.async_call('POST', f'/van{path}')
        replies.append((path, reply))
    await caller.async_close()
    return replies


async def async_run(
    running: fleet.Fleet, upstream: CopyingUpstream
) -> list[tuple[str, client.Reply]]:
    """Return the targets of all requests, and their replies."""
    daemon = running.daemons[NAME]
    host, port = daemon.upstream_address.rsplit(':', 1)
    server = await asyncio.start_server(upstream.async_serve, host, int(port))
    api = upstream_api.DaemonApi(daemon.local_address)
    await api.async_announce(daemon.upstream_address, slots=CALLERS)
    while (await async_status(daemon.caller_address)) == 503:
        await asyncio.sleep(0.1)
    replies = await asyncio.gather(
        *(
            async_call(daemon.caller_address, f'c{number}')
            for number in range(CALLERS)
        )
    )
    await api.async_close()
    server.close()
    return [reply for own in replies for reply in own]


async def async_status(address: str) -> int:
    """Return the status of one request."""
    caller = client.Caller(address)
    reply = await caller.async_call('POST', '/van/first')
    await caller.async_close()
    return reply.status


# Guards against copies of answers that reach other callers, are called "not
# run" though they ran, or make a call run twice.
@pytest.mark.process
@pytest.mark.parametrize('returns_token', [False, True])
@pytest.mark.parametrize('is_next', [False, True])
def test_copies_of_answers_break_no_promise(returns_token, is_next) -> None:
    """Each caller gets its own answer, a true refusal, or no outcome."""
    upstream = CopyingUpstream(returns_token=returns_token, is_next=is_next)
    running = fleet.Fleet([SPEC])
    running.start_log()
    try:
        running.start_daemon(NAME)
        running.wait_until_ready()
        publication = {
            'publication_id': uuid.uuid4().hex,
            'replaces': 0,
            'document': DOCUMENT,
        }
        status, result = running.send_operator_request(
            NAME, 'POST', 'publish', publication
        )
        assert status == 200, result
        replies = asyncio.run(
            asyncio.wait_for(async_run(running, upstream), 60.0)
        )
    finally:
        running.stop()
    statuses = collections.Counter(
        (reply.status, reply.run, reply.reason) for _, reply in replies
    )
    wrong = [
        path
        for path, reply in replies
        if (reply.status == 200 and reply.body.decode() != path)
        or (reply.run == 'not-run' and upstream.runs[path])
        or upstream.runs[path] > 1
    ]
    assert not wrong, statuses
    assert statuses[200, 'run', ''] >= CALLERS, statuses
    assert upstream.copy_count or not returns_token
