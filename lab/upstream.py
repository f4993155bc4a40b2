"""Simulates an upstream.

The upstream announces itself to its daemon, runs a bounded number of requests
at once, may call other services and records the requests that it receives. It
can be configured to be slow, to announce a wrong number of slots or to crash.
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
    """Makes the server close the connection before the answer is complete."""


class Behaviour(msgspec.Struct, kw_only=True):
    """How the upstream serves requests.

    The query of a request may set service_s and child for this request. With
    truncated=1 in its query, it gets half of its answer, after which the
    connection is closed. A request for /crash ends the process.

    Attributes:
        service_s: Mean service time in seconds.
        jitter: Random part of the service times: 0 for constant times, 1 for
            exponentially distributed ones.
        slots: Largest number of requests that run at once.
        excess: What happens to a request while all slots are taken: wait or
            shed.
        child: Target of a call to another service that each request makes;
            None for no call.
        cancellable: Whether a request ends when its connection is closed or
            its timeout expires, both while it waits for a slot and while it
            runs.
    """

    service_s: float = 0.005
    jitter: float = 0.0
    slots: int = 16
    excess: str = 'wait'
    child: str | None = None
    cancellable: bool = False


class RecordedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it was received.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Names and values in the order received.
        at: Time of receipt, in seconds of Unix time.
        shed: Whether the request was refused because all slots were taken.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    at: float
    shed: bool


class Upstream:
    """ASGI application of the simulated upstream."""

    def __init__(
        self,
        behaviour: Behaviour,
        daemon: upstream_api.DaemonApi | None,
        record_file: BinaryIO | None = None,
    ) -> None:
        """Initialize with a behaviour.

        Args:
            behaviour: How requests are served.
            daemon: Client of the daemon for calls to other services; None to
                make no such calls.
            record_file: File for the received requests, one JSON line each;
                None to keep them in memory only. It is unbuffered, so that
                the requests before a crash are not lost.
        """
        self._record_file = record_file
        self._behaviour = behaviour
        self._daemon = daemon
        self._slots = anyio.Semaphore(behaviour.slots)
        self._in_flight = 0
        self._recorded_requests: list[RecordedRequest] = []
        self._random = random.Random(os.getpid())

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        body = await asgi.async_read_body(receive)
        path: str = scope['path']
        if path.startswith('/_lab/'):
            await self._async_handle_control(path, body, send)
            return
        is_shed = (
            self._behaviour.excess == 'shed'
            and self._in_flight >= self._behaviour.slots
        )
        headers = self._record_request(scope, is_shed)
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
                await self._async_run_cancellable(
                    receive,
                    int(timeout_ms) / 1000 if timeout_ms else None,
                    self._async_run_in_slot(scope, path, body, token, send),
                )
            else:
                await self._async_run_in_slot(scope, path, body, token, send)
        finally:
            self._in_flight -= 1

    async def _async_run_in_slot(
        self,
        scope: asgi.Scope,
        path: str,
        body: bytes,
        token: str,
        send: asgi.Send,
    ) -> None:
        async with self._slots:
            await self._async_run(scope, path, body, token, send)

    async def _async_run_cancellable(
        self,
        receive: asgi.Receive,
        timeout_s: float | None,
        run: Awaitable[None],
    ) -> None:
        """Run until done, disconnected by the daemon, or out of time."""
        # The margin lets the timer of the daemon expire first. Otherwise the
        # daemon would take the end of the request for an answer.
        margin_s = _DEADLINE_MARGIN_S
        with anyio.move_on_after(timeout_s and timeout_s + margin_s):
            async with anyio.create_task_group() as tasks:

                async def async_watch_connection() -> None:
                    message = await receive()
                    if message['type'] == 'http.disconnect':
                        tasks.cancel_scope.cancel()

                tasks.start_soon(async_watch_connection)
                await run
                tasks.cancel_scope.cancel()

    def _record_request(
        self, scope: asgi.Scope, is_shed: bool
    ) -> dict[str, str]:
        headers = [
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in scope['headers']
        ]
        query = scope['query_string'].decode()
        if len(self._recorded_requests) < MAX_RECORDED_REQUESTS:
            recorded = RecordedRequest(
                method=scope['method'],
                target=f'{scope["path"]}?{query}',
                headers=headers,
                at=time.time(),
                shed=is_shed,
            )
            self._recorded_requests.append(recorded)
            if self._record_file is not None:
                self._record_file.write(msgspec.json.encode(recorded) + b'\n')
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
        await anyio.sleep(self._draw_service_time_s(query))
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
            await _async_send_truncated(send, json.dumps(result).encode())
            return
        await asgi.async_send_json(send, 200, result)

    def _draw_service_time_s(self, query: dict[str, str]) -> float:
        mean_s = float(query.get('service_s', self._behaviour.service_s))
        if self._behaviour.jitter <= 0 or mean_s <= 0:
            return mean_s
        random_s = self._random.expovariate(1 / mean_s)
        jitter = self._behaviour.jitter
        return jitter * random_s + (1 - jitter) * mean_s

    async def _async_handle_control(
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
                send, 200, msgspec.json.encode(self._recorded_requests)
            )
            return
        await asgi.async_send_json(send, 404, {'error': path})


async def _async_send_truncated(send: asgi.Send, body: bytes) -> None:
    """Send half of the body, then make the server close the connection."""
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
    # The server closes the connection when the application raises an error.
    raise TruncatedAnswerError


def main(
    address: str,
    daemon: str = '',
    announced_slots: int = 0,
    behaviour: str = '{}',
    record: str = '',
) -> None:
    """Serve a simulated upstream.

    Args:
        address: Address to listen on, as host:port.
        daemon: local_listen of the daemon to announce to; empty for none.
        announced_slots: Slots to announce; 0 for those of the behaviour.
        behaviour: Fields of Behaviour as a JSON object.
        record: File to which received requests are appended; empty for none.
    """
    record_file = open(record, 'ab', buffering=0) if record else None
    parsed_behaviour = msgspec.json.decode(behaviour, type=Behaviour)
    if not daemon:
        upstream = Upstream(parsed_behaviour, None, record_file)
        asgi.run_app(upstream_api.CallTokenMiddleware(upstream), address)
        return
    api = upstream_api.DaemonApi(daemon)

    async def async_announce() -> None:
        slots = announced_slots or parsed_behaviour.slots
        await _async_announce(api, address, slots)

    upstream = Upstream(parsed_behaviour, api, record_file)
    asgi.run_app(
        upstream_api.CallTokenMiddleware(upstream), address, async_announce
    )


async def _async_announce(
    api: upstream_api.DaemonApi, address: str, slots: int
) -> None:
    """Announce the upstream, and try again until the daemon accepts it."""
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
