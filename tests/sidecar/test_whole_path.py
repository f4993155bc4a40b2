"""Tests of daemons on loopback with a simulated store and upstreams."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import json
import os
import re
import socket
import time

import httpcore
import pytest

from lab import platform_store
from lab import platform_upstream
from lab import ports as ports_module
from sassafraswood.coordination import stop_plan
from sassafraswood.models import ids
from sassafraswood.platform import settings
from sassafraswood.platform import upstream_records
from sassafraswood.sidecar import caller_side
from sassafraswood.sidecar import process
from sassafraswood.transport import ingress_connection

RULES = {
    'version': 'r1',
    'routes': {
        'status': {
            'host': 'shop.example',
            'path-prefix': '/status/',
            'kind': 'safe',
            'timeout-s': 1,
            'latency-target-s': 1,
            'priority': 1,
            'service': 'status',
            'max-attempts': 2,
        },
        'pay': {
            'host': 'shop.example',
            'path-prefix': '/pay/',
            'kind': 'unsafe',
            'timeout-s': 1,
            'latency-target-s': 1,
            'priority': 0,
            'service': 'billing',
            'max-attempts': 2,
        },
    },
    'services': {'status': {}, 'billing': {}},
    'limits': {
        'max-header-bytes': 8000,
        'max-body-bytes': 1000,
        'header-timeout-s': 3,
        'idle-timeout-s': 15,
    },
    'tenants': {'blue': {'api-keys': ['k1'], 'rate-per-s': 50, 'burst': 50}},
}


# With calls of an upstream.
PEEK_ROUTES = RULES['routes'] | {
    'peek': RULES['routes']['status']
    | {
        'path-prefix': '/peek/',
        'service': 'billing',
        'timeout-s': 2.5,
        'anonymous': True,
    }
}


PEEK = (
    b'GET /peek/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Attempt-Id: peek\r\nX-Deadline-Ms: 4000\r\n\r\n'
)


class Fleet:
    """Two services with one upstream and one daemon each."""

    def __init__(self) -> None:
        """Start without daemons and upstreams."""
        self.store = platform_store.PlatformStore()
        self.upstreams: dict[str, platform_upstream.PlatformUpstream] = {}
        self.daemons: dict[str, process.Daemon] = {}
        self.tasks: dict[str, asyncio.Task] = {}

    async def async_start(self) -> None:
        """Start all processes and wait until calls reach both services."""
        store_address = await self.store.async_start()
        self.publish(RULES)
        for service in ('status', 'billing'):
            ports = ports_module.reserve_ports(5)
            upstream = platform_upstream.PlatformUpstream(
                f'i-{service}', service
            )
            await upstream.async_start(ports[4])
            self.upstreams[service] = upstream
            daemon = process.Daemon(
                settings.PlatformSettings(
                    daemon_id=f'd-{service}',
                    failure_domain='a',
                    service=service,
                    caller_address=('127.0.0.1', ports[0]),
                    peer_address=('127.0.0.1', ports[1]),
                    advertised_address=('127.0.0.1', ports[1]),
                    ready_address=('127.0.0.1', ports[2]),
                    report_address=('127.0.0.1', ports[3]),
                    upstream_address=('127.0.0.1', ports[4]),
                    store_address=store_address,
                    memory_bytes=300 << 20,
                    is_first_start=True,
                    report_interval_s=60.0,
                    bounds=settings.Bounds(revoke_s=2.0),
                )
            )
            self.daemons[service] = daemon
            self.tasks[service] = asyncio.create_task(daemon.async_run())
        await asyncio.sleep(0.3)
        for service in self.daemons:
            assert await self.async_report(service) == 200
        for service in self.daemons:
            await self.async_wait(service, 'status')
            await self.async_wait(service, 'billing')
        for upstream in self.upstreams.values():
            upstream.seen.clear()

    async def async_restart(self, service: str) -> None:
        """End a daemon without a drain and start its next process."""
        task = self.tasks[service]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.daemons[service].close()
        await asyncio.sleep(0.1)
        daemon = process.Daemon(
            dataclasses.replace(
                self.daemons[service].settings, is_first_start=False
            )
        )
        self.daemons[service] = daemon
        self.tasks[service] = asyncio.create_task(daemon.async_run())
        await asyncio.sleep(0.5)

    async def async_report(
        self, service: str, state: str = 'ready', *, is_delayed: bool = False
    ) -> int:
        """Let an upstream report; return the status of the response."""
        port = self.daemons[service].settings.report_address[1]
        return await self.upstreams[service].async_report(
            port, state, is_delayed=is_delayed
        )

    async def async_deregister(self, service: str) -> None:
        """Let an upstream deregister."""
        port = self.daemons[service].settings.report_address[1]
        status = await self.upstreams[service].async_deregister(port)
        assert status == 200

    def publish(self, rules: dict) -> None:
        """Publish rules as the operator does."""
        self.store.put('keyed.op', 'config', json.dumps(rules).encode())

    async def async_wait(self, at: str, service: str) -> None:
        """Wait until calls through a daemon reach a service."""
        path = '/status/1' if service == 'status' else '/pay/1'
        for _ in range(100):
            if (await self.async_request(at, path)).status == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(
            f'no call through the daemon of {at} reaches {service} within 5 s'
        )

    async def async_request(
        self, at: str, path: str, key: str = 'k1', method: str = 'GET'
    ) -> httpcore.Response:
        """Send a request to a daemon."""
        host, port = self.daemons[at].settings.caller_address
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method,
                f'http://{host}:{port}{path}',
                headers={
                    'Host': 'shop.example',
                    'X-Attempt-Id': 'a1',
                    'X-Deadline-Ms': '1500',
                    'X-Tenant': 'forged',
                    'Authorization': f'Token {key}',
                },
                content=b'hello' if method == 'POST' else None,
            )

    async def async_stop(self) -> None:
        """Stop all daemons, upstreams and the store."""
        self.store.stop()
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        for daemon in self.daemons.values():
            daemon.close()
        for upstream in self.upstreams.values():
            upstream.stop()


@contextlib.asynccontextmanager
async def running() -> AsyncIterator[Fleet]:
    """Start a fleet, and stop it at the end."""
    fleet = Fleet()
    try:
        await fleet.async_start()
        yield fleet
    finally:
        await fleet.async_stop()


async def async_test_path() -> None:
    """Run a call from one daemon to the upstream of the other."""
    async with running() as fleet:
        response = await fleet.async_request('status', '/pay/7', method='POST')
        assert (response.status, response.content) == (
            200,
            b'i-billing hello',
        )
        (head,) = fleet.upstreams['billing'].seen
        assert 'X-Tenant' not in head and 'x-tenant: blue' in head
        assert 'x-caller-service: status' in head
        assert 'x-expected-instance: i-billing' in head
        assert 'Token' not in head
        assert (await fleet.async_request('status', '/other/')).status == 404
        wrong = await fleet.async_request('status', '/pay/7', key='k2')
        assert wrong.status == 401


async def async_test_head() -> None:
    """Send HEAD to the own upstream and to that of the other daemon."""
    async with running() as fleet:
        for path, service in (('/status/1', 'status'), ('/pay/7', 'billing')):
            response = await fleet.async_request('status', path, method='HEAD')
            assert (response.status, response.content) == (200, b'')
            length = str(len(f'i-{service} ')).encode()
            assert dict(response.headers)[b'Content-Length'] == length


async def async_test_withdrawal() -> None:
    """Withdraw a key, then make the store unavailable for a while."""
    async with running() as fleet:
        rules = RULES | {'version': 'r2'}
        rules['tenants'] = {'blue': {'api-keys': ['k2']}}
        fleet.publish(rules)
        await asyncio.sleep(1.0)
        for service in fleet.daemons:
            old = await fleet.async_request(service, '/status/1')
            new = await fleet.async_request(service, '/status/1', key='k2')
            assert (old.status, new.status) == (401, 200)
        fleet.store.is_down = True
        await asyncio.sleep(2.0)
        late = await fleet.async_request('status', '/status/1', key='k2')
        assert late.status == 503
        fleet.store.is_down = False
        await asyncio.sleep(2.5)
        back = await fleet.async_request('status', '/status/1', key='k2')
        assert back.status == 200


async def async_test_lost_response() -> None:
    """Lose the response to a request that is not idempotent."""
    async with running() as fleet:
        billing = fleet.upstreams['billing']
        billing.loses_answers = True
        response = await fleet.async_request('status', '/pay/7', method='POST')
        assert response.status == 502
        assert len(billing.seen) == 1


async def async_test_failed_tick(monkeypatch) -> None:
    """Let one tick of each daemon fail, then a call reach its deadline."""
    async with running() as fleet:
        failed = []

        def fail(side) -> None:
            if side not in failed:
                failed.append(side)
                raise RuntimeError('as on a closed connection')
            tick(side)

        tick = caller_side.CallerSide.tick
        monkeypatch.setattr(caller_side.CallerSide, 'tick', fail)
        await asyncio.sleep(0.1)
        assert len(failed) == 2
        fleet.upstreams['billing'].delay_s = 3.0
        response = await fleet.async_request('status', '/pay/7', method='POST')
        assert response.status == 504


async def async_test_spoilt_response(fault: platform_upstream.Fault) -> None:
    """Let an upstream spoil each response, and then none."""
    async with running() as fleet:
        billing = fleet.upstreams['billing']
        billing.fault, billing.fault_share = fault, 1.0
        response = await fleet.async_request('status', '/pay/7', method='POST')
        if fault is platform_upstream.Fault.FORMER_REFUSAL:
            assert response.status == 200
        else:
            assert response.status == 502
        assert len(billing.seen) == 1
        billing.fault_share = 0.0
        served = await fleet.async_request('status', '/pay/8', method='POST')
        assert served.status == 200
        assert fleet.daemons['billing']._pool.held.count == 0


async def async_test_leaving() -> None:
    """Let an upstream drain while a request runs."""
    async with running() as fleet:
        billing = fleet.upstreams['billing']
        billing.delay_s = 0.5
        running_call = asyncio.create_task(
            fleet.async_request('status', '/pay/7', method='POST')
        )
        await asyncio.sleep(0.2)
        assert await fleet.async_report('billing', 'draining') == 200
        refused = await fleet.async_request('status', '/pay/8', method='POST')
        assert refused.status == 503
        assert float(dict(refused.headers)[b'Retry-After']) > 0
        assert (await running_call).status == 200
        assert len(billing.seen) == 1


async def async_test_removed_member() -> None:
    """Remove the record of a daemon while it runs a request."""
    async with running() as fleet:
        fleet.upstreams['billing'].delay_s = 0.6
        running_call = asyncio.create_task(
            fleet.async_request('status', '/pay/7', method='POST')
        )
        await asyncio.sleep(0.2)
        fleet.store.put('keyed.members', 'd-billing', b'')
        assert (await running_call).status == 200
        await asyncio.sleep(0.2)
        assert not fleet.daemons['status']._peers._retiring_links
        # Its share of the limit has passed to the other one meanwhile.
        assert fleet.store.newest('keyed.members')['d-billing']
        assert not fleet.daemons['billing']._shares.refill_per_s('blue')


async def async_test_refused_by_upstream(*, is_replaced: bool) -> None:
    """Send a call to an upstream that is full, or not the expected one."""
    async with running() as fleet:
        if is_replaced:
            fleet.upstreams['billing'].restart_as('i-next')
        else:
            fleet.upstreams['billing'].slots = 0
        refused = await fleet.async_request('status', '/pay/7', method='POST')
        assert refused.status == 503
        assert not fleet.upstreams['billing'].seen


async def async_test_leave_and_restart() -> None:
    """Deliver a report sent before the leave to the next process."""
    async with running() as fleet:
        assert await fleet.async_report('billing', 'draining') == 200
        # Its health check may wrongly succeed, too.
        fleet.upstreams['billing'].is_leaving = False
        await fleet.async_restart('billing')
        assert await fleet.async_report('billing') == 200
        await asyncio.sleep(0.2)
        refused = await fleet.async_request('status', '/pay/8', method='POST')
        assert refused.status == 503
        assert not fleet.upstreams['billing'].seen


async def async_test_unstored_leave_and_restart() -> None:
    """Kill a daemon that could not store a leave, then deliver old reports."""
    async with running() as fleet:
        fleet.store.is_down = True
        assert await fleet.async_report('billing', 'draining') == 200
        await fleet.async_restart('billing')
        fleet.store.is_down = False
        await asyncio.sleep(1.2)
        for _ in range(2):
            assert await fleet.async_report('billing', is_delayed=True) == 200
            await asyncio.sleep(0.8)
        refused = await fleet.async_request('status', '/pay/8', method='POST')
        assert refused.status == 503
        assert not fleet.upstreams['billing'].seen
        # The next upstream at the address is served with its first report.
        fleet.upstreams['billing'].restart_as('i-next')
        assert await fleet.async_report('billing') == 200
        await fleet.async_wait('status', 'billing')


async def async_test_stop_stores_leave() -> None:
    """Stop a daemon while the store is away, just after a leave."""
    async with running() as fleet:
        fleet.store.is_down = True
        stopping = fleet.tasks['billing']
        fleet.daemons['billing'].stop()
        assert await fleet.async_report('billing', 'draining') == 200
        await asyncio.sleep(process.CALLER_DRAIN_S + 0.6)
        fleet.store.is_down = False
        await asyncio.wait_for(stopping, timeout=3.0)
        daemon_id = ids.DaemonId('d-billing')
        records = fleet.store.newest(upstream_records.TOPIC)
        (leave,) = [
            leave
            for key, value in records.items()
            if upstream_records.is_leave_key(daemon_id, key)
            for leave in upstream_records.decode_leaves(value)
        ]
        assert leave.instance_id == 'i-billing'


async def async_test_stop_stores_crash(crash_after_s: float) -> None:
    """Stop a daemon while the store is away, and crash its upstream.

    Args:
        crash_after_s: Time from the stop to the crash.
    """
    async with running() as fleet:
        routes = {
            name: route | {'timeout-s': 8}
            for name, route in RULES['routes'].items()
        }
        fleet.publish(RULES | {'version': 'r2', 'routes': routes})
        await asyncio.sleep(0.5)
        upstream = fleet.upstreams['billing']
        upstream.delay_s = 7.0
        async with connected(fleet.daemons['status']) as (_, writer):
            writer.write(build_payment(1).replace(b': 1500', b': 8000'))
            await async_wait_until(lambda: upstream.seen)
            fleet.store.is_down = True
            stopping = fleet.tasks['billing']
            fleet.daemons['billing'].stop()
            await asyncio.sleep(crash_after_s)
            upstream.crash()
            await asyncio.sleep(process.CALLER_DRAIN_S + 0.6 - crash_after_s)
            fleet.store.is_down = False
            await asyncio.wait_for(stopping, timeout=3.0)
        daemon_id = ids.DaemonId('d-billing')
        assert [
            key
            for key in fleet.store.newest(upstream_records.TOPIC)
            if upstream_records.is_own_crash_key(daemon_id, key)
        ]


async def async_test_restart_beside_live_upstream() -> None:
    """Restart a daemon whose upstream sends no report meanwhile."""
    async with running() as fleet:
        await fleet.async_restart('billing')
        served = await fleet.async_request('status', '/pay/8', method='POST')
        assert served.status == 200


async def async_test_restart_beside_other_upstream() -> None:
    """Restart a daemon whose upstream is replaced meanwhile."""
    async with running() as fleet:
        fleet.upstreams['billing'].instance_id = 'i-other'
        await fleet.async_restart('billing')
        refused = await fleet.async_request('status', '/pay/8', method='POST')
        assert refused.status == 503
        assert not fleet.upstreams['billing'].seen


async def async_test_leaving_vm(outage_s: float) -> None:
    """Stop a daemon after its upstream has deregistered.

    Args:
        outage_s: Time from the stop for which the store refuses calls.
    """
    async with running() as fleet:
        assert await fleet.async_report('billing', 'draining') == 200
        await fleet.async_deregister('billing')
        assert 'd-billing' in fleet.store.newest('keyed.members')
        stopping = fleet.tasks['billing']
        fleet.store.is_busy = outage_s > 0.0
        fleet.daemons['billing'].stop()
        await asyncio.sleep(outage_s)
        fleet.store.is_busy = False
        await asyncio.wait_for(stopping, timeout=8.0)
        assert set(fleet.store.newest('keyed.members')) == {'d-status'}


async def async_test_stop_soon_after_restart(*, has_left: bool) -> None:
    """Stop a daemon before its upstream has answered a health check."""
    async with running() as fleet:
        if has_left:
            assert await fleet.async_report('billing', 'draining') == 200
            await fleet.async_deregister('billing')
        fleet.upstreams['billing'].is_leaving = True
        await fleet.async_restart('billing')
        stopping = fleet.tasks['billing']
        fleet.daemons['billing'].stop()
        await asyncio.wait_for(stopping, timeout=8.0)
        is_member = 'd-billing' in fleet.store.newest('keyed.members')
        assert is_member is not has_left


async def async_test_restart_keeps_record() -> None:
    """Stop a daemon whose upstream runs on."""
    async with running() as fleet:
        stopping = fleet.tasks['billing']
        fleet.daemons['billing'].stop()
        await asyncio.wait_for(stopping, timeout=8.0)
        assert 'd-billing' in fleet.store.newest('keyed.members')


async def async_test_stop_beside_live_upstream() -> None:
    """Stop a daemon whose upstream runs on, and send it calls."""
    async with running() as fleet:
        stopping = fleet.tasks['billing']
        fleet.daemons['billing'].stop()
        await asyncio.sleep(1.0)
        accepted = await fleet.async_request('status', '/pay/8', method='POST')
        assert accepted.status == 200
        await asyncio.sleep(process.PEER_DRAIN_S - 0.8)
        late = await fleet.async_request('status', '/pay/9', method='POST')
        assert late.status == 503
        await asyncio.wait_for(stopping, timeout=6.0)
        assert len(fleet.upstreams['billing'].seen) == 1


@contextlib.asynccontextmanager
async def connected(
    daemon: process.Daemon,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open a connection to a daemon as a caller, and close it at the end."""
    reader, writer = await asyncio.open_connection(
        *daemon.settings.caller_address
    )
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def async_read_statuses(reader: asyncio.StreamReader) -> list[int]:
    """Return the statuses of all responses until the connection ends."""
    data = await asyncio.wait_for(reader.read(-1), timeout=8.0)
    return [int(item) for item in re.findall(rb'HTTP/1\.1 (\d+) ', data)]


