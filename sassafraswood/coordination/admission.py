"""Admission control for the calls to one upstream."""

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
# Waiting time allowed to a burst, as a multiple of the queue target. It takes
# effect where the target is too long for const.QUEUE_BURST_WAIT_S.
BURST_TARGET_FACTOR: Final = 4.0
# Minimum gap between two pauses for calls that run alone, as a multiple of the
# length of the previous pause.
ALONE_GAP_FACTOR: Final = 4.0
ALONE_GAP_MIN_S: Final = 0.1
SLOT_TIME_CHARGE_INTERVAL_S: Final = 0.1
RETRY_AFTER_MIN_S: Final = 0.01
RETRY_AFTER_MAX_S: Final = 10.0
# Spreads the retries of callers that were refused at the same time.
RETRY_AFTER_JITTER_FRACTION: Final = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionRequest:
    """A call that requests admission.

    Attributes:
        weight: Share of the workspace relative to other workspaces; above 0.
        deadline: Monotonic time in seconds.
        route: Name that groups calls with comparable service times, such as
            the path pattern.
        run_alone: Whether the call may only run while no other call runs.
    """

    call_id: ids.CallId
    workspace: ids.Workspace | None
    weight: float
    importance: enums.Importance
    deadline: float
    route: str = ''
    run_alone: bool = False


class TicketState(enum.StrEnum):
    """State of a call in admission control."""

    QUEUED = 'queued'
    RUNNING = 'running'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'
    FINISHED = 'finished'


class Ticket(fair_queue.Entry):
    """A call in admission control.

    Attributes:
        started_at: Monotonic time in seconds; NaN until the call starts.
        run_deadline: Monotonic time in seconds by which a running call has to
            end. For a call that runs alone it also bounds how long the
            starts of other calls are paused.
        limiter_generation: Number of restarts of the concurrency limit
            before the call started; -1 until it starts.
    """

    def __init__(
        self,
        request: AdmissionRequest,
        now: float,
        on_start: Callable[[], None],
        on_refused: Callable[[call.Refusal], None],
    ) -> None:
        """Create a queued ticket for the request."""
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
        self.run_deadline = request.deadline
        self.limiter_generation = -1


