"""In-memory test double of the platform store, with the calls of daemons."""

import asyncio
import base64
import json
import random
import struct
import time
import urllib.parse

_RECORD_LENGTH = struct.Struct('>I')


class PlatformStore:
    """Serves keyed topics with one partition each from memory.

    Attributes:
        is_down: Whether responses are withheld, also those to calls that
            are in progress.
        is_busy: Whether calls are refused with 503.
        delay_s: Extra delay of each response, in seconds.
        lost_share: Fraction of appends that are stored without a response.
        late_s: Time after which appends are stored, without a response, in
            seconds; 0 for none.
        calls: Number of calls received.
        era: Number that rises each time that it comes back from a copy; 0
            leaves it out of responses.
    """

    def __init__(self) -> None:
        """Initialize an empty store without faults."""
        self.is_down = False
        self.is_busy = False
        self.delay_s = 0.0
        self.lost_share = 0.0
        self.late_s = 0.0
        self.calls = 0
        self.era = 0
        # When each record was appended, in seconds of monotonic time.
        self._appended_at: dict[str, list[float]] = {}
        self._random = random.Random(1)
        self._records: dict[str, list[bytes]] = {}
        self._first_offsets: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def async_start(self) -> tuple[str, int]:
        """Listen on a free port and return the host and port."""
        self._server = await asyncio.start_server(
            self._async_serve, '127.0.0.1', 0
        )
        host, port = self._server.sockets[0].getsockname()
        return host, port

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record directly, as the operator does."""
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + value)

    def forget_history(self, topic: str) -> None:
        """Make reads from any existing offset fail with 410.

        The newest value of each key remains available.
        """
        self._first_offsets[topic] = len(self._records.get(topic, []))

    def rewind(self, age_s: float) -> None:
        """Come back from a copy that is this old, in seconds.

        What the operator has written since then is written again.
        """
        self.era += 1
        copied_at = time.monotonic() - age_s
        for topic, times in self._appended_at.items():
            count = sum(at <= copied_at for at in times)
            lost = self._records[topic][count:]
            del self._records[topic][count:], times[count:]
            if topic == 'keyed.op':
                for payload in lost:
                    self._append(topic, payload)
        self._changed.set()
        self._changed = asyncio.Event()

    def _append(self, topic: str, payload: bytes) -> int:
        records = self._records.setdefault(topic, [])
        records.append(payload)
        self._appended_at.setdefault(topic, []).append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def _append_record(self, topic: str, body: bytes) -> int:
        """Append the record in the body of a call; return its offset."""
        return self._append(topic, body[_RECORD_LENGTH.size :])

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                method, target, _ = head.split(' ', 2)
                length = 0
                for line in head.split('\r\n')[1:]:
                    name, _, value = line.partition(':')
                    if name.lower() == 'content-length':
                        length = int(value)
                body = await reader.readexactly(length)
                self.calls += 1
                while self.is_down:
                    await asyncio.sleep(0.05)
                if self.late_s and method == 'POST':
                    # It is stored although its sender closes the connection.
                    asyncio.get_running_loop().call_later(
                        self.late_s,
                        self._append_record,
                        _parse_query(target)['topic'],
                        body,
                    )
                    await reader.read()
                    return
                status, response = 503, b''
                if not self.is_busy:
                    status, response = await self._async_handle_call(
                        method, target, body
                    )
                await asyncio.sleep(self.delay_s)
                while self.is_down:
                    await asyncio.sleep(0.05)
                if (
                    method == 'POST'
                    and self._random.random() < self.lost_share
                ):
                    writer.close()
                    return
                era = f'Store-Era: {self.era}\r\n' if self.era else ''
                writer.write(
                    f'HTTP/1.1 {status} X\r\n{era}'
                    f'Content-Length: {len(response)}\r\n\r\n'.encode()
                    + response
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The client closed the connection.
            return
        except asyncio.CancelledError:
            # The event loop is shutting down; asyncio would log an error.
            return
        finally:
            writer.close()

    async def _async_handle_call(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        path = urllib.parse.urlsplit(target).path
        query = _parse_query(target)
        topic = query['topic']
        if path == '/log-append' and method == 'POST':
            offset = self._append_record(topic, body)
            end = len(self._records[topic])
            return 200, json.dumps({'offset': offset, 'end': end}).encode()
        if path == '/log-newest':
            return 200, self._encode_newest(topic)
        if path == '/log-read':
            return await self._async_read_records(topic, query)
        return 404, b''

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key, without deleted keys."""
        return {
            key: value
            for key, (_, value) in self._find_newest_records(topic).items()
        }

    def _find_newest_records(self, topic: str) -> dict[str, tuple[int, bytes]]:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, payload in enumerate(self._records.get(topic, [])):
            end = 1 + payload[0]
            newest[payload[1:end].decode()] = offset, payload[end:]
        return {key: item for key, item in newest.items() if item[1]}

    def _encode_newest(self, topic: str) -> bytes:
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in self._find_newest_records(
                topic
            ).items()
        ]
        end = len(self._records.get(topic, []))
        return json.dumps({'items': items, 'more': False, 'end': end}).encode()

    async def _async_read_records(
        self, topic: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        start = int(query['from'])
        first = self._first_offsets.get(topic, 0)
        if not first <= start <= len(self._records.get(topic, [])):
            return 410, json.dumps({'first': first}).encode()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get('wait-ms', '0')) / 1000
        while (
            len(self._records.get(topic, [])) <= start
            and loop.time() < deadline
        ):
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                break
        records = self._records.get(topic, [])
        return 200, struct.pack('>QQ', len(records), first) + b''.join(
            _RECORD_LENGTH.pack(len(payload)) + payload
            for payload in records[start:]
        )


def _parse_query(target: str) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
