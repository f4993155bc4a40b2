"""Simulates the platform's append-only log service.

The service implements the protocol of docs/design.md, section 4. Its control
endpoint sets outages, lost answers, delays and the retention of records.
"""

import dataclasses
import urllib.parse

import anyio
import msgspec
import typer

from lab import asgi

# The log of the platform accepts several hundred appends per second.
APPEND_DELAY_S = 1 / 400


@dataclasses.dataclass(kw_only=True)
class Stream:
    """Records of one stream.

    Attributes:
        first_offset: Offset of the oldest record that is still kept.
        records: Bodies of the kept records, in order of their offsets.
    """

    first_offset: int = 0
    records: list[str] = dataclasses.field(default_factory=list)

    @property
    def next_offset(self) -> int:
        """Return the offset that the next record gets."""
        return self.first_offset + len(self.records)


class Faults(msgspec.Struct, kw_only=True):
    """Faults that the control endpoint sets.

    Attributes:
        down: Whether requests are answered with status 503.
        silent: Whether requests get no answer at all.
        lose_answers: Number of further appends that take effect but are not
            answered.
        delay_s: Delay before each request is served, in seconds.
        keep_records: Most records kept in each stream; None to keep all.
    """

    down: bool = False
    silent: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0
    keep_records: int | None = None


class LogService:
    """ASGI application of the simulated log."""

    def __init__(self) -> None:
        """Initialize without streams and faults."""
        self._streams: dict[str, Stream] = {}
        self._record_appended = anyio.Event()
        self._faults = Faults()
        self._append_count = 0

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        body = await asgi.async_read_body(receive)
        path: str = scope['path']
        if path == '/control':
            self._faults = msgspec.json.decode(body, type=Faults)
            self._apply_retention()
            await asgi.async_send_json(
                send, 200, {'appends': self._append_count}
            )
            return
        if self._faults.silent:
            await anyio.sleep(3600)
        if self._faults.delay_s:
            await anyio.sleep(self._faults.delay_s)
        if self._faults.down:
            await asgi.async_send_json(send, 503, {'error': 'unavailable'})
            return
        if not path.startswith('/streams/'):
            await asgi.async_send_json(send, 404, {'error': 'no such path'})
            return
        stream = self._streams.setdefault(path[9:], Stream())
        if scope['method'] == 'POST':
            await self._async_append(stream, body, send)
            return
        query = dict(urllib.parse.parse_qsl(scope['query_string'].decode()))
        await self._async_read(stream, query, send)

    async def _async_append(
        self, stream: Stream, body: bytes, send: asgi.Send
    ) -> None:
        await anyio.sleep(APPEND_DELAY_S)
        offset = stream.next_offset
        stream.records.append(body.decode())
        self._append_count += 1
        self._apply_retention()
        record_appended = self._record_appended
        self._record_appended = anyio.Event()
        record_appended.set()
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            await anyio.sleep(3600)
        await asgi.async_send_json(send, 201, {'offset': offset})

    async def _async_read(
        self, stream: Stream, query: dict[str, str], send: asgi.Send
    ) -> None:
        from_offset = int(query.get('from', 0))
        limit = int(query.get('limit', 500))
        wait_s = float(query.get('wait', 0))
        with anyio.move_on_after(wait_s):
            while (
                from_offset >= stream.next_offset
                and from_offset >= stream.first_offset
            ):
                await self._record_appended.wait()
        if self._faults.down:
            await asgi.async_send_json(send, 503, {'error': 'unavailable'})
            return
        if from_offset < stream.first_offset:
            await asgi.async_send_json(
                send, 410, {'first': stream.first_offset}
            )
            return
        index = from_offset - stream.first_offset
        records = [
            {'offset': from_offset + position, 'body': body}
            for position, body in enumerate(
                stream.records[index : index + limit]
            )
        ]
        await asgi.async_send_json(
            send,
            200,
            {
                'records': records,
                'next': stream.next_offset,
                'first': stream.first_offset,
            },
        )

    def _apply_retention(self) -> None:
        keep = self._faults.keep_records
        if keep is None:
            return
        for stream in self._streams.values():
            excess = len(stream.records) - keep
            if excess > 0:
                del stream.records[:excess]
                stream.first_offset += excess


def main(address: str) -> None:
    """Serve a simulated log at an address, given as host:port."""
    asgi.run_app(LogService(), address)


if __name__ == '__main__':
    typer.run(main)
