"""Helpers for the ASGI applications of simulated services."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import json
from typing import Any

import anyio
import uvicorn

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


async def async_read_body(receive: Receive) -> bytes:
    """Return the whole body of a request."""
    parts = []
    while True:
        message = await receive()
        parts.append(message.get('body', b''))
        if not message.get('more_body', False):
            return b''.join(parts)


async def async_send_answer(
    send: Send,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send an answer with its whole body; content-length is added."""
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (b'content-length', str(len(body)).encode()),
                *(headers or []),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def async_send_json(send: Send, status: int, value: object) -> None:
    """Send a JSON answer."""
    await async_send_answer(
        send,
        status,
        json.dumps(value).encode(),
        [(b'content-type', b'application/json')],
    )


def run_app(
    app: Callable[..., Any],
    address: str,
    on_started: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serve an application until the process is stopped.

    Args:
        app: ASGI application.
        address: Address to listen on, as host:port.
        on_started: Called once the server listens; None for nothing.
    """
    host, port = address.rsplit(':', 1)
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        http='httptools',
        loop='none',
        lifespan='off',
        ws='none',
        log_level='error',
        access_log=False,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=2,
    )
    anyio.run(
        _async_serve,
        uvicorn.Server(config),
        on_started,
        backend_options={'use_uvloop': True},
    )


async def _async_serve(
    server: uvicorn.Server,
    on_started: Callable[[], Awaitable[None]] | None,
) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        while not server.started and not server.should_exit:
            await anyio.sleep(0.01)
        if on_started is not None:
            await on_started()
