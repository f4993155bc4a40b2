"""Plays upstreams that refuse calls and send copies of these refusals.

Two daemons, each with an upstream, get calls that are half refused; with a
third one, they may also stand still or be killed meanwhile. What a client was
told is compared with what ran. Run with
`script/python -m lab.refusal_copies`.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import json
import pathlib
import random
import signal
import tempfile
from typing import Annotated, Any, Final

import typer
import uvloop

from lab import platform_upstream
from lab import process_site
from lab.soak import http_caller
from lab.soak import machine as machine_module

SERVICES: Final = ('near', 'far')
# Second VM of the far service in plays with a disturbance, to which calls may
# be sent again. As services, its name is also that of a route.
SPARE: Final = 'spare'
KINDS: Final = ('unsafe', 'safe')
CLIENTS: Final = 12
# Clients that call the route whose responses never end.
FLOOD_CLIENTS: Final = 8
FLOOD_ROUTE: Final = 'far-flood'
TIMEOUT_S: Final = 3.0
MAX_ATTEMPTS: Final = 4
REFUSAL_SHARE: Final = 0.5
# Time that an upstream takes for a call, in seconds.
RUN_S: Final = 0.005
# Pause of a client that got no response, in seconds.
RETRY_S: Final = 0.02
# Shortest and longest time for which a daemon stands still, and between two
# such times, in seconds.
PAUSE_S: Final = (0.3, 2.4)
PAUSE_INTERVAL_S: Final = (0.1, 0.6)
# Time without a killed daemon, in seconds.
DOWNTIME_S: Final = 0.3
# Time at the end in which requests that were given up may still run, in
# seconds.
SETTLE_S: Final = 1.0
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


class Disturbance(enum.Enum):
    """What happens to the daemons while they get calls."""

    NONE = 'none'
    # That beside the far upstream stands still from time to time.
    PAUSES = 'pauses'
    # It is killed as well, running or standing still, and starts again.
    KILLS = 'kills'
    # All stand still from time to time, independently.
    ALL_PAUSES = 'all_pauses'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusals:
    """What the upstreams send.

    Attributes:
        status: Status of the refusals.
        copy: When their copies are sent.
        flood: What the far upstream sends without end to further clients.
        flood_status: Status of these responses.
        refusal_share: Fraction of the calls that they refuse, from 0 to 1.
        run_s: Time that they take for a call, in seconds.
        slots: Calls that each runs at once.
        clients: Clients beside the near upstream.
    """

    status: int = 503
    copy: platform_upstream.Copy = platform_upstream.Copy.NEVER
    flood: platform_upstream.Fault = platform_upstream.Fault.NONE
    flood_status: int = 200
    refusal_share: float = REFUSAL_SHARE
    run_s: float = RUN_S
    slots: int = platform_upstream.SLOTS
    clients: int = CLIENTS


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What the clients were told, and what ran.

    Attributes:
        statuses: Number of responses by route and status; status 0 stands for
            no response.
        told_not_run: Ids of the requests that ran, although their client was
            told that they had not, by route.
        ran_twice: Ids of the requests that ran twice but may not, by route.
        repeats: Requests that were sent on a connection on which their id had
            been refused.
        exits: Daemons that ended by themselves.
        log: Log lines of the daemons.
    """

    statuses: dict[str, collections.Counter[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )
    told_not_run: dict[str, list[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    ran_twice: dict[str, list[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    repeats: int = 0
    exits: int = 0
    log: list[str] = dataclasses.field(default_factory=list)

    @property
    def totals(self) -> collections.Counter[int]:
        """Return the number of responses by status."""
        return sum(self.statuses.values(), start=collections.Counter())

    def describe(self) -> str:
        """Return one line of figures."""
        return (
            f'{self.totals.total()} requests'
            f' {dict(sorted(self.totals.items()))},'
            f' {self.repeats} repeats on the refusing connection,'
            f' told not run {_count(self.told_not_run)},'
            f' ran twice {_count(self.ran_twice)}, {self.exits} exits'
        )


def _count(found: dict[str, list[str]]) -> dict[str, int]:
    return {route: len(attempts) for route, attempts in found.items()}


def build_rules() -> bytes:
    """Return rules with one route for each service and kind."""
    rules = json.loads(process_site.build_rules(SERVICES, TIMEOUT_S))
    routes = rules['routes']
    routes[SPARE] = {**routes['far'], 'path-prefix': f'/{SPARE}/'}
    for service in SERVICES:
        for kind in KINDS:
            routes[f'{service}-{kind}'] = {
                **routes[service],
                'path-prefix': f'/{service}-{kind}/',
                'kind': kind,
                'max-attempts': MAX_ATTEMPTS,
            }
    routes[FLOOD_ROUTE] = {
        **routes['far'],
        'path-prefix': f'/{FLOOD_ROUTE}/',
    }
    return json.dumps(rules).encode()


class _Callers:
    """Clients of one site that call one route each."""

    def __init__(self, site: process_site.Site) -> None:
        self.statuses: dict[str, collections.Counter[int]] = (
            collections.defaultdict(collections.Counter)
        )
        # Route and status by the id of the request.
        self.told: dict[str, tuple[str, int]] = {}
        self._site = site

    async def async_call(
        self, route: str, method: str = 'POST', name: str = ''
    ) -> None:
        """Send one request after the other until it is cancelled.

        Args:
            route: Route that is called.
            method: Method of the requests.
            name: Name of the VM of the client; the first VM if empty.
        """
        machine = self._site.machines[name] if name else self._site.first
        caller = http_caller.HttpCaller((machine.host, machine_module.CALLER))
        try:
            while True:
                attempt_id = process_site.create_attempt_id()
                request = process_site.build_request(
                    route, method=method, attempt_id=attempt_id
                )
                if method == 'POST':
                    request = request.replace(
                        b'\r\n\r\n', b'\r\nContent-Length: 0\r\n\r\n'
                    )
                status = 0
                self.told[attempt_id] = route, status
                with contextlib.suppress(ConnectionError, TimeoutError):
                    response = await caller.async_call(
                        request, TIMEOUT_S + 1.0
                    )
                    status = response.status
                if not status:
                    # A daemon that is down would be called without a pause.
                    await asyncio.sleep(RETRY_S)
                self.told[attempt_id] = route, status
                self.statuses[route][status] += 1
        finally:
            caller.close()


def _create_machine(
    *, name: str, service: str, **options: Any
) -> machine_module.Machine:
    """Create a VM; the spare one belongs to the far service."""
    return machine_module.Machine(
        name=name, service='far' if name == SPARE else service, **options
    )


async def _async_disturb(
    machine: machine_module.Machine, *, has_kills: bool
) -> None:
    """Let a daemon stand still from time to time until this is cancelled.

    Args:
        machine: VM of the daemon.
        has_kills: Whether to kill it as well.
    """
    draw = random.Random(machine.name)
    try:
        while True:
            await asyncio.sleep(draw.uniform(*PAUSE_INTERVAL_S))
            machine.send_signal(signal.SIGSTOP)
            await asyncio.sleep(draw.uniform(*PAUSE_S))
            if has_kills and draw.random() < 0.5:
                await machine.async_kill(DOWNTIME_S)
            machine.send_signal(signal.SIGCONT)
            if has_kills and draw.random() < 0.5:
                await asyncio.sleep(draw.uniform(*PAUSE_INTERVAL_S))
                await machine.async_kill(DOWNTIME_S)
    finally:
        machine.send_signal(signal.SIGCONT)


async def async_play(
    folder: pathlib.Path,
    refusals: Refusals,
    length_s: float,
    disturbance: Disturbance = Disturbance.NONE,
) -> Outcome:
    """Play a site and return what was told and what ran.

    Args:
        folder: Folder of the settings and log files.
        refusals: What the upstreams send.
        length_s: Time for which clients send requests, in seconds.
        disturbance: What happens to the daemons meanwhile.
    """
    outcome = Outcome()
    names: tuple[str, ...] = SERVICES
    if disturbance is not Disturbance.NONE:
        names += (SPARE,)
    async with process_site.async_site(
        folder, names, rules=build_rules(), create_machine=_create_machine
    ) as site:
        callers = _Callers(site)
        for name in names:
            upstream = site.upstream(name)
            upstream.delay_s = refusals.run_s
            upstream.slots = refusals.slots
            upstream.refusal_share = refusals.refusal_share
            upstream.refusal_status = refusals.status
            upstream.refusal_copy = refusals.copy
        far = site.upstream('far')
        far.fault_target = f'/{FLOOD_ROUTE}/'
        far.fault_status = refusals.flood_status
        routes = [
            f'{service}-{kind}' for service in SERVICES for kind in KINDS
        ]
        calls = [
            callers.async_call(routes[index % len(routes)])
            for index in range(refusals.clients)
        ]
        if refusals.flood is not platform_upstream.Fault.NONE:
            far.fault, far.fault_share = refusals.flood, 1.0
            calls += [
                callers.async_call(FLOOD_ROUTE, 'GET')
                for _ in range(FLOOD_CLIENTS)
            ]
        if disturbance is not Disturbance.NONE:
            # Clients beside the far upstream.
            calls += [
                callers.async_call(f'far-{kind}', name='far')
                for kind in KINDS
                for _ in range(refusals.clients // 4)
            ]
            disturbed = (
                names if disturbance is Disturbance.ALL_PAUSES else ('far',)
            )
            calls += [
                _async_disturb(
                    site.machines[name],
                    has_kills=disturbance is Disturbance.KILLS,
                )
                for name in disturbed
            ]
        calls.append(site.async_guard())
        tasks = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(length_s)
        far.fault_share = 0.0
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(SETTLE_S)
        _judge(site, callers, outcome)
        outcome.exits = sum(
            len(machine.unexpected_exits) for machine in site.machines.values()
        )
        for name in names:
            outcome.log += [
                json.dumps({'daemon': name, **line})
                for line in site.read_log(name)
            ]
    return outcome


def _judge(
    site: process_site.Site, callers: _Callers, outcome: Outcome
) -> None:
    """Compare what clients were told with what the upstreams ran."""
    runs = collections.Counter[str]()
    for machine in site.machines:
        upstream = site.upstream(machine)
        outcome.repeats += upstream.repeat_count
        for head in upstream.seen:
            for line in head.split('\r\n'):
                name, _, value = line.partition(': ')
                if name.lower() == 'x-attempt-id':
                    runs[value] += 1
    outcome.statuses = callers.statuses
    for attempt_id, (route, status) in callers.told.items():
        if status in NOT_RUN_STATUSES and runs[attempt_id]:
            outcome.told_not_run[route].append(attempt_id)
        if runs[attempt_id] > 1 and route.endswith('unsafe'):
            outcome.ran_twice[route].append(attempt_id)


def _run(
    refusals: Refusals, length_s: float, disturbance: Disturbance
) -> Outcome:
    with tempfile.TemporaryDirectory(prefix='refusal-copies-') as folder:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(
                async_play(
                    pathlib.Path(folder), refusals, length_s, disturbance
                )
            )


def main(
    length: Annotated[
        float, typer.Option(help='Time of each play in seconds.')
    ] = 5.0,
    statuses: Annotated[
        str, typer.Option(help='Statuses of the refusals.')
    ] = '503',
    copies: Annotated[
        str, typer.Option(help='When copies are sent; all if empty.')
    ] = '',
    flood: Annotated[
        str, typer.Option(help='Response without end to further clients.')
    ] = 'none',
    flood_status: Annotated[
        int, typer.Option(help='Status of that response.')
    ] = 200,
    disturbance: Annotated[
        str, typer.Option(help='What happens to the daemons.')
    ] = 'none',
    refusal_share: Annotated[
        float, typer.Option(help='Fraction of the calls that are refused.')
    ] = REFUSAL_SHARE,
    run_s: Annotated[
        float, typer.Option(help='Run time of a call in seconds.')
    ] = RUN_S,
    slots: Annotated[
        int, typer.Option(help='Calls that an upstream runs at once.')
    ] = platform_upstream.SLOTS,
    clients: Annotated[
        int, typer.Option(help='Clients beside the near upstream.')
    ] = CLIENTS,
) -> None:
    """Print what clients were told, and what ran, for each kind of copy."""
    names = copies.split(',') if copies else list(platform_upstream.Copy)
    for status in statuses.split(','):
        for name in names:
            refusals = Refusals(
                status=int(status),
                copy=platform_upstream.Copy(name),
                flood=platform_upstream.Fault(flood),
                flood_status=flood_status,
                refusal_share=refusal_share,
                run_s=run_s,
                slots=slots,
                clients=clients,
            )
            outcome = _run(refusals, length, Disturbance(disturbance))
            print(f'{status} {name}: {outcome.describe()}', flush=True)


if __name__ == '__main__':
    typer.run(main)
