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


async def async_flood(
    head: bytes, piece: bytes
) -> tuple[exchange.Outcome, int]:
    """Return the outcome of an answer without end, and the bytes sent.

    Args:
        head: How the answer begins.
        piece: What follows again and again until the client closes.
    """
    sent = 0
    has_ended = asyncio.Event()

    async def async_serve(reader, writer) -> None:
        nonlocal sent
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        try:
            while True:
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
        except ConnectionError:
            has_ended.set()
        writer.close()

    server = await asyncio.start_server(async_serve, '127.0.0.1', 0)
    pool = exchange.ExchangePool(
        server.sockets[0].getsockname(), NOTED, b'attempt'
    )
    pool.held.limit = 1 << 20
    done = asyncio.get_running_loop().create_future()
    pool.start(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', b'a1', done.set_result)
    outcome = await asyncio.wait_for(done, 5.0)
    await asyncio.wait_for(has_ended.wait(), 5.0)
    assert pool.held.count == 0
    assert not pool.has_open(pool.opened)
    server.close()
    return outcome, sent


LINE = b'HTTP/1.1 200 OK\r\nattempt: a1\r\nseal: s\r\n'
CHUNKED = LINE + b'Transfer-Encoding: chunked\r\n\r\n'
FLOODS = {
    'status line': (b'HTTP/1.1 200 ', b'O' * 4096),
    'field': (LINE + b'x: ', b'y' * 4096),
    'fields': (LINE, b'x: ' + b'y' * 50 + b'\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'answers to others': (
        b'',
        b'HTTP/1.1 200 OK\r\nattempt: b\r\nContent-Length: 2\r\n\r\nok',
    ),
    'body without a length': (LINE + b'\r\n', b'y' * 4096),
    'chunks': (CHUNKED, b'1000\r\n' + b'y' * 4096 + b'\r\n'),
    'chunk extension': (CHUNKED + b'5;', b'y' * 4096),
    'trailers': (CHUNKED + b'0\r\n', b'x: ' + b'y' * 50 + b'\r\n'),
}


# Guards against answers without end, in a head or a body.
@pytest.mark.parametrize('name', FLOODS)
def test_answer_without_end_is_broken_off(name) -> None:
    """The call ends, the connection closes, and little was held."""
    outcome, sent = asyncio.run(async_flood(*FLOODS[name]))
    assert outcome in (
        exchange.FailureKind.TOO_LARGE,
        exchange.FailureKind.MALFORMED,
    )
    # Both ends buffer some megabytes on loopback.
    assert sent < 16 << 20


def test_small_chunks_are_no_answer_without_end() -> None:
    """Their framing is longer than what they carry."""
    chunks = b'1\r\nx\r\n' * 100_000
    (outcome,) = run(CHUNKED + chunks + b'0\r\n\r\n', held=200_000)
    assert isinstance(outcome, exchange.Response)
    assert len(outcome.body) == 100_000


REFUSAL = (
    b'HTTP/1.1 503 X\r\nattempt: %b\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n'
)


# Guards against "not run" for a request that an upstream has run.
@pytest.mark.parametrize(
    'former', [REFUSAL % b'a0', REFUSAL.replace(b'attempt: %b\r\n', b'')]
)
def test_earlier_refusal_is_not_taken_for_the_next_answer(former) -> None:
    """A faulty server writes it once more on a kept connection."""
    first, second = run(WHOLE, former + WHOLE)
    assert isinstance(first, exchange.Response)
    assert isinstance(second, exchange.Response)
    assert second.status == 200


def test_earlier_refusal_on_an_idle_connection_closes_it() -> None:
    """Nothing was asked there."""
    first, second = run(WHOLE + REFUSAL % b'a0', WHOLE)
    assert isinstance(first, exchange.Response)
    assert second.status == 200
