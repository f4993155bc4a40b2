"""Caller process of the overload experiment.

It sends calls at their planned times whether or not earlier ones have ended
(open loop), and retries each refused or failed call within milliseconds.
"""

import pathlib
import random
import time

import anyio
import msgspec
import typer

from lab import client
from lab import overload_plan

# Longest time for all attempts of a call, without the delays between them.
# Together with the length of the phases, it limits the run of the process,
# counted from the start of async_run, which comes before the warm-up.
_FINISH_TIMEOUT_S = overload_plan.MAX_ATTEMPTS * overload_plan.TIMEOUT_S


class CallerProcess:
    """Sends the calls of one plan."""

    def __init__(self, plan: overload_plan.CallerPlan) -> None:
        """Initialize with a plan; nothing is sent yet."""
        self._plan = plan
        self._random = random.Random(plan.seed * 1000 + 500 + plan.number)
        self._idle_callers: dict[tuple[str, str], list[client.Caller]] = {}
        self._start_monotonic_s = 0.0

    async def async_run(self) -> overload_plan.CallerResult:
        """Send the calls and return them with their attempts."""
        calls = overload_plan.generate_calls(self._plan)
        self._start_monotonic_s = time.monotonic() + (
            self._plan.start_unix_s - time.time()
        )
        with anyio.move_on_after(
            overload_plan.total_duration_s() + _FINISH_TIMEOUT_S
        ):
            async with anyio.create_task_group() as tasks:
                for call in calls:
                    await anyio.sleep(max(0.0, call.sent_s - self._now_s()))
                    tasks.start_soon(self._async_send_call, call)
        return overload_plan.CallerResult(originals=calls)

    def _now_s(self) -> float:
        return time.monotonic() - self._start_monotonic_s

    async def _async_send_call(self, call: overload_plan.OriginalCall) -> None:
        call.late_start_s = self._now_s() - call.sent_s
        services = self._plan.targets[call.kind]
        for attempt_number in range(overload_plan.MAX_ATTEMPTS):
            target = overload_plan.build_target(
                services, call.importance, f'{call.id}.{attempt_number}'
            )
            status = await self._async_send_attempt(call, target)
            if status == 200:
                return
            delay_s = self._random.uniform(
                0.0, overload_plan.RETRY_DELAY_MAX_S
            )
            await anyio.sleep(delay_s)

    async def _async_send_attempt(
        self, call: overload_plan.OriginalCall, target: str
    ) -> int:
        caller = self._take_caller(call.workspace)
        sent_s = self._now_s()
        reply = await caller.async_call(
            call.method,
            target,
            headers=[
                (
                    'request-timeout-ms',
                    str(int(overload_plan.TIMEOUT_S * 1000)),
                )
            ],
            timeout_s=overload_plan.TIMEOUT_S,
        )
        elapsed_s = self._now_s() - sent_s
        call.attempts.append(
            (
                sent_s,
                elapsed_s,
                reply.status,
                reply.reason or _child_reason(reply),
            )
        )
        self._idle_callers[(caller.address, call.workspace)].append(caller)
        return reply.status

    def _take_caller(self, workspace: str) -> client.Caller:
        address = self._random.choice(self._plan.addresses)
        idle_callers = self._idle_callers.setdefault((address, workspace), [])
        if idle_callers:
            return idle_callers.pop()
        return client.Caller(address, key=overload_plan.api_key(workspace))


def _child_reason(reply: client.Reply) -> str:
    """Return why an attempt failed that its daemon did not refuse.

    An upstream includes the refusal reason of its child call in its response.
    """
    if reply.status == 200:
        return ''
    if not reply.is_complete:
        return 'no answer in time'
    _, _, after = reply.body.partition(b'"reason":"')
    name = after.partition(b'"')[0].decode()
    return f'child: {name}' if name else f'status {reply.status}'


def main(plan: str, output: pathlib.Path) -> None:
    """Send the calls of a plan and write them with their attempts.

    Args:
        plan: CallerPlan as JSON.
        output: File for the CallerResult as JSON.
    """
    caller_plan = msgspec.json.decode(plan, type=overload_plan.CallerPlan)
    result = anyio.run(
        CallerProcess(caller_plan).async_run,
        backend_options={'use_uvloop': True},
    )
    output.write_bytes(msgspec.json.encode(result))


if __name__ == '__main__':
    typer.run(main)