def build_payment(number: int) -> bytes:
    """Return an encoded request that is not idempotent."""
    return (
        b'POST /pay/%d HTTP/1.1\r\nHost: shop.example\r\n'
        b'X-Attempt-Id: late%d\r\nX-Deadline-Ms: 1500\r\n'
        b'Authorization: Token k1\r\nContent-Length: 2\r\n\r\nok'
        % (number, number)
    )


async def async_test_requests_late_in_the_stop() -> None:
    """Complete requests just before the end of a stop."""
    async with running() as fleet, contextlib.AsyncExitStack() as stack:
        daemon = fleet.daemons['status']
        stopping_s = daemon.settings.bounds.grace_s - process.GRACE_MARGIN_S
        reader, writer = await stack.enter_async_context(connected(daemon))
        writer.write(build_payment(1)[:40])
        kept_reader, kept_writer = await stack.enter_async_context(
            connected(daemon)
        )
        fleet.upstreams['billing'].delay_s = 0.9
        daemon.stop()
        await asyncio.sleep(process.CALLER_DRAIN_S - 0.6)
        # The second request waits for the response to the first.
        kept_writer.write(build_payment(2) + build_payment(3))
        assert await async_read_statuses(kept_reader) == [200, 503]
        await asyncio.sleep(stopping_s - process.CALLER_DRAIN_S - 0.8)
        writer.write(build_payment(1)[40:])
        assert await async_read_statuses(reader) == [503]
        seen = [head.split()[1] for head in fleet.upstreams['billing'].seen]
        assert seen == ['/pay/2']
        await asyncio.wait_for(fleet.tasks['status'], timeout=3.0)


