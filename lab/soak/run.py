"""Runs a soak: starts the fleet and callers, injects faults and checks."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import json
import pathlib
import random
import signal
import time
from typing import Any, Final

from lab import platform_store
from lab import platform_upstream
from lab import ports
from lab import relay
from lab.soak import callers as callers_module
from lab.soak import faults
from lab.soak import http_caller
from lab.soak import ledger as ledger_module
from lab.soak import machine as machine_module

START_TIMEOUT_S: Final = 20.0
WORKERS_PER_VM: Final = 2
BURST_WORKERS: Final = 20
# Peak memory of a daemon in the worst case. The platform kills a daemon at
# 300 MB.
MAX_MEMORY_MB: Final = 200.0
# Fraction of the requests in the last FINAL_S seconds, after all faults, that
# must be served.
MIN_FINAL_SERVED_FRACTION: Final = 0.9
FINAL_S: Final = 3.0
# Longest wait for the last responses; it exceeds the timeout of all routes.
FINISH_TIMEOUT_S: Final = 2.0
RATE_PER_S: Final = 20.0
# Pause of the sender of requests that crash upstreams, in seconds.
POISON_PAUSE_S: Final = 0.15
# Time for which upstreams are cold, in seconds.
COLD_S: Final = 2.0
_LINK_MODES: Final = (
    relay.RelayMode.SILENT,
    relay.RelayMode.SILENT_OPEN,
    relay.RelayMode.SILENT_TO_TARGET,
    relay.RelayMode.SILENT_TO_CLIENT,
    relay.RelayMode.SLOW,
    relay.RelayMode.CUT,
)
# Faults that affect only upstreams and load, not the daemons.
_UPSTREAM_FAULTS: Final = frozenset(
    {
        faults.FaultKind.POISON,
        faults.FaultKind.UPSTREAM_CRASH,
        faults.FaultKind.UPSTREAM_REPLACED,
        faults.FaultKind.UPSTREAM_SLOW,
        faults.FaultKind.UPSTREAM_SPOILS,
        faults.FaultKind.UPSTREAM_SILENT,
        faults.FaultKind.BURST,
        faults.FaultKind.UPSTREAM_COLD,
        faults.FaultKind.UPSTREAM_FLOODS,
        faults.FaultKind.UPSTREAM_REFUSES,
        faults.FaultKind.UPSTREAM_REPEATS,
    }
)
# Only these, in this order: the faults of the regression seeds depend on it.
_RESPONSE_FAULTS: Final = tuple(platform_upstream.Fault)[1:6]
# Their ends are no complete response, whenever they come.
_FLOODS: Final = (
    platform_upstream.Fault.ENDLESS_BYTE_CHUNKS,
    platform_upstream.Fault.ENDLESS_EVENTS,
    platform_upstream.Fault.ENDLESS_FIELDS,
    platform_upstream.Fault.ENDLESS_LENGTH,
    platform_upstream.Fault.ENDLESS_CHUNKS,
    platform_upstream.Fault.ENDLESS_SIZE,
)
_COPIES: Final = tuple(platform_upstream.Copy)
_REFUSAL_STATUSES: Final = (503, 429, 408, 421, 400)
_REFUSAL_SHARE: Final = 0.5
# Attempts of the calls that upstreams refuse; the service has fewer upstreams,
# so that calls are sent to the same one again.
_REFUSED_ATTEMPTS: Final = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Result of a soak: problems, request counts and injected faults."""

    seed: int
    problems: list[str]
    requests: int
    served: int
    faults: list[faults.Fault]


