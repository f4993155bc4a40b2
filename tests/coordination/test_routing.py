"""Tests of load balancing over the upstreams of a service."""

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
NO_DAEMONS: frozenset[ids.DaemonId] = frozenset()
ANSWER = call.Answer(status=200, headers=[], body=b'')
Upstream = enums.UpstreamStatus


class FakeMembers:
    """A member table that the test fills."""

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
        """Return whether the test marked a member as silent."""
        return daemon_id in self.silent


def make_hint(
    lowest: enums.Importance = enums.Importance.LOW,
    *,
    limit: int = 10,
    in_flight: int = 0,
    queued: int = 0,
    status: Upstream = Upstream.READY,
) -> messages.AdmissionHint:
    """Return an admission hint of an upstream with ten slots."""
    return messages.AdmissionHint(
        lowest_importance=lowest,
        limit=limit,
        in_flight=in_flight,
        queued=queued,
        upstream_status=status,
    )


def make_refusal(reason: enums.RefusalReason) -> call.Refusal:
    """Return a refusal with outcome NOT_RUN."""
    return call.Refusal(reason=reason, outcome=enums.Outcome.NOT_RUN)


class RouterHarness:
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
        exclude: frozenset[ids.DaemonId] = NO_DAEMONS,
    ) -> ids.DaemonId | call.Refusal:
        """Return the choice of the router for a call."""
        return self.router.choose(SERVICE, importance, exclude)

    def count_choices(self, calls: int) -> collections.Counter[str]:
        """Return how many calls each daemon would get, none in flight."""
        call_counts: collections.Counter[str] = collections.Counter()
        for _ in range(calls):
            chosen = self.choose()
            call_counts[chosen if isinstance(chosen, str) else 'refused'] += 1
        return call_counts

    def end(
        self,
        daemon_id: ids.DaemonId,
        result: call.Result | None = ANSWER,
        hint: messages.AdmissionHint | None = None,
    ) -> None:
        """Send a call to a daemon and end it at once with a result."""
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
    """Guards against new calls to upstreams that leave or cannot run them."""
    harness = RouterHarness()
    harness.members.add('out', **values)
    refusal = harness.choose()
    assert isinstance(refusal, call.Refusal)
    assert refusal.reason is enums.RefusalReason.NO_UPSTREAM
    assert refusal.outcome is enums.Outcome.NOT_RUN
    assert not refusal.shed
    harness.members.add('in', 'far')
    assert harness.count_choices(200) == {'in': 200}


def test_draining_hint_stops_calls_before_the_member_entry() -> None:
    """Guards against calls to a draining upstream before gossip reports it."""
    harness = RouterHarness()
    out, other = harness.members.add('out'), harness.members.add('in')
    harness.router.note_hint(out, make_hint(status=Upstream.DRAINING))
    assert harness.count_choices(200) == {other: 200}


def test_excluded_upstream_gets_no_retry() -> None:
    """Guards against a retry on the upstream that refused the call."""
    harness = RouterHarness()
    first, second = harness.members.add('a'), harness.members.add('b')
    for _ in range(100):
        assert harness.choose(exclude=frozenset({first})) == second
    both = frozenset({first, second})
    assert isinstance(harness.choose(exclude=both), call.Refusal)


def test_calls_follow_limits_and_calls_in_flight() -> None:
    """Guards against overload of a small upstream beside an idle large one."""
    harness = RouterHarness()
    for name, slots in [('a', 10), ('b', 20), ('c', 40)]:
        harness.members.add(name, slots=slots)
    call_counts: collections.Counter[str] = collections.Counter()
    for _ in range(56):
        chosen = harness.choose()
        assert isinstance(chosen, str)
        harness.router.note_sent(chosen)
        call_counts[chosen] += 1
    for name, slots in [('a', 10), ('b', 20), ('c', 40)]:
        assert call_counts[name] == pytest.approx(0.8 * slots, abs=2)


