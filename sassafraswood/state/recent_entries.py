"""Last entries of the log, kept for peers."""

import collections

from sassafraswood.models import ids
from sassafraswood.models import records


class RecentEntries:
    """A gapless run of log entries up to the last folded one."""

    def __init__(self, *, max_entries: int, max_bytes: int) -> None:
        """Keep at most so many entries and bytes of their bodies."""
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._bytes = 0
        self._entries: collections.deque[records.LogEntry] = (
            collections.deque()
        )

    def add(self, entry: records.LogEntry) -> None:
        """Add the entry that follows the last one."""
        self._entries.append(entry)
        self._bytes += _size(entry)
        while self._entries and (
            len(self._entries) > self._max_entries
            or self._bytes > self._max_bytes
        ):
            self._bytes -= _size(self._entries.popleft())

    def clear(self) -> None:
        """Drop all entries."""
        self._entries.clear()
        self._bytes = 0

    def since(
        self, offset: ids.Offset, next_offset: ids.Offset
    ) -> list[records.LogEntry] | None:
        """Return the entries from offset on, None if some are not kept."""
        if offset >= next_offset:
            return []
        first = next_offset - len(self._entries)
        if offset < first:
            return None
        return list(self._entries)[offset - first :]


def _size(entry: records.LogEntry) -> int:
    return len(entry.body.encode('utf-8', 'surrogatepass'))
