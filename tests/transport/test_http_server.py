"""Tests of the HTTP servers of the daemon."""

import asyncio
import socket
import time

import pytest
import uvloop

from sassafraswood.transport import http_server
from sassafraswood.transport import tcp

_REQUEST = b'GET /status/vans HTTP/1.1\r\nHost: daemon\r\n\r\n'
# Longer than the interval at which a server looks whether it has to stop.
_STOP_CHECK_S = 0.15


async def _async_answer(
    scope: http_server.Scope,
    receive: http_server.Receive,
    send: http_server.Send,
) -> None:
    await http_server.async_send(send, 200, [], b'whole')


def _read_to_end(client: socket.socket) -> bytes:
    received = b''
    while data := client.recv(65536):
        received += data
    return received


# Guards against a reset of requests that are written just before the close.
@pytest.mark.parametrize('is_new', [False, True])
def test_stop_answers_requests_that_have_arrived(is_new: bool) -> None:
    """The kernel has it, and the event loop has not read it yet."""

    async def async_play() -> bytes:
        loop = asyncio.get_running_loop()
        bound = tcp.bind(('127.0.0.1', 0))
        address = bound.getsockname()
        bound.close()
        server = http_server.HttpServer(
            address='%s:%d' % address,
            application=_async_answer,
            count=lambda name: None,
            max_connections=8,
        )
        serving = asyncio.create_task(server.async_serve())
        await server.async_wait_started()
        sent = asyncio.Event()
        with socket.socket() as client:
            client.settimeout(5.0)

            def send() -> None:
                if is_new:
                    client.connect(address)
                client.sendall(2 * _REQUEST)
                sent.set()

            if not is_new:
                client.connect(address)
                client.sendall(_REQUEST)
                await asyncio.to_thread(client.recv, 65536)
            server.stop()
            # Both are due after the pause, and run without a poll between.
            loop.call_later(_STOP_CHECK_S, send)
            loop.call_soon(time.sleep, 2 * _STOP_CHECK_S)
            await asyncio.wait_for(sent.wait(), 10.0)
            received = await asyncio.to_thread(_read_to_end, client)
        await asyncio.wait_for(server.async_wait_ended(), 2.0)
        await serving
        return received

    response = uvloop.run(async_play())
    first, last, rest = response.split(b'whole')
    assert b'connection: close' not in first.lower()
    assert b'connection: close' in last.lower()
    assert not rest
