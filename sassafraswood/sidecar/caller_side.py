"""Serves the requests of external callers and of the local upstream."""

from collections.abc import Callable
import itertools
import random as random_module
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import answer_memory as answer_memory_module
from sassafraswood.coordination import call_depth
from sassafraswood.coordination import call_schedule
from sassafraswood.coordination import crash_counts
from sassafraswood.coordination import deep_load
from sassafraswood.coordination import quota_shares
from sassafraswood.coordination import repeat_budget
from sassafraswood.coordination import route_order
from sassafraswood.coordination import stop_plan as stop_plan_module
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
from sassafraswood.sidecar import upstream_answers
from sassafraswood.sidecar import upstream_side
from sassafraswood.state import route_index
from sassafraswood.transport import ingress_connection
from sassafraswood.transport import json_log

# Reasons to send a call to another upstream at once. The one that refused it
# has not failed.
REDIRECT_REASONS: Final = frozenset(
    {
        enums.RefusalReason.UPSTREAM_FULL.value,
        enums.RefusalReason.UPSTREAM_COLD.value,
    }
)
# A call is refused after this many refusals by daemons, or by upstreams. The
# budget of repeats bounds the latter.
MAX_REFUSALS: Final = 3
MAX_UPSTREAM_REFUSALS: Final = 6
# A call that finds all slots of an upstream in use goes to another one at most
# this often; then it waits.
MAX_REDIRECTS: Final = 2
# A call with a larger body waits at once: sending the body again would load
# the links between daemons.
MAX_REDIRECTED_BODY_BYTES: Final = 16 * 1024
# A call is retried only if it has at least this fraction of its latency target
# left; a later response would miss the target.
MIN_RETRY_TIME_FRACTION: Final = 0.1
# Fraction of the latency target that a call of an external caller may wait for
# a daemon of its service; after a refusal the caller can still retry in time.
DAEMON_WAIT_FRACTION: Final = 0.125
# Fraction of its timeout that a call of the local upstream may wait for a
# daemon; it is larger since a refusal wastes the work of the whole call tree.
INNER_DAEMON_WAIT_FRACTION: Final = 0.5
# Refusals that show a load; the others are of an upstream that is not there,
# or that rejects a part of its calls at any load.
_LOAD_REASONS: Final = frozenset(
    {
        enums.RefusalReason.OVERLOADED.value,
        enums.RefusalReason.QUEUE_FULL.value,
        enums.RefusalReason.DEADLINE_UNREACHABLE.value,
        enums.RefusalReason.UPSTREAM_FULL.value,
    }
)
# Deadline of a request that states none.
DEFAULT_DEADLINE_S: Final = 30.0
# Digits of a deadline in milliseconds that are read. A longer one lies years
# ahead, beyond the timeout of any route, even if its end is left out.
MAX_DEADLINE_DIGITS: Final = 12


