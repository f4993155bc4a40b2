"""Sends the state of partitions to their next owners."""

from collections.abc import Callable

import msgspec

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import idempotency as idempotency_module
from sassafraswood.coordination import partition_lease
from sassafraswood.coordination import ports
from sassafraswood.coordination import quota_owner
from sassafraswood.models import ids
from sassafraswood.models import messages

_PartitionKey = tuple[ids.ServiceName, int]


class HandOvers:
    """Sends the state of planned hand-overs until the target confirms it.

    Sending waits for running idempotency keys, because the next owner treats
    the outcome of an unfinished run as unknown. The first part also has the
    limits of the partition.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        outbox: ports.Outbox,
        leases: partition_lease.PartitionLeases,
        idempotency: idempotency_module.IdempotencyOwner,
        quota: quota_owner.QuotaOwner,
        count: Callable[[str], None],
    ) -> None:
        """Initialize without hand-overs.

        Args:
            clock: Monotonic time.
            outbox: Sends messages to peers.
            leases: Leases that plan and finish hand-overs.
            idempotency: Table whose state is sent.
            quota: Limits that are sent.
            count: Increments a counter.
        """
        self._clock = clock
        self._outbox = outbox
        self._leases = leases
        self._idempotency = idempotency
        self._quota = quota
        self._count = count
        self._last_sent_at: dict[_PartitionKey, float] = {}

    def tick(self) -> None:
        """Send state that is due and finish hand-overs that timed out.

        Called every 0.1 s.
        """
        now = self._clock.monotonic()
        plans = self._leases.planned_hand_overs()
        keys = {(plan.entry.service, plan.entry.partition) for plan in plans}
        self._last_sent_at = {
            key: sent
            for key, sent in self._last_sent_at.items()
            if key in keys
        }
        for plan in plans:
            self._advance(plan, now)

    def on_done(self, message: messages.HandOverDone) -> None:
        """Handle the confirmation of a part by the target.

        The confirmation of the last part finishes the hand-over.
        """
        key = (message.service, message.partition)
        if key not in self._last_sent_at:
            return
        parts = self._idempotency.export(*key)
        if not parts or parts[-1].part != message.part:
            return
        if parts[-1].term == message.term:
            self._count('partition.handed_over')
            self._leases.finish_hand_over(*key, with_state=True)

    def _advance(self, plan: partition_lease.HandOverPlan, now: float) -> None:
        key = (plan.entry.service, plan.entry.partition)
        age_s = now - plan.started_at
        if age_s >= const.HAND_OVER_TIMEOUT_S:
            self._count('partition.handed_over_without_state')
            self._leases.finish_hand_over(*key, with_state=False)
            return
        is_running = self._idempotency.running(*key) > 0
        if is_running and age_s < const.HAND_OVER_TIMEOUT_S / 2:
            return
        sent_at = self._last_sent_at.get(key)
        if sent_at is not None and now - sent_at < const.HAND_OVER_RESEND_S:
            return
        self._last_sent_at[key] = now
        for part in self._idempotency.export(*key):
            if part.part == 0:
                part = msgspec.structs.replace(
                    part, quota=self._quota.export(plan.entry)
                )
            self._outbox.send(plan.target.daemon_id, part)
