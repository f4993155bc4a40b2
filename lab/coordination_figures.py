"""Simulates routing, retries, limits and quarantine, and prints results.

Run with `script/python -m lab.coordination_figures`. Everything runs in
virtual time and gives the same results in each run, except for the measured
cost of a choice.
"""

import dataclasses
import heapq
import random
import time
from typing import Callable

from lab import call_tree
from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import callee_limit
from sassafraswood.coordination import quarantine
from sassafraswood.coordination import retry
from sassafraswood.coordination import routing
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records

_SERVICE = ids.ServiceName('status')
_ANSWER = call.Answer(status=200, headers=[], body=b'')
_NO_DAEMONS: frozenset[ids.DaemonId] = frozenset()
_SEED = 7


class _StaticMembership:
    """Fixed members, none of which is ever silent."""

    def __init__(self, members: list[records.Member]) -> None:
        self._members = {member.daemon_id: member for member in members}

    def members(
        self, service: ids.ServiceName | None = None
    ) -> list[records.Member]:
        return list(self._members.values())

    def get(self, daemon_id: ids.DaemonId) -> records.Member | None:
        return self._members.get(daemon_id)

    def is_silent(self, daemon_id: ids.DaemonId) -> bool:
        return False


def _make_member(number: int, domain: str, slots: int) -> records.Member:
    return records.Member(
        daemon_id=ids.DaemonId(f'd{number}'),
        incarnation=ids.Incarnation(1),
        version=1,
        service=_SERVICE,
        failure_domain=ids.FailureDomain(domain),
        region='r',
        peer_address='',
        http_address='',
        status=enums.MemberStatus.ACTIVE,
        upstream_status=enums.UpstreamStatus.READY,
        slots=slots,
    )


@dataclasses.dataclass
class _Upstream:
    """An upstream with a number of slots and a FIFO queue.

    Attributes:
        queue: Waiting calls: the index of their router and the time of
            arrival in seconds.
    """

    slots: int
    in_flight: int = 0
    queue: list[tuple[int, float]] = dataclasses.field(default_factory=list)

    def make_hint(
        self, lowest: enums.Importance = enums.Importance.LOW
    ) -> messages.AdmissionHint:
        return messages.AdmissionHint(
            lowest_importance=lowest,
            limit=self.slots,
            in_flight=self.in_flight,
            queued=len(self.queue),
            upstream_status=enums.UpstreamStatus.READY,
        )


class _RoutingModel:
    """Routers in three failure domains that send calls to all upstreams.

    Attributes:
        waits_s: Time in the queue of each started call.
        remote_count: Calls sent to an upstream in another failure domain.
    """

    def __init__(self, slots: int, per_domain: int) -> None:
        self.clock = clock_module.ManualClock()
        self.random = random.Random(_SEED)
        self.domains = ['a', 'b', 'c']
        members = [
            _make_member(number, self.domains[number % 3], slots)
            for number in range(3 * per_domain)
        ]
        self.domain_of = {
            member.daemon_id: str(member.failure_domain) for member in members
        }
        self.upstreams = {
            member.daemon_id: _Upstream(slots) for member in members
        }
        self.routers = [
            routing.Router(
                clock=self.clock,
                random=random.Random(_SEED + number),
                own_domain=ids.FailureDomain(domain),
                membership=_StaticMembership(members),
            )
            for number, domain in enumerate(self.domains)
        ]
        self.waits_s: list[float] = []
        self.remote_count = 0
        self._events: list[tuple[float, int, ids.DaemonId]] = []

    def run(
        self, seconds: float, rates: list[float], service_s: float, rule: str
    ) -> None:
        """Send calls and record how long they wait for a slot.

        Args:
            seconds: Duration in virtual time.
            rates: Calls per second from each failure domain.
            service_s: Mean service time in seconds.
            rule: How upstreams are chosen, as printed.
        """
        ends_at = self.clock.monotonic() + seconds
        total_rate = sum(rates)
        arrives_at = self.clock.monotonic()
        while True:
            arrives_at += self.random.expovariate(total_rate)
            if arrives_at >= ends_at:
                return
            while self._events and self._events[0][0] <= arrives_at:
                self._finish(service_s)
            self._advance_to(arrives_at)
            source = self.random.choices(range(3), rates)[0]
            self._send(source, service_s, rule)

    def _send(self, source: int, service_s: float, rule: str) -> None:
        router = self.routers[source]
        if rule == 'one random choice':
            target = self.random.choice(list(self.upstreams))
        else:
            chosen = router.choose(
                _SERVICE, enums.Importance.NORMAL, _NO_DAEMONS
            )
            assert isinstance(chosen, str)
            target = chosen
        router.note_sent(target)
        self.remote_count += self.domain_of[target] != self.domains[source]
        upstream = self.upstreams[target]
        if upstream.in_flight < upstream.slots:
            self._start(source, target, 0.0, service_s)
        else:
            upstream.queue.append((source, self.clock.monotonic()))

    def _start(
        self,
        source: int,
        target: ids.DaemonId,
        wait_s: float,
        mean_service_s: float,
    ) -> None:
        self.waits_s.append(wait_s)
        self.upstreams[target].in_flight += 1
        service_time_s = self.random.expovariate(1.0 / mean_service_s)
        ends_at = self.clock.monotonic() + service_time_s
        heapq.heappush(self._events, (ends_at, source, target))

    def _finish(self, service_s: float) -> None:
        ends_at, source, target = heapq.heappop(self._events)
        self._advance_to(ends_at)
        upstream = self.upstreams[target]
        upstream.in_flight -= 1
        if upstream.queue:
            waiting_source, arrived_at = upstream.queue.pop(0)
            self._start(
                waiting_source, target, ends_at - arrived_at, service_s
            )
        self.routers[source].note_result(target, _ANSWER, upstream.make_hint())

    def _advance_to(self, time_s: float) -> None:
        self.clock.advance(time_s - self.clock.monotonic())


