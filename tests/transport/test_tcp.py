"""Tests of the options of TCP connections."""

import asyncio
import socket

import pytest
import uvloop

from lab import ports
from sassafraswood import const
from sassafraswood.transport import exchange
from sassafraswood.transport import frame_link
from sassafraswood.transport import tcp
from sassafraswood.transport import upstream_connection

# Option of a socket whose local port is chosen when it connects.
IP_BIND_ADDRESS_NO_PORT = 24


def ignore(*arguments) -> None:
    """Do nothing."""
    del arguments


# Guards against daemons that never start, since the port of one of their
# addresses is that of an outgoing connection of another daemon.
@pytest.mark.parametrize(
    'create_protocol',
    [
        lambda: exchange.ExchangeConnection(frozenset(), None, None, ignore),
        lambda: frame_link.FrameConnection(ignore, ignore, ignore),
        lambda: upstream_connection.UpstreamConnection('x'),
    ],
    ids=['exchange', 'frames', 'upstream'],
)
def test_port_of_an_outgoing_connection_can_be_listened_on(
    create_protocol,
) -> None:
    """It can while the connection is open."""

    async def async_play() -> None:
        (host,) = ports.reserve_hosts(1)
        with socket.create_server((host, 0)) as server, socket.socket() as own:
            own.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            own.bind((host, 0))
            own.connect(server.getsockname())
            transport, _ = await asyncio.get_running_loop().create_connection(
                create_protocol, sock=own
            )
            with tcp.bind(own.getsockname()) as bound:
                bound.listen()
            assert not transport.is_closing()
            transport.abort()
            await asyncio.sleep(0)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(async_play())


# Guards against connections that stay without a limit on lost servers.
def test_late_reading_is_allowed_for_one_request() -> None:
    """The next small request is limited again."""

    async def async_play() -> list[int]:
        with socket.create_server(('127.0.0.1', 0)) as server:
            transport, _ = await asyncio.get_running_loop().create_connection(
                lambda: frame_link.FrameConnection(ignore, ignore, ignore),
                *server.getsockname(),
            )
            limit = tcp.ReadLimit()
            timeouts = []
            for size in (1, 1 << 20, 1):
                limit.apply(transport, size)
                timeouts.append(
                    transport.get_extra_info('socket').getsockopt(
                        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                    )
                )
            transport.abort()
            return timeouts

    timeout_ms = int(const.PEER_TIMEOUT_S * 1000)
    assert asyncio.run(async_play()) == [timeout_ms, 0, timeout_ms]
