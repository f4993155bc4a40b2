"""One VM of a soak: a daemon process, its upstream, relays, callers."""

import asyncio
from collections.abc import Coroutine
import enum
import itertools
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any, Final

from lab import platform_upstream
from lab import relay
from lab.soak import http_caller
from lab.soak import ledger as ledger_module

# Upstreams report this often, in seconds.
REPORT_S: Final = 0.5
GRACE_S: Final = 6.0
INNER_CALLS: Final = 2
# Part of the path of requests that crash what runs them.
POISON: Final = 'poison'
# Field of such a request: how long it runs until the crash, in seconds.
CRASH_FIELD: Final = 'x-crash-after-s'
# Field of a request that leads to a call that crashes what runs it.
INNER_CRASH_FIELD: Final = 'x-inner-crash-after-s'
CRASH_PEEK: Final = '/peek/odd'
_ROOT = pathlib.Path(__file__).resolve().parents[2]
# Where deploy/build installs the daemon.
_DEPLOYED = _ROOT / 'target' / 'deps'
_SETTINGS = """
node = "{name}"
zone = "{domain}"
service = "{service}"
bootstrap = {is_first}
heartbeat-interval-s = {report_s}
app-addr = "{host}:7007"
bounds = ["revoke-s={revoke_s}","grace-s={grace_s}","config-apply-s={apply_s}"]
[listen]
inbound = "{host}:7002"
advertised = "{host}:7003"
outbound = "{host}:7001"
ready = "{host}:7004"
control = "{host}:7005"
[platform]
address = "{host}:7008"
"""


# Ports of each VM, which has a loopback address of its own; outside the range
# that the kernel takes for outgoing connections.
CALLER: Final = 7001
PEER: Final = 7002
PEER_RELAY: Final = 7003
READY: Final = 7004
REPORT: Final = 7005
UPSTREAM: Final = 7006
UPSTREAM_RELAY: Final = 7007
STORE_RELAY: Final = 7008


class UpstreamEnd(enum.Enum):
    """How an upstream ends, and what comes after it."""

    # Its connections end and its port refuses until the next one is there.
    RESET = 'reset'
    # The next one is there at once.
    REPLACED = 'replaced'
    # As REPLACED, and the next one has the same id.
    SAME_ID = 'same_id'
    # It falls silent and nothing is reset until the next one is there.
    DARK = 'dark'


