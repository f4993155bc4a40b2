"""Writes and positions in a store that may come back from an older copy.

The store numbers its eras. A new one begins when it comes back from a copy:
what it acknowledged after that copy is gone, and offsets are given out again.
"""

import collections
from typing import Final

from sassafraswood import clock as clock_module

# Bits of a position that hold the offset; those above hold the era.
OFFSET_BITS: Final = 40
_OFFSET_MASK: Final = (1 << OFFSET_BITS) - 1
# Time for which an acknowledged write may be missing from a copy, in seconds.
MAX_COPY_AGE_S: Final = 30.0


def make_position(era: int, offset: int) -> int:
    """Return a position; those of a later era are greater."""
    return (era << OFFSET_BITS) + offset


def get_era(position: int) -> int:
    """Return the era of a position; 0 of one that is unknown (-1)."""
    return max(0, position) >> OFFSET_BITS


def get_offset(position: int) -> int:
    """Return the offset of a position within its era."""
    return position & _OFFSET_MASK


class RecentWrites:
    """Keeps acknowledged writes while a copy of the store may lack them.

    Each process writes again what it has written itself, so that no record
    needs another owner. Writes are repeated in the order of their
    acknowledgement, only the newest of each key.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        """Start without writes and in an unknown era.

        Args:
            clock: Monotonic clock that also counts while the VM is suspended.
        """
        self._clock = clock
        self._era: int | None = None
        self._writes: collections.OrderedDict[
            tuple[str, str], tuple[float, int, bytes]
        ] = collections.OrderedDict()

    @property
    def era(self) -> int:
        """Return the latest known era; 0 if none is known."""
        return self._era or 0

    def note_era(self, era: int) -> bool:
        """Record an era that the store or a peer names.

        Returns:
            Whether the store has come back from a copy since the last call.
        """
        known, self._era = self._era, max(era, self.era)
        return known is not None and self._era > known

    def note_write(self, topic: str, key: str, value: bytes, era: int) -> None:
        """Record an acknowledged write and the era that acknowledged it."""
        now = self._clock.monotonic()
        self._writes.pop((topic, key), None)
        self._writes[topic, key] = (now, era, value)
        self._drop_old(now)

    def find_lost(self) -> list[tuple[str, str, bytes]]:
        """Return the writes that the current era may lack.

        Each is a topic, a key and a value, to be written again.
        """
        self._drop_old(self._clock.monotonic())
        return [
            (topic, key, value)
            for (topic, key), (_, era, value) in self._writes.items()
            if era < self.era
        ]

    def _drop_old(self, now: float) -> None:
        while self._writes:
            at, _, _ = next(iter(self._writes.values()))
            if now - at <= MAX_COPY_AGE_S:
                return
            self._writes.popitem(last=False)
