"""Scenarios with a repeated request that crashes each upstream that runs it.

The scenario defines the faults instead of a seed. The fleet, its callers and
the checks are those of the soak.
"""

import asyncio
from collections.abc import Callable, Coroutine
import dataclasses
import enum
import pathlib
import signal
import time
from typing import Any, Final

from lab import relay
from lab.soak import callers as callers_module
from lab.soak import ledger as ledger_module
from lab.soak import machine as machine_module
from lab.soak import run

# How long the request is still sent after all daemons must refuse it, in
# seconds.
SEND_AFTER_KNOWN_S: Final = 6.0
# The request is sent for this time, in seconds, after its last arrival at an
# upstream.
SEND_AFTER_ARRIVAL_S: Final = 6.0
# How often all daemons are restarted, and how long the request is sent after
# each restart, in seconds.
RESTART_COUNT: Final = 3
SEND_AFTER_RESTART_S: Final = 1.5
# Unrelated calls sent with the request if has_crowd is set, the time that each
# takes in seconds, and the slots of the upstreams that run them.
CROWD_CALLS: Final = 40
CROWD_DELAY_S: Final = 0.6
CROWD_SLOTS: Final = 100


FaultRoutine = Callable[[machine_module.Machine], Coroutine[Any, Any, None]]


class Spread(enum.Enum):
    """Faults that delay knowledge of the request at daemons."""

    NONE = 'none'
    # Half of the daemons are paused until the others know the request.
    FROZEN = 'frozen'
    # The peer links to half of the daemons drop all data until then.
    CUT_OFF = 'cut_off'
    # All daemons are stopped gracefully and restarted, several times.
    RESTARTED = 'restarted'
    # All daemons are killed at once and restarted, several times.
    KILLED = 'killed'
    # The daemon beside the first upstream that crashes is killed.
    WITNESS_KILLED = 'witness_killed'
    # The route moves to another service after the second crash.
    MOVED = 'moved'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """The request, how upstreams crash, the other load and the fault.

    Attributes:
        end: How an upstream crashes.
        downtime_s: Time until the next upstream starts, in seconds.
        crash: The request that crashes upstreams.
        pause_s: Time between sends of the request, in seconds.
        copies: Number of copies that are sent at once.
        has_callers: Whether callers send ordinary requests all the time.
        has_crowd: Whether many unrelated calls are in flight at each crash.
        spread: Fault that delays knowledge of the request.
    """

    end: machine_module.UpstreamEnd = machine_module.UpstreamEnd.RESET
    downtime_s: float = 1.0
    crash: callers_module.CrashRequest = callers_module.CrashRequest()
    pause_s: float = 0.25
    copies: int = 1
    has_callers: bool = True
    has_crowd: bool = False
    spread: Spread = Spread.NONE


