"""Measures the processor time of a call over two daemons, of two source trees.

Each turn starts two daemons of the first tree and then two of the second one,
each as deploy/build has built it there, and sends the same calls to both. The
trees change places from turn to turn. A caller sends its calls one after the
other; half of the callers keep their connection, the others open one for each
call.

Example: script/python -m lab.call_cost --base ../before --change .
"""

import asyncio
import dataclasses
import os
import pathlib
import random
import statistics
import tempfile
from typing import Annotated, Any, Final

import typer
import uvloop

from lab import process_site
from lab.soak import http_caller
from lab.soak import machine as machine_module

# Service beside the daemon that takes the calls, and the service called.
TAKER: Final = 'orders'
SERVER: Final = 'catalogue'
SERVICES: Final = (TAKER, SERVER)
CALLERS: Final = 64
MIN_BODY_BYTES: Final = 1024
MAX_BODY_BYTES: Final = 6 * 1024
RUN_TIME_S: Final = 0.05
SLOTS: Final = 200
DEADLINE_MS: Final = 3000
ANSWER_TIMEOUT_S: Final = 4.0
# Calls after which routes are classified and connections are open.
WARM_UP_CALLS: Final = 1280
IDLE_S: Final = 3.0
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')


class CallFailedError(Exception):
    """A call was not served, so that its cost says nothing."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Processor time of a process.

    Attributes:
        total_s: User and system time, in seconds.
        system_s: System time in seconds, to a hundredth.
    """

    total_s: float
    system_s: float

    def __sub__(self, earlier: 'Usage') -> 'Usage':
        """Return the usage since an earlier one."""
        return Usage(
            total_s=self.total_s - earlier.total_s,
            system_s=self.system_s - earlier.system_s,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """What the daemons of one tree took in one turn.

    Attributes:
        call_us: Time of one call at each daemon, in microseconds.
        system_us: The part of it in the kernel.
        idle_us: Time of a second without calls at each daemon.
    """

    call_us: dict[str, float]
    system_us: dict[str, float]
    idle_us: dict[str, float]

    @property
    def total_us(self) -> float:
        """Return the time of one call at both daemons."""
        return sum(self.call_us.values())


class _BuiltMachine(machine_module.Machine):
    """A VM whose daemon is the one that deploy/build built in a tree."""

    def __init__(self, *, code: pathlib.Path, **options: Any) -> None:
        """Initialize the VM without starting anything."""
        super().__init__(code=code, **options)
        built = code / 'target'
        self._code_path = str(built / 'deps')
        self.command = [str(built / 'bin' / 'sassafraswood-daemon')]
        self.upstream_slots = SLOTS
        self.upstream_delay_s = RUN_TIME_S


def read_usage(pid: int) -> Usage:
    """Return the processor time that a process has taken."""
    process = pathlib.Path(f'/proc/{pid}')
    run_ns = sum(
        int(path.read_text().split()[0])
        for path in process.glob('task/*/schedstat')
    )
    # The name of the program may contain spaces and parentheses.
    fields = (process / 'stat').read_text().rpartition(')')[2].split()
    return Usage(total_s=run_ns / 1e9, system_s=int(fields[12]) / _TICKS_PER_S)


def describe_ratios(base: list[Cost], change: list[Cost]) -> str:
    """Return the ratio of a call of the changed tree, and its spread."""
    ratios = [
        after.total_us / before.total_us
        for before, after in zip(base, change, strict=True)
    ]
    return (
        f'ratio {statistics.median(ratios):.3f} '
        f'({min(ratios):.3f} to {max(ratios):.3f}, {len(ratios)} turns)'
    )


def _build_call(size: int) -> bytes:
    head = (
        f'POST /{SERVER}/items/17?view=full HTTP/1.1\r\n'
        'Host: shop.example\r\n'
        'User-Agent: caller/1.0\r\n'
        'Accept: application/json\r\n'
        'Content-Type: application/json\r\n'
        'Authorization: Bearer k1\r\n'
        f'X-Attempt-Id: {process_site.create_attempt_id()}\r\n'
        f'X-Deadline-Ms: {DEADLINE_MS}\r\n'
        f'Content-Length: {size}\r\n\r\n'
    )
    return head.encode() + b'x' * size


async def _async_send_calls(
    address: tuple[str, int], sizes: list[int], *, is_kept: bool
) -> None:
    """Send calls one after the other.

    Raises:
        CallFailedError: One of them was not served.
    """
    caller = http_caller.HttpCaller(address)
    try:
        for size in sizes:
            response = await caller.async_call(
                _build_call(size), ANSWER_TIMEOUT_S
            )
            if response.status != 200:
                raise CallFailedError(f'status {response.status}')
            if not is_kept:
                caller.close()
    finally:
        caller.close()


async def _async_load(site: process_site.Site, calls: int, seed: int) -> None:
    generator = random.Random(seed)
    async with asyncio.TaskGroup() as tasks:
        for number in range(CALLERS):
            sizes = [
                generator.randint(MIN_BODY_BYTES, MAX_BODY_BYTES)
                for _ in range(calls // CALLERS)
            ]
            tasks.create_task(
                _async_send_calls(
                    (site.first.host, machine_module.CALLER),
                    sizes,
                    is_kept=number % 2 == 0,
                )
            )


def _read_usages(site: process_site.Site) -> dict[str, Usage]:
    usages = {}
    for name, machine in site.machines.items():
        assert machine.process is not None
        usages[name] = read_usage(machine.process.pid)
    return usages


async def _async_measure(
    folder: pathlib.Path, code: pathlib.Path, calls: int
) -> Cost:
    async with process_site.async_site(
        folder, SERVICES, code=code, create_machine=_BuiltMachine
    ) as site:
        await _async_load(site, WARM_UP_CALLS, seed=1)
        before = _read_usages(site)
        await _async_load(site, calls, seed=2)
        after = _read_usages(site)
        await asyncio.sleep(IDLE_S)
        end = _read_usages(site)
    sent = calls // CALLERS * CALLERS
    used = {name: after[name] - before[name] for name in SERVICES}
    idle = {name: end[name] - after[name] for name in SERVICES}
    return Cost(
        call_us={name: 1e6 * used[name].total_s / sent for name in SERVICES},
        system_us={
            name: 1e6 * used[name].system_s / sent for name in SERVICES
        },
        idle_us={name: 1e6 * idle[name].total_s / IDLE_S for name in SERVICES},
    )


def measure(code: pathlib.Path, calls: int) -> Cost:
    """Measure the daemons of one tree."""
    with tempfile.TemporaryDirectory(prefix='call-cost-') as folder:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(
                _async_measure(pathlib.Path(folder), code, calls)
            )


def _describe(cost: Cost) -> str:
    parts = [
        f'{role} {cost.call_us[name]:.1f} us'
        f' (kernel {cost.system_us[name]:.0f},'
        f' idle second {cost.idle_us[name]:.0f})'
        for role, name in (('taker', TAKER), ('server', SERVER))
    ]
    return f'{cost.total_us:.1f} us a call: ' + ', '.join(parts)


def main(
    base: Annotated[pathlib.Path, typer.Option(help='Built source tree.')],
    change: Annotated[
        pathlib.Path, typer.Option(help='Built source tree to compare.')
    ],
    turns: Annotated[int, typer.Option(help='Turns of both trees.')] = 5,
    calls: Annotated[int, typer.Option(help='Calls in each turn.')] = 6000,
) -> None:
    """Compare the processor time of a call in two built source trees."""
    trees = {'base': base.resolve(), 'change': change.resolve()}
    costs: dict[str, list[Cost]] = {name: [] for name in trees}
    for turn in range(turns):
        names = list(trees)
        for name in names if turn % 2 == 0 else reversed(names):
            cost = measure(trees[name], calls)
            costs[name].append(cost)
            print(f'turn {turn + 1} {name}: {_describe(cost)}', flush=True)
    for name, items in costs.items():
        call_us = statistics.median(item.total_us for item in items)
        idle_us = statistics.median(
            statistics.fmean(item.idle_us.values()) for item in items
        )
        print(f'{name}: {call_us:.1f} us a call, {idle_us:.0f} us idle')
    print(describe_ratios(costs['base'], costs['change']))


if __name__ == '__main__':
    typer.run(main)
