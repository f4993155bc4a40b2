"""Tests of calls at the daemon beside the upstream."""

import random

import anyio
import pytest

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import admission
from sassafraswood.coordination import authorization
from sassafraswood.coordination import call_tokens
from sassafraswood.coordination import quarantine
from sassafraswood.coordination import serving
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records

REQUEST = call.HttpRequest(method='GET', target='/a', headers=[], body=b'')
ANSWER = call.Answer(status=200, headers=[], body=b'whole')


class _Upstream:
    """An upstream that returns the answer set by the test."""

    def __init__(self) -> None:
        self.requests: list[call.HttpRequest] = []
        self.release = anyio.Event()
        self.result: call.Answer | exceptions.UpstreamError = ANSWER
        self.echo_not_run = False
        self.is_accepting = True

    async def async_send(
        self, request: call.HttpRequest, *, max_body_bytes: int
    ) -> call.Answer:
        del max_body_bytes
        self.requests.append(request)
        await self.release.wait()
        if isinstance(self.result, exceptions.UpstreamError):
            raise self.result
        if self.echo_not_run:
            token = dict(request.headers)[const.HEADER_CALL_TOKEN]
            headers = [(const.HEADER_NOT_RUN, token)]
            return call.Answer(status=503, headers=headers, body=b'')
        return self.result

    async def async_probe(self) -> bool:
        return self.is_accepting


class _KeyStore:
    """A key store with withdrawn keys and without documents."""

    def __init__(self) -> None:
        self.withdrawn: set[str] = set()

    def find_key(self, presented: str) -> records.KeyEntry | None:
        del presented
        return None

    def is_key_valid(self, key_id: ids.KeyId) -> bool:
        return key_id not in self.withdrawn

    def is_stale(self) -> bool:
        return False

    def document(self, service: str) -> None:
        del service


