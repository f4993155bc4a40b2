"""Runs calls with an idempotency key at the owner of the key."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import typing

import anyio
import anyio.abc

from sassafraswood.coordination import idempotency
from sassafraswood.coordination import placement
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records

Attempts = Callable[
    [call.CallContext, call.HttpRequest], Awaitable[call.CallResult]
]


class PartitionLookup(typing.Protocol):
    """Partitions as the configuration knows them."""

    def partition(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry in force."""


@dataclasses.dataclass(kw_only=True)
class _Waiting:
    """A request that waits for the run of its key."""

    done: anyio.Event
    result: call.Result | None = None


class IdempotentRuns:
    """Finds the owner of a key and, there, runs each key at most once.

    A run goes on when the caller that began it has left, because a repeat
    with the same key is to get its answer.
    """

    def __init__(
        self,
        *,
        owner: idempotency.IdempotencyOwner,
        partitions: PartitionLookup,
    ) -> None:
        """Take the owner's table and the partitions."""
        self._owner = owner
        self._partitions = partitions
        self._tasks: anyio.abc.TaskGroup | None = None
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of runs that have not ended."""
        return self._in_flight

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run further calls in a task group."""
        self._tasks = tasks

    def owner_of(self, context: call.CallContext) -> ids.DaemonId | None:
        """Return the daemon that owns the key of a call."""
        assert context.idempotency_key is not None
        partition = placement.partition_of_key(context.idempotency_key)
        entry = self._partitions.partition(context.service, partition)
        if entry is None or entry.released:
            return None
        return entry.owner.daemon_id

    async def async_run(
        self,
        context: call.CallContext,
        request: call.HttpRequest,
        attempts: Attempts,
    ) -> call.CallResult:
        """Return the result of the key of a call, running it if it is new."""
        assert context.idempotency_key is not None
        waiting = _Waiting(done=anyio.Event())

        def finish(result: call.Result) -> None:
            waiting.result = result
            waiting.done.set()

        verdict = self._owner.begin(
            service=context.service,
            workspace=context.workspace,
            key=context.idempotency_key,
            request_sha256=_hash(context, request),
            on_done=finish,
        )
        if verdict.action is idempotency.IdempotencyAction.DONE:
            assert verdict.result is not None
            return call.CallResult(
                result=verdict.result, allowance_left=context.allowance
            )
        if verdict.action is idempotency.IdempotencyAction.RUN:
            assert self._tasks is not None
            self._in_flight += 1
            self._tasks.start_soon(
                self._async_run, context, request, attempts, finish
            )
        await waiting.done.wait()
        assert waiting.result is not None
        return call.CallResult(result=waiting.result, allowance_left=0)

    async def _async_run(
        self,
        context: call.CallContext,
        request: call.HttpRequest,
        attempts: Attempts,
        finish: Callable[[call.Result], None],
    ) -> None:
        result: call.Result = call.Refusal(
            reason=enums.RefusalReason.CANCELLED,
            outcome=enums.Outcome.UNKNOWN,
        )
        try:
            ended = await attempts(context, request)
            result = ended.result
        finally:
            self._in_flight -= 1
            assert context.idempotency_key is not None
            self._owner.finish(
                service=context.service,
                workspace=context.workspace,
                key=context.idempotency_key,
                result=result,
            )
            finish(result)


def _hash(context: call.CallContext, request: call.HttpRequest) -> str:
    digest = hashlib.sha256()
    for part in (context.service, request.method, request.target):
        digest.update(part.encode('utf-8', 'surrogatepass'))
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()
