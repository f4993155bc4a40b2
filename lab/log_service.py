"""Stand-in for the platform's append-only log service.

It speaks the protocol of docs/design.md, section 4, and has a control
endpoint that brings about outages, lost answers, delays and retention.
"""

import dataclasses
import urllib.parse

import anyio
import msgspec
import typer

from lab import asgi

# The platform takes several hundred appends a second.
APPEND_INTERVAL_S = 1 / 400


@dataclasses.dataclass(kw_only=True)
class Stream:
    """Records of one stream; offsets before first are no longer kept."""

    first: int = 0
    records: list[str] = dataclasses.field(default_factory=list)

    @property
    def next(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)


class Faults(msgspec.Struct, kw_only=True):
    """Faults that the control endpoint sets.

    Attributes:
        down: Requests are answered with 503.
        silent: Requests get no answer at all.
        lose_answers: This many appends take effect without an answer.
        delay_s: Delay of each answer in seconds.
        keep_records: Records kept per stream; None keeps all.
    """

    down: bool = False
    silent: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0
    keep_records: int | None = None


class LogService:
    """ASGI application of the log."""

    def __init__(self) -> None:
        """Start with no streams and no faults."""
        self._streams: dict[str, Stream] = {}
        self._changed = anyio.Event()
        self._faults = Faults()
        self._appends = 0

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        body = await asgi.async_read_body(receive)
        path: str = scope['path']
        if path == '/control':
            self._faults = msgspec.json.decode(body, type=Faults)
            self._apply_retention()
            await asgi.async_send_json(send, 200, {'appends': self._appends})
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
        await anyio.sleep(APPEND_INTERVAL_S)
        offset = stream.next
        stream.records.append(body.decode())
        self._appends += 1
        self._apply_retention()
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            await anyio.sleep(3600)
        await asgi.async_send_json(send, 201, {'offset': offset})

    async def _async_read(
        self, stream: Stream, query: dict[str, str], send: asgi.Send
    ) -> None:
        start = int(query.get('from', 0))
        limit = int(query.get('limit', 500))
        wait_s = float(query.get('wait', 0))
        with anyio.move_on_after(wait_s):
            while start >= stream.next and start >= stream.first:
                await self._changed.wait()
        if self._faults.down:
            await asgi.async_send_json(send, 503, {'error': 'unavailable'})
            return
        if start < stream.first:
            await asgi.async_send_json(send, 410, {'first': stream.first})
            return
        index = start - stream.first
        records = [
            {'offset': start + position, 'body': body}
            for position, body in enumerate(
                stream.records[index : index + limit]
            )
        ]
        await asgi.async_send_json(
            send,
            200,
            {'records': records, 'next': stream.next, 'first': stream.first},
        )

    def _apply_retention(self) -> None:
        keep = self._faults.keep_records
        if keep is None:
            return
        for stream in self._streams.values():
            excess = len(stream.records) - keep
            if excess > 0:
                del stream.records[:excess]
                stream.first += excess


def main(address: str) -> None:
    """Serve the log at host:port."""
    asgi.run_app(LogService(), address)


if __name__ == '__main__':
    typer.run(main)
