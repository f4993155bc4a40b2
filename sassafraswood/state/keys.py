"""Table of key hashes and withdrawals."""

from collections.abc import Sequence

from sassafraswood.models import ids
from sassafraswood.models import records


class KeyTable:
    """Keys that were ever granted, by id and by hash.

    Withdrawn keys stay, so that neither their id nor their hash is granted
    again.
    """

    def __init__(self) -> None:
        """Start without keys."""
        self._by_id: dict[ids.KeyId, records.KeyEntry] = {}
        self._id_by_hash: dict[str, ids.KeyId] = {}

    def get(self, key_id: ids.KeyId) -> records.KeyEntry | None:
        """Return a key by its id."""
        return self._by_id.get(key_id)

    def find(self, key_sha256: str) -> records.KeyEntry | None:
        """Return a key by its hash."""
        key_id = self._id_by_hash.get(key_sha256)
        return None if key_id is None else self._by_id[key_id]

    def put(self, entry: records.KeyEntry) -> None:
        """Add a key or replace it by one with the same hash."""
        self._by_id[entry.key_id] = entry
        self._id_by_hash[entry.key_sha256] = entry.key_id

    def entries(self) -> list[records.KeyEntry]:
        """Return all keys in the order in which they were granted."""
        return list(self._by_id.values())

    def restore(self, entries: Sequence[records.KeyEntry]) -> None:
        """Replace everything."""
        self._by_id = {}
        self._id_by_hash = {}
        for entry in entries:
            self.put(entry)
