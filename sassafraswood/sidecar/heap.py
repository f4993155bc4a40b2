"""Returns freed memory of the C heap to the system."""

from collections.abc import Callable
import ctypes
from typing import Final

# Bytes whose release is worth the time of a trim, a few milliseconds.
TRIMMED_BYTES: Final = 8 * 1024 * 1024


def _find_trim() -> Callable[[int], int] | None:
    """Return the function of the C library; not all of them have it."""
    try:
        trim: Callable[[int], int] = ctypes.CDLL(None).malloc_trim
    except (AttributeError, OSError):
        return None
    return trim


class HeapTrimmer:
    """Trims the heap after many bytes of messages were released.

    Without it, the heap keeps what lies below a block that is in use.
    """

    def __init__(self) -> None:
        """Create it for a process that holds nothing."""
        self._trim = _find_trim()
        self._most_held_bytes = 0

    def note(self, held_bytes: int) -> bool:
        """Trim the heap if far less is held than since the last trim.

        Args:
            held_bytes: Bytes of all messages that are held now.

        Returns:
            Whether it was trimmed.
        """
        self._most_held_bytes = max(self._most_held_bytes, held_bytes)
        if self._most_held_bytes - held_bytes < TRIMMED_BYTES:
            return False
        self._most_held_bytes = held_bytes
        if self._trim is None:
            return False
        self._trim(0)
        return True
