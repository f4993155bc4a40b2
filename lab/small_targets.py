"""Simulates calls to many upstreams with few slots each, in virtual time.

Each caller knows some of the upstreams, and their load only from the replies
to its own calls. Run with `script/python -m lab.small_targets`.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import deep_load
from sassafraswood.coordination import upstream_choice
from sassafraswood.coordination import upstream_gate
from sassafraswood.models import fleet
from sassafraswood.models import ids

DOMAIN: Final = ids.FailureDomain('a')
_ROUND_TRIP_S: Final = 0.001
_ROUTE: Final = 'peek'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """The upstreams, their callers and the calls.

    Attributes:
        upstreams: Number of upstreams.
        slots: Slots of each.
        callers: Number of daemons that send calls.
        known: Number of upstreams that each caller is connected to.
        service_s: Mean duration of a call in seconds.
        utilization: Calls that run at once, relative to all slots.
        duration_s: Time for which calls are sent.
        max_redirects: How often a call leaves a full upstream.
    """

    upstreams: int = 16
    slots: int = 5
    callers: int = 85
    known: int = 12
    service_s: float = 0.037
    utilization: float = 0.8
    duration_s: float = 3.0
    max_redirects: int = 2


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What the calls met.

    Attributes:
        waits_s: Time from the send of each call to its start, in seconds.
        redirects: Calls to full upstreams that were sent elsewhere.
    """

    waits_s: list[float] = dataclasses.field(default_factory=list)
    redirects: int = 0

    @property
    def p99_wait_s(self) -> float:
        """Return the wait that 1 in 100 calls exceeds, in seconds."""
        return sorted(self.waits_s)[int(0.99 * len(self.waits_s))]


class _Caller:
    def __init__(
        self,
        selector: upstream_choice.UpstreamSelector,
        candidates: list[upstream_choice.Candidate],
        gates: list[upstream_gate.UpstreamGate],
    ) -> None:
        self.selector = selector
        self.candidates = candidates
        self.gates = gates


class _Simulation:
    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._clock = clock_module.ManualClock()
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._outcome = Outcome()
        gates = [
            upstream_gate.UpstreamGate(self._clock, deep_load.DownstreamLoad())
            for _ in range(load.upstreams)
        ]
        for gate in gates:
            gate.set_upstream(load.slots)
        self._callers = [self._make_caller(gates) for _ in range(load.callers)]

    def run(self) -> Outcome:
        """Send all calls and run them to their end."""
        load = self._load
        rate_per_s = (
            load.utilization * load.upstreams * load.slots / load.service_s
        )
        now = self._clock.monotonic()
        end = now + load.duration_s
        while now < end:
            now += self._random.expovariate(rate_per_s)
            caller = self._random.choice(self._callers)
            self._schedule(now, functools.partial(self._send, caller, [], now))
        while self._events:
            at, _, event = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.monotonic())
            event()
        return self._outcome

    def _make_caller(self, gates: list[upstream_gate.UpstreamGate]) -> _Caller:
        known = self._random.sample(range(len(gates)), self._load.known)
        candidates = []
        for index in known:
            candidate = upstream_choice.Candidate(
                fleet.Member(
                    daemon_id=ids.DaemonId(f'd{index}'),
                    address=('10.0.0.1', index),
                    failure_domain=DOMAIN,
                    service=ids.ServiceName('halls'),
                )
            )
            candidate.is_reachable = candidate.is_serving = True
            candidates.append(candidate)
        selector = upstream_choice.UpstreamSelector(
            clock=self._clock, random=self._random, domain=DOMAIN
        )
        return _Caller(selector, candidates, [gates[index] for index in known])

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _send(
        self, caller: _Caller, tried: list[ids.DaemonId], sent_at: float
    ) -> None:
        candidate = caller.selector.pick(caller.candidates, tried)
        assert candidate is not None
        gate = caller.gates[caller.candidates.index(candidate)]
        tried = [*tried, candidate.member.daemon_id]
        call_id = next(self._numbers)
        caller.selector.note_start(candidate, call_id, _ROUTE)
        may_redirect = len(
            tried
        ) <= self._load.max_redirects and caller.selector.has_spare(
            caller.candidates, tried
        )
        self._schedule(
            self._clock.monotonic() + _ROUND_TRIP_S / 2.0,
            lambda: self._submit(
                caller, candidate, gate, call_id, tried, sent_at, may_redirect
            ),
        )

    def _submit(
        self,
        caller: _Caller,
        candidate: upstream_choice.Candidate,
        gate: upstream_gate.UpstreamGate,
        call_id: int,
        tried: list[ids.DaemonId],
        sent_at: float,
        may_redirect: bool,
    ) -> None:
        now = self._clock.monotonic()

        def start() -> None:
            started_at = self._clock.monotonic()
            self._outcome.waits_s.append(started_at - sent_at)
            duration_s = self._random.expovariate(1.0 / self._load.service_s)
            self._schedule(started_at + duration_s, finish)

        def finish() -> None:
            gate.finish(call)
            load = gate.load
            self._schedule(
                self._clock.monotonic() + _ROUND_TRIP_S / 2.0,
                lambda: self._note_reply(candidate, call_id, load),
            )

        def refuse(reason: object) -> None:
            del reason
            self._outcome.redirects += 1
            load = gate.load

            def resend() -> None:
                self._note_reply(candidate, call_id, load)
                self._send(caller, tried, sent_at)

            self._schedule(
                self._clock.monotonic() + _ROUND_TRIP_S / 2.0, resend
            )

        call = upstream_gate.GateCall(
            route=_ROUTE,
            workspace=None,
            urgency=0.5,
            is_inner=True,
            attempt_id=b'%d' % call_id,
            target_s=0.3,
            deadline=now + 60.0,
            now=now,
            start=start,
            refuse=refuse,
            may_redirect=may_redirect,
        )
        gate.submit(call)

    def _note_reply(
        self, candidate: upstream_choice.Candidate, call_id: int, load: float
    ) -> None:
        candidate.note_end(call_id)
        candidate.record_reported_load(load)


def simulate(load: Load, seed: int) -> Outcome:
    """Simulate one run.

    Args:
        load: The upstreams, their callers and the calls.
        seed: Seed of arrivals, durations and connections.
    """
    return _Simulation(load, seed).run()


def main() -> None:
    """Print waits by utilization and number of redirects."""
    print('slots utilization redirects p99_wait_ms redirects/1000')
    for slots, utilization, max_redirects in itertools.product(
        (5, 7), (0.6, 0.75, 0.85), (0, 1, 2, 3)
    ):
        load = Load(
            slots=slots, utilization=utilization, max_redirects=max_redirects
        )
        outcome = simulate(load, 1)
        print(
            slots,
            utilization,
            max_redirects,
            round(1000.0 * outcome.p99_wait_s, 1),
            round(1000.0 * outcome.redirects / len(outcome.waits_s)),
        )


if __name__ == '__main__':
    main()
