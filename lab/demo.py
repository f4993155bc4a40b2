"""Demonstration: a log, six daemons, two services and their callers.

Calls of several workspaces run while a document is revised and a key is
withdrawn. It prints a summary and fails if a promise was broken.
"""

import collections
import dataclasses
import hashlib
import json
import sys
import time
from typing import Any

import anyio
from hdrh import histogram
import typer
import uuid6

from lab import client
from lab import fleet

BOOKING = 'van-booking'
STATUS = 'suit-status'
PHASE_S = 4.0
WITHDRAWAL_S = 3.0
_MAX_LATENCY_US = 60_000_000


class DemoError(Exception):
    """A promise of the product was not kept."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Calls that one workspace sends.

    Attributes:
        rate: Calls per second, over all callers.
        key: Key to show; None on an open route.
    """

    workspace: str
    rate: float
    method: str
    target: str
    key: str | None


LOADS = (
    Load(
        workspace='blue-reef',
        rate=40,
        method='GET',
        target=f'/{BOOKING}/vans/today?child=/{STATUS}/suits/17',
        key='blue-reef-key',
    ),
    Load(
        workspace='deep-divers',
        rate=20,
        method='GET',
        target=f'/{STATUS}/suits/42',
        key='deep-divers-key',
    ),
    Load(
        workspace='flood',
        rate=60,
        method='GET',
        target=f'/{BOOKING}/vans/today',
        key='flood-key',
    ),
    Load(
        workspace='(open route)',
        rate=10,
        method='GET',
        target=f'/{BOOKING}/help',
        key=None,
    ),
)


class Tally:
    """Counts of one workspace in one phase."""

    def __init__(self) -> None:
        """Start empty."""
        self.answers = 0
        self.refusals: collections.Counter[str] = collections.Counter()
        self.latency_us = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)

    def add(self, reply: client.Reply, elapsed_s: float) -> None:
        """Count one reply."""
        if reply.status == 200:
            self.answers += 1
            self.latency_us.record_value(int(elapsed_s * 1e6))
        else:
            self.refusals[reply.reason or f'status {reply.status}'] += 1


