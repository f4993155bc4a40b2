"""Stand-in for an upstream.

It announces itself to its daemon, runs a bounded number of requests at
once, may call other services, records each request that it sees, and can be
told to be slow, to lie about its slots or to crash.
"""

from collections.abc import Awaitable
import json
import os
import random
import time
from typing import BinaryIO
import urllib.parse

import anyio
import httpcore
import msgspec
import typer

from lab import asgi
from sassafraswood import const
from sassafraswood import upstream_api

MAX_RECORDED_REQUESTS = 200_000
_DEADLINE_MARGIN_S = 0.05


class TruncatedAnswerError(Exception):
    """Ends an answer before its last byte."""


class Behaviour(msgspec.Struct, kw_only=True):
    """How the stand-in serves.

    Attributes:
        service_s: Mean service time in seconds.
        jitter: 0 for constant service times, 1 for exponential ones.
        slots: Requests that run at once.
        excess: What happens above the slots: wait, or shed.
        child: Target of a call to another service for each request.
        cancellable: Whether a request ends when its connection is closed or
            its time is over, waiting or not.

    A request with truncated=1 in its query gets half of its answer, after
    which the connection closes.
    """

    service_s: float = 0.005
    jitter: float = 0.0
    slots: int = 16
    excess: str = 'wait'
    child: str | None = None
    cancellable: bool = False


class SeenRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it arrived."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    at: float
    shed: bool


class Upstream:
    """ASGI application of the stand-in."""

    def __init__(
        self,
        behaviour: Behaviour,
        daemon: upstream_api.DaemonApi | None,
        record_file: BinaryIO | None = None,
    ) -> None:
        """Serve with a behaviour; child calls go through the daemon.

        Args:
            record_file: Unbuffered file for the requests, one JSON line
                each, which outlives a crash; None keeps them in memory only.
        """
        self._record_file = record_file
        self._behaviour = behaviour
        self._daemon = daemon
        self._slots = anyio.Semaphore(behaviour.slots)
        self._in_flight = 0
        self._seen: list[SeenRequest] = []
        self._random = random.Random(os.getpid())

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        body = await asgi.async_read_body(receive)
        path: str = scope['path']
        if path.startswith('/_lab/'):
            await self._async_control(path, body, send)
            return
        is_shed = (
            self._behaviour.excess == 'shed'
            and self._in_flight >= self._behaviour.slots
        )
        headers = self._record(scope, is_shed)
        token = headers.get(const.HEADER_CALL_TOKEN, '')
        if is_shed:
            await asgi.async_send_answer(
                send,
                503,
                b'busy',
                [(const.HEADER_NOT_RUN.encode(), token.encode())],
            )
            return
        self._in_flight += 1
        try:
            if self._behaviour.cancellable:
                timeout_ms = headers.get(const.HEADER_TIMEOUT_MS)
                await self._async_cancellable(
                    receive,
                    int(timeout_ms) / 1000 if timeout_ms else None,
                    self._async_in_slot(scope, path, body, token, send),
                )
            else:
                await self._async_in_slot(scope, path, body, token, send)
        finally:
            self._in_flight -= 1

    async def _async_in_slot(
        self,
        scope: asgi.Scope,
        path: str,
        body: bytes,
        token: str,
        send: asgi.Send,
    ) -> None:
        async with self._slots:
            await self._async_run(scope, path, body, token, send)

    async def _async_cancellable(
        self,
        receive: asgi.Receive,
        timeout_s: float | None,
        run: Awaitable[None],
    ) -> None:
        """Run until the daemon closes the connection or time is over."""
        # The daemon's own timer ends first, so that it does not take the end
        # of the request for an answer.
        margin_s = _DEADLINE_MARGIN_S
        with anyio.move_on_after(timeout_s and timeout_s + margin_s):
            async with anyio.create_task_group() as tasks:

                async def async_watch() -> None:
                    message = await receive()
                    if message['type'] == 'http.disconnect':
                        tasks.cancel_scope.cancel()

                tasks.start_soon(async_watch)
                await run
                tasks.cancel_scope.cancel()

    def _record(self, scope: asgi.Scope, is_shed: bool) -> dict[str, str]:
        headers = [
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in scope['headers']
        ]
        query = scope['query_string'].decode()
        if len(self._seen) < MAX_RECORDED_REQUESTS:
            seen = SeenRequest(
                method=scope['method'],
                target=f'{scope["path"]}?{query}',
                headers=headers,
                at=time.time(),
                shed=is_shed,
            )
            self._seen.append(seen)
            if self._record_file is not None:
                self._record_file.write(msgspec.json.encode(seen) + b'\n')
        return dict(headers)

    async def _async_run(
        self,
        scope: asgi.Scope,
        path: str,
        body: bytes,
        token: str,
        send: asgi.Send,
    ) -> None:
        if path == '/crash':
            os._exit(1)
        query = dict(urllib.parse.parse_qsl(scope['query_string'].decode()))
        await anyio.sleep(self._service_s(query))
        child_status = None
        child = query.get('child', self._behaviour.child)
        if child and self._daemon is not None:
            answer = await self._daemon.async_call(
                'GET', child, call_token=token
            )
            child_status = answer.status
            if answer.status >= 400:
                await asgi.async_send_answer(send, 502, answer.body)
                return
        result = {
            'path': path,
            'query': query,
            'echo': body.decode('latin-1'),
            'child': child_status,
        }
        if query.get('truncated') == '1':
            await _async_send_half(send, json.dumps(result).encode())
            return
        await asgi.async_send_json(send, 200, result)

    def _service_s(self, query: dict[str, str]) -> float:
        mean_s = float(query.get('service_s', self._behaviour.service_s))
        if self._behaviour.jitter <= 0 or mean_s <= 0:
            return mean_s
        varied_s = self._random.expovariate(1 / mean_s)
        jitter = self._behaviour.jitter
        return jitter * varied_s + (1 - jitter) * mean_s

    async def _async_control(
        self, path: str, body: bytes, send: asgi.Send
    ) -> None:
        if path == '/_lab/behaviour':
            behaviour = msgspec.json.decode(body, type=Behaviour)
            if behaviour.slots != self._behaviour.slots:
                self._slots = anyio.Semaphore(behaviour.slots)
            self._behaviour = behaviour
            await asgi.async_send_json(send, 200, {})
            return
        if path == '/_lab/requests':
            await asgi.async_send_answer(
                send, 200, msgspec.json.encode(self._seen)
            )
            return
        await asgi.async_send_json(send, 404, {'error': path})


