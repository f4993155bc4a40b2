"""Callers and one upstream in virtual time."""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
from typing import Final, Protocol

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import admission
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids

BIN_S: Final = 0.1

# Seconds by number of the bin and workspace.
SecondsByBin = dict[tuple[int, str], float]


class Controller(Protocol):
    """What the simulation needs of an admission."""

    def set_upstream(self, status: enums.UpstreamStatus, slots: int) -> None:
        """Take the state of the upstream."""

    def submit(
        self,
        request: admission.AdmissionRequest,
        on_start: Callable[[], None],
        on_refused: Callable[[call.Refusal], None],
    ) -> admission.Ticket:
        """Take a call."""

    def finish(
        self, ticket: admission.Ticket, outcome: enums.ServiceOutcome
    ) -> None:
        """Take the end of a call."""

    def tick(self) -> None:
        """Do what is due."""


class FirstInFirstOut:
    """Baseline: first in, first out up to the slots, no deadline check."""

    def __init__(self, *, clock: clock_module.Clock) -> None:
        """Start without slots."""
        self._clock = clock
        self._slots = 0
        self.in_flight = 0
        self._queue: collections.deque[admission.Ticket] = collections.deque()

    def set_upstream(self, status: enums.UpstreamStatus, slots: int) -> None:
        """Take the announced slots."""
        self._slots = slots
        self._start_ready()

    def submit(
        self,
        request: admission.AdmissionRequest,
        on_start: Callable[[], None],
        on_refused: Callable[[call.Refusal], None],
    ) -> admission.Ticket:
        """Start the call or let it wait."""
        now = self._clock.monotonic()
        ticket = admission.Ticket(request, now, on_start, on_refused)
        self._queue.append(ticket)
        self._start_ready()
        return ticket

    def finish(
        self, ticket: admission.Ticket, outcome: enums.ServiceOutcome
    ) -> None:
        """Free the slot."""
        self.in_flight -= 1
        self._start_ready()

    def tick(self) -> None:
        """Do nothing."""

    def _start_ready(self) -> None:
        while self._queue and self.in_flight < self._slots:
            self.in_flight += 1
            self._queue.popleft().on_start()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Flow:
    """Requests of one workspace.

    Attributes:
        rates: (from second, requests/s), in order of time.
        service_s: Mean service time in seconds.
        is_fixed: Whether all service times are equal; else exponential.
        retry_s: Mean wait before a refused request is sent again.
        max_tries: Times that a request is sent before its deadline.
    """

    workspace: str
    rates: tuple[tuple[float, float], ...]
    service_s: float
    importance: enums.Importance = enums.Importance.NORMAL
    weight: float = 1.0
    timeout_s: float = 1.0
    is_fixed: bool = False
    retry_s: float = 0.02
    max_tries: int = 4
    route: str = ''


@dataclasses.dataclass(kw_only=True, eq=False)
class Request:
    """A request of a caller through all its tries."""

    flow: Flow
    deadline: float
    work_s: float
    attempt: int
    ticket: admission.Ticket | None = None
    is_running: bool = False
    is_over: bool = False
    started_at: float = 0.0
    sent_at: float = 0.0
    callbacks: int = 0
    ends_at_work_s: float = 0.0


