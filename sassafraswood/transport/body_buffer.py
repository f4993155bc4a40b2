"""Buffer for the parts of a body."""


class BodyBuffer:
    """Collects the parts of a body.

    An object for each part would take far more memory than the bytes of small
    parts, and only bytes are counted against limits.
    """

    __slots__ = ('_all', '_first')

    def __init__(self) -> None:
        """Initialize an empty buffer."""
        # The only part, which is not copied, or all parts.
        self._first = b''
        self._all = bytearray()

    def __len__(self) -> int:
        """Return the size of the body in bytes."""
        return len(self._all) or len(self._first)

    def append(self, part: bytes) -> None:
        """Add a part."""
        if not self._all:
            if not self._first:
                self._first = part
                return
            self._all += self._first
            self._first = b''
        self._all += part

    def take(self) -> bytes:
        """Return the whole body, and drop it."""
        body = bytes(self._all) if self._all else self._first
        self.clear()
        return body

    def clear(self) -> None:
        """Drop all parts."""
        self._first = b''
        if self._all:
            self._all = bytearray()
