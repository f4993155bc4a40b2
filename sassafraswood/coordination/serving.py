"""Serves calls with the upstream beside this daemon."""

import collections
from collections.abc import Callable
import dataclasses
import typing

import anyio

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import admission as admission_module
from sassafraswood.coordination import authorization
from sassafraswood.coordination import call_tokens
from sassafraswood.coordination import configuration as configuration_module
from sassafraswood.coordination import quarantine as quarantine_module
from sassafraswood.coordination import retry
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages

# A process that ends closes its sockets one after the other, so its listener
# may accept connections for some milliseconds after the others are closed.
_CRASH_PROBE_DELAYS_S: typing.Final = (0.0, 0.02, 0.1)


class UpstreamPort(typing.Protocol):
    """The upstream beside this daemon."""

    async def async_send(
        self, request: call.HttpRequest, *, max_body_bytes: int
    ) -> call.Answer:
        """Return the whole answer or raise UpstreamError."""

    async def async_probe(self) -> bool:
        """Return whether the upstream accepts a new connection."""


@dataclasses.dataclass(kw_only=True)
class _Run:
    """A call that this daemon serves now."""

    context: call.CallContext
    scope: anyio.CancelScope
    deadline: float
    ticket: admission_module.Ticket | None = None
    refusal: call.Refusal | None = None
    started: anyio.Event | None = None
    is_sent: bool = False
    is_cancelled: bool = False


