"""Tests that each idempotency key runs at most once."""

import collections
import dataclasses
import random
import uuid

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import idempotency
from sassafraswood.coordination import partition_lease
from sassafraswood.coordination import placement
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.state import idempotency_table
from tests.coordination import lease_model

SERVICE = lease_model.SERVICE
WORKSPACE = ids.Workspace('w')
ANSWER = call.Answer(status=201, headers=[], body=b'done')
Action = idempotency.IdempotencyAction
Reason = enums.RefusalReason
Outcome = enums.Outcome


def refusal(outcome: enums.Outcome) -> call.Refusal:
    """Return a refusal with an outcome."""
    return call.Refusal(reason=Reason.UPSTREAM_BROKE, outcome=outcome)


def make_uuid7_key(unix_s: float, number: int = 0) -> str:
    """Return a UUIDv7 key with a creation time and a number."""
    value = int(unix_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


class Bench:
    """An owner of all partitions whose lease a test controls."""

    def __init__(self, term: int = 1, **table_limits: int) -> None:
        """Hold the lease of a term that has just begun."""
        self.clock = clock_module.ManualClock()
        self.is_held = True
        self.planned = False
        self.start_unix_s = self.clock.wall()
        self.entry = records.PartitionEntry(
            service=SERVICE,
            partition=0,
            term=ids.Term(term),
            owner=records.Holder(
                daemon_id=ids.DaemonId('a'), incarnation=ids.Incarnation(1)
            ),
            guardian=None,
            offset=ids.Offset(0),
            wait_s=0.0,
            continuous_since=ids.Term(term),
        )
        self.table = idempotency_table.IdempotencyTable(**table_limits)
        self.owner = idempotency.IdempotencyOwner(
            clock=self.clock, leases=self, table=self.table
        )
        self.done: list[call.Result] = []

    def in_force(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry for any partition."""
        return msgspec.structs.replace(self.entry, partition=partition)

    def owned(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry while the lease is held without a hand-over."""
        if not self.is_held or self.planned:
            return None
        return self.in_force(service, partition)

    def term_start_unix_s(
        self, service: ids.ServiceName, partition: int
    ) -> float | None:
        """Return the Unix time at which the term started."""
        return self.start_unix_s

    def planned_hand_overs(self) -> list[partition_lease.HandOverPlan]:
        """Return a hand-over of every partition once the test plans it."""
        if not self.planned:
            return []
        return [
            partition_lease.HandOverPlan(
                entry=msgspec.structs.replace(self.entry, partition=n),
                target=self.entry.owner,
                started_at=0.0,
            )
            for n in range(const.PARTITIONS_PER_SERVICE)
        ]

    def begin(
        self,
        key: str,
        request: str = 'r',
        workspace: ids.Workspace = WORKSPACE,
    ) -> idempotency.IdempotencyVerdict:
        """Begin a request and return the verdict."""
        return self.owner.begin(
            service=SERVICE,
            workspace=workspace,
            key=key,
            request_sha256=request,
            on_done=self.done.append,
        )

    def finish(self, key: str, result: call.Result = ANSWER) -> None:
        """Finish the run of a key."""
        self.owner.finish(
            service=SERVICE, workspace=WORKSPACE, key=key, result=result
        )

    def now_key(self, ahead_s: float = 0.0, number: int = 0) -> str:
        """Return a UUIDv7 key created now, or ahead of now."""
        return make_uuid7_key(self.clock.wall() + ahead_s, number)

    def hand_over(self, *, with_state: bool = True) -> 'Bench':
        """Hand the partitions over; return the owner of the next term."""
        self.planned = True
        successor = Bench(self.entry.term + 1)
        for partition in range(const.PARTITIONS_PER_SERVICE):
            for part in self.owner.export(SERVICE, partition):
                successor.owner.accept(part)
        if with_state:
            successor.entry = msgspec.structs.replace(
                successor.entry, continuous_since=self.entry.continuous_since
            )
        return successor


def expect(
    verdict: idempotency.IdempotencyVerdict,
    reason: enums.RefusalReason,
    outcome: enums.Outcome,
) -> None:
    """Check that a verdict is a refusal with a reason and an outcome."""
    assert verdict.action is Action.DONE
    assert isinstance(verdict.result, call.Refusal)
    assert (verdict.result.reason, verdict.result.outcome) == (reason, outcome)


def expect_unknown(verdict: idempotency.IdempotencyVerdict) -> None:
    """Check that a verdict refuses because the outcome is unknown."""
    expect(verdict, Reason.IDEMPOTENCY_OUTCOME_UNKNOWN, Outcome.UNKNOWN)


@pytest.mark.parametrize('key', ['opaque', make_uuid7_key(1.7e9)])
def test_repeats_get_the_same_answer(key: str) -> None:
    """Guards against a second run by a repeat, during or after the run."""
    bench = Bench()
    assert bench.begin(key).action is Action.RUN
    assert bench.begin(key).action is Action.WAIT
    assert bench.begin(key).action is Action.WAIT
    bench.finish(key)
    assert bench.done == [ANSWER, ANSWER]
    assert bench.begin(key).result == ANSWER
    bench.clock.advance(const.IDEMPOTENCY_RESULT_LIFETIME_S)
    expect_unknown(bench.begin(key))


def test_unknown_stays_unknown_and_not_run_frees_the_key() -> None:
    """Guards against a second run after an unknown outcome."""
    bench = Bench()
    for key, outcome in (('a', Outcome.UNKNOWN), ('b', Outcome.NOT_RUN)):
        bench.begin(key)
        bench.begin(key)
        bench.finish(key, refusal(outcome))
    assert bench.done == [refusal(Outcome.UNKNOWN), refusal(Outcome.NOT_RUN)]
    expect_unknown(bench.begin('a'))
    assert bench.begin('b').action is Action.RUN


def test_keys_of_workspaces_are_unrelated() -> None:
    """Guards against one workspace's result that is sent to another."""
    bench = Bench()
    bench.begin('k')
    bench.finish('k')
    other = bench.begin('k', workspace=ids.Workspace('x'))
    assert other.action is Action.RUN


def test_reused_key_is_refused() -> None:
    """Guards against a result that belongs to another request."""
    bench = Bench()
    bench.begin('k')
    verdict = bench.begin('k', request='other')
    expect(verdict, Reason.IDEMPOTENCY_KEY_REUSED, Outcome.NOT_RUN)
    assert isinstance(verdict.result, call.Refusal)
    assert 'which may have run' in verdict.result.detail


@pytest.mark.parametrize('key', ['', 'a b', 'ä', 'x' * 129])
def test_malformed_keys(key: str) -> None:
    """Guards against keys that cannot be sent in an HTTP header."""
    expect(
        Bench().begin(key), Reason.IDEMPOTENCY_KEY_MALFORMED, Outcome.NOT_RUN
    )


@pytest.mark.parametrize(
    ('ahead_s', 'reason', 'outcome'),
    [
        (2.1, Reason.IDEMPOTENCY_KEY_FUTURE, Outcome.NOT_RUN),
        (-601.0, Reason.IDEMPOTENCY_OUTCOME_UNKNOWN, Outcome.UNKNOWN),
        (-599.0, None, None),
        (1.9, None, None),
    ],
)
def test_time_of_a_key(
    ahead_s: float,
    reason: enums.RefusalReason | None,
    outcome: enums.Outcome | None,
) -> None:
    """Guards against keys that are older than the lifetime of entries."""
    bench = Bench()
    verdict = bench.begin(bench.now_key(ahead_s))
    if reason is None or outcome is None:
        assert verdict.action is Action.RUN
    else:
        expect(verdict, reason, outcome)


def test_expired_key_stays_expired() -> None:
    """Guards against a wall clock that is set back after an entry expired."""
    bench = Bench()
    key = bench.now_key()
    bench.begin(key)
    bench.finish(key)
    bench.clock.advance(700.0)
    assert bench.begin('opaque').action is Action.RUN
    bench.clock._wall_s -= 700.0
    expect_unknown(bench.begin(key))


def test_uuid_in_another_notation_is_opaque() -> None:
    """Guards against two table entries for one UUIDv7 key."""
    key = make_uuid7_key(1.7e9)
    assert idempotency.parse_creation_unix_s(key) == 1.7e9
    assert idempotency.parse_creation_unix_s('{' + key + '}') is None
    assert idempotency.parse_creation_unix_s(str(uuid.UUID(int=4))) is None


def test_full_table_refuses_new_keys_only() -> None:
    """Guards against unbounded memory and against evicting a running key."""
    bench = Bench(max_entries=1)
    bench.begin('a')
    expect(bench.begin('b'), Reason.IDEMPOTENCY_TABLE_FULL, Outcome.NOT_RUN)
    assert bench.begin('a').action is Action.WAIT


def test_answer_above_the_size_limit_is_not_kept() -> None:
    """Guards against unbounded memory use by large answers."""
    bench = Bench(max_bytes=1000)
    bench.begin('a')
    big = call.Answer(status=200, headers=[], body=b'x' * 1000)
    bench.begin('a')
    bench.finish('a', big)
    assert bench.done == [big]
    assert bench.table.size_bytes < 1000
    expect_unknown(bench.begin('a'))


def test_freed_keys_leave_no_entries() -> None:
    """Guards against a removal queue that grows with requests not run."""
    bench = Bench()
    for number in range(1000):
        bench.begin(f'k{number}')
        bench.finish(f'k{number}', refusal(Outcome.NOT_RUN))
    assert (len(bench.table), bench.table.size_bytes) == (0, 0)
    assert len(bench.table._entry_expiries) < 100


def test_expired_lease_begins_no_key() -> None:
    """Guards against a frozen owner that resumes after another takes over."""
    bench = Bench()
    bench.begin('a')
    bench.is_held = False
    expect(
        bench.begin('b'),
        Reason.IDEMPOTENCY_OWNER_UNAVAILABLE,
        Outcome.NOT_RUN,
    )
    assert bench.begin('a').action is Action.WAIT
    bench.finish('a')
    assert bench.done == [ANSWER]
    assert bench.begin('a').result == ANSWER


@pytest.mark.parametrize('moment', ['before', 'during', 'after'])
def test_owner_killed(moment: str) -> None:
    """Guards against a second run by the daemon that takes over."""
    first = Bench()
    key = first.now_key()
    if moment != 'before':
        first.begin(key)
    if moment == 'after':
        first.finish(key)
    second = Bench(term=2)
    second.clock.advance(16.0)
    second.start_unix_s = second.clock.wall()
    expect_unknown(second.begin(key))
    expect_unknown(second.begin('opaque'))
    second.clock.advance(5.0)
    assert second.begin(second.now_key()).action is Action.RUN
    expect_unknown(second.begin('opaque'))
    second.clock.advance(const.OPAQUE_KEY_LIFETIME_S)
    assert second.begin('opaque').action is Action.RUN


def test_clock_skew_after_a_takeover() -> None:
    """Guards against a margin of 2 s, which the skew of two clocks exceeds.

    The old owner's clock is CLOCK_SKEW_S ahead of the new owner's, and the
    caller's is CLOCK_SKEW_S ahead of the old owner's. The old lease ends
    0.8 s before the new term starts, so the time in the key is 3.2 s after
    that start by the new owner's clock.
    """
    old = Bench()
    gap_s = 0.8
    start_unix_s = old.clock.wall() - const.CLOCK_SKEW_S + gap_s
    key = old.now_key(ahead_s=const.CLOCK_SKEW_S)
    assert old.begin(key).action is Action.RUN
    assert (idempotency.parse_creation_unix_s(key) or 0) > start_unix_s + 2.0
    new = Bench(term=2)
    new.start_unix_s = start_unix_s
    new.clock._wall_s = start_unix_s + 10.0
    expect_unknown(new.begin(key))
    later = make_uuid7_key(start_unix_s + 2 * const.CLOCK_SKEW_S + 0.1)
    assert new.begin(later).action is Action.RUN


def test_hand_over_with_state() -> None:
    """Guards against refusals and second runs after a planned stop."""
    first = Bench()
    for key in ('run', 'done', 'lost'):
        first.begin(key)
    first.finish('done')
    first.finish('lost', refusal(Outcome.UNKNOWN))
    second = first.hand_over()
    expect_unknown(second.begin('run'))
    expect_unknown(second.begin('lost'))
    assert second.begin('done').result == ANSWER
    assert second.begin('new').action is Action.RUN
    # The sender begins no new key, but a repeat can still wait for its run.
    assert first.begin('run').action is Action.WAIT
    expect(
        first.begin('x'), Reason.IDEMPOTENCY_OWNER_UNAVAILABLE, Outcome.NOT_RUN
    )


def test_hand_over_without_state() -> None:
    """Guards against received state that the log does not confirm."""
    second = Bench().hand_over(with_state=False)
    expect_unknown(second.begin('new'))


def test_hand_over_keeps_the_age_of_knowledge() -> None:
    """Guards against a hand-over that omits an earlier takeover."""
    first = Bench(term=5)
    expect_unknown(first.begin('opaque'))
    first.begin(first.now_key(ahead_s=-1.0))
    second = first.hand_over()
    expect_unknown(second.begin('opaque'))
    expect_unknown(second.begin(second.now_key()))


def test_hand_over_in_parts() -> None:
    """Guards against state that counts as complete with a part missing."""
    first = Bench()
    body = b'x' * (const.HAND_OVER_PART_BYTES // 2)
    keys = [k for k in map(str, range(60)) if _partition(k) == 0]
    for key in keys:
        first.begin(key)
        first.finish(key, call.Answer(status=200, headers=[], body=body))
    first.planned = True
    parts = first.owner.export(SERVICE, 0)
    assert len(parts) > 3
    assert first.owner.export(SERVICE, 0) == parts
    second = Bench(term=2)
    second.entry = msgspec.structs.replace(
        second.entry, continuous_since=ids.Term(1)
    )
    assert not any(second.owner.accept(part) for part in parts[1:])
    complete = [second.owner.accept(p) for p in parts + parts[:2]]
    assert complete.index(True) == len(parts) - 1
    for key in keys:
        assert isinstance(second.begin(key).result, call.Answer)


def _partition(key: str) -> int:
    return placement.partition_of_key(key)


@dataclasses.dataclass
class Request:
    """A key that callers send, with its runs and results."""

    key: str
    runs: int = 0
    results: list[call.Result] = dataclasses.field(default_factory=list)


class Callers:
    """Callers that repeat their keys many times, in the lease simulation."""

    def __init__(self, world: lease_model.World) -> None:
        """Schedule the first call."""
        self.world = world
        self.random = random.Random(world.random.random())
        self.requests: list[Request] = []
        self.counts: collections.Counter[str] = collections.Counter()
        world.at(5.0, self._call)

    def _call(self) -> None:
        """Create a key, send it now and repeat it after each delay."""
        wall = 1.7e9 + self.world.now + self.random.uniform(-5.0, 5.0)
        number = len(self.requests)
        key = make_uuid7_key(wall, number)
        if self.random.random() < 0.3:
            key = f'opaque-{number}'
        request = Request(key)
        self.requests.append(request)
        delays_s = [0.0, 0.05, 1.0, 6.0, 12.0, 17.0, 25.0, 60.0]
        for delay_s in delays_s:
            self.world.at(delay_s, lambda: self._send(request))
        self.world.at(0.7, self._call)

    def _send(self, request: Request) -> None:
        """Send to a holder of the partition, or to any daemon without one."""
        holders = self.world.holders(_partition(request.key))
        daemon = self.random.choice(
            holders or list(self.world.daemons.values())
        )
        self.world.do(daemon, lambda: self._begin(daemon, request))

    def _begin(self, daemon: lease_model.Daemon, request: Request) -> None:
        verdict = daemon.owner.begin(
            service=SERVICE,
            workspace=WORKSPACE,
            key=request.key,
            request_sha256='r',
            on_done=request.results.append,
        )
        self.counts[verdict.action.name] += 1
        if verdict.result is not None:
            request.results.append(verdict.result)
        if verdict.action is not Action.RUN:
            return
        # The daemon may pause between the check and the run.
        if self.random.random() < 0.02:
            self.world.pause(daemon, self.random.uniform(5.0, 40.0))
        self.world.at(
            self.random.uniform(0.0, 2.0),
            lambda: self.world.do(daemon, lambda: self._run(daemon, request)),
        )

    def _run(self, daemon: lease_model.Daemon, request: Request) -> None:
        result: call.Result = self.random.choice(
            [
                ANSWER,
                ANSWER,
                refusal(Outcome.UNKNOWN),
                refusal(Outcome.NOT_RUN),
            ]
        )
        if result != refusal(Outcome.NOT_RUN):
            request.runs += 1
        self.world.at(
            self.random.uniform(0.0, 3.0),
            lambda: self.world.do(
                daemon,
                lambda: daemon.owner.finish(
                    service=SERVICE,
                    workspace=WORKSPACE,
                    key=request.key,
                    result=result,
                ),
            ),
        )


def test_at_most_one_run_per_key(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a second run of a key under any combination of faults.

    At random times, daemons are killed, frozen, stopped and disconnected,
    and the log is unavailable. Wall clocks differ by up to CLOCK_SKEW_S,
    clock rates by 2%, and the callers' clocks are wrong by up to 5 s.
    """
    monkeypatch.setattr(const, 'MAX_LEASE_WITHOUT_LOG_S', 40.0)
    counts: collections.Counter[str] = collections.Counter()

    @hypothesis.settings(
        derandomize=True, max_examples=12, deadline=None, database=None
    )
    @hypothesis.given(strategies.integers(0, 2**32))
    def run(seed: int) -> None:
        world = lease_model.World(seed, fault_rate=0.1)
        callers = Callers(world)
        world.run(150.0)
        assert world.overlaps == []
        assert [r.key for r in callers.requests if r.runs > 1] == []
        counts.update(callers.counts)
        counts['runs'] += sum(r.runs for r in callers.requests)
        counts['transfers'] += world.accepted['TransferPartition']
        counts['takeovers'] += world.accepted['guardian claim']

    run()
    print(dict(counts))
    assert counts['runs'] > 300
    assert counts['WAIT'] > 100
    assert counts['transfers'] > 20
    assert counts['takeovers'] > 20


def test_message_of_a_former_term_is_ignored() -> None:
    """Guards against an old export that replaces a newer one."""
    bench = Bench(term=4)

    def part(term: int) -> messages.HandOver:
        return messages.HandOver(
            service=SERVICE,
            partition=0,
            term=ids.Term(term),
            sender=bench.entry.owner,
            part=0,
            last=True,
            knowledge_age_s=None,
            entries=[],
        )

    assert bench.owner.accept(part(3))
    assert not bench.owner.accept(part(2))
