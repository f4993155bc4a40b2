"""A small site of real processes, and clients that send bytes as they are.

The store and the upstreams are test doubles in the calling process; each
daemon is a process of its own, from any source tree, so that old and new code
can be compared.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
import contextlib
import itertools
import json
import pathlib
import signal
import socket
import subprocess
from typing import Any, Final

from lab import platform_store
from lab import platform_upstream
from lab import ports
from lab.soak import http_caller
from lab.soak import ledger
from lab.soak import machine as machine_module

START_TIMEOUT_S: Final = 20.0
# Ends a daemon that grows without bound, before the VM suffers.
GUARD_MB: Final = 600.0
_POLL_S: Final = 0.05
# Bytes of a response that a stream holds for its client at least.
_STREAM_BYTES: Final = 64 * 1024
_attempts = itertools.count(1)


def build_rules(
    services: Sequence[str], timeout_s: float = 3.0, **limits: float
) -> bytes:
    """Return rules with one open route for each service.

    Args:
        services: Names of the services.
        timeout_s: Timeout of each route.
        limits: Replace limits, with underscores in place of hyphens.
    """
    routes = {
        service: {
            'host': 'shop.example',
            'path-prefix': f'/{service}/',
            'kind': 'safe',
            'timeout-s': timeout_s,
            'latency-target-s': 1,
            'priority': 1,
            'service': service,
            'max-attempts': 1,
            'anonymous': True,
        }
        for service in services
    }
    return json.dumps(
        {
            'version': 'r1',
            'routes': routes,
            'services': {service: {} for service in services},
            'limits': {
                'max-header-bytes': 8000,
                'max-body-bytes': 1 << 20,
                'header-timeout-s': 3,
                'idle-timeout-s': 15,
                **{
                    name.replace('_', '-'): value
                    for name, value in limits.items()
                },
            },
            'tenants': {'blue': {'api-keys': ['k1']}},
        }
    ).encode()


def build_request(
    service: str,
    *,
    method: str = 'GET',
    attempt_id: str = '',
    deadline: str = '3000',
    close: bool = False,
    length: int = 0,
) -> bytes:
    """Return the encoded head of a request to a service.

    Args:
        service: Service of the route.
        method: HTTP method.
        attempt_id: Id of the attempt; a new one if empty.
        deadline: Value of the deadline field, in milliseconds.
        close: Whether the connection is to be closed afterwards.
        length: Bytes of the body, which the caller sends.
    """
    fields = [
        f'{method} /{service}/1 HTTP/1.1',
        'Host: shop.example',
        f'X-Attempt-Id: {attempt_id or create_attempt_id()}',
        f'X-Deadline-Ms: {deadline}',
    ]
    if close:
        fields.append('Connection: close')
    if length:
        fields.append(f'Content-Length: {length}')
    return '\r\n'.join([*fields, '', '']).encode()


def create_attempt_id() -> str:
    """Return an id that no other attempt of this process has."""
    return f'a{next(_attempts)}'


class RawClient:
    """Client on a connection of its own that sends bytes as they are."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Initialize with the streams of an open connection."""
        self.reader = reader
        self._writer = writer

    def send(self, data: bytes) -> None:
        """Send bytes, unless the connection has ended."""
        if not self._writer.is_closing():
            self._writer.write(data)

    async def async_send(self, data: bytes) -> None:
        """Send bytes as fast as the daemon takes them.

        Raises:
            OSError: The connection has ended.
        """
        self._writer.write(data)
        await self._writer.drain()

    def end_sending(self) -> None:
        """End the direction to the daemon only."""
        self._writer.write_eof()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def reset(self) -> None:
        """Close the connection at once, without sending buffered data."""
        self._writer.transport.abort()

    async def async_receive(
        self, *, has_body: bool = True, timeout_s: float = 6.0
    ) -> http_caller.Response | None:
        """Return the next response; None if the connection ends before.

        Raises:
            TimeoutError: No complete response arrived within timeout_s.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await http_caller.async_read_response(
                    self.reader, has_body=has_body
                )
        except TimeoutError:
            raise
        except (OSError, asyncio.IncompleteReadError):
            return None


class Site:
    """VMs with one service each; clients connect to the first VM."""

    def __init__(
        self,
        folder: pathlib.Path,
        services: Sequence[str],
        *,
        rules: bytes = b'',
        code: pathlib.Path | None = None,
        create_machine: Callable[..., machine_module.Machine] = (
            machine_module.Machine
        ),
    ) -> None:
        """Create the site without starting it.

        Args:
            folder: Folder of the settings and log files.
            services: Service of each VM, which is also its name.
            rules: Rules to begin with; those of build_rules if empty.
            code: Source tree of the daemons; if None, that of Machine.
            create_machine: Creates a VM with the arguments of Machine.
        """
        self.store = platform_store.PlatformStore()
        self.machines: dict[str, machine_module.Machine] = {}
        self.processes: list[subprocess.Popen[bytes]] = []
        self._services = list(services)
        self._rules = rules or build_rules(services)
        self._folder = folder
        self._create_machine = create_machine
        self._code = {} if code is None else {'code': code}

    @property
    def first(self) -> machine_module.Machine:
        """Return the VM of the clients."""
        return self.machines[self._services[0]]

    async def async_open(self) -> None:
        """Start everything but the daemons."""
        store = await self.store.async_start()
        self.store.put('keyed.op', 'config', self._rules)
        hosts = ports.reserve_hosts(len(self._services))
        for service, host in zip(self._services, hosts, strict=True):
            machine = self._create_machine(
                name=service,
                host=host,
                service=service,
                domain='z1',
                store=store,
                folder=self._folder,
                ledger=ledger.Ledger(),
                deployed=False,
                **self._code,
            )
            self.machines[service] = machine
            await machine.async_start_surroundings()

    async def async_start(self) -> None:
        """Start all processes and wait until all services are reached."""
        await self.async_open()
        for machine in self.machines.values():
            machine.start_daemon()
            machine.watch_process()
        for service in self._services:
            await self.async_wait_served(service)

    async def async_stop(self) -> None:
        """Stop all processes."""
        for machine in self.machines.values():
            await machine.async_stop()
        for process in self.processes:
            process.kill()
            await asyncio.to_thread(process.wait)
        self.store.stop()

    def upstream(self, service: str) -> platform_upstream.PlatformUpstream:
        """Return the upstream of a service."""
        upstream = self.machines[service].upstream
        assert upstream is not None
        return upstream

    async def async_wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        """Wait until a condition holds.

        Raises:
            TimeoutError: It does not hold within timeout_s.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(_POLL_S / 5.0)

    # Processes that a test starts and ends.

    def launch(self, name: str, **options: Any) -> subprocess.Popen[bytes]:
        """Start a process with the settings file of a VM as it is."""
        process = self.machines[name].launch(**options)
        self.processes.append(process)
        return process

    async def async_wait_ready(
        self,
        name: str,
        process: subprocess.Popen[bytes],
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Wait until the daemon of a VM is ready.

        Raises:
            ChildProcessError: The process has ended.
            TimeoutError: It is not ready within timeout_s.
        """
        async with asyncio.timeout(timeout_s):
            while process.poll() is None:
                if await self.async_check_ready(name) == 200:
                    return
                await asyncio.sleep(_POLL_S)
        raise ChildProcessError(f'exit code {process.returncode}')

    async def async_check_ready(self, name: str) -> int:
        """Return the status of a readiness check; 0 without a response."""
        address = self.machines[name].host, machine_module.READY
        caller = http_caller.HttpCaller(address)
        try:
            response = await caller.async_call(
                b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n', 1.0
            )
        except (ConnectionError, TimeoutError):
            return 0
        finally:
            caller.close()
        return response.status

    async def async_wait_served(
        self,
        service: str,
        name: str = '',
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Wait until a service is reached through a VM, the first if empty.

        Raises:
            TimeoutError: It is not reached within timeout_s.
        """
        async with asyncio.timeout(timeout_s):
            while await self.async_get(service, name) != 200:
                await asyncio.sleep(_POLL_S)

    async def async_end(
        self,
        process: subprocess.Popen[bytes],
        number: signal.Signals | None = signal.SIGTERM,
        timeout_s: float = machine_module.GRACE_S + 1.0,
    ) -> int | None:
        """Send a signal; return the exit code, None if it does not end."""
        if number is not None:
            process.send_signal(number)
        with contextlib.suppress(subprocess.TimeoutExpired):
            return await asyncio.to_thread(process.wait, timeout_s)
        return None

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of all processes of a VM."""
        lines = []
        for line in self.machines[name].log_path.read_text().splitlines():
            # Other output than that of the log is left out.
            with contextlib.suppress(json.JSONDecodeError):
                lines.append(json.loads(line))
        return lines

    # Clients.

    async def async_connect(
        self,
        port: int = machine_module.CALLER,
        name: str = '',
        receive_bytes: int = 0,
        source: str = '',
    ) -> RawClient:
        """Open a connection to a daemon.

        Args:
            port: Port of the daemon.
            name: Name of its VM; the first VM if empty.
            receive_bytes: Size of the receive buffer; that of the system if 0.
            source: Address of the client; chosen by the system if empty.
        """
        host = (self.machines[name] if name else self.first).host
        connection = socket.socket()
        connection.setblocking(False)
        if receive_bytes:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        if source:
            connection.bind((source, 0))
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, port))
        return RawClient(
            *await asyncio.open_connection(
                sock=connection, limit=receive_bytes // 2 or _STREAM_BYTES
            )
        )

    async def async_get(self, service: str, name: str = '') -> int:
        """Send a request; return its status, 0 without a response.

        Args:
            service: Service that is called.
            name: Name of the VM of the client; the first VM if empty.
        """
        host = (self.machines[name] if name else self.first).host
        caller = http_caller.HttpCaller((host, machine_module.CALLER))
        try:
            response = await caller.async_call(
                build_request(service, close=True), 4.0
            )
        except (ConnectionError, TimeoutError):
            return 0
        finally:
            caller.close()
        return response.status

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


@contextlib.asynccontextmanager
async def async_site(
    folder: pathlib.Path,
    services: Sequence[str],
    *,
    has_daemons: bool = True,
    **options: Any,
) -> AsyncIterator[Site]:
    """Run a site within a context.

    Args:
        folder: Folder of the settings and log files.
        services: Service of each VM.
        has_daemons: Whether to start the daemons; otherwise their settings
            are written only.
        options: Further arguments of Site.
    """
    site = Site(folder, services, **options)
    try:
        if has_daemons:
            await site.async_start()
        else:
            await site.async_open()
            for machine in site.machines.values():
                machine.write_settings()
        yield site
    finally:
        await site.async_stop()