async def async_test_call_at_the_end_of_the_stop() -> None:
    """End a stop while an upstream still runs a call."""
    async with running() as fleet:
        routes = {
            name: route | {'timeout-s': 8}
            for name, route in RULES['routes'].items()
        }
        fleet.publish(RULES | {'version': 'r2', 'routes': routes})
        await asyncio.sleep(0.5)
        daemon = fleet.daemons['status']
        fleet.upstreams['billing'].delay_s = 7.0
        async with connected(daemon) as (reader, writer):
            writer.write(build_payment(1).replace(b': 1500', b': 8000'))
            await async_wait_until(lambda: fleet.upstreams['billing'].seen)
            daemon.stop()
            assert await async_read_statuses(reader) == [504]


async def async_test_inner_calls_late_in_the_stop() -> None:
    """Let an upstream call through its stopping daemon till the end."""
    async with running() as fleet:
        fleet.publish(RULES | {'version': 'r2', 'routes': PEEK_ROUTES})
        await asyncio.sleep(0.5)
        daemon = fleet.daemons['status']
        billing = fleet.upstreams['billing']
        billing.delay_s = 1.0
        daemon.stop()
        stop_s = daemon.settings.bounds.grace_s - process.GRACE_MARGIN_S
        calls = []
        # After that the daemon ends, since no call is left.
        for _ in range(int((stop_s - 0.9) / 0.2)):
            calls.append(asyncio.create_task(async_peek(daemon)))
            await asyncio.sleep(0.2)
        statuses = await asyncio.gather(*calls)
        served = statuses.index(503)
        # The upstream is served for as long as its calls can end in time.
        assert served * 0.2 > process.CALLER_DRAIN_S
        assert set(statuses[:served]) == {200}
        assert set(statuses[served:]) == {503}
        assert len(billing.seen) == served


