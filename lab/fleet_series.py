"""Plays planned work and disruptions on a site of real daemons under load.

The site has 15 VMs in four services, whose upstreams call each other. Arrivals
use new and kept connections. Series of planned work and disruptions overlap,
drawn from a seed: odd seeds leave the daemons without unplanned disruptions.
All is judged from outside: by exit codes, answers and runs.

Example: script/python -m lab.fleet_series --seeds 1-20 --busy 12
"""

import asyncio
import collections
import dataclasses
import enum
import json
import math
import os
import pathlib
import random
import signal
import subprocess
import sys
import sysconfig
import tempfile
import time
from typing import Annotated, Any, Final, NamedTuple

import typer
import uvloop

from lab import platform_upstream
from lab import process_site
from lab.soak import http_caller
from lab.soak import ledger as ledger_module
from lab.soak import machine as machine_module

VM_COUNTS: Final = {'catalogue': 5, 'status': 4, 'donations': 3, 'orders': 3}
STORE: Final = 'store'
BODY: Final = b'x' * 2000
RATE_PER_S: Final = 120.0
LENGTH_S: Final = 24.0
# Time before the first and after the last action begins.
SETTLE_S: Final = 1.0
QUIET_S: Final = 4.0
ACTION_INTERVAL_S: Final = 1.2
KEPT_FRACTION: Final = 0.3
# Clients reuse a connection only within a part of the shortest idle time.
IDLE_TIMES_S: Final = (5.0, 15.0)
MAX_REUSE_S: Final = 4.0
LEAVE_FRACTION: Final = 0.04
MAX_LEAVE_S: Final = 0.15
CONNECT_TIMEOUT_S: Final = 1.0
# Time after its deadline at which a request without an answer is given up.
PATIENCE_S: Final = 1.0
REPEAT_PAUSE_S: Final = 0.05
# Time after its last byte from which a request counts as read.
LOSS_SLACK_S: Final = 0.2
READY_LIMIT_S: Final = 10.0
MAX_MISSES: Final = 2
MEMORY_LIMIT_MB: Final = 300.0
# Age of a process from which it handles signals.
SIGNALS_FROM_S: Final = 0.05
# Time after SIGTERM from which requests may be cut.
CUT_FROM_S: Final = machine_module.GRACE_S * 5.0 / 6.0
# Time before and after a finding whose events are part of its trace.
TRACE_S: Final = 8.0
POLL_S: Final = 0.02


class Kind(NamedTuple):
    """Kind of requests; its name is the name of its route."""

    name: str
    service: str
    is_safe: bool
    run_s: float
    deadline_s: float
    weight: float
    # Inner calls of a fraction of the runs, all at once.
    inner: str = ''
    inner_count: int = 0
    inner_fraction: float = 0.0


KINDS: Final = {
    kind.name: kind
    for kind in (
        Kind('lookup', 'catalogue', True, 0.09, 3.0, 50.0, 'state', 10, 0.1),
        Kind('state', 'status', True, 0.022, 1.0, 5.0),
        Kind('donation', 'donations', False, 0.12, 4.0, 20, 'lookup', 1, 0.3),
        Kind('order', 'orders', False, 0.063, 0.8, 20.0),
        Kind('refill', 'orders', False, 0.3, 3.0, 5.0),
    )
}


class Action(enum.Enum):
    """Series of planned work and disruptions."""

    ROLL = 'roll'
    RELOAD = 'reload'
    CONFIGURE = 'configure'
    REPLACE = 'replace'
    SLOW = 'slow'
    STORE = 'store'
    SPOIL = 'spoil'
    KILL = 'kill'
    PAUSE = 'pause'


# Planned work is more frequent.
_PLANNED: Final = (
    *(Action.ROLL, Action.ROLL, Action.ROLL, Action.RELOAD, Action.RELOAD),
    *(Action.CONFIGURE, Action.REPLACE, Action.SLOW, Action.STORE),
)
_ALL: Final = (*_PLANNED, Action.SPOIL, Action.KILL, Action.PAUSE)


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt(ledger_module.Attempt):
    """One request that was sent whole on an established connection."""

    deadline_s: float
    is_kept: bool
    is_sealed: bool = False
    # Whether its client was the first to give up.
    has_left: bool = False


