"""Callers of a soak: send requests and check the responses."""

import asyncio
import dataclasses
import itertools
import random
import time
from typing import Final

from lab.soak import http_caller
from lab.soak import ledger as ledger_module
from lab.soak import machine as machine_module

DEADLINE_S: Final = 2.0
# Mean pause of a worker between requests, in seconds.
THINK_S: Final = 0.08
ROUTES: Final = ('read', 'book', 'moved')
# Clients that hold a body just short of its end, and its size, which is just
# below the limit of the rules. Together they exceed the memory that a daemon
# gives to requests that are being received.
CROWD_CLIENTS: Final = 300
CROWD_BODY_BYTES: Final = 99_000
_METHODS: Final = {'read': 'GET', 'book': 'POST', 'moved': 'GET'}


@dataclasses.dataclass(kw_only=True)
class Keys:
    """Current API key of each workspace; the operator replaces them."""

    in_use: dict[str, str]

    def pick_key(self, random_source: random.Random) -> tuple[str, str]:
        """Return a random workspace and its key."""
        workspace = random_source.choice(sorted(self.in_use))
        return workspace, self.in_use[workspace]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashRequest:
    """A request that crashes each upstream that runs it.

    Attributes:
        after_s: Time that it runs before the crash, in seconds.
        is_inner: Whether an inner call by its upstream causes the crash,
            instead of the request itself.
        varies_query: Whether each send has another query.
    """

    route: str = 'read'
    target: str = '/read/odd'
    body: str = ''
    after_s: float = 0.0
    is_inner: bool = False
    varies_query: bool = False

    @property
    def fields(self) -> str:
        """Return the header field that makes the upstream crash."""
        name = (
            machine_module.INNER_CRASH_FIELD
            if self.is_inner
            else machine_module.CRASH_FIELD
        )
        return f'{name}: {self.after_s}\r\n'


