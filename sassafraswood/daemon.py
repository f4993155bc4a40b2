"""Composition root of the daemon: builds its parts and runs them."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random as random_module
import secrets
import signal
import time
import traceback
from typing import Any

import anyio
import anyio.abc

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import admission
from sassafraswood.coordination import authorization
from sassafraswood.coordination import baseline
from sassafraswood.coordination import call_tokens
from sassafraswood.coordination import callee_limit
from sassafraswood.coordination import configuration
from sassafraswood.coordination import first_daemon
from sassafraswood.coordination import freshness
from sassafraswood.coordination import hand_over
from sassafraswood.coordination import idempotency
from sassafraswood.coordination import idempotent_runs
from sassafraswood.coordination import log_follower
from sassafraswood.coordination import membership
from sassafraswood.coordination import partition_lease
from sassafraswood.coordination import publishing
from sassafraswood.coordination import quarantine
from sassafraswood.coordination import quota_client
from sassafraswood.coordination import quota_owner
from sassafraswood.coordination import retry
from sassafraswood.coordination import routing
from sassafraswood.coordination import serving
from sassafraswood.coordination import snapshot_duty
from sassafraswood.coordination import upstream_lifecycle
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood import process_signals
from sassafraswood.protocol import codec
from sassafraswood.protocol import documents
from sassafraswood.protocol import settings as settings_module
from sassafraswood.state import partitions
from sassafraswood.transport import call_port
from sassafraswood.transport import caller_app
from sassafraswood.transport import events
from sassafraswood.transport import http_server
from sassafraswood.transport import local_app
from sassafraswood.transport import log_client
from sassafraswood.transport import metrics
from sassafraswood.transport import peer_dispatch
from sassafraswood.transport import peer_mesh
from sassafraswood.transport import status
from sassafraswood.transport import traffic
from sassafraswood.transport import upstream_client


class _LoopOutbox:
    """Sends messages to peers, and to this daemon itself.

    A message to this daemon is handled in a later iteration of the event
    loop, as one that comes from a peer would be.
    """

    def __init__(self, own: ids.DaemonId, mesh: peer_mesh.PeerMesh) -> None:
        self._own = own
        self._mesh = mesh
        self._handle_local: Callable[[messages.Message], None] | None = None

    def set_local_handler(
        self, handle: Callable[[messages.Message], None]
    ) -> None:
        self._handle_local = handle

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        if daemon_id != self._own:
            self._mesh.send(daemon_id, message)
            return
        if self._handle_local is not None:
            asyncio.get_running_loop().call_soon(self._handle_local, message)


class Daemon:
    """A daemon: its state, connections, coordination and HTTP servers."""

    def __init__(
        self,
        settings: settings_module.Settings,
        signals: process_signals.ProcessSignals,
    ) -> None:
        """Build all parts from the settings, without starting them.

        Args:
            settings: Settings of this daemon.
            signals: Signals of the process, whose handlers are installed.
        """
        self._settings = settings
        self._signals = signals
        self._clock = clock_module.SystemClock()
        self._is_baseline = settings.control is enums.ControlMode.BASELINE
        random = random_module.Random(secrets.randbits(64))
        statsd = settings.statsd
        self._metrics = metrics.Metrics(
            address=statsd.address if statsd else None,
            prefix=statsd.prefix if statsd else 'sassafraswood',
        )
        self._traffic = traffic.Traffic()
        count = self._metrics.count
        self._own = records.Holder(
            daemon_id=settings.daemon_id,
            incarnation=ids.Incarnation(time.time_ns() // 1000),
        )
        self._build_state(random)
        self._build_transports(count)
        self._build_coordination(random, count)
        self._build_calls(random, count)
        self._build_servers(count)
        self._is_stopping = False
        self._has_read_log = False

    def _build_state(self, random: random_module.Random) -> None:
        del random
        self._configuration = configuration.Configuration(
            decode=codec.decode_record,
            check_document=documents.check_document,
            partitions=partitions.PartitionTable(),
        )
        self._freshness = freshness.Freshness(
            clock=self._clock, own_domain=self._settings.failure_domain
        )
        self._applied_progress = publishing.AppliedProgress()

    def _build_transports(self, count: Callable[[str], None]) -> None:
        settings = self._settings
        self._log_client = log_client.LogClient(
            url=settings.log.url,
            stream=settings.log.stream,
            traffic=self._traffic,
        )
        self._mesh = peer_mesh.PeerMesh(
            clock=self._clock,
            own=self._own,
            keys=peer_mesh.CurveKeys(
                public=settings.curve_public_key.reveal().encode(),
                secret=settings.curve_secret_key.reveal().encode(),
            ),
            bind_address=settings.peer_listen,
            address_of=self._find_peer_address,
            count=count,
            traffic=self._traffic,
        )
        self._outbox = _LoopOutbox(self._own.daemon_id, self._mesh)
        self._upstream_client = upstream_client.UpstreamClient(
            clock=self._clock
        )

    def _build_coordination(
        self, random: random_module.Random, count: Callable[[str], None]
    ) -> None:
        self._membership = membership.Membership(
            clock=self._clock,
            random=random,
            outbox=self._outbox,
            own=self._build_own_member(),
            log_state=self._get_log_state,
        )
        self._appender = log_follower.LogAppender(
            log=self._log_client,
            encode=codec.encode_record,
            on_failed=self._on_append_failed,
            on_appended=self._on_appended,
            count=count,
        )
        self._follower = log_follower.LogFollower(
            clock=self._clock,
            log=self._log_client,
            configuration=self._configuration,
            decode=codec.decode_record,
            on_change=self._on_record,
            on_tail_read=self._on_log_read,
            on_records_missing=self._ask_peers_for_records,
            on_readable_change=self._on_log_state,
        )
        self._leases = partition_lease.PartitionLeases(
            clock=self._clock,
            random=random,
            outbox=self._outbox,
            own=self._own,
            configuration=self._configuration,
            membership=self._membership,
            append=self._appender.append,
        )
        self._idempotency = idempotency.IdempotencyOwner(
            clock=self._clock, leases=self._leases
        )
        self._quota_owner = quota_owner.QuotaOwner(
            clock=self._clock,
            leases=self._leases,
            configuration=self._configuration,
        )
        self._hand_overs = hand_over.HandOvers(
            clock=self._clock,
            outbox=self._outbox,
            leases=self._leases,
            idempotency=self._idempotency,
            quota=self._quota_owner,
            count=count,
        )
        self._quota = self._new_quota(random)
        self._snapshots = snapshot_duty.SnapshotDuty(
            clock=self._clock,
            own=self._own.daemon_id,
            source=self._configuration,
            members=self._membership,
            append=self._appender.append,
        )
        self._publisher = publishing.Publisher(
            clock=self._clock,
            log=self._log_client,
            configuration=self._configuration,
            encode=codec.encode_record,
            count=count,
        )

    def _build_calls(
        self, random: random_module.Random, count: Callable[[str], None]
    ) -> None:
        self._admission = self._new_admission(random)
        self._lifecycle = upstream_lifecycle.UpstreamLifecycle(
            clock=self._clock,
            admission=self._admission,
            set_address=self._upstream_client.set_address,
            on_change=self._on_upstream_change,
            on_crash=self._on_crash,
        )
        self._quarantine = quarantine.Quarantine(
            clock=self._clock, service=self._settings.service
        )
        self._tokens = call_tokens.CallTokens(
            clock=self._clock, random=secrets.SystemRandom()
        )
        keys = authorization.Authorization(
            keys=self._configuration, freshness=self._freshness
        )
        self._serving = serving.Serving(
            clock=self._clock,
            admission=self._admission,
            quarantine=self._quarantine,
            tokens=self._tokens,
            authorization=keys,
            configuration=self._configuration,
            upstream=self._upstream_client,
            on_unreachable=self._lifecycle.note_crash,
            on_isolated_success=self._on_lone_success,
        )
        self._router = routing.Router(
            clock=self._clock,
            random=random,
            own_domain=self._settings.failure_domain,
            own_region=self._settings.region,
            membership=self._membership,
        )
        self._runs = idempotent_runs.IdempotentRuns(
            owner=self._idempotency, partitions=self._configuration
        )
        self._call_port = call_port.CallPort(
            own=self._own.daemon_id, serving=self._serving, mesh=self._mesh
        )
        self._calls = first_daemon.FirstDaemon(
            clock=self._clock,
            random=random,
            authorization=keys,
            quota=self._quota,
            quarantine=self._quarantine,
            router=self._router,
            retries=self._new_retries(random),
            callees=self._new_callees(),
            configuration=self._configuration,
            membership=self._membership,
            runs=self._runs,
            peers=self._call_port,
            count=count,
        )
        self._call_port.set_first_daemon(self._calls)

    def _new_quota(
        self, random: random_module.Random
    ) -> quota_client.QuotaClient:
        if self._is_baseline:
            return baseline.LocalQuota(
                clock=self._clock, documents=self._configuration.document
            )
        return quota_client.QuotaClient(
            clock=self._clock,
            random=random,
            outbox=self._outbox,
            own=self._own,
            configuration=self._configuration,
        )

    def _new_admission(
        self, random: random_module.Random
    ) -> admission.Admission:
        if self._is_baseline:
            return baseline.UnboundedAdmission(
                clock=self._clock, random=random
            )
        return admission.Admission(clock=self._clock, random=random)

    def _new_callees(self) -> callee_limit.CalleeLimits:
        if self._is_baseline:
            return baseline.DocumentCalleeLimits(clock=self._clock)
        return callee_limit.CalleeLimits(clock=self._clock)

    def _new_retries(self, random: random_module.Random) -> retry.RetryPolicy:
        if self._is_baseline:
            return baseline.PerHopRetryPolicy(clock=self._clock, random=random)
        return retry.RetryPolicy(clock=self._clock, random=random)

    def _build_servers(self, count: Callable[[str], None]) -> None:
        settings = self._settings
        self._caller_app = caller_app.CallerApp(
            clock=self._clock,
            documents=self._configuration,
            calls=self._calls,
            tokens=self._tokens,
            count=count,
            max_calls=settings.limits.max_calls,
            max_header_bytes=settings.limits.max_header_bytes,
        )
        local = local_app.LocalApp(
            callers=self._caller_app,
            lifecycle=self._lifecycle,
            publisher=self._publisher,
            operator_token=settings.operator_token.reveal(),
            next_offset=lambda: self._configuration.next_offset,
            status=self._build_status,
            fleet=self._build_fleet_status,
            behind=self._find_daemons_behind,
            reclaim=self._reclaim_partition,
        )
        self._caller_server = http_server.HttpServer(
            address=settings.caller_listen,
            application=self._caller_app.async_serve,
            count=count,
            max_connections=settings.limits.max_connections,
        )
        self._local_server = http_server.HttpServer(
            address=settings.local_listen,
            application=local.async_serve,
            count=count,
            max_connections=settings.limits.max_connections,
        )

    async def async_run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        if self._signals.stop_signal:
            events.log_change('stopped_at_start')
            return
        async with anyio.create_task_group() as tasks:
            self._runs.start(tasks)
            dispatch = self._build_dispatch(tasks)
            self._outbox.set_local_handler(dispatch.on_own)
            self._mesh.start(
                on_request=dispatch.on_request,
                on_reply=dispatch.on_reply,
                on_silent=dispatch.on_silent,
            )
            self._start_tasks(tasks)
            events.log_change(
                'daemon_started',
                daemon_id=self._own.daemon_id,
                incarnation=self._own.incarnation,
            )
            await self._async_wait_for_signal()
            await self._async_stop()
            tasks.cancel_scope.cancel()
        self._mesh.close()
        self._metrics.flush()
        events.log_change('daemon_stopped', daemon_id=self._own.daemon_id)

    def _start_tasks(self, tasks: anyio.abc.TaskGroup) -> None:
        tasks.start_soon(self._caller_server.async_serve)
        tasks.start_soon(self._local_server.async_serve)
        tasks.start_soon(self._follower.async_run)
        tasks.start_soon(self._appender.async_run)
        tasks.start_soon(self._caller_app.async_watch_callers)
        tasks.start_soon(_async_repeat, 0.25, self._mesh.tick)
        tasks.start_soon(_async_repeat, 0.2, self._tick_partitions)
        tasks.start_soon(_async_repeat, 0.1, self._hand_overs.tick)
        tasks.start_soon(_async_repeat, 0.1, self._probe_peers)
        tasks.start_soon(self._async_tick_admission_and_quota)
        tasks.start_soon(_async_repeat, 1.0, self._tick_every_second)
        tasks.start_soon(self._async_maintain_upstream)
        tasks.start_soon(_async_repeat, 10.0, self._snapshots.tick)

    def _build_dispatch(
        self, tasks: anyio.abc.TaskGroup
    ) -> peer_dispatch.PeerDispatch:
        return peer_dispatch.PeerDispatch(
            parts=peer_dispatch.Parts(
                own=self._own,
                clock=self._clock,
                outbox=self._outbox,
                calls=self._call_port,
                serving=self._serving,
                router=self._router,
                membership=self._membership,
                freshness=self._freshness,
                configuration=self._configuration,
                follower=self._follower,
                leases=self._leases,
                quota_owner=self._quota_owner,
                quota_client=self._quota,
                idempotency=self._idempotency,
                quarantine=self._quarantine,
                applied_progress=self._applied_progress,
                on_hand_over_done=self._hand_overs.on_done,
                count=self._metrics.count,
            ),
            tasks=tasks,
        )

    async def _async_wait_for_signal(self) -> None:
        loop = asyncio.get_running_loop()
        received = asyncio.Event()
        self._signals.set_callback(
            lambda: loop.call_soon_threadsafe(received.set)
        )
        if not self._signals.stop_signal:
            await received.wait()
        # Later signals change nothing, and the loop may be closed by then.
        self._signals.set_callback(None)
        events.log_change(
            'signal_received',
            signal=signal.Signals(self._signals.stop_signal).name,
        )

    async def _async_stop(self) -> None:
        """Drain and leave the fleet.

        Announces the leave, serves requests while the notice spreads, refuses
        new calls, waits for those in flight and for the release of the
        partitions, then stops the servers and records the leave.
        """
        self._is_stopping = True
        member = self._membership.update_own(status=enums.MemberStatus.LEAVING)
        self._appender.append(records.Announce(member=member))
        self._leases.release_all()
        with anyio.move_on_after(self._settings.limits.drain_timeout_s):
            # Callers and peers that have not yet received the notice are
            # still served.
            await anyio.sleep(const.LEAVE_NOTICE_PERIOD_S)
            self._calls.stop()
            while self._has_calls_in_flight():
                await anyio.sleep(0.02)
            with anyio.move_on_after(const.HAND_OVER_TIMEOUT_S * 2):
                while not self._leases.is_released:
                    await anyio.sleep(0.05)
        self._serving.stop()
        self._caller_server.stop()
        self._local_server.stop()
        leave = records.Leave(
            daemon_id=self._own.daemon_id, incarnation=self._own.incarnation
        )
        with anyio.move_on_after(const.LOG_TIMEOUT_S):
            await self._appender.async_append(leave)
        self._membership.update_own(status=enums.MemberStatus.LEFT)
        await anyio.sleep(0.1)
        with anyio.move_on_after(const.SERVER_STOP_S):
            await self._caller_server.async_wait_ended()
            await self._local_server.async_wait_ended()

    def _has_calls_in_flight(self) -> bool:
        return bool(
            self._caller_app.in_flight
            or self._serving.in_flight
            or self._runs.in_flight
        )

    # Periodic work.

    async def _async_tick_admission_and_quota(self) -> None:
        quota_ticked_at = self._clock.monotonic()
        while True:
            if self._serving.in_flight:
                await anyio.sleep(const.ADMISSION_TICK_S)
                self._admission.tick()
            elif self._quota.is_active:
                await anyio.sleep(const.QUOTA_TICK_S)
            else:
                # Frequent ticks would exceed the processor budget of an idle
                # daemon.
                await anyio.sleep(const.IDLE_TICK_S)
            now = self._clock.monotonic()
            is_due = now - quota_ticked_at >= const.QUOTA_TICK_S
            if is_due and self._quota.is_active:
                quota_ticked_at = now
                self._quota.tick()

    def _tick_every_second(self) -> None:
        self._serving.tick()
        self._idempotency.tick()
        self._lifecycle.tick()
        self._freshness.set_known_members(self._membership.members())
        self._membership.tick()
        self._contact_seeds()
        self._announce_if_needed()
        self._metrics.flush()

    async def _async_maintain_upstream(self) -> None:
        while True:
            await anyio.sleep(1.0)
            self._upstream_client.close_expired_connections()
            if self._lifecycle.status is enums.UpstreamStatus.CRASHED:
                is_accepting = await self._upstream_client.async_probe()
                self._lifecycle.record_probe_result(is_accepting)

    def _tick_partitions(self) -> None:
        self._leases.tick()
        for partition in range(const.PARTITIONS_PER_SERVICE):
            self._quota_owner.refresh(self._settings.service, partition)

    def _probe_peers(self) -> None:
        for daemon_id in self._router.take_due_probes():
            self._mesh.probe(daemon_id)

    def _contact_seeds(self) -> None:
        """Send the own member entry to configured peers that are not known.

        A configured peer counts as known if a member that is not silent has
        its address.
        """
        known = {
            member.peer_address
            for member in self._membership.members()
            if not self._membership.is_silent(member.daemon_id)
        }
        own = self._settings.advertised_peer_address
        for peer in self._settings.peers:
            if peer.address not in known and peer.address != own:
                self._mesh.send_to_address(
                    peer.address,
                    messages.MembersDelta(
                        members=[self._membership.own], is_full=True
                    ),
                )

    def _announce_if_needed(self) -> None:
        """Append the own member entry to the log until the log contains it."""
        if self._is_stopping:
            return
        own = self._membership.own
        for member in self._configuration.members():
            if member.daemon_id != own.daemon_id:
                continue
            seen = (member.incarnation, member.version)
            if seen >= (own.incarnation, own.version):
                return
        if self._follower.is_readable:
            self._appender.append(records.Announce(member=own))

    # Event handlers.

    def _on_record(self, record: records.Record) -> None:
        if isinstance(record, records.Announce):
            self._membership.merge(
                [record.member], age_s=self._get_log_member_age_s()
            )
        elif isinstance(record, records.Leave):
            self._membership.remove(record.daemon_id, record.incarnation)
        elif isinstance(record, records.Snapshot):
            self._membership.merge(
                record.members, age_s=self._get_log_member_age_s()
            )
            self._merge_quarantines(record.quarantines)
        elif isinstance(record, records.QuarantineFingerprint):
            self._merge_quarantines([record])
        elif isinstance(record, records.Publish):
            self._log_document_in_force(record.service)

    def _get_log_member_age_s(self) -> float:
        """Return the age to assume for members in the log, in seconds.

        Until the log has been read to its tail, its members may have ended
        long ago. They are given an age that leaves one minute until they
        expire; gossip confirms those that still run within that time.
        """
        if self._has_read_log:
            return 0.0
        return const.MEMBER_RETENTION_S - 60.0

    def _merge_quarantines(
        self, quarantined: list[records.QuarantineFingerprint]
    ) -> None:
        self._quarantine.merge(
            messages.FingerprintReport(
                suspects={}, cleared=[], quarantined=quarantined
            )
        )

    def _get_log_state(self) -> membership.LogState:
        return membership.LogState(
            next_offset=self._configuration.next_offset,
            log_read_age_s=self._freshness.log_read_age(),
            fingerprints_hash=self._quarantine.table_hash(),
        )

    def _log_document_in_force(self, service: ids.ServiceName) -> None:
        entry = self._configuration.document(service)
        if entry is not None:
            events.log_change(
                'document_in_force',
                service=service,
                revision=entry.revision,
                offset=entry.offset,
            )

    def _on_log_read(self, started_at: float) -> None:
        self._has_read_log = True
        self._freshness.note_log_read(started_at)
        self._leases.note_log_read(started_at)

    def _on_log_state(self, is_readable: bool) -> None:
        events.log_change('log_state', readable=is_readable)

    def _on_appended(self, record: records.Record, offset: ids.Offset) -> None:
        if isinstance(
            record, records.ClaimPartition | records.TransferPartition
        ):
            entry = partitions.proposed_entry(record, offset)
            self._leases.note_appended(entry)

    def _on_append_failed(self, record: records.Record) -> None:
        self._leases.note_append_failed(record)

    def _on_upstream_change(
        self, upstream_status: enums.UpstreamStatus, slots: int
    ) -> None:
        events.log_change(
            'upstream_changed', status=upstream_status.value, slots=slots
        )
        member = self._membership.update_own(
            upstream_status=upstream_status, slots=slots
        )
        self._appender.append(records.Announce(member=member))

    def _on_crash(self) -> None:
        self._metrics.count('upstream.crashes')
        suspects = self._serving.take_crash_suspects()
        if not suspects:
            return
        report = self._quarantine.note_crash(suspects)
        self._send_fingerprints(report)
        for record in report.quarantined:
            events.log_change(
                'request_quarantined', fingerprint=record.fingerprint
            )
            self._appender.append(record)

    def _on_lone_success(self, fingerprint: ids.Fingerprint) -> None:
        report = self._quarantine.note_lone_success(fingerprint)
        self._send_fingerprints(report)

    def _send_fingerprints(self, report: messages.FingerprintReport) -> None:
        for member in self._membership.members(self._settings.service):
            if member.daemon_id != self._own.daemon_id:
                self._outbox.send(member.daemon_id, report)

    def _ask_peers_for_records(self) -> None:
        request = messages.RecordsRequest(
            from_offset=self._configuration.next_offset
        )
        for member in self._membership.members()[:3]:
            if member.daemon_id != self._own.daemon_id:
                self._outbox.send(member.daemon_id, request)

    # Operator interface.

    def _build_status(self) -> status.DaemonStatus:
        return status.daemon_status(
            own=self._membership.own,
            configuration=self._configuration,
            freshness=self._freshness,
            leases=self._leases,
            admission=self._admission,
            counts=self._metrics.counts,
            traffic=self._traffic.counts,
            is_log_readable=self._follower.is_readable,
        )

    def _build_fleet_status(self) -> status.FleetStatus:
        return status.fleet_status(
            membership=self._membership, configuration=self._configuration
        )

    def _find_daemons_behind(self, offset: int) -> list[ids.DaemonId]:
        members = [
            member
            for member in self._membership.members()
            if member.status is enums.MemberStatus.ACTIVE
            and member.daemon_id != self._own.daemon_id
        ]
        behind = self._applied_progress.missing(ids.Offset(offset), members)
        for daemon_id in behind:
            self._outbox.send(daemon_id, self._membership.digest())
        return behind

    def _reclaim_partition(
        self, service: ids.ServiceName, partition: int
    ) -> str | None:
        entry = self._configuration.partition(service, partition)
        if service != self._settings.service:
            return (
                f'the partition can only be reclaimed by a daemon of {service}'
            )
        if entry is None:
            return 'the partition has no owner that could be replaced'
        self._appender.append(
            records.ClaimPartition(
                service=service,
                partition=partition,
                replaces=entry.term,
                owner=self._own,
                guardian=None,
                wait_s=const.LEASE_S + const.LEASE_MARGIN_S,
                reclaimed_by_operator=True,
            )
        )
        return None

    # Helpers.

    def _build_own_member(self) -> records.Member:
        settings = self._settings
        return records.Member(
            daemon_id=settings.daemon_id,
            incarnation=self._own.incarnation,
            version=1,
            service=settings.service,
            failure_domain=settings.failure_domain,
            region=settings.region,
            peer_address=settings.advertised_peer_address,
            http_address=settings.advertised_http_address,
            status=enums.MemberStatus.ACTIVE,
            upstream_status=enums.UpstreamStatus.ABSENT,
            slots=0,
        )

    def _find_peer_address(self, daemon_id: ids.DaemonId) -> str | None:
        member = self._membership.get(daemon_id)
        return member.peer_address if member is not None else None


async def _async_repeat(interval_s: float, tick: Callable[[], Any]) -> None:
    while True:
        await anyio.sleep(interval_s)
        try:
            tick()
        except Exception:
            # The error would end all tasks, and the process with them.
            events.log_change('tick_failed', error=traceback.format_exc())


def run(
    settings: settings_module.Settings,
    signals: process_signals.ProcessSignals,
) -> None:
    """Run a daemon until it receives SIGTERM or SIGINT.

    Args:
        settings: Settings of the daemon.
        signals: Signals of the process, whose handlers are installed.
    """
    events.start_logging()
    daemon = Daemon(settings, signals)
    main: Callable[[], Awaitable[None]] = daemon.async_run
    anyio.run(main, backend_options={'use_uvloop': True})
