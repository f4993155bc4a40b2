"""Table of granted and withdrawn keys."""

from collections.abc import Sequence

from sassafraswood.models import ids
from sassafraswood.models import records


class KeyTable:
    """All keys ever granted, by id and by hash.

    Withdrawn keys stay in the table, so that neither their id nor their hash
    is granted again.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_id: dict[ids.KeyId, records.KeyEntry] = {}
        self._id_by_hash: dict[str, ids.KeyId] = {}

    def get(self, key_id: ids.KeyId) -> records.KeyEntry | None:
        """Return the key with an id, or None."""
        return self._by_id.get(key_id)

    def find(self, key_sha256: str) -> records.KeyEntry | None:
        """Return the key with a hash, or None."""
        key_id = self._id_by_hash.get(key_sha256)
        return None if key_id is None else self._by_id[key_id]

    def put(self, entry: records.KeyEntry) -> None:
        """Add a key, or replace the entry with the same id and hash."""
        self._by_id[entry.key_id] = entry
        self._id_by_hash[entry.key_sha256] = entry.key_id

    def entries(self) -> list[records.KeyEntry]:
        """Return all keys in the order in which they were granted."""
        return list(self._by_id.values())

    def restore(self, entries: Sequence[records.KeyEntry]) -> None:
        """Replace all keys by those of a snapshot."""
        self._by_id = {}
        self._id_by_hash = {}
        for entry in entries:
            self.put(entry)