class Ledger(ledger_module.Ledger):
    """Ledger of the kinds of requests above."""

    def _find_allowed_services(self, route: str) -> set[str]:
        return {KINDS[route].service}


class Vm(machine_module.Machine):
    """VM whose daemon reaches peers and the upstream without relays."""

    def __init__(self, series: 'FleetSeries', **options: Any) -> None:
        """Initialize the VM without starting anything."""
        super().__init__(**options)
        self.upstream_delay_s = 0.0
        self.upstream_slots = 60
        self.launched_at = 0.0
        # Whether the process has been told to end.
        self.is_told = False
        # Held from a signal that ends the process to the next start.
        self.lock = asyncio.Lock()
        self.misses = 0
        # Kept connections, and since when they are idle.
        self.idle: list[tuple[process_site.RawClient, float]] = []
        self._series = series

    def write_settings(self) -> None:
        """Write the settings file of the daemon."""
        super().write_settings()
        text = self.settings_path.read_text()
        for relay, port in (
            (machine_module.PEER_RELAY, machine_module.PEER),
            (machine_module.UPSTREAM_RELAY, machine_module.UPSTREAM),
        ):
            text = text.replace(f':{relay}"', f':{port}"')
        self.settings_path.write_text(text)

    async def async_start_upstream(self, name: str = '') -> None:
        """Start the next upstream; without a name it gets a new id."""
        # The event loop frees the address of the former one.
        await asyncio.sleep(POLL_S)
        await super().async_start_upstream(name)
        assert self.upstream is not None
        self.upstream.address = f'{self.host}:{machine_module.UPSTREAM}'

    async def _async_on_run(self, fields: dict[str, str], target: str) -> bool:
        await super()._async_on_run(fields, target)
        kind = KINDS[target.split('/')[1]]
        return await self._series.async_run_request(self, fields, kind)


