"""Resident memory of this process."""

import os
import pathlib
from typing import Final

_STATM: Final = pathlib.Path('/proc/self/statm')


def read_bytes() -> int:
    """Return the resident memory in bytes; 0 if it cannot be told."""
    try:
        pages = int(_STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf('SC_PAGESIZE')
