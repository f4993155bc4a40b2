"""Tests of daemon processes that may open few descriptors."""

import asyncio
import collections
import resource
import signal

import pytest

from lab import process_site

pytestmark = [pytest.mark.process, pytest.mark.anyio]

SERVICES = ('near', 'far')
# Descriptors that the daemon of the clients may open; it uses about 25 while
# it has no clients.
DESCRIPTORS = 64
CLIENTS = 150
SILENT_CLIENTS = 40
REQUESTS_BEHIND_SILENCE = 20
RUN_S = 0.1
DEADLINE_S = 6.0


def limit_descriptors() -> None:
    """Limit the descriptors of the calling process."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


async def async_start(site: process_site.Site) -> None:
    """Start the daemons, that of the clients with few descriptors."""
    near = site.launch('near', preexec_fn=limit_descriptors)
    far = site.launch('far')
    await site.async_wait_ready('near', near)
    await site.async_wait_ready('far', far)
    for service in SERVICES:
        await site.async_wait_served(service)


async def async_call(
    site: process_site.Site, service: str, *, close: bool
) -> int:
    """Send a request on a new connection; return its status, 0 without."""
    client = await site.async_connect()
    client.send(
        process_site.build_request(
            service, deadline=str(int(1000 * DEADLINE_S)), close=close
        )
    )
    response = await client.async_receive(timeout_s=DEADLINE_S)
    if not close:
        await asyncio.sleep(RUN_S)
    client.close()
    return 0 if response is None else response.status


# Guards against requests that meet a close in place of an answer, since the
# event loop accepts connections for which it has no descriptor.
@pytest.mark.parametrize('close', [True, False], ids=['closed', 'kept'])
async def test_more_clients_than_descriptors_are_answered(
    tmp_path, close
) -> None:
    """Each whole request is, and most of them run."""
    rules = process_site.build_rules(SERVICES, DEADLINE_S)
    async with process_site.async_site(
        tmp_path, SERVICES, rules=rules, has_daemons=False
    ) as site:
        await async_start(site)
        for service in SERVICES:
            site.upstream(service).delay_s = RUN_S
        statuses = collections.Counter(
            await asyncio.gather(
                *(
                    async_call(site, SERVICES[number % 2], close=close)
                    for number in range(CLIENTS)
                )
            )
        )
        assert statuses.keys() <= {200, 503}
        assert statuses[200] > CLIENTS / 2


# Guards against daemons that silent connections shut off from their clients.
async def test_requests_behind_silent_connections_are_answered(
    tmp_path,
) -> None:
    """Connections that were idle for longest make room for them."""
    rules = process_site.build_rules(SERVICES, DEADLINE_S)
    async with process_site.async_site(
        tmp_path, SERVICES, rules=rules, has_daemons=False
    ) as site:
        await async_start(site)
        silent = [await site.async_connect() for _ in range(SILENT_CLIENTS)]
        statuses = await asyncio.gather(
            *(
                async_call(site, SERVICES[number % 2], close=True)
                for number in range(REQUESTS_BEHIND_SILENCE)
            )
        )
        assert statuses == [200] * REQUESTS_BEHIND_SILENCE
        for client in silent:
            client.close()


async def async_call_until_refused(site: process_site.Site) -> list[int]:
    """Call until nobody listens any more; return the statuses."""
    statuses = []
    while True:
        try:
            statuses.append(await async_call(site, 'near', close=True))
        except ConnectionRefusedError:
            return statuses


# Guards against a stop that resets the connections which wait for descriptors.
async def test_stop_answers_clients_that_wait_for_descriptors(
    tmp_path,
) -> None:
    """Whoever is connected and sends a request gets an answer."""
    rules = process_site.build_rules(SERVICES, DEADLINE_S)
    async with process_site.async_site(
        tmp_path, SERVICES, rules=rules, has_daemons=False
    ) as site:
        await async_start(site)
        site.upstream('near').delay_s = RUN_S
        calls = [
            asyncio.create_task(async_call_until_refused(site))
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(RUN_S)
        assert await site.async_end(site.processes[0], signal.SIGTERM) == 0
        statuses = collections.Counter()
        for call in calls:
            statuses.update(await call)
        assert statuses.keys() == {200, 503}
