"""Standard streams of a process that was started without some of them."""

import os

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_missing() -> None:
    """Open the null device in place of each standard stream that is closed.

    The event loop must not get one of these descriptors: it ends the process
    when it closes one, and log lines would be written to it.

    Raises:
        OSError: The null device cannot be opened.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor is taken, which is this one.
            os.open(os.devnull, os.O_RDWR)