def test_cold_upstream_gets_its_part_only() -> None:
    """Guards against overload of an upstream that has just started."""
    harness = RouterHarness()
    cold = harness.members.add('cold', upstream=Upstream.COLD, slots=100)
    for name in ['a', 'b', 'c']:
        harness.members.add(name, slots=100)
    # COLD_START_FRACTION leaves it 10 of its 100 slots, of 310 in total.
    assert harness.count_choices(5000)[cold] / 5000 == pytest.approx(
        0.032, abs=0.008
    )
    harness.router.note_hint(cold, make_hint(limit=50, status=Upstream.COLD))
    for name in ['a', 'b', 'c']:
        harness.router.note_hint(ids.DaemonId(name), make_hint(limit=100))
    # The hinted limit is 50, of 350 in total.
    assert harness.count_choices(5000)[cold] / 5000 == pytest.approx(
        0.143, abs=0.02
    )


def test_own_domain_comes_first_until_it_is_loaded() -> None:
    """Guards against needless calls to other domains and against overload."""
    harness = RouterHarness()
    near = [harness.members.add(name) for name in ['n1', 'n2']]
    far = [harness.members.add(name, 'far') for name in ['f1', 'f2']]
    call_counts = harness.count_choices(300)
    assert call_counts[far[0]] + call_counts[far[1]] == 0
    for daemon_id in near:
        for _ in range(10):
            harness.router.note_sent(daemon_id)
    for _ in range(10):
        harness.clock.advance(const.REMOTE_FRACTION_INTERVAL_S)
        harness.choose()
    call_counts = harness.count_choices(300)
    assert call_counts[near[0]] + call_counts[near[1]] == 0


def test_remote_share_is_steady_between_the_thresholds() -> None:
    """Guards against oscillation of the calls between domains."""
    harness = RouterHarness()
    near, far = harness.members.add('n'), harness.members.add('f', 'far')

    def measure_remote_fraction(in_flight: int) -> float:
        remote = 0
        for _ in range(1000):
            harness.clock.advance(0.002)
            hint = make_hint(in_flight=in_flight)
            harness.router.note_hint(near, hint)
            remote += harness.choose() == far
        return remote / 1000

    assert measure_remote_fraction(7) == 0.0
    assert measure_remote_fraction(9) > 0.5
    share = measure_remote_fraction(7)
    assert share > 0.9
    assert measure_remote_fraction(6) == pytest.approx(share, abs=0.05)
    measure_remote_fraction(3)
    assert measure_remote_fraction(7) == 0.0


def test_loaded_remote_upstream_gets_no_overflow() -> None:
    """Guards against overflow into a domain that is loaded even more."""
    harness = RouterHarness()
    near, far = harness.members.add('n'), harness.members.add('f', 'far')
    harness.router.note_hint(near, make_hint(in_flight=9))
    harness.router.note_hint(far, make_hint(in_flight=9, queued=10))
    for _ in range(9):
        harness.clock.advance(const.REMOTE_FRACTION_INTERVAL_S)
        assert harness.choose() == near


def test_other_region_comes_last() -> None:
    """Guards against calls to another region while this one has capacity."""
    harness = RouterHarness(region='north')
    harness.members.add('other', 'far', region='south')
    same = harness.members.add('same', 'beside', region='north')
    assert harness.count_choices(100) == {same: 100}
    for _ in range(6):
        harness.router.note_sent(same)
    assert harness.choose() == 'other'