class Callers:
    """Sends requests through the daemons and records each attempt."""

    def __init__(
        self,
        *,
        ledger: ledger_module.Ledger,
        keys: Keys,
        random_source: random.Random,
    ) -> None:
        """Initialize with the ledger, the keys and random numbers."""
        self._ledger = ledger
        self._keys = keys
        self._random = random_source
        self._numbers = itertools.count(1)
        # Withdrawn keys with their workspaces; some requests still use them.
        self.withdrawn: list[tuple[str, str]] = []
        # Whether the workers end after their current request.
        self.is_stopping = False

    async def async_run_worker(self, machine: machine_module.Machine) -> None:
        """Send sequential requests to the daemon of a VM until stopped."""
        caller = http_caller.HttpCaller((machine.host, machine_module.CALLER))
        try:
            while not self.is_stopping:
                await self.async_send(machine, caller)
                await asyncio.sleep(2.0 * THINK_S * self._random.random())
        finally:
            caller.close()

    async def async_send(
        self, machine: machine_module.Machine, caller: http_caller.HttpCaller
    ) -> ledger_module.Attempt:
        """Send a random request and record its outcome."""
        workspace, key = self._keys.pick_key(self._random)
        if self.withdrawn and self._random.random() < 0.1:
            workspace, key = self._random.choice(self.withdrawn)
        route = self._random.choice(ROUTES)
        attempt = self._create_attempt(machine, route, workspace, key)
        body = attempt.attempt_id if route == 'book' else ''
        await self._async_complete(
            attempt, caller, _build_payload(attempt, f'/{route}/1', body)
        )
        return attempt

    async def async_send_crash(
        self, machine: machine_module.Machine, crash: CrashRequest
    ) -> None:
        """Send a request that crashes the upstreams that run it."""
        attempt = self._create_attempt(
            machine, crash.route, 'blue', self._keys.in_use['blue']
        )
        attempt.crashes = True
        target = crash.target
        if crash.varies_query:
            target += f'?attempt={attempt.attempt_id}'
        await self._async_send_on_new_connection(
            attempt, machine, target, crash.body, crash.fields
        )

    async def async_send_unique(self, machine: machine_module.Machine) -> None:
        """Send a request with a unique path."""
        workspace, key = self._keys.pick_key(self._random)
        attempt = self._create_attempt(machine, 'moved', workspace, key)
        await self._async_send_on_new_connection(
            attempt, machine, f'/moved/{attempt.attempt_id}'
        )

    async def _async_send_on_new_connection(
        self,
        attempt: ledger_module.Attempt,
        machine: machine_module.Machine,
        target: str,
        body: str = '',
        fields: str = '',
    ) -> None:
        """Send an attempt on a new connection and close it afterwards."""
        caller = http_caller.HttpCaller((machine.host, machine_module.CALLER))
        try:
            await self._async_complete(
                attempt, caller, _build_payload(attempt, target, body, fields)
            )
        finally:
            caller.close()

    async def async_hold_bodies(
        self, machine: machine_module.Machine, for_s: float
    ) -> None:
        """Send large bodies that stop just short of their end, and hold them.

        Args:
            machine: VM whose daemon gets them.
            for_s: Time in seconds for which the connections stay open.
        """
        _, key = self._keys.pick_key(self._random)
        payload = (
            f'POST /book/1 HTTP/1.1\r\nHost: shop.example\r\n'
            f'Authorization: Token {key}\r\n'
            f'Content-Length: {CROWD_BODY_BYTES}\r\n\r\n'
        ).encode() + bytes(CROWD_BODY_BYTES - 1)
        writers: list[asyncio.StreamWriter] = []
        try:
            for _ in range(CROWD_CLIENTS):
                _, writer = await asyncio.open_connection(
                    machine.host, machine_module.CALLER
                )
                writers.append(writer)
                writer.write(payload)
            await asyncio.sleep(for_s)
        except OSError:
            # The daemon is away.
            return
        finally:
            for writer in writers:
                writer.transport.abort()

    def _create_attempt(
        self,
        machine: machine_module.Machine,
        route: str,
        workspace: str,
        key: str,
    ) -> ledger_module.Attempt:
        attempt = ledger_module.Attempt(
            attempt_id=f'a{next(self._numbers)}',
            machine=machine.name,
            route=route,
            is_safe=route != 'book',
            key=key,
            workspace=workspace,
            caller_service=machine.service,
            sent_at=time.monotonic(),
        )
        self._ledger.attempts[attempt.attempt_id] = attempt
        return attempt

    async def _async_complete(
        self,
        attempt: ledger_module.Attempt,
        caller: http_caller.HttpCaller,
        payload: bytes,
    ) -> None:
        """Send an attempt and record its outcome."""
        try:
            response = await caller.async_call(payload, DEADLINE_S + 0.5)
        except TimeoutError:
            # The caller has stopped waiting, so that the outcome is unknown.
            return
        except ConnectionError:
            attempt.ended_at = time.monotonic()
            return
        attempt.ended_at = time.monotonic()
        attempt.status = response.status
        attempt.problem = _find_problem(attempt, response)


def _build_payload(
    attempt: ledger_module.Attempt,
    target: str,
    body: str = '',
    fields: str = '',
) -> bytes:
    return (
        f'{_METHODS[attempt.route]} {target} HTTP/1.1\r\n'
        'Host: shop.example\r\n'
        f'X-Attempt-Id: {attempt.attempt_id}\r\n'
        f'X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n'
        f'Authorization: Token {attempt.key}\r\nX-Tenant: forged\r\n'
        f'{fields}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


def _find_problem(
    attempt: ledger_module.Attempt, response: http_caller.Response
) -> str:
    """Return what is wrong with a response; empty if nothing is."""
    seal = response.fields.get('x-response-seal')
    if response.status == 200:
        if seal != f's.{attempt.attempt_id}':
            return f'unexpected seal {seal!r}'
        body = response.body.partition(b' ')[2].decode()
        if body != (attempt.attempt_id if attempt.route == 'book' else ''):
            return f'unexpected body {response.body!r}'
    elif response.status in (429, 503):
        if float(response.fields.get('retry-after', '0')) <= 0.0:
            return 'refusal without a positive Retry-After'
    return ''