async def async_test_inner_call_at_the_end_of_the_stop() -> None:
    """Send a call of the upstream when its daemon has begun to end."""
    async with running() as fleet:
        fleet.publish(RULES | {'version': 'r2', 'routes': PEEK_ROUTES})
        await asyncio.sleep(0.5)
        daemon = fleet.daemons['status']
        billing = fleet.upstreams['billing']
        for _ in range(stop_plan.MIN_CALLS):
            assert await async_peek(daemon) == 200
        billing.seen.clear()
        billing.delay_s = 0.2
        daemon.stop()
        await asyncio.sleep(process.CALLER_DRAIN_S - 0.1)
        async with connected(daemon) as (reader, writer):
            server = daemon._caller_server
            await async_wait_until(lambda: server._server is None)
            writer.write(PEEK)
            assert await async_read_statuses(reader) == [503]
        await asyncio.wait_for(fleet.tasks['status'], timeout=1.0)
        assert not billing.seen


async def async_test_daemon_held_up_at_the_end() -> None:
    """Hold a daemon up after it has stopped listening."""
    async with running() as fleet:
        daemon = fleet.daemons['status']
        loop = asyncio.get_running_loop()
        address = daemon.settings.caller_address
        with socket.create_connection(address) as client:
            client.sendall(PEEK)
            loop.call_soon(
                time.sleep, ingress_connection.FIRST_REQUEST_TIME_S + 0.1
            )
            await daemon._async_disconnect_callers(loop.time())
            client.settimeout(1.0)
            assert client.recv(12) in (b'HTTP/1.1 404', b'HTTP/1.1 503')


