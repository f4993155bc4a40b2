"""Simulates upstream crashes beside ordinary requests, in virtual time.

Callers repeat some requests, each sent to a random upstream that is up. A
crash loses all requests that its upstream runs; their callers send them again
after a short delay. Optionally each crash is caused by a request that crashes
every upstream that starts it.

Run with `script/python -m lab.crash_simulation`.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import crash_counts
from sassafraswood.coordination import lost_runs
from sassafraswood.models import crash
from sassafraswood.models import ids

POISON: Final = ids.Fingerprint('poison')
_SERVICE: Final = ids.ServiceName('service')
# Time from a crash to its detection by the daemon beside the upstream.
_DETECTION_S: Final = 0.005
_RUNS: Final = 300


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """The ordinary requests and the crashes.

    Attributes:
        kinds: Number of different ordinary requests.
        rate_per_s: Rate at which callers send each of them.
        duration_s: Time that an upstream takes for a request, in seconds.
        upstreams: Number of upstreams.
        downtime_s: Time until a crashed upstream is back, in seconds.
        crash_gap_s: Time between crashes, or between two sends of the
            crashing request, in seconds.
        crashes: Number of crashes, or of sends of the crashing request.
        is_poisoned: Whether a request causes the crashes.
        resend_delay_s: Time after which lost requests are sent again.
        is_repeated: Whether the daemons repeat lost requests, each once, in
            place of the callers.
        crowd: Number of further requests, each of a kind of its own, that are
            sent before each crash, spread over the duration of a request.
    """

    kinds: int = 20
    rate_per_s: float = 2.0
    duration_s: float = 0.1
    upstreams: int = 6
    downtime_s: float = 1.0
    crash_gap_s: float = 0.1
    crashes: int = 6
    is_poisoned: bool = True
    resend_delay_s: float = 0.01
    is_repeated: bool = False
    crowd: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What one simulated run ended with.

    Attributes:
        crashes: Number of crashes until the crashing request was refused.
        wrongly_refused: Number of ordinary requests that were refused.
    """

    crashes: int
    wrongly_refused: int


@dataclasses.dataclass
class _Run:
    kind: str
    started_at: float
    is_repeat: bool


@dataclasses.dataclass
class _Upstream:
    losses: lost_runs.LostRuns[None]
    up_at: float = 0.0
    running: dict[int, _Run] = dataclasses.field(default_factory=dict)


