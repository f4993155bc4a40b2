"""Admission of calls to the upstream beside a daemon, and their order."""

import collections
from collections.abc import Callable
import enum
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import call_tree
from sassafraswood.coordination import deep_load
from sassafraswood.coordination import tree_limit
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.state import fair_queue

# Fraction of the slots in use at most: upstreams slow down when nearly all of
# their slots are in use.
MAX_SLOT_FRACTION: Final = 0.95
# The capacity of fewer slots is rounded to the nearest, since leaving another
# one unused costs more than 5 percent of them.
MIN_FLOORED_SLOTS: Final = 20
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
# Fraction of the latency target that a new call may wait. An early refusal
# leaves the caller time for a retry.
WAIT_FRACTION: Final = 0.125
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
        start: Called when the call is to be sent to the upstream.
        refuse: Called with the reason when the call is refused.
        state: State of the call in the gate.
        started_at: Monotonic time at which the call started.
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
        self.start = start
        self.refuse = refuse
        self.state = CallState.WAITING
        self.started_at = 0.0

    @property
    def wait_s(self) -> float:
        """Return the allowed wait of a new call in seconds."""
        return WAIT_FRACTION * self.target_s

    def end(self) -> None:
        """Mark the call as ended, and drop its callbacks.

        They usually refer to the call. Without this reference cycle, the call
        and its body are freed without a garbage collection.
        """
        self.state = CallState.ENDED
        self.start = _do_nothing
        self.refuse = _ignore_reason


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
        self.wait_s = 0.0


class UpstreamGate:
    """Starts calls while the upstream has capacity.

    Inner calls wait in the order of arrival, because their call tree was
    admitted already. New calls wait in one queue for each route and urgency,
    which shares slot time among workspaces, and start while the limit of
    their kind allows it.
    """

    def __init__(
        self, clock: clock_module.Clock, below: deep_load.DownstreamLoad
    ) -> None:
        """Create a gate without an upstream.

        Args:
            clock: Monotonic clock.
            below: Load of the services that the upstream calls.
        """
        self._clock = clock
        self._below = below
        self.tree: call_tree.CallTree[GateCall] = call_tree.CallTree()
        self._capacity = 0
        self._is_serving = False
        self._in_flight = 0
        # Waiting inner calls from MIN_URGENT_URGENCY on, and the others.
        self._urgent_inner: collections.deque[GateCall] = collections.deque()
        self._inner: collections.deque[GateCall] = collections.deque()
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
        capacity = MAX_SLOT_FRACTION * slots
        self._capacity = max(
            1, int(capacity) if slots >= MIN_FLOORED_SLOTS else round(capacity)
        )
        self._is_serving = True
        for route in self._routes.values():
            route.limit.set_capacity(self._capacity)
        self._start_waiting()

    def stop(self, reason: enums.RefusalReason) -> None:
        """Start no further calls; refuse the waiting ones."""
        self._is_serving = False
        waiting = [*self._urgent_inner, *self._inner]
        self._urgent_inner.clear()
        self._inner.clear()
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
        if call.is_inner:
            if self._in_flight < self._capacity:
                self._start(call)
                return
            if call.may_redirect:
                self._refuse(call, enums.RefusalReason.UPSTREAM_FULL)
                return
            self._select_inner_queue(call).append(call)
            self._waiting_count += 1
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
        displaced = route.queue.push(call)
        self._waiting_count += 1
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
        if not call.is_inner:
            now = self._clock.monotonic()
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
        self._waiting_count -= 1
        if call.is_inner:
            self._select_inner_queue(call).remove(call)
        else:
            self._routes[call.kind].queue.remove(call)

    def tick(self) -> None:
        """Refuse calls that waited too long and update the limits."""
        now = self._clock.monotonic()
        due = [
            call
            for call in (*self._urgent_inner, *self._inner)
            if call.deadline <= now
        ]
        for call in due:
            self._select_inner_queue(call).remove(call)
            self._waiting_count -= 1
            self._refuse(call, enums.RefusalReason.DEADLINE_UNREACHABLE)
        for route in self._routes.values():
            route.limit.update(now, route.urgency, self._below.load(now))
            if not len(route.queue):
                continue
            late = route.queue.remove_waiting_since(now - route.wait_s)
            late += route.queue.remove_expired_entries(now)
            self._waiting_count -= len(late)
            for call in late:
                self._refuse(call, enums.RefusalReason.OVERLOADED)
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
        route.wait_s = call.wait_s
        return route

    def _start_waiting(self) -> None:
        """Start waiting calls, first those whose allowed wait ends first."""
        while (
            self._is_serving
            and self._waiting_count
            and self._in_flight < self._capacity
        ):
            call = self._pop_next()
            if call is None:
                return
            self._waiting_count -= 1
            self._start(call)

    def _pop_next(self) -> GateCall | None:
        """Remove and return the call whose allowed wait ends first."""
        due_route: _RouteState | None = None
        inner_queue: collections.deque[GateCall] | None = None
        earliest_due: float | None = None
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
        for kind, route in self._routes.items():
            oldest_at = route.queue.oldest_at
            if oldest_at is None or not self._has_capacity(kind[0], route):
                continue
            due = oldest_at + route.wait_s
            if earliest_due is None or due < earliest_due:
                earliest_due = due
                due_route = route
        if due_route is not None:
            return due_route.queue.pop()
        return inner_queue.popleft() if inner_queue else None

    def _has_capacity(self, name: str, route: _RouteState) -> bool:
        return route.limit.has_room or not self.tree.may_make_calls(name)

    def _select_inner_queue(
        self, call: GateCall
    ) -> collections.deque[GateCall]:
        if call.urgency >= MIN_URGENT_URGENCY:
            return self._urgent_inner
        return self._inner

    def _start(self, call: GateCall) -> None:
        now = self._clock.monotonic()
        call.state = CallState.RUNNING
        call.started_at = now
        self._in_flight += 1
        self.tree.start(call)
        if not call.is_inner:
            route = self._routes[call.kind]
            route.limit.note_start()
            route.queue.charge_start(call)
        call.start()

    def _refuse(self, call: GateCall, reason: enums.RefusalReason) -> None:
        refuse = call.refuse
        call.end()
        refuse(reason)
