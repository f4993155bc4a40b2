"""Handles calls at the first daemon, from arrival to result."""

from collections.abc import Callable
import dataclasses
import random as random_module
import typing

import anyio
import msgspec

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import authorization
from sassafraswood.coordination import call_tokens
from sassafraswood.coordination import callee_limit
from sassafraswood.coordination import configuration as configuration_module
from sassafraswood.coordination import idempotent_runs
from sassafraswood.coordination import membership as membership_module
from sassafraswood.coordination import quarantine as quarantine_module
from sassafraswood.coordination import quota_client
from sassafraswood.coordination import retry
from sassafraswood.coordination import routing
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records


class PeerPort(typing.Protocol):
    """Runs calls at any daemon, including this one."""

    async def async_run_call(
        self, daemon_id: ids.DaemonId, message: messages.RunCall
    ) -> messages.RunResult:
        """Run a call at a daemon and return its result.

        Raises:
            PeerUnreachableError: The call was not sent.
            PeerSilentError: The daemon did not reply; the call may have run.
        """


@dataclasses.dataclass(frozen=True, kw_only=True)
class IncomingCall:
    """A call as it arrived, with the rules of its route.

    Attributes:
        entry: Document of the callee.
        request: The request as it is sent to the upstream.
        key: Key that the caller presented.
        timeout_s: Timeout of the caller in seconds; None if it set none.
    """

    entry: records.DocumentEntry
    route: document.RouteSpec
    importance: enums.Importance
    idempotent: bool
    request: call.HttpRequest
    key: str | None = None
    timeout_s: float | None = None
    idempotency_key: str | None = None


