"""One VM of a soak: a daemon process, its upstream and its relays."""

import asyncio
from collections.abc import Coroutine
import enum
import itertools
import os
import pathlib
import signal
import subprocess
import sys
import sysconfig
import time
from typing import Any, Final

from lab import platform_upstream
from lab import relay
from lab.soak import http_caller
from lab.soak import ledger as ledger_module

# Interval between reports of an upstream, in seconds.
REPORT_S: Final = 0.5
# Time after the report of a cold upstream in which requests that were sent
# before it still arrive, in seconds.
COLD_NOTICE_S: Final = 0.1
GRACE_S: Final = 6.0
INNER_CALLS: Final = 2
# Part of the path of requests that crash the upstreams that run them.
POISON: Final = 'poison'
# Header field of such a request: time it runs before the crash, in seconds.
CRASH_FIELD: Final = 'x-crash-after-s'
# Header field of a request whose upstream makes an inner call that crashes
# the upstream that runs it; the value is that of CRASH_FIELD in this call.
INNER_CRASH_FIELD: Final = 'x-inner-crash-after-s'
CRASH_PEEK: Final = '/peek/odd'
_ROOT = pathlib.Path(__file__).resolve().parents[2]
# Environment variable that names the source tree of the daemons.
CODE_VARIABLE: Final = 'SASSAFRASWOOD_CODE'
# Where deploy/build installs the daemon.
_DEPLOYED = _ROOT / 'target' / 'deps'
_LAUNCHER = _ROOT / 'target' / 'bin' / 'sassafraswood-daemon'
_SETTINGS = """
node = "{name}"
zone = "{domain}"
service = "{service}"
bootstrap = {is_first}
heartbeat-interval-s = {report_s}
app-addr = "{host}:7007"
bounds = [{bounds}]
[listen]
inbound = "{host}:7002"
advertised = "{host}:7003"
outbound = "{host}:7001"
ready = "{host}:7004"
control = "{host}:7005"
[platform]
address = "{host}:7008"
"""


# Ports on the loopback address of each VM. They lie outside the range of
# ephemeral ports that the kernel uses for outgoing connections.
CALLER: Final = 7001
PEER: Final = 7002
PEER_RELAY: Final = 7003
READY: Final = 7004
REPORT: Final = 7005
UPSTREAM: Final = 7006
UPSTREAM_RELAY: Final = 7007
STORE_RELAY: Final = 7008

# Begin of a traceback in a log line.
_TRACEBACK: Final = 'Traceback (most recent call last)'


class UpstreamEnd(enum.Enum):
    """How an upstream crashes and when its successor starts."""

    # Its connections are reset, and its port refuses connections until the
    # successor starts.
    RESET = 'reset'
    # The successor starts at once.
    REPLACED = 'replaced'
    # As REPLACED, and the successor has the same instance id.
    SAME_ID = 'same_id'
    # It stops responding, and its connections are reset only when the
    # successor starts.
    DARK = 'dark'


