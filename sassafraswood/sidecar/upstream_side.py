"""Admits calls to the upstream beside this daemon and forwards them."""

from collections.abc import Callable, Mapping
import sys
import types
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import call_depth
from sassafraswood.coordination import completion_estimate
from sassafraswood.coordination import crash_counts
from sassafraswood.coordination import deep_load
from sassafraswood.coordination import evacuation
from sassafraswood.coordination import stop_plan as stop_plan_module
from sassafraswood.coordination import upstream_gate
from sassafraswood.coordination import upstream_health
from sassafraswood.coordination import upstream_registry
from sassafraswood.models import enums
from sassafraswood.models import fields
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.sidecar import fingerprints
from sassafraswood.sidecar import upstream_answers
from sassafraswood.sidecar import upstream_watch
from sassafraswood.state import held_bytes
from sassafraswood.transport import exchange
from sassafraswood.transport import json_log

Reply = frames.Answer | frames.Refused | frames.CallFailed
Deliver = Callable[[Reply], None]

# Reason of a failure by an unexpected exception, whose traceback is logged.
INTERNAL_ERROR: Final = 'internal_error'
# Reason of a failure by a response whose status alone denies the run.
UNPROVEN_REFUSAL: Final = 'answer_without_proof'
# Latency relative to the usual one up to which a recovering upstream gets more
# calls at once; a cold one takes about twice the usual time.
MAX_GROWTH_SLOWNESS: Final = 2.5


class UpstreamCall(upstream_gate.GateCall):
    """A call to this upstream, from a peer or this daemon itself.

    Attributes:
        run: The message that asked for the call.
        deliver: Receives the reply.
        running: The exchange with the upstream, once it has begun.
        upstream: The process of the upstream that it was sent to.
        is_abandoned: Whether its caller no longer waits for the reply.
        bodies: The budget in which its body is counted; None if it is not.
        counted_bytes: Bytes that are counted there.
        request_body: Asks for the body up to an offset, if it comes in parts.
        received: Log fields of a response that is not passed on; empty if the
            upstream has sent none.
    """

    run: frames.Run
    deliver: Deliver
    running: exchange.Exchange | None = None
    upstream: fleet.UpstreamProcess | None = None
    is_abandoned = False
    bodies: held_bytes.ByteBudget | None = None
    counted_bytes = 0
    request_body: exchange.RequestBody | None = None
    received: Mapping[str, float | None] = types.MappingProxyType({})

    def end(self) -> None:
        """Mark the call as ended, and release its body."""
        super().end()
        self.request_body = None
        if self.bodies is not None:
            self.bodies.release(self.counted_bytes)
            self.bodies = None


