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
    """An upstream whose answers the test decides."""

    def __init__(self) -> None:
        self.seen: list[call.HttpRequest] = []
        self.release = anyio.Event()
        self.result: call.Answer | exceptions.UpstreamError = ANSWER
        self.echo_not_run = False
        self.is_accepting = True

    async def async_send(
        self, request: call.HttpRequest, *, max_body_bytes: int
    ) -> call.Answer:
        del max_body_bytes
        self.seen.append(request)
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


class _Keys:
    """Keys of which some are withdrawn; no documents."""

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


class _Bench:
    """Serving with one slot."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.upstream = _Upstream()
        self.keys = _Keys()
        self.unreachable = 0
        generator = random.Random(1)
        gate = admission.Admission(clock=self.clock, random=generator)
        gate.set_upstream(enums.UpstreamStatus.READY, 1)
        self.quarantine = quarantine.Quarantine(clock=self.clock)
        self.serving = serving.Serving(
            clock=self.clock,
            admission=gate,
            quarantine=self.quarantine,
            tokens=call_tokens.CallTokens(clock=self.clock, random=generator),
            authorization=authorization.Authorization(
                keys=self.keys, freshness=self.keys
            ),
            configuration=self.keys,  # type: ignore[arg-type]
            upstream=self.upstream,
            on_unreachable=self._note_unreachable,
            on_lone_success=lambda fingerprint: None,
        )
        self.results: dict[str, call.CallResult] = {}

    def _note_unreachable(self) -> None:
        self.unreachable += 1

    async def async_run(self, name: str) -> None:
        """Run a call and keep its result."""
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


async def _async_settle() -> None:
    for _ in range(10):
        await anyio.lowlevel.checkpoint()


pytestmark = pytest.mark.anyio


async def test_answer_comes_back_whole() -> None:
    """Guards against an answer that loses its body or its retries."""
    bench = _Bench()
    bench.upstream.release.set()
    await bench.async_run('a')
    assert bench.results['a'].result == ANSWER
    assert bench.results['a'].allowance_left == 2


async def test_key_withdrawn_while_queued() -> None:
    """Guards against queued work that runs with a withdrawn key."""
    bench = _Bench()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.async_run, 'first')
        await _async_settle()
        tasks.start_soon(bench.async_run, 'queued')
        await _async_settle()
        bench.keys.withdrawn.add('k')
        bench.upstream.release.set()
    assert len(bench.upstream.seen) == 1
    assert bench.refusal('queued').reason is enums.RefusalReason.KEY_WITHDRAWN
    assert bench.refusal('queued').outcome is enums.Outcome.NOT_RUN


async def test_cancelled_before_arrival_never_runs() -> None:
    """Guards against a late call that runs after "not run" was answered."""
    bench = _Bench()
    bench.upstream.release.set()
    state = bench.serving.cancel(ids.CallId('late'))
    await bench.async_run('late')
    assert state is enums.CancelState.NOT_RUN
    assert bench.upstream.seen == []
    assert bench.refusal('late').outcome is enums.Outcome.NOT_RUN


async def test_cancelling_a_queued_call_proves_not_run() -> None:
    """Guards against an unknown outcome where "not run" can be proved."""
    bench = _Bench()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.async_run, 'first')
        await _async_settle()
        tasks.start_soon(bench.async_run, 'queued')
        await _async_settle()
        state = bench.serving.cancel(ids.CallId('queued'))
        bench.upstream.release.set()
    assert state is enums.CancelState.NOT_RUN
    assert len(bench.upstream.seen) == 1


async def test_cancelling_a_running_call_is_unknown() -> None:
    """Guards against "not run" for a call that the upstream has begun."""
    bench = _Bench()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.async_run, 'a')
        await _async_settle()
        state = bench.serving.cancel(ids.CallId('a'))
    assert state is enums.CancelState.CANCELLED_UNKNOWN
    assert bench.refusal('a').outcome is enums.Outcome.UNKNOWN
    again = bench.serving.cancel(ids.CallId('a'))
    assert again is enums.CancelState.CANCELLED_UNKNOWN


async def test_shedding_needs_the_token_of_the_call() -> None:
    """Guards against "not run" taken over from a child call's refusal."""
    bench = _Bench()
    bench.upstream.release.set()
    bench.upstream.echo_not_run = True
    await bench.async_run('shed')
    assert bench.refusal('shed').reason is enums.RefusalReason.UPSTREAM_SHED
    bench.upstream.echo_not_run = False
    bench.upstream.result = call.Answer(
        status=503, headers=[('sassafraswood-run', 'not-run')], body=b''
    )
    await bench.async_run('relayed')
    assert bench.results['relayed'].result == bench.upstream.result


async def test_broken_connection_is_unknown_and_suspect() -> None:
    """Guards against "not run" after a crash, and against lost suspects."""
    bench = _Bench()
    bench.upstream.release.set()
    bench.upstream.is_accepting = False
    bench.upstream.result = exceptions.UpstreamError(
        enums.RefusalReason.UPSTREAM_BROKE, enums.Outcome.UNKNOWN
    )
    await bench.async_run('a')
    assert bench.refusal('a').outcome is enums.Outcome.UNKNOWN
    assert bench.unreachable == 1
    assert bench.serving.take_crash_suspects() == ['a']
    assert bench.serving.take_crash_suspects() == []


async def test_stopping_refuses_as_not_run() -> None:
    """Guards against calls that are cut by a planned stop."""
    bench = _Bench()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.async_run, 'first')
        await _async_settle()
        bench.serving.stop()
        await bench.async_run('second')
        bench.upstream.release.set()
    assert bench.results['first'].result == ANSWER
    assert bench.refusal('second').reason is enums.RefusalReason.DRAINING


async def test_forgotten_calls_do_not_grow_the_memory() -> None:
    """Guards against call ids that are kept for ever."""
    bench = _Bench()
    bench.upstream.release.set()
    await bench.async_run('a')
    bench.clock.advance(const.CALL_ID_MEMORY_S + 1)
    bench.serving.tick()
    assert bench.serving.cancel(ids.CallId('a')) is enums.CancelState.NOT_RUN
