"""Tests of the product's own connection to an upstream."""

import asyncio
import itertools

import pytest

from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.transport import response_limits
from sassafraswood.transport import upstream_connection

HEAD = b'HTTP/1.1 200 OK\r\n'
PART_BYTES = 16 * 1024
FIELDS = b'x-field: value\r\n' * (PART_BYTES // 16)
MAX_BODY_BYTES = 64 * 1024


class FakeTransport(asyncio.Transport):
    """Discards what is written, and notes its end."""

    def __init__(self) -> None:
        """Start open."""
        super().__init__()
        self.is_aborted = False
        self.unsent_bytes = 0

    def get_write_buffer_size(self) -> int:
        """Return how much of the request is not sent yet."""
        return self.unsent_bytes

    def get_extra_info(self, name, default=None):
        """Return a socket that accepts all options."""
        del name, default
        return self

    def setsockopt(self, *options) -> None:
        """Ignore an option of the socket."""

    def write(self, data) -> None:
        """Discard data."""

    def abort(self) -> None:
        """Note the end."""
        self.is_aborted = True


async def async_receive(
    parts, max_body_bytes: int = MAX_BODY_BYTES
) -> tuple[int, enums.RefusalReason]:
    """Feed the parts of a response until it fails.

    Args:
        parts: What is received, piece by piece.
        max_body_bytes: Largest accepted body.

    Returns:
        Bytes that were received, and how the request failed.
    """
    connection = upstream_connection.UpstreamConnection('x')
    transport = FakeTransport()
    connection.connection_made(transport)
    request = call.HttpRequest(method='GET', target='/', headers=[], body=b'')
    sending = asyncio.create_task(
        connection.async_send(request, max_body_bytes)
    )
    await asyncio.sleep(0)
    size = 0
    for part in parts:
        size += len(part)
        connection.data_received(part)
        if transport.is_aborted:
            break
    connection.connection_lost(None)
    with pytest.raises(exceptions.UpstreamError) as error:
        await sending
    assert error.value.outcome is enums.Outcome.UNKNOWN
    return size, error.value.reason


# Guards against responses without end, which the daemon kept in memory.
@pytest.mark.parametrize(
    ('begin', 'part'),
    [
        (HEAD, FIELDS),
        (HEAD + b'x: ', b'x' * PART_BYTES),
        (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
        (HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n', FIELDS),
        (HEAD + b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\nx\r\n' * 2048),
        (HEAD + b'Content-Length: 99999999999\r\n\r\n', b'x' * PART_BYTES),
    ],
)
def test_response_without_end_fails(begin, part) -> None:
    """The connection is closed after a bounded number of bytes."""
    parts = itertools.chain([begin], itertools.repeat(part, 2000))
    size, reason = asyncio.run(async_receive(parts))
    assert reason is enums.RefusalReason.ANSWER_TOO_LARGE
    assert size <= (1 + response_limits.MAX_FRAMING_RATIO) * max(
        MAX_BODY_BYTES, response_limits.MAX_OVERHEAD_BYTES
    )


# Guards against responses that take processor time for each of their bytes.
def test_response_in_too_many_small_parts_fails() -> None:
    """The connection is closed long before the limit on the body."""
    chunk = b'1\r\nx\r\n'
    head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    parts = itertools.chain([head], itertools.repeat(chunk * 2048, 2000))
    max_body_bytes = 1 << 20
    size, reason = asyncio.run(async_receive(parts, max_body_bytes))
    assert reason is enums.RefusalReason.ANSWER_TOO_LARGE
    assert size <= 2 * len(chunk) * response_limits.MAX_SMALL_PARTS


# Guards against requests that the kernel breaks off because their upstream
# reads a long body late.
def test_upstream_may_read_a_large_request_late() -> None:
    """The connection lasts while nothing fits into its receive buffer."""
    body = b'x' * (1 << 20)

    async def async_serve(reader, writer) -> None:
        await asyncio.sleep(const.PEER_TIMEOUT_S + 1.0)
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(len(body))
        writer.write(HEAD + b'Content-Length: 0\r\n\r\n')
        writer.close()

    async def async_run() -> call.Answer:
        server = await asyncio.start_server(
            async_serve, '127.0.0.1', 0, limit=1024
        )
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: upstream_connection.UpstreamConnection('x'),
            *server.sockets[0].getsockname(),
        )
        request = call.HttpRequest(
            method='PUT', target='/', headers=[], body=body
        )
        return await asyncio.wait_for(
            connection.async_send(request, MAX_BODY_BYTES),
            2.0 * const.PEER_TIMEOUT_S,
        )

    assert asyncio.run(async_run()).status == 200


# Guards against an answer of no status of HTTP that a caller gets as the
# upstream's, or that is taken for an interim one and awaited in vain.
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
def test_status_outside_of_http_fails(status: bytes) -> None:
    """The connection is closed as soon as the head is complete."""
    head = HEAD.replace(b'200 OK', status + b' X')
    parts = [head + b'Content-Length: 2\r\n\r\n', b'ok']
    _, reason = asyncio.run(async_receive(parts))
    assert reason is enums.RefusalReason.ANSWER_STATUS_INVALID


# Guards against a request that an upstream reads as the rest of the former
# one, which it answered early.
@pytest.mark.parametrize('unsent_bytes', [0, 1])
def test_connection_with_unsent_bytes_is_not_reused(unsent_bytes) -> None:
    """Only a request that was sent whole leaves its connection usable."""

    async def async_run() -> bool:
        connection = upstream_connection.UpstreamConnection('x')
        transport = FakeTransport()
        connection.connection_made(transport)
        headers = [(const.HEADER_CALL_TOKEN, 't')]
        request = call.HttpRequest(
            method='POST', target='/', headers=headers, body=b'x'
        )
        sending = asyncio.create_task(
            connection.async_send(request, MAX_BODY_BYTES)
        )
        await asyncio.sleep(0)
        transport.unsent_bytes = unsent_bytes
        fields = b'Call-Token: t\r\nContent-Length: 0\r\n\r\n'
        connection.data_received(HEAD + fields)
        assert (await sending).status == 200
        return connection.is_usable

    assert asyncio.run(async_run()) is (unsent_bytes == 0)
