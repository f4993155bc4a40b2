"""Buffer of the last log entries, from which peers are served."""

import collections

from sassafraswood.models import ids
from sassafraswood.models import records


class RecentEntries:
    """Consecutive log entries, up to the last one that was applied."""

    def __init__(self, *, max_entries: int, max_bytes: int) -> None:
        """Create an empty buffer, bounded in entries and bytes of bodies."""
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._entries: collections.deque[records.LogEntry] = (
            collections.deque()
        )

    def add(self, entry: records.LogEntry) -> None:
        """Add the entry that follows the last one."""
        self._entries.append(entry)
        self._size_bytes += _body_bytes(entry)
        while self._entries and (
            len(self._entries) > self._max_entries
            or self._size_bytes > self._max_bytes
        ):
            self._size_bytes -= _body_bytes(self._entries.popleft())

    def clear(self) -> None:
        """Remove all entries."""
        self._entries.clear()
        self._size_bytes = 0

    def since(
        self, offset: ids.Offset, next_offset: ids.Offset
    ) -> list[records.LogEntry] | None:
        """Return the entries from an offset on, or None if some are evicted.

        Args:
            offset: Offset of the first entry to return.
            next_offset: Offset after the last entry in the buffer.
        """
        if offset >= next_offset:
            return []
        first_offset = next_offset - len(self._entries)
        if offset < first_offset:
            return None
        return list(self._entries)[offset - first_offset :]


def _body_bytes(entry: records.LogEntry) -> int:
    return len(entry.body.encode('utf-8', 'surrogatepass'))