class _Harness:
    """Serves calls at an upstream with one slot."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.upstream = _Upstream()
        self.keys = _KeyStore()
        self.unreachable_count = 0
        generator = random.Random(1)
        upstream_admission = admission.Admission(
            clock=self.clock, random=generator
        )
        upstream_admission.set_upstream(enums.UpstreamStatus.READY, 1)
        self.quarantine = quarantine.Quarantine(clock=self.clock)
        self.serving = serving.Serving(
            clock=self.clock,
            admission=upstream_admission,
            quarantine=self.quarantine,
            tokens=call_tokens.CallTokens(clock=self.clock, random=generator),
            authorization=authorization.Authorization(
                keys=self.keys, freshness=self.keys
            ),
            configuration=self.keys,  # type: ignore[arg-type]
            upstream=self.upstream,
            on_unreachable=self._count_unreachable,
            on_isolated_success=lambda fingerprint: None,
        )
        self.results: dict[str, call.CallResult] = {}

    def _count_unreachable(self) -> None:
        self.unreachable_count += 1

    async def async_run(self, name: str) -> None:
        """Run a call and store its result under its name."""
        context = _context(name)
        self.results[name] = await self.serving.async_run(context, REQUEST)

    def refusal(self, name: str) -> call.Refusal:
        """Return the refusal of a call."""
        result = self.results[name].result
        assert isinstance(result, call.Refusal)
        return result


def _context(name: str) -> call.CallContext:
    return call.CallContext(
        call_id=ids.CallId(name),
        root_id=name,
        service=ids.ServiceName('orders'),
        workspace=ids.Workspace('w'),
        key_id=ids.KeyId('k'),
        importance=enums.Importance.NORMAL,
        remaining_s=5.0,
        allowance=2,
        depth=1,
        idempotent=True,
        fingerprint=ids.Fingerprint(name),
    )


async def _async_run_pending_tasks() -> None:
    for _ in range(10):
        await anyio.lowlevel.checkpoint()


pytestmark = pytest.mark.anyio


async def test_whole_answer_is_returned() -> None:
    """Guards against an answer without its body or retry allowance."""
    harness = _Harness()
    harness.upstream.release.set()
    await harness.async_run('a')
    assert harness.results['a'].result == ANSWER
    assert harness.results['a'].allowance_left == 2


async def test_call_is_refused_if_its_key_is_withdrawn_while_queued() -> None:
    """Guards against a queued call that runs after its key is withdrawn."""
    harness = _Harness()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.async_run, 'first')
        await _async_run_pending_tasks()
        tasks.start_soon(harness.async_run, 'queued')
        await _async_run_pending_tasks()
        harness.keys.withdrawn.add('k')
        harness.upstream.release.set()
    assert len(harness.upstream.requests) == 1
    assert (
        harness.refusal('queued').reason is enums.RefusalReason.KEY_WITHDRAWN
    )
    assert harness.refusal('queued').outcome is enums.Outcome.NOT_RUN


async def test_cancelled_before_arrival_never_runs() -> None:
    """Guards against a late call that runs after the reply "not run"."""
    harness = _Harness()
    harness.upstream.release.set()
    state = harness.serving.cancel(ids.CallId('late'))
    await harness.async_run('late')
    assert state is enums.CancelState.NOT_RUN
    assert harness.upstream.requests == []
    assert harness.refusal('late').outcome is enums.Outcome.NOT_RUN


async def test_cancelling_a_queued_call_proves_not_run() -> None:
    """Guards against an unknown outcome of a call that was never sent."""
    harness = _Harness()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.async_run, 'first')
        await _async_run_pending_tasks()
        tasks.start_soon(harness.async_run, 'queued')
        await _async_run_pending_tasks()
        state = harness.serving.cancel(ids.CallId('queued'))
        harness.upstream.release.set()
    assert state is enums.CancelState.NOT_RUN
    assert len(harness.upstream.requests) == 1


async def test_cancelling_a_running_call_is_unknown() -> None:
    """Guards against "not run" for a call that the upstream has received."""
    harness = _Harness()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.async_run, 'a')
        await _async_run_pending_tasks()
        state = harness.serving.cancel(ids.CallId('a'))
    assert state is enums.CancelState.CANCELLED_UNKNOWN
    assert harness.refusal('a').outcome is enums.Outcome.UNKNOWN
    again = harness.serving.cancel(ids.CallId('a'))
    assert again is enums.CancelState.CANCELLED_UNKNOWN


async def test_shedding_needs_the_token_of_the_call() -> None:
    """Guards against "not run" copied from the refusal of a child call."""
    harness = _Harness()
    harness.upstream.release.set()
    harness.upstream.echo_not_run = True
    await harness.async_run('shed')
    assert harness.refusal('shed').reason is enums.RefusalReason.UPSTREAM_SHED
    harness.upstream.echo_not_run = False
    harness.upstream.result = call.Answer(
        status=503, headers=[('sassafraswood-run', 'not-run')], body=b''
    )
    await harness.async_run('relayed')
    assert harness.results['relayed'].result == harness.upstream.result


# Guards against "not run" for a call that ran, by the copy of the refusal of
# an earlier call.
@pytest.mark.parametrize('status', [200, 400, 421, 429, 500, 503])
@pytest.mark.parametrize('has_token', [False, True])
async def test_copied_refusal_does_not_prove_not_run(
    status: int, has_token: bool
) -> None:
    """Only the token of the same sending proves it."""
    harness = _Harness()
    harness.upstream.release.set()
    harness.upstream.echo_not_run = True
    await harness.async_run('shed')
    tokens = [
        dict(request.headers)[const.HEADER_CALL_TOKEN]
        for request in harness.upstream.requests
    ]
    harness.upstream.echo_not_run = False
    copy = call.Answer(
        status=status,
        headers=[(const.HEADER_NOT_RUN, tokens[0])] if has_token else [],
        body=b'',
    )
    harness.upstream.result = copy
    await harness.async_run('repeat')
    assert harness.results['repeat'].result == copy
    repeat = dict(harness.upstream.requests[1].headers)
    assert repeat[const.HEADER_CALL_TOKEN] != tokens[0]
    state = harness.serving.cancel(ids.CallId('repeat'))
    assert state is enums.CancelState.CANCELLED_UNKNOWN


async def test_broken_connection_is_unknown_and_suspect() -> None:
    """Guards against "not run" and missing suspects after a crash."""
    harness = _Harness()
    harness.upstream.release.set()
    harness.upstream.is_accepting = False
    harness.upstream.result = exceptions.UpstreamError(
        enums.RefusalReason.UPSTREAM_BROKE, enums.Outcome.UNKNOWN
    )
    await harness.async_run('a')
    assert harness.refusal('a').outcome is enums.Outcome.UNKNOWN
    assert harness.unreachable_count == 1
    assert harness.serving.take_crash_suspects() == ['a']
    assert harness.serving.take_crash_suspects() == []


async def test_new_call_is_refused_while_stopping() -> None:
    """Guards against calls that a planned stop interrupts."""
    harness = _Harness()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.async_run, 'first')
        await _async_run_pending_tasks()
        harness.serving.stop()
        await harness.async_run('second')
        harness.upstream.release.set()
    assert harness.results['first'].result == ANSWER
    assert harness.refusal('second').reason is enums.RefusalReason.DRAINING


async def test_ids_of_ended_calls_expire() -> None:
    """Guards against call ids that are never removed."""
    harness = _Harness()
    harness.upstream.release.set()
    await harness.async_run('a')
    harness.clock.advance(const.CALL_ID_RETENTION_S + 1)
    harness.serving.tick()
    assert harness.serving.cancel(ids.CallId('a')) is enums.CancelState.NOT_RUN
