"""Composition root of the daemon on the platform, its start and its stop."""

import asyncio
from collections.abc import Callable
import dataclasses
import math
import random as random_module
import traceback
from typing import Any, Final

import uvloop

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import answer_memory
from sassafraswood.coordination import call_depth
from sassafraswood.coordination import client_budget
from sassafraswood.coordination import crash_counts
from sassafraswood.coordination import deep_load
from sassafraswood.coordination import evacuation
from sassafraswood.coordination import peer_plan
from sassafraswood.coordination import quota_shares
from sassafraswood.coordination import repeat_budget
from sassafraswood.coordination import stop_plan
from sassafraswood.coordination import store_duty
from sassafraswood.coordination import store_era
from sassafraswood.coordination import store_knowledge
from sassafraswood.coordination import upstream_choice
from sassafraswood.coordination import upstream_gate
from sassafraswood.coordination import upstream_health
from sassafraswood.coordination import upstream_pace
from sassafraswood.coordination import upstream_registry
from sassafraswood import exceptions
from sassafraswood.models import crash
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.models import traffic
from sassafraswood.platform import headers
from sassafraswood.platform import settings as settings_module
from sassafraswood.platform import store as store_module
from sassafraswood import process_signals
from sassafraswood.protocol import frames
from sassafraswood.sidecar import caller_side
from sassafraswood.sidecar import crash_exchange
from sassafraswood.sidecar import evacuation_exchange
from sassafraswood.sidecar import heap
from sassafraswood.sidecar import local_servers
from sassafraswood.sidecar import measures
from sassafraswood.sidecar import member_follower
from sassafraswood.sidecar import peers
from sassafraswood.sidecar import resident_memory
from sassafraswood.sidecar import rules_follower
from sassafraswood.sidecar import store_reader
from sassafraswood.sidecar import upstream_answers
from sassafraswood.sidecar import upstream_log
from sassafraswood.sidecar import upstream_probe
from sassafraswood.sidecar import upstream_side
from sassafraswood.transport import acceptor
from sassafraswood.transport import exchange
from sassafraswood.transport import ingress
from sassafraswood.transport import json_log
from sassafraswood.transport import listeners

TICK_S: Final = 0.025
SLOW_TICK_S: Final = 0.5
# A tick that comes later is logged, since calls and peers have waited too.
LATE_TICK_S: Final = 0.25
# Ticks for which requests that have arrived are waited for at the end of a
# stop, however long they take: the event loop reads from a connection some
# polls after it has accepted it.
MIN_LAST_ROUNDS: Final = 3
# Time for which the rest of a request is waited for at the end of a stop.
LAST_REST_S: Final = 0.25
# Time in which a client completes a connection that it is opening when the
# listener closes.
HANDSHAKE_S: Final = 0.1
# Report intervals without a report after which an upstream counts as absent;
# two reports may be lost.
SILENT_REPORT_INTERVALS: Final = 3.2
# Time for which callers are still served after the stop signal. They need two
# failed readiness checks, one a second, to send their requests elsewhere; the
# rest of the time is for the last requests that they send here.
CALLER_DRAIN_S: Final = 3.0
# Time for which calls of peers are still accepted after the stop signal. Most
# calls that start then end before the callers are disconnected, so that the
# slots of a live upstream are unused for hardly longer than a restart.
PEER_DRAIN_S: Final = 2.8
# Pause after a failed attempt to delete the member record.
DEREGISTRATION_PAUSE_S: Final = 0.3
# Interval at which a stop logs what it waits for.
STOP_LOG_INTERVAL_S: Final = 1.0
# Least time of a stop for calls that are on their way, also if the process was
# held up for all of its grace period.
MIN_LAST_CALLS_S: Final = 0.3
# Part of the grace period that is kept in reserve, so that the process exits
# before it is killed.
GRACE_MARGIN_S: Final = 0.7
# As much in addition for a stop that waits for the store alone: the next
# process checks the upstream anyway, peers know of its crashes, and busy VMs
# end processes slowly.
STORE_GRACE_MARGIN_S: Final = 0.7
METRICS_PORT: Final = 9464
# Fraction of the memory for bodies of requests of clients, and as much each
# for answers that are being received, for answers that clients or peers have
# not read, and for bodies of calls at the upstream. Each body is held twice
# while it is forwarded, and the process itself takes a tenth of the memory.
BODY_MEMORY_FRACTION: Final = 0.15
# Fraction that one request at a time may hold apart from these.
SINGLE_BODY_FRACTION: Final = 0.35
# Fraction of the free descriptors that connections of callers leave to others:
# to the upstream, one for each running call, to peers, and to local servers.
DESCRIPTOR_RESERVE_FRACTION: Final = 0.6
# Open connections for readiness checks, for reports and for scrapes each, and
# the fraction of all descriptors that they do not exceed.
MAX_LOCAL_CONNECTIONS: Final = 64
LOCAL_DESCRIPTOR_FRACTION: Final = 1.0 / 16.0
# Settings that a running process applies from a changed file.
RELOADABLE_SETTINGS: Final = ('bounds', 'report_interval_s')
# Age of the member records above which a daemon spends no share of a limit,
# and the time that a new member waits before it spends. It is longer than the
# records take with a slow store and two failing readers, and longer than keys
# are accepted without the store, so that limits do not end the service first.
MAX_MEMBERS_AGE_S: Final = 10.0


