"""Dispatch of messages from peers to the parts of the daemon."""

from collections.abc import Callable
import dataclasses
import functools

import anyio
import anyio.abc

from sassafraswood import clock as clock_module
from sassafraswood.coordination import configuration as configuration_module
from sassafraswood.coordination import freshness as freshness_module
from sassafraswood.coordination import idempotency
from sassafraswood.coordination import log_follower
from sassafraswood.coordination import membership as membership_module
from sassafraswood.coordination import partition_lease
from sassafraswood.coordination import ports
from sassafraswood.coordination import publishing
from sassafraswood.coordination import quarantine as quarantine_module
from sassafraswood.coordination import quota_client
from sassafraswood.coordination import quota_owner
from sassafraswood.coordination import routing
from sassafraswood.coordination import serving as serving_module
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.transport import call_port
from sassafraswood.transport import peer_mesh


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parts:
    """Parts of the daemon that handle messages of peers."""

    own: records.Holder
    clock: clock_module.Clock
    outbox: ports.Outbox
    calls: call_port.CallPort
    serving: serving_module.Serving
    router: routing.Router
    membership: membership_module.Membership
    freshness: freshness_module.Freshness
    configuration: configuration_module.Configuration
    follower: log_follower.LogFollower
    leases: partition_lease.PartitionLeases
    quota_owner: quota_owner.QuotaOwner
    quota_client: quota_client.QuotaClient
    idempotency: idempotency.IdempotencyOwner
    quarantine: quarantine_module.Quarantine
    applied_progress: publishing.AppliedProgress
    on_hand_over_done: Callable[[messages.HandOverDone], None]
    count: Callable[[str], None]


