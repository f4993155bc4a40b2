"""Takes requests of callers and of the own upstream."""

from collections.abc import Callable
import itertools
import random as random_module
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import call_depth
from sassafraswood.coordination import crash_counts
from sassafraswood.coordination import deep_load
from sassafraswood.coordination import quota_shares
from sassafraswood.coordination import repeat_budget
from sassafraswood.coordination import route_order
from sassafraswood.coordination import store_knowledge
from sassafraswood.coordination import upstream_choice
from sassafraswood.models import enums
from sassafraswood.models import fields
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.models import traffic
from sassafraswood.protocol import frames
from sassafraswood.sidecar import caller_call
from sassafraswood.sidecar import fingerprints
from sassafraswood.sidecar import measures
from sassafraswood.sidecar import peers as peers_module
from sassafraswood.sidecar import quota_wait
from sassafraswood.sidecar import upstream_side
from sassafraswood.state import route_index
from sassafraswood.transport import ingress
from sassafraswood.transport import json_log

# Daemons that are asked in turn when one refuses at once.
MAX_REFUSALS: Final = 3
# A retry needs this share of the latency target or it comes too late.
RETRY_TIME_SHARE: Final = 0.1
# Share of the latency target that a new call may wait for a daemon of its
# service; a refusal after it still lets the caller come back in time.
WAIT_SHARE: Final = 0.125
# Share of its time that a call of an upstream may wait, since a refusal wastes
# the work of the whole tree.
INNER_WAIT_SHARE: Final = 0.5
# Retry-After as a share of the latency target, and its random part; the
# caller then is still in time for its first answer.
COMEBACK_SHARE: Final = 0.25
COMEBACK_JITTER: Final = 0.3
# Callers wait at most a third of the time they have left.
COMEBACK_LEFT_SHARE: Final = 0.3
COMEBACK_MIN_S: Final = 0.05
DEFAULT_TIME_S: Final = 30.0