class Daemon:
    """Creates, connects and runs all components of one process."""

    def __init__(
        self,
        settings: settings_module.PlatformSettings,
        *,
        log_descriptor: int = 1,
    ) -> None:
        """Create and connect the components.

        Args:
            settings: Settings of the platform.
            log_descriptor: File descriptor that the log is written to.
        """
        self.settings = settings
        bounds = settings.bounds
        self._clock = clock_module.SystemClock()
        self._log = json_log.JsonLog(settings.daemon_id, log_descriptor)
        self._metrics = measures.Measures()
        random = random_module.Random()
        names = headers.NAMES
        own_member = fleet.Member(
            daemon_id=settings.daemon_id,
            address=settings.advertised_address,
            failure_domain=settings.failure_domain,
            service=settings.service,
        )
        self._knowledge = store_knowledge.StoreKnowledge(self._clock)
        self._registry = upstream_registry.UpstreamRegistry(
            clock=self._clock,
            service=settings.service,
            address=settings.upstream_address,
            silence_s=SILENT_REPORT_INTERVALS * settings.report_interval_s,
            are_leaves_known=settings.is_first_start,
            needs_health_check=not settings.is_first_start,
        )
        self._pool = exchange.ExchangePool(
            settings.upstream_address,
            exchange.response_field_names(names),
            names.attempt_id,
            lambda response: (
                upstream_answers.classify(response, names)
                is upstream_answers.AnswerKind.FINAL
            ),
        )
        downstream_load = deep_load.DownstreamLoad()
        depth = call_depth.CallDepth()
        crashes = crash_counts.CrashCounts(self._clock)
        # Calls of callers last longer than their runs at one upstream.
        caller_stop_plan = stop_plan.StopPlan(self._clock)
        upstream_stop_plan = stop_plan.StopPlan(self._clock)
        self._stop_plans = (caller_stop_plan, upstream_stop_plan)
        caller_answer_memory = answer_memory.AnswerMemory(
            self._clock, lambda: self._caller_server.unsent_bytes
        )
        self._evacuations = evacuation.Evacuations(
            settings.failure_domain, self._clock
        )
        self._pace = upstream_pace.UpstreamPace(
            self._clock, is_first_start=settings.is_first_start
        )
        self._upstream = upstream_side.UpstreamSide(
            clock=self._clock,
            gate=upstream_gate.UpstreamGate(
                self._clock, downstream_load, self._pace
            ),
            registry=self._registry,
            pool=self._pool,
            names=names,
            service=settings.service,
            downstream_load=downstream_load,
            depth=depth,
            health=upstream_health.UpstreamHealth(self._clock),
            crashes=crashes,
            log=self._log,
            report_interval_s=settings.report_interval_s,
            on_serving=self._on_serving,
            on_crash=self._on_crash,
            on_cold_unknown=lambda: self._probe.ask_cold_time(),
            stop_plan=upstream_stop_plan,
            evacuations=self._evacuations,
        )
        self._shares = quota_shares.QuotaShares(
            clock=self._clock,
            random=random,
            daemon_id=settings.daemon_id,
            slack=bounds.quota_slack,
            tolerance=bounds.quota_tolerance,
        )
        self._budget = repeat_budget.RepeatBudget(
            clock=self._clock,
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
        )
        self._callers = caller_side.CallerSide(
            clock=self._clock,
            random=random,
            own=own_member,
            names=names,
            knowledge=self._knowledge,
            shares=self._shares,
            choice=upstream_choice.UpstreamSelector(
                clock=self._clock,
                random=random,
                domain=settings.failure_domain,
            ),
            upstream=self._upstream,
            downstream_load=downstream_load,
            depth=depth,
            crashes=crashes,
            log=self._log,
            metrics=self._metrics,
            revoke_s=bounds.key_age_s,
            members_s=MAX_MEMBERS_AGE_S,
            budget=self._budget,
            stop_plan=caller_stop_plan,
            answer_memory=caller_answer_memory,
        )
        self._store = store_module.StoreClient(
            settings.store_address,
            clock=self._clock,
            on_rewound=self._on_store_rewound,
        )
        self._probe = upstream_probe.UpstreamProbe(
            pool=self._pool,
            host=settings.upstream_address[0],
            names=names,
            registry=self._registry,
            log=self._log,
            on_ready=self._upstream.refresh,
            on_cold_time=self._upstream.note_health_response,
        )
        self._upstream_log = upstream_log.UpstreamLog(
            daemon_id=settings.daemon_id,
            random=random,
            registry=self._registry,
            store=self._store,
            log=self._log,
            on_loaded=self._on_upstream_known,
            on_crashes_loaded=self._on_crashes_loaded,
        )
        self._crash_exchange = crash_exchange.CrashExchange(
            clock=self._clock,
            daemon_id=settings.daemon_id,
            service=settings.service,
            counts=crashes,
            log=self._log,
            metrics=self._metrics,
            on_own=self._upstream_log.record_crash,
            on_verdicts=lambda message: self._peers.send_to_all(message),
        )
        plan = peer_plan.PeerPlan(own_member)
        reader_context = store_reader.ReaderContext(
            clock=self._clock,
            random=random,
            store=self._store,
            duty=store_duty.StoreDuty(
                plan, lambda daemon_id: self._peers.has_store_access(daemon_id)
            ),
            log=self._log,
        )
        self._evacuation_exchange = evacuation_exchange.EvacuationExchange(
            evacuations=self._evacuations,
            own=settings.failure_domain,
            log=self._log,
            known_domains=lambda: self._peers.failure_domains,
            on_change=self._on_evacuations,
        )
        self._rules = rules_follower.RulesFollower(
            context=reader_context,
            knowledge=self._knowledge,
            max_age_s=min(bounds.apply_s, bounds.evacuate_s),
            evacuations=self._evacuation_exchange,
            on_rules=self._on_rules,
            on_update=self._on_update,
        )
        self._membership = member_follower.MemberFollower(
            context=reader_context,
            own=own_member,
            knowledge=self._knowledge,
            max_age_s=MAX_MEMBERS_AGE_S,
            leader=self._rules,
            on_members=self._on_members,
            on_registered=self._on_registered,
            on_update=self._on_update,
        )
        self._peers = peers.Peers(
            clock=self._clock,
            own=own_member,
            plan=plan,
            upstream=self._upstream,
            knowledge=self._knowledge,
            rules=self._rules,
            evacuations=self._evacuation_exchange,
            membership=self._membership,
            log=self._log,
            crashes=self._crash_exchange,
            on_reached=self._callers.resume,
            on_lend=self._callers.handle_loan,
            on_borrow=self._lend_tokens,
        )
        self._callers.attach(self._peers)
        self._caller_server = ingress.IngressServer(
            self._callers, names, self._log
        )
        self._caller_server.reserve_fraction = DESCRIPTOR_RESERVE_FRACTION
        self._report_server = ingress.IngressServer(
            local_servers.ReportHandler(
                self._registry,
                self._upstream_log,
                self._log,
                self._on_report,
            ),
            names,
            self._log,
        )
        self._ready_server = ingress.IngressServer(
            local_servers.ReadyHandler(self._is_ready), names, self._log
        )
        self._metrics_server = ingress.IngressServer(
            local_servers.MetricsHandler(self._metrics, self._set_gauges),
            names,
            self._log,
        )
        self._servers = (
            self._caller_server,
            self._report_server,
            self._ready_server,
            self._metrics_server,
        )
        body_bytes = int(BODY_MEMORY_FRACTION * settings.memory_bytes)
        self._client_budget = client_budget.ClientBudget(body_bytes)
        self._client_budget.max_single_bytes = int(
            SINGLE_BODY_FRACTION * settings.memory_bytes
        )
        self._heap = heap.HeapTrimmer()
        local_connections = int(
            min(
                MAX_LOCAL_CONNECTIONS,
                LOCAL_DESCRIPTOR_FRACTION
                * acceptor.count_allowed_descriptors(),
            )
        )
        for server in self._servers:
            server.held = self._client_budget
            server.turns = self._pool.turns
            if server is not self._caller_server:
                server.max_connections = max(1, local_connections)
        self._pool.held.limit = body_bytes
        self._upstream.bodies.limit = body_bytes
        self._peers.max_unsent_bytes = body_bytes
        self._peers.answer_memory.limit = body_bytes
        caller_answer_memory.limit = body_bytes
        self._service_rules: traffic.ServiceRules | None = None
        self._apply_pace()
        self._has_rules = False
        self._was_registered = False
        self._is_stopping = False
        self._deregistration: asyncio.Task[None] | None = None
        self._slow_tick_at = 0.0
        # Times of the event loop, in seconds.
        self._ticked_at = math.inf
        self._stop_since = math.inf
        self._stop_requested = asyncio.Event()

    async def async_run(
        self, signals: process_signals.ProcessSignals | None = None
    ) -> None:
        """Serve until a stop is requested and all calls have ended.

        Args:
            signals: Signals of the process, also those that came before the
                event loop ran; None if others handle them.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_unhandled_error)
        if signals is None:
            await self._async_serve()
            return
        signals.set_callback(
            lambda: loop.call_soon_threadsafe(
                self._apply_signals, signals, self._ticked_at
            )
        )
        try:
            self._apply_signals(signals)
            if signals.stop_signal:
                self._log.change(
                    'stopped_at_start', signal=signals.stop_signal
                )
                return
            await self._async_serve()
        finally:
            # The event loop is closed next.
            signals.set_callback(None)
            self._log.flush()

    def _apply_signals(
        self, signals: process_signals.ProcessSignals, since: float = math.inf
    ) -> None:
        if signals.stop_signal:
            self.stop(since)
        if signals.take_reload():
            self.reload()

    async def _async_serve(self) -> None:
        loop = asyncio.get_running_loop()
        settings = self.settings
        self._log.change(
            'started', version=const.VERSION, service=settings.service
        )
        if not await self._async_listen():
            self.close()
            self._log.change('stopped', open_requests=0)
            return
        self._upstream_log.start(is_first_start=settings.is_first_start)
        self._rules.start()
        self._membership.start()
        self._log.flush()
        self._ticked_at = loop.time()
        tasks = (
            loop.create_task(self._async_tick()),
            loop.create_task(self._async_listen_for_metrics()),
        )
        try:
            await self._stop_requested.wait()
            await self._async_stop()
        finally:
            for task in tasks:
                task.cancel()
        self._log.change('stopped', open_requests=self._callers.active_count)
        self._log.flush()

    async def _async_listen(self) -> bool:
        """Listen on all addresses but that of the metrics.

        A former process may still hold them, and an address may not exist yet.

        Returns:
            False if a stop was requested before all could be bound.
        """
        settings = self.settings
        return await listeners.ListenerGroup(
            (
                listeners.Listener(
                    name='report',
                    address=settings.report_address,
                    async_accept=self._report_server.async_accept,
                ),
                listeners.Listener(
                    name='peer',
                    address=settings.peer_address,
                    async_accept=self._peers.async_accept,
                ),
                listeners.Listener(
                    name='caller',
                    address=settings.caller_address,
                    async_accept=self._caller_server.async_accept,
                ),
                listeners.Listener(
                    name='ready',
                    address=settings.ready_address,
                    async_accept=self._ready_server.async_accept,
                ),
            ),
            self._log,
        ).async_open(self._stop_requested)

    async def _async_listen_for_metrics(self) -> None:
        """Listen for scrapes; calls are served without that, too."""
        await listeners.ListenerGroup(
            (
                listeners.Listener(
                    name='metrics',
                    address=(self.settings.caller_address[0], METRICS_PORT),
                    async_accept=self._metrics_server.async_accept,
                ),
            ),
            self._log,
        ).async_open(self._stop_requested)

    def stop(self, since: float = math.inf) -> None:
        """Request a stop, as SIGTERM and SIGINT do.

        Args:
            since: Time of the event loop, in seconds, since which it may have
                been requested; a process that is held up notices it late.
        """
        self._stop_since = min(self._stop_since, since)
        self._stop_requested.set()

    async def _async_tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._ticked_at = loop.time()
            await _async_wait_tick()
            self._log_late_tick(loop.time() - self._ticked_at - TICK_S)
            for tick in (
                self._upstream.tick,
                self._callers.tick,
                self._peers.tick,
                self._tick_slowly,
            ):
                try:
                    tick()
                except Exception:
                    # The other ticks go on, since without them nothing would
                    # expire and no connection would be opened any more.
                    self._log.decision(
                        'tick_failed', error=traceback.format_exc()
                    )

    def _log_late_tick(self, late_s: float) -> None:
        """Log a tick that the event loop was too busy to take in time."""
        if late_s > LATE_TICK_S:
            self._log.decision(
                'late_tick',
                late_s=round(late_s, 3),
                answer_parts=self._pool.turns.part_count,
                answer_bytes_held=self._pool.held.count,
                request_bytes_held=self._client_budget.count,
                resident_mb=round(resident_memory.read_bytes() / 1e6, 1),
            )

    def _tick_slowly(self) -> None:
        now = asyncio.get_running_loop().time()
        if now < self._slow_tick_at:
            return
        self._slow_tick_at = now + SLOW_TICK_S
        # Peers that read the store may know first that it has come back.
        if self._knowledge.members_end_offset >= 0:
            self._store.note_era(
                store_era.get_era(self._knowledge.members_end_offset)
            )
        self._evacuation_exchange.tick()
        try:
            self._upstream.log_load()
        finally:
            self._log.flush()
        if not self._is_stopping:
            for server in self._servers:
                server.close_slow_connections(now)
        self._heap.note(
            self._client_budget.count
            + self._pool.held.count
            + self._upstream.bodies.count
            + self._caller_server.unsent_bytes
            + self._peers.unsent_bytes
        )

    def _log_unhandled_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an error that a callback, task or connection did not handle."""
        del loop
        error = context.get('exception')
        self._log.decision(
            'unhandled_error',
            message=context.get('message', ''),
            error=''.join(traceback.format_exception(error)) if error else '',
        )

    async def _async_stop(self) -> None:
        """Drain: refuse new calls, finish the accepted ones, then close."""
        loop = asyncio.get_running_loop()
        self._is_stopping = True
        # Each answer says that its connection closes, so that clients don't
        # send a request on it when it is closed for good.
        self._caller_server.is_closing = True
        is_peer_drain_over = False
        is_caller_drain_over = False
        # The grace period begins with the signal; callers and peers learn of
        # the stop only now.
        noticed_at = loop.time()
        started_at = min(noticed_at, self._stop_since)
        end_at = max(
            started_at + self.settings.bounds.grace_s - GRACE_MARGIN_S,
            noticed_at + MIN_LAST_CALLS_S,
        )
        callers_until = min(
            noticed_at + CALLER_DRAIN_S, end_at - MIN_LAST_CALLS_S
        )
        peers_until = callers_until - (CALLER_DRAIN_S - PEER_DRAIN_S)
        for plan in self._stop_plans:
            plan.begin(end_at - noticed_at)
        self._log.change(
            'stopping',
            open_requests=self._callers.active_count,
            running=len(self._upstream.running),
            held_up_s=round(noticed_at - started_at, 3),
        )
        log_at = noticed_at + STOP_LOG_INTERVAL_S
        # An upstream that has not reported since a restart may run.
        if self._registry.has_left:
            self._deregistration = loop.create_task(self._async_deregister())
        while (now := loop.time()) < end_at:
            if now >= log_at:
                log_at += STOP_LOG_INTERVAL_S
                self._take_steps(self._log_open_work)
            if now >= peers_until and not is_peer_drain_over:
                is_peer_drain_over = True
                self._take_steps(
                    self._upstream.stop, self._peers.request_last_calls
                )
            if now >= callers_until and not is_caller_drain_over:
                # Late requests get a refusal, which says that they have not
                # run, in place of a refused connection.
                is_caller_drain_over = True
                self._take_steps(
                    self._callers.refuse_new, self._caller_server.close_idle
                )
            if is_caller_drain_over and not self._may_hold(
                lambda: self._is_waiting(end_at - loop.time())
            ):
                break
            await _async_wait_tick()
        self._take_steps(self._log_open_work)
        await self._async_disconnect_callers(end_at)
        self.close()

    def _take_steps(self, *steps: Callable[[], object]) -> None:
        """Take steps of a stop; one that fails does not keep the others.

        Args:
            steps: Called one after the other.
        """
        self._log.run_each('stop_failed', steps)

    def _may_hold(self, condition: Callable[[], bool]) -> bool:
        """Return whether a condition of a stop holds, or cannot be told.

        Args:
            condition: Makes the stop wait.
        """
        try:
            return condition()
        except Exception:
            self._log.unexpected('stop_failed')
            return True

    async def _async_disconnect_callers(self, end_at: float) -> None:
        """Answer all requests that have arrived, then disconnect callers.

        The event loop has not read all that the kernel has received. Nothing
        more arrives on new connections once the listener is closed.

        Args:
            end_at: Time of the event loop from which only MIN_LAST_ROUNDS are
                waited for, in seconds.
        """
        loop = asyncio.get_running_loop()
        self._take_steps(
            self._callers.refuse_all,
            self._upstream.stop,
            self._callers.end_all,
            lambda: self._caller_server.stop_listening(HANDSHAKE_S),
        )
        begun_at = loop.time()
        server = self._caller_server
        rounds = 0
        is_waiting = True
        while is_waiting:
            rounds += 1
            await asyncio.sleep(TICK_S)
            now = loop.time()
            if rounds < MIN_LAST_ROUNDS or now < min(
                begun_at + LAST_REST_S, end_at
            ):
                is_waiting = self._may_hold(lambda: server.has_waiting_clients)
            else:
                is_waiting = now < end_at and self._may_hold(
                    lambda: server.expects_requests
                )
        self._take_steps(self._log_states, self._caller_server.disconnect)
        # What is written last is sent by the event loop.
        await asyncio.sleep(TICK_S)

    def _log_states(self) -> None:
        self._log.change(
            'clients_disconnected', **self._caller_server.count_states()
        )

    @property
    def _has_open_work(self) -> bool:
        """Return whether the end of the process would lose an answer."""
        return bool(
            self._callers.active_count
            or self._upstream.running
            or self._caller_server.unsent_bytes
            or self._peers.has_unconfirmed_peers
            or self._peers.has_undelivered_replies
        )

    def _is_waiting(self, left_s: float) -> bool:
        """Return whether a stop waits for work or for the store.

        Args:
            left_s: Time until the stop has to end.
        """
        return self._has_open_work or (
            left_s > STORE_GRACE_MARGIN_S
            and (
                self._upstream.is_checking_crash
                or self._upstream_log.has_unstored_records
            )
        )

    def _log_open_work(self) -> None:
        """Log what the stop waits for."""
        self._log.change(
            'stop_waits',
            open_requests=self._callers.active_count,
            upstream_calls=self._callers.inner_count,
            running=len(self._upstream.running),
            unread_bytes=self._caller_server.unsent_bytes,
            replies_undelivered=self._peers.has_undelivered_replies,
            calls_unread=self._peers.has_unconfirmed_peers,
            store_writes=self._upstream_log.pending_count,
        )

    def reload(self) -> None:
        """Apply the changed settings file, as SIGHUP does.

        Only the settings named in RELOADABLE_SETTINGS are applied. The others,
        such as addresses and names, are logged as needing a restart.
        """
        try:
            settings = settings_module.load(
                settings_module.path_from_environment()
            )
        except exceptions.SettingsError as error:
            self._log.change('settings_rejected', error=str(error))
            return
        current = self.settings
        unapplied = [
            field.name
            for field in dataclasses.fields(settings)
            if field.name not in RELOADABLE_SETTINGS
            and getattr(settings, field.name) != getattr(current, field.name)
        ]
        self.settings = dataclasses.replace(
            current,
            **{name: getattr(settings, name) for name in RELOADABLE_SETTINGS},
        )
        self._apply_bounds()
        self._log.change(
            'settings_read',
            changed=self.settings != current,
            needs_restart=unapplied,
        )

    async def _async_deregister(self) -> None:
        """Delete the member record, since the VM leaves with its upstream.

        The share of each limit passes to the other daemons; calls that arrive
        before the end of the process use borrowed tokens. If no attempt
        succeeds before that end, another daemon deletes the record once it
        has expired.
        """
        self._take_steps(lambda: self._shares.set_spending_start(math.inf))
        while True:
            try:
                await self._membership.async_deregister()
            except Exception as error:
                self._log.change('not_deregistered', error=repr(error))
                await asyncio.sleep(DEREGISTRATION_PAUSE_S)
                continue
            return

    def close(self) -> None:
        """Stop all followers, close the connections and stop listening."""
        if self._deregistration is not None:
            self._deregistration.cancel()
        self._take_steps(
            self._rules.stop,
            self._membership.stop,
            self._upstream_log.stop,
            self._store.stop,
            self._peers.close,
            *(server.stop_listening for server in self._servers),
            self._log.flush,
        )

    def _apply_bounds(self) -> None:
        bounds = self.settings.bounds
        self._registry.silence_s = (
            SILENT_REPORT_INTERVALS * self.settings.report_interval_s
        )
        self._upstream.set_report_interval(self.settings.report_interval_s)
        self._callers.set_max_rules_age_s(bounds.key_age_s)
        self._budget.set_bounds(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
        )
        self._shares.set_tolerated_excess(
            slack=bounds.quota_slack, tolerance=bounds.quota_tolerance
        )
        self._apply_pace()

    def _apply_pace(self) -> None:
        bounds = self.settings.bounds
        rules = self._service_rules
        self._pace.set_rules(
            cold_s=0.0 if rules is None else rules.cold_s,
            rate_per_s=0.0 if rules is None else rules.cold_rate_per_s,
            excess=bounds.cold_excess,
            slack=bounds.cold_slack,
        )

    # Callbacks of the components.

    def _is_ready(self) -> bool:
        return self._has_rules and not self._is_stopping

    def _on_rules(self, rules: traffic.TrafficRules) -> None:
        for server in self._servers:
            server.set_time_limits(rules.limits)
        self._caller_server.limits = rules.limits
        self._callers.set_rules(rules)
        self._shares.set_workspaces(rules.workspaces)
        service = rules.services.get(self.settings.service)
        self._service_rules = service
        self._apply_pace()
        if service is None:
            # The rules name no health check for it.
            self._registry.waive_health_check()
        else:
            self._probe.set_health_path(service.health_path)
        # A daemon that failed to apply its first rules is not ready.
        self._has_rules = True

    def _on_report(self) -> None:
        self._upstream.refresh()
        self._probe.check()

    def _on_upstream_known(
        self, upstream: fleet.StoredUpstream | None
    ) -> None:
        self._upstream.refresh()
        self._probe.set_known_upstream(upstream)

    def _on_members(self, members: list[fleet.Member]) -> None:
        self._peers.set_members(members)
        self._shares.set_members(member.daemon_id for member in members)
        self._budget.set_member_count(len(members))

    def _on_registered(self, was_member: bool) -> None:
        """Set the time from which this daemon spends its share of limits.

        A new member waits until all daemons must know of it. A daemon that was
        a member before its start does not wait: it had the same share, and its
        former process has ended. Neither do the daemons of a fleet that starts
        for the first time, since none of them has spent anything; one whose
        record is deleted later does.

        Args:
            was_member: Whether this daemon has been a member since before its
                start.
        """
        spend_from = self._clock.monotonic()
        may_spend = self.settings.is_first_start and not self._was_registered
        self._was_registered = True
        if not was_member and not may_spend:
            spend_from += MAX_MEMBERS_AGE_S
        self._shares.set_spending_start(
            spend_from,
            has_restarted=was_member and not self.settings.is_first_start,
        )

    def _on_update(self) -> None:
        self._peers.announce()

    def _on_store_rewound(self, era: int, lost_count: int) -> None:
        self._log.change('store_rewound', era=era, writes_again=lost_count)

    def _on_evacuations(self) -> None:
        self._upstream.refresh()
        self._peers.set_evacuated(self._evacuations.domains)
        self._peers.announce()

    def _on_serving(self, is_serving: bool) -> None:
        self._peers.set_serving(is_serving)

    def _on_crash(
        self,
        upstream: fleet.UpstreamProcess,
        suspects: list[crash.Suspect],
        age_s: float,
    ) -> None:
        self._crash_exchange.report(upstream, suspects, age_s)
        self._peers.send_crash_reports()

    def _on_crashes_loaded(self, records: list[crash.CrashRecord]) -> None:
        self._crash_exchange.load(records)

    def _lend_tokens(self, message: frames.BorrowTokens) -> frames.LendTokens:
        tokens = 0.0
        if self._knowledge.may_spend_share(MAX_MEMBERS_AGE_S):
            tokens = self._shares.lend(
                ids.Workspace(message.workspace),
                message.tokens,
            )
        return frames.LendTokens(
            workspace=message.workspace,
            tokens=tokens,
        )

    def _set_gauges(self) -> None:
        metrics = self._metrics
        metrics.gauge('open_requests', self._callers.active_count)
        metrics.gauge('upstream_running', len(self._upstream.running))
        metrics.gauge('upstream_load', self._upstream.load)
        metrics.gauge('upstream_pace_per_s', self._upstream.pace_per_s)
        metrics.gauge('upstream_connects', self._pool.connect_count)
        metrics.gauge('request_bytes_held', self._client_budget.count)
        metrics.gauge('requests_evicted', self._client_budget.evicted_count)
        metrics.gauge('answer_bytes_held', self._pool.held.count)
        metrics.gauge('answer_parts', self._pool.turns.part_count)
        metrics.gauge('answers_skipped', self._pool.counts.skipped)
        metrics.gauge('answers_in_excess', self._pool.counts.excess)
        metrics.gauge('resident_bytes', resident_memory.read_bytes())
        metrics.gauge('call_bytes_held', self._upstream.bodies.count)
        metrics.gauge(
            'answer_bytes_unsent',
            self._caller_server.unsent_bytes + self._peers.unsent_bytes,
        )
        metrics.gauge('peers_reachable', self._peers.reachable_count)
        metrics.gauge('peers_accepted', self._peers.accepted_count)
        metrics.gauge('store_calls', self._store.calls)
        metrics.gauge('store_era', self._store.era)
        metrics.gauge('domains_evacuated', len(self._evacuations.domains))
        metrics.gauge('rules_version', self._knowledge.rules_version)
        metrics.gauge('rules_age_seconds', self._knowledge.rules_age_s)


async def _async_wait_tick() -> None:
    """Wait for the next tick, and read what has arrived by then.

    The event loop calls timers before it reads. After the process was held
    up, calls would time out whose answers have arrived.
    """
    await asyncio.sleep(TICK_S)
    await asyncio.sleep(0)


async def _async_main(
    settings: settings_module.PlatformSettings,
    signals: process_signals.ProcessSignals,
) -> None:
    await Daemon(settings).async_run(signals)


def run(
    settings: settings_module.PlatformSettings,
    signals: process_signals.ProcessSignals,
) -> None:
    """Run the daemon until it has stopped after a stop signal.

    Args:
        settings: Settings of the platform.
        signals: Signals of the process, whose handlers are installed.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_async_main(settings, signals))