class FleetSeries:
    """One play on one site.

    Attributes:
        findings: Broken promises, with what happened around them.
        answers: Number of requests by status, 0 without an answer.
        stop_times_s: Times from SIGTERM to the end of the process.
        actions: Actions and their times.
        peak_mb: Highest memory of a daemon.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        *,
        code: pathlib.Path | None = None,
        length_s: float = LENGTH_S,
    ) -> None:
        """Initialize without starting anything.

        Args:
            seed: Seed of the actions and arrivals.
            folder: Folder of the settings and log files.
            code: Source tree of the daemons; that of this file if None.
            length_s: Length of the traffic in seconds.
        """
        self.findings: list[str] = []
        self.answers: collections.Counter[int] = collections.Counter()
        self.stop_times_s: list[float] = []
        self.actions: list[str] = []
        self.peak_mb = 0.0
        self._seed = seed
        self._random = random.Random(seed)
        self._length_s = length_s
        self._ledger = Ledger()
        self._services = {
            f'{service}-{number}': service
            for service, count in VM_COUNTS.items()
            for number in range(count)
        }
        self._command = _build_launcher(folder, code)
        self._site = process_site.Site(
            folder,
            list(self._services),
            rules=_build_rules(1, self._random),
            code=code,
            create_machine=self._create_vm,
        )
        self._version = 1
        self._vms: list[Vm] = []
        self._run_ends: dict[str, float] = {}
        self._events: list[tuple[float, str, str]] = []
        # Processes that were killed or paused.
        self._disturbed: set[int] = set()
        self._group = asyncio.TaskGroup()

    def _create_vm(self, **options: Any) -> Vm:
        service = self._services[options['name']]
        domain = f'z{len(self._vms) % 3}'
        options |= {'service': service, 'domain': domain}
        vm = Vm(self, **options | {'ledger': self._ledger})
        vm.command = self._command or vm.command
        self._vms.append(vm)
        return vm

    async def async_run(self) -> None:
        """Play the series and judge what was seen."""
        try:
            await self._site.async_open()
            await asyncio.gather(*map(self._async_start, self._vms))
            await asyncio.gather(
                *(
                    self._async_wait_served(vm, kind)
                    for vm in self._vms
                    for kind in KINDS.values()
                )
            )
            watchers = [
                asyncio.create_task(routine(vm))
                for vm in self._vms
                for routine in (self._async_watch, self._async_check_ready)
            ]
            try:
                async with self._group:
                    self._spawn_actions()
                    await self._async_send_arrivals()
            finally:
                for watcher in watchers:
                    watcher.cancel()
            await asyncio.gather(*map(self._async_end, self._vms))
        finally:
            await self._site.async_stop()
        self._judge()

    async def _async_wait_served(self, vm: Vm, kind: Kind) -> None:
        async with asyncio.timeout(process_site.START_TIMEOUT_S):
            while await self._async_call(vm, kind, kind.deadline_s) != 200:
                await asyncio.sleep(POLL_S)

    # Daemons.

    def _launch(self, vm: Vm) -> subprocess.Popen[bytes]:
        vm.write_settings()
        process = vm.process = self._site.launch(vm.name)
        vm.launched_at = time.monotonic()
        vm.is_told = False
        self._note(vm.name, 'start')
        return process

    async def _async_start(self, vm: Vm) -> None:
        await self._async_expect_ready(vm, self._launch(vm))

    async def _async_expect_ready(
        self, vm: Vm, process: subprocess.Popen[bytes]
    ) -> None:
        """Wait until a process is ready or is told to end."""
        store = self._site.store
        started_at = time.monotonic()
        while not vm.is_told and vm.process is process:
            if await self._site.async_check_ready(vm.name) == 200:
                self._note(vm.name, 'ready')
                return
            await asyncio.sleep(2.0 * POLL_S)
            now = time.monotonic()
            is_disturbed = process.pid in self._disturbed
            if store.is_down or store.delay_s or is_disturbed:
                started_at = now
            if now > started_at + READY_LIMIT_S:
                self._find('FAULT, not ready', vm.name, now)
                return

    async def _async_watch(self, vm: Vm) -> None:
        """Report and replace a process that ends without being told to."""
        while True:
            await asyncio.sleep(POLL_S)
            process = vm.process
            if vm.is_told or process is None or process.poll() is None:
                continue
            now = time.monotonic()
            code = process.returncode
            if process.pid not in self._disturbed or code != -signal.SIGKILL:
                self._find(f'FAULT, exit {code}', vm.name, now)
            await self._async_start(vm)
            self._ledger.add_disturbance(vm.name, now, time.monotonic())

    async def _async_check_ready(self, vm: Vm) -> None:
        """Check readiness as the platform does, and record the memory."""
        while True:
            await asyncio.sleep(1.0)
            status = await self._site.async_check_ready(vm.name)
            vm.misses = 0 if status == 200 else vm.misses + 1
            if vm.process is not None and vm.process.poll() is None:
                vm.record_memory(vm.process.pid)

    def _signal(self, vm: Vm, number: signal.Signals) -> None:
        vm.send_signal(number)
        self._note(vm.name, number.name)

    async def _async_end(
        self, vm: Vm, number: signal.Signals = signal.SIGTERM
    ) -> None:
        """Tell a process to end; kill it at the end of the grace time."""
        process = vm.process
        assert process is not None
        vm.is_told = True
        self._signal(vm, number)
        sent_at = time.monotonic()
        while process.poll() is None:
            await asyncio.sleep(POLL_S / 2.0)
            if time.monotonic() > sent_at + machine_module.GRACE_S:
                process.kill()
        self._note(vm.name, f'exit {process.returncode}')
        if number is signal.SIGTERM and process.pid not in self._disturbed:
            self.stop_times_s.append(time.monotonic() - sent_at)
            if process.returncode:
                what = f'STOP, exit {process.returncode}'
                self._find(what, vm.name, sent_at)

    async def _async_restart(
        self,
        vm: Vm,
        number: signal.Signals = signal.SIGTERM,
        *,
        overlaps: bool = False,
    ) -> None:
        """End a process and start the next, also before its end."""
        async with vm.lock:
            ending = asyncio.create_task(self._async_end(vm, number))
            await asyncio.sleep(0)
            if not overlaps:
                await ending
            process = self._launch(vm)
            await asyncio.sleep(SIGNALS_FROM_S)
            await ending
        await self._async_expect_ready(vm, process)

    # Actions.

    def _spawn_actions(self) -> None:
        actions = _PLANNED if self._seed % 2 else _ALL
        drawn = random.Random(self._seed)
        last_s = self._length_s - QUIET_S
        for number in range(int((last_s - SETTLE_S) / ACTION_INTERVAL_S)):
            action = drawn.choice(actions)
            at_s = drawn.uniform(SETTLE_S, last_s)
            self.actions.append(f'{at_s:.1f} {action.value}')
            source = random.Random(f'{self._seed}-{number}')
            self._group.create_task(self._async_act(action, at_s, source))

    async def _async_act(
        self, action: Action, at_s: float, source: random.Random
    ) -> None:
        await asyncio.sleep(at_s)
        vm = source.choice(self._vms)
        if action is Action.CONFIGURE:
            self._version += 1
            self._note(STORE, f'r{self._version}')
            rules = _build_rules(self._version, source)
            self._site.store.put('keyed.op', 'config', rules)
        elif action is Action.ROLL:
            await self._async_roll(source)
        elif action is Action.RELOAD:
            await self._async_reload(source)
        elif action is Action.REPLACE:
            await self._async_replace(vm, source.random() < 0.7)
        elif action is Action.KILL:
            some = source.sample(self._vms, source.choice((2, 2, 15)))
            await asyncio.gather(*map(self._async_kill, some))
        elif action is Action.PAUSE:
            await self._async_pause(vm, source.uniform(1.0, 4.0))
        else:
            await self._async_disturb(action, vm, source)

    async def _async_disturb(
        self, action: Action, vm: Vm, source: random.Random
    ) -> None:
        """Change an attribute of a test double for some time."""
        item: Any = vm.upstream
        subject, name, value = f'upstream {vm.name}', 'delay_s', 1.0
        if action is Action.STORE:
            item, subject = self._site.store, STORE
            if source.random() < 0.5:
                name, value = 'is_down', True
        elif action is Action.SPOIL and item is not None:
            name, value = 'fault_share', 0.5
            item.fault = source.choice(tuple(platform_upstream.Fault)[1:5])
        if item is None:
            return
        began_at = time.monotonic()
        self._note(subject, f'{action.value} {name}')
        setattr(item, name, value)
        await asyncio.sleep(source.uniform(1.0, 4.0))
        setattr(item, name, type(value)(0))
        self._note(subject, f'end of {action.value}')
        self._ledger.add_disturbance(subject, began_at, time.monotonic())

    async def _async_replace(self, vm: Vm, is_draining_reported: bool) -> None:
        if not vm.is_reporting:
            # It is being replaced already.
            return
        self._note(vm.name, 'replace upstream')
        await vm.async_replace_upstream(
            is_draining_reported=is_draining_reported
        )

    async def _async_pause(self, vm: Vm, pause_s: float) -> None:
        began_at = time.monotonic()
        process = vm.process
        assert process is not None
        self._disturbed.add(process.pid)
        self._signal(vm, signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        process.send_signal(signal.SIGCONT)
        self._note(vm.name, 'SIGCONT')
        self._ledger.add_disturbance(vm.name, began_at, time.monotonic())

    async def _async_kill(self, vm: Vm) -> None:
        began_at = time.monotonic()
        assert vm.process is not None
        self._disturbed.add(vm.process.pid)
        if vm.lock.locked():
            # Another action starts the next process.
            self._signal(vm, signal.SIGKILL)
        else:
            await self._async_restart(vm, signal.SIGKILL)
        self._ledger.add_disturbance(vm.name, began_at, time.monotonic())

    async def _async_roll(self, source: random.Random) -> None:
        """Restart daemons in turn, whether or not the former is ready."""
        interval_s = source.choice((0.0, 0.2, 1.0))
        async with asyncio.TaskGroup() as group:
            for vm in source.sample(self._vms, source.choice((3, 8, 15))):
                overlaps = source.random() < 0.2
                group.create_task(self._async_restart(vm, overlaps=overlaps))
                if source.random() < 0.3:
                    delay_s = source.uniform(0.0, 3.5)
                    group.create_task(self._async_signal_again(vm, delay_s))
                await asyncio.sleep(interval_s * source.uniform(0.5, 1.5))

    async def _async_signal_again(self, vm: Vm, delay_s: float) -> None:
        """Send further signals to a process that stops."""
        await asyncio.sleep(delay_s)
        if vm.is_told:
            self._signal(vm, signal.SIGHUP)
            vm.send_signal(signal.SIGTERM)

    async def _async_reload(self, source: random.Random) -> None:
        some = source.sample(self._vms, 5)
        for _ in range(source.randrange(1, 12)):
            for vm in some:
                text = vm.settings_path.read_text()
                vm.settings_path.write_text(text)
                if time.monotonic() > vm.launched_at + SIGNALS_FROM_S:
                    self._signal(vm, signal.SIGHUP)
            await asyncio.sleep(source.uniform(0.0, 0.3))

    # Upstreams and clients.

    async def async_run_request(
        self, vm: Vm, fields: dict[str, str], kind: Kind
    ) -> bool:
        """Run a request; return whether its inner calls succeeded."""
        attempt_id = fields['x-attempt-id']
        self._run_ends[attempt_id] = math.inf
        statuses: list[int] = []
        if self._random.random() < kind.inner_fraction:
            left_s = int(fields['x-deadline-ms']) / 1000.0
            inner = KINDS[kind.inner]
            calls = [
                self._async_call(vm, inner, left_s, source=vm.host)
                for _ in range(kind.inner_count)
            ]
            statuses = await asyncio.gather(*calls)
        await asyncio.sleep(kind.run_s)
        self._run_ends[attempt_id] = time.monotonic()
        return all(status == 200 for status in statuses)

    async def _async_send_arrivals(self) -> None:
        kinds = list(KINDS.values())
        weights = [kind.weight for kind in kinds]
        at = time.monotonic()
        until = at + self._length_s
        while at < until:
            at += self._random.expovariate(RATE_PER_S)
            await asyncio.sleep(at - time.monotonic())
            ready = [vm for vm in self._vms if vm.misses < MAX_MISSES]
            if 2 * len(ready) < len(self._vms):
                ready = self._vms
            kind = self._random.choices(kinds, weights)[0]
            vm = self._random.choice(ready)
            self._group.create_task(self._async_ask(vm, kind))

    async def _async_ask(self, vm: Vm, kind: Kind) -> None:
        """Send a request, and once more if that may be done."""
        until = time.monotonic() + kind.deadline_s
        if self._random.random() < LEAVE_FRACTION:
            leave_s = self._random.uniform(0.0, MAX_LEAVE_S)
            await self._async_call(vm, kind, kind.deadline_s, leave_s)
            return
        status = await self._async_call(vm, kind, kind.deadline_s)
        left_s = until - time.monotonic() - REPEAT_PAUSE_S
        if status == 200 or left_s < REPEAT_PAUSE_S:
            return
        if kind.is_safe or status in ledger_module.NOT_RUN:
            await asyncio.sleep(REPEAT_PAUSE_S)
            await self._async_call(vm, kind, left_s)

    async def _async_call(
        self,
        vm: Vm,
        kind: Kind,
        deadline_s: float,
        leave_s: float = math.inf,
        source: str = '',
    ) -> int:
        """Send one request; return its status, 0 without an answer."""
        kept = client = None if source else self._take_idle(vm)
        if client is None:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    client = await self._site.async_connect(
                        name=vm.name, source=source
                    )
            except OSError:
                return 0
        attempt = Attempt(
            attempt_id=process_site.create_attempt_id(),
            machine=vm.name,
            route=kind.name,
            is_safe=kind.is_safe,
            key='',
            workspace='blue' if kind.name == 'order' else '',
            caller_service=vm.service,
            sent_at=time.monotonic(),
            deadline_s=deadline_s,
            is_kept=kept is not None,
        )
        self._ledger.attempts[attempt.attempt_id] = attempt
        client.send(_build_request(attempt))
        response = None
        try:
            response = await client.async_receive(
                timeout_s=min(leave_s, deadline_s + PATIENCE_S)
            )
            attempt.ended_at = time.monotonic()
        except TimeoutError:
            attempt.has_left = leave_s < math.inf
        if response is not None:
            _record_response(attempt, response)
        is_open = response and response.fields.get('connection') != 'close'
        if is_open and not source:
            vm.idle.append((client, attempt.ended_at))
        else:
            client.close()
        self.answers[attempt.status or 0] += 1
        return attempt.status or 0

    def _take_idle(self, vm: Vm) -> process_site.RawClient | None:
        """Return a kept connection for a part of the requests."""
        if self._random.random() > KEPT_FRACTION:
            return None
        while vm.idle:
            client, since = vm.idle.pop()
            if time.monotonic() < since + MAX_REUSE_S and not (
                client.reader.at_eof() or client.reader.exception()
            ):
                return client
            client.close()
        return None

    # Checks.

    def _note(self, subject: str, event: str) -> None:
        self._events.append((time.monotonic(), subject, event))

    def _find(self, what: str, vm: str, at: float, *others: str) -> None:
        """Record a finding with the events around it."""
        events = ', '.join(
            f'{when - at:+.3f} {subject} {event}'
            for when, subject, event in self._events
            if any(name in subject for name in (vm, STORE, *others))
            and abs(when - at) < TRACE_S
        )
        self.findings.append(f'{what} on {vm}: {events}')

    def _judge(self) -> None:
        self.findings += self._ledger.check()
        for attempt in self._ledger.attempts.values():
            assert isinstance(attempt, Attempt)
            what = self._judge_attempt(attempt)
            if what:
                runs = self._ledger.runs[attempt.attempt_id]
                others = [run.instance_id.split('.')[0] for run in runs]
                what += f', {attempt}, {runs}'
                self._find(what, attempt.machine, attempt.sent_at, *others)
        self.peak_mb = max(vm.peak_mb for vm in self._vms)
        if self.peak_mb > MEMORY_LIMIT_MB:
            self.findings.append(f'{self.peak_mb} MB')

    def _judge_attempt(self, attempt: Attempt) -> str:
        """Return which promise of an answer was broken; empty if none."""
        end = min(attempt.ended_at, attempt.sent_at + attempt.deadline_s)
        if attempt.has_left or not self._ledger.is_undisturbed(
            attempt.machine, attempt.sent_at, end
        ):
            return ''
        if attempt.status is not None:
            return 'BROKEN OFF' if self._is_broken_off(attempt) else ''
        if attempt.ended_at == math.inf:
            return 'SILENT'
        has_run = attempt.attempt_id in self._run_ends
        if has_run or end > attempt.sent_at + LOSS_SLACK_S:
            return 'LOST'
        # On a kept connection it may cross the close without being read.
        return '' if attempt.is_kept else 'UNREAD'

    def _is_broken_off(self, attempt: Attempt) -> bool:
        """Return whether a stop put an answer in place of the upstream's."""
        end = attempt.ended_at
        runs = self._ledger.runs[attempt.attempt_id]
        vms = [run.instance_id.split('.')[0] for run in runs]
        return (
            attempt.status in (500, 502, 504)
            and not attempt.is_sealed
            and self._run_ends.get(attempt.attempt_id, 0.0) > end
            and end < attempt.sent_at + attempt.deadline_s - LOSS_SLACK_S
            and any(
                subject == attempt.machine
                and event == signal.SIGTERM.name
                and end - CUT_FROM_S < at < end
                for at, subject, event in self._events
            )
            and all(
                self._ledger.is_undisturbed(subject, attempt.sent_at, end)
                for vm in vms
                for subject in (vm, f'upstream {vm}')
            )
        )


