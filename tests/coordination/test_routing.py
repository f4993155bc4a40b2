"""Tests of the choice of an upstream."""

import collections
import random

import pytest

from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import routing
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records

SERVICE = ids.ServiceName('status')
NORMAL = enums.Importance.NORMAL
NONE: frozenset[ids.DaemonId] = frozenset()
ANSWER = call.Answer(status=200, headers=[], body=b'')
Upstream = enums.UpstreamStatus


class FakeMembers:
    """Members that a test sets."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[ids.DaemonId, records.Member] = {}
        self.silent: set[ids.DaemonId] = set()

    def add(
        self,
        name: str,
        domain: str = 'near',
        *,
        status: enums.MemberStatus = enums.MemberStatus.ACTIVE,
        upstream: Upstream = Upstream.READY,
        slots: int = 10,
        region: str = 'north',
    ) -> ids.DaemonId:
        """Add or replace a member."""
        daemon_id = ids.DaemonId(name)
        self.entries[daemon_id] = records.Member(
            daemon_id=daemon_id,
            incarnation=ids.Incarnation(1),
            version=1,
            service=SERVICE,
            failure_domain=ids.FailureDomain(domain),
            region=region,
            peer_address='127.0.0.1:1',
            http_address='127.0.0.1:2',
            status=status,
            upstream_status=upstream,
            slots=slots,
        )
        return daemon_id

    def members(
        self, service: ids.ServiceName | None = None
    ) -> list[records.Member]:
        """Return the members of a service."""
        return list(self.entries.values())

    def get(self, daemon_id: ids.DaemonId) -> records.Member | None:
        """Return a member."""
        return self.entries.get(daemon_id)

    def is_silent(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether the test made it silent."""
        return daemon_id in self.silent


def make_hint(
    lowest: enums.Importance = enums.Importance.LOW,
    *,
    limit: int = 10,
    in_flight: int = 0,
    queued: int = 0,
    status: Upstream = Upstream.READY,
) -> messages.AdmissionHint:
    """Return a hint."""
    return messages.AdmissionHint(
        lowest_importance=lowest,
        limit=limit,
        in_flight=in_flight,
        queued=queued,
        upstream_status=status,
    )


def make_refusal(reason: enums.RefusalReason) -> call.Refusal:
    """Return a refusal that is known as not run."""
    return call.Refusal(reason=reason, outcome=enums.Outcome.NOT_RUN)


class Bed:
    """A router with its clock and members."""

    def __init__(self, seed: int = 11, region: str | None = None) -> None:
        """Start without members."""
        self.clock = clock.ManualClock()
        self.members = FakeMembers()
        self.router = routing.Router(
            clock=self.clock,
            random=random.Random(seed),
            own_domain=ids.FailureDomain('near'),
            membership=self.members,
            own_region=region,
        )

    def choose(
        self,
        importance: enums.Importance = NORMAL,
        exclude: frozenset[ids.DaemonId] = NONE,
    ) -> ids.DaemonId | call.Refusal:
        """Return the choice for a call."""
        return self.router.choose(SERVICE, importance, exclude)

    def spread(self, calls: int) -> collections.Counter[str]:
        """Return how many of the calls each daemon would get, one by one."""
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(calls):
            chosen = self.choose()
            counts[chosen if isinstance(chosen, str) else 'refused'] += 1
        return counts

    def end(
        self,
        daemon_id: ids.DaemonId,
        result: call.Result | None = ANSWER,
        hint: messages.AdmissionHint | None = None,
    ) -> None:
        """Send a call and end it at once."""
        self.router.note_sent(daemon_id)
        self.router.note_result(daemon_id, result, hint)


@pytest.mark.parametrize(
    'values',
    [
        {'status': enums.MemberStatus.LEAVING},
        {'status': enums.MemberStatus.LEFT},
        {'upstream': Upstream.DRAINING},
        {'upstream': Upstream.ABSENT},
        {'upstream': Upstream.CRASHED},
        {'slots': 0},
    ],
)
def test_upstream_that_does_not_serve_gets_no_call(values: dict) -> None:
    """Guards against new work for upstreams that leave or cannot run it."""
    bed = Bed()
    bed.members.add('out', **values)
    refusal = bed.choose()
    assert isinstance(refusal, call.Refusal)
    assert refusal.reason is enums.RefusalReason.NO_UPSTREAM
    assert refusal.outcome is enums.Outcome.NOT_RUN
    assert not refusal.shed
    bed.members.add('in', 'far')
    assert bed.spread(200) == {'in': 200}