class CallerSide:
    """Answers each request once, whatever happens to its call."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        own: fleet.Member,
        names: fields.FieldNames,
        knowledge: store_knowledge.StoreKnowledge,
        shares: quota_shares.QuotaShares,
        choice: upstream_choice.UpstreamChoice,
        upstream: upstream_side.UpstreamSide,
        below: deep_load.DeepLoad,
        depth: call_depth.CallDepth,
        crashes: crash_counts.CrashCounts,
        log: json_log.JsonLog,
        metrics: measures.Measures,
        revoke_s: float,
        members_s: float,
        budget: repeat_budget.RepeatBudget,
    ) -> None:
        """Take the parts and the bounds of the fleet."""
        self._clock = clock
        self._random = random
        self._own = own
        self._names = names
        self._knowledge = knowledge
        self._choice = choice
        self._upstream = upstream
        self._below = below
        self._depth = depth
        self._crashes = crashes
        self._log = log
        self._metrics = metrics
        self._peers: peers_module.Peers | None = None
        self._rules: traffic.TrafficRules | None = None
        self._index = route_index.RouteIndex([])
        self._splits: dict[str, route_order.RouteSplit] = {}
        self._urgency: dict[tuple[int, int], float] = {}
        # Levels of calls below each route, as answers tell.
        self._depths: dict[str, int] = {}
        self._budget = budget
        self._call_ids = itertools.count(1)
        self._active: dict[int, caller_call.CallerCall] = {}
        # Calls and until when they wait for a daemon of a service.
        self._parked: dict[
            ids.ServiceName, list[tuple[float, caller_call.CallerCall]]
        ] = {}
        self._quota = quota_wait.QuotaWaits(
            clock=clock,
            shares=shares,
            knowledge=knowledge,
            members_s=members_s,
            on_taken=self._send_if_active,
            on_refused=self._refuse_quota,
        )
        self._revoke_s = revoke_s

    @property
    def active_count(self) -> int:
        """Return the number of requests without an answer."""
        return len(self._active)

    def attach(self, peers: peers_module.Peers) -> None:
        """Take the connections to other daemons."""
        self._peers = peers
        self._quota.attach(peers)

    def set_rules(self, rules: traffic.TrafficRules) -> None:
        """Take new rules; calls under way keep those that they began with."""
        self._rules = rules
        self._index = route_index.RouteIndex(rules.routes)
        self._splits = {
            route.name: route_order.RouteSplit(route) for route in rules.routes
        }
        self._urgency = route_order.urgencies(rules)
        self._depths = {
            name: depth
            for name, depth in self._depths.items()
            if name in self._splits
        }

    def set_revoke_s(self, revoke_s: float) -> None:
        """Take another age of the rules up to which keys are accepted."""
        self._revoke_s = revoke_s

    # Requests.

    def handle(self, request: ingress.IngressRequest) -> None:
        """Take a whole request."""
        rules = self._rules
        if rules is None or self._peers is None:
            self._turn_away(request, 503, 'no_rules', retry_after_s=0.5)
            return
        path = request.target.partition(b'?')[0]
        route = self._index.find(request.host, path)
        if route is None:
            self._turn_away(request, 404, 'unknown_route')
            return
        call = caller_call.CallerCall(
            request, route, self._splits[route.name].next()
        )
        if not self._identify(call, rules):
            return
        self._set_times(call)
        if call.is_inner:
            self._inherit(call)
        self._active[id(call)] = call
        request.context = call
        self._budget.note_request(call.service, self._depth_of(call))
        if self._crashes.has_refused and self._is_quarantined(call):
            return
        if call.workspace and not self._quota.take(call):
            return
        self._send(call)

    def _is_quarantined(self, call: caller_call.CallerCall) -> bool:
        """Refuse a call that crashes upstreams, until it is let in again."""
        fingerprint = fingerprints.of_run(self._run(call))
        left_s = self._crashes.refused_for_s(fingerprint)
        if left_s <= 0.0:
            return False
        self._refuse(
            call,
            503,
            enums.RefusalReason.QUARANTINED.value,
            comeback_s=left_s,
            fingerprint=fingerprint,
        )
        return True

    def abandon(self, request: ingress.IngressRequest) -> None:
        """Give up the call of a client that has left."""
        call = request.context
        if call is None or id(call) not in self._active:
            return
        del self._active[id(call)]
        self._metrics.count('abandoned', call.service, 'client_left')
        if call.cancel is not None:
            call.cancel()

    def tick(self) -> None:
        """Answer requests whose time is over."""
        now = self._clock.monotonic()
        for call in list(self._active.values()):
            if call.expires_at <= now and id(call) in self._active:
                self._expire(call)
        self._quota.tick(now)
        for service, parked in list(self._parked.items()):
            late = [call for until, call in parked if until <= now]
            if late:
                self._parked[service] = [
                    item for item in parked if item[0] > now
                ]
                for call in late:
                    self._refuse_unavailable(call)

    def _identify(
        self, call: caller_call.CallerCall, rules: traffic.TrafficRules
    ) -> bool:
        """Find the workspace; return False if the request is answered."""
        request = call.request
        if not rules.needs_keys:
            return True
        workspace = (
            None
            if request.key is None
            else rules.workspaces_by_key.get(request.key)
        )
        if call.route.is_open and workspace is None:
            call.is_inner = request.connection.peer == self._own.address[0]
            return True
        if not self._knowledge.may_accept_keys(self._revoke_s):
            self._turn_away(
                request,
                503,
                enums.RefusalReason.AUTHORIZATION_STALE.value,
                retry_after_s=0.5,
                rules_age_s=round(self._knowledge.rules_age_s, 3),
            )
            return False
        if workspace is None:
            reason = (
                enums.RefusalReason.KEY_MISSING
                if request.key is None
                else enums.RefusalReason.KEY_UNKNOWN
            )
            self._turn_away(request, 401, reason.value)
            return False
        call.workspace = workspace.name
        call.urgency = self._urgency.get(
            route_order.order(call.route, workspace),
            caller_call.DEFAULT_URGENCY,
        )
        return True

    def _set_times(self, call: caller_call.CallerCall) -> None:
        now = self._clock.monotonic()
        call.started_at = now
        text = call.request.deadline_ms
        time_s = DEFAULT_TIME_S
        if text.isdigit():
            time_s = int(text) / 1000.0
        call.deadline = now + time_s
        call.expires_at = now + min(time_s, call.route.timeout_s)
        call.aim_s = min(call.route.target_s, call.route.timeout_s, time_s)

    def _inherit(self, call: caller_call.CallerCall) -> None:
        """Take the importance of the call that the upstream runs."""
        parent = self._upstream.note_inner_call(call.deadline)
        call.loads_below = self._upstream.makes_calls
        if parent is not None:
            call.urgency = parent.urgency
            call.parent = parent.attempt_id

    def take_loan(self, loan: frames.Lend) -> None:
        """Take the answer of a lender."""
        self._quota.take_loan(loan)

    def resume(self, service: ids.ServiceName) -> None:
        """Go on with calls that wait for a daemon of a service."""
        for _, call in self._parked.pop(service, []):
            self._send_if_active(call)

    # Sends.

    def _send_if_active(self, call: caller_call.CallerCall) -> None:
        if id(call) in self._active:
            self._send(call)

    def _refuse_quota(self, call: caller_call.CallerCall) -> None:
        if id(call) not in self._active:
            return
        self._refuse(call, 429, enums.RefusalReason.RATE_EXCEEDED.value)

    def _refuse_unavailable(self, call: caller_call.CallerCall) -> None:
        self._refuse(call, 503, enums.RefusalReason.NO_UPSTREAM.value)

    def _park(self, call: caller_call.CallerCall) -> None:
        """Wait for a daemon of the service, if there may be one."""
        assert self._peers is not None
        wait_s = WAIT_SHARE * call.aim_s
        if call.is_inner:
            wait_s = INNER_WAIT_SHARE * (call.expires_at - call.started_at)
        until = call.started_at + wait_s
        now = self._clock.monotonic()
        if now >= until or not self._peers.has_daemons(call.service):
            self._refuse_unavailable(call)
            return
        self._parked.setdefault(call.service, []).append((until, call))

    def _send(self, call: caller_call.CallerCall) -> None:
        assert self._peers is not None
        candidates = self._peers.candidates(call.service)
        candidate = self._choice.pick(candidates, call.tried)
        if candidate is None:
            self._park(call)
            return
        now = self._clock.monotonic()
        left_s = call.expires_at - now
        if left_s <= 0.0:
            self._expire(call)
            return
        call.call_id = next(self._call_ids)
        call.candidate = candidate
        call.sent_at = now
        call.sends += 1
        call.tried.append(candidate.member.daemon_id)
        self._choice.note_start(candidate, call.call_id, call.route.name)
        run = self._run(call)
        call.cancel = None
        cancel = self._peers.start_call(
            candidate,
            run,
            lambda reply: self._take_reply(
                call, candidate, run.call_id, reply
            ),
        )
        if id(call) in self._active and call.call_id == run.call_id:
            call.cancel = lambda: self._cancel(
                call, candidate, run.call_id, cancel
            )

    def _run(self, call: caller_call.CallerCall) -> frames.Run:
        """Return the message that asks a daemon to run a call."""
        request = call.request
        return frames.Run(
            call_id=call.call_id,
            service=call.service,
            head=self._head(call),
            body=request.body,
            attempt_id=request.attempt_id,
            time_left_s=call.expires_at - self._clock.monotonic(),
            target_s=call.aim_s,
            urgency=call.urgency,
            workspace=call.workspace,
            route=call.route.name,
            is_idempotent=call.route.is_idempotent,
            is_inner=call.is_inner,
            is_repeat=call.sends > 1,
        )

    def _head(self, call: caller_call.CallerCall) -> bytes:
        request = call.request
        names = self._names
        workspace = (
            b'%b: %b\r\n' % (names.workspace, call.workspace.encode())
            if call.workspace
            else b''
        )
        return b'%b %b HTTP/1.1\r\n%b%b: %b\r\n%b' % (
            request.method,
            request.target,
            request.head,
            names.caller_service,
            self._own.service.encode(),
            workspace,
        )

    def _cancel(
        self,
        call: caller_call.CallerCall,
        candidate: upstream_choice.Candidate,
        call_id: int,
        cancel: Callable[[], None],
    ) -> None:
        call.cancel = None
        candidate.note_end(call_id)
        cancel()

    # Replies.

    def _take_reply(
        self,
        call: caller_call.CallerCall,
        candidate: upstream_choice.Candidate,
        call_id: int,
        reply: upstream_side.Reply | None,
    ) -> None:
        candidate.note_end(call_id)
        call.cancel = None
        if id(call) not in self._active:
            return
        now = self._clock.monotonic()
        if reply is None:
            candidate.note_failure(now)
            self._take_failure(call, 'peer_lost')
            return
        candidate.note_load(reply.load)
        if isinstance(reply, frames.Answer):
            self._choice.note_answer(
                candidate,
                call.route.name,
                now - call.sent_at,
                is_error=reply.status >= 500,
            )
            if call.loads_below:
                self._below.note(reply.deep_load, now)
            self._note_depth(call, reply.depth, now)
            self._answer(call, reply, now)
        elif isinstance(reply, frames.Refused):
            if call.loads_below:
                self._below.note(deep_load.REFUSED_LOAD, now)
            self._take_refusal(call, candidate, reply)
        else:
            candidate.note_failure(now)
            self._take_failure(call, reply.reason)

    def _answer(
        self, call: caller_call.CallerCall, answer: frames.Answer, now: float
    ) -> None:
        del self._active[id(call)]
        elapsed_s = now - call.request.received_at
        self._metrics.observe(call.service, answer.status, elapsed_s)
        if answer.status >= 500:
            self._log.decision(
                'upstream_error',
                request=call.request.attempt_id.decode('latin-1'),
                route=call.route.name,
                status=answer.status,
                inner=call.is_inner,
                parent=call.parent.decode('latin-1'),
                took_s=round(now - call.sent_at, 4),
                sends=call.sends,
            )
        call.request.reply(answer.status, answer.head, answer.body)

    def _take_refusal(
        self,
        call: caller_call.CallerCall,
        candidate: upstream_choice.Candidate,
        refusal: frames.Refused,
    ) -> None:
        call.refusals += 1
        call.sends -= 1
        call.rejections += refusal.has_arrived
        if refusal.is_local:
            candidate.note_failure(self._clock.monotonic())
            if call.refusals < MAX_REFUSALS and (
                not refusal.has_arrived or self._may_repeat(call)
            ):
                self._send(call)
                return
        self._refuse(call, 503, refusal.reason)

    def _may_repeat(self, call: caller_call.CallerCall) -> bool:
        """Take a repeat of the budget if another upstream may get the call."""
        now = self._clock.monotonic()
        if (
            call.sends + call.rejections >= call.route.max_upstreams
            or call.expires_at - now < RETRY_TIME_SHARE * call.aim_s
        ):
            return False
        if self._budget.take(call.service, self._depth_of(call)):
            return True
        self._metrics.count('not_repeated', call.service, 'budget')
        return False

    def _depth_of(self, call: caller_call.CallerCall) -> int:
        """Return the levels of calls below a call."""
        return self._depths.get(call.route.name, repeat_budget.UNKNOWN_DEPTH)

    def _note_depth(
        self, call: caller_call.CallerCall, depth: int | None, now: float
    ) -> None:
        """Take the levels of calls below a call, if they are known."""
        if depth is None:
            return
        self._depths[call.route.name] = depth
        if call.loads_below:
            self._depth.note(depth, now)

    def _take_failure(self, call: caller_call.CallerCall, reason: str) -> None:
        """Repeat a call that may have run, if that is allowed."""
        if not call.route.is_idempotent:
            self._fail(call, 502, reason)
            return
        if not self._may_repeat(call):
            self._fail(call, 502, reason)
            return
        self._metrics.count('repeated', call.service, reason)
        self._log.decision(
            'repeated',
            request=call.request.attempt_id.decode('latin-1'),
            route=call.route.name,
            reason=reason,
            tried=list(call.tried),
            left_s=round(call.expires_at - self._clock.monotonic(), 3),
        )
        self._send(call)

    def _expire(self, call: caller_call.CallerCall) -> None:
        cancel = call.cancel
        if cancel is not None:
            cancel()
        if call.candidate is not None:
            call.candidate.note_failure(self._clock.monotonic())
        self._fail(call, 504, 'timeout')

    # Answers of this daemon.

    def _comeback_s(self, call: caller_call.CallerCall) -> float:
        """Return when the client may come back, in seconds."""
        share = COMEBACK_SHARE + COMEBACK_JITTER * self._random.random()
        left_s = call.deadline - self._clock.monotonic()
        return max(
            COMEBACK_MIN_S,
            min(share * call.aim_s, COMEBACK_LEFT_SHARE * left_s),
        )

    def _refuse(
        self,
        call: caller_call.CallerCall,
        status: int,
        reason: str,
        comeback_s: float | None = None,
        **inputs: str,
    ) -> None:
        """Tell that the request has not run.

        Args:
            call: Its call.
            status: Of the answer.
            reason: For counters and logs.
            comeback_s: When the client may come back, in seconds, if that
                does not follow from the time that the call has.
            **inputs: What else decided, for the log.
        """
        if call.sends > 0:
            # An earlier send may have run, so the promise would be false.
            self._fail(call, 502, reason)
            return
        if self._active.pop(id(call), None) is None:
            return
        self._quota.give_back(call)
        if comeback_s is None:
            comeback_s = self._comeback_s(call)
        self._metrics.count('refused', call.service, reason)
        self._log.decision(
            'refused',
            **call.describe(status, reason),
            retry_after_s=round(comeback_s, 3),
            rules_version=self._knowledge.rules_version,
            **inputs,
        )
        call.request.reply(status, b'Retry-After: %.3f\r\n' % comeback_s)

    def _fail(
        self, call: caller_call.CallerCall, status: int, reason: str
    ) -> None:
        """Tell that the request may have run."""
        if self._active.pop(id(call), None) is None:
            return
        self._metrics.count('failed', call.service, reason)
        waited_s = 0.0
        if call.sent_at:
            waited_s = self._clock.monotonic() - call.sent_at
        self._log.decision(
            'failed',
            **call.describe(status, reason),
            waited_s=round(waited_s, 4),
        )
        call.request.reply(status)

    def _turn_away(
        self,
        request: ingress.IngressRequest,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **inputs: float,
    ) -> None:
        """Answer a request that got no call."""
        self._metrics.count('refused', self._own.service, reason)
        self._log.decision(
            'turned_away',
            request=request.attempt_id.decode('latin-1'),
            status=status,
            reason=reason,
            rules_version=self._knowledge.rules_version,
            **inputs,
        )
        head = b''
        if retry_after_s is not None:
            head = b'Retry-After: %.3f\r\n' % retry_after_s
        request.reply(status, head)