def _print_routing() -> None:
    slots, per_domain, service_s = 45, 2, 0.1
    capacity = 3 * per_domain * slots / service_s
    domain_capacity = capacity / 3
    print('routing: 6 upstreams x 45 slots, 3 failure domains, 0.1 s a call')
    cases = [
        ('all domains at 0.5', [0.5 * domain_capacity] * 3),
        ('all domains at 0.9', [0.9 * domain_capacity] * 3),
        (
            'one domain at 1.2, others at 0.3',
            [
                1.2 * domain_capacity,
                0.3 * domain_capacity,
                0.3 * domain_capacity,
            ],
        ),
    ]
    for name, rates in cases:
        for rule in ['one random choice', 'router']:
            model = _RoutingModel(slots, per_domain)
            model.run(20.0, rates, service_s, rule)
            waits_s = sorted(model.waits_s)
            queued_fraction = sum(wait_s > 0.0 for wait_s in waits_s) / len(
                waits_s
            )
            print(
                f'  {name}, {rule}: {len(waits_s)} calls, queued '
                f'{queued_fraction:.4f}, p99 wait '
                f'{1e3 * waits_s[int(0.99 * len(waits_s))]:.1f} ms, '
                f'other domain {model.remote_count / len(waits_s):.3f}'
            )


def _print_early_refusal() -> None:
    model = _RoutingModel(45, 1)
    router = model.routers[0]
    # The overload ends just after a Pong, so that the time to the next one is
    # as long as possible.
    overload_ends_s = 3.05
    last_refusal_s = 0.0
    sent = refused = 0
    next_pong_s = 0.0
    now_s = 0.0
    while now_s < 6.0:
        now_s += 0.01
        model.clock.advance(0.01)
        lowest = enums.Importance.HIGH
        if now_s >= overload_ends_s:
            lowest = enums.Importance.LOW
        if now_s >= next_pong_s:
            next_pong_s += const.HEARTBEAT_INTERVAL_S
            for target, upstream in model.upstreams.items():
                router.note_hint(target, upstream.make_hint(lowest))
        chosen = router.choose(_SERVICE, enums.Importance.NORMAL, _NO_DAEMONS)
        if isinstance(chosen, call.Refusal):
            last_refusal_s = now_s
            refused += 1
            continue
        router.note_sent(chosen)
        hint = model.upstreams[chosen].make_hint(lowest)
        router.note_result(chosen, _ANSWER, hint)
        sent += now_s < overload_ends_s
    print(
        f'early refusal: 100 calls/s, cause for {overload_ends_s} s: '
        f'{refused} refused, {sent} sent meanwhile, last refusal '
        f'{max(0.0, last_refusal_s - overload_ends_s):.2f} s after its end'
    )


def _print_choice_cost() -> None:
    for per_domain in [2, 5, 50]:
        model = _RoutingModel(45, per_domain)
        router = model.routers[0]
        for target, upstream in model.upstreams.items():
            router.note_hint(target, upstream.make_hint())
        rounds = 2000
        started_at = time.perf_counter()
        for _ in range(rounds):
            router.choose(_SERVICE, enums.Importance.NORMAL, _NO_DAEMONS)
        spent_s = (time.perf_counter() - started_at) / rounds
        print(
            f'cost of a choice among {3 * per_domain} upstreams: '
            f'{1e6 * spent_s:.0f} us'
        )


def _print_retries() -> None:
    refusals = [
        (
            'not run',
            call.Refusal(
                reason=enums.RefusalReason.DRAINING,
                outcome=enums.Outcome.NOT_RUN,
            ),
        ),
        (
            'shed',
            call.Refusal(
                reason=enums.RefusalReason.OVERLOADED,
                outcome=enums.Outcome.NOT_RUN,
                shed=True,
            ),
        ),
    ]
    for name, refusal in refusals:
        for depth, fan_out in [(12, 1), (5, 3)]:
            for rule, per_hop, total in [
                ('2 retries per hop', 2, 0),
                ('allowance 2', None, 2),
                ('allowance 5', None, 5),
            ]:
                _print_retry_tree(
                    name, refusal, depth, fan_out, rule, per_hop, total
                )


