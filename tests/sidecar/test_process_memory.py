"""Tests of the memory of daemon processes.

Their upstreams send bytes without end, or their clients read slowly.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket

import pytest

from lab import platform_store
from lab import platform_upstream
from lab.soak import http_caller
from lab.soak import ledger
from lab.soak import machine as machine_module

# Memory that the design allows a daemon.
MAX_PEAK_MB = 128.0
# Ends a daemon that grows without bound, before the VM suffers.
GUARD_MB = 600.0
LENGTH_S = 6.0
# Slow clients, the size of their answers, and how fast they read these.
SLOW_CLIENTS = 24
ANSWER_BYTES = 8 << 20
SLOW_READ_BYTES = 32 * 1024
SLOW_READ_S = 0.03
START_TIMEOUT_S = 10.0
CLIENTS = 8
_attempts = itertools.count(1)


def build_rules() -> bytes:
    """Return rules with one open route for each service."""
    routes = {
        service: {
            'host': 'shop.example',
            'path-prefix': f'/{service}/',
            'kind': 'safe',
            'timeout-s': 3,
            'latency-target-s': 1,
            'priority': 1,
            'service': service,
            'max-attempts': 1,
            'anonymous': True,
        }
        for service in ('sound', 'faulty')
    }
    limits = {
        'max-header-bytes': 8000,
        'max-body-bytes': 1 << 20,
        'header-timeout-s': 3,
        'idle-timeout-s': 15,
    }
    return json.dumps(
        {
            'version': 'r1',
            'routes': routes,
            'services': {'sound': {}, 'faulty': {}},
            'limits': limits,
            'tenants': {'blue': {'api-keys': ['k1']}},
        }
    ).encode()


def build_request(service: str) -> bytes:
    """Return an encoded request to a service."""
    return (
        f'GET /{service}/1 HTTP/1.1\r\nHost: shop.example\r\n'
        f'X-Attempt-Id: a{next(_attempts)}\r\n'
        'Connection: close\r\n'
        'X-Deadline-Ms: 3000\r\n\r\n'
    ).encode()


class Site:
    """Two VMs: one with a sound and one with a faulty upstream."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Create the site without starting it."""
        self.store = platform_store.PlatformStore()
        self.machines: dict[str, machine_module.Machine] = {}
        self._folder = folder

    async def async_start(self) -> None:
        """Start all processes and wait until both services are reached."""
        store = await self.store.async_start()
        self.store.put('keyed.op', 'config', build_rules())
        for index, service in enumerate(('sound', 'faulty'), start=1):
            machine = machine_module.Machine(
                name=service,
                host=f'127.{1 + os.getpid() % 254}.9.{index}',
                service=service,
                domain='z1',
                store=store,
                folder=self._folder,
                ledger=ledger.Ledger(),
                deployed=False,
            )
            self.machines[service] = machine
            await machine.async_start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for service in self.machines:
                while await self.async_get(service) != 200:
                    await asyncio.sleep(0.1)

    async def async_stop(self) -> None:
        """Stop all processes."""
        for machine in self.machines.values():
            await machine.async_stop()
        self.store.stop()

    async def async_get(self, service: str) -> int:
        """Send a request through the sound VM; return 0 without a response."""
        caller = http_caller.HttpCaller(
            (self.machines['sound'].host, machine_module.CALLER)
        )
        try:
            response = await caller.async_call(build_request(service), 4.0)
        except (ConnectionError, TimeoutError):
            return 0
        finally:
            caller.close()
        return response.status

    async def async_read_slowly(self) -> int:
        """Send a request and read the response slowly; return its status."""
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        address = (self.machines['sound'].host, machine_module.CALLER)
        await asyncio.get_running_loop().sock_connect(connection, address)
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=SLOW_READ_BYTES
        )
        try:
            writer.write(build_request('faulty'))
            head = await reader.readuntil(b'\r\n\r\n')
            while await reader.read(SLOW_READ_BYTES):
                await asyncio.sleep(SLOW_READ_S)
        finally:
            writer.transport.abort()
        return int(head.split()[1])

    async def async_send_repeatedly(
        self, service: str, statuses: list[int]
    ) -> None:
        """Send one request after the other until it is cancelled."""
        while True:
            statuses.append(await self.async_get(service))
            await asyncio.sleep(0.01)

    async def async_guard(self) -> None:
        """Kill each daemon whose memory exceeds GUARD_MB."""
        while True:
            for machine in self.machines.values():
                if machine.peak_mb > GUARD_MB:
                    machine.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.02)


async def async_flood(
    folder: pathlib.Path, fault: platform_upstream.Fault
) -> tuple[Site, list[int], list[int]]:
    """Let an upstream flood its daemon; return the statuses of clients.

    Returns:
        The site, the statuses of its faulty service and of its sound one.
    """
    site = Site(folder)
    try:
        await site.async_start()
        upstream = site.machines['faulty'].upstream
        assert upstream is not None
        upstream.fault, upstream.fault_share = fault, 1.0
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
        assert await site.async_get('faulty') == 200
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
    site, flooded, sound = asyncio.run(async_flood(tmp_path, fault))
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
    site = Site(folder)
    try:
        await site.async_start()
        upstream = site.machines['faulty'].upstream
        assert upstream is not None
        upstream.body = b'x' * ANSWER_BYTES
        sound: list[int] = []
        guards = [
            asyncio.create_task(site.async_send_repeatedly('sound', sound)),
            asyncio.create_task(site.async_guard()),
        ]
        reading = []
        for _ in range(SLOW_CLIENTS):
            reading.append(asyncio.create_task(site.async_read_slowly()))
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
