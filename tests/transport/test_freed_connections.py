"""Tests that connections and what they received are freed when they end."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import gc
import weakref

import pytest

from sassafraswood.platform import headers
from sassafraswood.transport import exchange
from sassafraswood.transport import frame_link
from sassafraswood.transport import ingress

REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


@pytest.fixture(autouse=True)
def without_garbage_collection():
    """Leave reference cycles uncollected, as a daemon mostly does."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def async_wait_freed(reference: weakref.ref) -> None:
    """Wait until an object is freed."""
    async with asyncio.timeout(2.0):
        while reference() is not None:
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def serving(
    response: bytes, *, ends: bool
) -> AsyncIterator[tuple[str, int]]:
    """Run an upstream that sends a response; yield its address."""
    writers = []

    async def async_serve(reader, writer) -> None:
        writers.append(writer)
        await reader.readuntil(b'\r\n\r\n')
        writer.write(response)
        if ends:
            writer.close()

    server = await asyncio.start_server(async_serve, '127.0.0.1', 0)
    yield server.sockets[0].getsockname()
    server.close()
    for writer in writers:
        writer.transport.abort()
    # Lets the event loop close the connections.
    await asyncio.sleep(0.02)


async def async_exchange(response: bytes, *, ends: bool) -> None:
    """Receive a response, and wait until its connection is freed."""
    async with serving(response, ends=ends) as address:
        pool = exchange.ExchangePool(address, frozenset())
        done = asyncio.get_running_loop().create_future()
        running = pool.start(REQUEST, None, done.set_result)
        await asyncio.wait_for(done, 5.0)
        reference = weakref.ref(running._connection)
        del running, done
        pool.close_idle()
        await async_wait_freed(reference)


# Guards against the bytes of ended exchanges that stay in memory.
@pytest.mark.parametrize(
    ('response', 'ends'),
    [
        (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok', False),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok', True),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok', True),
        (b'HTTP/1.1 200 OK\r\n\r\nok', True),
        (b'HTTP/1.1 200 OK\r\nx: ' + b'x' * 500_000, False),
        (b'\x00\x01\r\n\r\n', False),
    ],
)
def test_connection_to_an_upstream_is_freed(response, ends) -> None:
    """Whether its last exchange succeeded or failed."""
    asyncio.run(async_exchange(response, ends=ends))


def test_idle_connection_keeps_no_response() -> None:
    """What it received belongs to the call alone."""

    async def async_case() -> None:
        data = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        async with serving(data, ends=False) as address:
            pool = exchange.ExchangePool(address, frozenset())
            done = asyncio.get_running_loop().create_future()
            running = pool.start(REQUEST, None, done.set_result)
            await asyncio.wait_for(done, 5.0)
            connection = running._connection
            assert connection.is_reusable
            assert (connection._result, len(connection._body)) == (None, 0)
            pool.close_idle()

    asyncio.run(async_case())


class RecordingHandler:
    """Keeps a reference cycle of each request, as calls do."""

    def __init__(self) -> None:
        """Start without requests."""
        self.references = []

    def handle(self, request) -> None:
        """Record the request; respond to it unless its target is /lost."""
        request.context = [request]
        self.references += [
            weakref.ref(request.connection),
            weakref.ref(Body(request)),
        ]
        if request.target != b'/lost':
            request.reply(200)

    def abandon(self, request) -> None:
        """Do nothing."""


class RecordingSet(set):
    """Records weak references of the connections that are added."""

    def __init__(self, references) -> None:
        """Set the list for the references."""
        super().__init__()
        self.references = references

    def add(self, item) -> None:
        """Add a connection."""
        super().add(item)
        self.references.append(weakref.ref(item))


class Body:
    """Stands for the body of a request, which weak references cannot hold."""

    def __init__(self, request) -> None:
        """Make the request refer to this object."""
        request.context.append(self)


async def async_send_request(data: bytes, *, ends: bool) -> None:
    """Send bytes to a server and wait until their connection is freed."""
    handler = RecordingHandler()
    server = ingress.IngressServer(handler, headers.NAMES)
    server.connections = RecordingSet(handler.references)
    await server.async_listen(('127.0.0.1', 0))
    address = server._server.sockets[0].getsockname()
    _, writer = await asyncio.open_connection(*address)
    writer.write(data)
    if ends:
        writer.write_eof()
    async with asyncio.timeout(2.0):
        while not handler.references:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    writer.transport.abort()
    for reference in handler.references:
        await async_wait_freed(reference)
    server.stop_listening()


@pytest.mark.parametrize(
    'data',
    [
        b'GET /ok HTTP/1.1\r\nHost: x\r\n\r\n',
        b'GET /lost HTTP/1.1\r\nHost: x\r\n\r\n',
        b'POST /ok HTTP/1.1\r\nContent-Length: 900\r\n\r\n' + b'x' * 800,
        b'GET /ok HTTP/1.1\r\nHost: ' + b'x' * 1000,
    ],
)
@pytest.mark.parametrize('ends', [False, True])
def test_connection_of_a_client_is_freed(data, ends) -> None:
    """With its last request, whether it was answered or not."""
    asyncio.run(async_send_request(data, ends=ends))


def test_connections_between_daemons_are_freed() -> None:
    """At both ends."""

    async def async_case() -> None:
        opened = []

        def create() -> frame_link.FrameConnection:
            connection = frame_link.FrameConnection(
                lambda connection, message: None,
                lambda connection: None,
                lambda connection, reason: None,
            )
            opened.append(weakref.ref(connection))
            return connection

        loop = asyncio.get_running_loop()
        server = await loop.create_server(create, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()
        _, connection = await loop.create_connection(create, *address)
        await asyncio.sleep(0.05)
        connection.close('test')
        del connection, _
        for reference in opened:
            await async_wait_freed(reference)
        server.close()

    asyncio.run(async_case())