class FirstDaemon:
    """Authenticates, limits, routes and retries calls."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        authorization: authorization.Authorization,
        quota: quota_client.QuotaClient,
        quarantine: quarantine_module.Quarantine,
        router: routing.Router,
        retries: retry.RetryPolicy,
        callees: callee_limit.CalleeLimits,
        configuration: configuration_module.Configuration,
        membership: membership_module.Membership,
        runs: idempotent_runs.IdempotentRuns,
        peers: PeerPort,
        count: Callable[[str], None],
    ) -> None:
        """Start with the components that decide about a call.

        Args:
            count: Increments the counter with the given name.
        """
        self._clock = clock
        self._random = random
        self._authorization = authorization
        self._quota = quota
        self._quarantine = quarantine
        self._router = router
        self._retries = retries
        self._callees = callees
        self._configuration = configuration
        self._membership = membership
        self._runs = runs
        self._peers = peers
        self._count = count
        self._id_prefix = f'{random.getrandbits(128):032x}'
        self._id_sequence = 0
        self._is_stopping = False

    def stop(self) -> None:
        """Refuse new calls of callers; calls in flight continue."""
        self._is_stopping = True

    async def async_call(self, incoming: IncomingCall) -> call.CallResult:
        """Run the call of a caller and return its result."""
        if self._is_stopping:
            return _refused_result(enums.RefusalReason.DRAINING)
        key = self._authorization.authenticate(
            incoming.key, incoming.entry.document, incoming.route
        )
        if isinstance(key, call.Refusal):
            return call.CallResult(result=key, allowance_left=0)
        arrived_at = self._clock.monotonic()
        refusal = self._check_idempotency_key(incoming)
        if refusal is None:
            refusal = await self._async_acquire_quota(incoming, key)
        if refusal is not None:
            return call.CallResult(result=refusal, allowance_left=0)
        total_allowance = self._retries.total(incoming.entry.document)
        waited_s = self._clock.monotonic() - arrived_at
        context = self._make_context(incoming, key, total_allowance, waited_s)
        return await self._async_run_call(context, incoming.request)

    async def async_child_call(
        self, incoming: IncomingCall, parent: call_tokens.TokenEntry
    ) -> call.CallResult:
        """Run a call that an upstream makes on behalf of another call.

        The child call runs for the workspace of its parent, uses the retry
        allowance and the remaining time of the parent, and uses no quota.
        """
        if parent.context.depth >= const.MAX_CALL_DEPTH:
            return _refused_result(enums.RefusalReason.TOO_DEEP)
        refusal = self._check_idempotency_key(incoming)
        if refusal is None and not incoming.route.open:
            refusal = self._check_workspace(incoming, parent.context)
        if refusal is not None:
            return call.CallResult(result=refusal, allowance_left=0)
        lent_allowance = parent.allowance.lend()
        context = self._make_child_context(incoming, parent, lent_allowance)
        unused_allowance = 0
        try:
            result = await self._async_run_call(context, incoming.request)
            unused_allowance = min(lent_allowance, result.allowance_left)
        finally:
            parent.allowance.give_back(unused_allowance)
        return result

    async def async_run_as_owner(
        self, context: call.CallContext, request: call.HttpRequest
    ) -> call.CallResult:
        """Run a call whose idempotency key this daemon owns."""
        return await self._runs.async_run(
            context, request, self._async_run_attempts
        )

    def _check_idempotency_key(
        self, incoming: IncomingCall
    ) -> call.Refusal | None:
        if incoming.idempotent or incoming.idempotency_key is not None:
            return None
        if not incoming.route.require_idempotency_key:
            return None
        return _not_run(enums.RefusalReason.IDEMPOTENCY_KEY_REQUIRED)

    def _check_workspace(
        self, incoming: IncomingCall, parent: call.CallContext
    ) -> call.Refusal | None:
        if parent.workspace is None:
            return _not_run(enums.RefusalReason.KEY_MISSING)
        if parent.workspace not in incoming.entry.document.workspaces:
            return _not_run(enums.RefusalReason.WORKSPACE_NOT_ALLOWED)
        return self._authorization.recheck(parent)

    async def _async_acquire_quota(
        self, incoming: IncomingCall, key: records.KeyEntry | None
    ) -> call.Refusal | None:
        if key is None:
            return None
        timeout_s = incoming.timeout_s or incoming.route.timeout_s
        verdicts: list[quota_client.QuotaVerdict] = []
        done: anyio.Event | None = None

        def finish(verdict: quota_client.QuotaVerdict) -> None:
            verdicts.append(verdict)
            if done is not None:
                done.set()

        verdict = self._quota.take(
            incoming.entry.service,
            key.workspace,
            finish,
            min(const.QUOTA_WAIT_S, timeout_s / 4),
        )
        if verdict is None:
            done = anyio.Event()
            await done.wait()
            verdict = verdicts[0]
        if verdict.granted:
            return None
        return call.Refusal(
            reason=verdict.reason or enums.RefusalReason.RATE_EXCEEDED,
            outcome=enums.Outcome.NOT_RUN,
            retry_after_s=verdict.retry_after_s,
        )

    def _make_context(
        self,
        incoming: IncomingCall,
        key: records.KeyEntry | None,
        allowance: int,
        waited_s: float,
    ) -> call.CallContext:
        call_id = self._make_call_id()
        timeout_s = incoming.route.timeout_s
        if incoming.timeout_s is not None:
            timeout_s = min(timeout_s, incoming.timeout_s)
        return call.CallContext(
            call_id=call_id,
            root_id=call_id,
            service=incoming.entry.service,
            workspace=key.workspace if key else None,
            key_id=key.key_id if key else None,
            importance=incoming.importance,
            remaining_s=timeout_s - waited_s,
            allowance=allowance,
            depth=1,
            idempotent=incoming.idempotent,
            fingerprint=_compute_fingerprint(incoming),
            route=incoming.route.path,
            idempotency_key=incoming.idempotency_key,
        )

    def _make_child_context(
        self,
        incoming: IncomingCall,
        parent: call_tokens.TokenEntry,
        allowance: int,
    ) -> call.CallContext:
        timeout_s = min(parent.remaining_s, incoming.route.timeout_s)
        if incoming.timeout_s is not None:
            timeout_s = min(timeout_s, incoming.timeout_s)
        return call.CallContext(
            call_id=self._make_call_id(),
            root_id=parent.context.root_id,
            service=incoming.entry.service,
            workspace=parent.context.workspace,
            key_id=parent.context.key_id,
            # A child call is as important as the request that it serves.
            importance=parent.context.importance,
            remaining_s=timeout_s,
            allowance=allowance,
            depth=parent.context.depth + 1,
            idempotent=incoming.idempotent,
            fingerprint=_compute_fingerprint(incoming),
            route=incoming.route.path,
            idempotency_key=incoming.idempotency_key,
        )

    def _make_call_id(self) -> ids.CallId:
        self._id_sequence += 1
        return ids.CallId(f'{self._id_prefix}-{self._id_sequence:x}')

    async def _async_run_call(
        self, context: call.CallContext, request: call.HttpRequest
    ) -> call.CallResult:
        refusal = self._quarantine.check(context.fingerprint)
        if refusal is not None:
            return call.CallResult(
                result=refusal, allowance_left=context.allowance
            )
        if context.idempotent or context.idempotency_key is None:
            return await self._async_run_attempts(context, request)
        return await self._async_run_at_owner(context, request)

    async def _async_run_at_owner(
        self, context: call.CallContext, request: call.HttpRequest
    ) -> call.CallResult:
        """Run a call at the owner of its idempotency key.

        While a partition is handed over, it has no owner for a short time.
        The call has not reached an upstream then, so that trying again uses
        no retry allowance.
        """
        deadline = self._clock.monotonic() + context.remaining_s
        owner_wait_deadline = self._clock.monotonic() + min(
            const.OWNER_WAIT_S, context.remaining_s / 2
        )
        while True:
            remaining_s = deadline - self._clock.monotonic()
            result = await self._async_attempt_at_owner(
                msgspec.structs.replace(
                    context,
                    call_id=self._make_call_id(),
                    remaining_s=remaining_s,
                ),
                request,
            )
            if not _is_owner_missing(result.result):
                return result
            if self._clock.monotonic() >= owner_wait_deadline:
                return result
            await anyio.sleep(const.OWNER_RETRY_INTERVAL_S)

    async def _async_attempt_at_owner(
        self, context: call.CallContext, request: call.HttpRequest
    ) -> call.CallResult:
        owner = self._runs.owner_of(context)
        if owner is None:
            return _refused_result(
                enums.RefusalReason.IDEMPOTENCY_OWNER_UNAVAILABLE,
                context.allowance,
            )
        return await self._async_attempt_at_daemon(
            owner, context, request, as_owner=True
        )

    async def _async_run_attempts(
        self, context: call.CallContext, request: call.HttpRequest
    ) -> call.CallResult:
        deadline = self._clock.monotonic() + context.remaining_s
        allowance = retry.RetryAllowance(context.allowance)
        tried: set[ids.DaemonId] = set()
        attempt = 0
        may_have_run = False
        result: call.Result | None = None
        self._retries.note_call(context.service)
        while True:
            attempt += 1
            remaining_s = deadline - self._clock.monotonic()
            previous_result = result
            result = await self._async_attempt_at_chosen_daemon(
                context, request, allowance, remaining_s, tried
            )
            if isinstance(result, call.Answer) or _may_have_crashed_upstream(
                result
            ):
                break
            if previous_result is not None and len(tried) < attempt:
                # No other upstream is left to try; the previous refusal
                # is more specific.
                result = previous_result
                break
            decision = self._retries.decide(
                service=context.service,
                refusal=result,
                idempotent=context.idempotent,
                allowance=allowance.left,
                attempt=attempt,
                remaining_s=deadline - self._clock.monotonic(),
            )
            if decision is None or not allowance.spend():
                break
            may_have_run |= result.outcome is enums.Outcome.UNKNOWN
            self._count(f'retried.{decision.reason.value}')
            await anyio.sleep(decision.delay_s)
        if isinstance(result, call.Refusal) and may_have_run:
            # The last attempt did not run, but an earlier one may have.
            result = msgspec.structs.replace(
                result, outcome=enums.Outcome.UNKNOWN
            )
        return call.CallResult(result=result, allowance_left=allowance.left)

    async def _async_attempt_at_chosen_daemon(
        self,
        context: call.CallContext,
        request: call.HttpRequest,
        allowance: retry.RetryAllowance,
        remaining_s: float,
        tried: set[ids.DaemonId],
    ) -> call.Result:
        """Run one attempt at a daemon that the router chooses.

        The daemon is added to tried.
        """
        if remaining_s <= 0:
            return _not_run(enums.RefusalReason.DEADLINE_UNREACHABLE)
        choice = self._router.choose(
            context.service, context.importance, frozenset(tried)
        )
        if isinstance(choice, call.Refusal):
            return choice
        if not self._acquire_callee(context.service, context.importance):
            return call.Refusal(
                reason=enums.RefusalReason.CALLEE_BUSY,
                outcome=enums.Outcome.NOT_RUN,
                shed=True,
                retry_after_s=1.0,
            )
        tried.add(choice)
        lent_allowance = allowance.lend()
        attempt_context = msgspec.structs.replace(
            context,
            call_id=self._make_call_id(),
            remaining_s=remaining_s,
            allowance=lent_allowance,
        )
        unused_allowance = 0
        try:
            run_result = await self._async_attempt_at_daemon(
                choice, attempt_context, request, as_owner=False
            )
            unused_allowance = min(lent_allowance, run_result.allowance_left)
        finally:
            allowance.give_back(unused_allowance)
            self._callees.release(context.service)
        return run_result.result

    def _acquire_callee(
        self, service: ids.ServiceName, importance: enums.Importance
    ) -> bool:
        total_slots = sum(
            member.slots for member in self._membership.members(service)
        )
        return self._callees.acquire(
            service,
            limit=self._find_document_limit(service),
            total_slots=total_slots,
            importance=importance,
        )

    def _find_document_limit(self, service: ids.ServiceName) -> int | None:
        entry = self._configuration.document(service)
        if entry is None:
            return None
        return entry.document.max_concurrency_per_caller

    async def _async_attempt_at_daemon(
        self,
        daemon_id: ids.DaemonId,
        context: call.CallContext,
        request: call.HttpRequest,
        *,
        as_owner: bool,
    ) -> call.CallResult:
        message = messages.RunCall(
            context=context, request=request, as_owner=as_owner
        )
        self._router.note_sent(daemon_id)
        result: call.Result | None = None
        hint = None
        unused_allowance = 0
        try:
            run_result = await self._peers.async_run_call(daemon_id, message)
            result = run_result.result
            hint = run_result.hint
            unused_allowance = run_result.allowance_left
        except exceptions.PeerUnreachableError:
            result = _not_run(enums.RefusalReason.PEER_UNREACHABLE)
            unused_allowance = context.allowance
        except exceptions.PeerSilentError:
            result = call.Refusal(
                reason=enums.RefusalReason.PEER_SILENT,
                outcome=enums.Outcome.UNKNOWN,
            )
        except anyio.get_cancelled_exc_class():
            # The caller disconnected, which is no failure of the daemon.
            result = call.Refusal(
                reason=enums.RefusalReason.CANCELLED,
                outcome=enums.Outcome.UNKNOWN,
            )
            raise
        finally:
            self._router.note_result(daemon_id, result, hint)
        return call.CallResult(result=result, allowance_left=unused_allowance)


def _compute_fingerprint(incoming: IncomingCall) -> ids.Fingerprint:
    return quarantine_module.compute_fingerprint(
        incoming.entry.service,
        incoming.request.method,
        incoming.request.target,
        incoming.request.body,
    )


def _may_have_crashed_upstream(refusal: call.Refusal) -> bool:
    """Return whether a request may have crashed the upstream that ran it.

    A retry would reach the next upstream before its daemon learns that the
    request is a suspect. It could crash that upstream together with the calls
    beside it, because the daemon would not run it alone.
    """
    return refusal.outcome is enums.Outcome.UNKNOWN and refusal.reason in (
        enums.RefusalReason.UPSTREAM_BROKE,
        enums.RefusalReason.ANSWER_TRUNCATED,
    )


def _is_owner_missing(result: call.Result) -> bool:
    if not isinstance(result, call.Refusal):
        return False
    if result.outcome is not enums.Outcome.NOT_RUN:
        return False
    return result.reason in (
        enums.RefusalReason.IDEMPOTENCY_OWNER_UNAVAILABLE,
        enums.RefusalReason.PEER_UNREACHABLE,
        enums.RefusalReason.DRAINING,
    )


def _not_run(reason: enums.RefusalReason) -> call.Refusal:
    return call.Refusal(reason=reason, outcome=enums.Outcome.NOT_RUN)


def _refused_result(
    reason: enums.RefusalReason, allowance: int = 0
) -> call.CallResult:
    return call.CallResult(result=_not_run(reason), allowance_left=allowance)
