"""Follows the records of members and keeps the own one."""

from collections.abc import Callable, Iterable
import math
from typing import Final

from sassafraswood.coordination import store_knowledge
from sassafraswood import exceptions
from sassafraswood.models import fleet
from sassafraswood.platform import members as member_records
from sassafraswood.platform import store as store_module
from sassafraswood.protocol import frames
from sassafraswood.sidecar import store_reader

# Records that are kept to pass on what is new; those of a whole fleet of the
# planned size that starts at once.
MAX_HISTORY: Final = 1024
# Each daemon writes its record again after this time in seconds; at the
# planned size the fleet writes one in a second.
RENEW_S: Final = 600.0
# A record that was not written for this time, in seconds, is of a daemon that
# ended without a signal; three renewals.
DROP_S: Final = 1800.0


class MemberFollower(store_reader.StoreReader):
    """Keeps the records of all daemons, read or told by another daemon."""

    def __init__(
        self,
        *,
        reading: store_reader.Reading,
        own: fleet.Member,
        knowledge: store_knowledge.StoreKnowledge,
        max_age_s: float,
        on_members: Callable[[list[fleet.Member]], None],
        on_registered: Callable[[bool], None],
        on_news: Callable[[], None],
    ) -> None:
        """Take the parts.

        Args:
            reading: Parts that all readers of the store share.
            own: This daemon's record.
            knowledge: Where the age of what is known is kept.
            max_age_s: Age that known records may have, in seconds.
            on_members: Called with all members after a change.
            on_registered: Called once this daemon is a member, with whether
                it was one before it started.
            on_news: Called afterwards, to tell other daemons.
        """
        super().__init__('members', reading, max_age_s)
        self._own = own
        self._knowledge = knowledge
        self._on_members = on_members
        self._on_registered = on_registered
        self._on_news = on_news
        self._rows: dict[str, bytes] = {}
        # When each record was last seen written; monotonic time in seconds.
        self._written_at: dict[str, float] = {}
        self._history: list[tuple[str, bytes]] = []
        self._is_registered = False

    def document(self, start: int) -> frames.MembersDocument:
        """Return the records from an offset."""
        end = self._knowledge.members_end
        missing = end - start
        if start < 0 or not 0 <= missing <= len(self._history):
            return frames.MembersDocument(
                start=-1, end=end, rows=list(self._rows.items())
            )
        rows = self._history[len(self._history) - missing :]
        return frames.MembersDocument(start=start, end=end, rows=rows)

    def take(self, document: frames.MembersDocument) -> None:
        """Take the records of another daemon."""
        known = self._knowledge.members_end
        if document.end <= known or document.start > known:
            return
        before = dict(self._rows)
        if document.start < 0:
            self._replace_rows(document.rows)
        else:
            self._add_rows(document.rows[known - document.start :])
        self._knowledge.note_members(document.end, -math.inf)
        if self._rows != before:
            self._publish()
        self._on_news()

    async def async_leave(self) -> None:
        """Drop the own record; the VM goes with its upstream.

        Raises:
            LogError: The record may still be there.
        """
        self.stop()
        await self._async_write(self._own.daemon_id, b'')
        self._log.change('deregistered')

    @property
    def _must_read(self) -> bool:
        return not self._is_registered or self._is_renewal_due

    @property
    def _needs_news(self) -> bool:
        return False

    @property
    def _age_s(self) -> float:
        return self._knowledge.members_age_s

    @property
    def _is_renewal_due(self) -> bool:
        own_id = self._own.daemon_id
        age_s = self._clock.monotonic() - self._written_at.get(own_id, 0.0)
        return own_id not in self._rows or age_s > RENEW_S

    def _forget_offset(self) -> None:
        self._knowledge.members_end = -1

    async def _async_read(self, wait_s: float) -> bool:
        started_at = self._clock.monotonic()
        topic = member_records.TOPIC
        is_whole = not self._is_registered or self._knowledge.members_end < 0
        if is_whole:
            page = await self._store.async_newest(topic)
            wait_s = 0.0
        else:
            page = await self._store.async_read(
                topic, self._knowledge.members_end, wait_s
            )
        known = self._knowledge.members_end
        if page.next_offset < known:
            return bool(page.records)
        before = dict(self._rows)
        rows = [(record.key, record.value) for record in page.records]
        if is_whole:
            self._replace_rows(rows)
        else:
            # Other daemons may have told some of them meanwhile.
            self._add_rows(rows[len(rows) - (page.next_offset - known) :])
        waited_s = 0.0 if rows else wait_s
        self._knowledge.note_members(page.next_offset, started_at + waited_s)
        if not self._is_registered or self._rows != before:
            self._publish()
        await self._async_maintain()
        if rows:
            self._on_news()
        return bool(rows)

    def _replace_rows(self, rows: Iterable[tuple[str, bytes]]) -> None:
        """Take the newest record of each member."""
        now = self._clock.monotonic()
        self._rows = dict(rows)
        self._written_at = {
            key: self._written_at.get(key, now) for key in self._rows
        }
        self._history = []

    def _add_rows(self, rows: list[tuple[str, bytes]]) -> None:
        """Take records that follow those known."""
        now = self._clock.monotonic()
        for key, value in rows:
            # The newest record of an address stands last.
            self._rows.pop(key, None)
            if value:
                self._rows[key] = value
            self._written_at[key] = now
        self._history = [*self._history, *rows][-MAX_HISTORY:]

    async def _async_maintain(self) -> None:
        """Write the own record if needed, and drop those of lost daemons."""
        now = self._clock.monotonic()
        own_id = self._own.daemon_id
        value = member_records.encode(self._own)
        is_known = self._rows.get(own_id) == value
        if not is_known or self._is_renewal_due:
            await self._async_write(own_id, value)
            self._rows[own_id] = value
            self._written_at[own_id] = now
            self._log.change('registered', is_renewal=is_known)
        if not self._is_registered:
            self._is_registered = True
            self._publish()
            self._on_registered(is_known)
        if not self._duty.is_reader:
            return
        for key in list(self._rows):
            if now - self._written_at.get(key, now) > DROP_S:
                await self._async_write(key, b'')
                self._log.change('member_dropped', member=key)

    async def _async_write(self, key: str, value: bytes) -> None:
        await self._store.async_append(
            member_records.TOPIC,
            store_module.StoredRecord(key=key, value=value),
        )

    def _publish(self) -> None:
        """Tell all members."""
        by_address: dict[tuple[str, int], fleet.Member] = {}
        for key, value in self._rows.items():
            try:
                member = member_records.decode(key, value)
                by_address[member.address] = member
            except exceptions.DecodeError as error:
                self._log.change('member_rejected', key=key, error=str(error))
        if self._is_registered:
            # Another daemon may not know of it yet.
            by_address[self._own.address] = self._own
        members = list(by_address.values())
        self._log.change(
            'members', count=len(members), end=self._knowledge.members_end
        )
        self._on_members(members)
