"""Demonstrates a fleet with a log, six daemons and two services.

Callers of several workspaces send calls while a service document is revised
and a key is withdrawn. The program prints a summary, and fails if a guarantee
was violated.
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

BOOKING_SERVICE = 'van-booking'
STATUS_SERVICE = 'suit-status'
PHASE_DURATION_S = 4.0
WITHDRAWAL_LIMIT_S = 3.0
_MAX_LATENCY_US = 60_000_000


class DemoError(Exception):
    """A guarantee was violated, or an operator request was refused."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Calls that one workspace sends.

    Attributes:
        rate_per_s: Calls per second, spread over all daemons.
        key: API key that the calls carry; None on an open route.
    """

    workspace: str
    rate_per_s: float
    method: str
    target: str
    key: str | None


LOADS = (
    Load(
        workspace='blue-reef',
        rate_per_s=40,
        method='GET',
        target=(
            f'/{BOOKING_SERVICE}/vans/today?child=/{STATUS_SERVICE}/suits/17'
        ),
        key='blue-reef-key',
    ),
    Load(
        workspace='deep-divers',
        rate_per_s=20,
        method='GET',
        target=f'/{STATUS_SERVICE}/suits/42',
        key='deep-divers-key',
    ),
    Load(
        workspace='flood',
        rate_per_s=60,
        method='GET',
        target=f'/{BOOKING_SERVICE}/vans/today',
        key='flood-key',
    ),
    Load(
        workspace='(open route)',
        rate_per_s=10,
        method='GET',
        target=f'/{BOOKING_SERVICE}/help',
        key=None,
    ),
)


class CallCounts:
    """Counts and latencies of the calls of one workspace in one phase."""

    def __init__(self) -> None:
        """Initialize without calls."""
        self.answers = 0
        self.refusals: collections.Counter[str] = collections.Counter()
        self.latency_us = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)

    def add_reply(self, reply: client.Reply, elapsed_s: float) -> None:
        """Count one reply; the latency is recorded for answers only."""
        if reply.status == 200:
            self.answers += 1
            self.latency_us.record_value(int(elapsed_s * 1e6))
        else:
            self.refusals[reply.reason or f'status {reply.status}'] += 1


class Demo:
    """Sends calls and operator requests to a running fleet, in phases."""

    def __init__(self, running_fleet: fleet.Fleet) -> None:
        """Initialize with a running fleet."""
        self._fleet = running_fleet
        self._addresses = [
            daemon.caller_address for daemon in running_fleet.daemons.values()
        ]
        self._phase = 'revision 1'
        self._counts: dict[str, dict[str, CallCounts]] = {}
        self._withdrawn_at: float | None = None
        self._answers_after_withdrawal = 0
        self.findings: list[str] = []

    def publish(
        self, service: str, replaces: int, flood_rate_per_s: int
    ) -> None:
        """Publish a document and wait until it is in force on all daemons.

        Args:
            service: Name of the service.
            replaces: Revision that the document replaces; 0 for the first.
            flood_rate_per_s: Rate limit of the workspace flood, in requests
                per second.

        Raises:
            DemoError: The publication was refused, or is not in force in
                time.
        """
        started = time.monotonic()
        status, result = self._fleet.send_operator_request(
            f'{BOOKING_SERVICE}-1',
            'POST',
            'publish',
            {
                'publication_id': f'{service}-{replaces + 1}',
                'replaces': replaces,
                'document': build_document(service, flood_rate_per_s),
            },
        )
        if status != 200:
            raise DemoError(f'the publication was refused: {result}')
        self._wait_until_in_force(result['offset'])
        elapsed_s = time.monotonic() - started
        self.findings.append(
            f'{service} revision {result["revision"]}: in force on all '
            f'daemons after {elapsed_s:.2f} s'
        )

    def grant_keys(self) -> None:
        """Grant the keys of all workspaces and wait until they are in force.

        Raises:
            DemoError: A grant was refused, or is not in force in time.
        """
        for load in LOADS:
            if load.key is None:
                continue
            digest = hashlib.sha256(load.key.encode()).hexdigest()
            status, result = self._fleet.send_operator_request(
                f'{BOOKING_SERVICE}-1',
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
                raise DemoError(f'the key grant was refused: {result}')
        self._wait_until_in_force(result['offset'])

    async def async_run(self) -> None:
        """Send calls during three phases.

        Raises:
            DemoError: A guarantee was violated, or a request was refused.
        """
        async with anyio.create_task_group() as tasks:
            for load in LOADS:
                tasks.start_soon(self._async_send_calls, load)
            await anyio.sleep(PHASE_DURATION_S)
            await anyio.to_thread.run_sync(
                self.publish, BOOKING_SERVICE, 1, 40
            )
            self._phase = 'revision 2'
            await self._async_book_twice()
            await anyio.sleep(PHASE_DURATION_S)
            await anyio.to_thread.run_sync(self._withdraw_key)
            self._phase = 'key withdrawn'
            await anyio.sleep(PHASE_DURATION_S + WITHDRAWAL_LIMIT_S)
            tasks.cancel_scope.cancel()

    def check(self) -> None:
        """Check the guarantees against what callers and upstreams saw.

        Raises:
            DemoError: A guarantee was violated.
        """
        if self._answers_after_withdrawal:
            raise DemoError('a daemon accepted a key after its withdrawal')
        bookings = 0
        for daemon_id in self._fleet.daemons:
            for request in self._fleet.fetch_recorded_requests(daemon_id):
                if any(
                    name == 'authorization' for name, _ in request['headers']
                ):
                    raise DemoError('an upstream received a key')
                bookings += request['method'] == 'POST'
        if bookings != 1:
            raise DemoError(
                f'the repeated booking ran {bookings} times, expected 1'
            )
        self.findings.append('no upstream saw a key')
        for load in LOADS:
            if not self._get_counts(load.workspace, 'revision 1').answers:
                raise DemoError(
                    f'{load.workspace} got no answers in revision 1'
                )

    def print_summary(self) -> None:
        """Print the counts of each phase and workspace, and the findings."""
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
        for phase, counts_by_workspace in self._counts.items():
            for load in LOADS:
                counts = counts_by_workspace.get(load.workspace, CallCounts())
                refusals = ', '.join(
                    f'{reason} {count}'
                    for reason, count in counts.refusals.most_common()
                )
                print(
                    row.format(
                        phase,
                        load.workspace,
                        counts.answers,
                        _format_latency_ms(counts, 50),
                        _format_latency_ms(counts, 99),
                        refusals or '-',
                    )
                )
        print()
        for finding in self.findings:
            print(f'- {finding}')

    async def _async_send_calls(self, load: Load) -> None:
        callers = [
            client.Caller(address, key=load.key) for address in self._addresses
        ]
        start = time.monotonic()
        sent = 0
        async with anyio.create_task_group() as tasks:
            while True:
                due = start + sent / load.rate_per_s
                await anyio.sleep(max(0.0, due - time.monotonic()))
                caller = callers[sent % len(callers)]
                sent += 1
                tasks.start_soon(self._async_send_call, load, caller)

    async def _async_send_call(
        self, load: Load, caller: client.Caller
    ) -> None:
        phase = self._phase
        sent_at = time.monotonic()
        new_caller = client.Caller(caller.address, key=load.key)
        reply = await new_caller.async_call(load.method, load.target)
        await new_caller.async_close()
        self._get_counts(load.workspace, phase).add_reply(
            reply, time.monotonic() - sent_at
        )
        withdrawn_at = self._withdrawn_at
        if withdrawn_at is None or load.workspace != 'deep-divers':
            return
        if reply.status == 200 and sent_at > withdrawn_at + WITHDRAWAL_LIMIT_S:
            self._answers_after_withdrawal += 1

    async def _async_book_twice(self) -> None:
        """Send a booking to two daemons with the same idempotency key."""
        key = str(uuid6.uuid7())
        bodies = set()
        for address in self._addresses[:2]:
            caller = client.Caller(address, key='blue-reef-key')
            reply = await caller.async_call(
                'POST',
                f'/{BOOKING_SERVICE}/bookings',
                headers=[('idempotency-key', key)],
                body=b'{"van": 3}',
            )
            await caller.async_close()
            if reply.status != 200:
                raise DemoError(f'the booking was refused: {reply.reason}')
            bodies.add(reply.body)
        if len(bodies) != 1:
            raise DemoError('the repeated booking got a different answer')
        self.findings.append(
            'a booking sent through two daemons with one idempotency key '
            'ran once; both got the same answer'
        )

    def _withdraw_key(self) -> None:
        started = time.monotonic()
        status, result = self._fleet.send_operator_request(
            f'{STATUS_SERVICE}-2',
            'POST',
            'keys/withdraw',
            {'publication_id': 'withdraw-1', 'key_id': 'deep-divers'},
        )
        if status != 200:
            raise DemoError(f'the key withdrawal was refused: {result}')
        self._withdrawn_at = time.monotonic()
        self._wait_until_in_force(result['offset'])
        elapsed_s = time.monotonic() - started
        self.findings.append(
            f'key of deep-divers withdrawn: in force on all daemons after '
            f'{elapsed_s:.2f} s'
        )

    def _wait_until_in_force(self, offset: int) -> None:
        deadline = time.monotonic() + 11.0
        while True:
            _, value = self._fleet.send_operator_request(
                f'{BOOKING_SERVICE}-1', 'GET', f'behind?offset={offset}'
            )
            if not value['behind']:
                return
            if time.monotonic() > deadline:
                raise DemoError(f'not yet in force on {value["behind"]}')
            time.sleep(0.05)

    def _get_counts(self, workspace: str, phase: str) -> CallCounts:
        return self._counts.setdefault(phase, {}).setdefault(
            workspace, CallCounts()
        )


def build_document(service: str, flood_rate_per_s: int) -> dict[str, Any]:
    """Return the service document of a service of the demonstration.

    Args:
        service: Name of the service.
        flood_rate_per_s: Rate limit of the workspace flood, in requests per
            second; its burst has the same value.
    """
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
            'flood': {'rate': flood_rate_per_s, 'burst': flood_rate_per_s},
        },
    }


def _format_latency_ms(counts: CallCounts, percentile: float) -> str:
    if not counts.answers:
        return '-'
    value_us = counts.latency_us.get_value_at_percentile(percentile)
    return f'{value_us / 1000:.1f}'


def _build_specs() -> list[fleet.DaemonSpec]:
    return [
        fleet.DaemonSpec(
            daemon_id=f'{service}-{number}',
            service=service,
            failure_domain=f'domain-{number}',
            behaviour={'service_s': 0.004, 'slots': 16},
        )
        for service in (BOOKING_SERVICE, STATUS_SERVICE)
        for number in (1, 2, 3)
    ]


def main() -> None:
    """Run the demonstration and print a summary."""
    print('Starting the log, 6 daemons in 3 failure domains, 6 upstreams ...')
    try:
        with fleet.Fleet(_build_specs()) as running_fleet:
            demo = Demo(running_fleet)
            demo.publish(BOOKING_SERVICE, 0, 20)
            demo.publish(STATUS_SERVICE, 0, 20)
            demo.grant_keys()
            demo.findings.append(
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
