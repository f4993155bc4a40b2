"""Buffer for the parts of a body."""

from typing import Final

# Parts from this size on are kept as they are; smaller ones are joined into
# blocks. One growing block would be copied again and again, and the heap would
# keep the room of its copies.
KEPT_PART_BYTES: Final = 1024
BLOCK_BYTES: Final = 16 * 1024


class BodyBuffer:
    """Collects the parts of a body.

    An object for each part would take far more memory than the bytes of small
    parts, and only bytes are counted against limits.
    """

    __slots__ = ('_parts', '_size', '_small')

    def __init__(self) -> None:
        """Initialize an empty buffer."""
        self._parts: list[bytes] = []
        # Small parts behind them.
        self._small = bytearray()
        self._size = 0

    def __len__(self) -> int:
        """Return the size of the body in bytes."""
        return self._size

    def append(self, part: bytes) -> None:
        """Add a part."""
        if not part:
            return
        if not self._size:
            self._parts.append(part)
        elif len(part) < KEPT_PART_BYTES:
            self._small += part
            if len(self._small) >= BLOCK_BYTES:
                self._join_small()
        else:
            self._join_small()
            self._parts.append(part)
        self._size += len(part)

    def take(self) -> bytes:
        """Return the whole body, and drop it."""
        self._join_small()
        # The only part is not copied.
        body = self._parts[0] if len(self._parts) == 1 else b''
        if len(self._parts) > 1:
            body = b''.join(self._parts)
        self.clear()
        return body

    def clear(self) -> None:
        """Drop all parts."""
        if self._size:
            self._parts = []
            self._small = bytearray()
            self._size = 0

    def _join_small(self) -> None:
        if self._small:
            self._parts.append(bytes(self._small))
            self._small.clear()