class Soak:
    """One soak run for one seed."""

    def __init__(
        self,
        *,
        seed: int,
        length_s: float,
        machines: int,
        folder: pathlib.Path,
        deployed: bool = False,
        has_later_kinds: bool = True,
    ) -> None:
        """Draw the faults of the seed.

        Args:
            seed: Seed of the random numbers.
            length_s: Length of the traffic in seconds.
            machines: Number of VMs.
            folder: Folder of the settings and log files.
            deployed: Whether to run the daemon that deploy/build installed.
            has_later_kinds: Whether to evacuate failure domains, to let
                upstreams be cold, flood and send copies, and to hold bodies.
        """
        self.seed = seed
        self.hosts = ports.reserve_hosts(machines)
        self.ledger = ledger_module.Ledger()
        self.faults = faults.draw_faults(
            seed,
            length_s=length_s,
            machines=machines,
            has_later_kinds=has_later_kinds,
        )
        self._has_later_kinds = has_later_kinds
        self._length_s = length_s
        self._machine_count = machines
        self._folder = folder
        self._deployed = deployed
        self._workers = WORKERS_PER_VM
        self._random = random.Random(seed)
        self._store = platform_store.PlatformStore()
        self._machines: list[machine_module.Machine] = []
        self._keys = callers_module.Keys(
            in_use={'blue': 'blue-1', 'green': 'green-1', 'red': 'red-1'}
        )
        self._callers = callers_module.Callers(
            ledger=self.ledger, keys=self._keys, random_source=self._random
        )
        self._version = 0
        self._evacuated: set[str] = set()
        self._moved_to = 'front'
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_run(self) -> Result:
        """Run the soak and return its result."""
        try:
            await self._async_start()
            await self._async_inject_faults()
            await self._async_finish_calls()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await asyncio.gather(
                *(machine.async_stop() for machine in self._machines)
            )
            self._store.stop()
            # Lets the event loop finish closing the connections.
            await asyncio.sleep(0.1)
        return self._build_result()

    async def _async_finish_calls(self) -> None:
        """Send no more requests, and wait for the responses to the last."""
        self._callers.is_stopping = True
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=FINISH_TIMEOUT_S)

    # Fleet.

    async def _async_start(self) -> None:
        address = await self._store.async_start()
        self.ledger.rates['red'] = RATE_PER_S, RATE_PER_S
        self._publish()
        self._machines = [
            machine_module.Machine(
                name=f'm{index}',
                host=self.hosts[index],
                service=('front', 'deep')[index % 2],
                domain=f'z{index % 3}',
                store=address,
                folder=self._folder,
                ledger=self.ledger,
                deployed=self._deployed,
                has_cold_bounds=self._has_later_kinds,
            )
            for index in range(self._machine_count)
        ]
        for machine in self._machines:
            await machine.async_start()
        await self._async_wait_until_serving()
        for machine in self._machines:
            for _ in range(self._workers):
                self._spawn(self._callers.async_run_worker(machine))

    async def _async_wait_until_serving(self) -> None:
        """Wait until each daemon serves each route."""
        until = time.monotonic() + START_TIMEOUT_S
        for machine in self._machines:
            while not await self._async_serves_all_routes(machine):
                if time.monotonic() > until:
                    raise TimeoutError(f'{machine.name} does not serve yet')
                await asyncio.sleep(0.2)

    async def _async_serves_all_routes(
        self, machine: machine_module.Machine
    ) -> bool:
        caller = http_caller.HttpCaller((machine.host, machine_module.CALLER))
        attempts = [
            await self._callers.async_send(machine, caller) for _ in range(6)
        ]
        caller.close()
        return all(attempt.status == 200 for attempt in attempts)

    def _spawn(self, routine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(routine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Operator.

    def _publish(self) -> None:
        self._version += 1
        self._store.put(
            'keyed.op', 'config', json.dumps(self._build_rules()).encode()
        )
        self.ledger.moves.append((time.monotonic(), self._moved_to))

    def _build_rules(self) -> dict[str, Any]:
        def route(name: str, service: str, **changes: Any) -> dict[str, Any]:
            return {
                'host': 'shop.example',
                'path-prefix': f'/{name}/',
                'kind': 'safe',
                'timeout-s': 1.5,
                'latency-target-s': 0.5,
                'priority': 1,
                'service': service,
                'max-attempts': 2,
            } | changes

        service: dict[str, float] = {}
        attempts: dict[str, int] = {}
        if self._has_later_kinds:
            attempts = {'max-attempts': _REFUSED_ATTEMPTS}
            service = {
                'cold-s': COLD_S,
                'cold-per-s': ledger_module.COLD_RATE_PER_S,
            }
        tenants: dict[str, Any] = {
            workspace: {'api-keys': [key]}
            for workspace, key in self._keys.in_use.items()
        }
        tenants['red'] |= {'rate-per-s': RATE_PER_S, 'burst': RATE_PER_S}
        return {
            'version': f'r{self._version}',
            'routes': {
                'read': route('read', 'front'),
                'book': route(
                    'book', 'deep', kind='unsafe', priority=0, **attempts
                ),
                'moved': route('moved', self._moved_to, **attempts),
                'peek': route('peek', 'deep', anonymous=True),
            },
            'services': {'front': service, 'deep': service},
            'limits': {
                'max-header-bytes': 8000,
                'max-body-bytes': 100000,
                'header-timeout-s': 3,
                'idle-timeout-s': 15,
            },
            'tenants': tenants,
        }

    # Faults.

    async def _async_inject_faults(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for fault in self.faults:
            await asyncio.sleep(started_at + fault.at_s - loop.time())
            self._spawn(self._async_apply(fault))
        await asyncio.sleep(started_at + self._length_s - loop.time())

    async def _async_apply(self, fault: faults.Fault) -> None:
        start = time.monotonic()
        machine = self._machines[fault.machine]
        await self._async_inject(fault, machine)
        disturbed = self._find_disturbed(fault, machine)
        for subject in disturbed:
            self.ledger.add_disturbance(subject, start, time.monotonic())
            if fault.kind not in _UPSTREAM_FAULTS:
                self.ledger.faulted[subject].append(
                    ledger_module.Span(start=start, end=time.monotonic())
                )

    def _find_disturbed(
        self, fault: faults.Fault, machine: machine_module.Machine
    ) -> list[str]:
        """Return the machines, or the store, that a fault disturbs."""
        kind = fault.kind
        if kind in (
            faults.FaultKind.MOVE,
            faults.FaultKind.WITHDRAW,
            faults.FaultKind.EVACUATE,
            faults.FaultKind.CROWD,
        ):
            return []
        if kind.value.startswith('store') and (
            kind is not faults.FaultKind.STORE_LINK
        ):
            return ['store']
        if kind in (faults.FaultKind.KILL_ALL, faults.FaultKind.POISON):
            return [item.name for item in self._machines]
        if kind is faults.FaultKind.UPSTREAM_REFUSES:
            return [
                item.name
                for item in self._machines
                if item.service == machine.service
            ]
        if kind is faults.FaultKind.RESTART:
            # A graceful stop responds to all accepted requests, and the next
            # process is checked separately.
            return []
        return [machine.name]

    async def _async_inject(
        self, fault: faults.Fault, machine: machine_module.Machine
    ) -> None:
        kind = fault.kind
        if kind is faults.FaultKind.KILL:
            await machine.async_kill(0.5 * fault.for_s)
        elif kind is faults.FaultKind.KILL_ALL:
            await asyncio.gather(
                *(item.async_kill(0.5) for item in self._machines)
            )
        elif kind is faults.FaultKind.RESTART:
            await machine.async_restart()
        elif kind is faults.FaultKind.PAUSE:
            await machine.async_pause(fault.for_s)
        elif kind is faults.FaultKind.RELOAD:
            machine.write_settings()
            machine.send_signal(signal.SIGHUP)
        elif kind is faults.FaultKind.MOVE:
            self._moved_to = 'deep' if self._moved_to == 'front' else 'front'
            self._publish()
        elif kind is faults.FaultKind.WITHDRAW:
            self._withdraw()
        elif kind is faults.FaultKind.EVACUATE:
            await self._async_evacuate(machine.domain, fault.for_s)
        elif kind is faults.FaultKind.CROWD:
            await self._callers.async_hold_bodies(machine, fault.for_s)
        elif kind is faults.FaultKind.BURST:
            await self._async_burst(machine, fault.for_s)
        elif kind is faults.FaultKind.POISON:
            await self._async_poison(fault)
        elif kind is faults.FaultKind.UPSTREAM_REFUSES:
            await self._async_refuse(fault, machine)
        elif kind.value.endswith('_link'):
            await self._async_link(fault, machine)
        elif kind.value.startswith('store'):
            await self._async_store(fault)
        else:
            await self._async_upstream(fault, machine)

    def _withdraw(self) -> None:
        workspace = self._random.choice(('blue', 'green', 'red'))
        former = self._keys.in_use[workspace]
        self._keys.in_use[workspace] = f'{workspace}-{self._version + 1}'
        self._publish()
        self.ledger.withdrawn_at[former] = time.monotonic()
        self._callers.withdrawn.append((workspace, former))

    async def _async_evacuate(self, domain: str, for_s: float) -> None:
        """Evacuate a failure domain, unless it is, and take that back."""
        if domain in self._evacuated:
            return
        self._evacuated.add(domain)
        self._store.put('keyed.op', f'evacuate/{domain}', b'{}')
        start = time.monotonic()
        await asyncio.sleep(ledger_module.EVACUATE_S + 0.5 * for_s)
        self.ledger.evacuated[domain].append(
            ledger_module.Span(start=start, end=time.monotonic())
        )
        self._store.put('keyed.op', f'evacuate/{domain}', b'')
        self._evacuated.discard(domain)

    async def _async_burst(
        self, machine: machine_module.Machine, for_s: float
    ) -> None:
        workers = [
            asyncio.create_task(self._callers.async_run_worker(machine))
            for _ in range(BURST_WORKERS)
        ]
        await asyncio.sleep(for_s)
        for worker in workers:
            worker.cancel()

    async def _async_poison(self, fault: faults.Fault) -> None:
        """Send a crashing request through each daemon in turn."""
        crash = callers_module.CrashRequest(
            target=f'/read/{machine_module.POISON}{fault.variant}'
        )
        for index in range(int(fault.for_s / POISON_PAUSE_S)):
            machine = self._machines[index % len(self._machines)]
            await self._callers.async_send_crash(machine, crash)
            await asyncio.sleep(POISON_PAUSE_S)

    async def _async_link(
        self, fault: faults.Fault, machine: machine_module.Machine
    ) -> None:
        link = machine.relays[fault.kind.value.removesuffix('_link')]
        mode = _LINK_MODES[fault.variant % len(_LINK_MODES)]
        await link.async_set_mode(mode)
        await asyncio.sleep(fault.for_s)
        await link.async_set_mode(relay.RelayMode.PASS)

    async def _async_store(self, fault: faults.Fault) -> None:
        kind, store = fault.kind, self._store
        if kind is faults.FaultKind.STORE_FORGETS:
            store.forget_history('keyed.op')
            store.forget_history('keyed.members')
            if fault.variant % 2:
                await self._async_rewind_store(fault)
            return
        if kind is faults.FaultKind.STORE_DOWN:
            store.is_down = True
        elif kind is faults.FaultKind.STORE_BUSY:
            store.is_busy = True
        elif kind is faults.FaultKind.STORE_SLOW:
            store.delay_s = 0.3
        else:
            store.lost_share = 0.5
        await asyncio.sleep(fault.for_s)
        if kind is faults.FaultKind.STORE_DOWN:
            store.is_down = False
        elif kind is faults.FaultKind.STORE_BUSY:
            store.is_busy = False
        elif kind is faults.FaultKind.STORE_SLOW:
            store.delay_s = 0.0
        else:
            store.lost_share = 0.0

    async def _async_rewind_store(self, fault: faults.Fault) -> None:
        """Let the store come back from a copy that is up to 10 s old."""
        self._store.is_down = True
        await asyncio.sleep(0.1 * fault.for_s)
        self._store.rewind(float(fault.variant % 11))
        self._store.is_down = False

    async def _async_upstream(
        self, fault: faults.Fault, machine: machine_module.Machine
    ) -> None:
        kind = fault.kind
        if kind is faults.FaultKind.UPSTREAM_CRASH:
            await machine.async_crash_upstream(0.5 * fault.for_s)
            return
        if kind is faults.FaultKind.UPSTREAM_REPLACED:
            await machine.async_replace_upstream(
                is_draining_reported=fault.variant % 3 > 0
            )
            return
        if kind is faults.FaultKind.UPSTREAM_COLD:
            await machine.async_cool_upstream(COLD_S)
            return
        if kind is faults.FaultKind.UPSTREAM_SILENT:
            machine.is_reporting = False
            await asyncio.sleep(fault.for_s)
            machine.is_reporting = True
            return
        upstream = machine.upstream
        if upstream is None:
            return
        delay_s = upstream.delay_s
        if kind is faults.FaultKind.UPSTREAM_SLOW:
            upstream.delay_s = 10.0 * delay_s
        elif kind is faults.FaultKind.UPSTREAM_FLOODS:
            _start_flood(upstream, fault.variant)
        elif kind is faults.FaultKind.UPSTREAM_REPEATS:
            upstream.answer_copy = _COPIES[
                1 + fault.variant % (len(_COPIES) - 1)
            ]
            upstream.answer_copy_share = 0.3
        else:
            upstream.fault = _RESPONSE_FAULTS[
                fault.variant % len(_RESPONSE_FAULTS)
            ]
            upstream.fault_share = 0.3
        await asyncio.sleep(fault.for_s)
        upstream.delay_s = delay_s
        upstream.fault_share = 0.0
        upstream.answer_copy_share = 0.0

    async def _async_refuse(
        self, fault: faults.Fault, machine: machine_module.Machine
    ) -> None:
        """Let the upstreams of a service refuse, and one of them flood."""
        source = random.Random(fault.variant)
        upstreams = [
            item.upstream
            for item in self._machines
            if item.service == machine.service and item.upstream is not None
        ]
        status = source.choice(_REFUSAL_STATUSES)
        copy = source.choice(_COPIES)
        has_flood = source.random() < 0.5
        for upstream in upstreams:
            upstream.refusal_status = status
            upstream.refusal_copy = copy
            upstream.refusal_share = _REFUSAL_SHARE
        flooding = machine.upstream if has_flood else None
        if flooding is not None:
            _start_flood(flooding, fault.variant)
        await asyncio.sleep(fault.for_s)
        for upstream in upstreams:
            upstream.refusal_share = 0.0
        if flooding is not None:
            flooding.fault_share = 0.0

    # Checks.

    def _build_result(self) -> Result:
        problems = self.ledger.check()
        for machine in self._machines:
            if machine.unexpected_exits:
                problems.append(
                    f'{machine.name} exited unexpectedly: '
                    f'{machine.unexpected_exits}'
                )
            if error := machine.find_unexpected_error():
                problems.append(f'{machine.name} logged {error}')
            if machine.peak_mb > MAX_MEMORY_MB:
                problems.append(f'{machine.name} used {machine.peak_mb} MB')
        attempts = list(self.ledger.attempts.values())
        end = max(attempt.sent_at for attempt in attempts)
        last = [
            attempt
            for attempt in attempts
            if end - FINAL_S < attempt.sent_at < end - 0.5
            and self._must_be_served(attempt)
        ]
        good = sum(attempt.status == 200 for attempt in last)
        if not last or good < MIN_FINAL_SERVED_FRACTION * len(last):
            problems.append(f'{good} of the last {len(last)} were served')
        return Result(
            seed=self.seed,
            problems=problems,
            requests=len(attempts),
            served=sum(attempt.status == 200 for attempt in attempts),
            faults=self.faults,
        )

    def _must_be_served(self, attempt: ledger_module.Attempt) -> bool:
        """Return whether an attempt after all faults must be served."""
        return (
            attempt.workspace != 'red'
            and attempt.key not in self.ledger.withdrawn_at
            and not attempt.crashes
        )


def _start_flood(
    upstream: platform_upstream.PlatformUpstream, variant: int
) -> None:
    """Let responses of an upstream never end."""
    upstream.fault = _FLOODS[variant % len(_FLOODS)]
    upstream.fault_status = (200, 500)[variant // 16 % 2]
    upstream.fault_share = 0.3
