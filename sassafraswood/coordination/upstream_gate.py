"""Admission of calls to the upstream beside a daemon, and their order."""

import collections
from collections.abc import Callable
import enum
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import call_schedule
from sassafraswood.coordination import call_tree
from sassafraswood.coordination import deep_load
from sassafraswood.coordination import tree_limit
from sassafraswood.coordination import upstream_pace
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.state import fair_queue

# Fraction of the slots in use at most: upstreams slow down when more of their
# slots are in use.
MAX_SLOT_FRACTION: Final = 0.95
# The number of slots is rounded to the nearest where rounding down would leave
# more than this fraction of a small upstream unused.
MAX_UNUSED_FRACTION: Final = 0.1
# Wait that orders inner calls (those made by running calls) among new ones;
# the second value is for urgent ones. The call whose wait ends first starts
# first, so an inner call may start after a new call with a short wait that
# arrived at the same time. Unlike a new call, an inner call is not refused
# when its wait ends, only at its deadline. With these waits, a call graph of
# four levels still meets the usual latency targets of 1 s and more.
INNER_WAIT_S: Final = 0.1
URGENT_INNER_WAIT_S: Final = 0.03
# Urgency from which on an inner call counts as urgent; the upper half of all
# kinds of calls reaches it.
MIN_URGENT_URGENCY: Final = 0.6
# Fraction of the time left that an inner call may wait for a cold upstream. A
# refusal before leaves time for another upstream.
PACED_INNER_WAIT_FRACTION: Final = 0.3
MAX_WAITING: Final = 4096
MAX_ROUTES: Final = 1024


class CallState(enum.Enum):
    """State of a call in the admission gate."""

    WAITING = 'waiting'
    RUNNING = 'running'
    ENDED = 'ended'


class GateCall(fair_queue.Entry):
    """A call submitted for admission.

    Attributes:
        route: Name of the route of the call.
        urgency: Value from 0 to 1; calls with the lowest are refused first.
        kind: Route and urgency; calls of one kind share a queue and a limit.
        is_inner: Whether an upstream made the call while running another.
        attempt_id: Identifies this attempt of the call.
        target_s: Latency target; a later response has less value.
        may_redirect: Whether the call is refused in place of waiting, since
            another upstream may have a free slot.
        max_wait_s: Longest wait of a new call in seconds, and the wait after
            which an inner call is due; 0 leaves that to the gate.
        has_slack: Whether a new call may wait longer than others.
        start: Called when the call is to be sent to the upstream.
        refuse: Called with the reason when the call is refused.
        state: State of the call in the gate.
        started_at: Monotonic time at which the call started.
        child_count: Calls that the run has made.
    """

    def __init__(
        self,
        *,
        route: str,
        workspace: ids.Workspace | None,
        urgency: float,
        is_inner: bool,
        attempt_id: bytes,
        target_s: float,
        deadline: float,
        now: float,
        start: Callable[[], None],
        refuse: Callable[[enums.RefusalReason], None],
        may_redirect: bool = False,
        max_wait_s: float = 0.0,
        has_slack: bool = False,
    ) -> None:
        """Create a waiting call.

        Args:
            route: Name of the route.
            workspace: Workspace whose share of slot time the call uses.
            urgency: Value from 0 to 1.
            is_inner: Whether a running call made this one.
            attempt_id: Identifies this attempt of the call.
            target_s: Latency target.
            deadline: Monotonic time at which the call expires.
            now: Monotonic time of submission.
            start: Callback that sends the call to the upstream.
            refuse: Callback that refuses the call.
            may_redirect: Whether to refuse the call if it would wait.
            max_wait_s: Longest wait of a new call, or the wait after which an
                inner call is due; 0 if the caller does not state it.
            has_slack: Whether a new call may wait longer than others.
        """
        super().__init__(
            workspace=workspace,
            weight=1.0,
            importance=enums.Importance.NORMAL,
            deadline=deadline,
            queued_at=now,
        )
        self.route = route
        self.urgency = urgency
        self.kind = (route, urgency)
        self.is_inner = is_inner
        self.attempt_id = attempt_id
        self.target_s = target_s
        self.may_redirect = may_redirect
        self.max_wait_s = max_wait_s
        self.has_slack = has_slack
        self.start = start
        self.refuse = refuse
        self.state = CallState.WAITING
        self.started_at = 0.0
        self.child_count = 0

    def end(self) -> None:
        """Mark the call as ended, and drop its callbacks.

        They usually refer to the call. Without this reference cycle, the call
        and its body are freed without a garbage collection.
        """
        self.state = CallState.ENDED
        self.start = _do_nothing
        self.refuse = _ignore_reason