class PeerDispatch:
    """Passes each message to the part that handles its type."""

    def __init__(self, *, parts: Parts, tasks: anyio.abc.TaskGroup) -> None:
        """Register a handler for each type of message.

        Args:
            parts: Parts that handle the messages.
            tasks: Task group in which calls of peers run.
        """
        self._parts = parts
        self._tasks = tasks
        self._owner_call_scopes: dict[ids.CallId, anyio.CancelScope] = {}
        self.handle = functools.singledispatch(self._count_unexpected)
        self.handle.register(messages.Ping, self._on_ping)
        self.handle.register(messages.Pong, self._on_pong)
        self.handle.register(messages.RunCall, self._on_run_call)
        self.handle.register(messages.CancelCall, self._on_cancel_call)
        self.handle.register(messages.QuotaRequest, self._on_quota_request)
        self.handle.register(messages.QuotaGrant, self._on_quota_grant)
        self.handle.register(messages.GuardRequest, self._on_guard_request)
        self.handle.register(messages.GuardPromise, self._on_guard_promise)
        self.handle.register(messages.HandOver, self._on_hand_over)
        self.handle.register(messages.HandOverDone, self._on_hand_over_done)
        self.handle.register(messages.Digest, self._on_digest)
        self.handle.register(messages.MembersDelta, self._on_members_delta)
        self.handle.register(messages.RecordsRequest, self._on_records_request)
        self.handle.register(messages.Records, self._on_records)
        self.handle.register(messages.FingerprintReport, self._on_fingerprints)
        self.handle.register(messages.Leaving, self._on_leaving)

    def on_request(
        self,
        message: messages.Message,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        """Handle a message that was received on the ROUTER socket."""
        self.handle(message, sender, reply)

    def on_reply(
        self, message: messages.Message, sender: ids.DaemonId
    ) -> None:
        """Handle a reply that is not the result of a call."""
        self.handle(message, sender, _discard_reply)

    def on_own(self, message: messages.Message) -> None:
        """Handle a message that this daemon sent to itself."""

        def reply(reply_message: messages.Message) -> None:
            self.handle(
                reply_message, self._parts.own.daemon_id, _discard_reply
            )

        self.handle(message, self._parts.own.daemon_id, reply)

    def on_silent(self, daemon_id: ids.DaemonId) -> None:
        """Mark a peer as silent after its connection became silent."""
        self._parts.membership.note_silent(daemon_id)

    def _count_unexpected(
        self,
        message: messages.Message,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del message, sender, reply
        self._parts.count('peer.unexpected')

    def _on_ping(
        self,
        message: messages.Ping,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        parts = self._parts
        parts.membership.record_contact(sender, message.incarnation)
        reply(
            messages.Pong(
                sequence=message.sequence,
                daemon_id=parts.own.daemon_id,
                incarnation=parts.own.incarnation,
                hint=parts.serving.hint(),
            )
        )

    def _on_pong(
        self,
        message: messages.Pong,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del reply
        parts = self._parts
        parts.membership.record_contact(sender, message.incarnation)
        if message.hint is not None:
            parts.router.note_hint(sender, message.hint)

    def _on_run_call(
        self,
        message: messages.RunCall,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del sender
        self._tasks.start_soon(self._async_run_call, message, reply)

    async def _async_run_call(
        self, message: messages.RunCall, reply: peer_mesh.Reply
    ) -> None:
        if not message.as_owner:
            reply(await self._parts.calls.async_run_locally(message))
            return
        call_id = message.context.call_id
        result: messages.RunResult | None = None
        with anyio.CancelScope() as scope:
            self._owner_call_scopes[call_id] = scope
            try:
                result = await self._parts.calls.async_run_locally(message)
            finally:
                del self._owner_call_scopes[call_id]
        if result is not None:
            reply(result)

    def _on_cancel_call(
        self,
        message: messages.CancelCall,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del sender
        owner_call_scope = self._owner_call_scopes.get(message.call_id)
        if owner_call_scope is not None:
            # The call for the idempotency key keeps running; only the wait
            # for its result is cancelled.
            owner_call_scope.cancel()
            state = enums.CancelState.CANCELLED_UNKNOWN
        else:
            state = self._parts.serving.cancel(message.call_id)
        reply(
            messages.CancelResult(
                call_id=message.call_id,
                incarnation=self._parts.own.incarnation,
                state=state,
            )
        )

    def _on_quota_request(
        self,
        message: messages.QuotaRequest,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del sender
        reply(self._parts.quota_owner.on_request(message))

    def _on_quota_grant(
        self,
        message: messages.QuotaGrant,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del reply
        self._parts.quota_client.on_grant(message, sender)

    def _on_guard_request(
        self,
        message: messages.GuardRequest,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del reply
        self._parts.leases.on_guard_request(message, sender)

    def _on_guard_promise(
        self,
        message: messages.GuardPromise,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del reply
        self._parts.leases.on_guard_promise(message, sender)

    def _on_hand_over(
        self,
        message: messages.HandOver,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del sender
        self._parts.quota_owner.accept(message)
        is_complete = self._parts.idempotency.accept(message)
        if is_complete or not message.last:
            reply(
                messages.HandOverDone(
                    service=message.service,
                    partition=message.partition,
                    term=message.term,
                    part=message.part,
                )
            )

    def _on_hand_over_done(
        self,
        message: messages.HandOverDone,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del sender, reply
        self._parts.on_hand_over_done(message)

    def _on_digest(
        self,
        message: messages.Digest,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del reply
        parts = self._parts
        parts.applied_progress.note(
            message.daemon_id, message.incarnation, message.next_offset
        )
        own_offset = parts.configuration.next_offset
        asked_at = parts.membership.on_digest(message)
        if asked_at is not None:
            parts.freshness.note_peer(
                sender,
                message.failure_domain,
                message.log_read_age_s,
                asked_at=asked_at,
                is_caught_up=own_offset >= message.next_offset,
            )
        if message.next_offset > own_offset:
            request = messages.RecordsRequest(from_offset=own_offset)
            parts.outbox.send(sender, request)
        if message.fingerprints_hash != parts.quarantine.table_hash():
            if not message.is_reply:
                parts.outbox.send(sender, parts.quarantine.report())

    def _on_members_delta(
        self,
        message: messages.MembersDelta,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del reply
        self._parts.membership.on_members_delta(message, sender)

    def _on_records_request(
        self,
        message: messages.RecordsRequest,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del sender
        entries = self._parts.configuration.entries_from(message.from_offset)
        if entries is not None:
            reply(messages.Records(entries=entries))
            return
        snapshot = self._parts.configuration.snapshot()
        reply(messages.Records(entries=[], snapshot=snapshot))

    def _on_records(
        self,
        message: messages.Records,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del sender, reply
        if message.snapshot is not None:
            self._parts.follower.apply_snapshot(message.snapshot)
        self._parts.follower.apply(message.entries)

    def _on_fingerprints(
        self,
        message: messages.FingerprintReport,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del sender, reply
        self._parts.quarantine.merge(message)

    def _on_leaving(
        self,
        message: messages.Leaving,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        del sender, reply
        self._parts.membership.on_leaving(message)


def _discard_reply(message: messages.Message) -> None:
    del message
