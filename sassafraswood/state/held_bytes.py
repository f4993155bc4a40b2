"""Bytes of bodies that a process holds."""

from typing import Final

# Used until the memory of the VM is known.
DEFAULT_LIMIT: Final = 64 * 1024 * 1024


class HeldBytes:
    """Counts bytes against a limit that many holders share."""

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        """Take the largest number of bytes held at a time."""
        self.limit = limit
        self._count = 0

    @property
    def count(self) -> int:
        """Return the bytes held now."""
        return self._count

    def take(self, size: int) -> bool:
        """Hold more bytes; return False if there is no room for them."""
        if self._count + size > self.limit:
            return False
        self._count += size
        return True

    def release(self, size: int) -> None:
        """Hold fewer bytes."""
        self._count -= size