class UpstreamSide:
    """Sends all requests to the upstream; no other process does."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        gate: upstream_gate.UpstreamGate,
        registry: upstream_registry.UpstreamRegistry,
        pool: exchange.ExchangePool,
        names: fields.FieldNames,
        service: ids.ServiceName,
        downstream_load: deep_load.DownstreamLoad,
        depth: call_depth.CallDepth,
        health: upstream_health.UpstreamHealth,
        crashes: crash_counts.CrashCounts,
        log: json_log.JsonLog,
        report_interval_s: float,
        on_serving: Callable[[bool], None],
        on_crash: upstream_watch.OnCrash,
        on_cold_unknown: Callable[[], None],
        stop_plan: stop_plan_module.StopPlan,
        evacuations: evacuation.Evacuations,
    ) -> None:
        """Initialize the upstream side.

        Args:
            clock: Monotonic time.
            gate: Admits, queues and refuses calls.
            registry: State of the upstream by its reports.
            pool: Connections to the upstream.
            names: Names of header fields.
            service: Service of the upstream.
            downstream_load: Load of the services that the upstream calls.
            depth: Levels of calls below the calls of the upstream.
            health: Latency and errors of the upstream compared with its usual
                ones.
            crashes: Fingerprints of requests that crash upstreams.
            log: Log that events are written to.
            report_interval_s: Time between reports of the upstream in
                seconds.
            on_serving: Called on each change of whether calls are accepted.
            on_crash: Called after a crash with the upstream and the suspects
                among the requests in flight.
            on_cold_unknown: Called when it is not known whether the upstream
                is cold.
            stop_plan: Decides which calls begin while the daemon stops.
            evacuations: Evacuated failure domains.
        """
        self._clock = clock
        self._gate = gate
        self._registry = registry
        self._pool = pool
        self._names = names
        self._service = service
        self._downstream_load = downstream_load
        self._depth = depth
        self.health = health
        self._log = log
        self._on_serving = on_serving
        self._on_cold_unknown = on_cold_unknown
        self._crashes = crashes
        self._stop_plan = stop_plan
        self._evacuations = evacuations
        # Whether its failure domain was evacuated at the last refresh.
        self._was_evacuated = False
        self._is_stopping = False
        self._pace = gate.pace
        # The last report and process that the pace has noted, and the reason
        # that was logged last.
        self._noted_report: fleet.UpstreamReport | None = None
        self._noted_process: fleet.UpstreamProcess | None = None
        self._logged_reason: enums.PaceReason | None = None
        self._slot_time = completion_estimate.SlotTime()
        self.running: set[UpstreamCall] = set()
        # Bodies of calls that have not ended.
        self.bodies = held_bytes.ByteBudget(limit=sys.maxsize)
        self._watch = upstream_watch.UpstreamWatch(
            clock=clock,
            registry=registry,
            pool=pool,
            log=log,
            report_interval_s=report_interval_s,
            running=lambda: self.running,
            on_refused=self.refresh,
            on_doubt=self._pace.note_doubt,
            on_crash=on_crash,
        )

    @property
    def is_serving(self) -> bool:
        """Return whether calls are accepted."""
        return self._gate.is_serving

    @property
    def load(self) -> float:
        """Return the load of the upstream."""
        return self._gate.load

    @property
    def is_evacuated(self) -> bool:
        """Return whether its failure domain is evacuated."""
        return self._was_evacuated

    @property
    def pace_per_s(self) -> float:
        """Return the calls per second that it is given; 0 if not limited."""
        return min(self._pace.pace_per_s, frames.MAX_NUMBER)

    @property
    def is_checking_crash(self) -> bool:
        """Return whether it is being checked if the upstream has crashed."""
        return self._watch.is_checking

    def log_load(self) -> None:
        """Log the calls in flight and waiting, if there are any."""
        if not self._gate.in_flight and not self._gate.waiting:
            return
        self._log.change(
            'load',
            in_flight=self._gate.in_flight,
            waiting=self._gate.waiting,
            capacity=self._gate.capacity,
            below=round(
                self._downstream_load.load(self._clock.monotonic()), 2
            ),
            limits=self._gate.route_limits(),
            waits=self._gate.route_waits(),
            slot_s=round(self._slot_time.mean_s, 4),
            slowness=round(self.health.slowness, 2),
        )

    def refresh(self) -> None:
        """Accept or refuse calls by the state of the upstream."""
        self._watch.refresh()
        is_evacuated = self._evacuations.is_own_evacuated
        if is_evacuated != self._was_evacuated:
            self._was_evacuated = is_evacuated
            if not is_evacuated:
                self.note_returned()
        status = self._registry.status
        report = self._registry.report
        is_new_report = report is not self._noted_report
        if report is not None and is_new_report:
            self._noted_report = report
            self._note_report(report)
        if (
            report is not None
            and status is enums.UpstreamStatus.READY
            and not self._is_stopping
            and self._evacuations.may_serve
        ):
            was_serving = self._gate.is_serving
            self._gate.set_upstream(report.slots)
            if not was_serving:
                if not is_new_report:
                    # It may have turned cold since its last report.
                    self._pace.note_doubt()
                self._pace.note_recovery()
                self.health.reset()
                self._slot_time.reset()
                self._set_serving(True, status, report.instance_id)
            return
        if self._gate.is_serving:
            self._gate.stop(self._find_stop_reason(status))
            self._pool.close_idle()
            instance = '' if report is None else report.instance_id
            self._set_serving(False, status, instance)

    def _find_stop_reason(
        self, status: enums.UpstreamStatus
    ) -> enums.RefusalReason:
        """Return why waiting calls are refused when the gate closes."""
        if self._was_evacuated:
            return enums.RefusalReason.DOMAIN_EVACUATED
        if status is enums.UpstreamStatus.CRASHED:
            return enums.RefusalReason.NO_UPSTREAM
        return enums.RefusalReason.DRAINING

    def note_returned(self) -> None:
        """Prepare for calls after the evacuation of the failure domain."""
        # The upstream may have become cold meanwhile.
        self._pace.note_doubt()

    def _note_report(self, report: fleet.UpstreamReport) -> None:
        """Tell the pace what a new report states."""
        upstream = upstream_registry.get_upstream_process(report)
        is_new = upstream != self._noted_process
        if is_new:
            self._noted_process = upstream
            self._pace.note_process()
        left_s = report.cold_left_s
        is_valid = self._pace.note_cold_time(left_s, is_late=True)
        # A resumed upstream has not reported; its sequence number is negative.
        is_missing = is_new and left_s is None and report.sequence >= 0
        if is_missing or not is_valid:
            self._log.decision(
                'cold_time_rejected',
                instance=report.instance_id,
                cold_left_s=repr(left_s),
            )

    def note_health_response(self, cold_left_s: float | None) -> None:
        """Note the cold time in a response to a health check, in seconds."""
        if not self._pace.note_cold_time(cold_left_s, is_late=False):
            self._log.decision(
                'cold_time_rejected', cold_left_s=repr(cold_left_s)
            )

    def _log_pace(self) -> None:
        """Log the begin, the end or a change of the reason of a pace."""
        reason = self._pace.reason
        if reason is self._logged_reason:
            return
        self._logged_reason = reason
        if reason is None:
            self._log.change('pace_ended')
        else:
            self._log.change(
                'pace_begun',
                reason=reason.value,
                rate_per_s=round(self.pace_per_s, 2),
            )
        if reason is enums.PaceReason.UNKNOWN:
            self._on_cold_unknown()

    def set_report_interval(self, interval_s: float) -> None:
        """Set the time between reports of the upstream, in seconds."""
        self._watch.report_interval_s = interval_s

    def stop(self) -> None:
        """Refuse new calls; running calls go on."""
        self._is_stopping = True
        self.refresh()

    def tick(self) -> None:
        """Advance the gate and the watch; end calls past their deadline."""
        self.refresh()
        self._watch.tick()
        self._gate.tick()
        self._log_pace()
        now = self._clock.monotonic()
        for call in list(self.running):
            # The upstream ends calls that are not idempotent itself, at the
            # deadline that it was given; they get half a second for that.
            if call.deadline + 0.5 <= now or (
                call.run.is_idempotent and call.deadline <= now
            ):
                self._expire(call)
            elif self._stop_plan.is_stopping:
                self._stop_plan.note_running(call.run.route, call.queued_at)

    def submit(
        self,
        run: frames.Run,
        deliver: Deliver,
        request_body: exchange.RequestBody | None = None,
    ) -> UpstreamCall:
        """Start, queue or refuse a call.

        Args:
            run: The message that asks for the call.
            deliver: Called once with the reply; not called after the
                cancellation of a call that waits, is idempotent, or whose
                body is not complete.
            request_body: Asks for the body up to an offset, if it comes in
                parts.
        """
        now = self._clock.monotonic()
        call = UpstreamCall(
            route=run.route,
            workspace=ids.Workspace(run.workspace),
            urgency=run.urgency,
            attempt_id=run.attempt_id,
            is_inner=run.is_inner,
            target_s=run.target_s,
            deadline=now + run.time_left_s,
            now=now,
            start=lambda: self._start(call),
            refuse=lambda reason: self._refuse(call, reason),
            may_redirect=run.may_redirect,
            max_wait_s=run.max_wait_s,
            has_slack=run.has_slack,
        )
        call.run = run
        call.deliver = deliver
        call.request_body = request_body
        if run.service != self._service:
            # The address may have passed to a VM of another service since the
            # peer learned it.
            call.end()
            self._refuse(call, enums.RefusalReason.UNKNOWN_SERVICE)
            return call
        if self._was_evacuated:
            call.end()
            self._refuse(call, enums.RefusalReason.DOMAIN_EVACUATED)
            return call
        if not self._take_body(call):
            call.end()
            self._refuse(call, enums.RefusalReason.MEMORY_FULL)
            return call
        if self._crashes.has_verdicts and any(
            self._crashes.is_refused(fingerprint)
            for fingerprint in fingerprints.hash_all(run)
        ):
            call.end()
            self._refuse(call, enums.RefusalReason.QUARANTINED)
            return call
        if not self._stop_plan.may_begin(run.route, run.time_left_s):
            call.end()
            self._refuse(call, enums.RefusalReason.DRAINING)
            return call
        self._gate.submit(call)
        return call

    def _take_body(self, call: UpstreamCall) -> bool:
        """Return whether the body of a call may be held until its end.

        A single call may exceed the limit.
        """
        # It is copied behind the head of the request.
        size = 2 * len(call.run.body)
        if call.run.body_bytes:
            size = exchange.BODY_WINDOW_BYTES
        if not size:
            return True
        if not self.bodies.count:
            self.bodies.take_anyway(size)
        elif not self.bodies.take(size):
            return False
        call.counted_bytes = size
        call.bodies = self.bodies
        return True

    @property
    def makes_calls(self) -> bool:
        """Return whether the upstream itself makes calls."""
        return self._gate.tree.has_inner_calls

    def note_inner_call(
        self, deadline: float
    ) -> upstream_gate.GateCall | None:
        """Count a call made by the upstream.

        Args:
            deadline: Deadline of the call, in seconds of monotonic time.

        Returns:
            The running call that made it, if known.
        """
        return self._gate.tree.note_call(deadline)

    @property
    def unmatched_urgency(self) -> float | None:
        """Return the urgency of calls whose run is unknown, if measured."""
        return self._gate.tree.unmatched_urgency

    def compute_inner_wait_s(self, parent: upstream_gate.GateCall) -> float:
        """Return how long a call that a run makes may wait, in seconds.

        It is 0 if the run has no slack.
        """
        return self._gate.compute_inner_wait_s(parent)

    def cancel(self, call: UpstreamCall) -> None:
        """Cancel a call whose caller no longer waits.

        A call that is running and not idempotent goes on to its end.
        """
        if call.state is upstream_gate.CallState.WAITING:
            self._gate.cancel(call)
            return
        call.is_abandoned = True
        is_incomplete = (
            call.running is not None and call.running.is_sending_body
        )
        if (call.run.is_idempotent or is_incomplete) and call in self.running:
            self._watch.record_lost_run(call, is_broken=False)
            self._remove_running(call)
            if call.running is not None:
                call.running.cancel()

    def feed_body(self, call: UpstreamCall, data: bytes) -> None:
        """Pass the next part of a body on to the upstream."""
        if call in self.running and call.running is not None:
            call.running.write_body(data)

    def _start(self, call: UpstreamCall) -> None:
        """Send a call to the upstream; if that fails, only this call ends."""
        try:
            self._send(call)
        except Exception:
            self._end_after_error(call)

    def _end_after_error(self, call: UpstreamCall) -> None:
        """Log the exception being handled, and end the call that raised it."""
        self._log.unexpected(
            'upstream_call_failed',
            attempt=call.run.attempt_id.decode('latin-1'),
            route=call.run.route,
        )
        self._remove_running(call)
        if call.running is not None:
            call.running.cancel()
        self._deliver_failure(call, INTERNAL_ERROR)

    def _deliver(self, call: UpstreamCall, reply: Reply) -> None:
        """Pass on the reply to a call; a failure concerns this call alone."""
        try:
            call.deliver(reply)
        except Exception:
            self._log.unexpected(
                'reply_failed',
                attempt=call.run.attempt_id.decode('latin-1'),
                route=call.run.route,
            )

    def _send(self, call: UpstreamCall) -> None:
        report = self._registry.report
        run = call.run
        if report is None:
            self.running.add(call)
            self._remove_running(call)
            self._refuse(call, enums.RefusalReason.NO_UPSTREAM)
            return
        time_left_ms = int(1000 * (call.deadline - self._clock.monotonic()))
        body_bytes = run.body_bytes or len(run.body)
        has_length = body_bytes or not run.head.startswith(
            (b'GET ', b'HEAD ', b'DELETE ')
        )
        payload = b'%b%b: %d\r\n%b: %b\r\n%b\r\n%b' % (
            run.head,
            self._names.deadline_ms,
            max(1, time_left_ms),
            self._names.expected_instance,
            report.instance_id.encode(),
            b'content-length: %d\r\n' % body_bytes if has_length else b'',
            run.body,
        )
        self.running.add(call)
        call.upstream = upstream_registry.get_upstream_process(report)
        self.health.note_start(id(call), run.route)
        call.running = self._pool.start(
            payload,
            run.attempt_id or None,
            lambda outcome: self._on_outcome(call, outcome),
            may_retry=run.is_idempotent,
            body=(
                exchange.BodyInParts(run.body_bytes, call.request_body)
                if run.body_bytes and call.request_body is not None
                else None
            ),
        )

    def _on_outcome(
        self, call: UpstreamCall, outcome: exchange.Outcome
    ) -> None:
        if call not in self.running:
            return
        try:
            self._handle_outcome(call, outcome)
        except Exception:
            self._end_after_error(call)

    def _handle_outcome(
        self, call: UpstreamCall, outcome: exchange.Outcome
    ) -> None:
        if isinstance(outcome, exchange.Response):
            is_error = outcome.status >= 500
            self.health.note_end(id(call), is_error=is_error)
            if not is_error:
                self._slot_time.note_end(
                    self._clock.monotonic() - call.started_at
                )
        elif outcome not in exchange.NOTHING_SENT:
            self.health.note_end(id(call), is_error=True)
        if self._pace.is_found:
            self._note_pace(call, outcome)
        if isinstance(outcome, exchange.Response):
            kind = upstream_answers.classify(outcome, self._names)
            if kind is not upstream_answers.AnswerKind.FINAL:
                # Its connection may begin the next exchange below.
                call.received = self._describe(call, outcome)
            self._remove_running(call)
            self._stop_plan.note_end(call.run.route, call.queued_at)
            self._deliver_response(call, outcome, kind)
            return
        self._remove_running(call)
        if outcome in exchange.NOTHING_SENT:
            if outcome is exchange.FailureKind.REFUSED and call.upstream:
                self._watch.note_port_refused(call.upstream)
            self._refuse(call, enums.RefusalReason.UPSTREAM_UNREACHABLE)
            return
        self._watch.record_lost_run(call, is_broken=True)
        fingerprint = fingerprints.hash_run(call.run)
        self._log.decision(
            'connection_lost',
            attempt=call.run.attempt_id.decode('latin-1'),
            instance=call.upstream.instance_id if call.upstream else '',
            reason=outcome.value,
            fingerprint=fingerprint,
            known_crashes=self._crashes.count(fingerprint),
            held_bytes=self._pool.held.count,
            **({} if call.running is None else call.running.describe()),
        )
        self._deliver_failure(call, outcome.value)

    def _note_pace(
        self, call: UpstreamCall, outcome: exchange.Outcome
    ) -> None:
        """Adapt a pace that is not stated to the outcome of a call."""
        if isinstance(outcome, exchange.Response):
            if outcome.status == upstream_answers.STATUS_MISDIRECTED:
                return
            if (
                outcome.status < 500
                and self._names.not_run not in outcome.fields
                and self.health.slowness < MAX_GROWTH_SLOWNESS
            ):
                elapsed_s = self._clock.monotonic() - call.started_at
                self._pace.note_response(elapsed_s, self._gate.in_flight)
                return
        self._pace.note_overload()

    def _describe(
        self, call: UpstreamCall, response: exchange.Response
    ) -> dict[str, float | None]:
        """Return log fields of a response and its exchange."""
        return {
            'status': response.status,
            'answered_s': round(self._clock.monotonic() - call.started_at, 4),
            **({} if call.running is None else call.running.describe()),
        }

    def _deliver_response(
        self,
        call: UpstreamCall,
        response: exchange.Response,
        kind: upstream_answers.AnswerKind,
    ) -> None:
        run = call.run
        if response.status != upstream_answers.STATUS_MISDIRECTED:
            self._watch.note_response(call)
        elif call.upstream is not None:
            self._watch.note_other_instance(call.upstream)
        if kind is upstream_answers.AnswerKind.REFUSED:
            self._refuse(call, enums.RefusalReason.UPSTREAM_SHED)
            return
        if kind is upstream_answers.AnswerKind.OTHER_INSTANCE:
            if call.upstream is not None:
                self._registry.forget(call.upstream.instance_id)
                self.refresh()
            self._refuse(call, enums.RefusalReason.NO_UPSTREAM)
            return
        if kind is upstream_answers.AnswerKind.UNPROVEN:
            # Passed on as it is, it would promise that the call has not run.
            self._deliver_failure(call, UNPROVEN_REFUSAL)
            return
        if kind is upstream_answers.AnswerKind.UNSEALED:
            self._deliver_failure(call, 'answer_without_seal')
            return
        self._deliver(
            call,
            frames.Answer(
                call_id=run.call_id,
                status=response.status,
                head=response.head,
                body=response.body,
                load=self._gate.compute_kind_load(call),
                deep_load=max(
                    self._gate.load,
                    deep_load.HOP_DECAY_FACTOR
                    * self._downstream_load.load(self._clock.monotonic()),
                ),
                depth=self._depth_of(run.route),
                pace_per_s=self.pace_per_s,
                wait_s=self._gate.compute_wait_s(call, self._slot_time.mean_s),
            ),
        )

    def _depth_of(self, route: str) -> int | None:
        """Return the levels of calls below runs of a route, if known."""
        if not self._gate.tree.may_make_calls(route):
            return 0
        levels = self._depth.depth
        return None if levels is None else levels + 1

    def _expire(self, call: UpstreamCall) -> None:
        """End a call past its deadline, unless an earlier one has ended it."""
        if call not in self.running:
            return
        try:
            self._abort(call, enums.RefusalReason.DEADLINE_UNREACHABLE)
        except Exception:
            self._end_after_error(call)

    def _abort(self, call: UpstreamCall, reason: enums.RefusalReason) -> None:
        self._watch.record_lost_run(call, is_broken=False)
        self._stop_plan.note_end(call.run.route, call.queued_at)
        self._remove_running(call)
        received = {} if call.running is None else call.running.describe()
        if call.running is not None:
            call.running.cancel()
        self._deliver_failure(call, reason.value, received)

    def _remove_running(self, call: UpstreamCall) -> None:
        self.running.discard(call)
        self.health.drop(id(call))
        self._gate.finish(call)

    def _refuse(self, call: UpstreamCall, reason: enums.RefusalReason) -> None:
        """Refuse a call that has not run."""
        # A redirected call goes on; the daemon that sent it counts it.
        if reason is not enums.RefusalReason.UPSTREAM_FULL and not (
            reason is enums.RefusalReason.UPSTREAM_COLD and call.may_redirect
        ):
            self._log_refusal(call, reason)
        is_local = reason not in (
            enums.RefusalReason.OVERLOADED,
            enums.RefusalReason.DEADLINE_UNREACHABLE,
            enums.RefusalReason.QUARANTINED,
        )
        self._deliver(
            call,
            frames.Refused(
                call_id=call.run.call_id,
                reason=reason.value,
                is_local=is_local,
                has_reached_upstream=bool(call.received),
                load=self._gate.compute_kind_load(call),
                pace_per_s=self.pace_per_s,
                wait_s=self._gate.compute_wait_s(call, self._slot_time.mean_s),
            ),
        )

    def _log_refusal(
        self, call: UpstreamCall, reason: enums.RefusalReason
    ) -> None:
        self._log.decision(
            'upstream_refused',
            attempt=call.run.attempt_id.decode('latin-1'),
            route=call.run.route,
            reason=reason.value,
            waited_s=round(self._clock.monotonic() - call.queued_at, 4),
            in_flight=self._gate.in_flight,
            waiting=self._gate.waiting,
            **call.received,
        )

    def _deliver_failure(
        self,
        call: UpstreamCall,
        reason: str,
        received: dict[str, float | None] | None = None,
    ) -> None:
        self._log.decision(
            'upstream_failed',
            attempt=call.run.attempt_id.decode('latin-1'),
            route=call.run.route,
            reason=reason,
            ran_s=round(self._clock.monotonic() - call.started_at, 4),
            **(received or {}),
        )
        self._deliver(
            call,
            frames.CallFailed(
                call_id=call.run.call_id,
                reason=reason,
                load=self._gate.compute_kind_load(call),
            ),
        )

    def _set_serving(
        self, is_serving: bool, status: enums.UpstreamStatus, instance: str
    ) -> None:
        self._log.change(
            'upstream_state',
            serving=is_serving,
            status=status.value,
            instance=instance,
            stopping=self._is_stopping,
        )
        self._on_serving(is_serving)
