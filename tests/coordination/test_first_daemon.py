"""Tests of calls at the first daemon."""

import random

import pytest

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import authorization
from sassafraswood.coordination import call_tokens
from sassafraswood.coordination import callee_limit
from sassafraswood.coordination import first_daemon
from sassafraswood.coordination import quarantine
from sassafraswood.coordination import quota_client
from sassafraswood.coordination import retry
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records

SERVICE = ids.ServiceName('orders')
ANSWER = call.Answer(status=200, headers=[], body=b'whole')
ROUTE = document.RouteSpec(path='/**')
DOCUMENT = document.ServiceDocument(
    version=1,
    service=SERVICE,
    routes=[ROUTE],
    workspaces={ids.Workspace('w'): document.WorkspaceSpec(rate=9, burst=9)},
)
ENTRY = records.DocumentEntry(
    service=SERVICE,
    revision=ids.Revision(1),
    offset=ids.Offset(0),
    document=DOCUMENT,
)
KEY = records.KeyEntry(
    key_id=ids.KeyId('k'),
    workspace=ids.Workspace('w'),
    key_sha256='0' * 64,
    withdrawn=False,
)


class _ClusterState:
    """Keys, documents, members and partitions set by the test."""

    def __init__(self) -> None:
        self.key: records.KeyEntry | None = KEY
        self.stale = False
        self.owner: ids.DaemonId | None = None

    def find_key(self, presented: str) -> records.KeyEntry | None:
        del presented
        return self.key

    def is_key_valid(self, key_id: ids.KeyId) -> bool:
        del key_id
        return self.key is not None and not self.key.withdrawn

    def is_stale(self) -> bool:
        return self.stale

    def document(self, service: str) -> records.DocumentEntry:
        del service
        return ENTRY

    def members(self, service: str) -> list[records.Member]:
        del service
        return []

    def owner_of(self, context: call.CallContext) -> ids.DaemonId | None:
        del context
        return self.owner


class _Quota:
    """A quota that returns the verdict set by the test."""

    def __init__(self) -> None:
        self.verdict = quota_client.QuotaVerdict(granted=True)
        self.request_count = 0

    def take(self, *unused: object) -> quota_client.QuotaVerdict:
        del unused
        self.request_count += 1
        return self.verdict


class _Router:
    """Chooses the first daemon that is not excluded."""

    def choose(
        self,
        service: str,
        importance: enums.Importance,
        exclude: frozenset[ids.DaemonId],
    ) -> ids.DaemonId | call.Refusal:
        del service, importance
        for name in ('a', 'b', 'c'):
            if ids.DaemonId(name) not in exclude:
                return ids.DaemonId(name)
        return _not_run(enums.RefusalReason.NO_UPSTREAM)

    def note_sent(self, daemon_id: ids.DaemonId) -> None:
        pass

    def note_result(self, *unused: object) -> None:
        pass


class _Peers:
    """Daemons that return the results set by the test, in order."""

    def __init__(self) -> None:
        self.results: list[call.Result | exceptions.PeerError] = []
        self.sent: list[tuple[ids.DaemonId, messages.RunCall]] = []

    async def async_run_call(
        self, daemon_id: ids.DaemonId, message: messages.RunCall
    ) -> messages.RunResult:
        self.sent.append((daemon_id, message))
        result = self.results.pop(0) if self.results else ANSWER
        if isinstance(result, exceptions.PeerError):
            raise result
        return messages.RunResult(
            call_id=message.context.call_id,
            result=result,
            allowance_left=message.context.allowance,
            hint=None,
        )