class Admission:
    """Decides whether a call runs at the upstream, waits or is refused.

    Each submitted call gets exactly one of on_start and on_refused, unless
    it is cancelled while it waits; then it gets neither. Callbacks may run
    before submit() returns and may call the methods of this object. The owner
    calls tick() every const.ADMISSION_TICK_S while calls wait or run.
    """

    def __init__(
        self, *, clock: clock_module.Clock, random: random_module.Random
    ) -> None:
        """Start without an upstream."""
        self._clock = clock
        self._random = random
        self._concurrency_limit = concurrency.ConcurrencyLimit(clock=clock)
        self._limiter_generation = 0
        self._queue: fair_queue.FairQueue[Ticket] = fair_queue.FairQueue(
            const.QUEUE_MIN_ENTRIES
        )
        self._shedding_meter = shedding.SheddingMeter(clock.monotonic())
        self._status = enums.UpstreamStatus.ABSENT
        self._running: dict[int, Ticket] = {}
        self._queue_empty_at = clock.monotonic()
        self._last_charge_at = clock.monotonic()
        self._alone_queue: collections.deque[Ticket] = collections.deque()
        self._alone_running: Ticket | None = None
        self._paused_at: float | None = None
        self._pause_not_before = -math.inf
        self._last_shared_at = -math.inf
        self._is_starting_calls = False
        self._must_start_again = False

    @property
    def in_flight(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._queue) + len(self._alone_queue)

    @property
    def limit(self) -> int:
        """Return the concurrency limit."""
        return self._concurrency_limit.limit

    def set_upstream(self, status: enums.UpstreamStatus, slots: int) -> None:
        """Set the state of the upstream and its announced slots.

        Waiting calls are refused when the upstream no longer accepts calls;
        running calls stay until they finish.
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
            self._concurrency_limit.restart(slots)
            self._limiter_generation += 1
        elif slots != self._concurrency_limit.slots:
            self._concurrency_limit.set_slots(slots)
        self._start_waiting()

    def submit(
        self,
        request: AdmissionRequest,
        on_start: Callable[[], None],
        on_refused: Callable[[call.Refusal], None],
    ) -> Ticket:
        """Start, queue or refuse the call.

        Raises:
            ValueError: The weight of the request is not above 0.
        """
        if request.weight <= 0.0:
            raise ValueError(
                f'weight of the workspace is {request.weight}; '
                'expected a number above 0'
            )
        now = self._clock.monotonic()
        ticket = Ticket(request, now, on_start, on_refused)
        if self._status not in SERVING_STATUSES:
            self._refuse(ticket, self._unavailable_reason())
            return ticket
        if self._would_miss_deadline(
            ticket, now, self._expected_wait_s(ticket)
        ):
            self._refuse(ticket, enums.RefusalReason.DEADLINE_UNREACHABLE)
            return ticket
        if request.run_alone:
            self._queue_alone(ticket)
        else:
            self._queue_shared(ticket, now)
        self._start_waiting()
        return ticket

    def finish(self, ticket: Ticket, outcome: ServiceOutcome) -> None:
        """Free the slot of a running call; repeated calls do nothing."""
        if ticket.state is not TicketState.RUNNING:
            return
        ticket.state = TicketState.FINISHED
        self._end_run(ticket, outcome)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a waiting call, or free the slot of a running one.

        The connection of a running call has to be closed first. Finished and
        refused calls are not changed.
        """
        if ticket.state is TicketState.RUNNING:
            ticket.state = TicketState.CANCELLED
            self._end_run(ticket, ServiceOutcome.CANCELLED)
            return
        if ticket.state is not TicketState.QUEUED:
            return
        ticket.state = TicketState.CANCELLED
        # A refusal in progress may already have removed it from its queue.
        if not ticket.request.run_alone:
            self._queue.remove(ticket)
        elif ticket in self._alone_queue:
            self._alone_queue.remove(ticket)
        self._start_waiting()

    def hint(self) -> messages.AdmissionHint:
        """Return the load hint that is sent to other daemons."""
        now = self._clock.monotonic()
        return messages.AdmissionHint(
            lowest_importance=self._shedding_meter.lowest_admitted_importance(
                now
            ),
            limit=self._concurrency_limit.limit,
            in_flight=self.in_flight,
            queued=self.queued,
            upstream_status=self._status,
        )

    def tick(self) -> None:
        """Refuse calls that waited too long and adapt the limit."""
        now = self._clock.monotonic()
        if self._status in SERVING_STATUSES:
            self._concurrency_limit.update()
        if now - self._last_charge_at >= SLOT_TIME_CHARGE_INTERVAL_S:
            self._last_charge_at = now
            for ticket in self._running.values():
                self._queue.charge_running(ticket, now - ticket.started_at)
        self._refuse_expired(now)
        self._start_waiting()

    # Queues of waiting calls.

    def _queue_shared(self, ticket: Ticket, now: float) -> None:
        self._last_shared_at = now
        if not len(self._queue):
            self._queue_empty_at = now
        displaced = self._queue.push(ticket)
        if displaced is not None:
            self._refuse(displaced, enums.RefusalReason.QUEUE_FULL)

    def _queue_alone(self, ticket: Ticket) -> None:
        if len(self._alone_queue) >= const.ALONE_MAX_QUEUED:
            self._refuse(ticket, enums.RefusalReason.QUEUE_FULL)
            return
        self._alone_queue.append(ticket)

    def _refuse_expired(self, now: float) -> None:
        """Refuse calls that waited too long or reached their deadline."""
        overdue = self._queue.remove_waiting_since(now - self._max_wait_s(now))
        self._refuse_all(overdue, enums.RefusalReason.OVERLOADED)
        expired = self._queue.remove_expired_entries(now)
        expired += [
            ticket for ticket in self._alone_queue if ticket.deadline <= now
        ]
        for ticket in expired:
            if ticket.request.run_alone:
                self._alone_queue.remove(ticket)
        self._refuse_all(expired, enums.RefusalReason.DEADLINE_UNREACHABLE)

    def _queue_target_s(self) -> float:
        """Return the waiting time in seconds allowed in a standing queue."""
        service_s = self._concurrency_limit.mean_service_s() or 0.0
        start_interval_s = service_s / max(1, self._concurrency_limit.limit)
        return max(
            const.QUEUE_WAIT_TARGET_S,
            const.QUEUE_TARGET_STARTS * start_interval_s,
        )

    def _max_wait_s(self, now: float) -> float:
        """Return the waiting time in seconds that is allowed now.

        A burst may wait longer than calls in a standing queue. This follows
        controlled delay (CoDel, RFC 8289), applied to waiting calls.
        """
        target_s = self._queue_target_s()
        burst_s = max(const.QUEUE_BURST_WAIT_S, BURST_TARGET_FACTOR * target_s)
        if now - self._queue_empty_at < burst_s:
            return burst_s
        return target_s

    def _expected_wait_s(self, ticket: Ticket) -> float:
        """Return the expected waiting time of a new call in seconds."""
        service_s = self._concurrency_limit.mean_service_s()
        if service_s is None:
            return 0.0
        if len(self._running) < self._concurrency_limit.limit and not len(
            self._queue
        ):
            return 0.0
        ahead = self._queue.count_ahead(ticket.importance, ticket.workspace)
        return (ahead + 1) * service_s / max(1, self._concurrency_limit.limit)

    def _would_miss_deadline(
        self, ticket: Ticket, now: float, wait_s: float
    ) -> bool:
        if ticket.deadline <= now:
            return True
        # A few calls are always admitted: without new measurements the
        # estimate would stay high after a slowdown has ended.
        probes = max(
            1, int(concurrency.COLD_FRACTION * self._concurrency_limit.limit)
        )
        if len(self._running) < probes:
            return False
        service_s = (
            self._concurrency_limit.service_s(ticket.request.route) or 0.0
        )
        return now + wait_s + service_s > ticket.deadline

    # Starts and ends of calls.

    def _start_waiting(self) -> None:
        """Start waiting calls while slots are free.

        Callbacks may call this method again. The nested call only requests
        another pass of the outer one, which avoids deep recursion.
        """
        if self._is_starting_calls:
            self._must_start_again = True
            return
        self._is_starting_calls = True
        try:
            self._must_start_again = True
            while self._must_start_again:
                self._must_start_again = False
                self._start_ready_calls()
        finally:
            self._is_starting_calls = False

    def _start_ready_calls(self) -> None:
        while self._status in SERVING_STATUSES:
            now = self._clock.monotonic()
            if self._may_start_alone(now):
                self._start_alone(self._alone_queue.popleft(), now)
                continue
            if self._update_pause(now):
                break
            if len(self._running) >= self._concurrency_limit.limit:
                break
            ticket = self._queue.pop()
            if ticket is None:
                break
            if ticket.queued_at < now - self._max_wait_s(now):
                self._refuse(ticket, enums.RefusalReason.OVERLOADED)
                continue
            if self._would_miss_deadline(ticket, now, 0.0):
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
        ticket.run_deadline = min(ticket.deadline, now + const.ALONE_MAX_RUN_S)
        self._start(ticket, now)

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.RUNNING
        ticket.started_at = now
        ticket.limiter_generation = self._limiter_generation
        self._running[id(ticket)] = ticket
        self._queue.charge_start(ticket)
        self._concurrency_limit.note_start(ticket.request.route)
        self._shedding_meter.note_start(ticket.importance, now)
        ticket.on_start()

    def _end_run(self, ticket: Ticket, outcome: ServiceOutcome) -> None:
        now = self._clock.monotonic()
        elapsed_s = now - ticket.started_at
        del self._running[id(ticket)]
        self._queue.charge_end(ticket, elapsed_s)
        # A call that started before the limit was restarted says nothing about
        # the current run of the upstream.
        if ticket.limiter_generation == self._limiter_generation:
            self._concurrency_limit.note_end(
                ticket.request.route, elapsed_s, outcome
            )
        if ticket is self._alone_running:
            self._alone_running = None
            self._resume_starts(now, ticket.started_at)
        self._start_waiting()

    # Calls that run alone.

    def _may_start_alone(self, now: float) -> bool:
        if not self._alone_queue or self._running:
            return False
        if self._paused_at is not None:
            return True
        # Without other traffic no call is delayed, so that suspects may run
        # one directly after the other.
        is_quiet = now - self._last_shared_at > const.ALONE_MIN_WAIT_S
        return is_quiet or now >= self._pause_not_before

    def _update_pause(self, now: float) -> bool:
        """Begin or end a pause of starts for calls that run alone.

        Returns:
            Whether other calls must not start now.
        """
        if self._alone_running is not None:
            return True
        if not self._alone_queue:
            if self._paused_at is not None:
                self._resume_starts(now, now)
            return False
        if self._paused_at is None:
            waited_s = now - self._alone_queue[0].queued_at
            if (
                now < self._pause_not_before
                or waited_s < const.ALONE_MIN_WAIT_S
            ):
                return False
            self._paused_at = now
        if now - self._paused_at < const.ALONE_MAX_PAUSE_S:
            return True
        self._resume_starts(now, now)
        return False

    def _resume_starts(self, now: float, started_at: float) -> None:
        """End a pause; the gap to the next is proportional to its length."""
        paused_at = started_at if self._paused_at is None else self._paused_at
        gap_s = max(ALONE_GAP_MIN_S, ALONE_GAP_FACTOR * (now - paused_at))
        self._pause_not_before = now + gap_s
        self._paused_at = None

    # Refusals.

    def _unavailable_reason(self) -> enums.RefusalReason:
        if self._status is enums.UpstreamStatus.DRAINING:
            return enums.RefusalReason.DRAINING
        return enums.RefusalReason.NO_UPSTREAM

    def _refuse_waiting(self) -> None:
        waiting = [*self._alone_queue, *self._queue.remove_all()]
        self._alone_queue.clear()
        self._paused_at = None
        self._refuse_all(waiting, self._unavailable_reason())

    def _refuse_all(
        self, tickets: Iterable[Ticket], reason: enums.RefusalReason
    ) -> None:
        for ticket in tickets:
            self._refuse(ticket, reason)

    def _refuse(self, ticket: Ticket, reason: enums.RefusalReason) -> None:
        # The callback of another refusal may have cancelled this call.
        if ticket.state is not TicketState.QUEUED:
            return
        ticket.state = TicketState.REFUSED
        now = self._clock.monotonic()
        retry_after_s = None
        # Without a serving upstream the refusal says nothing about load, and
        # the caller may try another upstream.
        is_shed = self._status in SERVING_STATUSES
        if is_shed:
            # While slots are free, the cause is the call itself, such as its
            # deadline, and not overload.
            if len(self._running) >= self._concurrency_limit.limit:
                self._shedding_meter.note_shed(ticket.importance, now)
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
        """Return the seconds after which a retry may succeed.

        While more calls are offered than start, only one attempt in
        `offered_per_start` succeeds, so the wait is multiplied by it.
        """
        turn_s = max(self._expected_wait_s(ticket), self._queue_target_s())
        estimate_s = turn_s * self._shedding_meter.offered_per_start(now)
        jitter = 1.0 + RETRY_AFTER_JITTER_FRACTION * self._random.random()
        return min(
            max(estimate_s * jitter, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S
        )
