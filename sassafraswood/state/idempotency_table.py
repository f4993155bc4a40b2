"""Table of idempotency keys and the results of their requests."""

import dataclasses
import enum
import heapq
from typing import Callable

from sassafraswood import const
from sassafraswood.models import call
from sassafraswood.models import ids

EntryKey = tuple[ids.ServiceName, ids.Workspace | None, str]


class KeyState(enum.Enum):
    """State of the request with an idempotency key."""

    RUNNING = enum.auto()
    FINISHED = enum.auto()
    # The outcome is unknown, or the result is no longer stored.
    UNKNOWN = enum.auto()


@dataclasses.dataclass(kw_only=True)
class Entry:
    """State of one idempotency key.

    Attributes:
        partition: Number of the partition that the key belongs to.
        request_sha256: Hash of the request, to detect reuse of the key.
        first_seen_at: Monotonic time in seconds.
        result: The stored result; only when FINISHED.
        waiters: Callbacks that receive the result when the request ends.
    """

    partition: int
    request_sha256: str
    state: KeyState
    first_seen_at: float
    result: call.Result | None = None
    waiters: list[Callable[[call.Result], None]] = dataclasses.field(
        default_factory=list
    )


class IdempotencyTable:
    """Entries by service, workspace and key, bounded in number and bytes.

    The byte count covers keys, results and a fixed overhead per entry.
    """

    def __init__(
        self,
        *,
        max_entries: int = const.MAX_IDEMPOTENCY_ENTRIES,
        max_bytes: int = const.MAX_IDEMPOTENCY_BYTES,
    ) -> None:
        """Create an empty table with the given bounds."""
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._entries: dict[EntryKey, Entry] = {}
        self._bytes = 0
        self._sequence = 0
        # Heaps of (monotonic due time in seconds, sequence, key, entry).
        self._result_expiries: list[tuple[float, int, EntryKey, Entry]] = []
        self._entry_expiries: list[tuple[float, int, EntryKey, Entry]] = []

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    @property
    def size_bytes(self) -> int:
        """Return the bytes counted against the limit."""
        return self._bytes

    def get(self, key: EntryKey) -> Entry | None:
        """Return the entry of a key, or None."""
        return self._entries.get(key)

    def items(
        self, service: ids.ServiceName, partition: int
    ) -> list[tuple[EntryKey, Entry]]:
        """Return the keys and entries of a partition."""
        return [
            (key, entry)
            for key, entry in self._entries.items()
            if key[0] == service and entry.partition == partition
        ]

    def has_room(self, key: EntryKey) -> bool:
        """Return whether an entry without a result fits."""
        return (
            len(self._entries) < self._max_entries
            and self._bytes + key_bytes(key) <= self._max_bytes
        )

    def add(self, key: EntryKey, entry: Entry, *, remove_at: float) -> None:
        """Add an entry without a result.

        Args:
            key: Key of the entry.
            entry: The new entry.
            remove_at: Monotonic time in seconds at which the entry expires.
        """
        self._entries[key] = entry
        self._bytes += key_bytes(key)
        self._push_expiry(self._entry_expiries, remove_at, key, entry)

    def store_result(
        self, key: EntryKey, result: call.Result, *, result_expires_at: float
    ) -> None:
        """Store the result of an entry, if it fits.

        The state of the entry becomes UNKNOWN if the result does not fit.

        Args:
            key: Key of the entry.
            result: Result of the request.
            result_expires_at: Monotonic time in seconds at which the result
                expires.
        """
        entry = self._entries[key]
        size = result_bytes(result)
        if self._bytes + size > self._max_bytes:
            entry.state = KeyState.UNKNOWN
            return
        entry.state = KeyState.FINISHED
        entry.result = result
        self._bytes += size
        self._push_expiry(self._result_expiries, result_expires_at, key, entry)

    def remove(self, key: EntryKey) -> Entry | None:
        """Remove and return the entry of a key, or None."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        self._bytes -= key_bytes(key)
        self._remove_result(entry)
        # The heap would otherwise grow with keys that are removed and reused.
        if len(self._entry_expiries) > 2 * len(self._entries) + 64:
            self._entry_expiries = [
                item
                for item in self._entry_expiries
                if self._entries.get(item[2]) is item[3]
            ]
            heapq.heapify(self._entry_expiries)
        return entry

    def expire(self, now: float) -> None:
        """Remove expired results and entries, but no RUNNING entry."""
        while self._result_expiries and self._result_expiries[0][0] <= now:
            _, _, key, entry = heapq.heappop(self._result_expiries)
            if self._entries.get(key) is entry:
                self._remove_result(entry)
        postponed = []
        while self._entry_expiries and self._entry_expiries[0][0] <= now:
            item = heapq.heappop(self._entry_expiries)
            _, _, key, entry = item
            if self._entries.get(key) is not entry:
                continue
            if entry.state is KeyState.RUNNING:
                postponed.append(item)
                continue
            self.remove(key)
        for item in postponed:
            heapq.heappush(self._entry_expiries, item)

    def _remove_result(self, entry: Entry) -> None:
        if entry.result is None:
            return
        self._bytes -= result_bytes(entry.result)
        entry.result = None
        entry.state = KeyState.UNKNOWN

    def _push_expiry(
        self,
        heap: list[tuple[float, int, EntryKey, Entry]],
        due_at: float,
        key: EntryKey,
        entry: Entry,
    ) -> None:
        self._sequence += 1
        heapq.heappush(heap, (due_at, self._sequence, key, entry))


def key_bytes(key: EntryKey) -> int:
    """Return the bytes counted for an entry without a result."""
    return len(key[2]) + const.IDEMPOTENCY_ENTRY_BYTES


def result_bytes(result: call.Result) -> int:
    """Return the bytes counted for a result."""
    if isinstance(result, call.Refusal):
        return len(result.detail)
    headers = sum(len(name) + len(value) for name, value in result.headers)
    return len(result.body) + headers