class Machine:
    """Starts, stops and injects faults into the processes of one VM."""

    def __init__(
        self,
        *,
        name: str,
        host: str,
        service: str,
        domain: str,
        store: tuple[str, int],
        folder: pathlib.Path,
        ledger: ledger_module.Ledger,
        deployed: bool,
        has_cold_bounds: bool = False,
        code: pathlib.Path | None = None,
    ) -> None:
        """Initialize the VM without starting anything.

        Args:
            name: Name of the VM; also the node name of its daemon.
            host: Loopback address of the VM.
            service: Service of its upstream.
            domain: Failure domain.
            store: Host and port of the store.
            folder: Folder of the settings and log files.
            ledger: Ledger that records the runs.
            deployed: Whether to run the daemon that deploy/build installed.
            has_cold_bounds: Whether the settings bound the requests at cold
                upstreams.
            code: Source tree of the daemon, unless it is deployed; if None,
                the one that the environment variable CODE_VARIABLE names, or
                that of this file.
        """
        self.name = name
        self.service = service
        self.host = host
        self.relays = {
            'peer': self._create_relay(PEER_RELAY, f'{host}:{PEER}'),
            'store': self._create_relay(STORE_RELAY, f'{store[0]}:{store[1]}'),
            'upstream': self._create_relay(
                UPSTREAM_RELAY, f'{host}:{UPSTREAM}'
            ),
        }
        self.upstream: platform_upstream.PlatformUpstream | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.is_reporting = True
        # How requests crash the upstream, and its downtime in seconds.
        self.upstream_end = UpstreamEnd.RESET
        self.upstream_downtime_s = 1.0
        self.upstream_slots = platform_upstream.SLOTS
        self.upstream_delay_s = 0.02 if service == 'front' else 0.01
        # Exit codes of daemon processes that the soak did not end.
        self.unexpected_exits: list[int] = []
        self.peak_mb = 0.0
        self._domain = domain
        ledger.domains[name] = domain
        self._bounds = [
            f'revoke-s={ledger_module.REVOKE_S}',
            f'grace-s={GRACE_S}',
            f'config-apply-s={ledger_module.APPLY_S}',
        ]
        if has_cold_bounds:
            self._bounds += [
                f'evacuate-s={ledger_module.EVACUATE_S}',
                f'cold-excess={ledger_module.COLD_EXCESS}',
                f'cold-slack={ledger_module.COLD_SLACK}',
            ]
        self._folder = folder
        self._ledger = ledger
        code = code or pathlib.Path(os.environ.get(CODE_VARIABLE) or _ROOT)
        # As on the platform, the daemon starts without the site module, which
        # would add the installed packages.
        self._code_path = (
            str(_DEPLOYED)
            if deployed
            else f'{code}:{sysconfig.get_path("platlib")}'
        )
        # Command that starts the daemon.
        self.command = (
            [str(_LAUNCHER)]
            if deployed
            else [sys.executable, '-S', '-P', '-m', 'sassafraswood.sidecar']
        )
        self._is_ending = False
        self._is_first = True
        # Held while the daemon is stopped and started again.
        self._restart_lock = asyncio.Lock()
        self._instances = itertools.count(1)
        self._inner_ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Start the relays, the upstream, the daemon and the reports."""
        await self.async_start_surroundings()
        self.start_daemon()
        self.watch_process()

    def watch_process(self) -> None:
        """Restart the daemon after unexpected exits; record its memory."""
        self._spawn(self._async_watch_process())

    async def async_start_surroundings(self) -> None:
        """Start what surrounds the daemon: relays, upstream and reports."""
        for item in self.relays.values():
            self._spawn(item.async_run())
        await self.async_start_upstream()
        self._spawn(self._async_report())

    async def async_stop(self) -> None:
        """Stop everything that was started."""
        self._is_ending = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.process is not None:
            self.process.kill()
            await asyncio.to_thread(self.process.wait)
        if self.upstream is not None:
            self.upstream.crash()

    # Daemon.

    def start_daemon(self) -> None:
        """Start the daemon process."""
        self.write_settings()
        self.process = self.launch()
        self._is_ending = False
        self._ledger.started_at[self.name].append(time.monotonic())

    def launch(self, **options: Any) -> subprocess.Popen[bytes]:
        """Start a process with the settings file as it is.

        The caller ends the process.

        Args:
            options: Replace or add arguments of subprocess.Popen.
        """
        environment = dict(
            os.environ,
            SASSAFRASWOOD_SETTINGS=str(self.settings_path),
            PYTHONPATH=self._code_path,
        )
        with self.log_path.open('ab') as log:
            arguments: dict[str, Any] = {
                'cwd': _ROOT,
                'env': environment,
                'stdout': log,
                'stderr': log,
                **options,
            }
            process: subprocess.Popen[bytes] = subprocess.Popen(
                self.command, **arguments
            )
        self._is_first = False
        return process

    def write_settings(self) -> None:
        """Write the settings file of the daemon."""
        self.settings_path.write_text(
            _SETTINGS.format(
                name=self.name,
                domain=self._domain,
                service=self.service,
                is_first=str(self._is_first).lower(),
                report_s=REPORT_S,
                bounds=','.join(f'"{bound}"' for bound in self._bounds),
                host=self.host,
            )
        )

    async def async_kill(self, pause_s: float) -> None:
        """Kill the daemon and start it again after a pause."""
        if self._restart_lock.locked():
            # Another fault is already restarting it.
            self.send_signal(signal.SIGKILL)
            return
        async with self._restart_lock:
            await self._async_stop_process(signal.SIGKILL)
            await asyncio.sleep(pause_s)
            self.start_daemon()

    async def async_restart(self) -> None:
        """Stop the daemon gracefully and start it again."""
        if self._restart_lock.locked():
            return
        async with self._restart_lock:
            await self._async_stop_process(signal.SIGTERM)
            self.start_daemon()

    async def async_pause(self, pause_s: float) -> None:
        """Pause the daemon process for a time in seconds."""
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        self.send_signal(signal.SIGCONT)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def _async_stop_process(self, number: signal.Signals) -> None:
        self._is_ending = True
        process = self.process
        if process is None:
            return
        process.send_signal(number)
        try:
            await asyncio.wait_for(
                asyncio.to_thread(process.wait), GRACE_S + 1.0
            )
        except TimeoutError:
            process.kill()
            await asyncio.to_thread(process.wait)
            self._ledger.failures.append(
                f'{self.name} did not stop before the timeout'
            )

    async def _async_watch_process(self) -> None:
        """Restart the process after unexpected exits; record its memory."""
        while True:
            await asyncio.sleep(0.2)
            process = self.process
            if process is None or self._is_ending:
                continue
            code = process.poll()
            if code is not None:
                self.unexpected_exits.append(code)
                self.start_daemon()
                continue
            self.record_memory(process.pid)

    def record_memory(self, pid: int) -> None:
        """Record the peak memory of a daemon process."""
        try:
            text = pathlib.Path(f'/proc/{pid}/status').read_text()
        except OSError:
            # The process has exited since the poll.
            return
        for line in text.splitlines():
            if line.startswith('VmHWM'):
                peak_mb = int(line.split()[1]) / 1024
                self.peak_mb = max(self.peak_mb, peak_mb)

    # Upstream.

    async def async_start_upstream(self, name: str = '') -> None:
        """Start the next upstream; without a name it gets a new id."""
        name = name or f'{self.name}.{next(self._instances)}'
        self.upstream = platform_upstream.PlatformUpstream(
            name, self.service, self._async_on_run, self.host
        )
        self.upstream.slots = self.upstream_slots
        self.upstream.delay_s = self.upstream_delay_s
        await self.upstream.async_start(
            UPSTREAM, f'{self.host}:{UPSTREAM_RELAY}'
        )

    async def async_crash_upstream(self, pause_s: float) -> None:
        """Crash the upstream and start another one after a pause."""
        upstream, self.upstream = self.upstream, None
        if upstream is None:
            # It is down already.
            return
        link = self.relays['upstream']
        await link.async_set_mode(relay.RelayMode.REFUSE)
        upstream.crash()
        await asyncio.sleep(pause_s)
        await self.async_start_upstream()
        await link.async_set_mode(relay.RelayMode.PASS)

    async def async_crash_upstream_by_request(self) -> None:
        """Crash the upstream according to upstream_end and start another."""
        upstream = self.upstream
        if upstream is None or self.upstream_end is UpstreamEnd.RESET:
            await self.async_crash_upstream(self.upstream_downtime_s)
            return
        self.upstream = None
        if self.upstream_end is UpstreamEnd.DARK:
            upstream.is_dark = True
            await asyncio.sleep(self.upstream_downtime_s)
        upstream.crash()
        # Lets the event loop close its connections.
        await asyncio.sleep(0.02)
        is_same = self.upstream_end is UpstreamEnd.SAME_ID
        await self.async_start_upstream(
            upstream.instance_id if is_same else ''
        )

    async def async_cool_upstream(self, for_s: float) -> None:
        """Let the upstream be cold for a time in seconds, as it reports."""
        upstream = self.upstream
        if upstream is None or not self.is_reporting:
            return
        upstream.cold_until = time.monotonic() + for_s
        if await upstream.async_report(REPORT) == 200:
            # Requests that were sent before may still arrive.
            start = time.monotonic() + COLD_NOTICE_S
            self._ledger.cold[upstream.instance_id].append(
                ledger_module.Span(start=start, end=upstream.cold_until)
            )

    async def async_replace_upstream(
        self, *, is_draining_reported: bool
    ) -> None:
        """Drain or deregister the upstream and start another one."""
        upstream = self.upstream
        if upstream is None:
            return
        self.is_reporting = False
        if is_draining_reported:
            await self._async_record_leave(
                upstream, upstream.async_report(REPORT, 'draining')
            )
        await asyncio.sleep(ledger_module.DRAIN_S + 0.5)
        await self._async_record_leave(
            upstream, upstream.async_deregister(REPORT)
        )
        if not is_draining_reported:
            await asyncio.sleep(ledger_module.DRAIN_S + 0.5)
        upstream.crash()
        self.is_reporting = True
        await self.async_start_upstream()

    async def _async_record_leave(
        self,
        upstream: platform_upstream.PlatformUpstream,
        request: Coroutine[Any, Any, int],
    ) -> None:
        """Record when the daemon accepted that the upstream leaves."""
        if await request == 200:
            self._ledger.left_at.setdefault(
                upstream.instance_id, time.monotonic()
            )

    async def _async_report(self) -> None:
        while True:
            upstream = self.upstream
            if upstream is not None and self.is_reporting:
                await upstream.async_report(REPORT)
            await asyncio.sleep(REPORT_S)

    async def _async_on_run(self, fields: dict[str, str], target: str) -> bool:
        """Record a run and make its inner calls."""
        assert self.upstream is not None
        self._ledger.record_run(
            ledger_module.Run(
                attempt_id=fields.get('x-attempt-id', ''),
                service=self.service,
                instance_id=self.upstream.instance_id,
                workspace=fields.get('x-tenant', ''),
                caller_service=fields.get('x-caller-service', ''),
                has_key='authorization' in fields,
                at=time.monotonic(),
            )
        )
        if CRASH_FIELD in fields or POISON in target:
            self._ledger.record_crash(target, fields.get('x-attempt-id', ''))
            await asyncio.sleep(float(fields.get(CRASH_FIELD, '0')))
            self._spawn(self.async_crash_upstream_by_request())
            # The crash ends the connection before any response.
            await asyncio.sleep(60.0)
            return False
        if not target.startswith('/read/'):
            return True
        remaining_s = int(fields['x-deadline-ms']) / 1000
        if INNER_CRASH_FIELD in fields:
            field = f'{CRASH_FIELD}: {fields[INNER_CRASH_FIELD]}\r\n'
            return await self._async_call_peek(remaining_s, CRASH_PEEK, field)
        calls = [
            self._async_call_peek(remaining_s) for _ in range(INNER_CALLS)
        ]
        return all(await asyncio.gather(*calls))

    async def _async_call_peek(
        self, remaining_s: float, target: str = '/peek/1', field: str = ''
    ) -> bool:
        """Make an inner call of the upstream through its daemon."""
        attempt = f'{self.name}.i{next(self._inner_ids)}'
        self._ledger.inner_calls[attempt] = self.service
        caller = http_caller.HttpCaller((self.host, CALLER))
        payload = (
            f'GET {target} HTTP/1.1\r\nHost: shop.example\r\n{field}'
            f'X-Attempt-Id: {attempt}\r\n'
            f'X-Deadline-Ms: {int(remaining_s * 1000)}\r\n\r\n'
        )
        try:
            response = await caller.async_call(payload.encode(), remaining_s)
        except (ConnectionError, TimeoutError):
            # The daemon is affected by a fault; the run fails.
            return False
        finally:
            caller.close()
        self._ledger.inner_statuses[attempt] = response.status
        return response.status == 200

    # Helpers.

    def _create_relay(self, port: int, target: str) -> relay.Relay:
        return relay.Relay(listen=f'{self.host}:{port}', target=target)

    @property
    def domain(self) -> str:
        """Return the failure domain of the VM."""
        return self._domain

    @property
    def settings_path(self) -> pathlib.Path:
        """Return the path of the settings file of the daemon."""
        return self._folder / f'{self.name}.toml'

    def find_unexpected_error(self) -> str:
        """Return the first log line of the daemon that holds a traceback.

        Compiled code may raise errors that the source code does not.
        """
        with self.log_path.open(encoding='utf-8', errors='replace') as log:
            return next((line for line in log if _TRACEBACK in line), '')

    @property
    def log_path(self) -> pathlib.Path:
        """Return the path of the output of all processes of the daemon."""
        return self._folder / f'{self.name}.log'

    def _spawn(self, routine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(routine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
