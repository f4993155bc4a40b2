"""State of one scenario: the fleet, its callers and their replies."""

import collections
from collections.abc import Callable
import concurrent.futures
import dataclasses
import hashlib
import itertools
import json
import time
from typing import Any
import urllib.parse
import uuid

import anyio
import anyio.from_thread

from lab import client
from lab import fleet

# Long enough that a busy machine does not fail a scenario.
WAIT_TIMEOUT_S = 40.0
CALL_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
DEFAULT_LIMIT = {'rate': 300, 'burst': 300}
_call_numbers = itertools.count(1)
_fleet_numbers = itertools.count(1)


@dataclasses.dataclass(kw_only=True)
class SentCall:
    """A call that a caller sent, and its reply once it has arrived.

    Attributes:
        number: Number of the call in the query of the request; a retry of
            a call by a step has the same number.
        target: Path and query of the request.
        sent_at: Monotonic time in seconds.
        reply: Reply, or None while the call is in flight.
        ended_at: Monotonic time of the reply in seconds; 0 before it.
    """

    number: int
    workspace: str | None
    daemon_id: str
    method: str
    target: str
    sent_at: float
    body: bytes
    reply: client.Reply | None = None
    ended_at: float = 0.0

    @property
    def result(self) -> client.Reply:
        """Return the reply; a call without one counts as broken."""
        return self.reply or client.BROKEN_REPLY

    @property
    def is_answered(self) -> bool:
        """Return whether the caller got the whole answer of an upstream."""
        return self.result.status == 200 and self.result.run == 'run'


class Load:
    """Calls that are sent at a steady rate until the load is ended."""

    def __init__(self) -> None:
        """Start with no calls."""
        self.is_ended = False
        self.future: concurrent.futures.Future[None] | None = None


