"""Tests of the log client against the stand-in of the log service."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import socket

import anyio
import anyio.abc
import httpcore
import msgspec
import pytest
import uvicorn

from lab import log_service
from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import ids
from sassafraswood.transport import log_client
from sassafraswood.transport import traffic

pytestmark = pytest.mark.anyio

# A bound for a machine that does not get on; no test waits for it to pass.
_BOUND_S = 60.0


@contextlib.asynccontextmanager
async def async_log() -> AsyncIterator[str]:
    """Serve the stand-in on a free loopback port and return its URL."""
    listener = socket.create_server(('127.0.0.1', 0))
    config = uvicorn.Config(
        log_service.LogService(),
        http='httptools',
        loop='none',
        lifespan='off',
        ws='none',
        log_config=None,
        timeout_graceful_shutdown=0,
    )
    server = uvicorn.Server(config)
    config.load()
    server.lifespan = config.lifespan_class(config)
    await server.startup(sockets=[listener])
    try:
        with anyio.fail_after(_BOUND_S):
            yield f'http://127.0.0.1:{listener.getsockname()[1]}'
    finally:
        with anyio.CancelScope(shield=True):
            server.force_exit = True
            await server.shutdown(sockets=[listener])


@contextlib.asynccontextmanager
async def async_client(url: str) -> AsyncIterator[log_client.LogClient]:
    """Return a client of one stream."""
    client = log_client.LogClient(
        url=url, stream='configuration', traffic=traffic.Traffic()
    )
    try:
        yield client
    finally:
        with anyio.CancelScope(shield=True):
            await client.async_close()


async def async_set_faults(url: str, faults: log_service.Faults) -> int:
    """Set the faults of the log and return the number of its appends."""
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request(
            'POST', f'{url}/control', content=msgspec.json.encode(faults)
        )
    return msgspec.json.decode(answer.content)['appends']


@pytest.fixture(autouse=True)
def long_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no request time out because the machine is busy."""
    monkeypatch.setattr(const, 'LOG_TIMEOUT_S', _BOUND_S)
    monkeypatch.setattr(const, 'UPSTREAM_CONNECT_TIMEOUT_S', _BOUND_S)


@contextlib.contextmanager
def short_timeout() -> Iterator[None]:
    """Let requests that get no answer end soon."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(const, 'LOG_TIMEOUT_S', 0.2)
        yield


async def test_records_are_read_as_they_were_appended() -> None:
    """Guards against records that are lost, doubled or out of order."""
    async with async_log() as url, async_client(url) as client:
        bodies = ['{"a":1}', '{"b":"\\u00e9"}', 'plain']
        for offset, body in enumerate(bodies):
            assert await client.async_append(body.encode()) == offset
        entries, following = await client.async_read(ids.Offset(1), 0.0)
        assert [(entry.offset, entry.body) for entry in entries] == [
            (1, bodies[1]),
            (2, bodies[2]),
        ]
        assert following == 3
        assert await client.async_read(ids.Offset(3), 0.0) == ([], 3)


async def test_long_poll_ends_with_the_next_record() -> None:
    """Guards against changes that wait for the next poll (R12)."""
    async with async_log() as url, async_client(url) as client:
        async with async_client(url) as writer, anyio.create_task_group() as t:
            await client.async_append(b'first')
            t.start_soon(writer.async_append, b'second')
            # The wait is longer than the bound of the test.
            entries, _ = await client.async_read(ids.Offset(1), 2 * _BOUND_S)
        assert [entry.body for entry in entries] == ['second']


async def test_offset_past_retention_is_told_with_the_first_one() -> None:
    """Guards against a gap in the fold that goes unnoticed."""
    async with async_log() as url, async_client(url) as client:
        for _ in range(5):
            await client.async_append(b'x')
        await async_set_faults(url, log_service.Faults(keep_records=2))
        with pytest.raises(exceptions.LogRetentionError) as caught:
            await client.async_read(ids.Offset(1), 0.0)
        assert caught.value.first == 3
        entries, following = await client.async_read(ids.Offset(3), 0.0)
        assert [entry.offset for entry in entries] == [3, 4]
        assert following == 5


async def test_log_that_is_down_took_nothing_and_recovers() -> None:
    """Guards against "unknown" for appends that surely failed."""
    async with async_log() as url, async_client(url) as client:
        await async_set_faults(url, log_service.Faults(down=True))
        with pytest.raises(exceptions.LogUnavailableError):
            await client.async_append(b'x')
        with pytest.raises(exceptions.LogUnavailableError):
            await client.async_read(ids.Offset(0), 0.0)
        assert await async_set_faults(url, log_service.Faults()) == 0
        assert await client.async_append(b'x') == 0


async def test_log_that_does_not_listen_is_unavailable() -> None:
    """Guards against "unknown" where no connection was made."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
    async with async_client(f'http://127.0.0.1:{port}') as client:
        with anyio.fail_after(_BOUND_S):
            with pytest.raises(exceptions.LogUnavailableError):
                await client.async_append(b'x')
            with pytest.raises(exceptions.LogUnavailableError):
                await client.async_read(ids.Offset(0), 0.0)


async def test_lost_answer_leaves_the_outcome_unknown() -> None:
    """Guards against "failed" for an append that took effect."""
    async with async_log() as url, async_client(url) as client:
        await async_set_faults(url, log_service.Faults(lose_answers=1))
        with short_timeout():
            with pytest.raises(exceptions.LogOutcomeUnknownError):
                await client.async_append(b'x')
        entries, _ = await client.async_read(ids.Offset(0), _BOUND_S)
        assert [entry.body for entry in entries] == ['x']


async def test_silent_log_ends_requests_and_new_connections_work() -> None:
    """Guards against waiting for ever on a connection gone silent."""
    async with async_log() as url, async_client(url) as client:
        await client.async_append(b'x')
        await async_set_faults(url, log_service.Faults(silent=True))
        with short_timeout():
            with pytest.raises(exceptions.LogOutcomeUnknownError):
                await client.async_append(b'y')
            with pytest.raises(exceptions.LogUnavailableError):
                await client.async_read(ids.Offset(0), 0.0)
        await async_set_faults(url, log_service.Faults())
        entries, _ = await client.async_read(ids.Offset(0), 0.0)
        assert [entry.body for entry in entries] == ['x']


@pytest.mark.parametrize(
    ('answer', 'append_error'),
    [
        (b'HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n{}', True),
        (b'HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n', True),
        (b'HTTP/1.1 201 Created\r\ncontent-length: 20\r\n\r\n{"off', True),
        (b'not http\r\n\r\n', True),
        (b'', True),
        (b'HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n', False),
        (b'HTTP/1.1 429 Busy\r\ncontent-length: 0\r\n\r\n', False),
    ],
)
async def test_malformed_answers_have_a_type(
    answer: bytes, append_error: bool
) -> None:
    """Guards against a follower that ends with an untyped error."""

    async def async_answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            if answer:
                await stream.send(answer)

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with async_client(f'http://127.0.0.1:{port}') as client:
        with anyio.fail_after(_BOUND_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, async_answer)
                with pytest.raises(exceptions.LogError) as caught:
                    await client.async_append(b'x')
                with pytest.raises(exceptions.LogUnavailableError):
                    await client.async_read(ids.Offset(0), 0.0)
                tasks.cancel_scope.cancel()
    await listener.aclose()
    is_unknown = isinstance(caught.value, exceptions.LogOutcomeUnknownError)
    assert is_unknown is append_error
