"""Callers of a soak: what they send, and what they think of the answers."""

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
# Pause of a worker between requests, in seconds.
THINK_S: Final = 0.08
ROUTES: Final = ('read', 'book', 'moved')
_METHODS: Final = {'read': 'GET', 'book': 'POST', 'moved': 'GET'}


@dataclasses.dataclass(kw_only=True)
class Keys:
    """Keys that callers use, by workspace; the operator changes them."""

    in_use: dict[str, str]

    def pick(self, source: random.Random) -> tuple[str, str]:
        """Return a workspace and its key."""
        workspace = source.choice(sorted(self.in_use))
        return workspace, self.in_use[workspace]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashRequest:
    """A request that crashes each upstream that runs it.

    Attributes:
        after_s: How long it runs until the crash, in seconds.
        is_inner: Whether a call that it leads to crashes what runs it.
    """

    route: str = 'read'
    target: str = '/read/odd'
    body: str = ''
    after_s: float = 0.0
    is_inner: bool = False

    @property
    def fields(self) -> str:
        """Return the header fields that tell the upstream what to do."""
        name = (
            machine_module.INNER_CRASH_FIELD
            if self.is_inner
            else machine_module.CRASH_FIELD
        )
        return f'{name}: {self.after_s}\r\n'


class Callers:
    """Workers on each VM that send until they are cancelled."""

    def __init__(
        self,
        *,
        ledger: ledger_module.Ledger,
        keys: Keys,
        source: random.Random,
    ) -> None:
        """Take where to note what is sent."""
        self._ledger = ledger
        self._keys = keys
        self._source = source
        self._numbers = itertools.count(1)
        # Workspace and key of requests with a key that was withdrawn.
        self.withdrawn: list[tuple[str, str]] = []

    async def async_work(self, machine: machine_module.Machine) -> None:
        """Send one request after the other to the daemon of a VM."""
        caller = http_caller.HttpCaller((machine.host, machine_module.CALLER))
        try:
            while True:
                await self.async_send(machine, caller)
                await asyncio.sleep(2.0 * THINK_S * self._source.random())
        finally:
            caller.close()

    async def async_send(
        self, machine: machine_module.Machine, caller: http_caller.HttpCaller
    ) -> ledger_module.Attempt:
        """Send a request and note its end."""
        workspace, key = self._keys.pick(self._source)
        if self.withdrawn and self._source.random() < 0.1:
            workspace, key = self._source.choice(self.withdrawn)
        route = self._source.choice(ROUTES)
        attempt = self._attempt(machine, route, workspace, key)
        body = attempt.attempt_id if route == 'book' else ''
        await self._async_finish(
            attempt, caller, _payload(attempt, f'/{route}/1', body)
        )
        return attempt

    async def async_send_crash(
        self, machine: machine_module.Machine, crash: CrashRequest
    ) -> None:
        """Send a request that crashes the upstreams that run it."""
        attempt = self._attempt(
            machine, crash.route, 'blue', self._keys.in_use['blue']
        )
        attempt.crashes = True
        await self._async_send_alone(
            attempt, machine, crash.target, crash.body, crash.fields
        )

    async def async_send_single(self, machine: machine_module.Machine) -> None:
        """Send a request whose path no other one has."""
        workspace, key = self._keys.pick(self._source)
        attempt = self._attempt(machine, 'moved', workspace, key)
        await self._async_send_alone(
            attempt, machine, f'/moved/{attempt.attempt_id}'
        )

    async def _async_send_alone(
        self,
        attempt: ledger_module.Attempt,
        machine: machine_module.Machine,
        target: str,
        body: str = '',
        fields: str = '',
    ) -> None:
        """Send an attempt on a connection of its own."""
        caller = http_caller.HttpCaller((machine.host, machine_module.CALLER))
        try:
            await self._async_finish(
                attempt, caller, _payload(attempt, target, body, fields)
            )
        finally:
            caller.close()

    def _attempt(
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

    async def _async_finish(
        self,
        attempt: ledger_module.Attempt,
        caller: http_caller.HttpCaller,
        payload: bytes,
    ) -> None:
        """Send an attempt and note its end."""
        try:
            answer = await caller.async_call(payload, DEADLINE_S + 0.5)
        except TimeoutError:
            # The caller has stopped waiting; what follows is not its matter.
            return
        except ConnectionError:
            attempt.ended_at = time.monotonic()
            return
        attempt.ended_at = time.monotonic()
        attempt.status = answer.status
        attempt.problem = _find_problem(attempt, answer)


def _payload(
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
    attempt: ledger_module.Attempt, answer: http_caller.Answer
) -> str:
    """Return what is wrong with an answer; empty if nothing is."""
    seal = answer.fields.get('x-response-seal')
    if answer.status == 200:
        if seal != f's.{attempt.attempt_id}':
            return f'seal {seal!r}'
        body = answer.body.partition(b' ')[2].decode()
        if body != (attempt.attempt_id if attempt.route == 'book' else ''):
            return f'body {answer.body!r}'
    elif answer.status in (429, 503):
        if float(answer.fields.get('retry-after', '0')) <= 0.0:
            return 'refused without a time to come back'
    return ''
