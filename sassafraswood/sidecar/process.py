"""Composition root of the daemon on the platform, and its life."""

import asyncio
import dataclasses
import math
import random as random_module
import signal
import traceback
from typing import Final

import uvloop

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import call_depth
from sassafraswood.coordination import crash_counts
from sassafraswood.coordination import deep_load
from sassafraswood.coordination import peer_plan
from sassafraswood.coordination import quota_shares
from sassafraswood.coordination import repeat_budget
from sassafraswood.coordination import store_duty
from sassafraswood.coordination import store_knowledge
from sassafraswood.coordination import upstream_choice
from sassafraswood.coordination import upstream_gate
from sassafraswood.coordination import upstream_health
from sassafraswood.coordination import upstream_registry
from sassafraswood import exceptions
from sassafraswood.models import crash
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.models import traffic
from sassafraswood.platform import headers
from sassafraswood.platform import settings as settings_module
from sassafraswood.platform import store as store_module
from sassafraswood.protocol import frames
from sassafraswood.sidecar import caller_side
from sassafraswood.sidecar import crash_exchange
from sassafraswood.sidecar import local_servers
from sassafraswood.sidecar import measures
from sassafraswood.sidecar import member_follower
from sassafraswood.sidecar import peers
from sassafraswood.sidecar import rules_follower
from sassafraswood.sidecar import store_reader
from sassafraswood.sidecar import upstream_log
from sassafraswood.sidecar import upstream_probe
from sassafraswood.sidecar import upstream_side
from sassafraswood.transport import exchange
from sassafraswood.transport import ingress
from sassafraswood.transport import json_log

TICK_S: Final = 0.025
SLOW_TICK_S: Final = 0.5
# Reports may be missed twice before an upstream counts as gone.
SILENT_REPORTS: Final = 3.2
# After the signal to end, callers need two missed readiness checks, one a
# second, and their last requests before nothing new is accepted.
LINGER_S: Final = 3.0
# Calls of other daemons are taken for this time after the signal, in seconds.
# Most of those that begin then end before callers are let go, so that the
# slots of a live upstream are out of use for hardly longer than a restart.
UPSTREAM_LINGER_S: Final = 2.8
# The store takes 0.4 s when it is slow; callers are served meanwhile.
LEAVE_TIMEOUT_S: Final = 0.5
# Kept from the time until the process is killed, in seconds.
GRACE_MARGIN_S: Final = 0.7
METRICS_PORT: Final = 9464
# Part of the memory for bodies of requests, and for those of answers; each is
# held twice while it is passed on, and the process itself takes a tenth.
BODIES_SHARE: Final = 0.15
# Settings that a running process takes from a changed file.
RELOADED_SETTINGS: Final = ('bounds', 'report_interval_s')
# Age of the knowledge of members, in seconds, above which a daemon spends no
# part of a limit, and the wait of a new member; longer than a slow store and
# two readers that fail need.
MEMBERS_AGE_S: Final = 5.0


