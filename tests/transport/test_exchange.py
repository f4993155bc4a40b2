"""Tests of exchanges with a server that misbehaves."""

import asyncio
import socket
import struct

import pytest

from sassafraswood.transport import exchange

NOTED = frozenset({b'attempt', b'seal'})
WHOLE = (
    b'HTTP/1.1 200 OK\r\nattempt: a1\r\nseal: s\r\nContent-Length: 2\r\n\r\nok'
)


async def async_exchange(
    *answers: bytes,
    close: bool = False,
    reset: bool = False,
    held: int = 1000,
) -> list[exchange.Outcome]:
    """Return the outcomes of one request for each scripted answer."""
    script = list(answers)
    connections = []

    async def async_serve(reader, writer) -> None:
        connections.append(writer)
        while True:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            writer.write(script.pop(0))
            await writer.drain()
            if reset:
                # Without lingering, closing sends a reset.
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
                writer.transport.abort()
                return
            if close:
                writer.close()
                return

    server = await asyncio.start_server(async_serve, '127.0.0.1', 0)
    address = server.sockets[0].getsockname()
    pool = exchange.ExchangePool(address, NOTED, b'attempt')
    pool.held.limit = held
    outcomes = []
    for _ in answers:
        done = asyncio.get_running_loop().create_future()
        pool.start(
            b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', b'a1', done.set_result
        )
        outcomes.append(await asyncio.wait_for(done, 5.0))
        await asyncio.sleep(0.02)
    pool.close_idle()
    assert pool.held.count == 0
    server.close()
    for writer in connections:
        writer.close()
    return outcomes


def run(*answers: bytes, **how: bool) -> list[exchange.Outcome]:
    """Run the exchange in a loop of its own."""
    return asyncio.run(async_exchange(*answers, **how))


def test_whole_answer() -> None:
    """Noted fields and the body arrive."""
    (outcome,) = run(WHOLE)
    assert isinstance(outcome, exchange.Response)
    assert outcome.body == b'ok'
    assert outcome.fields == {b'attempt': b'a1', b'seal': b's'}
    assert b'Content-Length' not in outcome.head


def test_answer_of_another_request_is_dropped() -> None:
    """The one that follows it is the answer."""
    late = WHOLE.replace(b'a1', b'a0').replace(b'ok', b'no')
    (outcome,) = run(late + WHOLE)
    assert isinstance(outcome, exchange.Response)
    assert outcome.body == b'ok'


def test_second_answer_belongs_to_no_request() -> None:
    """The connection is not used again, and both requests are answered."""
    outcomes = run(WHOLE + WHOLE, WHOLE)
    assert [outcome.body for outcome in outcomes] == [b'ok', b'ok']


def test_truncated_answer_is_never_whole() -> None:
    """A body shorter than its length ends with a failure."""
    assert run(WHOLE[:-1], close=True) == [exchange.FailureKind.TRUNCATED]


def test_answer_without_length_ends_with_the_connection() -> None:
    """An orderly end makes it whole."""
    unframed = WHOLE.replace(b'Content-Length: 2\r\n', b'')
    (outcome,) = run(unframed, close=True)
    assert isinstance(outcome, exchange.Response)
    assert outcome.body == b'ok'


def test_reset_answer_without_length_is_not_whole() -> None:
    """A reset shows that bytes may be missing."""
    unframed = WHOLE.replace(b'Content-Length: 2\r\n', b'')
    (outcome,) = run(unframed, reset=True)
    assert isinstance(outcome, exchange.FailureKind)


@pytest.mark.parametrize('data', [b'\x00\x01\x02\r\n\r\n', b'HTTP/9\r\n\r\n'])
def test_bytes_that_are_no_answer(data: bytes) -> None:
    """They fail the request."""
    assert run(data) == [exchange.FailureKind.MALFORMED]


def test_refused_connection_sent_nothing() -> None:
    """The request has surely not run."""

    async def async_connect() -> exchange.Outcome:
        pool = exchange.ExchangePool(('127.0.0.1', 1), NOTED)
        done = asyncio.get_running_loop().create_future()
        pool.start(b'GET / HTTP/1.1\r\n\r\n', None, done.set_result)
        return await done

    outcome = asyncio.run(async_connect())
    assert outcome is exchange.FailureKind.REFUSED
    assert outcome in exchange.NOTHING_SENT


def test_answers_of_all_exchanges_have_a_bound() -> None:
    """One that finds no room is broken off, and leaves its room to others."""

    async def async_run() -> list[exchange.Outcome]:
        return await async_exchange(WHOLE, WHOLE, held=1)

    outcomes = asyncio.run(async_run())
    assert outcomes == [exchange.FailureKind.TOO_LARGE] * 2


def connect_times(idle_s: list[float], may_repeat: bool) -> int:
    """Return the connections made for requests with pauses between them."""

    async def async_run() -> int:
        async def async_serve(reader, writer) -> None:
            try:
                while await reader.readuntil(b'\r\n\r\n'):
                    writer.write(WHOLE)
            except (asyncio.IncompleteReadError, asyncio.CancelledError):
                writer.close()

        server = await asyncio.start_server(async_serve, '127.0.0.1', 0)
        pool = exchange.ExchangePool(
            server.sockets[0].getsockname(), NOTED, b'attempt'
        )
        for pause_s in idle_s:
            done = asyncio.get_running_loop().create_future()
            pool.start(
                b'GET / HTTP/1.1\r\nHost: x\r\n\r\n',
                b'a1',
                done.set_result,
                may_repeat=may_repeat,
            )
            assert isinstance(await done, exchange.Response)
            await asyncio.sleep(pause_s)
        pool.close_idle()
        await asyncio.sleep(0.02)
        server.close()
        return pool.connects

    return asyncio.run(async_run())


def test_request_that_runs_once_gets_a_connection_just_used() -> None:
    """A server may have forgotten the others, and its reset loses it."""
    assert connect_times([0.0, 0.0], may_repeat=False) == 1
    assert connect_times([0.2, 0.0], may_repeat=False) == 2
    assert connect_times([0.2, 0.0], may_repeat=True) == 1


def test_reset_of_an_idle_connection_shortens_the_idle_time() -> None:
    """The limit grows back when no more connections are forgotten."""
    limit = exchange._IdleLimit()
    assert limit.limit_s > 1e6
    limit.note_broken(0.4)
    assert 0.2 <= limit.limit_s < 0.25
    limit.note_broken(3.0)
    assert limit.limit_s < 0.25
    limit._lowered_at -= 4 * exchange.IDLE_DOUBLES_S
    assert limit.limit_s > 3.0