async def async_test_slow_readers_in_the_stop() -> None:
    """Let a client read its response until after the callers are drained."""
    async with running() as fleet:
        daemon = fleet.daemons['status']
        billing = fleet.upstreams['billing']
        billing.body = b'x' * (8 << 20)
        async with connected(daemon) as (reader, writer):
            writer.write(build_payment(1))
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 ')
            daemon.stop()
            await asyncio.sleep(process.CALLER_DRAIN_S + 0.5)
            assert not fleet.tasks['status'].done()
            assert len(await reader.readexactly(8 << 20)) == 8 << 20
            await asyncio.wait_for(fleet.tasks['status'], timeout=1.0)


async def async_test_notice_in_the_stop() -> None:
    """Send requests on a kept and on new connections until the end."""
    async with running() as fleet:
        daemon = fleet.daemons['status']
        async with connected(daemon) as (reader, writer):
            writer.write(build_payment(1))
            await reader.readuntil(b'\r\n\r\n')
            daemon.stop()
            await asyncio.sleep(0.1)
            writer.write(build_payment(2))
            answer = await asyncio.wait_for(reader.read(), timeout=1.0)
            assert b'HTTP/1.1 200 ' in answer
            assert b'\r\nConnection: close\r\n' in answer
        await asyncio.sleep(process.CALLER_DRAIN_S - 0.3)
        fleet.upstreams['billing'].delay_s = 0.9
        async with connected(daemon) as (reader, writer):
            writer.write(build_payment(3))
            await asyncio.sleep(0.5)
            async with connected(daemon) as (last_reader, last_writer):
                await asyncio.sleep(0.1)
                end_all = daemon._callers.end_all

                def send() -> None:
                    connection = last_writer.get_extra_info('socket')
                    os.write(connection.fileno(), build_payment(4))
                    daemon._callers.end_all = end_all
                    end_all()

                daemon._callers.end_all = send
                assert await async_read_statuses(reader) == [200]
                assert await async_read_statuses(last_reader) == [503]
        await asyncio.wait_for(fleet.tasks['status'], timeout=1.0)