class Serving:
    """Admits calls, runs them at the upstream and proves what was not run.

    A call id that was cancelled before it arrived is refused when it comes,
    so that the answer "not run" to the cancellation stays true.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        admission: admission_module.Admission,
        quarantine: quarantine_module.Quarantine,
        tokens: call_tokens.CallTokens,
        authorization: authorization.Authorization,
        configuration: configuration_module.Configuration,
        upstream: UpstreamPort,
        on_unreachable: Callable[[], None],
        on_lone_success: Callable[[ids.Fingerprint], None],
    ) -> None:
        """Take the parts that decide about a call.

        Args:
            on_unreachable: Called when the upstream refuses connections.
        """
        self._clock = clock
        self._admission = admission
        self._quarantine = quarantine
        self._tokens = tokens
        self._authorization = authorization
        self._configuration = configuration
        self._upstream = upstream
        self._on_lone_success = on_lone_success
        self._on_unreachable = on_unreachable
        self._runs: dict[ids.CallId, _Run] = {}
        self._ended: collections.OrderedDict[
            ids.CallId, tuple[float, enums.CancelState]
        ] = collections.OrderedDict()
        # Calls whose connection broke, with the time.
        self._broken: collections.deque[tuple[float, ids.Fingerprint]] = (
            collections.deque(maxlen=const.MAX_SUSPECTS)
        )
        self._is_stopping = False

    @property
    def in_flight(self) -> int:
        """Return the number of calls that wait or run."""
        return len(self._runs)

    def hint(self) -> messages.AdmissionHint:
        """Return the load of the upstream."""
        return self._admission.hint()

    def take_crash_suspects(self) -> list[ids.Fingerprint]:
        """Return what the upstream ran when it crashed, once per crash.

        These are the calls in flight and those whose connection broke a
        moment ago. Each call that broke sees the same crash, so asking
        again gives nothing.
        """
        limit = self._clock.monotonic() - const.CRASH_WINDOW_S
        suspects = [
            fingerprint for at, fingerprint in self._broken if at >= limit
        ]
        suspects += [
            run.context.fingerprint
            for run in self._runs.values()
            if run.is_sent
        ]
        self._broken.clear()
        return suspects

    def stop(self) -> None:
        """Refuse new calls; those that wait or run go on."""
        self._is_stopping = True

    def cancel(self, call_id: ids.CallId) -> enums.CancelState:
        """End a call and return what is known about its run."""
        run = self._runs.get(call_id)
        if run is None:
            ended = self._ended.get(call_id)
            if ended is not None:
                return ended[1]
            self._remember(call_id, enums.CancelState.NOT_RUN)
            return enums.CancelState.NOT_RUN
        run.is_cancelled = True
        run.scope.cancel()
        if run.is_sent:
            return enums.CancelState.CANCELLED_UNKNOWN
        return enums.CancelState.NOT_RUN

    async def async_run(
        self, context: call.CallContext, request: call.HttpRequest
    ) -> call.CallResult:
        """Run a call at the upstream and return its end."""
        refusal = self._check(context)
        if refusal is not None:
            return _unused(refusal, context)
        scope = anyio.CancelScope()
        deadline = self._clock.monotonic() + context.remaining_s
        run = _Run(context=context, scope=scope, deadline=deadline)
        self._runs[context.call_id] = run
        result: call.CallResult | None = None
        try:
            with scope:
                result = await self._async_run(run, request)
        finally:
            del self._runs[context.call_id]
            self._remember(context.call_id, _end_state(run, result))
        if result is None:
            return _unused(_cancelled(run), context)
        return result

    def tick(self) -> None:
        """Forget calls that ended CALL_ID_MEMORY_S ago, every second."""
        limit = self._clock.monotonic() - const.CALL_ID_MEMORY_S
        while self._ended:
            call_id, (ended_at, _) = next(iter(self._ended.items()))
            if ended_at > limit:
                return
            del self._ended[call_id]

    def _check(self, context: call.CallContext) -> call.Refusal | None:
        if context.call_id in self._ended or context.call_id in self._runs:
            return _not_run(enums.RefusalReason.CANCELLED)
        if self._is_stopping:
            return _not_run(enums.RefusalReason.DRAINING)
        if context.remaining_s <= 0:
            return _not_run(enums.RefusalReason.DEADLINE_UNREACHABLE)
        refusal = self._quarantine.check(context.fingerprint)
        if refusal is not None:
            return refusal
        return self._authorization.recheck(context)

    async def _async_run(
        self, run: _Run, request: call.HttpRequest
    ) -> call.CallResult:
        refusal = await self._async_admit(run)
        if refusal is None:
            # The key may have been withdrawn while the call was queued.
            refusal = self._authorization.recheck(run.context)
            if refusal is not None:
                self._finish(run, admission_module.ServiceOutcome.CANCELLED)
        if refusal is not None:
            return _unused(refusal, run.context)
        return await self._async_serve(run, request)

    async def _async_admit(self, run: _Run) -> call.Refusal | None:
        def start() -> None:
            if run.started is not None:
                run.started.set()

        def refuse(refusal: call.Refusal) -> None:
            run.refusal = refusal
            if run.started is not None:
                run.started.set()

        ticket = self._admission.submit(
            self._admission_request(run), start, refuse
        )
        run.ticket = ticket
        if ticket.state is admission_module.TicketState.QUEUED:
            run.started = anyio.Event()
            try:
                await run.started.wait()
            except anyio.get_cancelled_exc_class():
                self._admission.cancel(ticket)
                raise
        return run.refusal

    def _admission_request(
        self, run: _Run
    ) -> admission_module.AdmissionRequest:
        context = run.context
        entry = self._configuration.document(context.service)
        weight = 1.0
        if entry is not None and context.workspace is not None:
            workspace = entry.document.workspaces.get(context.workspace)
            weight = workspace.weight if workspace else 1.0
        return admission_module.AdmissionRequest(
            call_id=context.call_id,
            workspace=context.workspace,
            weight=weight,
            importance=context.importance,
            deadline=run.deadline,
            route=context.route,
            run_alone=self._quarantine.is_suspect(context.fingerprint),
        )

    async def _async_serve(
        self, run: _Run, request: call.HttpRequest
    ) -> call.CallResult:
        context = run.context
        allowance = retry.RetryAllowance(context.allowance)
        remaining_s = run.deadline - self._clock.monotonic()
        try:
            token = self._tokens.issue(
                call.with_remaining(context, remaining_s), allowance
            )
        except exceptions.CallTableFullError:
            self._finish(run, admission_module.ServiceOutcome.CANCELLED)
            return _unused(_not_run(enums.RefusalReason.OVERLOADED), context)
        outcome = admission_module.ServiceOutcome.CANCELLED
        try:
            with anyio.fail_after(self._longest_s(run)):
                run.is_sent = True
                answer = await self._upstream.async_send(
                    _with_call_headers(request, token, remaining_s),
                    max_body_bytes=self._max_body_bytes(context.service),
                )
            result, outcome = _judge(answer, token)
        except TimeoutError:
            outcome = admission_module.ServiceOutcome.TIMED_OUT
            result = call.Refusal(
                reason=enums.RefusalReason.DEADLINE_EXCEEDED,
                outcome=enums.Outcome.UNKNOWN,
            )
        except exceptions.UpstreamError as error:
            outcome = admission_module.ServiceOutcome.BROKEN
            run.is_sent = error.outcome is not enums.Outcome.NOT_RUN
            result = call.Refusal(reason=error.reason, outcome=error.outcome)
            await self._async_check_crash(run, error)
        finally:
            self._tokens.revoke(token)
            self._finish(run, outcome)
        if isinstance(result, call.Refusal):
            if result.outcome is enums.Outcome.NOT_RUN:
                run.is_sent = False
        elif self._quarantine.is_suspect(context.fingerprint):
            self._on_lone_success(context.fingerprint)
        return call.CallResult(result=result, allowance_left=allowance.left)

    async def _async_check_crash(
        self, run: _Run, error: exceptions.UpstreamError
    ) -> None:
        if error.reason is enums.RefusalReason.UPSTREAM_UNREACHABLE:
            self._on_unreachable()
            return
        broken = (
            enums.RefusalReason.UPSTREAM_BROKE,
            enums.RefusalReason.ANSWER_TRUNCATED,
        )
        if error.reason not in broken:
            return
        self._broken.append((self._clock.monotonic(), run.context.fingerprint))
        # A caller that leaves now must not keep the crash from being noted.
        with anyio.CancelScope(shield=True):
            if await self._async_is_gone():
                self._on_unreachable()

    async def _async_is_gone(self) -> bool:
        """Return whether the upstream stops accepting connections."""
        for delay_s in _CRASH_PROBE_DELAYS_S:
            await anyio.sleep(delay_s)
            if not await self._upstream.async_probe():
                return True
        return False

    def _finish(
        self, run: _Run, outcome: admission_module.ServiceOutcome
    ) -> None:
        if run.ticket is not None:
            self._admission.finish(run.ticket, outcome)

    def _longest_s(self, run: _Run) -> float:
        """Return the seconds that the call may run at the upstream.

        A call that runs alone ends earlier, because it stops the others.
        """
        run_deadline = run.deadline
        if run.ticket is not None:
            run_deadline = min(run_deadline, run.ticket.run_deadline)
        return run_deadline - self._clock.monotonic()

    def _max_body_bytes(self, service: ids.ServiceName) -> int:
        entry = self._configuration.document(service)
        if entry is None:
            return const.MAX_BODY_BYTES
        return entry.document.max_body_bytes

    def _remember(self, call_id: ids.CallId, state: enums.CancelState) -> None:
        self._ended[call_id] = (self._clock.monotonic(), state)


def _unused(
    refusal: call.Refusal, context: call.CallContext
) -> call.CallResult:
    return call.CallResult(result=refusal, allowance_left=context.allowance)


def _not_run(reason: enums.RefusalReason) -> call.Refusal:
    return call.Refusal(reason=reason, outcome=enums.Outcome.NOT_RUN)


def _cancelled(run: _Run) -> call.Refusal:
    outcome = enums.Outcome.UNKNOWN if run.is_sent else enums.Outcome.NOT_RUN
    return call.Refusal(reason=enums.RefusalReason.CANCELLED, outcome=outcome)


def _end_state(run: _Run, result: call.CallResult | None) -> enums.CancelState:
    if run.is_sent:
        return enums.CancelState.CANCELLED_UNKNOWN
    if result is None or isinstance(result.result, call.Refusal):
        return enums.CancelState.NOT_RUN
    return enums.CancelState.CANCELLED_UNKNOWN


def _with_call_headers(
    request: call.HttpRequest, token: ids.CallToken, remaining_s: float
) -> call.HttpRequest:
    timeout_ms = str(max(1, int(remaining_s * 1000)))
    return call.HttpRequest(
        method=request.method,
        target=request.target,
        headers=[
            *request.headers,
            (const.HEADER_CALL_TOKEN, token),
            (const.HEADER_TIMEOUT_MS, timeout_ms),
        ],
        body=request.body,
    )


def _judge(
    answer: call.Answer, token: ids.CallToken
) -> tuple[call.Result, admission_module.ServiceOutcome]:
    """Return the result for an answer that may be a refusal.

    An upstream that sheds proves with the token of the call that it did not
    run it. A run header alone may come from a child call whose answer it
    passes on, so it proves nothing.
    """
    if answer.status in (429, 503):
        if dict(answer.headers).get(const.HEADER_NOT_RUN) != token:
            return answer, admission_module.ServiceOutcome.SHED
        refusal = call.Refusal(
            reason=enums.RefusalReason.UPSTREAM_SHED,
            outcome=enums.Outcome.NOT_RUN,
            shed=True,
        )
        return refusal, admission_module.ServiceOutcome.SHED
    if answer.status >= 500:
        return answer, admission_module.ServiceOutcome.FAILED
    return answer, admission_module.ServiceOutcome.COMPLETED
