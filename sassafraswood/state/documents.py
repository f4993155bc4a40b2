"""Table of the documents in force."""

from collections.abc import Sequence

from sassafraswood.models import ids
from sassafraswood.models import records


class DocumentTable:
    """The document in force of each service, and the log offset."""

    def __init__(self) -> None:
        """Start without documents before the first record of the log."""
        self._next_offset = ids.Offset(0)
        self._entries: dict[ids.ServiceName, records.DocumentEntry] = {}

    @property
    def next_offset(self) -> ids.Offset:
        """Return the first offset that is not part of the state."""
        return self._next_offset

    def advance(self) -> None:
        """Count one record as part of the state."""
        self._next_offset = ids.Offset(self._next_offset + 1)

    def get(self, service: ids.ServiceName) -> records.DocumentEntry | None:
        """Return the document of a service."""
        return self._entries.get(service)

    def revision(self, service: ids.ServiceName) -> ids.Revision:
        """Return the revision in force, 0 without document."""
        entry = self._entries.get(service)
        return ids.Revision(0) if entry is None else entry.revision

    def put(self, entry: records.DocumentEntry) -> None:
        """Set the document of a service."""
        self._entries[entry.service] = entry

    def entries(self) -> list[records.DocumentEntry]:
        """Return all documents in the order of their first publication."""
        return list(self._entries.values())

    def restore(
        self, next_offset: ids.Offset, entries: Sequence[records.DocumentEntry]
    ) -> None:
        """Replace everything."""
        self._next_offset = next_offset
        self._entries = {entry.service: entry for entry in entries}
