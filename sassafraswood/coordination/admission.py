"""Admission of calls beside one upstream."""

import collections
import dataclasses
import enum
import math
import random as random_module
from collections.abc import Callable, Iterable
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import concurrency
from sassafraswood.coordination import shedding
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.state import fair_queue

ServiceOutcome = enums.ServiceOutcome

SERVING_STATUSES: Final = frozenset(
    {enums.UpstreamStatus.COLD, enums.UpstreamStatus.READY}
)
# A burst may wait for this many targets, for upstreams whose target is long.
BURST_TARGETS: Final = 4.0
# A call alone may stop the others again after this many times the last stop.
ALONE_GAP_FACTOR: Final = 4.0
ALONE_GAP_MIN_S: Final = 0.1
CHARGE_INTERVAL_S: Final = 0.1
RETRY_AFTER_MIN_S: Final = 0.01
RETRY_AFTER_MAX_S: Final = 10.0
# Spreads retries of callers that were refused together.
RETRY_AFTER_JITTER: Final = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionRequest:
    """A call that asks to run.

    Attributes:
        weight: Share of the workspace relative to the others; above 0.
        deadline: Monotonic time in seconds.
        route: Name under which service times are compared, such as the path
            pattern.
        run_alone: Whether no other call may run beside it.
    """

    call_id: ids.CallId
    workspace: ids.Workspace | None
    weight: float
    importance: enums.Importance
    deadline: float
    route: str = ''
    run_alone: bool = False


class TicketState(enum.StrEnum):
    """State of a call in the admission."""

    QUEUED = 'queued'
    RUNNING = 'running'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'
    FINISHED = 'finished'


class Ticket(fair_queue.Entry):
    """A call in the admission.

    Attributes:
        ends_by: Monotonic time at which a running call has to be ended; for
            a call alone it bounds how long the others are stopped.
    """

    def __init__(
        self,
        request: AdmissionRequest,
        now: float,
        on_start: Callable[[], None],
        on_refused: Callable[[call.Refusal], None],
    ) -> None:
        """Take the request and its callbacks."""
        super().__init__(
            workspace=request.workspace,
            weight=request.weight,
            importance=request.importance,
            deadline=request.deadline,
            queued_at=now,
        )
        self.request = request
        self.on_start = on_start
        self.on_refused = on_refused
        self.state = TicketState.QUEUED
        self.started_at = math.nan
        self.ends_by = request.deadline
        self.limiter_run = -1


