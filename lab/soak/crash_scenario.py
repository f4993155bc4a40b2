"""Plays a request that crashes each upstream that runs it, and comes again.

The faults are those of the scenario instead of drawn ones; the fleet, its
callers and the checks are those of the soak.
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

# How long the request comes on after the fleet must know of it, in seconds.
FURTHER_S: Final = 6.0
# It comes on for this time, in seconds, after the last one that arrived.
UNSEEN_S: Final = 6.0
# How often all daemons end, and how long the request then comes, in seconds.
RESTARTS: Final = 3
COMES_S: Final = 1.5
# Calls in flight beside the request where there are many, and how long each
# takes, in seconds.
CROWD: Final = 40
CROWD_DELAY_S: Final = 0.6
CROWD_SLOTS: Final = 100


Strike = Callable[[machine_module.Machine], Coroutine[Any, Any, None]]


class Spread(enum.Enum):
    """What keeps daemons from learning of the request."""

    NONE = 'none'
    # Half of the daemons stand still until others have learnt.
    FROZEN = 'frozen'
    # The connections to half of the daemons are silent until then.
    CUT_OFF = 'cut_off'
    # All daemons are stopped as planned and start again, several times.
    RESTARTED = 'restarted'
    # All daemons are killed at once, several times.
    KILLED = 'killed'
    # The daemon beside the first upstream that ends is killed.
    WITNESS_KILLED = 'witness_killed'
    # The route passes to another service after the second crash.
    MOVED = 'moved'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """What comes, how upstreams end, and what happens beside it.

    Attributes:
        end: How an upstream ends.
        away_s: Until the next upstream is there, in seconds.
        crash: The request.
        pause_s: Until it comes again, in seconds.
        copies: How many of it come at once.
        has_callers: Whether ordinary requests come all the time.
        has_crowd: Whether calls of their own are in flight at each crash.
        spread: What keeps daemons from learning of it.
    """

    end: machine_module.UpstreamEnd = machine_module.UpstreamEnd.RESET
    away_s: float = 1.0
    crash: callers_module.CrashRequest = callers_module.CrashRequest()
    pause_s: float = 0.25
    copies: int = 1
    has_callers: bool = True
    has_crowd: bool = False
    spread: Spread = Spread.NONE


class CrashSoak(run.Soak):
    """A fleet to which the request comes through all daemons in turn."""

    def __init__(
        self, scenario: Scenario, *, machines: int, folder: pathlib.Path
    ) -> None:
        """Take the scenario."""
        super().__init__(
            seed=1, length_s=0.0, machines=machines, folder=folder
        )
        self.faults = []
        if not scenario.has_callers:
            self._workers = 0
        self._scenario = scenario
        self._sent = 0
        # Whether it does not come for now.
        self._is_held = False
        # Start, or the last fault of the scenario.
        self._noted_at = 0.0

    @property
    def target(self) -> str:
        """Return the path of the request that crashes upstreams."""
        crash = self._scenario.crash
        return machine_module.CRASH_PEEK if crash.is_inner else crash.target

    def arrivals(self) -> list[float]:
        """Return when the request reached an upstream, in seconds."""
        return [at for at, _ in self.ledger.crashes[self.target]]

    async def _async_strike(self) -> None:
        scenario = self._scenario
        for machine in self._machines:
            machine.upstream_end = scenario.end
            machine.upstream_away_s = scenario.away_s
        if scenario.has_crowd:
            await self._async_make_room()
        await asyncio.sleep(1.0)
        self._noted_at = time.monotonic()
        disturbance: asyncio.Task[None] | None = None
        while not self._is_over(disturbance):
            if disturbance is None and self._is_due():
                disturbance = asyncio.create_task(self._async_disturb())
                self._tasks.add(disturbance)
            if self._is_held:
                await asyncio.sleep(scenario.pause_s)
            else:
                await self._async_send()
        for _ in range(int(run.FINAL_S / scenario.pause_s) + 1):
            self._send_crowd(len(self._machines))
            await asyncio.sleep(scenario.pause_s)

    def _is_over(self, disturbance: asyncio.Task[None] | None) -> bool:
        """Return whether it came for long enough."""
        if disturbance is not None and not disturbance.done():
            return False
        now = time.monotonic()
        arrivals = sorted(self.arrivals())
        if len(arrivals) >= ledger_module.CRASHES_UNTIL_KNOWN:
            third_at = arrivals[ledger_module.CRASHES_UNTIL_KNOWN - 1]
            if now > third_at + ledger_module.STABLE_S + FURTHER_S:
                return True
        return now > max([self._noted_at, *arrivals]) + UNSEEN_S

    async def _async_make_room(self) -> None:
        """Let upstreams hold the crowd, and make its calls slow."""
        for machine in self._machines:
            machine.upstream_slots = CROWD_SLOTS
            machine.upstream_delay_s = CROWD_DELAY_S
            if machine.upstream is not None:
                machine.upstream.slots = CROWD_SLOTS
                machine.upstream.delay_s = CROWD_DELAY_S
        await asyncio.sleep(2.0 * machine_module.REPORT_S)

    async def _async_send(self) -> None:
        """Send the request to the next daemons, and the crowd beside it."""
        scenario = self._scenario
        if scenario.has_crowd:
            self._send_crowd(CROWD // 2)
            await asyncio.sleep(0.02)
        for _ in range(scenario.copies):
            machine = self._machines[self._sent % len(self._machines)]
            self._sent += 1
            self._spawn(
                self._callers.async_send_crash(machine, scenario.crash)
            )
        if scenario.has_crowd:
            await asyncio.sleep(0.02)
            self._send_crowd(CROWD // 2)
        await asyncio.sleep(scenario.pause_s)

    def _send_crowd(self, count: int) -> None:
        for index in range(count):
            machine = self._machines[index % len(self._machines)]
            self._spawn(self._callers.async_send_single(machine))

    def _is_due(self) -> bool:
        """Return whether the fault of the scenario is to strike now."""
        if self._scenario.spread in (
            Spread.FROZEN,
            Spread.CUT_OFF,
            Spread.WITNESS_KILLED,
        ):
            return True
        return len(self.arrivals()) >= 2

    async def _async_disturb(self) -> None:
        spread = self._scenario.spread
        half = self._machines[: len(self._machines) // 2]
        if spread is Spread.FROZEN:
            await self._async_hold(half, self._async_freeze)
        elif spread is Spread.CUT_OFF:
            await self._async_hold(half, self._async_cut_off)
        elif spread is Spread.RESTARTED:
            await self._async_end_all(lambda item: item.async_restart())
        elif spread is Spread.KILLED:
            await self._async_end_all(lambda item: item.async_kill(0.5))
        elif spread is Spread.WITNESS_KILLED:
            await self._async_kill_witness()
        elif spread is Spread.MOVED:
            self._moved_to = 'deep'
            self._publish()
        self._noted_at = time.monotonic()

    async def _async_end_all(self, end: Strike) -> None:
        """End all daemons; the request comes once they are in touch again."""
        for _ in range(RESTARTS):
            self._is_held = True
            await self._async_hold(self._machines, end)
            await asyncio.sleep(ledger_module.STABLE_S + 0.5)
            self._is_held = False
            await asyncio.sleep(COMES_S)

    async def _async_hold(
        self, machines: list[machine_module.Machine], strike: Strike
    ) -> None:
        await asyncio.gather(
            *(self._async_note(item, strike(item)) for item in machines)
        )

    async def _async_freeze(self, machine: machine_module.Machine) -> None:
        machine.send_signal(signal.SIGSTOP)
        await self._async_until_crashed()
        machine.send_signal(signal.SIGCONT)

    async def _async_cut_off(self, machine: machine_module.Machine) -> None:
        link = machine.relays['peer']
        await link.async_set_mode(relay.RelayMode.SILENT)
        await self._async_until_crashed()
        await link.async_set_mode(relay.RelayMode.PASS)

    async def _async_until_crashed(self) -> None:
        """Wait until upstreams have crashed and all others know of it."""
        until = time.monotonic() + UNSEEN_S
        while len(self.arrivals()) < 2 and time.monotonic() < until:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    async def _async_kill_witness(self) -> None:
        """Kill the daemon beside the first upstream that ends."""
        while True:
            for machine in self._machines:
                if machine.upstream is None:
                    await self._async_note(machine, machine.async_kill(0.5))
                    return
            await asyncio.sleep(0.001)

    async def _async_note(
        self,
        machine: machine_module.Machine,
        routine: Coroutine[Any, Any, None],
    ) -> None:
        """Note that a machine is not in touch while it is struck."""
        start = time.monotonic()
        await routine
        span = ledger_module.Span(start=start, end=time.monotonic())
        self.ledger.faulted[machine.name].append(span)
        self.ledger.disturbed[machine.name].append(span)

    def _is_owed(self, attempt: ledger_module.Attempt) -> bool:
        return super()._is_owed(attempt) and not self._is_alike(attempt)

    def _is_alike(self, attempt: ledger_module.Attempt) -> bool:
        """Return whether nothing tells an attempt from the request."""
        return (
            self.target == f'/{attempt.route}/1'
            and attempt.workspace == 'blue'
        )


def describe(soak: CrashSoak) -> str:
    """Return when the request arrived, from its first arrival on."""
    arrivals = sorted(soak.arrivals())
    if not arrivals:
        return 'no arrival'
    times = ', '.join(f'{at - arrivals[0]:.2f}' for at in arrivals)
    known = soak.ledger.known_arrivals(soak.target)
    return f'{len(arrivals)} arrivals ({times} s), {known} after all knew'