class Daemon:
    """All parts of one process."""

    def __init__(
        self,
        settings: settings_module.PlatformSettings,
        *,
        log_descriptor: int = 1,
    ) -> None:
        """Wire the parts."""
        self.settings = settings
        bounds = settings.bounds
        self._clock = clock_module.SystemClock()
        self._log = json_log.JsonLog(settings.daemon_id, log_descriptor)
        self._metrics = measures.Measures()
        random = random_module.Random()
        names = headers.NAMES
        own = fleet.Member(
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
            silence_s=SILENT_REPORTS * settings.report_interval_s,
            knows_leaves=settings.is_first_start,
        )
        self._pool = exchange.ExchangePool(
            settings.upstream_address,
            exchange.noted_fields(names),
            names.attempt_id,
        )
        below = deep_load.DeepLoad()
        depth = call_depth.CallDepth()
        crashes = crash_counts.CrashCounts(self._clock)
        self._upstream = upstream_side.UpstreamSide(
            clock=self._clock,
            gate=upstream_gate.UpstreamGate(self._clock, below),
            registry=self._registry,
            pool=self._pool,
            names=names,
            service=settings.service,
            below=below,
            depth=depth,
            health=upstream_health.UpstreamHealth(self._clock),
            crashes=crashes,
            log=self._log,
            report_interval_s=settings.report_interval_s,
            on_serving=self._on_serving,
            on_crash=self._on_crash,
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
            own=own,
            names=names,
            knowledge=self._knowledge,
            shares=self._shares,
            choice=upstream_choice.UpstreamChoice(
                clock=self._clock,
                random=random,
                domain=settings.failure_domain,
            ),
            upstream=self._upstream,
            below=below,
            depth=depth,
            crashes=crashes,
            log=self._log,
            metrics=self._metrics,
            revoke_s=bounds.key_age_s,
            members_s=MEMBERS_AGE_S,
            budget=self._budget,
        )
        self._store = store_module.StoreClient(settings.store_address)
        self._probe = upstream_probe.UpstreamProbe(
            pool=self._pool,
            host=settings.upstream_address[0],
            names=names,
            registry=self._registry,
            log=self._log,
            on_resumed=self._upstream.refresh,
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
        plan = peer_plan.PeerPlan(own)
        reader_context = store_reader.ReaderContext(
            clock=self._clock,
            random=random,
            store=self._store,
            duty=store_duty.StoreDuty(
                plan, lambda daemon_id: self._peers.reads_store(daemon_id)
            ),
            log=self._log,
        )
        self._rules = rules_follower.RulesFollower(
            context=reader_context,
            knowledge=self._knowledge,
            max_age_s=bounds.apply_s,
            on_rules=self._on_rules,
            on_update=self._on_update,
        )
        self._membership = member_follower.MemberFollower(
            context=reader_context,
            own=own,
            knowledge=self._knowledge,
            max_age_s=MEMBERS_AGE_S,
            on_members=self._on_members,
            on_registered=self._on_registered,
            on_update=self._on_update,
        )
        self._peers = peers.Peers(
            clock=self._clock,
            own=own,
            address=settings.peer_address,
            plan=plan,
            upstream=self._upstream,
            knowledge=self._knowledge,
            rules=self._rules,
            membership=self._membership,
            log=self._log,
            crashes=self._crash_exchange,
            on_reached=self._callers.resume,
            on_lend=self._callers.take_loan,
            on_borrow=self._lend,
        )
        self._callers.attach(self._peers)
        self._entry = ingress.IngressServer(self._callers, names)
        self._reports = ingress.IngressServer(
            local_servers.ReportHandler(
                self._registry,
                self._upstream_log,
                self._log,
                self._upstream.refresh,
            ),
            names,
        )
        self._ready = ingress.IngressServer(
            local_servers.ReadyHandler(self._is_ready), names
        )
        self._exposition = ingress.IngressServer(
            local_servers.MetricsHandler(self._metrics, self._set_gauges),
            names,
        )
        for held in (self._entry.held, self._pool.held):
            held.limit = int(BODIES_SHARE * settings.memory_bytes)
        self._has_rules = False
        self._is_stopping = False
        self._slow_tick_at = 0.0
        self._stop_requested = asyncio.Event()

    async def async_run(self) -> None:
        """Serve until the signal to end and all calls have ended."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGINT, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        settings = self.settings
        self._log.change(
            'started', version=const.VERSION, service=settings.service
        )
        await self._reports.async_listen(settings.report_address)
        await self._peers.async_listen()
        await self._entry.async_listen(settings.caller_address)
        await self._ready.async_listen(settings.ready_address)
        try:
            await self._exposition.async_listen(
                (settings.caller_address[0], METRICS_PORT)
            )
        except OSError as error:
            # The daemon serves without its metrics too.
            self._log.change('metrics_unavailable', error=str(error))
        self._upstream_log.start(is_first_start=settings.is_first_start)
        self._rules.start()
        self._membership.start()
        self._log.flush()
        ticker = loop.create_task(self._async_tick())
        await self._stop_requested.wait()
        await self._async_stop()
        ticker.cancel()
        self._log.change('stopped', open_requests=self._callers.active_count)
        self._log.flush()

    def stop(self) -> None:
        """Begin to end as after the signal."""
        self._stop_requested.set()

    async def _async_tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self._tick()
            except Exception:
                # Without ticks nothing would expire or connect any more.
                self._log.change('tick_failed', error=traceback.format_exc())

    def _tick(self) -> None:
        self._upstream.tick()
        self._callers.tick()
        self._peers.tick()
        now = asyncio.get_running_loop().time()
        if now < self._slow_tick_at:
            return
        self._slow_tick_at = now + SLOW_TICK_S
        self._upstream.log_load()
        self._log.flush()
        if not self._is_stopping:
            self._entry.sweep(now)

    async def _async_stop(self) -> None:
        """Refuse new calls, answer what was taken, and end."""
        loop = asyncio.get_running_loop()
        self._is_stopping = True
        started_at = loop.time()
        end_at = started_at + self.settings.bounds.grace_s - GRACE_MARGIN_S
        self._log.change(
            'stopping',
            open_requests=self._callers.active_count,
            running=len(self._upstream.running),
        )
        if self._registry.report is None:
            await self._async_leave()
        while loop.time() < end_at:
            stopping_s = loop.time() - started_at
            if stopping_s >= UPSTREAM_LINGER_S:
                self._upstream.stop()
            has_lingered = stopping_s >= LINGER_S
            if has_lingered and not self._entry.is_closing:
                self._entry.is_closing = True
                self._entry.stop_listening()
                self._entry.close_idle()
            if (
                has_lingered
                and not self._callers.active_count
                and not self._upstream.running
            ):
                break
            await asyncio.sleep(TICK_S)
        self.close()

    def reload(self) -> None:
        """Take the settings file that has changed.

        Addresses and names are those of the process and stay.
        """
        try:
            settings = settings_module.load(
                settings_module.path_from_environment()
            )
        except exceptions.SettingsError as error:
            self._log.change('settings_rejected', error=str(error))
            return
        current = self.settings
        kept = [
            field.name
            for field in dataclasses.fields(settings)
            if field.name not in RELOADED_SETTINGS
            and getattr(settings, field.name) != getattr(current, field.name)
        ]
        self.settings = dataclasses.replace(
            current,
            **{name: getattr(settings, name) for name in RELOADED_SETTINGS},
        )
        self._apply_bounds()
        self._log.change(
            'settings_read',
            changed=self.settings != current,
            needs_restart=kept,
        )

    async def _async_leave(self) -> None:
        """Leave the fleet: the upstream is gone, and the VM follows.

        The part of each limit passes to the other daemons; calls that come
        till the end use borrowed tokens.
        """
        self._shares.spend_from(math.inf)
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._membership.async_deregister()
        except (exceptions.LogError, TimeoutError) as error:
            # The record lapses later.
            self._log.change('not_deregistered', error=str(error))

    def close(self) -> None:
        """Close connections and accept no more of them."""
        self._rules.stop()
        self._membership.stop()
        self._upstream_log.stop()
        self._peers.close()
        for server in (
            self._entry,
            self._reports,
            self._ready,
            self._exposition,
        ):
            server.stop_listening()
        self._log.flush()

    def _apply_bounds(self) -> None:
        bounds = self.settings.bounds
        self._registry.silence_s = (
            SILENT_REPORTS * self.settings.report_interval_s
        )
        self._upstream.set_report_interval(self.settings.report_interval_s)
        self._callers.set_revoke_s(bounds.key_age_s)
        self._budget.set_bounds(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
        )
        self._shares.set_excess(
            slack=bounds.quota_slack, tolerance=bounds.quota_tolerance
        )

    # What the parts tell each other.

    def _is_ready(self) -> bool:
        return self._has_rules and not self._is_stopping

    def _on_rules(self, rules: traffic.TrafficRules) -> None:
        self._has_rules = True
        self._entry.limits = rules.limits
        self._callers.set_rules(rules)
        self._shares.set_workspaces(rules.workspaces)
        service = rules.services.get(self.settings.service)
        if service is not None:
            self._probe.set_health_path(service.health_path)

    def _on_upstream_known(self, upstream: fleet.KnownUpstream | None) -> None:
        self._upstream.refresh()
        self._probe.set_known_upstream(upstream)

    def _on_members(self, members: list[fleet.Member]) -> None:
        self._peers.set_members(members)
        self._shares.set_members(member.daemon_id for member in members)
        self._budget.set_member_count(len(members))

    def _on_registered(self, was_member: bool) -> None:
        """Begin to spend once every daemon must know of this one.

        A daemon that was a member before it started held the same part, and
        its former process has ended; a fleet that starts for the first time
        has spent nothing.
        """
        at = self._clock.monotonic()
        if not was_member and not self.settings.is_first_start:
            at += MEMBERS_AGE_S
        self._shares.spend_from(at)

    def _on_update(self) -> None:
        self._peers.announce()

    def _on_serving(self, is_serving: bool) -> None:
        self._peers.set_serving(is_serving)

    def _on_crash(
        self, upstream: fleet.UpstreamStart, suspects: list[crash.Suspect]
    ) -> None:
        self._crash_exchange.report(upstream, suspects)
        self._peers.tell_crashes()

    def _on_crashes_loaded(self, records: list[crash.CrashRecord]) -> None:
        self._crash_exchange.load(records)

    def _lend(self, message: frames.Borrow) -> frames.Lend:
        tokens = 0.0
        if self._knowledge.may_spend_share(MEMBERS_AGE_S):
            tokens = self._shares.lend(
                ids.Workspace(message.workspace),
                message.tokens,
            )
        return frames.Lend(
            workspace=message.workspace,
            tokens=tokens,
        )

    def _set_gauges(self) -> None:
        metrics = self._metrics
        metrics.gauge('open_requests', self._callers.active_count)
        metrics.gauge('upstream_running', len(self._upstream.running))
        metrics.gauge('upstream_load', self._upstream.load)
        metrics.gauge('upstream_connects', self._pool.connects)
        metrics.gauge('request_bytes_held', self._entry.held.count)
        metrics.gauge('answer_bytes_held', self._pool.held.count)
        metrics.gauge('peers_reachable', self._peers.open_count)
        metrics.gauge('peers_accepted', self._peers.accepted_count)
        metrics.gauge('store_calls', self._store.calls)
        metrics.gauge('rules_version', self._knowledge.rules_version)
        metrics.gauge('rules_age_seconds', self._knowledge.rules_age_s)


async def _async_main(settings: settings_module.PlatformSettings) -> None:
    await Daemon(settings).async_run()


def run(settings: settings_module.PlatformSettings) -> None:
    """Run the daemon until the signal to end."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_async_main(settings))