def _compute_capacity(slots: int) -> int:
    """Return the number of calls that may run at once on some slots."""
    capacity = int(MAX_SLOT_FRACTION * slots)
    if capacity < (1.0 - MAX_UNUSED_FRACTION) * slots:
        capacity = round(MAX_SLOT_FRACTION * slots)
    return max(1, capacity)


def _do_nothing() -> None:
    """Replace the callback that starts a call."""


def _ignore_reason(reason: enums.RefusalReason) -> None:
    """Replace the callback that refuses a call."""
    del reason


class _RouteState:
    """Queue and concurrency limit of the new calls of one kind."""

    def __init__(self, capacity: int, urgency: float, now: float) -> None:
        self.queue: fair_queue.FairQueue[GateCall] = fair_queue.FairQueue(
            MAX_WAITING
        )
        self.limit = tree_limit.TreeLimit(capacity=capacity, now=now)
        self.urgency = urgency
        self.schedule = call_schedule.KindSchedule(urgency)


class UpstreamGate:
    """Starts calls while the upstream has capacity.

    Inner calls wait in the order of arrival, because their call tree was
    admitted already. New calls wait in one queue for each route and urgency,
    which shares slot time among workspaces, and start while the limit of
    their kind allows it. Calls with slack wait behind the others, as
    `call_schedule` says. While the upstream is cold or recovers, its pace
    limits the starts of all calls.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        below: deep_load.DownstreamLoad,
        pace: upstream_pace.UpstreamPace | None = None,
    ) -> None:
        """Create a gate without an upstream.

        Args:
            clock: Monotonic clock.
            below: Load of the services that the upstream calls.
            pace: Pace of a cold upstream; None for no limit.
        """
        self.pace = pace or upstream_pace.UpstreamPace(clock)
        self._clock = clock
        self._below = below
        self.tree: call_tree.CallTree[GateCall] = call_tree.CallTree()
        self._capacity = 0
        self._is_serving = False
        self._in_flight = 0
        self._schedule = call_schedule.CallSchedule()
        self._starts_since_slack = 0
        # Waiting inner calls from MIN_URGENT_URGENCY on, the others, and those
        # of call trees with slack.
        self._urgent_inner: collections.deque[GateCall] = collections.deque()
        self._inner: collections.deque[GateCall] = collections.deque()
        self._slack_inner: collections.deque[GateCall] = collections.deque()
        self._routes: dict[tuple[str, float], _RouteState] = {}
        self._waiting_count = 0

    @property
    def is_serving(self) -> bool:
        """Return whether the upstream accepts calls."""
        return self._is_serving

    @property
    def in_flight(self) -> int:
        """Return the number of calls at the upstream."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Return the number of waiting calls."""
        return self._waiting_count

    @property
    def load(self) -> float:
        """Return running and waiting calls relative to the capacity."""
        return (self._in_flight + self._waiting_count) / max(1, self._capacity)

    @property
    def capacity(self) -> int:
        """Return the number of calls that may run at once."""
        return self._capacity

    def route_limits(self) -> dict[str, float]:
        """Return the concurrency limits below the capacity by kind.

        Routes that make no calls of their own are left out.
        """
        return {
            f'{name}/{urgency:.2f}': round(route.limit.limit, 1)
            for (name, urgency), route in self._routes.items()
            if route.limit.limit < self._capacity
            and self.tree.makes_calls(name)
        }

    def route_waits(self) -> dict[str, float]:
        """Return how long the oldest call of each kind has waited.

        The times are in seconds.
        """
        now = self._clock.monotonic()
        waits = {}
        for (name, urgency), route in self._routes.items():
            oldest_at = route.queue.oldest_at
            if oldest_at is not None:
                waits[f'{name}/{urgency:.2f}'] = round(now - oldest_at, 3)
        return waits

    def compute_inner_wait_s(self, parent: GateCall) -> float:
        """Return how long a call that a run makes may wait for its start.

        Returns:
            Time in seconds; 0 if the run has no slack.
        """
        if parent.is_inner:
            return parent.max_wait_s
        if not parent.has_slack:
            return 0.0
        return self._schedule.compute_inner_wait_s(
            parent.route,
            parent.queued_at + parent.target_s,
            self._clock.monotonic(),
        )

    def compute_kind_load(self, call: GateCall) -> float:
        """Return the load that another call of the same kind would meet."""
        load = self.load
        route = None if call.is_inner else self._routes.get(call.kind)
        if route is None:
            return load
        if not self.tree.makes_calls(call.route):
            return load
        calls = route.limit.in_flight + len(route.queue)
        return max(load, calls / max(1.0, route.limit.limit))

    def compute_wait_s(self, call: GateCall, slot_s: float) -> float:
        """Return the time that another call of the same kind would wait.

        Args:
            call: A call of the kind.
            slot_s: Mean time that calls occupy a slot, in seconds.
        """
        wait_s = 0.0
        if self._capacity and self._in_flight >= self._capacity:
            wait_s = slot_s * (1 + self._waiting_count) / self._capacity
        route = None if call.is_inner else self._routes.get(call.kind)
        if route is not None and not self._has_capacity(call.route, route):
            count = 1 + len(route.queue)
            wait_s = max(wait_s, slot_s * count / route.limit.limit)
        return wait_s

    def set_upstream(self, slots: int) -> None:
        """Set the slots of the upstream and start waiting calls."""
        self._capacity = _compute_capacity(slots)
        self._is_serving = True
        self.pace.set_capacity(self._capacity)
        for route in self._routes.values():
            route.limit.set_capacity(self._capacity)
        self._start_waiting()

    def stop(self, reason: enums.RefusalReason) -> None:
        """Start no further calls; refuse the waiting ones."""
        self._is_serving = False
        waiting = [*self._urgent_inner, *self._inner, *self._slack_inner]
        self._urgent_inner.clear()
        self._inner.clear()
        self._slack_inner.clear()
        for route in self._routes.values():
            waiting += route.queue.remove_all()
        self._waiting_count = 0
        for call in waiting:
            self._refuse(call, reason)

    def submit(self, call: GateCall) -> None:
        """Start, queue or refuse a call."""
        if not self._is_serving:
            self._refuse(call, enums.RefusalReason.NO_UPSTREAM)
            return
        if not self._schedule.can_end(
            call.route, call.deadline, call.queued_at
        ):
            self._refuse(call, enums.RefusalReason.DEADLINE_UNREACHABLE)
            return
        if self.pace.is_active:
            self._submit_paced(call)
            return
        if call.is_inner:
            if self._in_flight < self._capacity:
                self._start(call)
                return
            if call.may_redirect:
                self._refuse(call, enums.RefusalReason.UPSTREAM_FULL)
                return
            self._append(call)
            return
        route = self._get_route_state(call)
        if (
            self._in_flight < self._capacity
            and self._has_capacity(call.route, route)
            and not len(route.queue)
        ):
            self._start(call)
            return
        if call.may_redirect:
            self._refuse(call, enums.RefusalReason.UPSTREAM_FULL)
            return
        if not self._plan_wait(call, route):
            self._refuse(call, enums.RefusalReason.OVERLOADED)
            return
        self._push(call, route)

    def _submit_paced(self, call: GateCall) -> None:
        """Start or queue a call, or refuse it if it would wait too long.

        The tokens go to the waiting calls in their order.
        """
        now = self._clock.monotonic()
        if call.is_inner:
            max_wait_s = PACED_INNER_WAIT_FRACTION * (call.deadline - now)
            self._append(call)
        else:
            route = self._get_route_state(call)
            if not self._plan_wait(call, route):
                self._refuse(call, enums.RefusalReason.OVERLOADED)
                return
            max_wait_s = call.start_by - now
            self._push(call, route)
        self._start_waiting()
        if call.state is not CallState.WAITING:
            return
        if (
            call.may_redirect
            or self.pace.compute_wait_s(self._waiting_count) > max_wait_s
        ):
            self._remove_waiting(call)
            self._refuse(call, self._select_reason())

    def _select_reason(self) -> enums.RefusalReason:
        if self.pace.is_active and self._in_flight < self._capacity:
            return enums.RefusalReason.UPSTREAM_COLD
        return enums.RefusalReason.UPSTREAM_FULL

    def _append(self, call: GateCall) -> None:
        """Add an inner call to its queue."""
        self._waiting_count += 1
        self._select_inner_queue(call).append(call)

    def _push(self, call: GateCall, route: _RouteState) -> None:
        """Add a new call to its queue; a full queue refuses another one."""
        self._waiting_count += 1
        displaced = route.queue.push(call)
        if displaced is not None:
            self._waiting_count -= 1
            self._refuse(displaced, enums.RefusalReason.QUEUE_FULL)

    def finish(self, call: GateCall) -> None:
        """Record the end of a running call and start waiting calls."""
        if call.state is not CallState.RUNNING:
            return
        call.end()
        self._in_flight -= 1
        self.tree.end(call)
        now = self._clock.monotonic()
        self._schedule.note_run(call.route, now - call.started_at, now)
        if not call.is_inner:
            route = self._routes[call.kind]
            route.limit.note_end()
            route.queue.charge_end(call, now - call.started_at)
            route.limit.update(now, route.urgency, self._below.load(now))
        self._start_waiting()

    def cancel(self, call: GateCall) -> None:
        """Remove a waiting call whose response is no longer needed."""
        if call.state is not CallState.WAITING:
            return
        call.end()
        self._remove_waiting(call)

    def _remove_waiting(self, call: GateCall) -> None:
        self._waiting_count -= 1
        if call.is_inner:
            self._select_inner_queue(call).remove(call)
        else:
            self._routes[call.kind].queue.remove(call)

    def tick(self) -> None:
        """Refuse calls that waited too long and update the limits."""
        now = self._clock.monotonic()
        self.pace.tick()
        late_reason = (
            enums.RefusalReason.UPSTREAM_COLD
            if self.pace.is_active
            else enums.RefusalReason.OVERLOADED
        )
        due = [
            call
            for call in (
                *self._urgent_inner,
                *self._inner,
                *self._slack_inner,
            )
            if not self._schedule.can_end(call.route, call.deadline, now)
        ]
        for call in due:
            self._select_inner_queue(call).remove(call)
            self._waiting_count -= 1
            self._refuse(call, enums.RefusalReason.DEADLINE_UNREACHABLE)
        for route in self._routes.values():
            route.limit.update(now, route.urgency, self._below.load(now))
            if not len(route.queue):
                continue
            late = route.queue.remove_expired_entries(now)
            self._waiting_count -= len(late)
            for call in late:
                self._refuse(call, late_reason)
        self._start_waiting()

    def _get_route_state(self, call: GateCall) -> _RouteState:
        route = self._routes.get(call.kind)
        if route is None:
            now = self._clock.monotonic()
            if len(self._routes) >= MAX_ROUTES:
                self._routes = {
                    name: state
                    for name, state in self._routes.items()
                    if state.limit.in_flight or len(state.queue)
                }
            route = _RouteState(self._capacity, call.urgency, now)
            self._routes[call.kind] = route
        route.schedule.note_call(
            target_s=call.target_s,
            time_left_s=call.deadline - call.queued_at,
            usual_s=self._schedule.usual_s(call.route, call.queued_at),
            has_slack=call.has_slack,
        )
        return route

    def _plan_wait(self, call: GateCall, route: _RouteState) -> bool:
        """Set until when a call may wait; return False if that is too short.

        A call with slack waits only if it is expected to start in time.
        """
        now = call.queued_at
        wait_s = route.schedule.wait_s
        if call.max_wait_s > 0.0:
            wait_s = min(wait_s, call.max_wait_s)
        call.start_by = min(
            now + wait_s,
            call.deadline - self._schedule.short_s(call.route, now),
        )
        if not route.schedule.has_slack or not len(route.queue):
            return True
        calls_ahead = route.queue.count_ahead(call.importance, call.workspace)
        expected_s = route.schedule.starts.compute_wait_s(calls_ahead, now)
        return expected_s <= wait_s

    def _start_waiting(self) -> None:
        """Start waiting calls, first those whose allowed wait ends first.

        A call that would not end by its deadline is refused in its turn.
        """
        while (
            self._is_serving
            and self._waiting_count
            and self._in_flight < self._capacity
            and self.pace.may_start(self._in_flight)
        ):
            call = self._pop_next()
            if call is None:
                return
            self._waiting_count -= 1
            if self._schedule.can_end(
                call.route, call.deadline, self._clock.monotonic()
            ):
                self._start(call)
            else:
                self._refuse(call, enums.RefusalReason.DEADLINE_UNREACHABLE)

    def _pop_next(self) -> GateCall | None:
        """Remove and return the call whose allowed wait ends first.

        Each SLACK_START_INTERVAL-th start is that of a call with slack.
        """
        due_route: _RouteState | None = None
        slack_route: _RouteState | None = None
        inner_queue: collections.deque[GateCall] | None = None
        earliest_due: float | None = None
        earliest_slack_due: float | None = None
        for queue, wait_s in (
            (self._urgent_inner, URGENT_INNER_WAIT_S),
            (self._inner, INNER_WAIT_S),
        ):
            if queue and (
                earliest_due is None
                or queue[0].queued_at + wait_s < earliest_due
            ):
                earliest_due = queue[0].queued_at + wait_s
                inner_queue = queue
        if self._slack_inner:
            first = self._slack_inner[0]
            earliest_slack_due = first.queued_at + first.max_wait_s
        for kind, route in self._routes.items():
            oldest_at = route.queue.oldest_at
            if oldest_at is None or not self._has_capacity(kind[0], route):
                continue
            due = oldest_at + route.schedule.due_s
            if route.schedule.has_slack:
                if earliest_slack_due is None or due < earliest_slack_due:
                    earliest_slack_due = due
                    slack_route = route
            elif earliest_due is None or due < earliest_due:
                earliest_due = due
                due_route = route
        if earliest_slack_due is not None:
            self._starts_since_slack += 1
            if (
                earliest_due is None
                or earliest_slack_due < earliest_due
                or self._starts_since_slack
                >= call_schedule.SLACK_START_INTERVAL
            ):
                self._starts_since_slack = 0
                if slack_route is not None:
                    return slack_route.queue.pop()
                return self._slack_inner.popleft()
        if due_route is not None:
            return due_route.queue.pop()
        return inner_queue.popleft() if inner_queue else None

    def _has_capacity(self, name: str, route: _RouteState) -> bool:
        return route.limit.has_room or not self.tree.may_make_calls(name)

    def _select_inner_queue(
        self, call: GateCall
    ) -> collections.deque[GateCall]:
        if call.max_wait_s > INNER_WAIT_S:
            return self._slack_inner
        if call.urgency >= MIN_URGENT_URGENCY:
            return self._urgent_inner
        return self._inner

    def _start(self, call: GateCall) -> None:
        now = self._clock.monotonic()
        call.state = CallState.RUNNING
        call.started_at = now
        self._in_flight += 1
        self.pace.note_start(now)
        self.tree.start(call)
        if not call.is_inner:
            route = self._routes[call.kind]
            route.schedule.starts.note_start(now)
            route.limit.note_start()
            route.queue.charge_start(call)
        call.start()

    def _refuse(self, call: GateCall, reason: enums.RefusalReason) -> None:
        refuse = call.refuse
        call.end()
        refuse(reason)