async def async_peek(daemon: process.Daemon) -> int:
    """Make a call of the local upstream; return the status."""
    async with connected(daemon) as (reader, writer):
        writer.write(PEEK)
        line = await asyncio.wait_for(reader.readline(), timeout=8.0)
        return int(line.split()[1]) if line else 0


async def async_wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


async def async_test_leave_without_store() -> None:
    """Report a leave while the store is unavailable."""
    async with running() as fleet:
        fleet.store.is_down = True
        started_at = time.monotonic()
        assert await fleet.async_report('billing', 'draining') == 200
        assert time.monotonic() - started_at < 1.0
        refused = await fleet.async_request('status', '/pay/8', method='POST')
        assert refused.status == 503


async def async_test_repeated_leave_without_store() -> None:
    """Repeat an earlier report of a leave that is not stored yet."""
    async with running() as fleet:
        upstream = fleet.upstreams['billing']
        fleet.store.is_down = True
        upstream._sequence += 1
        first = asyncio.create_task(fleet.async_report('billing', 'draining'))
        await asyncio.sleep(0.1)
        upstream._sequence -= 2
        started_at = time.monotonic()
        assert await fleet.async_report('billing', 'draining') == 200
        assert time.monotonic() - started_at > 0.3
        assert await first == 200


async def async_test_history_gone() -> None:
    """Publish rules after the store has deleted its history."""
    async with running() as fleet:
        fleet.store.forget_history('keyed.op')
        fleet.publish(RULES | {'version': 'r9', 'routes': {}})
        await asyncio.sleep(1.5)
        gone = await fleet.async_request('billing', '/status/1')
        assert gone.status == 404


