"""Table of the service documents in force."""

from collections.abc import Sequence

from sassafraswood.models import ids
from sassafraswood.models import records


class DocumentTable:
    """The document in force of each service, and the next log offset."""

    def __init__(self) -> None:
        """Create an empty table at log offset 0."""
        self._next_offset = ids.Offset(0)
        self._entries: dict[ids.ServiceName, records.DocumentEntry] = {}

    @property
    def next_offset(self) -> ids.Offset:
        """Return the offset of the next log record to apply."""
        return self._next_offset

    def advance(self) -> None:
        """Advance the next offset by one applied record."""
        self._next_offset = ids.Offset(self._next_offset + 1)

    def get(self, service: ids.ServiceName) -> records.DocumentEntry | None:
        """Return the document of a service, or None."""
        return self._entries.get(service)

    def revision(self, service: ids.ServiceName) -> ids.Revision:
        """Return the revision in force, or 0 without a document."""
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
        """Replace the offset and all documents by those of a snapshot."""
        self._next_offset = next_offset
        self._entries = {entry.service: entry for entry in entries}
