"""Decides when this daemon appends a snapshot of the applied log."""

from collections.abc import Callable
import typing

import xxhash

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records

# The second daemon covers a failure of the first; a duplicate snapshot is
# harmless.
_DUTY_DAEMON_COUNT = 2


class SnapshotSource(typing.Protocol):
    """The part of the applied log that snapshots use."""

    @property
    def next_offset(self) -> ids.Offset:
        """Return the first offset that is not applied yet."""

    def snapshot(self) -> records.Snapshot:
        """Return the state as of the next offset."""


class MemberList(typing.Protocol):
    """The part of Membership that snapshots use."""

    def members(
        self, service: ids.ServiceName | None = None
    ) -> list[records.Member]:
        """Return the known members, or those of a service."""


class SnapshotDuty:
    """Appends snapshots before the log removes the records they cover.

    The members with the lowest hashes of (daemon id, current hour) are on
    duty, so that the duty moves away from a daemon that fails to append.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        own: ids.DaemonId,
        source: SnapshotSource,
        members: MemberList,
        append: Callable[[records.Record], None],
    ) -> None:
        """Initialize without a snapshot.

        Args:
            clock: Monotonic and wall time.
            own: Id of this daemon.
            source: The applied log.
            members: The known members.
            append: Appends a record to the log.
        """
        self._clock = clock
        self._own = own
        self._source = source
        self._members = members
        self._append = append
        self._appended_at = clock.monotonic()
        self._appended_offset = 0

    def tick(self) -> None:
        """Append a snapshot if one is due and this daemon is on duty.

        Called every few seconds.
        """
        if not self._is_due() or not self._is_on_duty():
            return
        self._appended_at = self._clock.monotonic()
        self._appended_offset = self._source.next_offset
        self._append(self._source.snapshot())

    def _is_due(self) -> bool:
        new_records = self._source.next_offset - self._appended_offset
        if new_records >= const.RECORDS_PER_SNAPSHOT:
            return True
        age_s = self._clock.monotonic() - self._appended_at
        return new_records > 1 and age_s >= const.SNAPSHOT_INTERVAL_S

    def _is_on_duty(self) -> bool:
        hour = int(self._clock.wall() // 3600)
        candidates = {
            member.daemon_id
            for member in self._members.members()
            if member.status is enums.MemberStatus.ACTIVE
        }
        candidates.add(self._own)
        ranked = sorted(
            candidates,
            key=lambda daemon_id: xxhash.xxh64_intdigest(
                f'{daemon_id}/{hour}'.encode()
            ),
        )
        return self._own in ranked[:_DUTY_DAEMON_COUNT]
