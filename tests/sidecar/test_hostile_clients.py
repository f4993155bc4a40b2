"""Tests of a daemon process whose clients do not behave.

A crowd sends one shape of bytes and stays connected. Nothing checked depends
on the speed of the machine: that the process lives, its peak memory, its open
descriptors, and one ordinary request.
"""

import asyncio
from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import functools
import itertools
import pathlib
import resource

import pytest

from lab import process_site
from lab.soak import machine as machine_module

pytestmark = [pytest.mark.process, pytest.mark.alone, pytest.mark.anyio]

# Memory of the VM in the settings, which the process may not exceed.
MEMORY_MB = 100
# Descriptors that the process may open, more and fewer than a crowd has
# clients, and those in use at most once the crowd has left.
DESCRIPTORS = 1024
FEW_DESCRIPTORS = 128
IDLE_DESCRIPTORS = 64
MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 8000
# Longer than a test, so that no time limit ends the crowd.
LIMIT_S = 60.0
# Time for which the crowd sends at most, and in which an ordinary request has
# to be served.
CROWD_S = 10.0
SERVED_S = 30.0
ANSWER_BYTES = 1 << 20
RECEIVE_BYTES = 4096

# Ports and paths that the crowds call.
PLACES = {
    'route': (machine_module.CALLER, b'/near/1'),
    'no_route': (machine_module.CALLER, b'/nowhere/1'),
    'ready': (machine_module.READY, b'/readiness'),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """What each client of a crowd sends.

    Attributes:
        clients: Number of clients.
        create_parts: Returns the parts of the bytes that are sent to a path.
        pause_s: Pause behind each part, in seconds.
        run_s: Run time of a request at the upstream, in seconds.
        answer_bytes: Bytes of the answers of the upstream.
    """

    clients: int
    create_parts: Callable[[bytes], Iterator[bytes]]
    pause_s: float = 0.0
    run_s: float = 0.0
    answer_bytes: int = 0


def build_head(path: bytes, *fields: bytes) -> bytes:
    """Return the head of a request of an ordinary client."""
    return b'\r\n'.join(
        [
            b'POST %b HTTP/1.1' % path,
            b'Host: shop.example',
            b'X-Attempt-Id: %b' % process_site.create_attempt_id().encode(),
            b'X-Deadline-Ms: 60000',
            *fields,
            b'',
            b'',
        ]
    )


def send_length(
    piece_bytes: int,
    size: int = MAX_BODY_BYTES,
    sent: int = MAX_BODY_BYTES - 1,
) -> Callable[[bytes], Iterator[bytes]]:
    """Return a sender of a part of a body in pieces."""

    def create(path: bytes) -> Iterator[bytes]:
        yield build_head(path, b'Content-Length: %d' % size)
        rest = sent
        while rest:
            piece = min(rest, piece_bytes)
            yield b'x' * piece
            rest -= piece

    return create


def send_chunks(
    chunk_bytes: int, size: int
) -> Callable[[bytes], Iterator[bytes]]:
    """Return a sender of all chunks of a body but the last one."""
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    # Parts of more than one chunk, so that the crowd sends fast.
    per_part = max(1, 16000 // len(chunk))

    def create(path: bytes) -> Iterator[bytes]:
        yield build_head(path, b'Transfer-Encoding: chunked')
        for _ in range(size // chunk_bytes // per_part):
            yield chunk * per_part

    return create


def send_fields(path: bytes) -> Iterator[bytes]:
    """Send a legal head of very many short fields, and half of the body."""
    head = build_head(path, b'Content-Length: 2')[:-2]
    count = (MAX_HEADER_BYTES - len(head)) // 5
    yield head + b'a:b\r\n' * count + b'\r\nx'


def send_half_fields(path: bytes) -> Iterator[bytes]:
    """Send half of such a head."""
    yield next(send_fields(path))[: MAX_HEADER_BYTES // 2]


def send_ahead(path: bytes) -> Iterator[bytes]:
    """Send many requests without reading an answer."""
    for _ in range(4000):
        yield build_head(path, b'Content-Length: 100') + b'x' * 100


def send_bodies_ahead(path: bytes) -> Iterator[bytes]:
    """Send requests that wait behind one whose body does not end."""
    for _ in range(15):
        yield build_head(path, b'Content-Length: 60000') + b'x' * 60000
    yield build_head(path, b'Content-Length: 60000') + b'x' * 59999


SHAPES = {
    'one_piece': Shape(clients=300, create_parts=send_length(MAX_BODY_BYTES)),
    'pieces': Shape(clients=300, create_parts=send_length(1400)),
    'chunks': Shape(
        clients=300, create_parts=send_chunks(4096, MAX_BODY_BYTES)
    ),
    'chunks_of_one': Shape(
        clients=60, create_parts=send_chunks(1, 256 * 1024)
    ),
    'chunks_of_two': Shape(
        clients=60, create_parts=send_chunks(2, 128 * 1024)
    ),
    'over_the_limit': Shape(
        clients=150,
        create_parts=send_length(65536, 10_000_000_000, 4 << 20),
    ),
    'chunks_over_the_limit': Shape(
        clients=150, create_parts=send_chunks(4096, 4 << 20)
    ),
    'many_fields': Shape(clients=300, create_parts=send_fields),
    'half_a_head': Shape(clients=300, create_parts=send_half_fields),
    'ahead': Shape(clients=150, create_parts=send_ahead),
    'bodies_ahead': Shape(
        clients=150, create_parts=send_bodies_ahead, run_s=0.05
    ),
    'slow_head': Shape(
        clients=300,
        create_parts=lambda path: iter([*build_head(path).split()[:-1]]),
        pause_s=0.2,
    ),
    'slow_body': Shape(
        clients=300,
        create_parts=lambda path: itertools.islice(
            send_length(32768)(path), 1 + MAX_BODY_BYTES // 65536
        ),
        pause_s=0.2,
    ),
    'slow_readers': Shape(
        clients=150,
        create_parts=lambda path: iter([build_head(path)]),
        answer_bytes=ANSWER_BYTES,
    ),
}


def limit_descriptors(number: int) -> None:
    """Limit the descriptors of the calling process."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (number, number))


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))


async def async_send(
    client: process_site.RawClient, shape: Shape, path: bytes
) -> None:
    """Send all parts of a shape, or as many as the daemon takes."""
    with contextlib.suppress(OSError):
        for part in shape.create_parts(path):
            await client.async_send(part)
            if shape.pause_s:
                await asyncio.sleep(shape.pause_s)


async def async_call(site: process_site.Site) -> int:
    """Send an ordinary request until it is served; return its status."""
    status = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SERVED_S):
            while status != 200:
                status = await site.async_get('near')
                await asyncio.sleep(0.2)
    return status


async def async_test_crowd(
    folder: pathlib.Path,
    shape: Shape,
    place: tuple[int, bytes],
    descriptors: int,
) -> None:
    """Let a crowd send to one daemon, and check the daemon."""
    port, path = place
    rules = process_site.build_rules(
        ['near'],
        LIMIT_S,
        max_body_bytes=MAX_BODY_BYTES,
        max_header_bytes=MAX_HEADER_BYTES,
        header_timeout_s=LIMIT_S,
        idle_timeout_s=LIMIT_S,
    )
    async with process_site.async_site(
        folder, ['near'], rules=rules, has_daemons=False
    ) as site:
        with site.first.settings_path.open('a') as settings:
            settings.write(f'[limits]\nmemory-mb = {MEMORY_MB}\n')
        process = site.launch(
            'near',
            preexec_fn=functools.partial(limit_descriptors, descriptors),
        )
        await site.async_wait_ready('near', process)
        await site.async_wait_served('near')
        upstream = site.upstream('near')
        upstream.body = b'x' * shape.answer_bytes
        upstream.delay_s = shape.run_s
        crowd = [
            await site.async_connect(port, receive_bytes=RECEIVE_BYTES)
            for _ in range(shape.clients)
        ]
        sending = [
            asyncio.create_task(async_send(client, shape, path))
            for client in crowd
        ]
        await asyncio.wait(sending, timeout=CROWD_S)
        for task in sending:
            task.cancel()
        most_descriptors = count_descriptors(process.pid)
        upstream.body = b''
        beside_crowd = await async_call(site)
        for client in crowd:
            client.reset()
        behind_crowd = await async_call(site)
        with contextlib.suppress(TimeoutError):
            await site.async_wait_until(
                lambda: count_descriptors(process.pid) <= IDLE_DESCRIPTORS,
                SERVED_S,
            )
        site.first.record_memory(process.pid)
        assert process.poll() is None
        assert site.first.peak_mb < MEMORY_MB
        assert most_descriptors < descriptors
        assert count_descriptors(process.pid) <= IDLE_DESCRIPTORS
        assert (beside_crowd, behind_crowd) == (200, 200)


# Guards against clients that end a daemon by its memory, or that shut out all
# others.
@pytest.mark.parametrize('place', PLACES.values(), ids=PLACES)
@pytest.mark.parametrize('name', SHAPES)
async def test_daemon_outlives_a_crowd(tmp_path, name, place) -> None:
    """It stays within the memory of its VM, and serves an ordinary client."""
    await async_test_crowd(tmp_path, SHAPES[name], place, DESCRIPTORS)


# Guards against the same where the crowd has more clients than the daemon has
# descriptors.
@pytest.mark.parametrize('place', PLACES.values(), ids=PLACES)
@pytest.mark.parametrize(
    'name', ['one_piece', 'half_a_head', 'ahead', 'slow_readers']
)
async def test_daemon_outlives_a_crowd_beyond_its_descriptors(
    tmp_path, name, place
) -> None:
    """It makes room for an ordinary client."""
    await async_test_crowd(tmp_path, SHAPES[name], place, FEW_DESCRIPTORS)
