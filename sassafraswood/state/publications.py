"""Table of the results of publications."""

from collections.abc import Sequence

from sassafraswood.models import ids
from sassafraswood.models import records


class PublicationTable:
    """The most recent results, in the order of the log."""

    def __init__(self, limit: int) -> None:
        """Create an empty table for at most the given number of results."""
        self._limit = limit
        self._entries: dict[ids.PublicationId, records.PublicationEntry] = {}

    def get(
        self, publication_id: ids.PublicationId
    ) -> records.PublicationEntry | None:
        """Return the result of a publication, or None."""
        return self._entries.get(publication_id)

    def add(self, entry: records.PublicationEntry) -> None:
        """Add a result; evict the oldest one if the limit is exceeded."""
        self._entries[entry.publication_id] = entry
        if len(self._entries) > self._limit:
            del self._entries[next(iter(self._entries))]

    def entries(self) -> list[records.PublicationEntry]:
        """Return all results in the order of the log."""
        return list(self._entries.values())

    def restore(self, entries: Sequence[records.PublicationEntry]) -> None:
        """Replace all results by those of a snapshot."""
        self._entries = {entry.publication_id: entry for entry in entries}
