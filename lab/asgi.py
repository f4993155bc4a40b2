"""Small pieces shared by the stand-ins' HTTP applications."""

import json
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import Any

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
    """Send a whole answer."""
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


def run_app(app: Callable[..., Any], address: str) -> None:
    """Serve an application at host:port until the process is stopped."""
    host, port = address.rsplit(':', 1)
    uvicorn.run(
        app,
        host=host,
        port=int(port),
        http='httptools',
        loop='uvloop',
        lifespan='off',
        ws='none',
        log_level='error',
        access_log=False,
        timeout_keep_alive=60,
    )