def test_unreachable_upstream_is_probed_with_backoff() -> None:
    """Guards against call after call failing on the same broken upstream."""
    harness = RouterHarness()
    bad = harness.members.add('bad')
    harness.members.add('good')
    failure = make_refusal(enums.RefusalReason.PEER_UNREACHABLE)
    probes = []
    harness.end(bad, failure)
    for step in range(3000):
        harness.clock.advance(0.01)
        chosen = harness.choose()
        if chosen == bad:
            probes.append(step * 0.01)
            harness.end(bad, failure)
    assert 8 <= len(probes) <= 30
    gaps = [later - sooner for sooner, later in zip(probes, probes[1:])]
    assert max(gaps) >= 1.0
    harness.clock.advance(const.AVOID_MAX_S)
    while harness.choose() != bad:
        pass
    harness.router.note_sent(bad)
    for _ in range(5):
        harness.router.note_sent(ids.DaemonId('good'))
    # Only one probe is in flight, even if the other upstreams are loaded.
    assert harness.count_choices(100)[bad] == 0
    harness.router.note_result(bad, ANSWER, None)
    assert harness.count_choices(100)[bad] > 20


def test_calls_that_fail_together_count_as_one_failure() -> None:
    """Guards against a maximal backoff after a single broken connection.

    All calls in flight on the connection fail, one after the other.
    """
    harness = RouterHarness()
    bad = harness.members.add('bad')
    for _ in range(10):
        harness.router.note_sent(bad)
    for _ in range(10):
        harness.router.note_result(bad, None, None)
    refusal = harness.choose()
    assert isinstance(refusal, call.Refusal)
    assert refusal.retry_after_s is not None
    assert 0.0 < refusal.retry_after_s <= const.AVOID_BASE_S
    harness.clock.advance(const.AVOID_BASE_S)
    assert harness.choose() == bad


@pytest.mark.parametrize(
    'result',
    [ANSWER, make_refusal(enums.RefusalReason.UPSTREAM_UNREACHABLE)],
)
def test_silent_peer_is_probed_by_ping_only(result: call.Result) -> None:
    """Guards against calls with unknown outcome on a silent peer."""
    harness = RouterHarness()
    silent = harness.members.add('silent')
    harness.end(silent, result)
    harness.members.silent.add(silent)
    ping_count = 0
    for _ in range(300):
        harness.clock.advance(0.1)
        assert isinstance(harness.choose(), call.Refusal)
        ping_count += len(harness.router.take_due_probes())
    assert 10 <= ping_count <= 40
    harness.members.silent.clear()
    harness.router.note_hint(silent, make_hint())
    harness.clock.advance(const.AVOID_MAX_S)
    assert harness.choose() == silent


def test_pong_does_not_end_avoidance_of_an_unreachable_upstream() -> None:
    """Guards against failing calls to a daemon without its upstream.

    The daemon replies to a Ping while its upstream is unreachable.
    """
    harness = RouterHarness()
    bad = harness.members.add('bad')
    failure = make_refusal(enums.RefusalReason.UPSTREAM_UNREACHABLE)
    harness.end(bad, failure)
    harness.router.note_hint(bad, make_hint())
    assert isinstance(harness.choose(), call.Refusal)
    harness.clock.advance(const.AVOID_BASE_S)
    assert harness.router.take_due_probes() == []
    assert harness.choose() == bad
    harness.end(bad)
    assert harness.choose() == bad


def hint_high_importance_only(
    harness: RouterHarness, names: list[ids.DaemonId]
) -> None:
    """Store hints by which the daemons admit high importance only."""
    for name in names:
        harness.router.note_hint(name, make_hint(enums.Importance.HIGH))


def test_early_refusal_if_all_refuse_the_importance() -> None:
    """Guards against sending calls that every upstream would shed."""
    harness = RouterHarness()
    names = [harness.members.add('a'), harness.members.add('b', 'far')]
    hint_high_importance_only(harness, names)
    refusals = []
    sent = 0
    for _ in range(5000):
        chosen = harness.choose()
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
    assert isinstance(harness.choose(enums.Importance.HIGH), str)


def test_one_upstream_that_admits_takes_the_calls() -> None:
    """Guards against a refusal while one upstream still admits the call."""
    harness = RouterHarness()
    names = [harness.members.add('a'), harness.members.add('b')]
    admitting = harness.members.add('c', 'far')
    hint_high_importance_only(harness, names)
    assert harness.count_choices(200) == {admitting: 200}