def test_draining_hint_stops_calls_before_the_member_entry() -> None:
    """Guards against calls to a draining upstream while gossip is slow."""
    bed = Bed()
    out, other = bed.members.add('out'), bed.members.add('in')
    bed.router.note_hint(out, make_hint(status=Upstream.DRAINING))
    assert bed.spread(200) == {other: 200}


def test_excluded_upstream_gets_no_retry() -> None:
    """Guards against a retry on the upstream that has just refused."""
    bed = Bed()
    first, second = bed.members.add('a'), bed.members.add('b')
    for _ in range(100):
        assert bed.choose(exclude=frozenset({first})) == second
    both = frozenset({first, second})
    assert isinstance(bed.choose(exclude=both), call.Refusal)


def test_calls_follow_limits_and_calls_in_flight() -> None:
    """Guards against a herd on one upstream or a neglected large one."""
    bed = Bed()
    for name, slots in [('a', 10), ('b', 20), ('c', 40)]:
        bed.members.add(name, slots=slots)
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(56):
        chosen = bed.choose()
        assert isinstance(chosen, str)
        bed.router.note_sent(chosen)
        counts[chosen] += 1
    for name, slots in [('a', 10), ('b', 20), ('c', 40)]:
        assert counts[name] == pytest.approx(0.8 * slots, abs=2)


def test_cold_upstream_gets_its_part_only() -> None:
    """Guards against a cold upstream that is flooded as it starts."""
    bed = Bed()
    cold = bed.members.add('cold', upstream=Upstream.COLD, slots=100)
    for name in ['a', 'b', 'c']:
        bed.members.add(name, slots=100)
    # A tenth of its slots count: 10 of 310.
    assert bed.spread(5000)[cold] / 5000 == pytest.approx(0.032, abs=0.008)
    bed.router.note_hint(cold, make_hint(limit=50, status=Upstream.COLD))
    for name in ['a', 'b', 'c']:
        bed.router.note_hint(ids.DaemonId(name), make_hint(limit=100))
    # 50 of 350.
    assert bed.spread(5000)[cold] / 5000 == pytest.approx(0.143, abs=0.02)


def test_own_domain_comes_first_until_it_is_loaded() -> None:
    """Guards against needless hops between domains and against overload."""
    bed = Bed()
    near = [bed.members.add(name) for name in ['n1', 'n2']]
    far = [bed.members.add(name, 'far') for name in ['f1', 'f2']]
    counts = bed.spread(300)
    assert counts[far[0]] + counts[far[1]] == 0
    for daemon_id in near:
        for _ in range(10):
            bed.router.note_sent(daemon_id)
    for _ in range(10):
        bed.clock.advance(const.REMOTE_SHARE_INTERVAL_S)
        bed.choose()
    counts = bed.spread(300)
    assert counts[near[0]] + counts[near[1]] == 0


def test_remote_share_is_steady_between_the_thresholds() -> None:
    """Guards against calls that swing between domains with each change."""
    bed = Bed()
    near, far = bed.members.add('n'), bed.members.add('f', 'far')

    def run(in_flight: int) -> float:
        remote = 0
        for _ in range(1000):
            bed.clock.advance(0.002)
            hint = make_hint(in_flight=in_flight)
            bed.router.note_hint(near, hint)
            remote += bed.choose() == far
        return remote / 1000

    assert run(7) == 0.0
    assert run(9) > 0.5
    share = run(7)
    assert share > 0.9
    assert run(6) == pytest.approx(share, abs=0.05)
    run(3)
    assert run(7) == 0.0


def test_loaded_remote_upstream_gets_no_overflow() -> None:
    """Guards against sending calls across to where it is worse."""
    bed = Bed()
    near, far = bed.members.add('n'), bed.members.add('f', 'far')
    bed.router.note_hint(near, make_hint(in_flight=9))
    bed.router.note_hint(far, make_hint(in_flight=9, queued=10))
    for _ in range(9):
        bed.clock.advance(const.REMOTE_SHARE_INTERVAL_S)
        assert bed.choose() == near


