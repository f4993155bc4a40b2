"""Tests of what daemon processes send each other around a stop."""

import asyncio
import json
import signal
import subprocess

import pytest

from lab import process_site
from lab.soak import machine as machine_module

pytestmark = [pytest.mark.process, pytest.mark.anyio]

SERVICES = ('near', 'far')
# The daemon admits as many at once at its start.
RUNS = 5
# Answers that fit into the buffers of the kernel together.
ANSWER_BYTES = 200_000
DEADLINE_S = 5.0
# Times after SIGTERM: the runs end when the daemon has done with its callers,
# and the other daemon reads nothing around that.
PAUSE_AT_S = 2.7
RUN_END_S = 3.2
PAUSE_S = 0.9
# Timeout of a route that passes in a pause, and the run time before.
PAUSE_TIMEOUT_S = 1.0
PAUSE_RUN_S = 0.3
# Calls whose answers arrive while the daemon that sent them is held up, and
# the memory that the design allows a daemon.
HELD_UP_CALLS = 64
HELD_UP_BYTES = 3 << 20
HELD_UP_RUN_S = 0.5
MAX_PEAK_MB = 128.0


def build_rules() -> bytes:
    """Return rules whose routes are not idempotent."""
    rules = json.loads(process_site.build_rules(SERVICES, DEADLINE_S))
    for route in rules['routes'].values():
        route['kind'] = 'unsafe'
    return json.dumps(rules).encode()


async def async_start_directly(
    site: process_site.Site,
) -> list[subprocess.Popen[bytes]]:
    """Start daemons that are connected without relays.

    Relays would read in place of a daemon.
    """
    for name, machine in site.machines.items():
        text = machine.settings_path.read_text()
        for relay_port, port in (
            (machine_module.PEER_RELAY, machine_module.PEER),
            (machine_module.UPSTREAM_RELAY, machine_module.UPSTREAM),
        ):
            text = text.replace(str(relay_port), str(port))
        machine.settings_path.write_text(text)
        site.upstream(
            name
        ).address = f'{machine.host}:{machine_module.UPSTREAM}'
    processes = [site.launch(name) for name in SERVICES]
    for name, process in zip(SERVICES, processes, strict=True):
        await site.async_wait_ready(name, process)
    await site.async_wait_served('far')
    return processes


# Guards against answers that are lost in the buffers of the kernel when the
# daemon beside the upstream ends, so that what has run is reported as failed.
async def test_answers_reach_a_daemon_that_reads_late(tmp_path) -> None:
    """Each request that ran gets its answer."""
    async with process_site.async_site(
        tmp_path, SERVICES, rules=build_rules(), has_daemons=False
    ) as site:
        near, far = await async_start_directly(site)
        upstream = site.upstream('far')
        upstream.body = b'x' * ANSWER_BYTES
        upstream.delay_s = RUN_END_S
        clients = [await site.async_connect() for _ in range(RUNS)]
        for client in clients:
            client.send(
                process_site.build_request(
                    'far', deadline=str(int(1000 * DEADLINE_S))
                )
            )
        await site.async_wait_until(lambda: len(upstream.seen) > RUNS, 2.0)
        far.send_signal(signal.SIGTERM)
        await asyncio.sleep(PAUSE_AT_S)
        near.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        near.send_signal(signal.SIGCONT)
        responses = [await client.async_receive() for client in clients]
        statuses = [
            0 if response is None else response.status
            for response in responses
        ]
        assert statuses == [200] * RUNS
        assert await site.async_end(far, None) == 0


# Guards against requests that time out although their answers arrived while
# the process was held up.
async def test_answers_that_arrive_in_a_pause_are_passed_on(tmp_path) -> None:
    """Answers of the own upstream and of a peer are read first."""
    rules = process_site.build_rules(SERVICES, PAUSE_TIMEOUT_S)
    async with process_site.async_site(
        tmp_path, SERVICES, rules=rules
    ) as site:
        clients = []
        for service in SERVICES:
            site.upstream(service).delay_s = PAUSE_RUN_S
            clients.append(await site.async_connect())
            clients[-1].send(process_site.build_request(service))
        await site.async_wait_until(
            lambda: all(site.upstream(name).streams for name in SERVICES), 2.0
        )
        await site.first.async_pause(PAUSE_TIMEOUT_S + 0.2)
        responses = [await client.async_receive() for client in clients]
        statuses = [
            0 if response is None else response.status
            for response in responses
        ]
        assert statuses == [200] * len(SERVICES)


# Guards against calls that fail although they have not run, since the daemon
# beside the upstream ends before it has read them.
async def test_calls_on_their_way_to_a_daemon_that_ends_are_refused(
    tmp_path,
) -> None:
    """The other daemon sends them before it reads that none are taken."""
    async with process_site.async_site(
        tmp_path, SERVICES, rules=build_rules(), has_daemons=False
    ) as site:
        near, far = await async_start_directly(site)
        clients = [await site.async_connect() for _ in range(RUNS)]
        far.send_signal(signal.SIGTERM)
        await asyncio.sleep(PAUSE_AT_S)
        near.send_signal(signal.SIGSTOP)
        for client in clients:
            client.send(process_site.build_request('far'))
        await asyncio.sleep(PAUSE_S)
        near.send_signal(signal.SIGCONT)
        responses = [await client.async_receive() for client in clients]
        statuses = [
            0 if response is None else response.status
            for response in responses
        ]
        assert statuses == [503] * RUNS
        assert await site.async_end(far, None) == 0


# Guards against daemons that run out of memory beside one that is held up.
async def test_answers_for_a_held_up_daemon_do_not_fill_the_memory(
    tmp_path,
) -> None:
    """Those that find no room are dropped."""
    async with process_site.async_site(
        tmp_path, SERVICES, has_daemons=False
    ) as site:
        near, far = await async_start_directly(site)
        machine = site.machines['far']
        machine.process = far
        machine.watch_process()
        upstream = site.upstream('far')
        upstream.slots = 2 * HELD_UP_CALLS
        # Shows the daemon how long calls take, so that it runs more at once.
        for _ in range(30):
            await asyncio.gather(*(site.async_get('far') for _ in '12345'))
        upstream.body = b'x' * HELD_UP_BYTES
        upstream.delay_s = HELD_UP_RUN_S
        calls = [
            asyncio.create_task(site.async_get('far'))
            for _ in range(HELD_UP_CALLS)
        ]
        await site.async_wait_until(
            lambda: len(upstream.streams) > HELD_UP_CALLS // 2, 2.0
        )
        near.send_signal(signal.SIGSTOP)
        await asyncio.sleep(3.0 * HELD_UP_RUN_S)
        near.send_signal(signal.SIGCONT)
        assert set(await asyncio.gather(*calls)) <= {200, 502, 503}
        assert machine.peak_mb < MAX_PEAK_MB
        upstream.body = b''
        assert await site.async_get('far') == 200
