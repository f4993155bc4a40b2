"""Table of the daemons in the fleet."""

from collections.abc import Iterable
import typing

import msgspec

from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records

# Version of the entry of a daemon that left. It is above any version that the
# daemon announced, so a late announcement of the same incarnation does not
# make the daemon present again.
LEFT_VERSION: typing.Final = 2**62


class MemberTable:
    """The entry with the highest incarnation and version of each daemon.

    The entries of a daemon have a total order, so merging is commutative,
    associative and idempotent. Whether another daemon with a newer
    incarnation has taken over the address of a daemon is derived from the
    entries and changes none of them.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._entries: dict[ids.DaemonId, records.Member] = {}
        self._ids_by_address: dict[str, set[ids.DaemonId]] = {}

    def merge(self, member: records.Member) -> bool:
        """Store an entry if it is newer; return whether it was stored."""
        known = self._entries.get(member.daemon_id)
        if known is not None:
            if not _is_newer(member, known):
                return False
            self.discard(member.daemon_id)
        self._entries[member.daemon_id] = member
        self._ids_by_address.setdefault(member.peer_address, set()).add(
            member.daemon_id
        )
        return True

    def leave(
        self, daemon_id: ids.DaemonId, incarnation: ids.Incarnation
    ) -> records.Member | None:
        """Mark a daemon as left; return its entry, None if unchanged."""
        known = self._entries.get(daemon_id)
        if known is None or known.incarnation > incarnation:
            return None
        left = msgspec.structs.replace(
            known,
            incarnation=incarnation,
            version=LEFT_VERSION,
            status=enums.MemberStatus.LEFT,
            upstream_status=enums.UpstreamStatus.ABSENT,
            slots=0,
        )
        return left if self.merge(left) else None

    def get(self, daemon_id: ids.DaemonId) -> records.Member | None:
        """Return the entry of a daemon, even if it left, or None."""
        return self._entries.get(daemon_id)

    def is_present(self, member: records.Member) -> bool:
        """Return whether a member neither left nor lost its address."""
        if member.status is enums.MemberStatus.LEFT:
            return False
        others = self._ids_by_address.get(member.peer_address, ())
        if len(others) <= 1:
            return True
        own_rank = (member.incarnation, member.daemon_id)
        return all(
            (self._entries[other].incarnation, other) <= own_rank
            for other in others
        )

    def present(self) -> list[records.Member]:
        """Return the members that neither left nor lost their address."""
        return [m for m in self._entries.values() if self.is_present(m)]

    def entries(self) -> list[records.Member]:
        """Return all entries, the most recently changed one last."""
        return list(self._entries.values())

    def discard(self, daemon_id: ids.DaemonId) -> None:
        """Remove the entry of a daemon, if there is one.

        Unlike after `leave`, an entry of the same incarnation can be merged
        again.
        """
        member = self._entries.pop(daemon_id, None)
        if member is None:
            return
        at_address = self._ids_by_address[member.peer_address]
        at_address.discard(daemon_id)
        if not at_address:
            del self._ids_by_address[member.peer_address]

    def trim(self, limit: int) -> None:
        """Evict entries beyond the limit.

        Absent members are evicted first, the least recently changed first.
        """
        excess = len(self._entries) - limit
        if excess <= 0:
            return
        ordered = self.entries()
        ordered.sort(key=self.is_present)
        for member in ordered[:excess]:
            self.discard(member.daemon_id)

    def restore(self, entries: Iterable[records.Member]) -> None:
        """Replace all entries by those of a snapshot."""
        self._entries = {}
        self._ids_by_address = {}
        for member in entries:
            self.merge(member)


def _is_newer(member: records.Member, known: records.Member) -> bool:
    rank = (member.incarnation, member.version)
    known_rank = (known.incarnation, known.version)
    if rank != known_rank or member == known:
        return rank > known_rank
    # A daemon never gives two entries the same version. If one does, the
    # order by content keeps the tables of all daemons equal.
    return msgspec.msgpack.encode(member) > msgspec.msgpack.encode(known)