class CallerSide:
    """Responds to each request exactly once, whatever happens to its call."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        own: fleet.Member,
        names: fields.FieldNames,
        knowledge: store_knowledge.StoreKnowledge,
        shares: quota_shares.QuotaShares,
        choice: upstream_choice.UpstreamSelector,
        upstream: upstream_side.UpstreamSide,
        downstream_load: deep_load.DownstreamLoad,
        depth: call_depth.CallDepth,
        crashes: crash_counts.CrashCounts,
        log: json_log.JsonLog,
        metrics: measures.Measures,
        revoke_s: float,
        members_s: float,
        budget: repeat_budget.RepeatBudget,
        stop_plan: stop_plan_module.StopPlan,
        answer_memory: answer_memory_module.AnswerMemory,
    ) -> None:
        """Create the caller side without rules and without connections.

        Args:
            clock: Monotonic time.
            random: Source of the jitter of Retry-After.
            own: Member record of this daemon.
            names: Names of header fields.
            knowledge: Versions and ages of the data known from the store.
            shares: This daemon's shares of the workspace limits.
            choice: Chooses the daemon for each call.
            upstream: Runs calls at the local upstream.
            downstream_load: Load of the services that the local upstream
                calls.
            depth: Levels of calls below the local upstream.
            crashes: Crashes by request fingerprint, and quarantined requests.
            log: Structured log.
            metrics: Counters and latency histograms.
            revoke_s: Age of the rules up to which keys are accepted, in
                seconds.
            members_s: Age of the member records up to which the quota share
                of this daemon is spent, in seconds.
            budget: Retry budget.
            stop_plan: Decides which calls begin while the daemon stops.
            answer_memory: Decides which calls begin while clients have not
                read their answers.
        """
        self._clock = clock
        self._random = random
        self._own = own
        self._names = names
        self._knowledge = knowledge
        self._choice = choice
        self._upstream = upstream
        self._downstream_load = downstream_load
        self._call_depth = depth
        self._crashes = crashes
        self._log = log
        self._metrics = metrics
        self._peers: peers_module.Peers | None = None
        self._rules: traffic.TrafficRules | None = None
        self._index = route_index.RouteIndex([])
        self._splits: dict[str, route_order.RouteSplit] = {}
        self._urgency_by_order: dict[tuple[int, int], float] = {}
        # Levels of calls below each route, taken from responses.
        self._depth_by_route: dict[str, int] = {}
        self._times_given = call_schedule.TimesGiven()
        self._budget = budget
        self._stop_plan = stop_plan
        self._answer_memory = answer_memory
        self._call_ids = itertools.count(1)
        self._active: dict[int, caller_call.CallerCall] = {}
        # Calls that wait for a daemon of a service, with the monotonic time in
        # seconds at which the wait ends.
        self._waiting: dict[
            ids.ServiceName, list[tuple[float, caller_call.CallerCall]]
        ] = {}
        self._quota_waits = quota_wait.QuotaWaits(
            clock=clock,
            shares=shares,
            knowledge=knowledge,
            members_s=members_s,
            on_token=self._send_if_active,
            on_refused=self._refuse_rate_exceeded,
        )
        self._revoke_s = revoke_s
        self._is_refusing_new = False
        self._is_refusing_inner = False

    @property
    def active_count(self) -> int:
        """Return the number of requests in flight."""
        return len(self._active)

    @property
    def inner_count(self) -> int:
        """Return the number of calls of the local upstream in flight."""
        return sum(call.is_inner for call in self._active.values())

    def attach(self, peers: peers_module.Peers) -> None:
        """Set the connections to peers; requests before it are refused."""
        self._peers = peers
        self._quota_waits.attach(peers)

    def set_rules(self, rules: traffic.TrafficRules) -> None:
        """Replace the traffic rules; calls in flight keep their route."""
        self._rules = rules
        self._index = route_index.RouteIndex(rules.routes)
        self._splits = {
            route.name: route_order.RouteSplit(route) for route in rules.routes
        }
        self._urgency_by_order = route_order.compute_urgencies(rules)
        self._depth_by_route = {
            name: depth
            for name, depth in self._depth_by_route.items()
            if name in self._splits
        }

    def refuse_new(self) -> None:
        """Refuse new requests of external callers, as a stop is near.

        Calls of the local upstream are still served while they can end in
        time: refusing one fails the call that the upstream runs.
        """
        self._is_refusing_new = True

    def refuse_all(self) -> None:
        """Refuse all new requests, also those of the local upstream.

        Nothing that begins now would end before the process.
        """
        self._is_refusing_new = True
        self._is_refusing_inner = True

    def end_all(self) -> None:
        """Respond to all calls, since the process ends."""
        for call in list(self._active.values()):
            try:
                self._end(call)
            except Exception:
                self._end_after_error(call.request)

    def _end(self, call: caller_call.CallerCall) -> None:
        if call.cancel is not None:
            call.cancel()
        if call.attempt_count > 0:
            self._fail(call, 504, enums.RefusalReason.DRAINING.value)
        else:
            self._refuse(call, 503, enums.RefusalReason.DRAINING.value)

    def set_max_rules_age_s(self, revoke_s: float) -> None:
        """Set the age of rules, in seconds, up to which keys are accepted."""
        self._revoke_s = revoke_s

    # Incoming requests.

    def handle(self, request: ingress_connection.IngressRequest) -> None:
        """Start a call for a request that was received completely."""
        try:
            self._handle(request)
        except Exception:
            self._end_after_error(request)

    def _end_after_error(
        self, request: ingress_connection.IngressRequest
    ) -> None:
        """Log the exception being handled, and respond to its request.

        The request may have run only if it was sent.
        """
        call: caller_call.CallerCall | None = request.context
        attempt_count = 0 if call is None else call.attempt_count
        self._log.unexpected(
            'request_failed',
            request=request.attempt_id.decode('latin-1'),
            route='' if call is None else call.route.name,
            sends=attempt_count,
        )
        cancel = None
        if call is not None:
            self._forget(call)
            cancel = call.cancel
        request.reply(502 if attempt_count else 503)
        if cancel is not None:
            cancel()

    def _handle(self, request: ingress_connection.IngressRequest) -> None:
        rules = self._rules
        if rules is None or self._peers is None:
            self._refuse_request(request, 503, 'no_rules', retry_after_s=0.5)
            return
        path = request.target.partition(b'?')[0]
        route = self._index.find(request.host, path)
        if route is None:
            self._refuse_request(request, 404, 'unknown_route')
            return
        if not request.has_body:
            # The route was added after the body was dropped.
            self._refuse_request(
                request, 503, 'body_dropped', retry_after_s=0.0
            )
            return
        call = caller_call.CallerCall(
            request, route, self._splits[route.name].next()
        )
        if not self._authorize(call, rules):
            return
        self._set_times(call)
        if call.is_inner:
            self._link_to_parent(call)
        else:
            call.has_slack = self._times_given.note_call(
                route.name, route.target_s, call.deadline - call.started_at
            )
        self._active[id(call)] = call
        request.context = call
        is_refusing = (
            self._is_refusing_inner if call.is_inner else self._is_refusing_new
        )
        if is_refusing:
            self._refuse(call, 503, enums.RefusalReason.DRAINING.value)
            return
        self._budget.count_request(call.service, self._depth_of(call))
        if self._crashes.has_verdicts and self._refuse_if_quarantined(call):
            return
        reserved_bytes = self._answer_memory.reserve(call.route.name)
        if reserved_bytes is None:
            self._refuse(call, 503, enums.RefusalReason.MEMORY_FULL.value)
            return
        call.reserved_bytes = reserved_bytes
        if call.workspace and not self._quota_waits.acquire(call):
            return
        self._send(call)

    def _refuse_if_quarantined(self, call: caller_call.CallerCall) -> bool:
        """Refuse the call if its fingerprint is quarantined for crashes."""
        left_s, fingerprint = max(
            (self._crashes.refusal_left_s(item), item)
            for item in fingerprints.hash_all(self._build_run(call))
        )
        if left_s <= 0.0:
            return False
        self._refuse(
            call,
            503,
            enums.RefusalReason.QUARANTINED.value,
            retry_after_s=left_s,
            fingerprint=fingerprint,
        )
        return True

    def may_run_ahead(
        self, request: ingress_connection.IngressRequest
    ) -> bool:
        """Return whether the request may run more than once."""
        path = request.target.partition(b'?')[0]
        route = self._index.find(request.host, path)
        return route is not None and route.is_idempotent

    def needs_body(self, request: ingress_connection.IngressRequest) -> bool:
        """Return whether the request has a route."""
        path = request.target.partition(b'?')[0]
        return self._index.find(request.host, path) is not None

    def abandon(self, request: ingress_connection.IngressRequest) -> None:
        """Cancel the call of a request whose client closed the connection."""
        call = request.context
        if call is None or id(call) not in self._active:
            return
        self._forget(call)
        self._metrics.count('abandoned', call.service, 'client_left')
        if call.cancel is not None:
            call.cancel()

    def tick(self) -> None:
        """Fail calls that timed out and refuse calls that waited too long."""
        now = self._clock.monotonic()
        for call in list(self._active.values()):
            if call.expires_at <= now and id(call) in self._active:
                try:
                    self._expire(call)
                except Exception:
                    self._end_after_error(call.request)
            elif self._stop_plan.is_stopping:
                self._stop_plan.note_running(call.route.name, call.started_at)
        self._quota_waits.tick(now)
        for service, waiting in list(self._waiting.items()):
            expired = [call for until, call in waiting if until <= now]
            if expired:
                self._waiting[service] = [
                    item for item in waiting if item[0] > now
                ]
                for call in expired:
                    if id(call) in self._active:
                        self._refuse_unavailable(call)

    def _authorize(
        self, call: caller_call.CallerCall, rules: traffic.TrafficRules
    ) -> bool:
        """Check the key and set the workspace and urgency of the call.

        Returns:
            False if the request was refused.
        """
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
            self._refuse_request(
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
            self._refuse_request(request, 401, reason.value)
            return False
        call.workspace = workspace.name
        call.urgency = self._urgency_by_order.get(
            route_order.order(call.route, workspace),
            caller_call.DEFAULT_URGENCY,
        )
        return True

    def _set_times(self, call: caller_call.CallerCall) -> None:
        now = self._clock.monotonic()
        call.started_at = now
        deadline_text = call.request.deadline_ms
        time_s = DEFAULT_DEADLINE_S
        if deadline_text.isdigit():
            if len(deadline_text) > MAX_DEADLINE_DIGITS:
                deadline_text = deadline_text.lstrip(b'0') or b'0'
            time_s = int(deadline_text[:MAX_DEADLINE_DIGITS]) / 1000.0
        call.deadline = now + time_s
        call.expires_at = now + min(time_s, call.route.timeout_s)
        call.latency_target_s = min(
            call.route.target_s, call.route.timeout_s, time_s
        )

    def _link_to_parent(self, call: caller_call.CallerCall) -> None:
        """Take urgency and slack of the call that the local upstream runs."""
        parent = self._upstream.note_inner_call(call.deadline)
        call.counts_as_deep_load = self._upstream.makes_calls
        if parent is None:
            urgency = self._upstream.unmatched_urgency
            if urgency is not None:
                call.urgency = urgency
        else:
            call.urgency = parent.urgency
            call.parent_attempt_id = parent.attempt_id
            call.siblings = parent.child_count
            parent.child_count += 1
            call.max_wait_s = self._upstream.compute_inner_wait_s(parent)

    def handle_loan(self, loan: frames.LendTokens) -> None:
        """Pass the reply of a lender to the calls that wait for tokens."""
        self._quota_waits.handle_loan(loan)

    def resume(self, service: ids.ServiceName) -> None:
        """Send the calls that wait for a daemon of a service."""
        for _, call in self._waiting.pop(service, []):
            self._send_if_active(call)

    # Attempts.

    def _send_if_active(self, call: caller_call.CallerCall) -> None:
        if id(call) not in self._active:
            return
        try:
            self._send(call)
        except Exception:
            self._end_after_error(call.request)

    def _refuse_rate_exceeded(self, call: caller_call.CallerCall) -> None:
        if id(call) not in self._active:
            return
        self._refuse(
            call,
            429,
            enums.RefusalReason.RATE_EXCEEDED.value,
            waited_s=round(self._clock.monotonic() - call.started_at, 3),
            **self._quota_waits.describe(call.workspace),
        )

    def _refuse_unavailable(self, call: caller_call.CallerCall) -> None:
        self._refuse(call, 503, enums.RefusalReason.NO_UPSTREAM.value)

    def _wait_for_daemon(self, call: caller_call.CallerCall) -> None:
        """Let a call wait for a daemon of its service, or refuse it.

        It is refused if no daemon of the service is known or its time to wait
        has passed.
        """
        assert self._peers is not None
        wait_s = DAEMON_WAIT_FRACTION * call.latency_target_s
        if call.is_inner:
            wait_s = INNER_DAEMON_WAIT_FRACTION * (
                call.expires_at - call.started_at
            )
        until = call.started_at + wait_s
        now = self._clock.monotonic()
        if now >= until or not self._peers.has_daemons(call.service):
            self._refuse_unavailable(call)
            return
        self._waiting.setdefault(call.service, []).append((until, call))

    def _send(self, call: caller_call.CallerCall) -> None:
        assert self._peers is not None
        if not self._can_end_in_time(call):
            self._refuse(call, 503, enums.RefusalReason.DRAINING.value)
            return
        candidates = self._peers.candidates(call.service)
        route = call.route.name
        tried = call.tried_daemon_ids
        if len(call.shed_daemon_ids) >= call.route.max_upstreams:
            candidates = [
                item
                for item in candidates
                if item.member.daemon_id in call.shed_daemon_ids
            ]
            tried = tried[-1:]
        candidate = self._choice.pick(candidates, tried, route)
        if candidate is None and (call.redirect_count or call.shed_daemon_ids):
            # The daemons whose upstreams are full or refused it are left.
            candidate = self._choice.pick(candidates, (), route)
        if candidate is None:
            self._wait_for_daemon(call)
            return
        now = self._clock.monotonic()
        left_s = call.expires_at - now
        if left_s <= 0.0:
            self._expire(call)
            return
        call.call_id = next(self._call_ids)
        call.candidate = candidate
        call.sent_at = now
        call.attempt_count += 1
        call.tried_daemon_ids.append(candidate.member.daemon_id)
        self._choice.note_start(candidate, call.call_id, call.route.name)
        run = self._build_run(call)
        run.may_redirect = (
            call.redirect_count < MAX_REDIRECTS
            and max(len(run.body), run.body_bytes) <= MAX_REDIRECTED_BODY_BYTES
            and self._choice.has_spare(candidates, call.tried_daemon_ids)
        )
        call.cancel = None
        cancel = self._peers.start_call(
            candidate,
            run,
            lambda reply: self._handle_reply(
                call, candidate, run.call_id, reply
            ),
            call.request.large_body,
        )
        if id(call) in self._active and call.call_id == run.call_id:
            call.cancel = lambda: self._cancel(
                call, candidate, run.call_id, cancel
            )

    def _can_end_in_time(self, call: caller_call.CallerCall) -> bool:
        """Return whether a call may be sent, if this daemon stops.

        One that may have run can't be refused any more; it is sent again
        although it may be cut off, unless the time is certainly too short.
        """
        plan = self._stop_plan
        if call.attempt_count and plan.is_early(call.started_at):
            return (
                plan.left_s >= MIN_RETRY_TIME_FRACTION * call.latency_target_s
            )
        return plan.may_begin(
            call.route.name,
            call.expires_at - self._clock.monotonic(),
            call.started_at,
        )

    def _build_run(self, call: caller_call.CallerCall) -> frames.Run:
        """Return the message that asks a daemon to run the call."""
        request = call.request
        return frames.Run(
            call_id=call.call_id,
            service=call.service,
            head=self._build_head(call),
            body=request.body,
            attempt_id=request.attempt_id,
            # The upstream ends the call itself before this process ends.
            time_left_s=min(
                call.expires_at - self._clock.monotonic(),
                self._stop_plan.left_s,
            ),
            target_s=call.latency_target_s,
            urgency=call.urgency,
            workspace=call.workspace,
            route=call.route.name,
            is_idempotent=call.route.is_idempotent,
            is_inner=call.is_inner,
            is_repeat=call.attempt_count > 1,
            max_wait_s=call.max_wait_s or self._quota_waits.max_wait_s(call),
            has_slack=call.has_slack,
            body_bytes=len(request.large_body or b''),
            body_hash=request.body_hash,
        )

    def _build_head(self, call: caller_call.CallerCall) -> bytes:
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

    def _handle_reply(
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
        try:
            self._process_reply(call, candidate, reply)
        except Exception:
            self._end_after_error(call.request)

    def _process_reply(
        self,
        call: caller_call.CallerCall,
        candidate: upstream_choice.Candidate,
        reply: upstream_side.Reply | None,
    ) -> None:
        now = self._clock.monotonic()
        if reply is None:
            candidate.note_failure(now)
            self._handle_failure(call, 'peer_lost')
            return
        candidate.record_reported_load(reply.load)
        if not isinstance(reply, frames.CallFailed):
            candidate.estimate.note_wait(reply.wait_s, now)
        if isinstance(reply, frames.Answer):
            candidate.record_pace(reply.pace_per_s)
            self._choice.note_response(
                candidate,
                call.route.name,
                now - call.sent_at,
                is_error=reply.status >= 500,
            )
            if call.counts_as_deep_load:
                self._downstream_load.note(reply.deep_load, now)
            self._note_depth(call, reply.depth, now)
            if reply.status in upstream_answers.NOT_RUN_STATUSES:
                # A daemon of an earlier version has passed it on.
                self._handle_failure(call, upstream_side.UNPROVEN_REFUSAL)
                return
            self._respond(call, reply, now)
        elif isinstance(reply, frames.Refused):
            if reply.reason == enums.RefusalReason.UPSTREAM_COLD.value:
                candidate.record_pace(reply.pace_per_s)
                candidate.note_cold_refusal()
            if (
                reply.reason in REDIRECT_REASONS
                and call.redirect_count < MAX_REDIRECTS
            ):
                self._redirect(call, reply.reason)
                return
            if call.counts_as_deep_load and reply.reason in _LOAD_REASONS:
                self._downstream_load.note(deep_load.REFUSED_CALL_LOAD, now)
            self._handle_refusal(call, candidate, reply)
        elif reply.reason == enums.RefusalReason.MEMORY_FULL.value:
            # This daemon reads too slowly; another run would not help.
            self._fail(call, 502, reply.reason)
        else:
            candidate.note_failure(now)
            self._handle_failure(call, reply.reason)

    def _respond(
        self, call: caller_call.CallerCall, response: frames.Answer, now: float
    ) -> None:
        size = len(response.body)
        self._stop_plan.note_end(call.route.name, call.started_at)
        self._answer_memory.note_answer(call.route.name, size)
        if not self._answer_memory.has_room(size):
            self._fail(call, 502, enums.RefusalReason.MEMORY_FULL.value)
            return
        self._forget(call)
        elapsed_s = now - call.request.received_at
        self._metrics.observe(call.service, response.status, elapsed_s)
        if response.status >= 500:
            self._log.decision(
                'upstream_error',
                request=call.request.attempt_id.decode('latin-1'),
                route=call.route.name,
                status=response.status,
                inner=call.is_inner,
                parent=call.parent_attempt_id.decode('latin-1'),
                took_s=round(now - call.sent_at, 4),
                sends=call.attempt_count,
            )
        call.request.reply(response.status, response.head, response.body)

    def _redirect(self, call: caller_call.CallerCall, reason: str) -> None:
        """Send a call to another daemon, since an upstream has no room."""
        call.redirect_count += 1
        call.attempt_count -= 1
        self._metrics.count('redirected', call.service, reason)
        self._send(call)

    def _handle_refusal(
        self,
        call: caller_call.CallerCall,
        candidate: upstream_choice.Candidate,
        refusal: frames.Refused,
    ) -> None:
        call.attempt_count -= 1
        if refusal.reason == enums.RefusalReason.DOMAIN_EVACUATED.value:
            # All daemons of the domain refuse the call, so that this does not
            # count towards MAX_REFUSALS. The next Status confirms the state.
            candidate.is_serving = False
            self._send(call)
            return
        call.refusal_count += 1
        if refusal.has_reached_upstream:
            call.upstream_refusal_count += 1
            call.shed_daemon_ids.add(candidate.member.daemon_id)
        if refusal.is_local:
            if refusal.reason not in REDIRECT_REASONS:
                candidate.note_failure(self._clock.monotonic())
            if self._may_send_again(call) and (
                not refusal.has_reached_upstream or self._reserve_retry(call)
            ):
                self._send(call)
                return
        self._refuse(
            call,
            503,
            refusal.reason,
            self._compute_retry_after_s(call, refusal.wait_s),
        )

    def _may_send_again(self, call: caller_call.CallerCall) -> bool:
        """Return whether few enough daemons and upstreams refused a call."""
        return (
            call.refusal_count - call.upstream_refusal_count < MAX_REFUSALS
            and call.upstream_refusal_count < MAX_UPSTREAM_REFUSALS
        )

    def _reserve_retry(self, call: caller_call.CallerCall) -> bool:
        """Return whether a retry is allowed, and charge it to the budget.

        A call that no upstream has run may go to the same ones again.
        """
        now = self._clock.monotonic()
        is_at_limit = (
            call.attempt_count + call.upstream_refusal_count
            >= call.route.max_upstreams
        )
        if (
            (is_at_limit and call.attempt_count)
            or call.expires_at - now
            < MIN_RETRY_TIME_FRACTION * call.latency_target_s
        ):
            return False
        if self._budget.take(
            call.service,
            self._depth_of(call),
            repeat_budget.make_rank(call.urgency, call.siblings),
        ):
            return True
        self._metrics.count('not_repeated', call.service, 'budget')
        return False

    def _depth_of(self, call: caller_call.CallerCall) -> int:
        """Return the number of call levels below a call."""
        return self._depth_by_route.get(
            call.route.name, repeat_budget.ASSUMED_DEPTH_LEVELS
        )

    def _note_depth(
        self, call: caller_call.CallerCall, depth: int | None, now: float
    ) -> None:
        """Record the number of call levels below a call, if it is known."""
        if depth is None:
            return
        self._depth_by_route[call.route.name] = depth
        if call.counts_as_deep_load:
            self._call_depth.note(depth, now)

    def _handle_failure(
        self, call: caller_call.CallerCall, reason: str
    ) -> None:
        """Retry a call that may have run if that is allowed, or fail it."""
        if not call.route.is_idempotent:
            self._fail(call, 502, reason)
            return
        if not self._reserve_retry(call):
            self._fail(call, 502, reason)
            return
        self._metrics.count('repeated', call.service, reason)
        self._log.decision(
            'repeated',
            request=call.request.attempt_id.decode('latin-1'),
            route=call.route.name,
            reason=reason,
            tried=list(call.tried_daemon_ids),
            left_s=round(call.expires_at - self._clock.monotonic(), 3),
        )
        self._send(call)

    def _expire(self, call: caller_call.CallerCall) -> None:
        self._stop_plan.note_end(call.route.name, call.started_at)
        cancel = call.cancel
        if cancel is not None:
            cancel()
        if call.candidate is not None:
            call.candidate.note_failure(self._clock.monotonic())
        self._fail(call, 504, 'timeout')

    def _forget(self, call: caller_call.CallerCall) -> bool:
        """End a call; return False if it had ended already."""
        if self._active.pop(id(call), None) is None:
            return False
        self._answer_memory.release(call.reserved_bytes)
        return True

    # Responses that this daemon generates.

    def _compute_retry_after_s(
        self, call: caller_call.CallerCall, wait_s: float = 0.0
    ) -> float:
        """Return the delay for Retry-After in seconds.

        Args:
            call: The call that is refused.
            wait_s: Time in seconds that it would have waited for a start; 0
                if unknown.
        """
        return call_schedule.compute_retry_after_s(
            # The timeout of the route starts again with the caller's return.
            target_s=(
                call.route.target_s
                if call.has_slack
                else call.latency_target_s
            ),
            left_s=call.deadline - self._clock.monotonic(),
            wait_s=wait_s,
            urgency=call.urgency,
            jitter=self._random.random(),
        )

    def _refuse(
        self,
        call: caller_call.CallerCall,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **inputs: str | float,
    ) -> None:
        """Respond that the request has not run.

        If an earlier attempt may have run, the call fails instead.

        Args:
            call: Call of the request.
            status: HTTP status of the response.
            reason: Reason for metrics and log lines.
            retry_after_s: Delay for Retry-After in seconds; None computes it
                from the latency target and the deadline of the call.
            **inputs: Further log fields that explain the decision.
        """
        if call.attempt_count > 0:
            # An earlier attempt may have run; a refusal would deny that.
            self._fail(call, 502, reason)
            return
        if not self._forget(call):
            return
        self._quota_waits.release(call)
        if retry_after_s is None:
            retry_after_s = self._compute_retry_after_s(call)
        self._metrics.count('refused', call.service, reason)
        self._log.decision(
            'refused',
            **call.describe(status, reason),
            retry_after_s=round(retry_after_s, 3),
            rules_version=self._knowledge.rules_version,
            **inputs,
        )
        call.request.reply(status, b'Retry-After: %.3f\r\n' % retry_after_s)

    def _fail(
        self, call: caller_call.CallerCall, status: int, reason: str
    ) -> None:
        """Respond with an error; the request may have run."""
        if not self._forget(call):
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

    def _refuse_request(
        self,
        request: ingress_connection.IngressRequest,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **inputs: float,
    ) -> None:
        """Refuse a request before a call is started for it."""
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
