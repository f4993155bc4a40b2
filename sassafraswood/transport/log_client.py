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
    """Appends to and reads from one stream over HTTP."""

    def __init__(
        self, *, url: str, stream: str, traffic: traffic_module.Traffic
    ) -> None:
        """Use the stream of the log service at the base URL."""
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
            raise exceptions.LogOutcomeUnknownError('no answer') from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise exceptions.LogOutcomeUnknownError(str(error)) from error
        if answer.status >= 500 and answer.status != 503:
            raise exceptions.LogOutcomeUnknownError(f'status {answer.status}')
        if answer.status != 201:
            raise exceptions.LogUnavailableError(f'status {answer.status}')
        try:
            decoded = _decode(answer.content, _AppendAnswer)
        except exceptions.LogUnavailableError as error:
            raise exceptions.LogOutcomeUnknownError(str(error)) from error
        return ids.Offset(decoded.offset)

    async def async_read(
        self, start: ids.Offset, wait_s: float
    ) -> tuple[list[records.LogEntry], ids.Offset]:
        """Return the records from an offset and the log's next offset.

        Args:
            start: First offset to return.
            wait_s: Seconds to wait for a record at the tail of the log.

        Raises:
            LogUnavailableError: The log was not read.
            LogRetentionError: The offset is past retention.
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
            raise exceptions.LogUnavailableError(f'status {answer.status}')
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
                self._note_traffic(method, target, body, answer)
                return answer
        except (httpcore.TimeoutException, TimeoutError):
            # The connection may have gone silent; a new one may work.
            old = self._pool
            self._pool = self._new_pool()
            with anyio.CancelScope(shield=True):
                await old.aclose()
            raise

    def _note_traffic(
        self, method: str, target: str, body: bytes, answer: httpcore.Response
    ) -> None:
        kind = 'log_append' if method == 'POST' else 'log_read'
        # Method, target, version and line end, then the headers host,
        # content-type and content-length or transfer-encoding.
        request_bytes = len(method) + len(target) + 120 + len(body)
        self._traffic.note(traffic_module.SENT, kind, request_bytes)
        header_bytes = sum(
            # A colon, a space and the end of the line.
            len(name) + len(value) + 4
            for name, value in answer.headers
        )
        # The status line and the empty line after the headers.
        response_bytes = 19 + header_bytes + len(answer.content)
        self._traffic.note(traffic_module.RECEIVED, kind, response_bytes)

    def _new_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=4,
            keepalive_expiry=const.UPSTREAM_IDLE_S + math.ceil(1),
        )


def _decode(body: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise exceptions.LogUnavailableError('malformed answer') from error