class Demo:
    """Runs the phases against a started fleet."""

    def __init__(self, running: fleet.Fleet) -> None:
        """Use a started fleet."""
        self._fleet = running
        self._addresses = [item.caller for item in running.daemons.values()]
        self._phase = 'revision 1'
        self._tallies: dict[str, dict[str, Tally]] = {}
        self._withdrawn_at: float | None = None
        self._late_answers = 0
        self.facts: list[str] = []

    def publish(self, service: str, replaces: int, flood_rate: int) -> None:
        """Publish a document and wait until it is in force everywhere."""
        started = time.monotonic()
        status, result = self._fleet.operate(
            f'{BOOKING}-1',
            'POST',
            'publish',
            {
                'publication_id': f'{service}-{replaces + 1}',
                'replaces': replaces,
                'document': document(service, flood_rate),
            },
        )
        if status != 200:
            raise DemoError(f'publication refused: {result}')
        self._wait_in_force(result['offset'])
        elapsed_s = time.monotonic() - started
        self.facts.append(
            f'{service} revision {result["revision"]}: in force on all '
            f'daemons after {elapsed_s:.2f} s'
        )

    def grant_keys(self) -> None:
        """Grant each workspace its key."""
        for load in LOADS:
            if load.key is None:
                continue
            digest = hashlib.sha256(load.key.encode()).hexdigest()
            status, result = self._fleet.operate(
                f'{BOOKING}-1',
                'POST',
                'keys/grant',
                {
                    'publication_id': f'grant-{load.workspace}',
                    'key_id': load.workspace,
                    'workspace': load.workspace,
                    'key_sha256': digest,
                },
            )
            if status != 200:
                raise DemoError(f'grant refused: {result}')
        self._wait_in_force(result['offset'])

    async def async_run(self) -> None:
        """Run the three phases."""
        async with anyio.create_task_group() as tasks:
            for load in LOADS:
                tasks.start_soon(self._async_load, load)
            await anyio.sleep(PHASE_S)
            await anyio.to_thread.run_sync(self.publish, BOOKING, 1, 40)
            self._phase = 'revision 2'
            await self._async_book_twice()
            await anyio.sleep(PHASE_S)
            await anyio.to_thread.run_sync(self._withdraw)
            self._phase = 'key withdrawn'
            await anyio.sleep(PHASE_S + WITHDRAWAL_S)
            tasks.cancel_scope.cancel()

    def check(self) -> None:
        """Raise DemoError if a promise was broken."""
        if self._late_answers:
            raise DemoError('a withdrawn key was still accepted')
        bookings = 0
        for daemon_id in self._fleet.daemons:
            for seen in self._fleet.requests_seen(daemon_id):
                if any(name == 'authorization' for name, _ in seen['headers']):
                    raise DemoError('an upstream saw a key')
                bookings += seen['method'] == 'POST'
        if bookings != 1:
            raise DemoError(f'the repeated booking ran {bookings} times')
        self.facts.append('no upstream saw a key')
        for load in LOADS:
            if not self._tally(load.workspace, 'revision 1').answers:
                raise DemoError(f'no answers for {load.workspace}')

    def print_summary(self) -> None:
        """Print what happened, for a person."""
        print()
        row = '{:<14} {:<14} {:>8} {:>9} {:>9}  {}'
        print(
            row.format(
                'phase',
                'workspace',
                'answers',
                'p50 ms',
                'p99 ms',
                'refusals by reason',
            )
        )
        for phase, tallies in self._tallies.items():
            for load in LOADS:
                tally = tallies.get(load.workspace, Tally())
                refusals = ', '.join(
                    f'{reason} {count}'
                    for reason, count in tally.refusals.most_common()
                )
                print(
                    row.format(
                        phase,
                        load.workspace,
                        tally.answers,
                        _milliseconds(tally, 50),
                        _milliseconds(tally, 99),
                        refusals or '-',
                    )
                )
        print()
        for fact in self.facts:
            print(f'- {fact}')

    async def _async_load(self, load: Load) -> None:
        callers = [
            client.Caller(address, key=load.key) for address in self._addresses
        ]
        start = time.monotonic()
        sent = 0
        async with anyio.create_task_group() as tasks:
            while True:
                due = start + sent / load.rate
                await anyio.sleep(max(0.0, due - time.monotonic()))
                caller = callers[sent % len(callers)]
                sent += 1
                tasks.start_soon(self._async_one, load, caller)

    async def _async_one(self, load: Load, caller: client.Caller) -> None:
        phase = self._phase
        sent_at = time.monotonic()
        one = client.Caller(caller.address, key=load.key)
        reply = await one.async_call(load.method, load.target)
        await one.async_close()
        self._tally(load.workspace, phase).add(
            reply, time.monotonic() - sent_at
        )
        withdrawn_at = self._withdrawn_at
        if withdrawn_at is None or load.workspace != 'deep-divers':
            return
        if reply.status == 200 and sent_at > withdrawn_at + WITHDRAWAL_S:
            self._late_answers += 1

    async def _async_book_twice(self) -> None:
        """Send one booking through two daemons with the same key."""
        key = str(uuid6.uuid7())
        bodies = set()
        for address in self._addresses[:2]:
            caller = client.Caller(address, key='blue-reef-key')
            reply = await caller.async_call(
                'POST',
                f'/{BOOKING}/bookings',
                headers=[('idempotency-key', key)],
                body=b'{"van": 3}',
            )
            await caller.async_close()
            if reply.status != 200:
                raise DemoError(f'booking refused: {reply.reason}')
            bodies.add(reply.body)
        if len(bodies) != 1:
            raise DemoError('the repeat of a booking got another answer')
        self.facts.append(
            'a booking sent through two daemons with one idempotency key '
            'ran once; both got the same answer'
        )

    def _withdraw(self) -> None:
        started = time.monotonic()
        status, result = self._fleet.operate(
            f'{STATUS}-2',
            'POST',
            'keys/withdraw',
            {'publication_id': 'withdraw-1', 'key_id': 'deep-divers'},
        )
        if status != 200:
            raise DemoError(f'withdrawal refused: {result}')
        self._withdrawn_at = time.monotonic()
        self._wait_in_force(result['offset'])
        elapsed_s = time.monotonic() - started
        self.facts.append(
            f'key of deep-divers withdrawn: in force on all daemons after '
            f'{elapsed_s:.2f} s'
        )

    def _wait_in_force(self, offset: int) -> None:
        deadline = time.monotonic() + 11.0
        while True:
            _, value = self._fleet.operate(
                f'{BOOKING}-1', 'GET', f'behind?offset={offset}'
            )
            if not value['behind']:
                return
            if time.monotonic() > deadline:
                raise DemoError(f'not in force at {value["behind"]}')
            time.sleep(0.05)

    def _tally(self, workspace: str, phase: str) -> Tally:
        return self._tallies.setdefault(phase, {}).setdefault(
            workspace, Tally()
        )


def document(service: str, flood_rate: int) -> dict[str, Any]:
    """Return the document of a demonstration service."""
    return {
        'version': 1,
        'service': service,
        'routes': [
            {'path': '/help', 'open': True, 'importance': 'low'},
            {
                'path': '/bookings',
                'methods': ['POST'],
                'idempotent': False,
                'importance': 'critical',
            },
            {'path': '/**', 'importance': 'normal'},
        ],
        'workspaces': {
            'blue-reef': {'rate': 100, 'burst': 100},
            'deep-divers': {'rate': 50, 'burst': 50},
            'flood': {'rate': flood_rate, 'burst': flood_rate},
        },
    }


def _milliseconds(tally: Tally, percentile: float) -> str:
    if not tally.answers:
        return '-'
    value_us = tally.latency_us.get_value_at_percentile(percentile)
    return f'{value_us / 1000:.1f}'


def _specs() -> list[fleet.DaemonSpec]:
    return [
        fleet.DaemonSpec(
            daemon_id=f'{service}-{number}',
            service=service,
            failure_domain=f'domain-{number}',
            behaviour={'service_s': 0.004, 'slots': 16},
        )
        for service in (BOOKING, STATUS)
        for number in (1, 2, 3)
    ]


def main() -> None:
    """Run the demonstration."""
    print('Starting the log, 6 daemons in 3 failure domains, 6 upstreams ...')
    try:
        with fleet.Fleet(_specs()) as running:
            demo = Demo(running)
            demo.publish(BOOKING, 0, 20)
            demo.publish(STATUS, 0, 20)
            demo.grant_keys()
            demo.facts.append(
                'revision 2 of van-booking raised the rate of flood from '
                '20 to 40 requests/s'
            )
            print('Sending calls; revising a document; withdrawing a key ...')
            anyio.run(demo.async_run)
            demo.check()
            demo.print_summary()
    except (DemoError, fleet.FleetError, json.JSONDecodeError) as error:
        print(f'FAILED: {error}', file=sys.stderr)
        raise typer.Exit(1) from error


if __name__ == '__main__':
    typer.run(main)