class Machine:
    """Starts, strikes and restarts what runs on one VM."""

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
    ) -> None:
        """Take where it stands; nothing runs yet.

        With deployed, the daemon is the one that deploy/build installed.
        """
        self.name = name
        self.service = service
        self.host = host
        self.relays = {
            'peer': self._relay(PEER_RELAY, f'{host}:{PEER}'),
            'store': self._relay(STORE_RELAY, f'{store[0]}:{store[1]}'),
            'upstream': self._relay(UPSTREAM_RELAY, f'{host}:{UPSTREAM}'),
        }
        self.upstream: platform_upstream.PlatformUpstream | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.is_reporting = True
        # How requests end the upstream, and for how long, in seconds.
        self.upstream_end = UpstreamEnd.RESET
        self.upstream_away_s = 1.0
        self.upstream_slots = platform_upstream.SLOTS
        self.upstream_delay_s = 0.02 if service == 'front' else 0.01
        # Ends of the process that the soak did not cause.
        self.own_exits: list[int] = []
        self.peak_mb = 0.0
        self._domain = domain
        self._folder = folder
        self._ledger = ledger
        self._code = str(_DEPLOYED if deployed else _ROOT)
        self._is_ending = False
        self._is_first = True
        # Held while the daemon is ended and started again.
        self._life = asyncio.Lock()
        self._instances = itertools.count(1)
        self._inner_ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Start everything."""
        for item in self.relays.values():
            self._spawn(item.async_run())
        await self.async_start_upstream()
        self.start_daemon()
        self._spawn(self._async_report())
        self._spawn(self._async_watch())

    async def async_stop(self) -> None:
        """End everything that was started."""
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
        """Start the process of the daemon."""
        self.write_settings()
        environment = dict(
            os.environ,
            SASSAFRASWOOD_SETTINGS=str(self._settings_path),
            PYTHONPATH=self._code,
        )
        with self._log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-P', '-m', 'sassafraswood.sidecar'],
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._is_first = False
        self._is_ending = False
        self._ledger.started_at[self.name].append(time.monotonic())

    def write_settings(self) -> None:
        """Write the settings file."""
        self._settings_path.write_text(
            _SETTINGS.format(
                name=self.name,
                domain=self._domain,
                service=self.service,
                is_first=str(self._is_first).lower(),
                report_s=REPORT_S,
                revoke_s=ledger_module.REVOKE_S,
                apply_s=ledger_module.APPLY_S,
                grace_s=GRACE_S,
                host=self.host,
            )
        )

    async def async_kill(self, pause_s: float) -> None:
        """Kill the daemon and start it again after a pause."""
        if self._life.locked():
            # It is being stopped and started again already.
            self.send_signal(signal.SIGKILL)
            return
        async with self._life:
            await self._async_end(signal.SIGKILL)
            await asyncio.sleep(pause_s)
            self.start_daemon()

    async def async_restart(self) -> None:
        """Stop the daemon as planned and start it again."""
        if self._life.locked():
            return
        async with self._life:
            await self._async_end(signal.SIGTERM)
            self.start_daemon()

    async def async_pause(self, pause_s: float) -> None:
        """Let the daemon stand still."""
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        self.send_signal(signal.SIGCONT)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def _async_end(self, number: signal.Signals) -> None:
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
            self._ledger.failures.append(f'{self.name} did not stop in time')

    async def _async_watch(self) -> None:
        """Look after the process: its own ends and its memory."""
        while True:
            await asyncio.sleep(0.2)
            process = self.process
            if process is None or self._is_ending:
                continue
            code = process.poll()
            if code is not None:
                self.own_exits.append(code)
                self.start_daemon()
                continue
            self._note_memory(process.pid)

    def _note_memory(self, pid: int) -> None:
        try:
            text = pathlib.Path(f'/proc/{pid}/status').read_text()
        except OSError:
            # The process has ended since.
            return
        for line in text.splitlines():
            if line.startswith('VmHWM'):
                peak_mb = int(line.split()[1]) / 1024
                self.peak_mb = max(self.peak_mb, peak_mb)

    # Upstream.

    async def async_start_upstream(self, name: str = '') -> None:
        """Start the next upstream at the address; without a name, a new id."""
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
        """End the upstream without a word and start another one."""
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

    async def async_end_upstream(self) -> None:
        """End the upstream as this VM is told to, and start another one."""
        upstream = self.upstream
        if upstream is None or self.upstream_end is UpstreamEnd.RESET:
            await self.async_crash_upstream(self.upstream_away_s)
            return
        self.upstream = None
        if self.upstream_end is UpstreamEnd.DARK:
            upstream.is_dark = True
            await asyncio.sleep(self.upstream_away_s)
        upstream.crash()
        # Until its connections have ended.
        await asyncio.sleep(0.02)
        is_same = self.upstream_end is UpstreamEnd.SAME_ID
        await self.async_start_upstream(
            upstream.instance_id if is_same else ''
        )

    async def async_replace_upstream(self, *, says_draining: bool) -> None:
        """Let the upstream leave as planned and start another one."""
        upstream = self.upstream
        if upstream is None:
            return
        self.is_reporting = False
        if says_draining:
            await self._async_leave(
                upstream, upstream.async_report(REPORT, 'draining')
            )
        await asyncio.sleep(ledger_module.DRAIN_S + 0.5)
        await self._async_leave(upstream, upstream.async_deregister(REPORT))
        if not says_draining:
            await asyncio.sleep(ledger_module.DRAIN_S + 0.5)
        upstream.crash()
        self.is_reporting = True
        await self.async_start_upstream()

    async def _async_leave(
        self,
        upstream: platform_upstream.PlatformUpstream,
        told: Coroutine[Any, Any, int],
    ) -> None:
        """Note from when on the upstream is out of use."""
        if await told == 200:
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
        """Note a run and make the calls that it leads to."""
        assert self.upstream is not None
        self._ledger.note_run(
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
            self._ledger.note_crash(target, fields.get('x-attempt-id', ''))
            await asyncio.sleep(float(fields.get(CRASH_FIELD, '0')))
            self._spawn(self.async_end_upstream())
            # It is never answered.
            await asyncio.sleep(60.0)
            return False
        if not target.startswith('/read/'):
            return True
        left_s = int(fields['x-deadline-ms']) / 1000
        if INNER_CRASH_FIELD in fields:
            field = f'{CRASH_FIELD}: {fields[INNER_CRASH_FIELD]}\r\n'
            return await self._async_peek(left_s, CRASH_PEEK, field)
        calls = [self._async_peek(left_s) for _ in range(INNER_CALLS)]
        return all(await asyncio.gather(*calls))

    async def _async_peek(
        self, left_s: float, target: str = '/peek/1', field: str = ''
    ) -> bool:
        """Make a call of the upstream through its daemon."""
        attempt = f'{self.name}.i{next(self._inner_ids)}'
        self._ledger.inner_calls[attempt] = self.service
        caller = http_caller.HttpCaller((self.host, CALLER))
        payload = (
            f'GET {target} HTTP/1.1\r\nHost: shop.example\r\n{field}'
            f'X-Attempt-Id: {attempt}\r\n'
            f'X-Deadline-Ms: {int(left_s * 1000)}\r\n\r\n'
        )
        try:
            answer = await caller.async_call(payload.encode(), left_s)
        except (ConnectionError, TimeoutError):
            # The daemon was struck; the run fails.
            return False
        finally:
            caller.close()
        return answer.status == 200

    # Parts.

    def _relay(self, port: int, target: str) -> relay.Relay:
        return relay.Relay(listen=f'{self.host}:{port}', target=target)

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._folder / f'{self.name}.toml'

    @property
    def _log_path(self) -> pathlib.Path:
        return self._folder / f'{self.name}.log'

    def _spawn(self, routine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(routine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