def _print_retry_tree(
    name: str,
    refusal: call.Refusal,
    depth: int,
    fan_out: int,
    rule: str,
    per_hop: int | None,
    total: int,
) -> None:
    # Most retries, and the depth at which the calls fail then.
    worst = (0, 0)
    for failing_depth in range(1, depth + 1):
        tree = call_tree.CallTree(
            depth=depth,
            fan_out=fan_out,
            failing_depth=failing_depth,
            refusal=refusal,
            policy=retry.RetryPolicy(
                clock=clock_module.ManualClock(), random=random.Random(_SEED)
            ),
            retries_per_hop=per_hop,
        )
        tree.send_call(1, total)
        worst = max(worst, (tree.retries, failing_depth))
    print(
        f'retries: {name}, depth {depth}, fan-out {fan_out}, {rule}: at most '
        f'{worst[0]} extra attempts (failing at depth {worst[1]})'
    )


def _print_callee_limit() -> None:
    for rule in ['slots only', 'adaptive']:
        clock = clock_module.ManualClock()
        limits = callee_limit.CalleeLimits(clock=clock)
        rng = random.Random(_SEED)
        ends: list[float] = []
        in_flight_samples: list[tuple[float, int]] = []
        # Counts of calls while the callee is normal and while it is slow.
        refused = [0, 0]
        calls = [0, 0]
        started_at = clock.monotonic()
        now = started_at
        in_flight = 0
        while now < started_at + 40.0:
            now += rng.expovariate(200.0)
            while ends and ends[0] <= now:
                clock.advance(heapq.heappop(ends) - clock.monotonic())
                limits.release(_SERVICE)
                in_flight -= 1
            clock.advance(now - clock.monotonic())
            is_slow = 10.0 <= now - started_at < 30.0
            calls[is_slow] += 1
            is_admitted = in_flight < 600
            if rule == 'adaptive':
                is_admitted = limits.acquire(
                    _SERVICE, limit=None, total_slots=600
                )
            if is_admitted:
                in_flight += 1
                mean_service_s = 4.0 if is_slow else 0.02
                heapq.heappush(
                    ends, now + rng.uniform(0.5, 1.5) * mean_service_s
                )
            else:
                refused[is_slow] += 1
            in_flight_samples.append((now - started_at, in_flight))
        first = max(
            count for at_s, count in in_flight_samples if 10.0 <= at_s < 16.0
        )
        later = max(
            count for at_s, count in in_flight_samples if 16.0 <= at_s < 30.0
        )
        usual = max(count for at_s, count in in_flight_samples if at_s < 10.0)
        print(
            f'callee limit, {rule}: 200 calls/s of 0.02 s, 4 s while slow: '
            f'most in flight {usual} usual, {first} in the first 6 s, '
            f'{later} in the 14 s after; refused {refused[0]} of {calls[0]} '
            f'outside and {refused[1]} of {calls[1]} while slow'
        )


def _count_crashes(resend_s: float, delay_s: float, is_enabled: bool) -> int:
    """Return the crashes by one request that is repeated for 60 s.

    Each request goes to one of 15 upstreams at random.

    Args:
        resend_s: Interval in seconds at which the request is sent.
        delay_s: Seconds until all upstreams get the report of a crash.
        is_enabled: Whether reported requests are quarantined.
    """
    clock = clock_module.ManualClock()
    rng = random.Random(_SEED)
    quarantines = [
        quarantine.Quarantine(clock=clock, service=_SERVICE) for _ in range(15)
    ]
    crashing = ids.Fingerprint('bad')
    others = [ids.Fingerprint(f'other-{number}') for number in range(10)]
    reports: list[tuple[float, messages.FingerprintReport]] = []
    crashes = 0
    started_at = clock.monotonic()
    while clock.monotonic() < started_at + 60.0:
        while reports and reports[0][0] <= clock.monotonic():
            _, report = reports.pop(0)
            for other in quarantines:
                other.merge(report)
        own = rng.choice(quarantines)
        if not is_enabled:
            crashes += 1
        elif own.check(crashing) is None:
            crashes += 1
            in_flight = (
                [crashing] if own.is_suspect(crashing) else [crashing, *others]
            )
            report = own.note_crash(in_flight)
            reports.append((clock.monotonic() + delay_s, report))
        clock.advance(resend_s)
    return crashes


def _print_quarantine() -> None:
    for resend_s, delay_s in [
        (0.5, 0.01),
        (0.05, 0.01),
        (0.005, 0.01),
        (0.5, 1.0),
    ]:
        without = _count_crashes(resend_s, delay_s, False)
        crashes = _count_crashes(resend_s, delay_s, True)
        print(
            f'quarantine: resent every {resend_s} s for 60 s, reports take '
            f'{delay_s} s: {crashes} crashes, {without} without it'
        )


def main() -> None:
    """Print the results of all simulations."""
    sections: list[Callable[[], None]] = [
        _print_routing,
        _print_early_refusal,
        _print_choice_cost,
        _print_retries,
        _print_callee_limit,
        _print_quarantine,
    ]
    for section in sections:
        section()


if __name__ == '__main__':
    main()
