"""Runs of calls with an idempotency key at the daemon that owns the key."""

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
    """Partitions of services in the configuration in force."""

    def partition(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry in force, or None if there is none."""


@dataclasses.dataclass(kw_only=True)
class _PendingResult:
    """The result that a request waits for, from the run of its key."""

    done: anyio.Event
    result: call.Result | None = None


class IdempotentRuns:
    """Finds the owner of a key and, at the owner, runs each key at most once.

    A run continues after its caller has disconnected, so that a repeat with
    the same key gets its result.
    """

    def __init__(
        self,
        *,
        owner: idempotency.IdempotencyOwner,
        partitions: PartitionLookup,
    ) -> None:
        """Start without runs; call `start` before `async_run`."""
        self._owner = owner
        self._partitions = partitions
        self._tasks: anyio.abc.TaskGroup | None = None
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of runs in progress."""
        return self._in_flight

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Set the task group in which calls run."""
        self._tasks = tasks

    def owner_of(self, context: call.CallContext) -> ids.DaemonId | None:
        """Return the daemon that owns the key of a call, or None."""
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
        """Return the result for a call's key; run the call if it is new."""
        assert context.idempotency_key is not None
        pending = _PendingResult(done=anyio.Event())

        def finish(result: call.Result) -> None:
            pending.result = result
            pending.done.set()

        verdict = self._owner.begin(
            service=context.service,
            workspace=context.workspace,
            key=context.idempotency_key,
            request_sha256=_hash_request(context, request),
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
        await pending.done.wait()
        assert pending.result is not None
        return call.CallResult(result=pending.result, allowance_left=0)

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
            call_result = await attempts(context, request)
            result = call_result.result
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


def _hash_request(context: call.CallContext, request: call.HttpRequest) -> str:
    digest = hashlib.sha256()
    for part in (context.service, request.method, request.target):
        digest.update(part.encode('utf-8', 'surrogatepass'))
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()