async def _async_send_half(send: asgi.Send, body: bytes) -> None:
    """Send half of the announced bytes, then close the connection."""
    length = str(len(body)).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [
                (b'content-length', length),
                (b'connection', b'close'),
            ],
        }
    )
    await send(
        {
            'type': 'http.response.body',
            'body': body[: len(body) // 2],
            'more_body': True,
        }
    )
    # The server closes the connection of an application that fails.
    raise TruncatedAnswerError


def main(
    address: str,
    daemon: str = '',
    announced_slots: int = 0,
    behaviour: str = '{}',
    record: str = '',
) -> None:
    """Serve an upstream at host:port.

    Args:
        address: host:port to listen on.
        daemon: local_listen of the daemon; empty to announce to none.
        announced_slots: Slots to announce; 0 announces the real ones.
        behaviour: Behaviour as JSON.
        record: File to which the requests are appended; empty for none.
    """
    record_file = open(record, 'ab', buffering=0) if record else None
    parsed = msgspec.json.decode(behaviour, type=Behaviour)
    if not daemon:
        asgi.run_app(Upstream(parsed, None, record_file), address)
        return
    api = upstream_api.DaemonApi(daemon)

    async def async_announce() -> None:
        slots = announced_slots or parsed.slots
        await _async_announce(api, address, slots)

    asgi.run_app(Upstream(parsed, api, record_file), address, async_announce)


async def _async_announce(
    api: upstream_api.DaemonApi, address: str, slots: int
) -> None:
    """Announce until the daemon takes it."""
    while True:
        try:
            await api.async_announce(address, slots=slots)
            return
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            upstream_api.DaemonRefusedError,
        ):
            await anyio.sleep(0.05)


if __name__ == '__main__':
    typer.run(main)
