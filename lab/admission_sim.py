"""Simulates callers and one upstream in virtual time."""

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

# Seconds by bin number and workspace.
WorkspaceSecondsByBin = dict[tuple[int, str], float]


class AdmissionController(Protocol):
    """Interface of an admission controller in the simulation."""

    def set_upstream(self, status: enums.UpstreamStatus, slots: int) -> None:
        """Set the state of the upstream and its announced slots."""

    def submit(
        self,
        request: admission.AdmissionRequest,
        on_start: Callable[[], None],
        on_refused: Callable[[call.Refusal], None],
    ) -> admission.Ticket:
        """Start, queue or refuse a call."""

    def finish(
        self, ticket: admission.Ticket, outcome: enums.ServiceOutcome
    ) -> None:
        """Note the end of a running call."""

    def tick(self) -> None:
        """Run periodic work."""


class FifoAdmission:
    """Baseline: starts calls in order of arrival while slots are free.

    The queue is unbounded, and deadlines are not checked.
    """

    def __init__(self, *, clock: clock_module.Clock) -> None:
        """Create the controller without slots."""
        self._clock = clock
        self._slots = 0
        self.in_flight = 0
        self._queue: collections.deque[admission.Ticket] = collections.deque()

    def set_upstream(self, status: enums.UpstreamStatus, slots: int) -> None:
        """Set the announced slots and start waiting calls."""
        self._slots = slots
        self._start_ready()

    def submit(
        self,
        request: admission.AdmissionRequest,
        on_start: Callable[[], None],
        on_refused: Callable[[call.Refusal], None],
    ) -> admission.Ticket:
        """Start or queue the call; calls are never refused."""
        now = self._clock.monotonic()
        ticket = admission.Ticket(request, now, on_start, on_refused)
        self._queue.append(ticket)
        self._start_ready()
        return ticket

    def finish(
        self, ticket: admission.Ticket, outcome: enums.ServiceOutcome
    ) -> None:
        """Free the slot and start waiting calls."""
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
        rates: (from second, requests per second), in order of time.
        service_s: Mean service time in seconds.
        weight: Weight of the workspace in the division of the slots.
        timeout_s: Time from the first attempt to the deadline.
        has_fixed_service_time: Whether all service times are equal; else they
            are exponentially distributed.
        mean_retry_delay_s: Mean delay before a refused request is retried.
        max_attempts: Most attempts of a request before its deadline.
        route: Route name that the admission controller receives.
    """

    workspace: str
    rates: tuple[tuple[float, float], ...]
    service_s: float
    importance: enums.Importance = enums.Importance.NORMAL
    weight: float = 1.0
    timeout_s: float = 1.0
    has_fixed_service_time: bool = False
    mean_retry_delay_s: float = 0.02
    max_attempts: int = 4
    route: str = ''


@dataclasses.dataclass(kw_only=True, eq=False)
class Request:
    """One attempt of a request.

    Attributes:
        deadline: Second of the simulation; the same for all attempts.
        work_s: Service time at full speed, in seconds.
        attempt: Number of the attempt, from 1.
        has_ended: Whether the attempt was refused or has left the upstream.
        started_s: Second of the simulation at which it started.
        sent_s: Second of the simulation at which it was sent.
        callback_count: Number of starts and refusals; at most 1 is correct.
        completes_at_work_s: Value of the work counter of the upstream at
            which it completes.
    """

    flow: Flow
    deadline: float
    work_s: float
    attempt: int
    ticket: admission.Ticket | None = None
    is_running: bool = False
    has_ended: bool = False
    started_s: float = 0.0
    sent_s: float = 0.0
    callback_count: int = 0
    completes_at_work_s: float = 0.0


class Simulation:
    """Drives one admission controller with flows of requests.

    The upstream runs at most real_slots calls at full speed. Beyond that, it
    divides its capacity equally among the calls, or sheds the excess if sheds
    is True.
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
        """Start the upstream in cold start, at second 0 of the simulation."""
        self.random = random.Random(seed)
        self.clock = clock_module.ManualClock()
        self._start_monotonic_s = self.clock.monotonic()
        self.real_slots = real_slots
        self.sheds = sheds
        self.is_baseline = is_baseline
        self.slowdown = 1.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._running: list[tuple[float, int, Request]] = []
        self._running_call_count = 0
        self._work_s = 0.0
        self._work_updated_s = self._start_monotonic_s
        self._completion_version = 0
        self.useful_work_s: WorkspaceSecondsByBin = collections.defaultdict(
            float
        )
        self.succeeded_by_class: collections.Counter[enums.Importance] = (
            collections.Counter()
        )
        self.sent_by_class: collections.Counter[enums.Importance] = (
            collections.Counter()
        )
        self.slot_time_s: WorkspaceSecondsByBin = collections.defaultdict(
            float
        )
        self.offered_work_s: WorkspaceSecondsByBin = collections.defaultdict(
            float
        )
        self.reasons: collections.Counter[str] = collections.Counter()
        self.given_up_count = 0
        self.waits_s: list[float] = []
        self.attempts: list[Request] = []
        self.limits: list[tuple[float, int]] = []
        self.admission: admission.Admission | None = None
        self.controller: AdmissionController
        if is_baseline:
            self.controller = FifoAdmission(clock=self.clock)
        else:
            self.admission = admission.Admission(
                clock=self.clock, random=self.random
            )
            self.controller = self.admission
        self.controller.set_upstream(
            enums.UpstreamStatus.COLD, announced_slots or real_slots
        )
        self.schedule(0.0, self._tick)

    @property
    def now_s(self) -> float:
        """Return the seconds since the start of the simulation."""
        return self.clock.monotonic() - self._start_monotonic_s

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action for a second of the simulation."""
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def add_flow(self, flow: Flow) -> None:
        """Add a flow of requests with Poisson arrivals."""
        peak = max(rate for _, rate in flow.rates)

        # Thinning: of arrivals at the peak rate, each is kept with the
        # probability rate / peak.
        def arrive() -> None:
            rate = 0.0
            for start_s, value in flow.rates:
                if start_s <= self.now_s:
                    rate = value
            if self.random.random() * peak < rate:
                self._send_new(flow)
            self.schedule(self.now_s + self.random.expovariate(peak), arrive)

        self.schedule(self.random.expovariate(peak), arrive)

    def set_slowdown(self, factor: float) -> None:
        """Multiply the service times of all calls, also running ones."""
        self._update_work()
        self.slowdown = factor
        self._schedule_completion()

    def set_real_slots(self, slots: int) -> None:
        """Change how many calls run at full speed."""
        self._update_work()
        self.real_slots = slots
        self._schedule_completion()

    def run(self, end_s: float) -> None:
        """Run the simulation up to a second."""
        while self._events and self._events[0][0] <= end_s:
            time_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, time_s - self.now_s))
            action()
        self.clock.advance(max(0.0, end_s - self.now_s))

    def goodput(self, start_s: float, end_s: float) -> float:
        """Return the work of successful calls as a fraction of the capacity.

        Work is counted instead of calls, so that the random service times do
        not distort the result.
        """
        return sum(
            self._fractions_by_workspace(
                self.useful_work_s, start_s, end_s
            ).values()
        )

    def offered(self, start_s: float, end_s: float) -> float:
        """Return the work of new requests as a fraction of the capacity."""
        return sum(
            self._fractions_by_workspace(
                self.offered_work_s, start_s, end_s
            ).values()
        )

    def shares(self, start_s: float, end_s: float) -> dict[str, float]:
        """Return the fraction of the slot time that each workspace used."""
        return self._fractions_by_workspace(self.slot_time_s, start_s, end_s)

    def fair_shares(self, start_s: float, end_s: float) -> dict[str, float]:
        """Return the max-min fair fraction of the slots by workspace."""
        demands = self._fractions_by_workspace(
            self.offered_work_s, start_s, end_s
        )
        fair: dict[str, float] = {}
        remaining = 1.0
        for name in sorted(demands, key=lambda name: demands[name]):
            fair[name] = min(
                demands[name], remaining / (len(demands) - len(fair))
            )
            remaining -= fair[name]
        return fair

    def lowest_fair_share_ratio(self, start_s: float, end_s: float) -> float:
        """Return the lowest ratio of a workspace's share to its fair share."""
        shares = self.shares(start_s, end_s)
        fair = self.fair_shares(start_s, end_s)
        return min(shares.get(name, 0.0) / fair[name] for name in fair)

    def _fractions_by_workspace(
        self,
        seconds_by_bin: WorkspaceSecondsByBin,
        start_s: float,
        end_s: float,
    ) -> dict[str, float]:
        bins = range(round(start_s / BIN_S), round(end_s / BIN_S))
        used: dict[str, float] = collections.defaultdict(float)
        for (index, workspace), seconds in seconds_by_bin.items():
            if index in bins:
                used[workspace] += seconds
        total_s = self.real_slots * (end_s - start_s)
        return {name: seconds / total_s for name, seconds in used.items()}

    def _tick(self) -> None:
        self.controller.tick()
        if self.admission is not None:
            self.limits.append((self.now_s, self.admission.limit))
        self.schedule(self.now_s + const.ADMISSION_TICK_S, self._tick)

    def _send_new(self, flow: Flow) -> None:
        work_s = flow.service_s
        if not flow.has_fixed_service_time:
            work_s = self.random.expovariate(1.0 / flow.service_s)
        self.sent_by_class[flow.importance] += 1
        index = int(self.now_s / BIN_S)
        self.offered_work_s[index, flow.workspace] += work_s
        self._send(flow, self.now_s + flow.timeout_s, work_s, 1)

    def _send(
        self, flow: Flow, deadline: float, work_s: float, attempt: int
    ) -> None:
        request = Request(
            flow=flow, deadline=deadline, work_s=work_s, attempt=attempt
        )
        request.sent_s = self.now_s
        self.attempts.append(request)
        self.schedule(deadline, lambda: self._time_out(request))
        request.ticket = self.controller.submit(
            admission.AdmissionRequest(
                call_id=ids.CallId(str(len(self.attempts))),
                workspace=ids.Workspace(flow.workspace),
                weight=flow.weight,
                importance=flow.importance,
                deadline=self._start_monotonic_s + deadline,
                route=flow.route,
            ),
            lambda: self._start(request),
            lambda refusal: self._handle_refusal(request, refusal),
        )
        if request.is_running and self._is_shedding():
            # The call started inside submit(), before its ticket was known.
            self._shed(request)

    def _handle_refusal(self, request: Request, refusal: call.Refusal) -> None:
        request.callback_count += 1
        request.has_ended = True
        self.reasons[refusal.reason.value] += 1
        self._retry(request)

    def _retry(self, request: Request) -> None:
        flow = request.flow
        time_s = self.now_s + self.random.expovariate(
            1.0 / flow.mean_retry_delay_s
        )
        if time_s >= request.deadline or request.attempt >= flow.max_attempts:
            self.given_up_count += 1
            return
        self.schedule(
            time_s,
            lambda: self._send(
                flow, request.deadline, request.work_s, request.attempt + 1
            ),
        )

    def _is_shedding(self) -> bool:
        return self.sheds and self._running_call_count > self.real_slots

    def _start(self, request: Request) -> None:
        request.callback_count += 1
        request.is_running = True
        request.started_s = self.now_s
        self.waits_s.append(self.now_s - request.sent_s)
        self._update_work()
        self._running_call_count += 1
        request.completes_at_work_s = self._work_s + request.work_s
        heapq.heappush(
            self._running,
            (request.completes_at_work_s, next(self._sequence), request),
        )
        self._schedule_completion()
        if request.ticket is not None and self._is_shedding():
            self._shed(request)

    def _shed(self, request: Request) -> None:
        self._remove_running(request)
        assert request.ticket is not None
        self.reasons['upstream_shed'] += 1
        ticket = request.ticket
        self.schedule(
            self.now_s,
            lambda: self.controller.finish(ticket, enums.ServiceOutcome.SHED),
        )
        self._retry(request)

    def _remove_running(self, request: Request) -> None:
        """Remove a running request from the upstream."""
        self._update_work()
        request.is_running = False
        request.has_ended = True
        self._running_call_count -= 1
        index = int(self.now_s / BIN_S)
        self.slot_time_s[index, request.flow.workspace] += (
            self.now_s - request.started_s
        )
        self._schedule_completion()

    def _time_out(self, request: Request) -> None:
        if request.has_ended:
            return
        if self.is_baseline or not request.is_running:
            # The baseline has no deadline check: its calls stay queued or
            # running. Admission control itself refuses calls that wait in its
            # queue.
            return
        self._remove_running(request)
        assert request.ticket is not None
        self.reasons['timed_out'] += 1
        self.controller.finish(request.ticket, enums.ServiceOutcome.TIMED_OUT)

    def _complete(self, request: Request) -> None:
        self._remove_running(request)
        if self.now_s <= request.deadline:
            index = int(self.now_s / BIN_S)
            self.useful_work_s[index, request.flow.workspace] += request.work_s
            self.succeeded_by_class[request.flow.importance] += 1
        assert request.ticket is not None
        self.controller.finish(request.ticket, enums.ServiceOutcome.COMPLETED)

    def _work_rate(self) -> float:
        """Return the work done per second on each running call."""
        share = min(1.0, self.real_slots / max(1, self._running_call_count))
        return share / self.slowdown

    def _update_work(self) -> None:
        """Add the work done at the previous rate up to now."""
        self._work_s += (self.now_s - self._work_updated_s) * self._work_rate()
        self._work_updated_s = self.now_s

    def _schedule_completion(self) -> None:
        self._completion_version += 1
        while self._running and not self._running[0][2].is_running:
            heapq.heappop(self._running)
        if not self._running:
            return
        version = self._completion_version
        remaining_s = max(0.0, self._running[0][0] - self._work_s)

        def complete() -> None:
            if version != self._completion_version:
                return
            request = heapq.heappop(self._running)[2]
            self._complete(request)

        self.schedule(self.now_s + remaining_s / self._work_rate(), complete)