def test_other_region_comes_last() -> None:
    """Guards against long paths while a nearer domain has room."""
    bed = Bed(region='north')
    bed.members.add('other', 'far', region='south')
    same = bed.members.add('same', 'beside', region='north')
    assert bed.spread(100) == {same: 100}
    for _ in range(6):
        bed.router.note_sent(same)
    assert bed.choose() == 'other'


def test_unreachable_upstream_is_probed_with_backoff() -> None:
    """Guards against calls that fail in turn on the same broken upstream."""
    bed = Bed()
    bad = bed.members.add('bad')
    bed.members.add('good')
    failure = make_refusal(enums.RefusalReason.PEER_UNREACHABLE)
    probes = []
    bed.end(bad, failure)
    for step in range(3000):
        bed.clock.advance(0.01)
        chosen = bed.choose()
        if chosen == bad:
            probes.append(step * 0.01)
            bed.end(bad, failure)
    assert 8 <= len(probes) <= 30
    gaps = [later - sooner for sooner, later in zip(probes, probes[1:])]
    assert max(gaps) >= 1.0
    bed.clock.advance(const.AVOID_MAX_S)
    while bed.choose() != bad:
        pass
    bed.router.note_sent(bad)
    for _ in range(5):
        bed.router.note_sent(ids.DaemonId('good'))
    # One probe at a time, also where the others are loaded.
    assert bed.spread(100)[bad] == 0
    bed.router.note_result(bad, ANSWER, None)
    assert bed.spread(100)[bad] > 20


def test_calls_that_fail_together_count_as_one_failure() -> None:
    """Guards against the longest backoff after one broken connection."""
    bed = Bed()
    bad = bed.members.add('bad')
    for _ in range(10):
        bed.router.note_sent(bad)
    for _ in range(10):
        bed.router.note_result(bad, None, None)
    refusal = bed.choose()
    assert isinstance(refusal, call.Refusal)
    assert refusal.retry_after_s is not None
    assert 0.0 < refusal.retry_after_s <= const.AVOID_BASE_S
    bed.clock.advance(const.AVOID_BASE_S)
    assert bed.choose() == bad


@pytest.mark.parametrize(
    'result',
    [ANSWER, make_refusal(enums.RefusalReason.UPSTREAM_UNREACHABLE)],
)
def test_silent_peer_is_probed_by_ping_only(result: call.Result) -> None:
    """Guards against calls that end unknown because a peer is silent."""
    bed = Bed()
    silent = bed.members.add('silent')
    bed.end(silent, result)
    bed.members.silent.add(silent)
    due = 0
    for _ in range(300):
        bed.clock.advance(0.1)
        assert isinstance(bed.choose(), call.Refusal)
        due += len(bed.router.probes_due())
    assert 10 <= due <= 40
    bed.members.silent.clear()
    bed.router.note_hint(silent, make_hint())
    bed.clock.advance(const.AVOID_MAX_S)
    assert bed.choose() == silent


def test_pong_says_nothing_about_an_unreachable_upstream() -> None:
    """Guards against calls that a reachable daemon fails in turn."""
    bed = Bed()
    bad = bed.members.add('bad')
    failure = make_refusal(enums.RefusalReason.UPSTREAM_UNREACHABLE)
    bed.end(bad, failure)
    bed.router.note_hint(bad, make_hint())
    assert isinstance(bed.choose(), call.Refusal)
    bed.clock.advance(const.AVOID_BASE_S)
    assert bed.router.probes_due() == []
    assert bed.choose() == bad
    bed.end(bad)
    assert bed.choose() == bad


def refuse_all(bed: Bed, names: list[ids.DaemonId]) -> None:
    """Let all daemons hint that they admit high importance only."""
    for name in names:
        bed.router.note_hint(name, make_hint(enums.Importance.HIGH))


def test_early_refusal_if_all_refuse_the_importance() -> None:
    """Guards against work that is sent only to be shed."""
    bed = Bed()
    names = [bed.members.add('a'), bed.members.add('b', 'far')]
    refuse_all(bed, names)
    refusals = []
    sent = 0
    for _ in range(5000):
        chosen = bed.choose()
        if isinstance(chosen, call.Refusal):
            refusals.append(chosen)
        else:
            sent += 1
    assert 0.01 <= sent / 5000 <= 0.03
    assert {item.reason for item in refusals} == {
        enums.RefusalReason.OVERLOADED
    }
    assert {item.outcome for item in refusals} == {enums.Outcome.NOT_RUN}
    assert all(item.shed for item in refusals)
    waits = {item.retry_after_s for item in refusals}
    assert len(waits) > 1000
    assert isinstance(bed.choose(enums.Importance.HIGH), str)


