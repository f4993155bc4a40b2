"""Tests of the client for upstreams that send an answer again later."""

import asyncio
from collections.abc import Iterable
import contextlib

import pytest

from sassafraswood import clock
from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.transport import response_limits
from sassafraswood.transport import upstream_client

MAX_BODY_BYTES = 1 << 20
BODY = b'x' * (4 << 20)
Outcome = tuple[int, bytes] | enums.Outcome


def answer(
    status: int, echo: str = '', body: str = '', not_run: str = ''
) -> bytes:
    """Return a response that may bear the tokens of requests."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    if echo:
        lines.append(f'Call-Token: {echo}')
    if not_run:
        lines.append(f'Call-Not-Run: {not_run}')
    return '\r\n'.join([*lines, '', body]).encode()


class Server:
    """Responds to the requests of each connection by a script.

    Attributes:
        seen: Tokens of the requests by connection.
    """

    def __init__(
        self, *scripts: Iterable[bytes], early: bytes = b'', late: bytes = b''
    ) -> None:
        """Set the responses by connection and request.

        Args:
            early: Sent between the head and the body of each later request
                of a connection.
            late: Sent 20 ms behind each response.
        """
        self.seen: list[list[str]] = []
        self._scripts = list(scripts)
        self._early = early
        self._late = late

    async def async_serve(self, reader, writer) -> None:
        """Respond to the requests of one connection."""
        script = self._scripts.pop(0)
        seen: list[str] = []
        self.seen.append(seen)
        with contextlib.suppress(
            asyncio.CancelledError, asyncio.IncompleteReadError, OSError
        ):
            for response in script:
                head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
                fields = dict(
                    line.split(': ') for line in head.split('\r\n')[1:-2]
                )
                if self._early and seen:
                    writer.write(self._early)
                    await asyncio.sleep(0.02)
                await reader.readexactly(int(fields['content-length']))
                seen.append(fields['call-token'])
                writer.write(response)
                if self._late:
                    await asyncio.sleep(0.02)
                    writer.write(self._late)
            await reader.read()
        writer.close()


async def async_call(
    server: Server, count: int, body: bytes, pause_s: float, clock_s: float
) -> list[Outcome]:
    """Return the outcomes of requests with the tokens t0, t1 and so on."""
    listener = await asyncio.start_server(server.async_serve, '127.0.0.1', 0)
    manual = clock.ManualClock()
    client = upstream_client.UpstreamClient(clock=manual)
    client.set_address('127.0.0.1:%d' % listener.sockets[0].getsockname()[1])
    outcomes: list[Outcome] = []
    for number in range(count):
        headers = [(const.HEADER_CALL_TOKEN, f't{number}')]
        request = call.HttpRequest(
            method='POST', target='/', headers=headers, body=body
        )
        sending = client.async_send(request, max_body_bytes=MAX_BODY_BYTES)
        try:
            received = await asyncio.wait_for(sending, 5.0)
            outcomes.append((received.status, received.body))
        except exceptions.UpstreamError as error:
            outcomes.append(error.outcome)
        await asyncio.sleep(pause_s)
        manual.advance(clock_s)
    client.set_address('127.0.0.1:1')
    listener.close()
    return outcomes


def run(
    server: Server,
    count: int,
    *,
    body: bytes = b'',
    pause_s: float = 0.0,
    clock_s: float = 0.0,
) -> list[Outcome]:
    """Return the outcomes of requests with the tokens t0, t1 and so on.

    Args:
        pause_s: Time between two requests.
        clock_s: Time by which the clock of the client goes on in it.
    """
    return asyncio.run(async_call(server, count, body, pause_s, clock_s))


COPIES = {
    '503': answer(503, 't0', 'old', not_run='t0'),
    '429': answer(429, 't0', 'old', not_run='t0'),
    '200': answer(200, 't0', 'old'),
    '204': answer(204, 't0'),
    '421': answer(421, 't0', 'old'),
    'interim': b'HTTP/1.1 103 X\r\n\r\n' + answer(200, 't0', 'old'),
}
OWN = [(200, b'r%d' % number) for number in range(3)]


# Guards against a copy of an earlier answer that a later caller gets.
@pytest.mark.parametrize('count', [1, 2])
@pytest.mark.parametrize('exchange', [1, 2])
@pytest.mark.parametrize('copy', COPIES)
def test_copy_does_not_answer_a_later_request(copy, exchange, count) -> None:
    """It is skipped, and the connection goes on."""
    script = [answer(200, f't{number}', f'r{number}') for number in range(3)]
    script[exchange] = count * COPIES[copy] + script[exchange]
    server = Server(script)
    assert run(server, 3) == OWN
    assert server.seen == [['t0', 't1', 't2']]


# Guards against a copy that a caller gets while its request is being sent.
def test_copy_during_a_request_does_not_answer_it() -> None:
    """The request is sent to its end and gets its own answer."""
    script = [answer(200, f't{number}', f'r{number}') for number in range(2)]
    server = Server(script, early=COPIES['503'])
    assert run(server, 2, body=BODY) == OWN[:2]


# Guards against an answer without a token, which may be that to another
# request, that a caller gets as its own.
@pytest.mark.parametrize('status', [200, 503])
def test_answer_without_the_usual_token_is_unknown(status: int) -> None:
    """The outcome is unknown, and the next request goes elsewhere."""
    lost = answer(status, body='old', not_run='t0') + answer(200, 't1', 'r1')
    server = Server([answer(200, 't0', 'r0'), lost], [answer(200, 't2', 'r2')])
    assert run(server, 3) == [OWN[0], enums.Outcome.UNKNOWN, OWN[2]]


# Guards against 502 for each second call to an upstream that returns the token
# in some answers only.
@pytest.mark.parametrize(
    ('clock_s', 'later'),
    [
        (const.UPSTREAM_REUSE_PAUSE_S - 1.0, [['t2'], ['t3']]),
        (const.UPSTREAM_REUSE_PAUSE_S, [['t2', 't3']]),
    ],
)
def test_answer_without_the_usual_token_pauses_reuse(clock_s, later) -> None:
    """Each connection carries one request until the pause is over."""
    first = [answer(200, 't0'), answer(200)]
    scripts = [[answer(200, token) for token in seen] for seen in later]
    server = Server(first, *scripts)
    outcomes = run(server, 4, clock_s=clock_s)
    assert outcomes[1] is enums.Outcome.UNKNOWN
    assert outcomes[2:] == [(200, b''), (200, b'')]
    assert server.seen == [['t0', 't1'], *later]


# Guards against a copy of an answer of an upstream that returns no tokens.
@pytest.mark.parametrize('status', [200, 429, 503])
@pytest.mark.parametrize('late', [False, True])
def test_copy_without_tokens_does_not_answer_a_request(status, late) -> None:
    """Each request has a connection of its own."""
    copy = answer(status, body='old')
    scripts = [
        [answer(200, body=f'r{number}'), copy + answer(200)]
        for number in range(3)
    ]
    server = Server(*scripts, late=copy if late else b'')
    assert run(server, 3) == OWN
    assert server.seen == [['t0'], ['t1'], ['t2']]


# Guards against the rest of a copy that is parsed as the next answer.
@pytest.mark.parametrize('end', [None, -1, -10, 1])
def test_bytes_behind_an_answer_end_the_connection(end) -> None:
    """The next request goes elsewhere."""
    first = answer(200, 't0', 'r0')
    server = Server(
        [first + COPIES['503'][:end], b'ld' + answer(200, 't1', 'no')],
        [answer(200, 't1', 'r1')],
    )
    assert run(server, 2) == OWN[:2]


# Guards against copies without end, which hold a request and its slot.
def test_copies_without_end_fail_the_request() -> None:
    """The outcome is unknown after a bounded number of copies."""
    copies = (response_limits.MAX_SKIPPED_RESPONSES + 1) * COPIES['200']
    server = Server(
        [answer(200, 't0', 'r0'), copies], [answer(200, 't2', 'r2')]
    )
    assert run(server, 3) == [OWN[0], enums.Outcome.UNKNOWN, OWN[2]]


# Guards against a copy between two requests that a later caller gets.
@pytest.mark.parametrize('copy', COPIES)
def test_copy_on_an_idle_connection_ends_it(copy: str) -> None:
    """The next request goes elsewhere."""
    server = Server(
        [answer(200, 't0', 'r0'), answer(200, 't1', 'no')],
        [answer(200, 't1', 'r1')],
        late=COPIES[copy],
    )
    assert run(server, 2, pause_s=0.1) == OWN[:2]
    assert server.seen == [['t0'], ['t1']]


# Guards against a copy that passes for the answer to a health check.
@pytest.mark.parametrize('is_listening', [False, True])
def test_copy_does_not_answer_a_health_check(is_listening: bool) -> None:
    """Only a new connection shows that the upstream accepts requests."""
    server = Server([answer(200, 't0', 'r0')], [], late=COPIES['200'])

    async def async_probe() -> bool:
        listener = await asyncio.start_server(
            server.async_serve, '127.0.0.1', 0
        )
        port = listener.sockets[0].getsockname()[1]
        client = upstream_client.UpstreamClient(clock=clock.SystemClock())
        client.set_address(f'127.0.0.1:{port}')
        request = call.HttpRequest(
            method='POST',
            target='/',
            headers=[(const.HEADER_CALL_TOKEN, 't0')],
            body=b'',
        )
        await client.async_send(request, max_body_bytes=MAX_BODY_BYTES)
        if not is_listening:
            listener.close()
        return await client.async_probe()

    assert asyncio.run(async_probe()) is is_listening