def test_refusal_ends_with_the_hint() -> None:
    """Guards against refusals that go on after an overload has ended.

    While all calls are refused, no result brings a newer hint.
    """
    harness = RouterHarness()
    name = harness.members.add('a')
    hint_high_importance_only(harness, [name])
    harness.clock.advance(const.HINT_LIFETIME_S - 0.01)
    assert harness.count_choices(100)['refused'] > 90
    harness.clock.advance(0.01)
    assert harness.count_choices(100) == {name: 100}


def test_probe_ends_the_refusal_before_the_hint_does() -> None:
    """Guards against refusals by a hint that a newer one has replaced."""
    harness = RouterHarness()
    name = harness.members.add('a')
    hint_high_importance_only(harness, [name])
    harness.end(name, ANSWER, make_hint(enums.Importance.LOW))
    assert harness.count_choices(100) == {name: 100}


def test_wrong_hint_moves_a_bounded_part_of_the_calls() -> None:
    """Guards against a hint that reports unlimited capacity, or none."""
    harness = RouterHarness()
    misreporting = harness.members.add('liar')
    others = [harness.members.add(name) for name in ['a', 'b', 'c']]
    for name in others:
        harness.router.note_hint(name, make_hint(in_flight=5))
    wrong_hint = make_hint(limit=10**9, in_flight=-(10**9), queued=-5)
    harness.router.note_hint(misreporting, wrong_hint)
    # The least loaded of four is among the two drawn for half of the calls.
    assert harness.count_choices(2000)[misreporting] <= 1100
    harness.router.note_hint(
        misreporting, make_hint(limit=-3, in_flight=10**9)
    )
    assert harness.count_choices(2000)['refused'] == 0
    harness.clock.advance(const.HINT_LIFETIME_S)
    assert harness.count_choices(2000)[misreporting] == pytest.approx(
        500, abs=100
    )


def test_wrong_hint_does_not_send_calls_out_of_the_domain() -> None:
    """Guards against one wrong load that makes a whole domain look loaded."""
    harness = RouterHarness()
    near = [harness.members.add(name) for name in ['liar', 'a', 'b', 'c']]
    harness.members.add('far', 'far')
    harness.router.note_hint(near[0], make_hint(in_flight=10**9))
    for name in 3 * near[1:]:
        harness.router.note_sent(name)
    for _ in range(9):
        harness.clock.advance(const.REMOTE_FRACTION_INTERVAL_S)
        assert harness.choose() != 'far'


def test_wrong_hint_does_not_outweigh_own_calls_in_flight() -> None:
    """Guards against overload of an upstream that always reports no load."""
    harness = RouterHarness()
    misreporting, other = harness.members.add('liar'), harness.members.add('a')
    harness.router.note_hint(misreporting, make_hint(in_flight=-(10**9)))
    for _ in range(10):
        harness.router.note_sent(misreporting)
    assert harness.count_choices(100) == {other: 100}


def test_cancelled_calls_do_not_end_the_avoidance_of_a_peer() -> None:
    """Guards against new calls to a dead peer after a call timed out."""
    harness = RouterHarness()
    bad = harness.members.add('bad')
    harness.router.note_sent(bad)
    harness.router.note_sent(bad)
    harness.router.note_result(bad, None, None)
    cancelled = make_refusal(enums.RefusalReason.DEADLINE_EXCEEDED)
    harness.router.note_result(bad, cancelled, None)
    assert isinstance(harness.choose(), call.Refusal)


def test_loads_of_removed_members_are_purged() -> None:
    """Guards against memory that grows with each replaced VM."""
    harness = RouterHarness()
    for number in range(500):
        name = harness.members.add(f'vm-{number}')
        harness.end(name)
        del harness.members.entries[name]
    harness.clock.advance(const.ROUTING_PURGE_S)
    harness.choose()
    assert len(harness.router._loads) == 0