class CrashSoak(run.Soak):
    """A soak that sends the request through each daemon in turn."""

    def __init__(
        self, scenario: Scenario, *, machines: int, folder: pathlib.Path
    ) -> None:
        """Initialize a soak without random faults for a scenario."""
        super().__init__(
            seed=1,
            length_s=0.0,
            machines=machines,
            folder=folder,
            has_later_kinds=False,
        )
        self.faults = []
        if not scenario.has_callers:
            self._workers = 0
        self._scenario = scenario
        self._sent = 0
        # Whether sending of the request is suspended.
        self._is_suspended = False
        # Monotonic time in seconds of the start or the end of the fault.
        self._last_fault_at = 0.0

    @property
    def target(self) -> str:
        """Return the path of the request that crashes upstreams."""
        crash = self._scenario.crash
        return machine_module.CRASH_PEEK if crash.is_inner else crash.target

    def arrivals(self) -> list[float]:
        """Return the monotonic arrival times at upstreams, in seconds."""
        return [at for at, _ in self.ledger.crashes[self.target]]

    async def _async_inject_faults(self) -> None:
        scenario = self._scenario
        for machine in self._machines:
            machine.upstream_end = scenario.end
            machine.upstream_downtime_s = scenario.downtime_s
        if scenario.has_crowd:
            await self._async_prepare_for_crowd()
        await asyncio.sleep(1.0)
        self._last_fault_at = time.monotonic()
        fault_task: asyncio.Task[None] | None = None
        while not self._is_over(fault_task):
            if fault_task is None and self._is_due():
                fault_task = asyncio.create_task(self._async_inject_spread())
                self._tasks.add(fault_task)
            if self._is_suspended:
                await asyncio.sleep(scenario.pause_s)
            else:
                await self._async_send()
        for _ in range(int(run.FINAL_S / scenario.pause_s) + 1):
            self._send_crowd(len(self._machines))
            await asyncio.sleep(scenario.pause_s)

    def _is_over(self, fault_task: asyncio.Task[None] | None) -> bool:
        """Return whether the request has been sent for long enough."""
        if fault_task is not None and not fault_task.done():
            return False
        now = time.monotonic()
        arrivals = sorted(self.arrivals())
        if len(arrivals) >= ledger_module.CRASHES_UNTIL_KNOWN:
            third_at = arrivals[ledger_module.CRASHES_UNTIL_KNOWN - 1]
            if now > third_at + ledger_module.STABLE_S + SEND_AFTER_KNOWN_S:
                return True
        return (
            now > max([self._last_fault_at, *arrivals]) + SEND_AFTER_ARRIVAL_S
        )

    async def _async_prepare_for_crowd(self) -> None:
        """Raise the slots and the delay of upstreams for the crowd."""
        for machine in self._machines:
            machine.upstream_slots = CROWD_SLOTS
            machine.upstream_delay_s = CROWD_DELAY_S
            if machine.upstream is not None:
                machine.upstream.slots = CROWD_SLOTS
                machine.upstream.delay_s = CROWD_DELAY_S
        await asyncio.sleep(2.0 * machine_module.REPORT_S)

    async def _async_send(self) -> None:
        """Send the request, and the crowd if any, to the next daemons."""
        scenario = self._scenario
        if scenario.has_crowd:
            self._send_crowd(CROWD_CALLS // 2)
            await asyncio.sleep(0.02)
        for _ in range(scenario.copies):
            machine = self._machines[self._sent % len(self._machines)]
            self._sent += 1
            self._spawn(
                self._callers.async_send_crash(machine, scenario.crash)
            )
        if scenario.has_crowd:
            await asyncio.sleep(0.02)
            self._send_crowd(CROWD_CALLS // 2)
        await asyncio.sleep(scenario.pause_s)

    def _send_crowd(self, count: int) -> None:
        for index in range(count):
            machine = self._machines[index % len(self._machines)]
            self._spawn(self._callers.async_send_unique(machine))

    def _is_due(self) -> bool:
        """Return whether to inject the fault of the scenario now."""
        if self._scenario.spread in (
            Spread.FROZEN,
            Spread.CUT_OFF,
            Spread.WITNESS_KILLED,
        ):
            return True
        return len(self.arrivals()) >= 2

    async def _async_inject_spread(self) -> None:
        spread = self._scenario.spread
        half = self._machines[: len(self._machines) // 2]
        if spread is Spread.FROZEN:
            await self._async_inject_each(half, self._async_freeze)
        elif spread is Spread.CUT_OFF:
            await self._async_inject_each(half, self._async_cut_off)
        elif spread is Spread.RESTARTED:
            await self._async_restart_all(lambda item: item.async_restart())
        elif spread is Spread.KILLED:
            await self._async_restart_all(lambda item: item.async_kill(0.5))
        elif spread is Spread.WITNESS_KILLED:
            await self._async_kill_witness()
        elif spread is Spread.MOVED:
            self._moved_to = 'deep'
            self._publish()
        self._last_fault_at = time.monotonic()

    async def _async_restart_all(self, end: FaultRoutine) -> None:
        """Restart all daemons; send the request once they are stable."""
        for _ in range(RESTART_COUNT):
            self._is_suspended = True
            await self._async_inject_each(self._machines, end)
            await asyncio.sleep(ledger_module.STABLE_S + 0.5)
            self._is_suspended = False
            await asyncio.sleep(SEND_AFTER_RESTART_S)

    async def _async_inject_each(
        self, machines: list[machine_module.Machine], inject: FaultRoutine
    ) -> None:
        await asyncio.gather(
            *(
                self._async_record_disturbance(item, inject(item))
                for item in machines
            )
        )

    async def _async_freeze(self, machine: machine_module.Machine) -> None:
        machine.send_signal(signal.SIGSTOP)
        await self._async_wait_until_known()
        machine.send_signal(signal.SIGCONT)

    async def _async_cut_off(self, machine: machine_module.Machine) -> None:
        link = machine.relays['peer']
        await link.async_set_mode(relay.RelayMode.SILENT)
        await self._async_wait_until_known()
        await link.async_set_mode(relay.RelayMode.PASS)

    async def _async_wait_until_known(self) -> None:
        """Wait for two crashes, and until the other daemons know of them."""
        until = time.monotonic() + SEND_AFTER_ARRIVAL_S
        while len(self.arrivals()) < 2 and time.monotonic() < until:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    async def _async_kill_witness(self) -> None:
        """Kill the daemon beside the first upstream that crashes."""
        while True:
            for machine in self._machines:
                if machine.upstream is None:
                    await self._async_record_disturbance(
                        machine, machine.async_kill(0.5)
                    )
                    return
            await asyncio.sleep(0.001)

    async def _async_record_disturbance(
        self,
        machine: machine_module.Machine,
        routine: Coroutine[Any, Any, None],
    ) -> None:
        """Record a machine as disturbed while a fault routine runs."""
        start = time.monotonic()
        await routine
        span = ledger_module.Span(start=start, end=time.monotonic())
        self.ledger.faulted[machine.name].append(span)
        self.ledger.disturbed[machine.name].append(span)

    def _must_be_served(self, attempt: ledger_module.Attempt) -> bool:
        return super()._must_be_served(
            attempt
        ) and not self._is_indistinguishable(attempt)

    def _is_indistinguishable(self, attempt: ledger_module.Attempt) -> bool:
        """Return whether an attempt is indistinguishable from the request."""
        return (
            self.target == f'/{attempt.route}/1'
            and attempt.workspace == 'blue'
        )


def describe(soak: CrashSoak) -> str:
    """Return the arrival times relative to the first arrival."""
    arrivals = sorted(soak.arrivals())
    if not arrivals:
        return 'no arrival'
    times = ', '.join(f'{at - arrivals[0]:.2f}' for at in arrivals)
    known = soak.ledger.count_known_arrivals(soak.target)
    return (
        f'{len(arrivals)} arrivals ({times} s), '
        f'{known} after all daemons must refuse it'
    )
