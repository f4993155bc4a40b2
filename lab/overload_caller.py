"""Caller process of the overload experiment.

It sends calls at planned moments whether or not earlier ones have ended, and
sends each refused or failed call again within milliseconds.
"""

import pathlib
import random
import time

import anyio
import msgspec
import typer

from lab import client
from lab import overload_plan

# Ends the process if the experiment does not.
_LAST_CALLS_S = overload_plan.MAX_ATTEMPTS * overload_plan.TIMEOUT_S


class CallerProcess:
    """Sends the calls of one plan."""

    def __init__(self, plan: overload_plan.CallerPlan) -> None:
        """Take the plan."""
        self._plan = plan
        self._random = random.Random(plan.seed * 1000 + 500 + plan.number)
        self._idle: dict[tuple[str, str], list[client.Caller]] = {}
        self._offset_s = 0.0

    async def async_run(self) -> overload_plan.CallerResult:
        """Return what the callers saw."""
        originals = overload_plan.originals(self._plan)
        self._offset_s = time.monotonic() + (
            self._plan.start_unix_s - time.time()
        )
        with anyio.move_on_after(overload_plan.total_s() + _LAST_CALLS_S):
            async with anyio.create_task_group() as tasks:
                for original in originals:
                    await anyio.sleep(max(0.0, original.sent_s - self._now()))
                    tasks.start_soon(self._async_original, original)
        return overload_plan.CallerResult(originals=originals)

    def _now(self) -> float:
        return time.monotonic() - self._offset_s

    async def _async_original(self, original: overload_plan.Original) -> None:
        original.late_start_s = self._now() - original.sent_s
        services = self._plan.targets[original.kind]
        for number in range(overload_plan.MAX_ATTEMPTS):
            target = overload_plan.target(
                services, original.importance, f'{original.id}.{number}'
            )
            status = await self._async_attempt(original, target)
            if status == 200:
                return
            delay_s = self._random.uniform(0.0, overload_plan.RESEND_MAX_S)
            await anyio.sleep(delay_s)

    async def _async_attempt(
        self, original: overload_plan.Original, target: str
    ) -> int:
        caller = self._take(original.workspace)
        sent_s = self._now()
        reply = await caller.async_call(
            original.method,
            target,
            headers=[
                (
                    'request-timeout-ms',
                    str(int(overload_plan.TIMEOUT_S * 1000)),
                )
            ],
            timeout_s=overload_plan.TIMEOUT_S,
        )
        elapsed_s = self._now() - sent_s
        original.attempts.append(
            (sent_s, elapsed_s, reply.status, reply.reason or _reason(reply))
        )
        self._idle[(caller.address, original.workspace)].append(caller)
        return reply.status

    def _take(self, workspace: str) -> client.Caller:
        address = self._random.choice(self._plan.addresses)
        idle = self._idle.setdefault((address, workspace), [])
        if idle:
            return idle.pop()
        return client.Caller(address, key=overload_plan.key(workspace))


def _reason(reply: client.Reply) -> str:
    """Return the reason that an upstream passed on from its child call."""
    if reply.status == 200:
        return ''
    if not reply.is_whole:
        return 'no answer in time'
    _, _, after = reply.body.partition(b'"reason":"')
    name = after.partition(b'"')[0].decode()
    return f'child: {name}' if name else f'status {reply.status}'


def main(plan: str, output: pathlib.Path) -> None:
    """Send the calls of a plan in JSON and write what happened."""
    parsed = msgspec.json.decode(plan, type=overload_plan.CallerPlan)
    result = anyio.run(
        CallerProcess(parsed).async_run,
        backend_options={'use_uvloop': True},
    )
    output.write_bytes(msgspec.json.encode(result))


if __name__ == '__main__':
    typer.run(main)
