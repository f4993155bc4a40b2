"""HTTP application for callers and for calls that the upstream makes."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import anyio
import anyio.abc

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import call_tokens
from sassafraswood.coordination import first_daemon
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.protocol import headers as headers_module
from sassafraswood.protocol import incoming as incoming_module
from sassafraswood.transport import http_server

# Calls that last longer than this are watched for a disconnect of their
# caller. Watching each call from its start would cost a task per call.
_WATCH_DELAY_S = 0.05


@dataclasses.dataclass(kw_only=True)
class _ActiveCall:
    """A request that is not yet answered.

    Attributes:
        started_at: Time of the clock at which the call started, in seconds.
        scope: Cancels the call.
        watcher: Ends the task that waits for a disconnect.
    """

    started_at: float
    receive: http_server.Receive
    scope: anyio.CancelScope
    is_watched: bool = False
    watcher: anyio.CancelScope | None = None


class CallerApp:
    """Reads requests, runs them as calls and sends the answers."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        documents: incoming_module.DocumentLookup,
        calls: first_daemon.FirstDaemon,
        tokens: call_tokens.CallTokens,
        count: Callable[[str], None],
        max_calls: int,
        max_header_bytes: int,
    ) -> None:
        """Create the application.

        Args:
            clock: Clock of the daemon.
            documents: Finds the document of a service.
            calls: Runs the calls.
            tokens: Call tokens of the calls that the upstream runs.
            count: Increments a counter.
            max_calls: Most requests in flight; further ones are refused.
            max_header_bytes: Most bytes of names and values of headers.
        """
        self._clock = clock
        self._documents = documents
        self._calls = calls
        self._tokens = tokens
        self._count = count
        self._max_calls = max_calls
        self._max_header_bytes = max_header_bytes
        self._active_calls: dict[int, _ActiveCall] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are not yet answered."""
        return len(self._active_calls)

    async def async_serve(
        self,
        scope: http_server.Scope,
        receive: http_server.Receive,
        send: http_server.Send,
    ) -> None:
        """Serve a request of a caller for `/{service}/{path}`."""
        if scope['type'] != 'http':
            return
        raw_path = scope['raw_path'].decode('latin-1')
        await self._async_serve_call(scope, receive, send, raw_path, None)

    async def async_serve_child(
        self,
        scope: http_server.Scope,
        receive: http_server.Receive,
        send: http_server.Send,
        path: str,
    ) -> None:
        """Serve a call that the upstream of this daemon makes.

        Args:
            scope: ASGI scope of the request.
            receive: ASGI receive function.
            send: ASGI send function.
            path: `/{service}/{path}`, without the prefix `/call`.
        """
        token = _get_header(scope, const.HEADER_CALL_TOKEN)
        parent = self._tokens.find(ids.CallToken(token))
        if parent is None:
            await self._async_send_refusal(
                send, _not_run_refusal(enums.RefusalReason.CALL_TOKEN_UNKNOWN)
            )
            return
        await self._async_serve_call(scope, receive, send, path, parent)

    async def async_watch_callers(self) -> None:
        """Cancel calls whose callers have disconnected, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(_WATCH_DELAY_S)
                started_before = self._clock.monotonic() - _WATCH_DELAY_S
                for active in self._active_calls.values():
                    if (
                        not active.is_watched
                        and active.started_at < started_before
                    ):
                        active.is_watched = True
                        tasks.start_soon(_async_cancel_on_disconnect, active)

    async def _async_serve_call(
        self,
        scope: http_server.Scope,
        receive: http_server.Receive,
        send: http_server.Send,
        path: str,
        parent: call_tokens.TokenEntry | None,
    ) -> None:
        if len(self._active_calls) >= self._max_calls:
            await self._async_send_refusal(
                send, _not_run_refusal(enums.RefusalReason.OVERLOADED)
            )
            return
        incoming = await self._async_read_call(scope, receive, path)
        if incoming is None:
            return
        if isinstance(incoming, call.Refusal):
            await self._async_send_refusal(send, incoming)
            return
        if parent is None:
            run = self._calls.async_call(incoming)
        else:
            run = self._calls.async_child_call(incoming, parent)
        result = await self._async_run_watched(run, receive)
        if result is None:
            self._count('calls.abandoned')
            return
        if isinstance(result.result, call.Refusal):
            await self._async_send_refusal(send, result.result)
            return
        await self._async_send_answer(send, result.result)

    async def _async_run_watched(
        self, run: Awaitable[call.CallResult], receive: http_server.Receive
    ) -> call.CallResult | None:
        """Return the result, or None if the caller has disconnected."""
        active = _ActiveCall(
            started_at=self._clock.monotonic(),
            receive=receive,
            scope=anyio.CancelScope(),
        )
        self._active_calls[id(active)] = active
        result = None
        try:
            with active.scope:
                result = await run
        finally:
            del self._active_calls[id(active)]
            if active.watcher is not None:
                active.watcher.cancel()
        return result

    async def _async_read_call(
        self, scope: http_server.Scope, receive: http_server.Receive, path: str
    ) -> first_daemon.IncomingCall | call.Refusal | None:
        headers = [
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in scope['headers']
        ]
        size = sum(len(name) + len(value) for name, value in headers)
        if size > self._max_header_bytes:
            return _not_run_refusal(enums.RefusalReason.HEADERS_TOO_LARGE)
        try:
            with anyio.fail_after(const.BODY_TIMEOUT_S):
                body = await http_server.async_read_body(
                    receive, const.MAX_BODY_BYTES
                )
        except TimeoutError:
            return _not_run_refusal(enums.RefusalReason.BODY_TIMEOUT)
        except http_server.BodyTooLargeError:
            return _not_run_refusal(enums.RefusalReason.BODY_TOO_LARGE)
        except http_server.CallerDisconnectedError:
            return None
        return incoming_module.parse_call(
            self._documents,
            method=scope['method'],
            path=path,
            query=scope['query_string'].decode('latin-1'),
            headers=headers,
            body=body,
        )

    async def _async_send_refusal(
        self, send: http_server.Send, refusal: call.Refusal
    ) -> None:
        self._count(f'refused.{refusal.reason.value}')
        await http_server.async_send_refusal(send, refusal)

    async def _async_send_answer(
        self, send: http_server.Send, answer: call.Answer
    ) -> None:
        self._count('answers.whole')
        headers = headers_module.to_caller(answer.headers)
        headers.append((const.HEADER_RUN, enums.Outcome.RUN.value))
        await http_server.async_send(send, answer.status, headers, answer.body)


async def _async_cancel_on_disconnect(active: _ActiveCall) -> None:
    with anyio.CancelScope() as scope:
        active.watcher = scope
        message = await active.receive()
        if message['type'] == 'http.disconnect':
            active.scope.cancel()


def _get_header(scope: http_server.Scope, name: str) -> str:
    wanted = name.encode()
    for key, value in scope['headers']:
        if key == wanted:
            return value.decode('latin-1')
    return ''


def _not_run_refusal(reason: enums.RefusalReason) -> call.Refusal:
    return call.Refusal(reason=reason, outcome=enums.Outcome.NOT_RUN)