class World:
    """State that the steps of a scenario share.

    Attributes:
        specs: Daemons of the fleet by daemon id.
        documents: First published document by service.
        limits: Rate in calls/s and burst in calls by workspace.
        keys: API key by workspace.
        event_times_s: Time of an event by its name; monotonic time, but wall
            clock time for the start of a drain.
        results: Results of publications with their HTTP statuses, or
            (0, reason) for each expected refusal.
        booking_owner: Daemon that owned the booking when it was paused.
        connected_callers: Callers that keep a connection open, each with the
            first call on it.
        statsd_listener: Socket that receives the counters of the daemons.
    """

    def __init__(self, portal: anyio.from_thread.BlockingPortal) -> None:
        """Create a state without a fleet; calls run on the portal's loop."""
        self.portal = portal
        self.specs: dict[str, fleet.DaemonSpec] = {}
        self.running_fleet: fleet.Fleet | None = None
        self.documents: dict[str, dict[str, Any]] = {}
        self.limits: dict[str, dict[str, float]] = {}
        self.keys: dict[str, str] = {}
        self.calls: list[SentCall] = []
        self.loads: list[Load] = []
        self.retry_allowance = 2
        self.event_times_s: dict[str, float] = {}
        self.results: list[tuple[int, Any]] = []
        self.booking_key = ''
        self.booking_number = 0
        self.booking_owner = ''
        self.connected_callers: list[tuple[SentCall, client.Caller]] = []
        self.statsd_listener: Any = None

    @property
    def fleet(self) -> fleet.Fleet:
        """Return the running fleet."""
        assert self.running_fleet is not None, (
            'the fleet was not started by an earlier step'
        )
        return self.running_fleet

    def add_service(
        self, service: str, daemons: int, domain: str | None = None
    ) -> None:
        """Add a service with its daemons, before the fleet starts.

        Daemons are named after the service: van-booking-1 and so on.

        Args:
            domain: Failure domain of all the daemons, so that calls are
                routed to each of them; None puts each daemon into a failure
                domain of its own.
        """
        for number in range(1, daemons + 1):
            daemon_id = f'{service}-{number}'
            self.specs[daemon_id] = fleet.DaemonSpec(
                daemon_id=daemon_id,
                service=service,
                failure_domain=domain or f'domain-{number}',
                behaviour={'service_s': 0.004, 'slots': 32},
            )

    def change_spec(self, daemon_id: str, **changes: Any) -> None:
        """Change the specification of a daemon before the fleet starts."""
        self.specs[daemon_id] = dataclasses.replace(
            self.specs[daemon_id], **changes
        )

    def start(self) -> None:
        """Start the fleet, publish documents and grant keys."""
        self.running_fleet = fleet.Fleet(list(self.specs.values()))
        self.running_fleet.start()
        run = next(_fleet_numbers)
        services = sorted({spec.service for spec in self.specs.values()})
        for service in services:
            self.documents[service] = self.initial_document(service)
            status, result = self.publish(service, 0, self.documents[service])
            assert status == 200, result
        for workspace in self.limits:
            self.keys[workspace] = f'key-{uuid.uuid4().hex}'
            status, result = self.operate(
                'keys/grant',
                {
                    'publication_id': f'grant-{run}-{workspace}',
                    'key_id': workspace,
                    'workspace': workspace,
                    'key_sha256': hashlib.sha256(
                        self.keys[workspace].encode()
                    ).hexdigest(),
                },
            )
            assert status == 200, result
        self.wait_in_force(result['offset'])
        # The token buckets of new partitions start empty and fill in 1 s.
        time.sleep(1.0)

    def initial_document(self, service: str) -> dict[str, Any]:
        """Return the document that is published first for a service."""
        return {
            'version': 1,
            'service': service,
            'routes': [
                {'path': '/help/**', 'open': True, 'importance': 'low'},
                {
                    'path': '/bookings',
                    'methods': ['POST'],
                    'idempotent': False,
                    'importance': 'critical',
                },
                {'path': '/short', 'timeout_s': 0.5},
                {'path': '/vans/**'},
                {'path': '/crash'},
            ],
            'workspaces': dict(self.limits),
            'retry_allowance': self.retry_allowance,
        }

    def publish(
        self,
        service: str,
        replaces: int,
        document: dict[str, Any],
        *,
        daemon_id: str | None = None,
    ) -> tuple[int, Any]:
        """Publish a document and return the HTTP status and the result."""
        return self.operate(
            'publish',
            {
                'publication_id': uuid.uuid4().hex,
                'replaces': replaces,
                'document': document,
            },
            daemon_id=daemon_id,
        )

    def operate(
        self, path: str, value: object, *, daemon_id: str | None = None
    ) -> tuple[int, Any]:
        """Send an operator's request and return its HTTP status and result.

        Args:
            daemon_id: Daemon that gets the request; None for the first one.
        """
        return self.fleet.send_operator_request(
            daemon_id or next(iter(self.specs)), 'POST', path, value
        )

    def wait_in_force(self, offset: int, timeout_s: float = 11.0) -> None:
        """Wait until every running daemon has applied a record of the log."""
        self.wait_for(
            lambda: all(
                self.fleet.fetch_status(daemon_id)['next_offset'] > offset
                for daemon_id in self.running_daemons()
            ),
            f'offset {offset} in force everywhere',
            timeout_s,
        )

    def announce_upstream(self, daemon_id: str) -> None:
        """Announce a running upstream to its restarted daemon."""
        daemon = self.fleet.daemons[daemon_id]

        def is_announced() -> bool:
            try:
                status, _ = fleet.request_json(
                    'POST',
                    f'http://{daemon.local_address}/upstream/announce',
                    {'address': daemon.upstream_address, 'slots': 32},
                )
            except OSError:
                return False
            return status == 200

        self.wait_for(
            is_announced,
            f'{daemon_id} accepts the announcement of its upstream',
        )

    def wait_for_upstream(self, daemon_id: str) -> None:
        """Wait until a daemon reports its upstream as cold or ready."""

        def is_serving() -> bool:
            try:
                member = self.fleet.fetch_status(daemon_id)['member']
            except OSError:
                return False
            return member['upstream_status'] in ('cold', 'ready')

        self.wait_for(
            is_serving, f'the upstream of {daemon_id} is cold or ready'
        )

    def document_revisions(self, daemon_id: str) -> dict[str, tuple[int, int]]:
        """Return revision and log offset of a daemon's documents by service.

        The result is empty if the daemon does not respond.
        """
        try:
            entries = self.fleet.fetch_status(daemon_id)['documents']
        except OSError:
            return {}
        return {
            entry['service']: (entry['revision'], entry['offset'])
            for entry in entries
        }

    def running_daemons(self) -> list[str]:
        """Return the daemons whose processes run."""
        return [
            daemon_id
            for daemon_id, daemon in self.fleet.daemons.items()
            if daemon.daemon_process is not None
            and daemon.daemon_process.poll() is None
        ]

    def wait_for(
        self,
        condition: Callable[[], bool],
        description: str,
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> None:
        """Poll until a condition holds; fail after the timeout."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline, (
                f'not reached within {timeout_s} s: {description}'
            )
            time.sleep(POLL_INTERVAL_S)

    def call(
        self,
        workspace: str | None,
        daemon_id: str,
        target: str,
        **options: Any,
    ) -> SentCall:
        """Send one call and return it with its reply."""
        return self.portal.call(
            lambda: self.async_call(workspace, daemon_id, target, **options)
        )

    async def async_call(
        self,
        workspace: str | None,
        daemon_id: str,
        target: str,
        *,
        method: str = 'GET',
        body: bytes = b'',
        headers: list[tuple[str, str]] | None = None,
        number: int | None = None,
        caller: client.Caller | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> SentCall:
        """Send one call and return it with its reply.

        Args:
            number: Number for the query, to repeat an earlier call; None for
                a new number.
            caller: Caller with an open connection; None opens a connection
                for this call only.
        """
        number = next(_call_numbers) if number is None else number
        separator = '&' if '?' in target else '?'
        sent = SentCall(
            number=number,
            workspace=workspace,
            daemon_id=daemon_id,
            method=method,
            target=f'{target}{separator}n={number}',
            sent_at=time.monotonic(),
            body=body,
        )
        self.calls.append(sent)
        used_caller = caller or self.new_caller(workspace, daemon_id)
        sent.reply = await used_caller.async_call(
            method,
            sent.target,
            headers=headers or [],
            body=body,
            timeout_s=timeout_s,
        )
        sent.ended_at = time.monotonic()
        if caller is None:
            await used_caller.async_close()
        return sent

    def new_caller(
        self, workspace: str | None, daemon_id: str
    ) -> client.Caller:
        """Return a caller with a connection of its own."""
        key = None if workspace is None else self.keys.get(workspace)
        return client.Caller(
            self.fleet.daemons[daemon_id].caller_address, key=key
        )

    def start_load(
        self,
        workspace: str,
        rate: float,
        service: str,
        daemon_ids: list[str],
        path: str = '/vans/today',
    ) -> Load:
        """Send calls at a rate in calls/s until the load is ended.

        The calls go to the daemons in turn.
        """
        load = Load()

        async def async_run() -> None:
            start = time.monotonic()
            async with anyio.create_task_group() as tasks:
                for index in itertools.count():
                    due_s = start + index / rate - time.monotonic()
                    await anyio.sleep(max(0.0, due_s))
                    if load.is_ended:
                        return
                    tasks.start_soon(
                        self.async_call,
                        workspace,
                        daemon_ids[index % len(daemon_ids)],
                        f'/{service}{path}',
                    )

        load.future = self.portal.start_task_soon(async_run)
        self.loads.append(load)
        return load

    def end_loads(self) -> None:
        """End all loads and wait for the replies."""
        for load in self.loads:
            load.is_ended = True
        for load in self.loads:
            if load.future is not None:
                load.future.result(CALL_TIMEOUT_S + WAIT_TIMEOUT_S)
        self.loads.clear()

    def recorded_requests(self) -> dict[int, list[dict[str, Any]]]:
        """Return the requests that upstreams recorded, by number of call."""
        requests = collections.defaultdict(list)
        for daemon_id in self.fleet.daemons:
            for request in self.fleet.read_recorded_requests(daemon_id):
                query = urllib.parse.urlsplit(request['target']).query
                values = urllib.parse.parse_qs(query)
                if 'n' in values:
                    requests[int(values['n'][0])].append(request)
        return requests

    def describe_results(self, calls: list[SentCall]) -> str:
        """Return the counts of results by daemon, for a failed check."""
        counts = collections.Counter(
            f'{sent.daemon_id} {sent.result.status} {sent.result.run} '
            f'{sent.result.reason}'
            for sent in calls
        )
        return json.dumps(counts, indent=1)

    def stop(self) -> None:
        """End the loads, the processes and the listener for counters."""
        for load in self.loads:
            load.is_ended = True
        if self.running_fleet is not None:
            self.running_fleet.stop()
        if self.statsd_listener is not None:
            self.statsd_listener.close()