def test_call_over_two_daemons() -> None:
    """The upstream gets the workspace of the key, but not the key itself."""
    asyncio.run(async_test_path())


def test_head_gets_the_head_of_the_answer_alone() -> None:
    """Guards against waiting for a body that an answer to HEAD announces."""
    asyncio.run(async_test_head())


def test_call_goes_on_when_its_daemon_is_no_longer_a_member() -> None:
    """Guards against calls that are cut off by a planned stop.

    A daemon whose upstream has left removes its record when it stops, and
    finishes the calls that run.
    """
    asyncio.run(async_test_removed_member())


def test_withdrawn_key_stops_with_and_without_the_store() -> None:
    """A daemon whose rules are too old to trust a key refuses the request."""
    asyncio.run(async_test_withdrawal())


def test_lost_answer_is_not_sent_again() -> None:
    """The request may have run at the upstream."""
    asyncio.run(async_test_lost_response())


# Guards against responses without end, and refusals of requests that have run.
@pytest.mark.parametrize(
    'fault',
    [
        platform_upstream.Fault.ENDLESS_HEAD,
        platform_upstream.Fault.ENDLESS_BODY,
        platform_upstream.Fault.FORMER_REFUSAL,
    ],
)
def test_spoilt_response_ends_one_call(fault) -> None:
    """The call ends, its memory is freed and the next call succeeds."""
    asyncio.run(async_test_spoilt_response(fault))


def test_failed_tick_does_not_end_the_ticks(monkeypatch) -> None:
    """Without ticks, nothing expires and no lost connection is reopened."""
    asyncio.run(async_test_failed_tick(monkeypatch))


def test_leaving_upstream_finishes_what_runs() -> None:
    """New requests are refused; running ones get their response."""
    asyncio.run(async_test_leaving())


# Guards against calls that wait for their timeout though the upstream has
# refused them: the test double did not echo their ids.
@pytest.mark.parametrize('is_replaced', [False, True])
def test_call_that_the_upstream_refuses_is_refused(is_replaced) -> None:
    """A refusal says that the call has not run."""
    asyncio.run(async_test_refused_by_upstream(is_replaced=is_replaced))


def test_leave_binds_the_next_process() -> None:
    """A restarted daemon ignores a report sent before the leave."""
    asyncio.run(async_test_leave_and_restart())


# Guards against an acknowledged leave that is forgotten by a kill while the
# store is away.
def test_unstored_leave_binds_the_next_process() -> None:
    """Delayed reports do not make the leaving upstream ready again."""
    asyncio.run(async_test_unstored_leave_and_restart())


# Guards against an acknowledged leave that is forgotten by a planned stop.
def test_stop_waits_until_a_leave_is_stored() -> None:
    """The process stays within its grace time until the store is back."""
    asyncio.run(async_test_stop_stores_leave())


