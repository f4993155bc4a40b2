"""Tests of upstreams that end within the head of their response."""

import asyncio
import socket
import struct

import pytest

from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.transport import exchange
from sassafraswood.transport import upstream_connection

HEAD = (
    b'HTTP/1.1 200 OK\r\nattempt: a1\r\nseal: s\r\n'
    b'Content-Type: text/plain\r\nContent-Length: 2\r\n\r\n'
)
CHUNKED = HEAD.replace(b'Content-Length: 2', b'Transfer-Encoding: chunked')
INTERIM = b'HTTP/1.1 103 Early Hints\r\nattempt: a1\r\n\r\n'


class Server:
    """Sends a part of a response to each request, then ends the connection."""

    def __init__(self) -> None:
        """Initialize a server that does not listen yet."""
        self.response = b''
        self.is_resetting = False
        self.address = ('', 0)
        self._server: asyncio.Server | None = None

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._async_serve, '127.0.0.1', 0
        )
        self.address = self._server.sockets[0].getsockname()

    def stop(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def _async_serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.response)
            await writer.drain()
            if self.is_resetting:
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
                writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def async_exchange(server: Server) -> exchange.Outcome:
    """Send a request as the daemon on the users' platform does."""
    pool = exchange.ExchangePool(
        server.address, frozenset({b'attempt', b'seal'}), b'attempt'
    )
    done = asyncio.get_running_loop().create_future()
    pool.start(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', b'a1', done.set_result)
    outcome = await asyncio.wait_for(done, 5.0)
    assert not pool.has_open_connection(pool.opened)
    assert pool.held.count == 0
    return outcome


async def async_exchange_all(
    responses: list[bytes], is_resetting: bool
) -> list[exchange.Outcome]:
    """Return the outcome for each response."""
    server = Server()
    server.is_resetting = is_resetting
    await server.async_start()
    outcomes = []
    for server.response in responses:
        outcomes.append(await async_exchange(server))
    server.stop()
    return outcomes


async def async_send_all(responses: list[bytes]) -> list[enums.RefusalReason]:
    """Send requests on the product's own connection; return the errors."""
    server = Server()
    await server.async_start()
    loop = asyncio.get_running_loop()
    reasons = []
    for server.response in responses:
        _, connection = await loop.create_connection(
            lambda: upstream_connection.UpstreamConnection('x'),
            *server.address,
        )
        request = call.HttpRequest(
            method='GET', target='/', headers=[], body=b''
        )
        with pytest.raises(exceptions.UpstreamError) as error:
            await asyncio.wait_for(connection.async_send(request, 1000), 5.0)
        assert error.value.outcome is enums.Outcome.UNKNOWN
        reasons.append(error.value.reason)
    server.stop()
    return reasons


# Guards against a 200 with an empty or short body, framed as whole.
@pytest.mark.parametrize('is_resetting', [False, True])
@pytest.mark.parametrize('head', [HEAD, CHUNKED, INTERIM + HEAD])
def test_response_cut_within_its_head_is_no_response(
    head: bytes, is_resetting: bool
) -> None:
    """The server closes or resets after each byte of the head."""
    parts = [head[:size] for size in range(len(head) + 1)]
    outcomes = asyncio.run(async_exchange_all(parts, is_resetting))
    answered = [
        (part, outcome)
        for part, outcome in zip(parts, outcomes)
        if isinstance(outcome, exchange.Response)
    ]
    assert answered == []


# Guards against a 200 with an empty or short body, framed as whole.
def test_own_interface_passes_no_cut_head_on() -> None:
    """The product's own connection fails after each byte of the head."""
    parts = [HEAD[:size] for size in range(len(HEAD) + 1)]
    reasons = asyncio.run(async_send_all(parts))
    assert set(reasons) <= {
        enums.RefusalReason.UPSTREAM_BROKE,
        enums.RefusalReason.ANSWER_TRUNCATED,
    }
