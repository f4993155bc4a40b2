"""Stand-in of an upstream on the platform, with reports and inner calls."""

import asyncio
from collections.abc import Awaitable, Callable
import enum
import random
import time

# Requests that an upstream holds at once unless it is told otherwise.
SLOTS = 20
# An upstream that has gone dark looks this often whether it was ended.
_DARK_S = 0.05
# Called with the head of each request that runs and with its target; returns
# whether the calls of the upstream itself succeeded.
OnRun = Callable[[dict[str, str], str], Awaitable[bool]]


class Fault(enum.Enum):
    """What is wrong with the answers of an upstream."""

    NONE = 'none'
    # The request runs and the connection ends.
    LOST = 'lost'
    # The answer ends early, with the connection.
    CUT_SHORT = 'cut_short'
    # The bytes are no answer.
    NO_ANSWER = 'no_answer'
    # The answer comes twice.
    TWICE = 'twice'
    # The answer of another request comes first.
    FOREIGN = 'foreign'
    # The header or the body has no end.
    ENDLESS_HEAD = 'endless_head'
    ENDLESS_BODY = 'endless_body'
    # The last refusal comes once more before the answer.
    FORMER_REFUSAL = 'former_refusal'


_REFUSAL = (
    b'HTTP/1.1 503 X\r\nX-Attempt-Id: former\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class PlatformUpstream:
    """Answers requests as the platform's upstreams do.

    Attributes:
        delay_s: Time that a request takes in seconds.
        loses_answers: Whether connections end instead of answers.
        is_leaving: Whether it has said that it leaves; its health says so.
        fault: What is wrong with a share of the answers.
        fault_share: That share.
        seen: Heads of the requests that it ran.
        slots: Requests that it holds at once; it refuses the rest.
        is_dark: Whether it has stopped without ending its connections.
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        on_run: OnRun | None = None,
        host: str = '127.0.0.1',
    ) -> None:
        """Take its names, what is called for each request, and the VM."""
        self.instance_id = instance_id
        self.service = service
        self.delay_s = 0.0
        self.loses_answers = False
        self.is_leaving = False
        self.fault = Fault.NONE
        self.fault_share = 0.0
        self.seen: list[str] = []
        self.slots = SLOTS
        self.is_dark = False
        self.address = ''
        self._on_run = on_run
        self._host = host
        self._running = 0
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        self._random = random.Random(instance_id)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def async_start(self, port: int, address: str = '') -> None:
        """Listen; the address is the one that it reports."""
        self._server = await asyncio.start_server(
            self._async_serve, self._host, port
        )
        self.address = address or f'{self._host}:{port}'

    def stop(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """End at once, with all connections."""
        self.stop()
        for writer in list(self._writers):
            writer.transport.abort()

    async def async_report(self, port: int, state: str = 'ready') -> int:
        """Report to the daemon; return the status of its answer, or 0."""
        if self.is_dark:
            return 0
        self.is_leaving = state == 'draining'
        self._sequence += 1
        body = (
            f'{{"service":"{self.service}","address":"{self.address}",'
            f'"zone":"a","version":"v1","slots":{self.slots},'
            f'"state":"{state}","cold-left-s":0,"sequence":{self._sequence},'
            f'"born":{self._born}}}'
        )
        return await self._async_tell(port, 'heartbeat', body)

    async def async_deregister(self, port: int) -> int:
        """Leave; return the status of the daemon's answer, or 0."""
        self.is_leaving = True
        return await self._async_tell(port, 'deregister', '')

    async def _async_tell(self, port: int, call: str, body: str) -> int:
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
            # The daemon is away; the next report goes the same way.
            return 0
        return int(line.split()[1]) if line else 0

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
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
                answer, is_last = await self._async_answer(head, fields, body)
                writer.write(answer)
                await writer.drain()
                while self._is_endless:
                    writer.write(b'x' * 65536)
                    await writer.drain()
                if is_last:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            # The daemon has closed the connection.
            return
        except asyncio.CancelledError:
            # The loop ends; asyncio would log it as an error.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _async_answer(
        self, head: str, fields: dict[str, str], body: bytes
    ) -> tuple[bytes, bool]:
        """Return the answer, and whether the connection ends after it."""
        if head.startswith('GET /health '):
            status = 503 if self.is_leaving else 200
            return _plain(status, f'X-Instance-Id: {self.instance_id}'), False
        expected = fields.get('x-expected-instance', self.instance_id)
        if expected != self.instance_id:
            return _plain(421, f'X-Instance-Id: {self.instance_id}'), False
        if self._running >= self.slots:
            return _plain(503, 'X-Not-Executed: 1'), False
        self.seen.append(head)
        self._running += 1
        is_good = True
        try:
            if self._on_run is not None:
                is_good = await self._on_run(fields, head.split(' ', 2)[1])
            await asyncio.sleep(self.delay_s)
            while self.is_dark:
                await asyncio.sleep(_DARK_S)
        finally:
            self._running -= 1
        attempt = fields.get('x-attempt-id', '')
        if not is_good:
            return _sealed(500, attempt, b''), False
        body = self.instance_id.encode() + b' ' + body
        answer = _sealed(200, attempt, body)
        if self.loses_answers:
            return b'', True
        if self._random.random() < self.fault_share:
            return self._spoil(answer)
        return answer, False

    @property
    def _is_endless(self) -> bool:
        return self.fault_share > 0.0 and self.fault in (
            Fault.ENDLESS_HEAD,
            Fault.ENDLESS_BODY,
        )

    def _spoil(self, answer: bytes) -> tuple[bytes, bool]:
        if self.fault is Fault.LOST:
            return b'', True
        if self.fault is Fault.CUT_SHORT:
            return answer[:-1], True
        if self.fault is Fault.NO_ANSWER:
            return b'\x00\x01 spoilt\r\n\r\n', True
        if self.fault is Fault.TWICE:
            return answer + answer, False
        if self.fault is Fault.ENDLESS_HEAD:
            return answer.partition(b'\r\n')[0] + b'\r\nx: ', True
        if self.fault is Fault.ENDLESS_BODY:
            head = answer.partition(b'\r\nContent-Length')[0]
            return head + b'\r\n\r\n', True
        if self.fault is Fault.FORMER_REFUSAL:
            return _REFUSAL + answer, False
        if self.fault is Fault.FOREIGN:
            return _sealed(200, 'foreign', b'of another') + answer, False
        return answer, False


def _plain(status: int, field: str) -> bytes:
    return (
        f'HTTP/1.1 {status} X\r\n{field}\r\nContent-Length: 0\r\n\r\n'.encode()
    )


def _sealed(status: int, attempt: str, body: bytes) -> bytes:
    return (
        f'HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\n'
        f'X-Response-Seal: s.{attempt}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body
