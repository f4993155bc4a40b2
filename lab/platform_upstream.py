"""Test double of an upstream on the platform, with reports to its daemon."""

import asyncio
from collections.abc import Awaitable, Callable
import enum
import hashlib
import random
import time

# Default number of requests that an upstream runs at once.
SLOTS = 20
# Poll interval of a request while is_dark is set, in seconds.
_DARK_POLL_S = 0.05
# Called with the header fields and the target of each request that runs;
# returns whether the inner calls of the upstream succeeded.
OnRun = Callable[[dict[str, str], str], Awaitable[bool]]


class Fault(enum.Enum):
    """Faults in the responses of an upstream."""

    NONE = 'none'
    # The request runs and the connection ends without a response.
    LOST = 'lost'
    # The response lacks its last byte and the connection ends.
    CUT_SHORT = 'cut_short'
    # The bytes are not an HTTP response.
    NO_ANSWER = 'no_answer'
    # The response is sent twice.
    TWICE = 'twice'
    # The response to another request is sent first.
    FOREIGN = 'foreign'
    # The header or the body never ends.
    ENDLESS_HEAD = 'endless_head'
    ENDLESS_BODY = 'endless_body'
    # The refusal of a former request is sent again before the response.
    FORMER_REFUSAL = 'former_refusal'
    # Header fields, chunks, trailer fields or a body of a great length, which
    # never end.
    ENDLESS_FIELDS = 'endless_fields'
    ENDLESS_CHUNKS = 'endless_chunks'
    ENDLESS_TRAILERS = 'endless_trailers'
    ENDLESS_LENGTH = 'endless_length'
    # Chunks of one and of two bytes, digits of the size of a chunk, a chunk of
    # a great size, and what is no size where one is expected.
    ENDLESS_BYTE_CHUNKS = 'endless_byte_chunks'
    ENDLESS_PAIR_CHUNKS = 'endless_pair_chunks'
    ENDLESS_SIZE = 'endless_size'
    ENDLESS_CHUNK = 'endless_chunk'
    ENDLESS_JUNK = 'endless_junk'
    # Events of a stream, and pieces of a stream that complete no event.
    ENDLESS_EVENTS = 'endless_events'
    ENDLESS_PIECES = 'endless_pieces'


class Copy(enum.Enum):
    """When the copy of a response is sent, on the connection of the response.

    A health check is a request with an empty id.
    """

    NEVER = 'never'
    # Right behind the response, in a segment of its own, or a little later.
    BEHIND = 'behind'
    DELAYED = 'delayed'
    # When the next request arrives, or the second next, whatever its id.
    AT_NEXT_REQUEST = 'at_next_request'
    AT_SECOND_REQUEST = 'at_second_request'
    # When a health check arrives.
    AT_HEALTH_CHECK = 'at_health_check'
    # When the same id arrives again, a little after that, or two copies.
    AT_REPEAT = 'at_repeat'
    AFTER_REPEAT = 'after_repeat'
    TWICE_AT_REPEAT = 'twice_at_repeat'