class _Harness:
    """A first daemon with fake components."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.cluster_state = _ClusterState()
        self.quota = _Quota()
        self.peers = _Peers()
        self.quarantine = quarantine.Quarantine(clock=self.clock)
        generator = random.Random(1)
        self.calls = first_daemon.FirstDaemon(
            clock=self.clock,
            random=generator,
            authorization=authorization.Authorization(
                keys=self.cluster_state, freshness=self.cluster_state
            ),
            quota=self.quota,  # type: ignore[arg-type]
            quarantine=self.quarantine,
            router=_Router(),  # type: ignore[arg-type]
            retries=retry.RetryPolicy(clock=self.clock, random=generator),
            callees=callee_limit.CalleeLimits(clock=self.clock),
            configuration=self.cluster_state,  # type: ignore[arg-type]
            membership=self.cluster_state,  # type: ignore[arg-type]
            runs=self.cluster_state,  # type: ignore[arg-type]
            peers=self.peers,
            count=lambda name: None,
        )

    async def async_call(
        self, *, idempotent: bool = True, idempotency_key: str | None = None
    ) -> call.Result:
        """Run a call and return its result."""
        result = await self.calls.async_call(
            _incoming_call(idempotent, idempotency_key)
        )
        return result.result


def _incoming_call(
    idempotent: bool = True, idempotency_key: str | None = None
) -> first_daemon.IncomingCall:
    return first_daemon.IncomingCall(
        entry=ENTRY,
        route=ROUTE,
        importance=enums.Importance.NORMAL,
        idempotent=idempotent,
        request=call.HttpRequest(
            method='GET', target='/a', headers=[], body=b''
        ),
        key='secret',
        idempotency_key=idempotency_key,
    )


def _not_run(
    reason: enums.RefusalReason, *, shed: bool = False
) -> call.Refusal:
    return call.Refusal(
        reason=reason, outcome=enums.Outcome.NOT_RUN, shed=shed
    )


def _reason(result: call.Result) -> enums.RefusalReason:
    assert isinstance(result, call.Refusal)
    return result.reason


pytestmark = pytest.mark.anyio


async def test_unauthorized_calls_use_no_quota() -> None:
    """Guards against callers without a valid key that use up a quota."""
    harness = _Harness()
    harness.cluster_state.key = None
    assert _reason(await harness.async_call()) is (
        enums.RefusalReason.KEY_UNKNOWN
    )
    harness.cluster_state.stale = True
    assert _reason(await harness.async_call()) is (
        enums.RefusalReason.AUTHORIZATION_STALE
    )
    assert harness.quota.request_count == 0
    assert harness.peers.sent == []


async def test_call_above_its_quota_reaches_no_daemon() -> None:
    """Guards against calls above the rate that reach an upstream."""
    harness = _Harness()
    harness.quota.verdict = quota_client.QuotaVerdict(
        granted=False,
        reason=enums.RefusalReason.RATE_EXCEEDED,
        retry_after_s=0.5,
    )
    result = await harness.async_call()
    assert _reason(result) is enums.RefusalReason.RATE_EXCEEDED
    assert harness.peers.sent == []


async def test_call_that_did_not_run_is_retried_at_another_daemon() -> None:
    """Guards against a call that fails while another upstream is healthy."""
    harness = _Harness()
    harness.peers.results = [exceptions.PeerUnreachableError('a')]
    assert await harness.async_call(idempotent=False) == ANSWER
    assert [daemon_id for daemon_id, _ in harness.peers.sent] == ['a', 'b']


async def test_unknown_outcome_of_non_idempotent_call_is_final() -> None:
    """Guards against a retry that runs a payment twice."""
    harness = _Harness()
    harness.peers.results = [exceptions.PeerSilentError('a')]
    result = await harness.async_call(idempotent=False)
    assert _reason(result) is enums.RefusalReason.PEER_SILENT
    assert len(harness.peers.sent) == 1


async def test_outcome_covers_all_attempts() -> None:
    """Guards against "not run" when only the last attempt was not run."""
    harness = _Harness()
    harness.peers.results = [
        exceptions.PeerSilentError('a'),
        _not_run(enums.RefusalReason.DRAINING),
        _not_run(enums.RefusalReason.DRAINING),
    ]
    result = await harness.async_call()
    assert isinstance(result, call.Refusal)
    assert len(harness.peers.sent) > 1
    assert result.outcome is enums.Outcome.UNKNOWN


async def test_attempts_stay_within_the_allowance() -> None:
    """Guards against retries beyond the allowance of the document."""
    harness = _Harness()
    harness.peers.results = [exceptions.PeerUnreachableError('x')] * 9
    await harness.async_call()
    assert len(harness.peers.sent) <= 1 + DOCUMENT.retry_allowance


async def test_no_other_upstream_keeps_the_first_refusal() -> None:
    """Guards against "no upstream" that hides the first reason."""
    harness = _Harness()
    reason = enums.RefusalReason.DRAINING
    harness.peers.results = [_not_run(reason)] * 9
    assert _reason(await harness.async_call()) is reason


async def test_child_call_returns_its_unused_retries() -> None:
    """Guards against a child call that uses up the retry allowance."""
    harness = _Harness()
    allowance = retry.RetryAllowance(4)
    parent = call_tokens.TokenEntry(
        context=_parent_context(depth=1), remaining_s=2.0, allowance=allowance
    )
    result = await harness.calls.async_child_call(_incoming_call(), parent)
    assert result.result == ANSWER
    assert allowance.left == 4
    context = harness.peers.sent[0][1].context
    assert context.depth == 2
    assert context.remaining_s <= 2.0
    assert harness.quota.request_count == 0


async def test_child_call_beyond_the_maximum_depth_is_refused() -> None:
    """Guards against services that call each other in a cycle."""
    harness = _Harness()
    parent = call_tokens.TokenEntry(
        context=_parent_context(depth=const.MAX_CALL_DEPTH),
        remaining_s=2.0,
        allowance=retry.RetryAllowance(0),
    )
    result = await harness.calls.async_child_call(_incoming_call(), parent)
    assert _reason(result.result) is enums.RefusalReason.TOO_DEEP


async def test_child_call_of_a_withdrawn_key_is_refused() -> None:
    """Guards against child calls that run with a withdrawn key."""
    harness = _Harness()
    harness.cluster_state.key = None
    parent = call_tokens.TokenEntry(
        context=_parent_context(depth=1),
        remaining_s=2.0,
        allowance=retry.RetryAllowance(0),
    )
    result = await harness.calls.async_child_call(_incoming_call(), parent)
    assert _reason(result.result) is enums.RefusalReason.KEY_WITHDRAWN


async def test_idempotency_key_goes_to_its_owner_only() -> None:
    """Guards against two daemons that run calls of the same key."""
    harness = _Harness()
    harness.cluster_state.owner = ids.DaemonId('owner')
    result = await harness.async_call(idempotent=False, idempotency_key='x')
    assert result == ANSWER
    daemon_id, message = harness.peers.sent[0]
    assert daemon_id == 'owner' and message.as_owner
    assert len(harness.peers.sent) == 1


async def test_stopping_daemon_refuses_new_calls() -> None:
    """Guards against calls that a planned stop would interrupt."""
    harness = _Harness()
    harness.calls.stop()
    assert _reason(await harness.async_call()) is enums.RefusalReason.DRAINING


def _parent_context(depth: int) -> call.CallContext:
    return call.CallContext(
        call_id=ids.CallId('parent'),
        root_id='root',
        service=ids.ServiceName('front'),
        workspace=ids.Workspace('w'),
        key_id=ids.KeyId('k'),
        importance=enums.Importance.HIGH,
        remaining_s=5.0,
        allowance=4,
        depth=depth,
        idempotent=True,
        fingerprint=ids.Fingerprint('f'),
    )
