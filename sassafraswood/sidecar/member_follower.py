"""Follows the member records of all daemons and renews the own record."""

from collections.abc import Callable, Iterable
import math
from typing import Final

from sassafraswood.coordination import store_era
from sassafraswood.coordination import store_knowledge
from sassafraswood import exceptions
from sassafraswood.models import fleet
from sassafraswood.platform import members as member_records
from sassafraswood.platform import store as store_module
from sassafraswood.protocol import frames
from sassafraswood.sidecar import store_reader

# Newest records kept so that peers receive only what they lack. A whole fleet
# of the planned size that starts at once writes this many.
MAX_HISTORY_RECORDS: Final = 1024
# Each daemon renews its record after this time; a fleet of the planned size
# then writes one record per second.
RENEWAL_INTERVAL_S: Final = 600.0
# A record that was not renewed for this time, three renewal intervals, belongs
# to a daemon that ended without deregistering.
RECORD_EXPIRY_S: Final = 1800.0


class MemberFollower(store_reader.StoreReader):
    """Keeps all member records, read from the store or received from peers."""

    def __init__(
        self,
        *,
        context: store_reader.ReaderContext,
        own: fleet.Member,
        knowledge: store_knowledge.StoreKnowledge,
        max_age_s: float,
        leader: store_reader.StoreReader | None = None,
        on_members: Callable[[list[fleet.Member]], None],
        on_registered: Callable[[bool], None],
        on_update: Callable[[], None],
    ) -> None:
        """Initialize the follower.

        Args:
            context: Dependencies that all readers of the store share.
            own: This daemon's record.
            knowledge: Keeps the end offset and age of the member records.
            max_age_s: Maximum age of the records, in seconds.
            leader: Reader that probes the store while it fails.
            on_members: Called with all members after a change.
            on_registered: Called each time this daemon becomes a member, with
                whether it was one without a break since before it started.
            on_update: Called after new records, to announce them to peers.
        """
        super().__init__('members', context, max_age_s, leader)
        self._own_member = own
        self._knowledge = knowledge
        self._on_members = on_members
        self._on_registered = on_registered
        self._on_update = on_update
        self._rows: dict[str, bytes] = {}
        self._published_rows: dict[str, bytes] = {}
        # When each record was last written, as seen by this daemon, in
        # seconds of monotonic time.
        self._written_at: dict[str, float] = {}
        self._history: list[tuple[str, bytes]] = []
        # Deleted records, with when and in which era of the store.
        self._deleted: dict[str, tuple[float, int, bytes]] = {}
        self._is_registered = False
        # Whether peers may not know this daemon as a member yet.
        self._is_new_member = False

    def document(self, start: int) -> frames.MembersDocument:
        """Return the records from an offset, or all if some are not kept.

        Args:
            start: Offset of the first record that the peer lacks.
        """
        end = self._knowledge.members_end_offset
        missing = end - start
        if start < 0 or not 0 <= missing <= len(self._history):
            return frames.MembersDocument(
                start=-1, end=end, rows=list(self._rows.items())
            )
        rows = self._history[len(self._history) - missing :]
        return frames.MembersDocument(start=start, end=end, rows=rows)

    def take(self, document: frames.MembersDocument) -> None:
        """Apply records received from a peer unless there is a gap."""
        known = self._knowledge.members_end_offset
        if document.end <= known or document.start > known:
            return
        if document.start < 0:
            self._replace_rows(document.rows)
        else:
            self._add_rows(document.rows[known - document.start :])
        self._knowledge.note_members(document.end, -math.inf)
        if self._rows != self._published_rows:
            self._publish_members()
        self._on_update()

    async def async_deregister(self) -> None:
        """Delete the own record, since the VM leaves with its upstream.

        Raises:
            LogError: The record may not have been deleted.
        """
        self.stop()
        await self._async_write(self._own_member.daemon_id, b'')
        self._log.change('deregistered')

    @property
    def _must_read(self) -> bool:
        return not self._is_registered or self._is_renewal_due

    @property
    def _needs_first_record(self) -> bool:
        return False

    @property
    def _age_s(self) -> float:
        return self._knowledge.members_age_s

    @property
    def _is_renewal_due(self) -> bool:
        own_id = self._own_member.daemon_id
        age_s = self._clock.monotonic() - self._written_at.get(own_id, 0.0)
        return own_id not in self._rows or age_s > RENEWAL_INTERVAL_S

    def _reset_offset(self) -> None:
        self._knowledge.members_end_offset = -1

    async def _async_read(self, wait_s: float) -> bool:
        started_at = self._clock.monotonic()
        topic = member_records.TOPIC
        is_whole = (
            not self._is_registered or self._knowledge.members_end_offset < 0
        )
        if is_whole:
            page = await self._store.async_newest(topic)
            wait_s = 0.0
        else:
            page = await self._store.async_read(
                topic, self._knowledge.members_end_offset, wait_s
            )
        known = self._knowledge.members_end_offset
        if page.next_offset < known:
            return bool(page.records)
        rows = [(record.key, record.value) for record in page.records]
        if is_whole:
            self._replace_rows(rows)
            if self._own_member.daemon_id not in self._rows:
                self._note_deletion()
        else:
            # Peers may have sent some of these records meanwhile.
            self._add_rows(rows[len(rows) - (page.next_offset - known) :])
        as_of = started_at
        if not rows:
            as_of = self._known_until(started_at, wait_s)
        self._knowledge.note_members(page.next_offset, as_of)
        if not self._is_registered or self._rows != self._published_rows:
            self._publish_members()
        await self._async_maintain_records()
        if rows:
            self._on_update()
        return bool(rows)

    def _replace_rows(self, rows: Iterable[tuple[str, bytes]]) -> None:
        """Replace all records by the newest record of each member."""
        now = self._clock.monotonic()
        self._rows = dict(rows)
        self._written_at = {
            key: self._written_at.get(key, now) for key in self._rows
        }
        self._history = []

    def _add_rows(self, rows: list[tuple[str, bytes]]) -> None:
        """Add records that follow the known ones."""
        now = self._clock.monotonic()
        for key, value in rows:
            # The newest record is kept last, since it wins if two records
            # have the same address.
            former = self._rows.pop(key, b'')
            self._deleted.pop(key, None)
            if value:
                self._rows[key] = value
            elif former:
                era = store_era.get_era(self._knowledge.members_end_offset)
                self._deleted[key] = (now, era, former)
            self._written_at[key] = now
        own_id = self._own_member.daemon_id
        if own_id not in self._rows and any(key == own_id for key, _ in rows):
            self._note_deletion()
        self._history = [*self._history, *rows][-MAX_HISTORY_RECORDS:]

    def _note_deletion(self) -> None:
        """Stop being a member until the own record is written again.

        The store may apply the deletion by the former process of this daemon
        late. Other daemons then use its share of each limit.
        """
        if self._is_registered:
            self._log.change('record_deleted')
            self._is_registered = False
            self._is_new_member = True

    async def _async_maintain_records(self) -> None:
        """Write the own record if due; readers delete expired records."""
        now = self._clock.monotonic()
        own_id = self._own_member.daemon_id
        value = member_records.encode(self._own_member)
        is_known = self._rows.get(own_id) == value
        if own_id not in self._rows:
            # The records of a peer may have left it out without a deletion,
            # but this read would have returned it.
            self._note_deletion()
        if not is_known:
            # The write may succeed without a response.
            self._is_new_member = True
        if not is_known or self._is_renewal_due:
            await self._async_write(own_id, value)
            self._rows[own_id] = value
            self._written_at[own_id] = now
            self._log.change('registered', is_renewal=is_known)
        if not self._is_registered:
            self._is_registered = True
            self._publish_members()
            self._on_registered(not self._is_new_member)
        if not self._duty.is_reader:
            return
        for key in list(self._rows):
            if now - self._written_at.get(
                key, now
            ) > RECORD_EXPIRY_S or self._has_come_back(key, now):
                await self._async_write(key, b'')
                self._log.change('member_dropped', member=key)

    def _has_come_back(self, key: str, now: float) -> bool:
        """Return whether a record was deleted in an earlier era of the store.

        The daemon that deleted it has usually ended.
        """
        at, era, value = self._deleted.get(key, (-math.inf, 0, b''))
        return (
            now - at < store_era.MAX_COPY_AGE_S
            and self._rows[key] == value
            and era < store_era.get_era(self._knowledge.members_end_offset)
        )

    async def _async_write(self, key: str, value: bytes) -> None:
        await self._store.async_append(
            member_records.TOPIC,
            store_module.StoredRecord(key=key, value=value),
        )

    def _publish_members(self) -> None:
        """Pass the decoded members to the callback."""
        by_address: dict[tuple[str, int], fleet.Member] = {}
        for key, value in self._rows.items():
            try:
                member = member_records.decode(key, value)
                by_address[member.address] = member
            except exceptions.DecodeError as error:
                self._log.change('member_rejected', key=key, error=str(error))
        if self._is_registered:
            # Records received from a peer may not contain this daemon yet.
            by_address[self._own_member.address] = self._own_member
        elif self._is_new_member:
            # It spends no share before its registration is confirmed.
            by_address.pop(self._own_member.address, None)
        members = list(by_address.values())
        self._log.change(
            'members',
            count=len(members),
            end=self._knowledge.members_end_offset,
        )
        self._on_members(members)
        self._published_rows = dict(self._rows)
