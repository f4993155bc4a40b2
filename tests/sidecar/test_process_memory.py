"""Tests of the memory of daemon processes.

Their upstreams send bytes without end, or their clients read slowly.
"""

import asyncio
import contextlib
import json
import pathlib

import pytest

from lab import platform_upstream
from lab import process_site
from sassafraswood.sidecar import process

# Memory that the design allows a daemon.
MAX_PEAK_MB = 128.0
LENGTH_S = 6.0
# Slow clients, the size of their answers, and how fast they read these.
SLOW_CLIENTS = 24
ANSWER_BYTES = 8 << 20
SLOW_READ_BYTES = 32 * 1024
SLOW_READ_S = 0.03
CLIENTS = 8
SERVICES = ('sound', 'faulty')
# Log lines of each daemon that a failure shows.
LINES = 40


async def async_read_slowly(site: process_site.Site) -> int:
    """Send a request and read the response slowly; return its status."""
    client = await site.async_connect(receive_bytes=2 * SLOW_READ_BYTES)
    try:
        client.send(process_site.build_request('faulty', close=True))
        head = await client.reader.readuntil(b'\r\n\r\n')
        while await client.reader.read(SLOW_READ_BYTES):
            await asyncio.sleep(SLOW_READ_S)
    finally:
        client.reset()
    return int(head.split()[1])


async def async_read_last_lines(site: process_site.Site) -> str:
    """Return the last log lines of all daemons once they are written."""
    await asyncio.sleep(2 * process.SLOW_TICK_S)
    return '\n'.join(
        json.dumps(line)
        for name in SERVICES
        for line in site.read_log(name)[-LINES:]
    )


async def async_flood(
    folder: pathlib.Path, fault: platform_upstream.Fault, status: int
) -> tuple[process_site.Site, list[int], list[int]]:
    """Let an upstream flood its daemon; return the statuses of clients.

    Args:
        folder: Folder of the settings and log files.
        fault: What the upstream sends.
        status: Status of its responses without end.

    Returns:
        The site, the statuses of its faulty service and of its sound one.
    """
    site = process_site.Site(folder, SERVICES)
    try:
        await site.async_start()
        upstream = site.upstream('faulty')
        upstream.fault, upstream.fault_share = fault, 1.0
        upstream.fault_status = status
        flooded: list[int] = []
        sound: list[int] = []
        tasks = [
            asyncio.create_task(site.async_send_repeatedly('faulty', flooded))
            for _ in range(CLIENTS)
        ]
        tasks.append(
            asyncio.create_task(site.async_send_repeatedly('sound', sound))
        )
        tasks.append(asyncio.create_task(site.async_guard()))
        await asyncio.sleep(LENGTH_S)
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks)
        upstream.fault_share = 0.0
        last_status = await site.async_get('faulty')
        assert last_status == 200, await async_read_last_lines(site)
        return site, flooded, sound
    finally:
        await site.async_stop()


# Guards against daemons that run out of memory beside a faulty upstream.
@pytest.mark.process
@pytest.mark.parametrize(
    'fault',
    [
        platform_upstream.Fault.ENDLESS_HEAD,
        platform_upstream.Fault.ENDLESS_FIELDS,
        platform_upstream.Fault.ENDLESS_BODY,
        platform_upstream.Fault.ENDLESS_CHUNKS,
        platform_upstream.Fault.ENDLESS_TRAILERS,
        platform_upstream.Fault.ENDLESS_LENGTH,
    ],
)
def test_bytes_without_end_are_not_kept(tmp_path, fault) -> None:
    """Each call fails, others succeed, and both daemons stay small."""
    check_flood(tmp_path, fault, 200)


# Guards against daemons that run out of memory, or stand still, beside an
# upstream whose response never ends and comes in very many parts.
@pytest.mark.process
@pytest.mark.parametrize('status', [200, 500])
@pytest.mark.parametrize(
    'fault',
    [
        platform_upstream.Fault.ENDLESS_BYTE_CHUNKS,
        platform_upstream.Fault.ENDLESS_PAIR_CHUNKS,
        platform_upstream.Fault.ENDLESS_PIECES,
        platform_upstream.Fault.ENDLESS_EVENTS,
    ],
)
def test_small_parts_without_end_fill_no_memory(
    tmp_path, fault, status
) -> None:
    """Each call fails, others succeed, and both daemons stay small."""
    check_flood(tmp_path, fault, status)


# Guards against daemons that wait for the end of a chunk that has none.
@pytest.mark.process
@pytest.mark.parametrize(
    'fault',
    [
        platform_upstream.Fault.ENDLESS_SIZE,
        platform_upstream.Fault.ENDLESS_CHUNK,
        platform_upstream.Fault.ENDLESS_JUNK,
    ],
)
def test_chunk_without_end_is_not_kept(tmp_path, fault) -> None:
    """Each call fails, others succeed, and both daemons stay small."""
    check_flood(tmp_path, fault, 200)


def check_flood(
    folder: pathlib.Path, fault: platform_upstream.Fault, status: int
) -> None:
    """Check the daemons and their clients beside an upstream that floods."""
    site, flooded, sound = asyncio.run(async_flood(folder, fault, status))
    peaks_mb = {
        name: machine.peak_mb for name, machine in site.machines.items()
    }
    assert max(peaks_mb.values()) < MAX_PEAK_MB, peaks_mb
    assert not any(
        machine.unexpected_exits for machine in site.machines.values()
    )
    assert len(flooded) > CLIENTS
    # Some are refused before they reach the upstream.
    assert set(flooded) <= {502, 503, 504}
    assert 502 in flooded
    assert set(sound) == {200}


async def async_test_slow_clients(folder: pathlib.Path) -> None:
    """Let clients read large answers slowly, and others send requests."""
    site = process_site.Site(folder, SERVICES)
    try:
        await site.async_start()
        upstream = site.upstream('faulty')
        upstream.body = b'x' * ANSWER_BYTES
        sound: list[int] = []
        guards = [
            asyncio.create_task(site.async_send_repeatedly('sound', sound)),
            asyncio.create_task(site.async_guard()),
        ]
        reading = []
        for _ in range(SLOW_CLIENTS):
            reading.append(asyncio.create_task(async_read_slowly(site)))
            await asyncio.sleep(LENGTH_S / SLOW_CLIENTS)
        peaks_mb = {
            name: machine.peak_mb for name, machine in site.machines.items()
        }
        statuses = set(await asyncio.gather(*reading))
        for task in guards:
            task.cancel()
        await asyncio.gather(*guards, return_exceptions=True)
        assert max(peaks_mb.values()) < MAX_PEAK_MB, peaks_mb
        # The others are told that they have not run.
        assert statuses == {200, 503}
        assert set(sound) == {200}
        upstream.body = b''
        assert await site.async_get('faulty') == 200
    finally:
        await site.async_stop()


# Guards against daemons that run out of memory for clients that read slowly.
@pytest.mark.process
def test_answers_that_are_not_read_do_not_fill_the_memory(tmp_path) -> None:
    """Calls begin only while there is room for their answers."""
    asyncio.run(async_test_slow_clients(tmp_path))
