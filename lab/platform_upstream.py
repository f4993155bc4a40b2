"""Stand-in of an upstream on the platform, with reports."""

import asyncio
import json
import urllib.request


class PlatformUpstream:
    """Answers every request and keeps what it saw.

    Attributes:
        delay_s: Time that a request takes in seconds.
        loses_answers: Whether connections end instead of answers.
        seen: Heads of the requests that it ran.
    """

    def __init__(self, instance_id: str, service: str) -> None:
        """Take its names."""
        self.instance_id = instance_id
        self.service = service
        self.delay_s = 0.0
        self.loses_answers = False
        self.seen: list[str] = []
        self.address = ''
        self._sequence = 0
        self._server: asyncio.Server | None = None

    async def async_start(self, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._async_serve, '127.0.0.1', port
        )
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    async def async_report(self, port: int, state: str = 'ready') -> int:
        """Report to the daemon and return the status of its answer."""
        self._sequence += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'version': 'v1',
            'slots': 20,
            'state': state,
            'cold-left-s': 0,
            'sequence': self._sequence,
            'born': 1,
        }
        request = urllib.request.Request(
            f'http://127.0.0.1:{port}/rpc'
            f'?call=instances.heartbeat&of={self.instance_id}',
            json.dumps(body).encode(),
            method='POST',
        )
        return await asyncio.to_thread(_status, request)

    async def async_deregister(self, port: int) -> int:
        """Leave and return the status of the daemon's answer."""
        request = urllib.request.Request(
            f'http://127.0.0.1:{port}/rpc'
            f'?call=instances.deregister&of={self.instance_id}',
            b'',
            method='POST',
        )
        return await asyncio.to_thread(_status, request)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
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
                self.seen.append(head)
                await asyncio.sleep(self.delay_s)
                if self.loses_answers:
                    writer.close()
                    return
                writer.write(self._answer(fields, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The daemon has closed the connection.
            return

    def _answer(self, fields: dict[str, str], body: bytes) -> bytes:
        attempt = fields.get('x-attempt-id', '')
        answer = self.instance_id.encode() + b' ' + body
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'X-Attempt-Id: {attempt}\r\nX-Response-Seal: s\r\n'
            f'Content-Length: {len(answer)}\r\n\r\n'
        )
        return head.encode() + answer


def _status(request: urllib.request.Request) -> int:
    with urllib.request.urlopen(request, timeout=2.0) as response:
        return int(response.status)