def _build_request(attempt: Attempt) -> bytes:
    """Return the request of an attempt, with its key and body."""
    body = b'' if attempt.is_safe else BODY
    head = process_site.build_request(
        attempt.route,
        method='GET' if attempt.is_safe else 'POST',
        attempt_id=attempt.attempt_id,
        deadline=str(int(attempt.deadline_s * 1000)),
        length=len(body),
    )
    if attempt.workspace:
        key = b'\r\nAuthorization: Token k1\r\n\r\n'
        head = head.removesuffix(b'\r\n\r\n') + key
    return head + body


def _record_response(attempt: Attempt, response: http_caller.Response) -> None:
    """Record a response and what is wrong with it."""
    seal = response.fields.get('x-response-seal', '')
    attempt.status = response.status
    attempt.is_sealed = bool(seal)
    body = b'' if attempt.is_safe else BODY
    is_good = response.status == 200
    if seal not in ('', f's.{attempt.attempt_id}') or is_good > bool(seal):
        attempt.problem = f'seal {seal}'
    elif is_good and response.body.partition(b' ')[2] != body:
        attempt.problem = f'body of {len(response.body)} bytes'


def _build_rules(version: int, source: random.Random) -> bytes:
    idle_timeout_s = source.choice(IDLE_TIMES_S)
    rules = json.loads(
        process_site.build_rules(list(KINDS), idle_timeout_s=idle_timeout_s)
    )
    rules['version'] = f'r{version}'
    for kind in KINDS.values():
        rules['routes'][kind.name] |= {
            'service': kind.service,
            'kind': 'safe' if kind.is_safe else 'unsafe',
            'max-attempts': source.choice((2, 3)),
            'timeout-s': kind.deadline_s + source.choice((0.0, 1.0)),
            'anonymous': kind.name != 'order',
        }
    rules['services'] = {service: {} for service in VM_COUNTS}
    return json.dumps(rules).encode()