# Time after a response, or after a repeat, at which a late copy is sent, in
# seconds.
_COPY_DELAY_S = 0.02
_REPEAT_COPIES = {
    Copy.AT_REPEAT: 1,
    Copy.AFTER_REPEAT: 1,
    Copy.TWICE_AT_REPEAT: 2,
}
_FIELDS = b'x-field: value\r\n' * 4096
# Bytes that are sent again and again, by fault.
_ENDLESS_PARTS = {
    Fault.ENDLESS_HEAD: b'x' * 65536,
    Fault.ENDLESS_BODY: b'x' * 65536,
    Fault.ENDLESS_FIELDS: _FIELDS,
    Fault.ENDLESS_CHUNKS: b'10000\r\n' + b'x' * 65536 + b'\r\n',
    Fault.ENDLESS_TRAILERS: _FIELDS,
    Fault.ENDLESS_LENGTH: b'x' * 65536,
    Fault.ENDLESS_BYTE_CHUNKS: b'1\r\nx\r\n' * 8192,
    Fault.ENDLESS_PAIR_CHUNKS: b'2\r\nxy\r\n' * 8192,
    Fault.ENDLESS_SIZE: b'0' * 65536,
    Fault.ENDLESS_CHUNK: b'x' * 65536,
    Fault.ENDLESS_JUNK: b'junk' * 16384,
    Fault.ENDLESS_EVENTS: b'9\r\ndata: x\n\n\r\n' * 4096,
    Fault.ENDLESS_PIECES: b'4\r\nx: y\r\n' * 8192,
}
# Faults of which the first bytes without end are due where a chunk begins.
_CHUNKED = {
    Fault.ENDLESS_CHUNKS,
    Fault.ENDLESS_BYTE_CHUNKS,
    Fault.ENDLESS_PAIR_CHUNKS,
    Fault.ENDLESS_SIZE,
    Fault.ENDLESS_JUNK,
    Fault.ENDLESS_EVENTS,
    Fault.ENDLESS_PIECES,
}
_FORMER_REFUSAL = (
    b'HTTP/1.1 503 X\r\nX-Attempt-Id: former\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class PlatformUpstream:
    """Responds to requests like an upstream on the platform.

    Attributes:
        delay_s: Run time of a request, in seconds.
        loses_answers: Whether connections end without a response.
        is_leaving: Whether it reported that it drains or deregistered; its
            health check then fails.
        fault: Fault in a fraction of the responses.
        fault_share: Fraction of the responses with the fault, from 0 to 1.
        fault_status: Status of responses without end.
        fault_target: Begin of the targets that have the fault; all if empty.
        refusal_share: Fraction of the requests that it refuses although it
            has slots, from 0 to 1.
        refusal_status: Status of these refusals.
        refusal_copy: When the copies of these refusals are sent.
        answer_copy: When copies of responses that are no such refusals are
            sent.
        answer_copy_share: Fraction of these responses that are copied, from 0
            to 1.
        repeat_count: Requests whose id was refused, or whose response was
            copied, before on the same connection.
        seen: Heads of the requests that ran.
        streams: Stream of the connection of each attempt that runs.
        digests: Hash of the body of each attempt that was received whole.
        body: Body of each response; its id and the body of the request if
            empty.
        answer_status: Status of the sealed responses to requests that ran.
        slots: Requests that run at once; further ones are refused.
        is_dark: Whether it hangs: no reports and responses, but open
            connections.
        cold_until: Monotonic time in seconds until which it states that it is
            cold.
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        on_run: OnRun | None = None,
        host: str = '127.0.0.1',
    ) -> None:
        """Initialize the upstream without listening yet.

        Args:
            instance_id: Id of the upstream.
            service: Service that it serves.
            on_run: Called for each request that runs.
            host: Address of the VM, for listening and for its daemon.
        """
        self.instance_id = instance_id
        self.service = service
        self.delay_s = 0.0
        self.loses_answers = False
        self.is_leaving = False
        self.fault = Fault.NONE
        self.fault_share = 0.0
        self.fault_status = 200
        self.fault_target = ''
        self.refusal_share = 0.0
        self.refusal_status = 503
        self.refusal_copy = Copy.NEVER
        self.answer_copy = Copy.NEVER
        self.answer_copy_share = 0.0
        self.repeat_count = 0
        self.seen: list[str] = []
        self.streams: dict[str, asyncio.StreamReader] = {}
        self.digests: dict[str, str] = {}
        self.body = b''
        self.answer_status = 200
        self.slots = SLOTS
        self.is_dark = False
        self.cold_until = 0.0
        self.address = ''
        self._on_run = on_run
        self._host = host
        self._running_count = 0
        self._sequence = 0
        self._born_ms = time.time_ns() // 1_000_000
        self._random = random.Random(instance_id)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def async_start(self, port: int, address: str = '') -> None:
        """Listen on a port.

        Args:
            port: Port to listen on.
            address: Address to report as host:port; its own if empty.
        """
        self._server = await asyncio.start_server(
            self._async_serve, self._host, port
        )
        self.address = address or f'{self._host}:{port}'

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Stop at once and reset all connections."""
        self.stop()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def cold_left_s(self) -> float:
        """Return how long it stays cold, in seconds."""
        return max(0.0, self.cold_until - time.monotonic())

    def is_running(self, attempt_id: str) -> bool:
        """Return whether an attempt runs whose connection has not ended."""
        stream = self.streams.get(attempt_id)
        return (
            stream is not None
            and not stream.at_eof()
            and stream.exception() is None
        )

    def restart_as(self, instance_id: str) -> None:
        """Become the next process at the address, which is ready."""
        self.instance_id = instance_id
        self.is_leaving = False
        self._sequence = 0
        self._born_ms = max(self._born_ms + 1, time.time_ns() // 1_000_000)

    async def async_report(
        self, port: int, state: str = 'ready', *, is_delayed: bool = False
    ) -> int:
        """Report to the daemon; return the status of its reply.

        The status is 0 if the daemon did not reply or is_dark is set.

        Args:
            port: Port of the daemon for reports.
            state: State to report.
            is_delayed: Whether the report was sent before the state of the
                upstream changed.
        """
        if self.is_dark:
            return 0
        if not is_delayed:
            self.is_leaving = state == 'draining'
        self._sequence += 1
        body = (
            f'{{"service":"{self.service}","address":"{self.address}",'
            f'"zone":"a","version":"v1","slots":{self.slots},'
            f'"state":"{state}","cold-left-s":{self.cold_left_s:.3f},'
            f'"sequence":{self._sequence},'
            f'"born":{self._born_ms}}}'
        )
        return await self._async_call_daemon(port, 'heartbeat', body)

    async def async_deregister(self, port: int) -> int:
        """Deregister; return the status of the daemon's reply, 0 if none."""
        self.is_leaving = True
        return await self._async_call_daemon(port, 'deregister', '')

    async def _async_call_daemon(self, port: int, call: str, body: str) -> int:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self._host, port
                )
                writer.write(
                    (
                        f'POST /rpc?call=instances.{call}'
                        f'&of={self.instance_id} HTTP/1.1\r\nHost: x\r\n'
                        f'Content-Length: {len(body)}\r\n\r\n{body}'
                    ).encode()
                )
                try:
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            # The daemon is unreachable; the next report tries again.
            return 0
        return int(line.split()[1]) if line else 0

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        copies = _Copies(writer)
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                fields = dict(
                    line.lower().split(': ', 1)
                    for line in head.split('\r\n')[1:]
                    if line
                )
                body = await reader.readexactly(
                    int(fields.get('content-length', '0'))
                )
                attempt = fields.get('x-attempt-id', '')
                if copies.note_request(attempt) and attempt:
                    self.repeat_count += 1
                if attempt and self._draw(self.refusal_share):
                    refusal = self._build_refusal(attempt)
                    writer.write(refusal)
                    await writer.drain()
                    copies.note_response(attempt, refusal, self.refusal_copy)
                    continue
                self.digests[attempt] = hashlib.sha256(body).hexdigest()
                self.streams[attempt] = reader
                try:
                    response, is_last = await self._async_handle_request(
                        head, fields, body
                    )
                finally:
                    self.streams.pop(attempt, None)
                if head.startswith('HEAD '):
                    response = response.partition(b'\r\n\r\n')[0]
                    response += b'\r\n\r\n'
                writer.write(response)
                await writer.drain()
                if self._draw(self.answer_copy_share):
                    copies.note_response(attempt, response, self.answer_copy)
                while (
                    self.fault_share > 0.0
                    and self.fault in _ENDLESS_PARTS
                    and self._has_fault_target(head)
                ):
                    writer.write(_ENDLESS_PARTS[self.fault])
                    await writer.drain()
                if is_last:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            # The daemon has closed the connection.
            return
        except asyncio.CancelledError:
            # The event loop is shutting down; asyncio would log an error.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _async_handle_request(
        self, head: str, fields: dict[str, str], body: bytes
    ) -> tuple[bytes, bool]:
        """Return the response, and whether to close the connection."""
        attempt = fields.get('x-attempt-id', '')
        if head.startswith('GET /health '):
            status = 503 if self.is_leaving else 200
            return _build_plain(
                status,
                f'X-Instance-Id: {self.instance_id}\r\n'
                f'X-Cold-Ms: {1000.0 * self.cold_left_s:.0f}',
            ), False
        expected = fields.get('x-expected-instance', self.instance_id)
        if expected != self.instance_id:
            return _build_plain(
                421,
                f'X-Attempt-Id: {attempt}\r\n'
                f'X-Instance-Id: {self.instance_id}',
            ), False
        if self._running_count >= self.slots:
            return _build_plain(
                503, f'X-Attempt-Id: {attempt}\r\nX-Not-Executed: 1'
            ), False
        self.seen.append(head)
        self._running_count += 1
        has_succeeded = True
        try:
            if self._on_run is not None:
                has_succeeded = await self._on_run(
                    fields, head.split(' ', 2)[1]
                )
            await asyncio.sleep(self.delay_s)
            while self.is_dark:
                await asyncio.sleep(_DARK_POLL_S)
        finally:
            self._running_count -= 1
        if not has_succeeded:
            return _build_sealed(500, attempt, b''), False
        body = self.body or self.instance_id.encode() + b' ' + body
        response = _build_sealed(self.answer_status, attempt, body)
        if head.startswith('HEAD '):
            response = response.removesuffix(body)
        if self.loses_answers:
            return b'', True
        if (
            self._has_fault_target(head)
            and self._random.random() < self.fault_share
        ):
            return self._apply_fault(response)
        return response, False

    def _draw(self, share: float) -> bool:
        # Sites without copies draw the same random numbers as ever.
        return share > 0.0 and self._random.random() < share

    def _build_refusal(self, attempt: str) -> bytes:
        return _build_plain(
            self.refusal_status,
            f'X-Attempt-Id: {attempt}\r\nX-Not-Executed: 1',
        )

    def _has_fault_target(self, head: str) -> bool:
        return head.split(' ', 2)[1].startswith(self.fault_target)

    def _apply_fault(self, response: bytes) -> tuple[bytes, bool]:
        if self.fault is Fault.LOST:
            return b'', True
        if self.fault is Fault.CUT_SHORT:
            return response[:-1], True
        if self.fault is Fault.NO_ANSWER:
            return b'\x00\x01 spoilt\r\n\r\n', True
        if self.fault is Fault.TWICE:
            return response + response, False
        if self.fault in _ENDLESS_PARTS:
            return self._begin_endless(response), True
        if self.fault is Fault.FORMER_REFUSAL:
            return _FORMER_REFUSAL + response, False
        if self.fault is Fault.FOREIGN:
            return _build_sealed(
                200, 'foreign', b'of another'
            ) + response, False
        return response, False

    def _begin_endless(self, response: bytes) -> bytes:
        """Return what precedes the bytes without end."""
        first, _, others = response.partition(b'\r\n')
        first = first.replace(b'200', str(self.fault_status).encode())
        if self.fault is Fault.ENDLESS_HEAD:
            return first + b'\r\nx: '
        fields = others.partition(b'Content-Length')[0]
        head = first + b'\r\n' + fields
        if self.fault is Fault.ENDLESS_FIELDS:
            return head
        if self.fault is Fault.ENDLESS_TRAILERS:
            return head + b'Transfer-Encoding: chunked\r\n\r\n0\r\n'
        if self.fault is Fault.ENDLESS_LENGTH:
            return head + b'Content-Length: 99999999999\r\n\r\n'
        if self.fault in _CHUNKED:
            return head + b'Transfer-Encoding: chunked\r\n\r\n'
        if self.fault is Fault.ENDLESS_CHUNK:
            return head + b'Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\n'
        return head + b'\r\n'


