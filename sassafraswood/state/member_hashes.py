"""Hashes by which two daemons compare their member tables."""

from collections.abc import Iterable

import xxhash

from sassafraswood.models import ids
from sassafraswood.models import records


class MemberHashes:
    """Hashes of member entries, in buckets by daemon id.

    The hash of a bucket is the exclusive or of the hashes of its entries, so
    adding or removing an entry takes constant time.
    """

    def __init__(self, buckets: int) -> None:
        """Create empty buckets of the given number."""
        self._bucket_count = buckets
        self._buckets = [0] * buckets
        # Daemon ids of each bucket, by hash of the daemon id.
        self._daemon_ids: list[dict[int, ids.DaemonId]] = [
            {} for _ in range(buckets)
        ]
        self._entry_hashes: dict[ids.DaemonId, int] = {}
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
        """Return whether the hashes include the entry of a daemon."""
        return daemon_id in self._entry_hashes

    def add(self, member: records.Member) -> None:
        """Add an entry or replace the one of the same daemon."""
        self.remove(member.daemon_id)
        short = short_id(member.daemon_id)
        entry_hash = _hash(
            f'{member.daemon_id} {member.incarnation} {member.version}'
        )
        self._total = None
        self._entry_hashes[member.daemon_id] = entry_hash
        self._buckets[short % self._bucket_count] ^= entry_hash
        self._daemon_ids[short % self._bucket_count][short] = member.daemon_id

    def remove(self, daemon_id: ids.DaemonId) -> None:
        """Remove the entry of a daemon, if there is one."""
        entry_hash = self._entry_hashes.pop(daemon_id, None)
        if entry_hash is None:
            return
        self._total = None
        short = short_id(daemon_id)
        self._buckets[short % self._bucket_count] ^= entry_hash
        self._daemon_ids[short % self._bucket_count].pop(short, None)

    def daemon_ids(self) -> list[ids.DaemonId]:
        """Return the ids of the daemons with an entry."""
        return list(self._entry_hashes)

    def find(self, short: int) -> ids.DaemonId | None:
        """Return the daemon id with the given hash, or None."""
        return self._daemon_ids[short % self._bucket_count].get(short)

    def differing(self, buckets: list[int]) -> list[int]:
        """Return the numbers of the buckets whose hashes differ.

        Args:
            buckets: Hash of each bucket of the other table.
        """
        return [
            number
            for number, (own, other) in enumerate(
                zip(self._buckets, buckets, strict=False)
            )
            if own != other
        ]

    def summaries(self, buckets: Iterable[int]) -> dict[int, int]:
        """Return entry hashes by hash of the daemon id, for some buckets.

        Args:
            buckets: Numbers of the buckets; unknown numbers are ignored.
        """
        return {
            short: self._entry_hashes[daemon_id]
            for bucket in buckets
            if 0 <= bucket < self._bucket_count
            for short, daemon_id in self._daemon_ids[bucket].items()
        }


def short_id(daemon_id: ids.DaemonId) -> int:
    """Return the hash that identifies a daemon in gossip messages."""
    return _hash(daemon_id)


def process_id(daemon_id: ids.DaemonId, incarnation: ids.Incarnation) -> int:
    """Return the hash that identifies a daemon process in gossip."""
    return _hash(f'{daemon_id} {incarnation}')


def _hash(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())