class _Simulation:
    # Time for which only ordinary requests are sent, in seconds.
    _WARM_UP_S: Final = 12.0

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._clock = clock_module.ManualClock(monotonic_s=0.0)
        self._counts = crash_counts.CrashCounts(self._clock)
        self._upstreams = [
            _Upstream(lost_runs.LostRuns(self._clock))
            for _ in range(load.upstreams)
        ]
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, str, str, int]] = []
        self._end_s = self._WARM_UP_S + load.crash_gap_s * load.crashes + 1.0
        self._crash_count = 0
        self._refused: set[ids.Fingerprint] = set()

    def run(self) -> Outcome:
        """Run until some time after the last crash."""
        load = self._load
        for number in range(load.kinds):
            self._schedule_next(f'kind-{number}', 0.0)
        for number in range(load.crashes):
            crash_at = self._WARM_UP_S + number * load.crash_gap_s
            self._push(crash_at, 'crash', '', 0)
            for index in range(load.crowd):
                sent_at = crash_at - load.duration_s * self._random.random()
                self._push(sent_at, 'send_once', f'crowd-{number}-{index}', 0)
        while self._events and self._events[0][0] < self._end_s:
            at, _, event, name, call = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.monotonic())
            if event == 'send':
                self._schedule_next(name, at)
                self._start(name)
            elif event in ('resend', 'send_once'):
                self._start(name)
            elif event == 'repeat':
                self._start(name, is_repeat=True)
            elif event == 'end':
                self._finish(name, call)
            else:
                self._crash_next()
        return Outcome(
            crashes=self._crash_count,
            wrongly_refused=len(self._refused - {POISON}),
        )

    def _push(self, at: float, event: str, kind: str, call: int) -> None:
        heapq.heappush(
            self._events, (at, next(self._numbers), event, kind, call)
        )

    def _schedule_next(self, kind: str, now: float) -> None:
        delay_s = self._random.expovariate(self._load.rate_per_s)
        self._push(now + delay_s, 'send', kind, 0)

    def _pick_upstream(self) -> _Upstream | None:
        now = self._clock.monotonic()
        up = [item for item in self._upstreams if item.up_at <= now]
        return self._random.choice(up) if up else None

    def _start(self, kind: str, *, is_repeat: bool = False) -> None:
        upstream = self._pick_upstream()
        if upstream is None or ids.Fingerprint(kind) in self._refused:
            return
        call = next(self._numbers)
        now = self._clock.monotonic()
        upstream.running[call] = _Run(kind, now, is_repeat)
        duration_s = self._load.duration_s * self._random.uniform(0.5, 1.5)
        self._push(now + duration_s, 'end', kind, call)

    def _finish(self, kind: str, call: int) -> None:
        for upstream in self._upstreams:
            if upstream.running.pop(call, None) is not None:
                upstream.losses.note_response(
                    (kind.encode(), '', 0), self._clock.monotonic(), 1
                )

    def _crash_next(self) -> None:
        upstream = self._pick_upstream()
        if upstream is None or POISON in self._refused:
            return
        now = self._clock.monotonic()
        lost, upstream.running = dict(upstream.running), {}
        upstream.up_at = now + self._load.downtime_s
        if self._load.is_poisoned:
            lost[next(self._numbers)] = _Run(POISON, now, False)
        self._crash_count += 1
        suspects: dict[str, crash.Suspect] = {}
        for run in lost.values():
            kind = run.kind
            former = suspects.get(kind)
            suspects[kind] = crash.Suspect(
                fingerprint=ids.Fingerprint(kind),
                rate_per_s=upstream.losses.rate_per_s((kind.encode(), '', 0)),
                age_s=now + _DETECTION_S - run.started_at,
                is_repeat=run.is_repeat
                and (former is None or former.is_repeat),
            )
            if kind != POISON:
                self._send_again(run)
        record = crash.CrashRecord(
            record_id=f'r{next(self._numbers)}',
            service=_SERVICE,
            ended_at=now,
            suspects=tuple(suspects.values()),
        )
        for verdict in self._counts.add(record):
            self._refused.add(verdict.fingerprint)

    def _send_again(self, run: _Run) -> None:
        if self._load.is_repeated and run.is_repeat:
            return
        self._push(
            self._clock.monotonic() + self._load.resend_delay_s,
            'repeat' if self._load.is_repeated else 'resend',
            run.kind,
            0,
        )


def simulate(load: Load, seed: int) -> Outcome:
    """Simulate one run.

    Args:
        load: The ordinary requests and the crashes.
        seed: Seed of arrivals, durations and the choice of upstreams.
    """
    return _Simulation(load, seed).run()


def main() -> None:
    """Print the share of wrong refusals and the crashes by load."""
    print('poisoned gap_s kinds rate_per_s wrong/1000 crashes: runs')
    for is_poisoned in (True, False):
        for gap_s, kinds, rate_per_s in itertools.product(
            (0.05, 0.1, 0.25, 1.0), (10, 40), (0.2, 2.0, 10.0)
        ):
            load = Load(
                is_poisoned=is_poisoned,
                crash_gap_s=gap_s,
                kinds=kinds,
                rate_per_s=rate_per_s,
            )
            outcomes = [simulate(load, seed) for seed in range(_RUNS)]
            wrong = sum(item.wrongly_refused for item in outcomes)
            crashes = collections.Counter(item.crashes for item in outcomes)
            print(
                is_poisoned,
                gap_s,
                kinds,
                rate_per_s,
                round(1000.0 * wrong / (kinds * _RUNS), 2),
                dict(sorted(crashes.items())),
            )


if __name__ == '__main__':
    main()
