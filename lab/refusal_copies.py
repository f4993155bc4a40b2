"""Plays upstreams that refuse calls and send copies of these refusals.

Two daemons, each with an upstream, get calls that are half refused. What a
client was told is compared with what ran. Run with
`script/python -m lab.refusal_copies`.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import tempfile
from typing import Annotated, Final

import typer
import uvloop

from lab import platform_upstream
from lab import process_site
from lab.soak import http_caller
from lab.soak import machine as machine_module

SERVICES: Final = ('near', 'far')
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
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusals:
    """What the upstreams send.

    Attributes:
        status: Status of the refusals.
        copy: When their copies are sent.
        flood: What the far upstream sends without end to further clients.
        flood_status: Status of these responses.
    """

    status: int = 503
    copy: platform_upstream.Copy = platform_upstream.Copy.NEVER
    flood: platform_upstream.Fault = platform_upstream.Fault.NONE
    flood_status: int = 200


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
        self._address = site.first.host, machine_module.CALLER

    async def async_call(self, route: str, method: str = 'POST') -> None:
        """Send one request after the other until it is cancelled."""
        caller = http_caller.HttpCaller(self._address)
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
                with contextlib.suppress(ConnectionError, TimeoutError):
                    response = await caller.async_call(
                        request, TIMEOUT_S + 1.0
                    )
                    status = response.status
                self.told[attempt_id] = route, status
                self.statuses[route][status] += 1
        finally:
            caller.close()


async def async_play(
    folder: pathlib.Path, refusals: Refusals, length_s: float
) -> Outcome:
    """Play a site and return what was told and what ran.

    Args:
        folder: Folder of the settings and log files.
        refusals: What the upstreams send.
        length_s: Time for which clients send requests, in seconds.
    """
    outcome = Outcome()
    async with process_site.async_site(
        folder, SERVICES, rules=build_rules()
    ) as site:
        callers = _Callers(site)
        for service in SERVICES:
            upstream = site.upstream(service)
            upstream.delay_s = RUN_S
            upstream.refusal_share = REFUSAL_SHARE
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
            for index in range(CLIENTS)
        ]
        if refusals.flood is not platform_upstream.Fault.NONE:
            far.fault, far.fault_share = refusals.flood, 1.0
            calls += [
                callers.async_call(FLOOD_ROUTE, 'GET')
                for _ in range(FLOOD_CLIENTS)
            ]
        calls.append(site.async_guard())
        tasks = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(length_s)
        far.fault_share = 0.0
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        _judge(site, callers, outcome)
        outcome.exits = sum(
            len(machine.unexpected_exits) for machine in site.machines.values()
        )
        for name in SERVICES:
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
    for service in SERVICES:
        upstream = site.upstream(service)
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


def _run(refusals: Refusals, length_s: float) -> Outcome:
    with tempfile.TemporaryDirectory(prefix='refusal-copies-') as folder:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(
                async_play(pathlib.Path(folder), refusals, length_s)
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
            )
            outcome = _run(refusals, length)
            print(f'{status} {name}: {outcome.describe()}', flush=True)


if __name__ == '__main__':
    typer.run(main)