class Admission:
    """Decides which calls run at the upstream, wait or are refused.

    Each submitted call gets exactly one of on_start and on_refused, unless
    it is cancelled while it waits; then it gets neither. Callbacks may be
    called before submit returns and may call the methods of this object.
    tick() is due every const.ADMISSION_TICK_S while work is queued or runs.
    """

    def __init__(
        self, *, clock: clock_module.Clock, random: random_module.Random
    ) -> None:
        """Start without an upstream."""
        self._clock = clock
        self._random = random
        self._limit = concurrency.ConcurrencyLimit(clock=clock)
        self._limiter_run = 0
        self._queue: fair_queue.FairQueue[Ticket] = fair_queue.FairQueue(
            const.QUEUE_MIN_ENTRIES
        )
        self._meter = shedding.SheddingMeter(clock.monotonic())
        self._status = enums.UpstreamStatus.ABSENT
        self._running: dict[int, Ticket] = {}
        self._queue_empty_at = clock.monotonic()
        self._charged_at = clock.monotonic()
        self._alone: collections.deque[Ticket] = collections.deque()
        self._alone_running: Ticket | None = None
        self._stopped_at: float | None = None
        self._stop_not_before = -math.inf
        self._shared_at = -math.inf
        self._is_pumping = False
        self._pump_again = False

    @property
    def in_flight(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._queue) + len(self._alone)

    @property
    def limit(self) -> int:
        """Return the concurrency limit."""
        return self._limit.limit

    def set_upstream(self, status: enums.UpstreamStatus, slots: int) -> None:
        """Take the state of the upstream and its announced slots.

        Calls that wait are refused when the upstream stops taking calls;
        calls that run stay until they are finished.
        """
        was_serving = self._status in SERVING_STATUSES
        is_new_cold = (
            status is enums.UpstreamStatus.COLD and status != self._status
        )
        self._status = status
        self._queue.slots = max(1, slots)
        self._queue.max_entries = max(
            const.QUEUE_MIN_ENTRIES, const.QUEUE_ENTRIES_PER_SLOT * slots
        )
        if status not in SERVING_STATUSES:
            self._refuse_waiting()
            return
        if not was_serving or is_new_cold:
            self._limit.restart(slots)
            self._limiter_run += 1
        elif slots != self._limit.slots:
            self._limit.set_slots(slots)
        self._pump()

    def submit(
        self,
        request: AdmissionRequest,
        on_start: Callable[[], None],
        on_refused: Callable[[call.Refusal], None],
    ) -> Ticket:
        """Start, queue or refuse the call.

        Raises:
            ValueError: The weight is not above 0.
        """
        if request.weight <= 0.0:
            raise ValueError(f'weight {request.weight} is not above 0')
        now = self._clock.monotonic()
        ticket = Ticket(request, now, on_start, on_refused)
        if self._status not in SERVING_STATUSES:
            self._refuse(ticket, self._unavailable_reason())
            return ticket
        if self._is_unreachable(ticket, now, self._wait_s(ticket)):
            self._refuse(ticket, enums.RefusalReason.DEADLINE_UNREACHABLE)
            return ticket
        if request.run_alone:
            self._queue_alone(ticket)
        else:
            self._queue_shared(ticket, now)
        self._pump()
        return ticket

    def finish(self, ticket: Ticket, outcome: ServiceOutcome) -> None:
        """Take the end of a running call; repeated calls do nothing."""
        if ticket.state is not TicketState.RUNNING:
            return
        ticket.state = TicketState.FINISHED
        self._end(ticket, outcome)

    def cancel(self, ticket: Ticket) -> None:
        """Drop a waiting call, or free the slot of a running one.

        The connection of a running call has to be closed first. A finished
        or refused call stays as it is.
        """
        if ticket.state is TicketState.RUNNING:
            ticket.state = TicketState.CANCELLED
            self._end(ticket, ServiceOutcome.CANCELLED)
            return
        if ticket.state is not TicketState.QUEUED:
            return
        ticket.state = TicketState.CANCELLED
        # A refusal in progress may have taken it out of its queue already.
        if not ticket.request.run_alone:
            self._queue.remove(ticket)
        elif ticket in self._alone:
            self._alone.remove(ticket)
        self._pump()

    def hint(self) -> messages.AdmissionHint:
        """Return the load for other daemons."""
        now = self._clock.monotonic()
        return messages.AdmissionHint(
            lowest_importance=self._meter.lowest_admitted(now),
            limit=self._limit.limit,
            in_flight=self.in_flight,
            queued=self.queued,
            upstream_status=self._status,
        )

    def tick(self) -> None:
        """Refuse calls that waited too long and adapt the limit."""
        now = self._clock.monotonic()
        if self._status in SERVING_STATUSES:
            self._limit.update()
        if now - self._charged_at >= CHARGE_INTERVAL_S:
            self._charged_at = now
            for ticket in self._running.values():
                self._queue.charge_running(ticket, now - ticket.started_at)
        self._expire(now)
        self._pump()

    # Waiting calls.

    def _queue_shared(self, ticket: Ticket, now: float) -> None:
        self._shared_at = now
        if not len(self._queue):
            self._queue_empty_at = now
        displaced = self._queue.push(ticket)
        if displaced is not None:
            self._refuse(displaced, enums.RefusalReason.QUEUE_FULL)

    def _queue_alone(self, ticket: Ticket) -> None:
        if len(self._alone) >= const.ALONE_MAX_QUEUED:
            self._refuse(ticket, enums.RefusalReason.QUEUE_FULL)
            return
        self._alone.append(ticket)

    def _expire(self, now: float) -> None:
        """Refuse calls that wait too long or cannot meet their deadline."""
        late = self._queue.remove_waiting_since(now - self._sojourn_s(now))
        self._refuse_all(late, enums.RefusalReason.OVERLOADED)
        due = self._queue.remove_due(now)
        due += [ticket for ticket in self._alone if ticket.deadline <= now]
        for ticket in due:
            if ticket.request.run_alone:
                self._alone.remove(ticket)
        self._refuse_all(due, enums.RefusalReason.DEADLINE_UNREACHABLE)

    def _target_s(self) -> float:
        """Return the waiting time allowed while a queue lasts."""
        service_s = self._limit.mean_service_s() or 0.0
        starts_s = service_s / max(1, self._limit.limit)
        return max(const.QUEUE_TARGET_S, const.QUEUE_TARGET_STARTS * starts_s)

    def _sojourn_s(self, now: float) -> float:
        """Return the waiting time allowed now.

        A burst may wait longer than calls in a queue that lasts, as in
        controlled delay (RFC 8289) with the drop applied to waiting calls.
        """
        target_s = self._target_s()
        burst_s = max(const.QUEUE_BURST_S, BURST_TARGETS * target_s)
        if now - self._queue_empty_at < burst_s:
            return burst_s
        return target_s

    def _wait_s(self, ticket: Ticket) -> float:
        """Return the expected wait of a new call in seconds."""
        service_s = self._limit.mean_service_s()
        if service_s is None:
            return 0.0
        if len(self._running) < self._limit.limit and not len(self._queue):
            return 0.0
        ahead = self._queue.count_ahead(ticket.importance, ticket.workspace)
        return (ahead + 1) * service_s / max(1, self._limit.limit)

    def _is_unreachable(
        self, ticket: Ticket, now: float, wait_s: float
    ) -> bool:
        if ticket.deadline <= now:
            return True
        # A few calls always run, so that the estimate cannot lock itself in
        # after a slowdown has ended.
        probes = max(1, int(concurrency.COLD_FRACTION * self._limit.limit))
        if len(self._running) < probes:
            return False
        service_s = self._limit.service_s(ticket.request.route) or 0.0
        return now + wait_s + service_s > ticket.deadline

    # Starts and ends.

    def _pump(self) -> None:
        """Start calls while there is room.

        Callbacks may come back here; the outer call then goes on, so that
        the stack stays flat.
        """
        if self._is_pumping:
            self._pump_again = True
            return
        self._is_pumping = True
        try:
            self._pump_again = True
            while self._pump_again:
                self._pump_again = False
                self._start_ready()
        finally:
            self._is_pumping = False

    def _start_ready(self) -> None:
        while self._status in SERVING_STATUSES:
            now = self._clock.monotonic()
            if self._may_start_alone(now):
                self._start_alone(self._alone.popleft(), now)
                continue
            if self._is_stopped(now):
                break
            if len(self._running) >= self._limit.limit:
                break
            ticket = self._queue.pop()
            if ticket is None:
                break
            if ticket.queued_at < now - self._sojourn_s(now):
                self._refuse(ticket, enums.RefusalReason.OVERLOADED)
                continue
            if self._is_unreachable(ticket, now, 0.0):
                self._refuse(ticket, enums.RefusalReason.DEADLINE_UNREACHABLE)
                continue
            self._start(ticket, now)
        if not len(self._queue):
            self._queue_empty_at = self._clock.monotonic()

    def _start_alone(self, ticket: Ticket, now: float) -> None:
        if ticket.deadline <= now:
            self._refuse(ticket, enums.RefusalReason.DEADLINE_UNREACHABLE)
            return
        self._alone_running = ticket
        ticket.ends_by = min(ticket.deadline, now + const.ALONE_RUN_S)
        self._start(ticket, now)

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.RUNNING
        ticket.started_at = now
        ticket.limiter_run = self._limiter_run
        self._running[id(ticket)] = ticket
        self._queue.charge_start(ticket)
        self._limit.note_start(ticket.request.route)
        self._meter.note_start(ticket.importance, now)
        ticket.on_start()

    def _end(self, ticket: Ticket, outcome: ServiceOutcome) -> None:
        now = self._clock.monotonic()
        elapsed_s = now - ticket.started_at
        del self._running[id(ticket)]
        self._queue.charge_end(ticket, elapsed_s)
        # A call of an earlier run of the upstream says nothing of this one.
        if ticket.limiter_run == self._limiter_run:
            self._limit.note_end(ticket.request.route, elapsed_s, outcome)
        if ticket is self._alone_running:
            self._alone_running = None
            self._allow_others(now, ticket.started_at)
        self._pump()

    # Calls that run alone.

    def _may_start_alone(self, now: float) -> bool:
        if not self._alone or self._running:
            return False
        if self._stopped_at is not None:
            return True
        # Without other traffic nobody is stopped, and suspects are cleared
        # one after the other.
        is_quiet = now - self._shared_at > const.ALONE_PATIENCE_S
        return is_quiet or now >= self._stop_not_before

    def _is_stopped(self, now: float) -> bool:
        """Return whether starts are stopped for a call that runs alone."""
        if self._alone_running is not None:
            return True
        if not self._alone:
            if self._stopped_at is not None:
                self._allow_others(now, now)
            return False
        if self._stopped_at is None:
            waited_s = now - self._alone[0].queued_at
            if (
                now < self._stop_not_before
                or waited_s < const.ALONE_PATIENCE_S
            ):
                return False
            self._stopped_at = now
        if now - self._stopped_at < const.ALONE_DRAIN_S:
            return True
        self._allow_others(now, now)
        return False

    def _allow_others(self, now: float, started_at: float) -> None:
        """End a stop; the next one waits in proportion to its length."""
        since = started_at if self._stopped_at is None else self._stopped_at
        gap_s = max(ALONE_GAP_MIN_S, ALONE_GAP_FACTOR * (now - since))
        self._stop_not_before = now + gap_s
        self._stopped_at = None

    # Refusals.

    def _unavailable_reason(self) -> enums.RefusalReason:
        if self._status is enums.UpstreamStatus.DRAINING:
            return enums.RefusalReason.DRAINING
        return enums.RefusalReason.NO_UPSTREAM

    def _refuse_waiting(self) -> None:
        waiting = [*self._alone, *self._queue.remove_all()]
        self._alone.clear()
        self._stopped_at = None
        self._refuse_all(waiting, self._unavailable_reason())

    def _refuse_all(
        self, tickets: Iterable[Ticket], reason: enums.RefusalReason
    ) -> None:
        for ticket in tickets:
            self._refuse(ticket, reason)

    def _refuse(self, ticket: Ticket, reason: enums.RefusalReason) -> None:
        # A callback of another refusal may have cancelled it meanwhile.
        if ticket.state is not TicketState.QUEUED:
            return
        ticket.state = TicketState.REFUSED
        now = self._clock.monotonic()
        retry_after_s = None
        # Without a serving upstream the refusal says nothing about load, so
        # another upstream may be tried.
        is_shed = self._status in SERVING_STATUSES
        if is_shed:
            # With slots free, a refused call was hopeless by itself.
            if len(self._running) >= self._limit.limit:
                self._meter.note_shed(ticket.importance, now)
            retry_after_s = self._retry_after_s(ticket, now)
        ticket.on_refused(
            call.Refusal(
                reason=reason,
                outcome=enums.Outcome.NOT_RUN,
                retry_after_s=retry_after_s,
                shed=is_shed,
            )
        )

    def _retry_after_s(self, ticket: Ticket, now: float) -> float:
        """Return when a new try may succeed, in seconds.

        While calls are offered faster than they start, one try in `pressure`
        succeeds, so the wait for a turn counts that many times.
        """
        turn_s = max(self._wait_s(ticket), self._target_s())
        estimate_s = turn_s * self._meter.pressure(now)
        jitter = 1.0 + RETRY_AFTER_JITTER * self._random.random()
        return min(
            max(estimate_s * jitter, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S
        )