# Guards against crashes that are forgotten by a planned stop, so that the
# request that caused them is accepted again.
@pytest.mark.parametrize('crash_after_s', [0.1, process.CALLER_DRAIN_S + 0.1])
def test_stop_waits_until_a_crash_is_stored(crash_after_s) -> None:
    """The upstream crashes in the stop, or when all else has ended."""
    asyncio.run(async_test_stop_stores_crash(crash_after_s))


def test_restarted_daemon_serves_the_upstream_that_was_there() -> None:
    """A health check shows it at once, without a report."""
    asyncio.run(async_test_restart_beside_live_upstream())


def test_restarted_daemon_waits_for_reports_of_another_upstream() -> None:
    """The health check returns another instance id."""
    asyncio.run(async_test_restart_beside_other_upstream())


# Guards against VMs that stay members after their end, since the store refuses
# the call that deletes the record.
@pytest.mark.parametrize('outage_s', [0.0, 1.5])
def test_record_goes_with_the_vm(outage_s) -> None:
    """The share of each limit passes to the other daemons."""
    asyncio.run(async_test_leaving_vm(outage_s))


# Guards against VMs that are no longer members, and spend no share of a limit
# for 10 s, since their daemon is stopped soon after a restart.
@pytest.mark.parametrize('has_left', [False, True], ids=['stays', 'left'])
def test_stop_soon_after_a_restart_drops_records_of_left_vms(has_left) -> None:
    """The record goes only if the upstream has said that it leaves."""
    asyncio.run(async_test_stop_soon_after_restart(has_left=has_left))


def test_record_stays_over_a_restart() -> None:
    """The next process has the same share of each limit."""
    asyncio.run(async_test_restart_keeps_record())


def test_stopping_daemon_serves_its_upstream_for_a_while() -> None:
    """The upstream runs on, and its slots are needed until the restart."""
    asyncio.run(async_test_stop_beside_live_upstream())


# Guards against requests that a stopping daemon passes on and then cuts off.
def test_late_requests_of_a_stop_are_refused() -> None:
    """Each gets a response, and none reaches the upstream."""
    asyncio.run(async_test_requests_late_in_the_stop())


# Guards against requests that meet the close of their connection in a stop,
# without a notice in any answer before.
def test_answers_in_a_stop_announce_the_close() -> None:
    """A request that has arrived when the process ends gets a refusal."""
    asyncio.run(async_test_notice_in_the_stop())


# Guards against calls that end without a response at the end of a stop.
def test_calls_that_outlast_a_stop_get_a_response() -> None:
    """It does not say that the call has not run."""
    asyncio.run(async_test_call_at_the_end_of_the_stop())


# Guards against calls of an upstream that are taken after its daemon has
# decided to end, and cut at once.
def test_inner_call_at_the_end_of_a_stop_is_refused() -> None:
    """It has not run."""
    asyncio.run(async_test_inner_call_at_the_end_of_the_stop())


# Guards against requests of accepted connections that a daemon does not read,
# since it is held up for the time that it gives them.
def test_daemon_that_is_held_up_reads_before_it_ends() -> None:
    """They are refused."""
    asyncio.run(async_test_daemon_held_up_at_the_end())


# Guards against whole answers that a stop cuts while clients read them.
def test_stop_waits_for_clients_that_read_slowly() -> None:
    """The process ends once the last byte is sent, or with the grace time."""
    asyncio.run(async_test_slow_readers_in_the_stop())


# Guards against calls of an upstream that its stopping daemon takes and cuts.
def test_calls_of_the_upstream_end_before_its_daemon() -> None:
    """A call that cannot end in what is left of the grace time is refused."""
    asyncio.run(async_test_inner_calls_late_in_the_stop())


def test_leave_is_acknowledged_without_the_store() -> None:
    """The upstream waits one second at most for the acknowledgement."""
    asyncio.run(async_test_leave_without_store())


# Guards against a leave that is acknowledged before it is stored, since an
# earlier report of it arrives late.
def test_repeated_leave_is_acknowledged_no_sooner() -> None:
    """It waits for the store as the first report does."""
    asyncio.run(async_test_repeated_leave_without_store())


def test_rules_are_followed_past_the_history() -> None:
    """A daemon whose offset is gone reads the newest record of each key."""
    asyncio.run(async_test_history_gone())
