"""Serves calls at the upstream beside this daemon."""

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
# may accept connections for some milliseconds after the other sockets closed.
_CRASH_PROBE_DELAYS_S: typing.Final = (0.0, 0.02, 0.1)


class UpstreamPort(typing.Protocol):
    """The upstream beside this daemon."""

    async def async_send(
        self, request: call.HttpRequest, *, max_body_bytes: int
    ) -> call.Answer:
        """Return the whole answer.

        Raises:
            UpstreamError: The upstream did not send a whole answer.
        """

    async def async_probe(self) -> bool:
        """Return whether the upstream accepts a new connection."""


@dataclasses.dataclass(kw_only=True)
class _ServedCall:
    """A call that waits for admission or runs at the upstream.

    Attributes:
        deadline: Monotonic time in seconds.
        refusal: Refusal by the admission.
        decided: Set when a queued call is started or refused.
        is_sent: Whether the upstream may have received the call.
    """

    context: call.CallContext
    scope: anyio.CancelScope
    deadline: float
    ticket: admission_module.Ticket | None = None
    refusal: call.Refusal | None = None
    decided: anyio.Event | None = None
    is_sent: bool = False
    is_cancelled: bool = False


class Serving:
    """Admits calls, runs them at the upstream and reports their outcome.

    A call whose id was cancelled before the call arrived is refused on
    arrival, so that the reply "not run" to the cancellation stays true.
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
        on_isolated_success: Callable[[ids.Fingerprint], None],
    ) -> None:
        """Start with the components that decide about a call.

        Args:
            on_unreachable: Called when the upstream refuses connections.
            on_isolated_success: Called with the fingerprint of a suspect that
                ran alone and returned an answer.
        """
        self._clock = clock
        self._admission = admission
        self._quarantine = quarantine
        self._tokens = tokens
        self._authorization = authorization
        self._configuration = configuration
        self._upstream = upstream
        self._on_isolated_success = on_isolated_success
        self._on_unreachable = on_unreachable
        self._calls: dict[ids.CallId, _ServedCall] = {}
        self._ended_calls: collections.OrderedDict[
            ids.CallId, tuple[float, enums.CancelState]
        ] = collections.OrderedDict()
        # Monotonic times and fingerprints of calls whose connection broke.
        self._broken_calls: collections.deque[
            tuple[float, ids.Fingerprint]
        ] = collections.deque(maxlen=const.MAX_SUSPECTS)
        self._is_stopping = False

    @property
    def in_flight(self) -> int:
        """Return the number of calls that wait for admission or run."""
        return len(self._calls)

    def hint(self) -> messages.AdmissionHint:
        """Return the load hint of the upstream for other daemons."""
        return self._admission.hint()

    def take_crash_suspects(self) -> list[ids.Fingerprint]:
        """Return the fingerprints of the calls that a crash interrupted.

        These are the calls in flight and those whose connection broke in
        the last const.CRASH_WINDOW_S. Each broken call detects the same
        crash, so the broken calls are returned only once.
        """
        oldest_at = self._clock.monotonic() - const.CRASH_WINDOW_S
        suspects = [
            fingerprint
            for at, fingerprint in self._broken_calls
            if at >= oldest_at
        ]
        suspects += [
            served_call.context.fingerprint
            for served_call in self._calls.values()
            if served_call.is_sent
        ]
        self._broken_calls.clear()
        return suspects

    def stop(self) -> None:
        """Refuse new calls; calls that wait or run continue."""
        self._is_stopping = True

    def cancel(self, call_id: ids.CallId) -> enums.CancelState:
        """Cancel a call and return whether it may have run."""
        served_call = self._calls.get(call_id)
        if served_call is None:
            ended = self._ended_calls.get(call_id)
            if ended is not None:
                return ended[1]
            self._remember_end(call_id, enums.CancelState.NOT_RUN)
            return enums.CancelState.NOT_RUN
        served_call.is_cancelled = True
        served_call.scope.cancel()
        if served_call.is_sent:
            return enums.CancelState.CANCELLED_UNKNOWN
        return enums.CancelState.NOT_RUN

    async def async_run(
        self, context: call.CallContext, request: call.HttpRequest
    ) -> call.CallResult:
        """Run a call at the upstream and return its result."""
        refusal = self._check_call(context)
        if refusal is not None:
            return _refused_result(refusal, context)
        scope = anyio.CancelScope()
        deadline = self._clock.monotonic() + context.remaining_s
        served_call = _ServedCall(
            context=context, scope=scope, deadline=deadline
        )
        self._calls[context.call_id] = served_call
        result: call.CallResult | None = None
        try:
            with scope:
                result = await self._async_admit_and_run(served_call, request)
        finally:
            del self._calls[context.call_id]
            self._remember_end(
                context.call_id, _cancel_state(served_call, result)
            )
        if result is None:
            return _refused_result(_cancelled_refusal(served_call), context)
        return result

    def tick(self) -> None:
        """Remove calls that ended const.CALL_ID_RETENTION_S ago.

        Called every second.
        """
        oldest_at = self._clock.monotonic() - const.CALL_ID_RETENTION_S
        while self._ended_calls:
            call_id, (ended_at, _) = next(iter(self._ended_calls.items()))
            if ended_at > oldest_at:
                return
            del self._ended_calls[call_id]

    def _check_call(self, context: call.CallContext) -> call.Refusal | None:
        if (
            context.call_id in self._ended_calls
            or context.call_id in self._calls
        ):
            return _not_run(enums.RefusalReason.CANCELLED)
        if self._is_stopping:
            return _not_run(enums.RefusalReason.DRAINING)
        if context.remaining_s <= 0:
            return _not_run(enums.RefusalReason.DEADLINE_UNREACHABLE)
        refusal = self._quarantine.check(context.fingerprint)
        if refusal is not None:
            return refusal
        return self._authorization.recheck(context)

    async def _async_admit_and_run(
        self, served_call: _ServedCall, request: call.HttpRequest
    ) -> call.CallResult:
        refusal = await self._async_admit(served_call)
        if refusal is None:
            # The key may have been withdrawn while the call was queued.
            refusal = self._authorization.recheck(served_call.context)
            if refusal is not None:
                self._finish(
                    served_call, admission_module.ServiceOutcome.CANCELLED
                )
        if refusal is not None:
            return _refused_result(refusal, served_call.context)
        return await self._async_run_at_upstream(served_call, request)

    async def _async_admit(
        self, served_call: _ServedCall
    ) -> call.Refusal | None:
        def start() -> None:
            if served_call.decided is not None:
                served_call.decided.set()

        def refuse(refusal: call.Refusal) -> None:
            served_call.refusal = refusal
            if served_call.decided is not None:
                served_call.decided.set()

        ticket = self._admission.submit(
            self._make_admission_request(served_call), start, refuse
        )
        served_call.ticket = ticket
        if ticket.state is admission_module.TicketState.QUEUED:
            served_call.decided = anyio.Event()
            try:
                await served_call.decided.wait()
            except anyio.get_cancelled_exc_class():
                self._admission.cancel(ticket)
                raise
        return served_call.refusal

    def _make_admission_request(
        self, served_call: _ServedCall
    ) -> admission_module.AdmissionRequest:
        context = served_call.context
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
            deadline=served_call.deadline,
            route=context.route,
            run_alone=self._quarantine.is_suspect(context.fingerprint),
        )

    async def _async_run_at_upstream(
        self, served_call: _ServedCall, request: call.HttpRequest
    ) -> call.CallResult:
        context = served_call.context
        allowance = retry.RetryAllowance(context.allowance)
        remaining_s = served_call.deadline - self._clock.monotonic()
        try:
            token = self._tokens.issue(
                call.with_remaining(context, remaining_s), allowance
            )
        except exceptions.CallTableFullError:
            self._finish(
                served_call, admission_module.ServiceOutcome.CANCELLED
            )
            return _refused_result(
                _not_run(enums.RefusalReason.OVERLOADED), context
            )
        outcome = admission_module.ServiceOutcome.CANCELLED
        try:
            with anyio.fail_after(self._max_run_s(served_call)):
                served_call.is_sent = True
                answer = await self._upstream.async_send(
                    _with_call_headers(request, token, remaining_s),
                    max_body_bytes=self._max_body_bytes(context.service),
                )
            result, outcome = _classify_answer(answer, token)
        except TimeoutError:
            outcome = admission_module.ServiceOutcome.TIMED_OUT
            result = call.Refusal(
                reason=enums.RefusalReason.DEADLINE_EXCEEDED,
                outcome=enums.Outcome.UNKNOWN,
            )
        except exceptions.UpstreamError as error:
            outcome = admission_module.ServiceOutcome.BROKEN
            served_call.is_sent = error.outcome is not enums.Outcome.NOT_RUN
            result = call.Refusal(reason=error.reason, outcome=error.outcome)
            await self._async_check_crash(served_call, error)
        finally:
            self._tokens.revoke(token)
            self._finish(served_call, outcome)
        if isinstance(result, call.Refusal):
            if result.outcome is enums.Outcome.NOT_RUN:
                served_call.is_sent = False
        elif self._quarantine.is_suspect(context.fingerprint):
            self._on_isolated_success(context.fingerprint)
        return call.CallResult(result=result, allowance_left=allowance.left)

    async def _async_check_crash(
        self, served_call: _ServedCall, error: exceptions.UpstreamError
    ) -> None:
        if error.reason is enums.RefusalReason.UPSTREAM_UNREACHABLE:
            self._on_unreachable()
            return
        crash_reasons = (
            enums.RefusalReason.UPSTREAM_BROKE,
            enums.RefusalReason.ANSWER_TRUNCATED,
        )
        if error.reason not in crash_reasons:
            return
        self._broken_calls.append(
            (self._clock.monotonic(), served_call.context.fingerprint)
        )
        # The crash has to be reported even if the caller disconnects now.
        with anyio.CancelScope(shield=True):
            if await self._async_has_stopped_accepting():
                self._on_unreachable()

    async def _async_has_stopped_accepting(self) -> bool:
        """Return whether the upstream stopped accepting connections."""
        for delay_s in _CRASH_PROBE_DELAYS_S:
            await anyio.sleep(delay_s)
            if not await self._upstream.async_probe():
                return True
        return False

    def _finish(
        self,
        served_call: _ServedCall,
        outcome: admission_module.ServiceOutcome,
    ) -> None:
        if served_call.ticket is not None:
            self._admission.finish(served_call.ticket, outcome)

    def _max_run_s(self, served_call: _ServedCall) -> float:
        """Return the time in seconds that the call may run at the upstream.

        A call that runs alone has less time, because other calls wait.
        """
        run_deadline = served_call.deadline
        if served_call.ticket is not None:
            run_deadline = min(run_deadline, served_call.ticket.run_deadline)
        return run_deadline - self._clock.monotonic()

    def _max_body_bytes(self, service: ids.ServiceName) -> int:
        entry = self._configuration.document(service)
        if entry is None:
            return const.MAX_BODY_BYTES
        return entry.document.max_body_bytes

    def _remember_end(
        self, call_id: ids.CallId, state: enums.CancelState
    ) -> None:
        self._ended_calls[call_id] = (self._clock.monotonic(), state)


def _refused_result(
    refusal: call.Refusal, context: call.CallContext
) -> call.CallResult:
    return call.CallResult(result=refusal, allowance_left=context.allowance)


def _not_run(reason: enums.RefusalReason) -> call.Refusal:
    return call.Refusal(reason=reason, outcome=enums.Outcome.NOT_RUN)


def _cancelled_refusal(served_call: _ServedCall) -> call.Refusal:
    outcome = (
        enums.Outcome.UNKNOWN if served_call.is_sent else enums.Outcome.NOT_RUN
    )
    return call.Refusal(reason=enums.RefusalReason.CANCELLED, outcome=outcome)


def _cancel_state(
    served_call: _ServedCall, result: call.CallResult | None
) -> enums.CancelState:
    if served_call.is_sent:
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


def _classify_answer(
    answer: call.Answer, token: ids.CallToken
) -> tuple[call.Result, admission_module.ServiceOutcome]:
    """Return the result of an answer and its outcome for the admission.

    An upstream that sheds a call returns the token of the call, which proves
    that the call did not run. The run header alone may be copied from the
    answer to a child call and proves nothing.
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
