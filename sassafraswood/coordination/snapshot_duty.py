"""Decides when this daemon appends a snapshot of the log's state."""

from collections.abc import Callable
import typing

import xxhash

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records

# One daemon may fail while it has the duty; a second snapshot does no harm.
_DUTY_HOLDERS = 2


class SnapshotSource(typing.Protocol):
    """The fold of the log."""

    @property
    def next_offset(self) -> ids.Offset:
        """Return the first offset that was not folded."""

    def snapshot(self) -> records.Snapshot:
        """Return the state as of the next offset."""


class MemberList(typing.Protocol):
    """The known members."""

    def members(
        self, service: ids.ServiceName | None = None
    ) -> list[records.Member]:
        """Return the members."""


class SnapshotDuty:
    """Appends snapshots before the log drops the records behind them.

    The duty falls to the members with the lowest hash of (daemon id, current
    hour), so that it moves away from a daemon that cannot do it.
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
        """Take the fold and the log."""
        self._clock = clock
        self._own = own
        self._source = source
        self._members = members
        self._append = append
        self._appended_at = clock.monotonic()
        self._appended_offset = 0

    def tick(self) -> None:
        """Append a snapshot if it is due here, every few seconds."""
        if not self._is_due() or not self._is_on_duty():
            return
        self._appended_at = self._clock.monotonic()
        self._appended_offset = self._source.next_offset
        self._append(self._source.snapshot())

    def _is_due(self) -> bool:
        new_records = self._source.next_offset - self._appended_offset
        if new_records >= const.SNAPSHOT_RECORDS:
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
        return self._own in ranked[:_DUTY_HOLDERS]
