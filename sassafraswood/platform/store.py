"""Client of the platform's store."""

import asyncio
import base64
import dataclasses
import struct
from typing import Final
import urllib.parse

import msgspec

from sassafraswood import exceptions
from sassafraswood.platform import wire_json
from sassafraswood.transport import exchange

RULES_TOPIC: Final = 'keyed.op'
RULES_KEY: Final = 'config'
# Time beyond a read's own waiting time within which the store answers, in
# seconds; a slow store takes about 0.3 s.
CALL_TIMEOUT_S: Final = 1.0
MAX_READ_KB: Final = 4096
_LENGTH: Final = struct.Struct('>I')
_RANGE: Final = struct.Struct('>QQ')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredRecord:
    """A keyed record; without a value the key is dropped."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Records read from a topic.

    Attributes:
        next_offset: Where the next read starts.
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
    """Calls of the store; at most one attempt a call."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Take the store's address."""
        self._host = f'{address[0]}:{address[1]}'
        self._pool = exchange.ExchangePool(address, frozenset())
        self.calls = 0

    async def async_newest(self, topic: str) -> Page:
        """Return the newest record of each key, in the order of writing.

        Raises:
            LogUnavailableError: The store did not answer.
            DecodeError: Its answer cannot be read.
        """
        items: list[_NewestItem] = []
        query = {'topic': topic, 'part': '0'}
        first_end: int | None = None
        while True:
            response = await self._async_call('GET', '/log-newest', query)
            newest = wire_json.decode(_newest_decoder, response.body)
            items += newest.items
            # Pages are no snapshot: what changes meanwhile is read again.
            if first_end is None:
                first_end = newest.end
            if not newest.more or not newest.items:
                break
            query['after'] = newest.items[-1].key
        items.sort(key=lambda item: item.offset)
        try:
            records = [
                StoredRecord(key=item.key, value=base64.b64decode(item.value))
                for item in items
            ]
        except ValueError as error:
            raise exceptions.DecodeError(str(error)) from error
        return Page(records=records, next_offset=first_end)

    async def async_read(self, topic: str, start: int, wait_s: float) -> Page:
        """Return the records from an offset, as soon as there are any.

        Raises:
            LogUnavailableError: The store did not answer.
            LogRetentionError: The records are not kept any more.
            DecodeError: Its answer cannot be read.
        """
        query = {
            'topic': topic,
            'part': '0',
            'from': str(start),
            'max-kb': str(MAX_READ_KB),
            'wait-ms': str(int(wait_s * 1000)),
        }
        response = await self._async_call('GET', '/log-read', query, wait_s)
        return _parse_page(response.body, start)

    async def async_append(self, topic: str, record: StoredRecord) -> None:
        """Append a keyed record.

        Raises:
            LogUnavailableError: Nothing was appended.
            LogOutcomeUnknownError: The answer was lost.
        """
        key = record.key.encode()
        payload = bytes([len(key)]) + key + record.value
        await self._async_call(
            'POST',
            '/log-append',
            {'topic': topic, 'part': '0'},
            body=_LENGTH.pack(len(payload)) + payload,
        )

    async def _async_call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        wait_s: float = 0.0,
        body: bytes = b'',
    ) -> exchange.Response:
        self.calls += 1
        target = f'{path}?{urllib.parse.urlencode(query)}'
        head = f'{method} {target} HTTP/1.1\r\nHost: {self._host}\r\n'
        if method == 'POST':
            head += f'Content-Length: {len(body)}\r\n'
        done: asyncio.Future[exchange.Outcome] = (
            asyncio.get_running_loop().create_future()
        )

        def finish(outcome: exchange.Outcome) -> None:
            if not done.done():
                done.set_result(outcome)

        running = self._pool.start(
            head.encode() + b'\r\n' + body, None, finish
        )
        try:
            async with asyncio.timeout(wait_s + CALL_TIMEOUT_S):
                outcome = await done
        except TimeoutError as error:
            # Nothing more comes on a connection that lost an answer.
            running.cancel()
            raise exceptions.LogOutcomeUnknownError('no answer') from error
        except asyncio.CancelledError:
            running.cancel()
            raise
        if isinstance(outcome, exchange.Response):
            return _check(outcome)
        if outcome in exchange.NOTHING_SENT:
            raise exceptions.LogUnavailableError(outcome.value)
        raise exceptions.LogOutcomeUnknownError(outcome.value)


def _check(response: exchange.Response) -> exchange.Response:
    if response.status == 200:
        return response
    if response.status == 410:
        first = wire_json.decode(_first_decoder, response.body).first
        raise exceptions.LogRetentionError(first)
    raise exceptions.LogUnavailableError(f'status {response.status}')


def _parse_page(body: bytes, start: int) -> Page:
    if len(body) < _RANGE.size:
        raise exceptions.DecodeError(f'{len(body)} bytes are no records')
    records: list[StoredRecord] = []
    position = _RANGE.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        payload = body[position : position + length]
        if len(payload) < length or length < 1:
            raise exceptions.DecodeError('a record is cut short')
        position += length
        key_end = 1 + payload[0]
        if key_end > length:
            raise exceptions.DecodeError('a key is cut short')
        records.append(
            StoredRecord(
                # Keys of another writer may be any bytes.
                key=payload[1:key_end].decode('utf-8', 'replace'),
                value=payload[key_end:],
            )
        )
    return Page(records=records, next_offset=start + len(records))
