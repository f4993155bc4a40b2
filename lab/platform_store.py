"""Stand-in of the platform's store, with the calls that daemons use."""

import asyncio
import base64
import json
import random
import struct
import urllib.parse

_LENGTH = struct.Struct('>I')


class PlatformStore:
    """Keyed topics with one partition each, kept in memory.

    Attributes:
        is_down: Whether calls are left without an answer, also those that
            were accepted before.
        is_busy: Whether calls are refused with 503.
        delay_s: Time that a call takes beyond its wait.
        lost_share: Share of appends that are done and not answered.
        calls: Number of calls so far.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.is_down = False
        self.is_busy = False
        self.delay_s = 0.0
        self.lost_share = 0.0
        self.calls = 0
        self._random = random.Random(1)
        self._records: dict[str, list[bytes]] = {}
        self._first: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def async_start(self) -> tuple[str, int]:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(
            self._async_serve, '127.0.0.1', 0
        )
        host, port = self._server.sockets[0].getsockname()
        return host, port

    def stop(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as the operator."""
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + value)

    def forget_history(self, topic: str) -> None:
        """Drop all records but the newest of each key."""
        self._first[topic] = len(self._records.get(topic, []))

    def _append(self, topic: str, payload: bytes) -> int:
        records = self._records.setdefault(topic, [])
        records.append(payload)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

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
                status, answer = 503, b''
                if not self.is_busy:
                    status, answer = await self._async_answer(
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
                writer.write(
                    f'HTTP/1.1 {status} X\r\n'
                    f'Content-Length: {len(answer)}\r\n\r\n'.encode()
                    + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The client has left.
            return
        except asyncio.CancelledError:
            # The loop ends; asyncio would log it as an error.
            return
        finally:
            writer.close()

    async def _async_answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        topic = query['topic']
        if parts.path == '/log-append' and method == 'POST':
            offset = self._append(topic, body[_LENGTH.size :])
            end = len(self._records[topic])
            return 200, json.dumps({'offset': offset, 'end': end}).encode()
        if parts.path == '/log-newest':
            return 200, self._newest(topic)
        if parts.path == '/log-read':
            return await self._async_read(topic, query)
        return 404, b''

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the value of each key."""
        return {key: value for key, (_, value) in self._by_key(topic).items()}

    def _by_key(self, topic: str) -> dict[str, tuple[int, bytes]]:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, payload in enumerate(self._records.get(topic, [])):
            end = 1 + payload[0]
            newest[payload[1:end].decode()] = offset, payload[end:]
        return {key: item for key, item in newest.items() if item[1]}

    def _newest(self, topic: str) -> bytes:
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in self._by_key(topic).items()
        ]
        end = len(self._records.get(topic, []))
        return json.dumps({'items': items, 'more': False, 'end': end}).encode()

    async def _async_read(
        self, topic: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        start = int(query['from'])
        first = self._first.get(topic, 0)
        if start < first:
            return 410, json.dumps({'first': first}).encode()
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get('wait-ms', '0')) / 1000
        while (
            len(self._records.get(topic, [])) <= start and loop.time() < until
        ):
            changed = self._changed
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                break
        records = self._records.get(topic, [])
        return 200, struct.pack('>QQ', len(records), first) + b''.join(
            _LENGTH.pack(len(payload)) + payload for payload in records[start:]
        )
