"""Tests of HTTP exchanges with servers that send an answer again later."""

import asyncio
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

    def __init__(self, *scripts: list[bytes]) -> None:
        """Set the responses by connection and request."""
        self.requests: list[list[bytes]] = []
        self._scripts = list(scripts)

    async def async_serve(self, reader, writer) -> None:
        """Respond to the requests of one connection."""
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
        writer.close()


async def async_exchange(
    server: Server, *ids: bytes | None
) -> list[exchange.Outcome]:
    """Return the outcomes of requests with these ids, one after another."""
    listener = await asyncio.start_server(server.async_serve, '127.0.0.1', 0)
    pool = exchange.ExchangePool(
        listener.sockets[0].getsockname(),
        KEPT_FIELDS,
        b'attempt',
        lambda response: b'not-run' not in response.fields,
    )
    outcomes = []
    for request_id in ids:
        done = asyncio.get_running_loop().create_future()
        payload = HEALTH if request_id is None else REQUEST % request_id
        pool.start(payload, request_id, done.set_result)
        outcomes.append(await asyncio.wait_for(done, 5.0))
    pool.close_idle()
    listener.close()
    return outcomes


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


# Guards against a new connection for each call while an upstream refuses.
def test_refusal_leaves_its_connection_to_other_requests() -> None:
    """Only the refused id gets another connection, an idle one if any."""
    server = Server(
        [REFUSAL % b'a1', ANSWER % b'a2'], [ANSWER % b'a1', ANSWER % b'a3']
    )
    statuses = run(server, b'a1', b'a2', b'a1', b'a3')
    assert statuses == [503, 200, 200, 200]
    assert [len(seen) for seen in server.requests] == [2, 2]


# Guards against connections that remember ids without bound.
def test_connection_ends_after_many_refusals() -> None:
    """It ends with the last id that it may remember."""
    ids = [b'a%d' % number for number in range(exchange.MAX_ANSWERED_IDS + 1)]
    refusals = [REFUSAL % request_id for request_id in ids]
    server = Server(refusals[:-1], refusals[-1:])
    assert run(server, *ids) == [503] * len(ids)
    assert [len(seen) for seen in server.requests] == [len(ids) - 1, 1]
