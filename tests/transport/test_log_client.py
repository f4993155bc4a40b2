"""Tests of the log client against a simulated log service."""

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

# Time limit of a test on a slow machine; no test waits for it to pass.
_TEST_TIMEOUT_S = 60.0


@contextlib.asynccontextmanager
async def async_serve_log() -> AsyncIterator[str]:
    """Serve a simulated log on a free loopback port and yield its URL."""
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
        with anyio.fail_after(_TEST_TIMEOUT_S):
            yield f'http://127.0.0.1:{listener.getsockname()[1]}'
    finally:
        with anyio.CancelScope(shield=True):
            server.force_exit = True
            await server.shutdown(sockets=[listener])


@contextlib.asynccontextmanager
async def async_open_client(url: str) -> AsyncIterator[log_client.LogClient]:
    """Yield a client of one stream and close it afterwards."""
    client = log_client.LogClient(
        url=url, stream='configuration', traffic=traffic.Traffic()
    )
    try:
        yield client
    finally:
        with anyio.CancelScope(shield=True):
            await client.async_close()


async def async_set_faults(url: str, faults: log_service.Faults) -> int:
    """Inject faults into the log and return its number of appends so far."""
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request(
            'POST', f'{url}/control', content=msgspec.json.encode(faults)
        )
    return msgspec.json.decode(answer.content)['appends']


@pytest.fixture(autouse=True)
def long_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevent requests from timing out on a busy machine."""
    monkeypatch.setattr(const, 'LOG_TIMEOUT_S', _TEST_TIMEOUT_S)
    monkeypatch.setattr(const, 'UPSTREAM_CONNECT_TIMEOUT_S', _TEST_TIMEOUT_S)


@contextlib.contextmanager
def short_log_timeout() -> Iterator[None]:
    """Let requests without an answer time out after 0.2 s."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(const, 'LOG_TIMEOUT_S', 0.2)
        yield


async def test_records_are_read_as_they_were_appended() -> None:
    """Guards against records that are lost, duplicated or reordered."""
    async with async_serve_log() as url, async_open_client(url) as client:
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
    """Guards against changes that are delayed until the next poll (R12)."""
    async with async_serve_log() as url, async_open_client(url) as client:
        async with (
            async_open_client(url) as writer,
            anyio.create_task_group() as tasks,
        ):
            await client.async_append(b'first')
            tasks.start_soon(writer.async_append, b'second')
            # The wait exceeds the time limit of the test, so the read has to
            # end with the record.
            entries, _ = await client.async_read(
                ids.Offset(1), 2 * _TEST_TIMEOUT_S
            )
        assert [entry.body for entry in entries] == ['second']


async def test_offset_past_retention_reports_the_first_kept_offset() -> None:
    """Guards against an undetected gap in the records that are applied."""
    async with async_serve_log() as url, async_open_client(url) as client:
        for _ in range(5):
            await client.async_append(b'x')
        await async_set_faults(url, log_service.Faults(keep_records=2))
        with pytest.raises(exceptions.LogRetentionError) as caught:
            await client.async_read(ids.Offset(1), 0.0)
        assert caught.value.first == 3
        entries, following = await client.async_read(ids.Offset(3), 0.0)
        assert [entry.offset for entry in entries] == [3, 4]
        assert following == 5


async def test_unavailable_log_appends_nothing_and_recovers() -> None:
    """Guards against an unknown outcome for appends that certainly failed."""
    async with async_serve_log() as url, async_open_client(url) as client:
        await async_set_faults(url, log_service.Faults(down=True))
        with pytest.raises(exceptions.LogUnavailableError):
            await client.async_append(b'x')
        with pytest.raises(exceptions.LogUnavailableError):
            await client.async_read(ids.Offset(0), 0.0)
        assert await async_set_faults(url, log_service.Faults()) == 0
        assert await client.async_append(b'x') == 0


async def test_log_that_does_not_listen_is_unavailable() -> None:
    """Guards against an unknown outcome without an established connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
    async with async_open_client(f'http://127.0.0.1:{port}') as client:
        with anyio.fail_after(_TEST_TIMEOUT_S):
            with pytest.raises(exceptions.LogUnavailableError):
                await client.async_append(b'x')
            with pytest.raises(exceptions.LogUnavailableError):
                await client.async_read(ids.Offset(0), 0.0)


async def test_lost_answer_leaves_the_outcome_unknown() -> None:
    """Guards against reporting a failure for an append that took effect."""
    async with async_serve_log() as url, async_open_client(url) as client:
        await async_set_faults(url, log_service.Faults(lose_answers=1))
        with short_log_timeout():
            with pytest.raises(exceptions.LogOutcomeUnknownError):
                await client.async_append(b'x')
        entries, _ = await client.async_read(ids.Offset(0), _TEST_TIMEOUT_S)
        assert [entry.body for entry in entries] == ['x']


async def test_requests_to_a_silent_log_time_out_and_reconnect() -> None:
    """Guards against requests that hang on a connection without answers."""
    async with async_serve_log() as url, async_open_client(url) as client:
        await client.async_append(b'x')
        await async_set_faults(url, log_service.Faults(silent=True))
        with short_log_timeout():
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
async def test_malformed_answers_raise_log_errors(
    answer: bytes, append_error: bool
) -> None:
    """Guards against an unexpected error type that ends the log follower."""

    async def async_answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            if answer:
                await stream.send(answer)

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with async_open_client(f'http://127.0.0.1:{port}') as client:
        with anyio.fail_after(_TEST_TIMEOUT_S):
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
