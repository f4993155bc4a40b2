"""Which calls run at the upstream beside a daemon, and in which order."""

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

# Upstreams work slower when nearly all of their slots are in use.
SLOT_SHARE: Final = 0.95
# Calls of running calls wait up to this long, in seconds, before a new call
# that came at the same time and may not wait at all; a call graph of four
# levels then still meets the usual targets of a second and more.
INNER_WAIT_S: Final = 0.1
INNER_WAIT_IMPORTANT_S: Final = 0.03
# The more urgent half of all kinds.
IMPORTANT_URGENCY: Final = 0.6
# Share of the latency target that a new call may wait; an early refusal
# lets the caller come back in time.
WAIT_SHARE: Final = 0.125
MAX_WAITING: Final = 4096
MAX_ROUTES: Final = 1024


class CallState(enum.Enum):
    """State of a call in the gate."""

    WAITING = 'waiting'
    RUNNING = 'running'
    ENDED = 'ended'


class GateCall(fair_queue.Entry):
    """A call that asks to run.

    Attributes:
        urgency: From 0 to 1; the lowest is refused first.
        is_inner: Whether an upstream made it while it runs another call.
        target_s: Time within which the answer has its full value.
        start: Called when the call is to be sent to the upstream.
        refuse: Called when it will not run here.
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
    ) -> None:
        """Take the call and its callbacks."""
        super().__init__(
            workspace=workspace,
            weight=1.0,
            importance=enums.Importance.NORMAL,
            deadline=deadline,
            queued_at=now,
        )
        self.route = route
        self.urgency = urgency
        # Calls of one kind share a queue and a limit.
        self.kind = (route, urgency)
        self.is_inner = is_inner
        self.attempt_id = attempt_id
        self.target_s = target_s
        self.start = start
        self.refuse = refuse
        self.state = CallState.WAITING
        self.started_at = 0.0

    @property
    def wait_s(self) -> float:
        """Return how long the call may wait, in seconds."""
        return WAIT_SHARE * self.target_s


class _RouteState:
    """Calls of callers on one route."""

    def __init__(self, capacity: int, urgency: float, now: float) -> None:
        self.queue: fair_queue.FairQueue[GateCall] = fair_queue.FairQueue(
            MAX_WAITING
        )
        self.limit = tree_limit.TreeLimit(capacity=capacity, now=now)
        self.urgency = urgency
        self.wait_s = 0.0


class UpstreamGate:
    """Starts calls while the upstream has room.

    Calls that an upstream made wait in the order of arrival: their tree was
    admitted already. New calls wait in a queue for each route, shared among
    workspaces by slot time, and start while their latency stays below its
    target.
    """

    def __init__(
        self, clock: clock_module.Clock, below: deep_load.DeepLoad
    ) -> None:
        """Start without an upstream; below is what it calls."""
        self._clock = clock
        self._below = below
        self.tree: call_tree.CallTree[GateCall] = call_tree.CallTree()
        self._capacity = 0
        self._is_serving = False
        self._in_flight = 0
        # Calls of important trees, and those of all others.
        self._inner_important: collections.deque[GateCall] = (
            collections.deque()
        )
        self._inner: collections.deque[GateCall] = collections.deque()
        self._routes: dict[tuple[str, float], _RouteState] = {}
        self._waiting = 0

    @property
    def is_serving(self) -> bool:
        """Return whether calls may start."""
        return self._is_serving

    @property
    def in_flight(self) -> int:
        """Return the number of calls at the upstream."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait."""
        return self._waiting

    @property
    def load(self) -> float:
        """Return the calls that run and wait relative to the capacity."""
        return (self._in_flight + self._waiting) / max(1, self._capacity)

    @property
    def capacity(self) -> int:
        """Return how many calls may run."""
        return self._capacity

    def route_limits(self) -> dict[str, float]:
        """Return the limits below the capacity by route."""
        return {
            f'{name}/{urgency:.2f}': round(route.limit.limit, 1)
            for (name, urgency), route in self._routes.items()
            if route.limit.limit < self._capacity
            and self.tree.makes_calls(name)
        }

    def load_of(self, call: GateCall) -> float:
        """Return the load that another call of its kind would meet."""
        load = self.load
        route = None if call.is_inner else self._routes.get(call.kind)
        if route is None:
            return load
        if not self.tree.makes_calls(call.route):
            return load
        calls = route.limit.in_flight + len(route.queue)
        return max(load, calls / max(1.0, route.limit.limit))

    def set_upstream(self, slots: int) -> None:
        """Take an upstream that takes calls."""
        self._capacity = max(1, int(SLOT_SHARE * slots))
        self._is_serving = True
        for route in self._routes.values():
            route.limit.set_capacity(self._capacity)
        self._pump()

    def stop(self, reason: enums.RefusalReason) -> None:
        """Start no more calls; those that wait are refused."""
        self._is_serving = False
        waiting = [*self._inner_important, *self._inner]
        self._inner_important.clear()
        self._inner.clear()
        for route in self._routes.values():
            waiting += route.queue.remove_all()
        self._waiting = 0
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
            self._queue_of(call).append(call)
            self._waiting += 1
            return
        route = self._route(call)
        if (
            self._in_flight < self._capacity
            and self._has_room(call.route, route)
            and not len(route.queue)
        ):
            self._start(call)
            return
        displaced = route.queue.push(call)
        self._waiting += 1
        if displaced is not None:
            self._waiting -= 1
            self._refuse(displaced, enums.RefusalReason.QUEUE_FULL)

    def finish(self, call: GateCall) -> None:
        """Take the end of a running call."""
        if call.state is not CallState.RUNNING:
            return
        call.state = CallState.ENDED
        self._in_flight -= 1
        self.tree.end(call)
        if not call.is_inner:
            now = self._clock.monotonic()
            route = self._routes[call.kind]
            route.limit.note_end()
            route.queue.charge_end(call, now - call.started_at)
            route.limit.update(now, route.urgency, self._below.load(now))
        self._pump()

    def cancel(self, call: GateCall) -> None:
        """Drop a call that waits; nobody asks for its answer."""
        if call.state is not CallState.WAITING:
            return
        call.state = CallState.ENDED
        self._waiting -= 1
        if call.is_inner:
            self._queue_of(call).remove(call)
        else:
            self._routes[call.kind].queue.remove(call)

    def tick(self) -> None:
        """Refuse calls that waited too long and adapt the limits."""
        now = self._clock.monotonic()
        due = [
            call
            for call in (*self._inner_important, *self._inner)
            if call.deadline <= now
        ]
        for call in due:
            self._queue_of(call).remove(call)
            self._waiting -= 1
            self._refuse(call, enums.RefusalReason.DEADLINE_UNREACHABLE)
        for route in self._routes.values():
            route.limit.update(now, route.urgency, self._below.load(now))
            if not len(route.queue):
                continue
            late = route.queue.remove_waiting_since(now - route.wait_s)
            late += route.queue.remove_due(now)
            self._waiting -= len(late)
            for call in late:
                self._refuse(call, enums.RefusalReason.OVERLOADED)
        self._pump()

    def _route(self, call: GateCall) -> _RouteState:
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

    def _pump(self) -> None:
        """Start waiting calls, the most urgent ones first."""
        while (
            self._is_serving
            and self._waiting
            and self._in_flight < self._capacity
        ):
            call = self._pop()
            if call is None:
                return
            self._waiting -= 1
            self._start(call)

    def _pop(self) -> GateCall | None:
        """Take the call whose allowed wait ends first."""
        best: _RouteState | None = None
        inner: collections.deque[GateCall] | None = None
        urgency: float | None = None
        for queue, wait_s in (
            (self._inner_important, INNER_WAIT_IMPORTANT_S),
            (self._inner, INNER_WAIT_S),
        ):
            if queue and (
                urgency is None or queue[0].queued_at + wait_s < urgency
            ):
                urgency = queue[0].queued_at + wait_s
                inner = queue
        for kind, route in self._routes.items():
            oldest_at = route.queue.oldest_at
            if oldest_at is None or not self._has_room(kind[0], route):
                continue
            due = oldest_at + route.wait_s
            if urgency is None or due < urgency:
                urgency = due
                best = route
        if best is not None:
            return best.queue.pop()
        return inner.popleft() if inner else None

    def _has_room(self, name: str, route: _RouteState) -> bool:
        return route.limit.has_room or not self.tree.may_make_calls(name)

    def _queue_of(self, call: GateCall) -> collections.deque[GateCall]:
        if call.urgency >= IMPORTANT_URGENCY:
            return self._inner_important
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
        call.state = CallState.ENDED
        call.refuse(reason)
