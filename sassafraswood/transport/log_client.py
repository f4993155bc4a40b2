"""Client of the platform's log service."""

import math
from typing import TypeVar

import anyio
import httpcore
import msgspec

from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.transport import traffic as traffic_module

_T = TypeVar('_T')


class _AppendAnswer(msgspec.Struct):
    offset: int


class _ReadAnswer(msgspec.Struct):
    records: list[records.LogEntry]
    next: int
    first: int


class _GoneAnswer(msgspec.Struct):
    first: int


class LogClient:
    """Appends to and reads from one stream of the log service over HTTP."""

    def __init__(
        self, *, url: str, stream: str, traffic: traffic_module.Traffic
    ) -> None:
        """Create a client.

        Args:
            url: Base URL of the log service.
            stream: Name of the stream.
            traffic: Counts requests, responses and their bytes.
        """
        self._target = f'{url.rstrip("/")}/streams/{stream}'
        self._traffic = traffic
        self._pool = self._new_pool()

    async def async_append(self, body: bytes) -> ids.Offset:
        """Append a record and return its offset.

        Raises:
            LogUnavailableError: The record was not appended.
            LogOutcomeUnknownError: The record may have been appended.
        """
        try:
            answer = await self._async_request(
                'POST', self._target, body, const.LOG_TIMEOUT_S
            )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            raise exceptions.LogUnavailableError(str(error)) from error
        except (httpcore.TimeoutException, TimeoutError) as error:
            raise exceptions.LogOutcomeUnknownError(
                'the log service did not answer the append in time'
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise exceptions.LogOutcomeUnknownError(str(error)) from error
        if answer.status >= 500 and answer.status != 503:
            raise exceptions.LogOutcomeUnknownError(
                f'the append was answered with HTTP status {answer.status}'
            )
        if answer.status != 201:
            raise exceptions.LogUnavailableError(
                f'the append was answered with HTTP status {answer.status}'
            )
        try:
            decoded = _decode(answer.content, _AppendAnswer)
        except exceptions.LogUnavailableError as error:
            raise exceptions.LogOutcomeUnknownError(str(error)) from error
        return ids.Offset(decoded.offset)

    async def async_read(
        self, start: ids.Offset, wait_s: float
    ) -> tuple[list[records.LogEntry], ids.Offset]:
        """Return records and the offset from which to read on.

        Args:
            start: First offset to return.
            wait_s: Longest wait for a new record at the tail, in seconds.

        Raises:
            LogUnavailableError: The log service failed or did not answer.
            LogRetentionError: The record at the offset is no longer kept.
        """
        target = (
            f'{self._target}?from={start}'
            f'&limit={const.LOG_BATCH_RECORDS}&wait={wait_s:g}'
        )
        try:
            answer = await self._async_request(
                'GET', target, b'', wait_s + const.LOG_TIMEOUT_S
            )
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            TimeoutError,
        ) as error:
            raise exceptions.LogUnavailableError(str(error)) from error
        if answer.status == 410:
            gone = _decode(answer.content, _GoneAnswer)
            raise exceptions.LogRetentionError(gone.first)
        if answer.status != 200:
            raise exceptions.LogUnavailableError(
                f'the read was answered with HTTP status {answer.status}'
            )
        decoded = _decode(answer.content, _ReadAnswer)
        return decoded.records, ids.Offset(decoded.next)

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _async_request(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> httpcore.Response:
        timeouts = {
            'connect': const.UPSTREAM_CONNECT_TIMEOUT_S,
            'read': timeout_s,
            'write': timeout_s,
            'pool': timeout_s,
        }
        try:
            with anyio.fail_after(timeout_s + 1.0):
                answer = await self._pool.request(
                    method,
                    target,
                    headers={'content-type': 'application/json'},
                    content=body,
                    extensions={'timeout': timeouts},
                )
                self._count_traffic(method, target, body, answer)
                return answer
        except (httpcore.TimeoutException, TimeoutError):
            # The connection may be broken without a reset; a new one may work.
            silent_pool = self._pool
            self._pool = self._new_pool()
            with anyio.CancelScope(shield=True):
                await silent_pool.aclose()
            raise

    def _count_traffic(
        self, method: str, target: str, body: bytes, answer: httpcore.Response
    ) -> None:
        kind = 'log_append' if method == 'POST' else 'log_read'
        # The request line without method and target, then the headers host,
        # content-type and content-length or transfer-encoding: about 120
        # bytes.
        request_bytes = len(method) + len(target) + 120 + len(body)
        self._traffic.note(traffic_module.SENT, kind, request_bytes)
        header_bytes = sum(
            # 4 bytes: colon, space and line end.
            len(name) + len(value) + 4
            for name, value in answer.headers
        )
        # 19 bytes: the status line and the empty line after the headers.
        response_bytes = 19 + header_bytes + len(answer.content)
        self._traffic.note(traffic_module.RECEIVED, kind, response_bytes)

    def _new_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=4,
            keepalive_expiry=const.UPSTREAM_IDLE_TIMEOUT_S + math.ceil(1),
        )


def _decode(body: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise exceptions.LogUnavailableError(
            'malformed answer of the log service'
        ) from error