class _Copies:
    """Sends copies of the responses of one connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Initialize without responses."""
        self._writer = writer
        self._responses: dict[str, tuple[bytes, Copy]] = {}
        # Copies that are due, and the requests that arrive before.
        self._due: list[tuple[int, bytes]] = []
        # Copies that are sent at the next health check.
        self._due_at_check: list[bytes] = []

    def note_response(self, attempt: str, response: bytes, copy: Copy) -> None:
        """Send the copy of a response later, or just now."""
        self._responses[attempt] = response, copy
        if copy is Copy.BEHIND:
            asyncio.get_running_loop().call_soon(self._write, response)
        elif copy is Copy.DELAYED:
            self._write_later(response)
        elif copy is Copy.AT_NEXT_REQUEST:
            self._due.append((0, response))
        elif copy is Copy.AT_SECOND_REQUEST:
            self._due.append((1, response))
        elif copy is Copy.AT_HEALTH_CHECK:
            self._due_at_check.append(response)

    def note_request(self, attempt: str) -> bool:
        """Send what is due; return whether this id was noted here."""
        if not attempt:
            for data in self._due_at_check:
                self._write(data)
            self._due_at_check = []
        for left, data in self._due:
            if not left:
                self._write(data)
        self._due = [(left - 1, data) for left, data in self._due if left]
        if attempt not in self._responses:
            return False
        response, copy = self._responses.pop(attempt)
        for _ in range(_REPEAT_COPIES.get(copy, 0)):
            if copy is Copy.AFTER_REPEAT:
                self._write_later(response)
            else:
                self._write(response)
        return True

    def _write_later(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(_COPY_DELAY_S, self._write, data)

    def _write(self, data: bytes) -> None:
        if not self._writer.is_closing():
            self._writer.write(data)


def _build_plain(status: int, head: str) -> bytes:
    return (
        f'HTTP/1.1 {status} X\r\n{head}\r\nContent-Length: 0\r\n\r\n'.encode()
    )


def _build_sealed(status: int, attempt: str, body: bytes) -> bytes:
    return (
        f'HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\n'
        f'X-Response-Seal: s.{attempt}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body