class Simulation:
    """Drives one controller with flows of requests.

    The upstream works on at most real_slots calls at full speed. Beyond, it
    divides its capacity among the calls, or sheds them if sheds is True.
    """

    def __init__(
        self,
        *,
        seed: int,
        real_slots: int,
        announced_slots: int | None = None,
        sheds: bool = False,
        is_baseline: bool = False,
    ) -> None:
        """Start the upstream cold, at second 0 of the simulation."""
        self.random = random.Random(seed)
        self.clock = clock_module.ManualClock()
        self._begin = self.clock.monotonic()
        self.real_slots = real_slots
        self.sheds = sheds
        self.is_baseline = is_baseline
        self.slowdown = 1.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._running: list[tuple[float, int, Request]] = []
        self._running_count = 0
        self._work_s = 0.0
        self._work_at = self._begin
        self._completion_version = 0
        self.good_s: SecondsByBin = collections.defaultdict(float)
        self.good_by_class: collections.Counter[enums.Importance] = (
            collections.Counter()
        )
        self.sent_by_class: collections.Counter[enums.Importance] = (
            collections.Counter()
        )
        self.slot_s: SecondsByBin = collections.defaultdict(float)
        self.offered_s: SecondsByBin = collections.defaultdict(float)
        self.reasons: collections.Counter[str] = collections.Counter()
        self.lost = 0
        self.waits_s: list[float] = []
        self.tries: list[Request] = []
        self.limits: list[tuple[float, int]] = []
        self.admission: admission.Admission | None = None
        self.controller: Controller
        if is_baseline:
            self.controller = FirstInFirstOut(clock=self.clock)
        else:
            self.admission = admission.Admission(
                clock=self.clock, random=self.random
            )
            self.controller = self.admission
        self.controller.set_upstream(
            enums.UpstreamStatus.COLD, announced_slots or real_slots
        )
        self.at(0.0, self._tick)

    @property
    def now(self) -> float:
        """Return the seconds since the start of the simulation."""
        return self.clock.monotonic() - self._begin

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do the action at the given second."""
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def add(self, flow: Flow) -> None:
        """Add a flow of requests with Poisson arrivals."""
        peak = max(rate for _, rate in flow.rates)

        def arrive() -> None:
            rate = 0.0
            for since, value in flow.rates:
                if since <= self.now:
                    rate = value
            if self.random.random() * peak < rate:
                self._send_new(flow)
            self.at(self.now + self.random.expovariate(peak), arrive)

        self.at(self.random.expovariate(peak), arrive)

    def set_slowdown(self, factor: float) -> None:
        """Make each call run slower by the factor."""
        self._advance_work()
        self.slowdown = factor
        self._plan_completion()

    def set_real_slots(self, slots: int) -> None:
        """Change how many calls run at full speed."""
        self._advance_work()
        self.real_slots = slots
        self._plan_completion()

    def run(self, until: float) -> None:
        """Run up to the given second."""
        while self._events and self._events[0][0] <= until:
            when, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, when - self.now))
            action()
        self.clock.advance(max(0.0, until - self.now))

    def goodput(self, since: float, until: float) -> float:
        """Return the work of useful calls as a share of the capacity.

        Work, not calls, so that the chance of the service times drawn does
        not count.
        """
        return sum(self._sum_shares(self.good_s, since, until).values())

    def offered(self, since: float, until: float) -> float:
        """Return the work of new requests as a share of the capacity."""
        return sum(self._sum_shares(self.offered_s, since, until).values())

    def shares(self, since: float, until: float) -> dict[str, float]:
        """Return the slot time of each workspace as a share of the slots."""
        return self._sum_shares(self.slot_s, since, until)

    def fair_shares(self, since: float, until: float) -> dict[str, float]:
        """Return what equal max-min shares of the slots would give."""
        wanted = self._sum_shares(self.offered_s, since, until)
        fair: dict[str, float] = {}
        left = 1.0
        for name in sorted(wanted, key=lambda name: wanted[name]):
            fair[name] = min(wanted[name], left / (len(wanted) - len(fair)))
            left -= fair[name]
        return fair

    def worst_share(self, since: float, until: float) -> float:
        """Return the least share relative to the fair one."""
        shares = self.shares(since, until)
        fair = self.fair_shares(since, until)
        return min(shares.get(name, 0.0) / fair[name] for name in fair)

    def _sum_shares(
        self,
        seconds_by_bin: SecondsByBin,
        since: float,
        until: float,
    ) -> dict[str, float]:
        bins = range(round(since / BIN_S), round(until / BIN_S))
        used: dict[str, float] = collections.defaultdict(float)
        for (index, workspace), seconds in seconds_by_bin.items():
            if index in bins:
                used[workspace] += seconds
        total_s = self.real_slots * (until - since)
        return {name: seconds / total_s for name, seconds in used.items()}

    def _tick(self) -> None:
        self.controller.tick()
        if self.admission is not None:
            self.limits.append((self.now, self.admission.limit))
        self.at(self.now + const.ADMISSION_TICK_S, self._tick)

    def _send_new(self, flow: Flow) -> None:
        work_s = flow.service_s
        if not flow.is_fixed:
            work_s = self.random.expovariate(1.0 / flow.service_s)
        self.sent_by_class[flow.importance] += 1
        index = int(self.now / BIN_S)
        self.offered_s[index, flow.workspace] += work_s
        self._send(flow, self.now + flow.timeout_s, work_s, 1)

    def _send(
        self, flow: Flow, deadline: float, work_s: float, attempt: int
    ) -> None:
        request = Request(
            flow=flow, deadline=deadline, work_s=work_s, attempt=attempt
        )
        request.sent_at = self.now
        self.tries.append(request)
        self.at(deadline, lambda: self._time_out(request))
        request.ticket = self.controller.submit(
            admission.AdmissionRequest(
                call_id=ids.CallId(str(len(self.tries))),
                workspace=ids.Workspace(flow.workspace),
                weight=flow.weight,
                importance=flow.importance,
                deadline=self._begin + deadline,
                route=flow.route,
            ),
            lambda: self._start(request),
            lambda refusal: self._refused(request, refusal),
        )
        if request.is_running and self._is_shedding():
            # The ticket is known only now.
            self._shed(request)

    def _refused(self, request: Request, refusal: call.Refusal) -> None:
        request.callbacks += 1
        request.is_over = True
        self.reasons[refusal.reason.value] += 1
        self._retry(request)

    def _retry(self, request: Request) -> None:
        flow = request.flow
        when = self.now + self.random.expovariate(1.0 / flow.retry_s)
        if when >= request.deadline or request.attempt >= flow.max_tries:
            self.lost += 1
            return
        self.at(
            when,
            lambda: self._send(
                flow, request.deadline, request.work_s, request.attempt + 1
            ),
        )

    def _is_shedding(self) -> bool:
        return self.sheds and self._running_count > self.real_slots

    def _start(self, request: Request) -> None:
        request.callbacks += 1
        request.is_running = True
        request.started_at = self.now
        self.waits_s.append(self.now - request.sent_at)
        self._advance_work()
        self._running_count += 1
        request.ends_at_work_s = self._work_s + request.work_s
        heapq.heappush(
            self._running,
            (request.ends_at_work_s, next(self._sequence), request),
        )
        self._plan_completion()
        if request.ticket is not None and self._is_shedding():
            self._shed(request)

    def _shed(self, request: Request) -> None:
        self._stop(request)
        assert request.ticket is not None
        self.reasons['upstream_shed'] += 1
        ticket = request.ticket
        self.at(
            self.now,
            lambda: self.controller.finish(ticket, enums.ServiceOutcome.SHED),
        )
        self._retry(request)

    def _stop(self, request: Request) -> None:
        """Take a running request off the upstream."""
        self._advance_work()
        request.is_running = False
        request.is_over = True
        self._running_count -= 1
        index = int(self.now / BIN_S)
        self.slot_s[index, request.flow.workspace] += (
            self.now - request.started_at
        )
        self._plan_completion()

    def _time_out(self, request: Request) -> None:
        if request.is_over:
            return
        if self.is_baseline or not request.is_running:
            # Nobody takes the call out of the queue of the baseline.
            return
        self._stop(request)
        assert request.ticket is not None
        self.reasons['timed_out'] += 1
        self.controller.finish(request.ticket, enums.ServiceOutcome.TIMED_OUT)

    def _complete(self, request: Request) -> None:
        self._stop(request)
        if self.now <= request.deadline:
            index = int(self.now / BIN_S)
            self.good_s[index, request.flow.workspace] += request.work_s
            self.good_by_class[request.flow.importance] += 1
        assert request.ticket is not None
        self.controller.finish(request.ticket, enums.ServiceOutcome.COMPLETED)

    def _rate(self) -> float:
        """Return the work done per second for each running call."""
        share = min(1.0, self.real_slots / max(1, self._running_count))
        return share / self.slowdown

    def _advance_work(self) -> None:
        """Count the work done at the rate that held until now."""
        self._work_s += (self.now - self._work_at) * self._rate()
        self._work_at = self.now

    def _plan_completion(self) -> None:
        self._completion_version += 1
        while self._running and not self._running[0][2].is_running:
            heapq.heappop(self._running)
        if not self._running:
            return
        version = self._completion_version
        left_s = max(0.0, self._running[0][0] - self._work_s)

        def complete() -> None:
            if version != self._completion_version:
                return
            request = heapq.heappop(self._running)[2]
            self._complete(request)

        self.at(self.now + left_s / self._rate(), complete)