def test_one_upstream_that_admits_takes_the_calls() -> None:
    """Guards against a refusal while some upstream would run the call."""
    bed = Bed()
    names = [bed.members.add('a'), bed.members.add('b')]
    admits = bed.members.add('c', 'far')
    refuse_all(bed, names)
    assert bed.spread(200) == {admits: 200}


def test_refusal_ends_with_the_hint() -> None:
    """Guards against refusals that feed on each other after an overload."""
    bed = Bed()
    name = bed.members.add('a')
    refuse_all(bed, [name])
    bed.clock.advance(const.HINT_LIFETIME_S - 0.01)
    assert bed.spread(100)['refused'] > 90
    bed.clock.advance(0.01)
    assert bed.spread(100) == {name: 100}


def test_probe_ends_the_refusal_before_the_hint_does() -> None:
    """Guards against waiting for a hint that is known to be outdated."""
    bed = Bed()
    name = bed.members.add('a')
    refuse_all(bed, [name])
    bed.end(name, ANSWER, make_hint(enums.Importance.LOW))
    assert bed.spread(100) == {name: 100}


def test_lying_hint_moves_a_bounded_part_of_the_calls() -> None:
    """Guards against an upstream that claims endless room, or none."""
    bed = Bed()
    liar = bed.members.add('liar')
    others = [bed.members.add(name) for name in ['a', 'b', 'c']]
    for name in others:
        bed.router.note_hint(name, make_hint(in_flight=5))
    lie = make_hint(limit=10**9, in_flight=-(10**9), queued=-5)
    bed.router.note_hint(liar, lie)
    # With two choices out of four, the best gets half of the calls.
    assert bed.spread(2000)[liar] <= 1100
    bed.router.note_hint(liar, make_hint(limit=-3, in_flight=10**9))
    assert bed.spread(2000)['refused'] == 0
    bed.clock.advance(const.HINT_LIFETIME_S)
    assert bed.spread(2000)[liar] == pytest.approx(500, abs=100)


def test_lying_hint_does_not_send_calls_out_of_the_domain() -> None:
    """Guards against one wrong number that outweighs all other upstreams."""
    bed = Bed()
    near = [bed.members.add(name) for name in ['liar', 'a', 'b', 'c']]
    bed.members.add('far', 'far')
    bed.router.note_hint(near[0], make_hint(in_flight=10**9))
    for name in 3 * near[1:]:
        bed.router.note_sent(name)
    for _ in range(9):
        bed.clock.advance(const.REMOTE_SHARE_INTERVAL_S)
        assert bed.choose() != 'far'


def test_lying_hint_does_not_outweigh_own_calls_in_flight() -> None:
    """Guards against an upstream that seems idle whatever it is sent."""
    bed = Bed()
    liar, other = bed.members.add('liar'), bed.members.add('a')
    bed.router.note_hint(liar, make_hint(in_flight=-(10**9)))
    for _ in range(10):
        bed.router.note_sent(liar)
    assert bed.spread(100) == {other: 100}


def test_cancelled_calls_say_nothing_about_the_peer() -> None:
    """Guards against a timeout that ends the avoidance of a dead peer."""
    bed = Bed()
    bad = bed.members.add('bad')
    bed.router.note_sent(bad)
    bed.router.note_sent(bad)
    bed.router.note_result(bad, None, None)
    cancelled = make_refusal(enums.RefusalReason.DEADLINE_EXCEEDED)
    bed.router.note_result(bad, cancelled, None)
    assert isinstance(bed.choose(), call.Refusal)


def test_forgotten_members_leave_no_memory_behind() -> None:
    """Guards against growth with each replaced VM."""
    bed = Bed()
    for number in range(500):
        name = bed.members.add(f'vm-{number}')
        bed.end(name)
        del bed.members.entries[name]
    bed.clock.advance(const.ROUTING_PURGE_S)
    bed.choose()
    assert len(bed.router._loads) == 0
