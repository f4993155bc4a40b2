"""Tests of a listener that pauses while descriptors are scarce."""

import asyncio
import socket

import pytest
import uvloop

from sassafraswood.transport import acceptor
from sassafraswood.transport import tcp

CLIENTS = 12
SETTLE_S = 0.15


class Echo(asyncio.Protocol):
    """Returns what it receives, and tells the acceptor its descriptor."""

    def __init__(self, server: acceptor.Acceptor) -> None:
        """Initialize a connection without a transport."""
        self._server = server

    def connection_made(self, transport) -> None:
        """Tell the acceptor."""
        self._transport = transport
        descriptor = transport.get_extra_info('socket').fileno()
        self._server.note_accepted(descriptor)

    def data_received(self, data: bytes) -> None:
        """Send it back."""
        self._transport.write(data)


def count_answers(clients: list[socket.socket]) -> int:
    """Return how many clients have received something."""
    count = 0
    for client in clients:
        client.setblocking(False)
        try:
            count += bool(client.recv(1))
        except BlockingIOError:
            pass
    return count


# Guards against connections that are accepted without a descriptor, and
# against ones that wait on although descriptors are free again.
def test_connections_wait_while_descriptors_are_scarce(monkeypatch) -> None:
    """What is sent on them is read once there is room."""

    async def async_play() -> None:
        server = acceptor.Acceptor(lambda: Echo(server), backlog=CLIENTS)
        bound = tcp.bind(('127.0.0.1', 0))
        address = bound.getsockname()
        clients = [socket.socket() for _ in range(CLIENTS)]
        blockers = [socket.socket() for _ in range(CLIENTS)]
        limit = max(item.fileno() for item in blockers) + 8
        monkeypatch.setattr(
            acceptor, 'count_allowed_descriptors', lambda: limit
        )
        await server.async_open(bound)
        for client in clients:
            client.connect(address)
            client.sendall(b'x')
        await asyncio.sleep(SETTLE_S)
        assert server.is_paused
        answered = count_answers(clients)
        assert 0 < answered < CLIENTS
        for blocker in blockers:
            blocker.close()
        await asyncio.sleep(SETTLE_S)
        answered += count_answers(clients)
        assert answered == CLIENTS
        assert not server.is_paused
        server.close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        for client in clients:
            client.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(async_play())


# Guards against addresses that stay taken when a paused listener closes.
def test_paused_listener_closes() -> None:
    """Nobody reaches its address afterwards."""

    async def async_play() -> None:
        server = acceptor.Acceptor(lambda: Echo(server), backlog=CLIENTS)
        bound = tcp.bind(('127.0.0.1', 0))
        address = bound.getsockname()
        await server.async_open(bound)
        server.note_accepted(1 << 20)
        await asyncio.sleep(0)
        server.close()
        await asyncio.sleep(SETTLE_S)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(async_play())


# Guards against connections that wait for good after an unexpected error.
def test_paused_listener_listens_again_after_an_error(monkeypatch) -> None:
    """It tries again after each error."""
    errors: list[Exception] = [RuntimeError('odd'), OSError('odd')]
    async_listen = acceptor.Acceptor._async_listen

    async def async_fail(server, bound) -> asyncio.Server:
        if server.is_paused and errors:
            raise errors.pop()
        return await async_listen(server, bound)

    async def async_play() -> None:
        server = acceptor.Acceptor(lambda: Echo(server), backlog=CLIENTS)
        await server.async_open(tcp.bind(('127.0.0.1', 0)))
        server.note_accepted(1 << 20)
        assert server.is_paused
        async with asyncio.timeout(5.0):
            while server.is_paused:
                await asyncio.sleep(0.01)
        server.close()

    monkeypatch.setattr(acceptor, 'count_allowed_descriptors', lambda: 1 << 18)
    monkeypatch.setattr(acceptor.Acceptor, '_async_listen', async_fail)
    asyncio.run(async_play())
    assert not errors


# Guards against connections that are completed and then reset, since they come
# between the last accept and the close of the listener.
def test_close_completes_no_further_connection(monkeypatch) -> None:
    """Each client is either accepted or never connected."""
    accept_waiting = tcp.accept_waiting
    outcomes = []

    def accept_then_connect(
        listener: socket.socket, max_descriptor: float
    ) -> tuple[list[socket.socket], bool]:
        accepted = accept_waiting(listener, max_descriptor)
        try:
            socket.create_connection(listener.getsockname(), 0.2).close()
            outcomes.append('connected')
        except TimeoutError:
            outcomes.append('ignored')
        return accepted

    async def async_play() -> None:
        server = acceptor.Acceptor(lambda: Echo(server), backlog=CLIENTS)
        bound = tcp.bind(('127.0.0.1', 0))
        address = bound.getsockname()
        await server.async_open(bound)
        with socket.create_connection(address) as client:
            client.sendall(b'x')
            monkeypatch.setattr(tcp, 'accept_waiting', accept_then_connect)
            (connection,) = server.close()
            with connection:
                assert connection.recv(1) == b'x'
        assert outcomes == ['ignored']

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(async_play())


# Guards against clients whose connection is reset, since the listener closes
# before the last packet with which they open it has arrived.
def test_close_waits_for_connections_that_are_being_opened() -> None:
    """They are accepted, and nobody else is."""

    async def async_play() -> None:
        server = acceptor.Acceptor(lambda: Echo(server), backlog=CLIENTS)
        bound = tcp.bind(('127.0.0.1', 0))
        address = bound.getsockname()
        # The kernel ignores that packet until the client sends data.
        bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 5)
        await server.async_open(bound)
        with socket.create_connection(address) as client:
            assert server.close(0.1) == []
            assert server.has_waiting
            client.sendall(b'x')
            await asyncio.sleep(0.05)
            (connection,) = server.take_waiting()
            with connection:
                assert connection.recv(1) == b'x'
        assert server.has_waiting
        await asyncio.sleep(0.1)
        assert server.take_waiting() == []
        assert not server.has_waiting

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(async_play())
