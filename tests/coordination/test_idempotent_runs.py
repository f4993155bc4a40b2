"""Tests of runs of calls with an idempotency key at the key's owner."""

import typing

import anyio
import pytest

from sassafraswood.coordination import idempotency
from sassafraswood.coordination import idempotent_runs
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids

ANSWER = call.Answer(status=200, headers=[], body=b'whole')
REQUEST = call.HttpRequest(method='POST', target='/a', headers=[], body=b'')

pytestmark = pytest.mark.anyio


class _Owner:
    """An owner that runs each key once; repeats wait or get the result."""

    def __init__(self) -> None:
        self.results: dict[str, call.Result | None] = {}
        self.waiters: list[typing.Callable[[call.Result], None]] = []

    def begin(
        self,
        *,
        key: str,
        on_done: typing.Callable[[call.Result], None],
        **unused: object,
    ) -> idempotency.IdempotencyVerdict:
        del unused
        if key not in self.results:
            self.results[key] = None
            return _verdict(idempotency.IdempotencyAction.RUN)
        if self.results[key] is None:
            self.waiters.append(on_done)
            return _verdict(idempotency.IdempotencyAction.WAIT)
        return idempotency.IdempotencyVerdict(
            action=idempotency.IdempotencyAction.DONE,
            result=self.results[key],
        )

    def finish(
        self, *, key: str, result: call.Result, **unused: object
    ) -> None:
        del unused
        self.results[key] = result
        for on_done in self.waiters:
            on_done(result)


def _verdict(
    action: idempotency.IdempotencyAction,
) -> idempotency.IdempotencyVerdict:
    return idempotency.IdempotencyVerdict(action=action)


def _context() -> call.CallContext:
    return call.CallContext(
        call_id=ids.CallId('c'),
        root_id='c',
        service=ids.ServiceName('orders'),
        workspace=ids.Workspace('w'),
        key_id=ids.KeyId('k'),
        importance=enums.Importance.NORMAL,
        remaining_s=5.0,
        allowance=2,
        depth=1,
        idempotent=False,
        fingerprint=ids.Fingerprint('f'),
        idempotency_key='key',
    )


class _Bench:
    """Runs whose attempts end when the test releases them."""

    def __init__(self) -> None:
        self.owner = _Owner()
        self.runs = idempotent_runs.IdempotentRuns(
            owner=self.owner,  # type: ignore[arg-type]
            partitions=None,  # type: ignore[arg-type]
        )
        self.attempts = 0
        self.release = anyio.Event()
        self.results: list[call.Result] = []

    async def async_attempt(
        self, context: call.CallContext, request: call.HttpRequest
    ) -> call.CallResult:
        """Count an attempt and end it when released."""
        del context, request
        self.attempts += 1
        await self.release.wait()
        return call.CallResult(result=ANSWER, allowance_left=0)

    async def async_call(self) -> None:
        """Send the key once and keep the result."""
        call_result = await self.runs.async_run(
            _context(), REQUEST, self.async_attempt
        )
        self.results.append(call_result.result)


async def _async_run_other_tasks() -> None:
    for _ in range(10):
        await anyio.lowlevel.checkpoint()


async def test_repeats_share_one_run() -> None:
    """Guards against a second run for a repeated request."""
    bench = _Bench()
    async with anyio.create_task_group() as tasks:
        bench.runs.start(tasks)
        for _ in range(3):
            tasks.start_soon(bench.async_call)
        await _async_run_other_tasks()
        bench.release.set()
    assert bench.attempts == 1
    assert bench.results == [ANSWER] * 3


async def test_run_continues_when_its_caller_disconnects() -> None:
    """Guards against a run that ends with its caller's connection.

    A planned stop waits for runs, so the run also stays in flight.
    """
    bench = _Bench()
    async with anyio.create_task_group() as tasks:
        bench.runs.start(tasks)
        with anyio.CancelScope() as caller:
            tasks.start_soon(_async_cancel_soon, caller)
            await bench.async_call()
        assert bench.runs.in_flight == 1
        bench.release.set()
        await _async_run_other_tasks()
        assert bench.runs.in_flight == 0
        await bench.async_call()
    assert bench.attempts == 1
    assert bench.results == [ANSWER]


async def _async_cancel_soon(scope: anyio.CancelScope) -> None:
    await _async_run_other_tasks()
    scope.cancel()