def _build_launcher(
    folder: pathlib.Path, code: pathlib.Path | None
) -> list[str]:
    """Build the program that starts daemons; empty if the code has none."""
    root = code or pathlib.Path(__file__).resolve().parents[1]
    if not (root / 'deploy' / 'build_launcher').exists():
        return []
    path = str(folder / 'daemon')
    python_path = f'{root}:{sysconfig.get_path("platlib")}'
    subprocess.run(
        ['sh', 'deploy/build_launcher', path],
        cwd=root,
        env=dict(os.environ, PYTHON=sys.executable, PYTHONPATH=python_path),
        check=True,
    )
    return [path]


def play(
    seed: int, folder: pathlib.Path | None = None, **options: Any
) -> FleetSeries:
    """Play one series; the logs stay in the folder, if there is one."""
    with tempfile.TemporaryDirectory(prefix=f'fleet-{seed}-') as temporary:
        folder = folder or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        series = FleetSeries(seed, folder, **options)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(series.async_run())
        return series


def main(
    seeds: Annotated[str, typer.Option(help='A seed, or the first-last.')],
    busy: Annotated[int, typer.Option(help='Busy processes beside.')] = 0,
    code: Annotated[
        pathlib.Path | None, typer.Option(help='Source tree of the daemons.')
    ] = None,
    logs: Annotated[
        pathlib.Path | None, typer.Option(help='Folder that keeps the logs.')
    ] = None,
) -> None:
    """Play series; the exit code is 1 if there is a finding."""
    first, _, last = seeds.partition('-')
    others = [
        subprocess.Popen([sys.executable, '-c', 'while True: pass'])
        for _ in range(busy)
    ]
    count = 0
    try:
        for seed in range(int(first), int(last or first) + 1):
            folder = None if logs is None else logs / f'seed-{seed}'
            series = play(seed, folder, code=code)
            count += len(series.findings)
            print(
                f'seed {seed}: {len(series.findings)} findings, '
                f'{len(series.stop_times_s)} stops of '
                f'{max(series.stop_times_s):.2f} s at most, '
                f'{series.peak_mb:.0f} MB, {dict(series.answers)}, '
                f'{series.actions}',
                *series.findings,
                sep='\n  ',
                flush=True,
            )
    finally:
        for process in others:
            process.kill()
            process.wait()
    raise typer.Exit(1 if count else 0)


if __name__ == '__main__':
    typer.run(main)
