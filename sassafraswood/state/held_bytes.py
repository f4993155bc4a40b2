"""Limit on the bytes of message bodies in memory."""

from typing import Final

# Limit in bytes until the memory size of the VM has been read.
DEFAULT_LIMIT: Final = 64 * 1024 * 1024


class ByteBudget:
    """Counter of bytes in memory against a limit shared by all requests."""

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        """Create a counter with a limit in bytes."""
        self.limit = limit
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of bytes reserved now."""
        return self._count

    def take(self, size: int) -> bool:
        """Reserve bytes; return False if they would exceed the limit."""
        if self._count + size > self.limit:
            return False
        self._count += size
        return True

    def take_anyway(self, size: int) -> None:
        """Reserve bytes even if they exceed the limit."""
        self._count += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self._count -= size
