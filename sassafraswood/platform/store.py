"""Client of the platform's store."""

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import math
import struct
from typing import Final
import urllib.parse

import msgspec

from sassafraswood import clock as clock_module
from sassafraswood.coordination import store_era
from sassafraswood import exceptions
from sassafraswood.platform import wire_json
from sassafraswood.transport import exchange
from sassafraswood.transport import timeouts

RULES_TOPIC: Final = 'keyed.op'
RULES_KEY: Final = 'config'
# Timeout of a call in addition to the time that a read waits for records; a
# slow store takes about 0.3 s to respond.
CALL_TIMEOUT_S: Final = 1.0
# Calls that a read or an append makes at most, each CALL_TIMEOUT_S after the
# one before.
MAX_CALLS: Final = 3
# Failures after which another call may still have a response.
_CALL_FAILURES: Final = (
    exceptions.LogUnavailableError,
    exceptions.LogOutcomeUnknownError,
)
MAX_READ_KB: Final = 4096
# Most bytes of all responses that are received at a time; the longest page
# holds MAX_READ_KB and a part of that for its encoding.
MAX_HELD_BYTES: Final = 16 << 20
# Statuses that say that a call had no effect; any other failure, such as that
# of a gateway, says nothing of an append.
_NOTHING_DONE_STATUSES: Final = frozenset(
    {400, 403, 404, 409, 412, 429, 503, 507}
)
# Header field of each response with the era of the store.
_ERA_FIELD: Final = b'store-era'
_MAX_ERA: Final = 1 << 20
# Pause before a lost record is written again after a failure.
_REWRITE_PAUSE_S: Final = 0.3
_NO_RESPONSE: Final = 'no response from the store in time'
_LENGTH: Final = struct.Struct('>I')
_RANGE: Final = struct.Struct('>QQ')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredRecord:
    """A keyed record; an empty value is the tombstone of the key."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Records read from a topic.

    Attributes:
        records: Records in the order in which they were written.
        next_offset: Position at which the next read starts; it holds the era
            of the store above the offset (store_era).
    """

    records: list[StoredRecord]
    next_offset: int


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    value: str
    offset: wire_json.Count


class _First(msgspec.Struct, frozen=True):
    first: wire_json.Count


class _Newest(msgspec.Struct, frozen=True):
    items: list[_NewestItem]
    end: wire_json.Count
    more: bool = False


_newest_decoder = msgspec.json.Decoder(_Newest)
_first_decoder = msgspec.json.Decoder(_First)


