"""Tests of HTTP exchanges with servers that send an answer again later."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
import contextlib

import pytest

from sassafraswood.transport import exchange

KEPT_FIELDS = frozenset({b'attempt', b'not-run'})
REFUSAL = (
    b'HTTP/1.1 503 X\r\nattempt: %b\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n'
)
ANSWER = b'HTTP/1.1 200 OK\r\nattempt: %b\r\nContent-Length: 2\r\n\r\nok'
REQUEST = b'POST / HTTP/1.1\r\nHost: x\r\nattempt: %b\r\n\r\n'
HEALTH = b'GET /health HTTP/1.1\r\nHost: x\r\n\r\n'
HEALTHY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Server:
    """Responds to the requests of each connection by a script."""

    def __init__(self, *scripts: list[bytes], max_open: int = 64) -> None:
        """Set the responses by connection and request."""
        self.requests: list[list[bytes]] = []
        self._max_open = max_open
        self._open_count = 0
        self._scripts = list(scripts)

    async def async_serve(self, reader, writer) -> None:
        """Respond to the requests of one connection."""
        if self._open_count >= self._max_open:
            writer.transport.abort()
            return
        self._open_count += 1
        script = self._scripts.pop(0)
        seen: list[bytes] = []
        self.requests.append(seen)
        with contextlib.suppress(
            asyncio.CancelledError, asyncio.IncompleteReadError, OSError
        ):
            for response in script:
                seen.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(response)
            await reader.read()
        self._open_count -= 1
        writer.close()


@contextlib.asynccontextmanager
async def async_pool(server: Server) -> AsyncIterator[exchange.ExchangePool]:
    """Run a server and return a pool of connections to it."""
    listener = await asyncio.start_server(server.async_serve, '127.0.0.1', 0)
    pool = exchange.ExchangePool(
        listener.sockets[0].getsockname(),
        KEPT_FIELDS,
        b'attempt',
        lambda response: b'not-run' not in response.fields,
    )
    yield pool
    pool.close_idle()
    listener.close()


def start(
    pool: exchange.ExchangePool,
    request_id: bytes | None,
    *,
    may_retry: bool = True,
) -> Awaitable[exchange.Outcome]:
    """Send a request and return its outcome to wait for."""
    done = asyncio.get_running_loop().create_future()
    payload = HEALTH if request_id is None else REQUEST % request_id
    pool.start(payload, request_id, done.set_result, may_retry=may_retry)
    return asyncio.wait_for(done, 5.0)


async def async_exchange(
    server: Server, *ids: bytes | None
) -> list[exchange.Outcome]:
    """Return the outcomes of requests with these ids, one after another."""
    async with async_pool(server) as pool:
        return [await start(pool, request_id) for request_id in ids]


def run(server: Server, *ids: bytes | None) -> list[int]:
    """Return the statuses of requests with these ids."""
    outcomes = asyncio.run(async_exchange(server, *ids))
    assert all(isinstance(item, exchange.Response) for item in outcomes)
    return [item.status for item in outcomes]


# Guards against the copy of a refusal that passes for the answer to a repeat
# with the same id.
@pytest.mark.parametrize('copies', [1, 2])
def test_copy_of_a_refusal_does_not_answer_the_repeat(copies) -> None:
    """The repeat gets the answer to itself."""
    refusal = REFUSAL % b'a1'
    server = Server(
        [refusal, copies * refusal + ANSWER % b'a1'], [ANSWER % b'a1']
    )
    assert run(server, b'a1', b'a1') == [503, 200]


# Guards against a copy that comes after exchanges with other ids.
def test_copy_does_not_answer_a_repeat_two_exchanges_later() -> None:
    """The repeat gets the answer to itself."""
    refusal = REFUSAL % b'a1'
    server = Server(
        [
            refusal,
            ANSWER % b'a2',
            ANSWER % b'a3',
            refusal + ANSWER % b'a1',
        ],
        [ANSWER % b'a1'],
    )
    assert run(server, b'a1', b'a2', b'a3', b'a1') == [503, 200, 200, 200]


# Guards against the copy of a refusal that passes for the answer to a health
# check, which has no id.
def test_copy_of_a_refusal_does_not_answer_a_health_check() -> None:
    """The health check gets the answer to itself."""
    refusal = REFUSAL % b'a1'
    server = Server([refusal, refusal + HEALTHY], [HEALTHY])
    assert run(server, b'a1', None) == [503, 200]


# Guards against the answer to an earlier health check, of which no id tells,
# that passes for that to the next one.
def test_copy_of_a_health_answer_does_not_answer_the_next_check() -> None:
    """The next health check gets the answer to itself."""
    unhealthy = HEALTHY.replace(b'200 OK', b'503 X')
    server = Server([HEALTHY, HEALTHY + unhealthy], [unhealthy])
    assert run(server, None, None) == [200, 503]


# Guards against an id that a connection echoes as an empty field.
def test_empty_id_is_none() -> None:
    """A health check takes a response with an empty id."""
    server = Server([ANSWER % b''])
    assert run(server, None) == [200]


# Guards against a new connection for each call while an upstream refuses.
def test_refusal_leaves_its_connection_to_other_requests() -> None:
    """Only the refused id gets another connection, an idle one if any."""
    server = Server(
        [REFUSAL % b'a1', ANSWER % b'a4'],
        [REFUSAL % b'a2', ANSWER % b'a1', REFUSAL % b'a3', ANSWER % b'a4'],
    )

    async def async_run() -> list[int]:
        async with async_pool(server) as pool:
            # Two connections at first.
            pending = [start(pool, b'a1'), start(pool, b'a2')]
            found = [(await item).status for item in pending]
            for request_id in (b'a1', b'a3', b'a4'):
                found.append((await start(pool, request_id)).status)
        return found

    assert asyncio.run(async_run()) == [503, 503, 200, 503, 200]
    assert sum(len(seen) for seen in server.requests) == 5
    assert len(server.requests) == 2


# Guards against repeats that are reset by a server that accepts no further
# connection, and so end without a promise.
@pytest.mark.parametrize('may_retry', [False, True])
def test_repeat_needs_no_further_connection(may_retry) -> None:
    """The connection of the refusal ends before the other one begins."""
    server = Server([REFUSAL % b'a1'], [ANSWER % b'a1'], max_open=1)

    async def async_run() -> list[int]:
        async with async_pool(server) as pool:
            found = []
            for _ in range(2):
                outcome = await start(pool, b'a1', may_retry=may_retry)
                assert isinstance(outcome, exchange.Response), outcome
                found.append(outcome.status)
        return found

    assert asyncio.run(async_run()) == [503, 200]


# Guards against connections that remember ids without bound.
def test_connection_ends_after_many_refusals() -> None:
    """It ends with the last id that it may remember."""
    ids = [b'a%d' % number for number in range(exchange.MAX_ANSWERED_IDS + 1)]
    refusals = [REFUSAL % request_id for request_id in ids]
    server = Server(refusals[:-1], refusals[-1:])
    assert run(server, *ids) == [503] * len(ids)
    assert [len(seen) for seen in server.requests] == [len(ids) - 1, 1]


# Guards against trailer fields that state what only a header may: the proof of
# a refusal, or the id of another request.
def test_trailer_states_nothing_of_the_response() -> None:
    """Neither an answer turns into a refusal, nor another one into its own."""
    chunked = b'HTTP/1.1 200 OK\r\nattempt: %b\r\nTransfer-Encoding: chunked'
    chunked += b'\r\n\r\n2\r\nno\r\n0\r\n%b\r\n\r\n'
    server = Server(
        [
            ANSWER % b'a0',
            chunked % (b'a0', b'attempt: a1') + ANSWER % b'a1',
            chunked % (b'a2', b'not-run: 1'),
        ]
    )
    outcomes = asyncio.run(async_exchange(server, b'a0', b'a1', b'a2'))
    assert [item.body for item in outcomes] == [b'ok', b'ok', b'no']
    assert b'not-run' not in outcomes[2].fields
    assert b'not-run' not in outcomes[2].head
