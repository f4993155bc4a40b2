"""Log line of a process that ends because of an unexpected error.

It needs the standard library only, since an import may have failed.
"""

import json
import os
import time
import traceback
from typing import Final

# The output first; stderr if nobody reads that.
DESCRIPTORS: Final = (1, 2)


def write(error: Exception) -> None:
    """Write type, text and traceback of the error without blocking."""
    line = json.dumps(
        {
            'at': round(time.time(), 4),
            'event': 'failed',
            'type': type(error).__name__,
            'error': str(error),
            'traceback': ''.join(traceback.format_exception(error)),
        }
    )
    for descriptor in DESCRIPTORS:
        try:
            os.set_blocking(descriptor, False)
            os.write(descriptor, line.encode() + b'\n')
        except OSError:
            continue
        return
