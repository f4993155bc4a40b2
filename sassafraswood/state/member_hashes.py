"""Hashes by which two daemons find the difference of their tables."""

from collections.abc import Iterable

import xxhash

from sassafraswood.models import ids
from sassafraswood.models import records


class MemberHashes:
    """Hashes of member entries, in buckets by daemon id.

    The hash of a set is the exclusive or of the hashes of its entries, so
    adding and removing an entry takes constant time.
    """

    def __init__(self, buckets: int) -> None:
        """Start without entries."""
        self._count = buckets
        self._buckets = [0] * buckets
        # Daemons of each bucket, by hash of the daemon id.
        self._daemons: list[dict[int, ids.DaemonId]] = [
            {} for _ in range(buckets)
        ]
        self._versions: dict[ids.DaemonId, int] = {}
        self._total: int | None = None

    @property
    def total(self) -> int:
        """Return the hash of all entries."""
        if self._total is None:
            data = [value.to_bytes(4, 'little') for value in self._buckets]
            self._total = xxhash.xxh64_intdigest(b''.join(data))
        return self._total

    @property
    def buckets(self) -> list[int]:
        """Return the hash of each bucket."""
        return list(self._buckets)

    def __contains__(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether the entry of a daemon is hashed."""
        return daemon_id in self._versions

    def add(self, member: records.Member) -> None:
        """Add an entry or replace the one of the same daemon."""
        self.remove(member.daemon_id)
        short = short_id(member.daemon_id)
        version = _hash(
            f'{member.daemon_id} {member.incarnation} {member.version}'
        )
        self._total = None
        self._versions[member.daemon_id] = version
        self._buckets[short % self._count] ^= version
        self._daemons[short % self._count][short] = member.daemon_id

    def remove(self, daemon_id: ids.DaemonId) -> None:
        """Remove the entry of a daemon, if there is one."""
        version = self._versions.pop(daemon_id, None)
        if version is None:
            return
        self._total = None
        short = short_id(daemon_id)
        self._buckets[short % self._count] ^= version
        self._daemons[short % self._count].pop(short, None)

    def daemon_ids(self) -> list[ids.DaemonId]:
        """Return the daemons with an entry."""
        return list(self._versions)

    def find(self, short: int) -> ids.DaemonId | None:
        """Return the daemon with the given hash."""
        return self._daemons[short % self._count].get(short)

    def differing(self, buckets: list[int]) -> list[int]:
        """Return the numbers of the buckets that differ from the given."""
        return [
            number
            for number, (own, other) in enumerate(
                zip(self._buckets, buckets, strict=False)
            )
            if own != other
        ]

    def summaries(self, buckets: Iterable[int]) -> dict[int, int]:
        """Return the hashes of the entries in some buckets."""
        return {
            short: self._versions[daemon_id]
            for bucket in buckets
            if 0 <= bucket < self._count
            for short, daemon_id in self._daemons[bucket].items()
        }


def short_id(daemon_id: ids.DaemonId) -> int:
    """Return the hash that stands for a daemon in gossip."""
    return _hash(daemon_id)


def process_id(daemon_id: ids.DaemonId, incarnation: ids.Incarnation) -> int:
    """Return the hash that stands for a process of a daemon in gossip."""
    return _hash(f'{daemon_id} {incarnation}')


def _hash(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())