class StoreClient:
    """Client of the store's HTTP API.

    An append may be sent several times: the records have keys, so that a
    repeat changes nothing unless a newer record of the key precedes it.

    A store that comes back from an older copy has lost what it acknowledged
    since then; the client writes again what it has written.

    Attributes:
        calls: Number of calls made.
    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        clock: clock_module.Clock | None = None,
        on_rewound: Callable[[int, int], None] = lambda era, count: None,
    ) -> None:
        """Initialize the client.

        Args:
            address: IP address and port of the store.
            clock: Monotonic clock; the system's by default.
            on_rewound: Called with the era and the number of records to be
                written again when the store has come back from a copy.
        """
        self._host = f'{address[0]}:{address[1]}'
        self._pool = exchange.ExchangePool(address, frozenset({_ERA_FIELD}))
        self._writes = store_era.RecentWrites(
            clock or clock_module.SystemClock()
        )
        self._on_rewound = on_rewound
        self._rewriting: asyncio.Task[None] | None = None
        self._pool.held.limit = MAX_HELD_BYTES
        # Newest append in progress of each topic and key.
        self._appends: dict[tuple[str, str], StoredRecord] = {}
        self.calls = 0

    @property
    def era(self) -> int:
        """Return the latest known era of the store."""
        return self._writes.era

    def note_era(self, era: int) -> None:
        """Record an era that a response or a peer names."""
        if self._writes.note_era(era):
            self._on_rewound(era, len(self._writes.find_lost()))
            self._start_rewriting()

    def stop(self) -> None:
        """Write no lost record any more."""
        if self._rewriting is not None:
            self._rewriting.cancel()

    async def async_newest(self, topic: str) -> Page:
        """Return the newest record of each key, ordered by offset.

        Raises:
            LogUnavailableError: The store is unreachable or fails.
            LogOutcomeUnknownError: The response was lost.
            DecodeError: The response is invalid.
        """
        items: list[_NewestItem] = []
        query = {'topic': topic, 'part': '0'}
        first_end: int | None = None
        era = 0
        while True:
            response = await self._async_call_repeatedly(
                'GET', '/log-newest', query
            )
            newest = wire_json.decode(_newest_decoder, response.body)
            items += newest.items
            # The pages are not one snapshot: the next read starts at the end
            # of the first page, so that it returns later changes.
            if first_end is None:
                first_end = newest.end
                era = _get_era(response)
            if _get_era(response) != era:
                raise exceptions.LogUnavailableError(
                    'the store came back from a copy between two pages'
                )
            if not newest.more or not newest.items:
                break
            last_key = newest.items[-1].key
            if query.get('after') == last_key:
                raise exceptions.DecodeError('pages repeat themselves')
            query['after'] = last_key
        items.sort(key=lambda item: item.offset)
        try:
            records = [
                StoredRecord(key=item.key, value=base64.b64decode(item.value))
                for item in items
            ]
        except ValueError as error:
            raise exceptions.DecodeError(str(error)) from error
        return Page(
            records=records,
            next_offset=store_era.make_position(era, first_end),
        )

    async def async_read(self, topic: str, start: int, wait_s: float) -> Page:
        """Return the records from an offset on, as soon as there are any.

        Args:
            topic: Topic to read.
            start: Position of the first record.
            wait_s: Time that the store waits for records, in seconds.

        Raises:
            LogUnavailableError: The store is unreachable or fails.
            LogOutcomeUnknownError: The response was lost.
            LogRetentionError: The store does not keep the records, or the
                position is of an earlier era.
            DecodeError: The response is invalid.
        """
        era = store_era.get_era(start)
        offset = store_era.get_offset(start)
        if era < self.era:
            raise exceptions.LogRetentionError(offset)
        query = {
            'topic': topic,
            'part': '0',
            'from': str(offset),
            'max-kb': str(MAX_READ_KB),
            'wait-ms': str(math.ceil(wait_s * 1000)),
        }
        response = await self._async_call_repeatedly(
            'GET', '/log-read', query, wait_s=wait_s
        )
        if _get_era(response) != era:
            # Another record may have the offset now.
            raise exceptions.LogRetentionError(offset)
        page = _parse_page(response.body, offset)
        return dataclasses.replace(
            page, next_offset=store_era.make_position(era, page.next_offset)
        )

    async def async_append(self, topic: str, record: StoredRecord) -> None:
        """Append a keyed record to a topic.

        Raises:
            LogUnavailableError: The store is unreachable or fails; nothing was
                appended.
            LogOutcomeUnknownError: The response was lost, or another append of
                the key began before it; the record may have been appended.
        """
        key = record.key.encode()
        payload = bytes([len(key)]) + key + record.value
        append_id = topic, record.key
        self._appends[append_id] = record
        try:
            response = await self._async_call_repeatedly(
                'POST',
                '/log-append',
                {'topic': topic, 'part': '0'},
                body=_LENGTH.pack(len(payload)) + payload,
                may_repeat=lambda: self._appends.get(append_id) is record,
            )
        finally:
            if self._appends.get(append_id) is record:
                del self._appends[append_id]
        era = _get_era(response)
        self._writes.note_write(topic, record.key, record.value, era)
        if era < self.era:
            self._start_rewriting()

    def _start_rewriting(self) -> None:
        if self._rewriting is None or self._rewriting.done():
            self._rewriting = asyncio.get_running_loop().create_task(
                self._async_rewrite()
            )

    async def _async_rewrite(self) -> None:
        """Write the lost records again, each until that succeeds."""
        while lost := self._writes.find_lost():
            for topic, key, value in lost:
                if (topic, key) in self._appends:
                    # A newer record of the key is being written.
                    continue
                try:
                    await self.async_append(
                        topic, StoredRecord(key=key, value=value)
                    )
                except exceptions.SassafraswoodError:
                    break
            await asyncio.sleep(_REWRITE_PAUSE_S)

    async def _async_call_repeatedly(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        *,
        wait_s: float = 0.0,
        body: bytes = b'',
        may_repeat: Callable[[], bool] = lambda: True,
    ) -> exchange.Response:
        """Send a call, and send it again while there is no response.

        A slow store responds to an earlier call, and a store that has lost a
        response to a later one. Later calls do not wait for records.

        Args:
            method: HTTP method.
            path: Path of the call.
            query: Parameters of the call.
            wait_s: Time that the store waits for records, in seconds.
            body: Body of the call.
            may_repeat: Returns whether the call may be sent again.
        """
        loop = asyncio.get_running_loop()
        calls: list[asyncio.Task[exchange.Response]] = []
        try:
            for calls_left in range(MAX_CALLS, 0, -1):
                if calls and not may_repeat():
                    break
                timeout_s = wait_s + calls_left * CALL_TIMEOUT_S
                calls.append(
                    loop.create_task(
                        self._async_call(method, path, query, timeout_s, body)
                    )
                )
                response = await _async_wait_for_any(
                    calls, wait_s + CALL_TIMEOUT_S
                )
                if response is not None:
                    return response
                if wait_s:
                    query = query | {'wait-ms': '0'}
                    wait_s = 0.0
        finally:
            for call in calls:
                call.cancel()
        raise exceptions.LogOutcomeUnknownError(_NO_RESPONSE)

    async def _async_call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        body: bytes,
    ) -> exchange.Response:
        self.calls += 1
        target = f'{path}?{urllib.parse.urlencode(query)}'
        head = f'{method} {target} HTTP/1.1\r\nHost: {self._host}\r\n'
        if method == 'POST':
            head += f'Content-Length: {len(body)}\r\n'
        outcome_future: asyncio.Future[exchange.Outcome] = (
            asyncio.get_running_loop().create_future()
        )

        def finish(outcome: exchange.Outcome) -> None:
            if not outcome_future.done():
                outcome_future.set_result(outcome)

        running_exchange = self._pool.start(
            head.encode() + b'\r\n' + body, None, finish
        )
        try:
            await timeouts.async_wait_or_cancel(outcome_future, timeout_s)
        except TimeoutError as error:
            # No response follows on a connection that lost one, so it is
            # closed.
            running_exchange.cancel()
            raise exceptions.LogOutcomeUnknownError(_NO_RESPONSE) from error
        except asyncio.CancelledError:
            running_exchange.cancel()
            raise
        outcome = outcome_future.result()
        if isinstance(outcome, exchange.Response):
            self.note_era(_get_era(outcome))
            return _check_status(outcome)
        if outcome in exchange.NOTHING_SENT:
            raise exceptions.LogUnavailableError(outcome.value)
        raise exceptions.LogOutcomeUnknownError(outcome.value)


async def _async_wait_for_any(
    calls: list[asyncio.Task[exchange.Response]], timeout_s: float
) -> exchange.Response | None:
    """Return the first response to one of several calls.

    Returns:
        None if there is none in time, but a call is still open.

    Raises:
        LogUnavailableError: All calls have failed without an effect.
        LogOutcomeUnknownError: All calls have failed.
        SassafraswoodError: A response is an error that is final.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    pending = {call for call in calls if not call.done()}
    while pending:
        done, pending = await asyncio.wait(
            pending,
            timeout=max(0.0, until - loop.time()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            return None
        call = min(done, key=_has_failed)
        if not _has_failed(call):
            return call.result()
    return min(calls, key=_is_without_effect).result()


def _has_failed(call: asyncio.Task[exchange.Response]) -> bool:
    return isinstance(call.exception(), _CALL_FAILURES)


def _is_without_effect(call: asyncio.Task[exchange.Response]) -> bool:
    return isinstance(call.exception(), exceptions.LogUnavailableError)


def _get_era(response: exchange.Response) -> int:
    """Return the era in a response; 0 if it names none."""
    value = response.fields.get(_ERA_FIELD, b'')
    if not value.isdigit() or len(value) > len(str(_MAX_ERA)):
        return 0
    return min(int(value), _MAX_ERA)


def _check_status(response: exchange.Response) -> exchange.Response:
    """Return a successful response; raise the error of any other."""
    if response.status == 200:
        return response
    if response.status == 410:
        first = wire_json.decode(_first_decoder, response.body).first
        raise exceptions.LogRetentionError(first)
    message = f'store responded with status {response.status}'
    if response.status in _NOTHING_DONE_STATUSES:
        raise exceptions.LogUnavailableError(message)
    raise exceptions.LogOutcomeUnknownError(message)


def _parse_page(body: bytes, start: int) -> Page:
    """Return the records in the response to a read.

    The body holds the end and the first offset of the topic, and the records.
    Each record is a length of four bytes, big-endian, and a payload that holds
    the length of the key in one byte, the key and the value.

    Raises:
        LogRetentionError: The topic ends before the records or their start.
        DecodeError: The body is not a page.
    """
    if len(body) < _RANGE.size:
        raise exceptions.DecodeError(
            f'page of {len(body)} bytes is shorter than its header'
        )
    end, first = _RANGE.unpack_from(body)
    records: list[StoredRecord] = []
    position = _RANGE.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        payload = body[position : position + length]
        if len(payload) < length or length < 1:
            raise exceptions.DecodeError('page ends within a record')
        position += length
        key_end = 1 + payload[0]
        if key_end > length:
            raise exceptions.DecodeError('key is longer than its record')
        records.append(
            StoredRecord(
                # Other writers may use keys that are not UTF-8.
                key=payload[1:key_end].decode('utf-8', 'replace'),
                value=payload[key_end:],
            )
        )
    if position < len(body):
        raise exceptions.DecodeError('page ends within a length')
    next_offset = start + len(records)
    if next_offset > end:
        # Later records would be missed if reads went on there.
        raise exceptions.LogRetentionError(first)
    return Page(records=records, next_offset=next_offset)
