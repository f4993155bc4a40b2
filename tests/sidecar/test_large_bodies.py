"""Tests of daemon processes that forward a body near their memory limit."""

import asyncio
import hashlib
import os

import pytest

from lab import process_site
from lab.soak import machine as machine_module

pytestmark = [pytest.mark.process, pytest.mark.alone, pytest.mark.anyio]

# Memory of each VM in the settings, and a body that is a third of it, as the
# largest legal one is of the smallest VM.
MEMORY_MB = 100
BODY_BYTES = 33 << 20
MAX_BODY_BYTES = 34 << 20
LIMIT_S = 60.0
# Clients that hold such a body just short of its end, and the time for which
# they send at most.
CROWD_CLIENTS = 8
CROWD_S = 10.0


# Guards against a legal body that is refused in calm, and against a daemon
# that exceeds its memory with copies of it.
@pytest.mark.parametrize('service', ['near', 'far'])
async def test_body_of_a_third_of_the_memory_is_served(
    tmp_path, service
) -> None:
    """It passes one daemon, or two, to an upstream that gets it whole."""
    rules = process_site.build_rules(
        ['near', 'far'],
        LIMIT_S,
        max_body_bytes=MAX_BODY_BYTES,
        header_timeout_s=LIMIT_S,
        idle_timeout_s=LIMIT_S,
    )
    body = os.urandom(1 << 20) * (BODY_BYTES >> 20)
    async with process_site.async_site(
        tmp_path, ['near', 'far'], rules=rules, has_daemons=False
    ) as site:
        processes = {}
        for name, machine in site.machines.items():
            with machine.settings_path.open('a') as settings:
                settings.write(f'[limits]\nmemory-mb = {MEMORY_MB}\n')
            processes[name] = site.launch(name)
        for name, process in processes.items():
            await site.async_wait_ready(name, process)
            await site.async_wait_served(name)
        site.upstream(service).body = b'whole'
        client = await site.async_connect(machine_module.CALLER)
        attempt_id = process_site.create_attempt_id()
        head = process_site.build_request(
            service,
            method='POST',
            attempt_id=attempt_id,
            deadline='60000',
            length=len(body),
        )
        await client.async_send(head + body)
        response = await client.async_receive(timeout_s=LIMIT_S)
        client.close()
        assert response is not None
        assert (response.status, response.body) == (200, b'whole')
        received = site.upstream(service).digests[attempt_id]
        assert received == hashlib.sha256(body).hexdigest()
        for name, process in processes.items():
            machine = site.machines[name]
            machine.record_memory(process.pid)
            assert process.poll() is None
            assert machine.peak_mb < MEMORY_MB


# Guards against clients whose large bodies together exceed the memory.
async def test_crowd_with_large_bodies_is_outlived(tmp_path) -> None:
    """Each stops just short of the end of its body, and stays connected."""
    rules = process_site.build_rules(
        ['near'],
        LIMIT_S,
        max_body_bytes=MAX_BODY_BYTES,
        header_timeout_s=LIMIT_S,
        idle_timeout_s=LIMIT_S,
    )
    async with process_site.async_site(
        tmp_path, ['near'], rules=rules, has_daemons=False
    ) as site:
        with site.first.settings_path.open('a') as settings:
            settings.write(f'[limits]\nmemory-mb = {MEMORY_MB}\n')
        process = site.launch('near')
        await site.async_wait_ready('near', process)
        await site.async_wait_served('near')
        head = process_site.build_request(
            'near', method='POST', deadline='60000', length=BODY_BYTES
        )
        crowd = [
            await site.async_connect(machine_module.CALLER)
            for _ in range(CROWD_CLIENTS)
        ]
        sending = [
            asyncio.create_task(
                client.async_send(head + bytes(BODY_BYTES - 1))
            )
            for client in crowd
        ]
        await asyncio.wait(sending, timeout=CROWD_S)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        await site.async_wait_served('near', timeout_s=LIMIT_S)
        site.first.record_memory(process.pid)
        for client in crowd:
            client.reset()
        assert process.poll() is None
        assert site.first.peak_mb < MEMORY_MB
