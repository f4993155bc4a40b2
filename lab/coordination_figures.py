"""Prints figures of routing, retries, limits and quarantine in virtual time.

Run with `script/python -m lab.coordination_figures`. All but the cost per
choice are the same in each run.
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
_NONE: frozenset[ids.DaemonId] = frozenset()
_SEED = 7


class _Members:
    """Members that never change and are never silent."""

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
    """A queue before a number of slots."""

    slots: int
    in_flight: int = 0
    queue: list[tuple[int, float]] = dataclasses.field(default_factory=list)

    def hint(
        self, lowest: enums.Importance = enums.Importance.LOW
    ) -> messages.AdmissionHint:
        return messages.AdmissionHint(
            lowest_importance=lowest,
            limit=self.slots,
            in_flight=self.in_flight,
            queued=len(self.queue),
            upstream_status=enums.UpstreamStatus.READY,
        )


class _Bed:
    """First daemons in three failure domains before a few upstreams."""

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
                membership=_Members(members),
            )
            for number, domain in enumerate(self.domains)
        ]
        self.waits: list[float] = []
        self.remote = 0
        self._events: list[tuple[float, int, ids.DaemonId]] = []

    def run(
        self, seconds: float, rates: list[float], service_s: float, rule: str
    ) -> None:
        """Send calls with rates per domain and count waits."""
        end = self.clock.monotonic() + seconds
        total = sum(rates)
        arrival = self.clock.monotonic()
        while True:
            arrival += self.random.expovariate(total)
            if arrival >= end:
                return
            while self._events and self._events[0][0] <= arrival:
                self._finish(service_s)
            self._move_to(arrival)
            source = self.random.choices(range(3), rates)[0]
            self._send(source, service_s, rule)

    def _send(self, source: int, service_s: float, rule: str) -> None:
        router = self.routers[source]
        if rule == 'one random choice':
            target = self.random.choice(list(self.upstreams))
        else:
            chosen = router.choose(_SERVICE, enums.Importance.NORMAL, _NONE)
            assert isinstance(chosen, str)
            target = chosen
        router.note_sent(target)
        self.remote += self.domain_of[target] != self.domains[source]
        upstream = self.upstreams[target]
        if upstream.in_flight < upstream.slots:
            self._start(source, target, 0.0, service_s)
        else:
            upstream.queue.append((source, self.clock.monotonic()))

    def _start(
        self, source: int, target: ids.DaemonId, wait_s: float, mean_s: float
    ) -> None:
        self.waits.append(wait_s)
        self.upstreams[target].in_flight += 1
        length_s = self.random.expovariate(1.0 / mean_s)
        ends_at = self.clock.monotonic() + length_s
        heapq.heappush(self._events, (ends_at, source, target))

    def _finish(self, service_s: float) -> None:
        ends_at, source, target = heapq.heappop(self._events)
        self._move_to(ends_at)
        upstream = self.upstreams[target]
        upstream.in_flight -= 1
        if upstream.queue:
            waiting, since = upstream.queue.pop(0)
            self._start(waiting, target, ends_at - since, service_s)
        self.routers[source].note_result(target, _ANSWER, upstream.hint())

    def _move_to(self, time_s: float) -> None:
        self.clock.advance(time_s - self.clock.monotonic())


def _print_balance() -> None:
    slots, per_domain, service_s = 45, 2, 0.1
    capacity = 3 * per_domain * slots / service_s
    domain = capacity / 3
    print('routing: 6 upstreams x 45 slots, 3 failure domains, 0.1 s a call')
    cases = [
        ('all domains at 0.5', [0.5 * domain] * 3),
        ('all domains at 0.9', [0.9 * domain] * 3),
        (
            'one domain at 1.2, others at 0.3',
            [1.2 * domain, 0.3 * domain, 0.3 * domain],
        ),
    ]
    for name, rates in cases:
        for rule in ['one random choice', 'router']:
            bed = _Bed(slots, per_domain)
            bed.run(20.0, rates, service_s, rule)
            waits = sorted(bed.waits)
            late = sum(wait > 0.0 for wait in waits) / len(waits)
            print(
                f'  {name}, {rule}: {len(waits)} calls, queued '
                f'{late:.4f}, p99 wait '
                f'{1e3 * waits[int(0.99 * len(waits))]:.1f} ms, '
                f'other domain {bed.remote / len(waits):.3f}'
            )


def _print_refusal_end() -> None:
    bed = _Bed(45, 1)
    router = bed.routers[0]
    # Just after a Pong, so that the next one is furthest away.
    cause_ends = 3.05
    last_refusal = 0.0
    sent = refused = 0
    next_pong = 0.0
    now = 0.0
    while now < 6.0:
        now += 0.01
        bed.clock.advance(0.01)
        lowest = enums.Importance.HIGH
        if now >= cause_ends:
            lowest = enums.Importance.LOW
        if now >= next_pong:
            next_pong += const.HEARTBEAT_INTERVAL_S
            for target, upstream in bed.upstreams.items():
                router.note_hint(target, upstream.hint(lowest))
        chosen = router.choose(_SERVICE, enums.Importance.NORMAL, _NONE)
        if isinstance(chosen, call.Refusal):
            last_refusal = now
            refused += 1
            continue
        router.note_sent(chosen)
        hint = bed.upstreams[chosen].hint(lowest)
        router.note_result(chosen, _ANSWER, hint)
        sent += now < cause_ends
    print(
        f'early refusal: 100 calls/s, cause for {cause_ends} s: {refused} '
        f'refused, {sent} sent meanwhile, last refusal '
        f'{max(0.0, last_refusal - cause_ends):.2f} s after its end'
    )


def _print_cost() -> None:
    for per_domain in [2, 5, 50]:
        bed = _Bed(45, per_domain)
        router = bed.routers[0]
        for target, upstream in bed.upstreams.items():
            router.note_hint(target, upstream.hint())
        rounds = 2000
        began = time.perf_counter()
        for _ in range(rounds):
            router.choose(_SERVICE, enums.Importance.NORMAL, _NONE)
        spent_s = (time.perf_counter() - began) / rounds
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
                _print_tree(
                    name, refusal, depth, fan_out, rule, per_hop, total
                )


def _print_tree(
    name: str,
    refusal: call.Refusal,
    depth: int,
    fan_out: int,
    rule: str,
    per_hop: int | None,
    total: int,
) -> None:
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
        tree.send(1, total)
        worst = max(worst, (tree.retries, failing_depth))
    print(
        f'retries: {name}, depth {depth}, fan-out {fan_out}, {rule}: at most '
        f'{worst[0]} extra attempts (failing at depth {worst[1]})'
    )


def _print_callee_limit() -> None:
    for rule in ['slots only', 'adaptive']:
        clock = clock_module.ManualClock()
        limits = callee_limit.CalleeLimits(clock=clock)
        source = random.Random(_SEED)
        ends: list[float] = []
        held: list[tuple[float, int]] = []
        refused = [0, 0]
        calls = [0, 0]
        start = clock.monotonic()
        now = start
        in_flight = 0
        while now < start + 40.0:
            now += source.expovariate(200.0)
            while ends and ends[0] <= now:
                clock.advance(heapq.heappop(ends) - clock.monotonic())
                limits.release(_SERVICE)
                in_flight -= 1
            clock.advance(now - clock.monotonic())
            is_slow = 10.0 <= now - start < 30.0
            calls[is_slow] += 1
            taken = in_flight < 600
            if rule == 'adaptive':
                taken = limits.acquire(_SERVICE, limit=None, total_slots=600)
            if taken:
                in_flight += 1
                mean_s = 4.0 if is_slow else 0.02
                heapq.heappush(ends, now + source.uniform(0.5, 1.5) * mean_s)
            else:
                refused[is_slow] += 1
            held.append((now - start, in_flight))
        first = max(count for at, count in held if 10.0 <= at < 16.0)
        later = max(count for at, count in held if 16.0 <= at < 30.0)
        usual = max(count for at, count in held if at < 10.0)
        print(
            f'callee limit, {rule}: 200 calls/s of 0.02 s, 4 s while slow: '
            f'most in flight {usual} usual, {first} in the first 6 s, '
            f'{later} in the 14 s after; refused {refused[0]} of {calls[0]} '
            f'outside and {refused[1]} of {calls[1]} while slow'
        )


def _count_crashes(resend_s: float, delay_s: float, is_on: bool) -> int:
    """Return the crashes of 15 upstreams by one request sent for 60 s."""
    clock = clock_module.ManualClock()
    source = random.Random(_SEED)
    fleet = [
        quarantine.Quarantine(clock=clock, service=_SERVICE) for _ in range(15)
    ]
    bad = ids.Fingerprint('bad')
    others = [ids.Fingerprint(f'other-{number}') for number in range(10)]
    reports: list[tuple[float, messages.FingerprintReport]] = []
    crashes = 0
    start = clock.monotonic()
    while clock.monotonic() < start + 60.0:
        while reports and reports[0][0] <= clock.monotonic():
            _, report = reports.pop(0)
            for member in fleet:
                member.merge(report)
        own = source.choice(fleet)
        if not is_on:
            crashes += 1
        elif own.check(bad) is None:
            crashes += 1
            in_flight = [bad] if own.is_suspect(bad) else [bad, *others]
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
        off = _count_crashes(resend_s, delay_s, False)
        on = _count_crashes(resend_s, delay_s, True)
        print(
            f'quarantine: resent every {resend_s} s for 60 s, reports take '
            f'{delay_s} s: {on} crashes, {off} without it'
        )


def main() -> None:
    """Print all figures."""
    parts: list[Callable[[], None]] = [
        _print_balance,
        _print_refusal_end,
        _print_cost,
        _print_retries,
        _print_callee_limit,
        _print_quarantine,
    ]
    for part in parts:
        part()


if __name__ == '__main__':
    main()
