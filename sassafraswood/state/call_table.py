"""Table of the calls in flight, by call token."""

import dataclasses
import heapq
import typing

from sassafraswood.models import ids

Entry = typing.TypeVar('Entry')


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredCall(typing.Generic[Entry]):
    """An entry of the table.

    Attributes:
        deadline: Monotonic time in seconds.
    """

    deadline: float
    entry: Entry


class CallTable(typing.Generic[Entry]):
    """Entries by call token, which expire at their deadline."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._calls: dict[ids.CallToken, StoredCall[Entry]] = {}
        self._by_deadline: list[tuple[float, ids.CallToken]] = []

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._calls)

    def add(self, token: ids.CallToken, deadline: float, entry: Entry) -> None:
        """Add an entry under a new token; the deadline is in seconds."""
        self._calls[token] = StoredCall(deadline=deadline, entry=entry)
        heapq.heappush(self._by_deadline, (deadline, token))

    def get(self, token: ids.CallToken) -> StoredCall[Entry] | None:
        """Return the entry of a token, or None."""
        return self._calls.get(token)

    def remove(self, token: ids.CallToken) -> StoredCall[Entry] | None:
        """Remove and return the entry of a token, or None."""
        stored = self._calls.pop(token, None)
        # The heap keeps removed tokens until they reach its top or outnumber
        # the entries.
        if len(self._by_deadline) > 2 * len(self._calls) + 64:
            self._rebuild_heap()
        return stored

    def remove_until(self, now: float) -> None:
        """Remove the entries whose deadline is at or before now."""
        while self._by_deadline and self._by_deadline[0][0] <= now:
            _, token = heapq.heappop(self._by_deadline)
            self._calls.pop(token, None)

    def _rebuild_heap(self) -> None:
        self._by_deadline = [
            (stored.deadline, token) for token, stored in self._calls.items()
        ]
        heapq.heapify(self._by_deadline)
