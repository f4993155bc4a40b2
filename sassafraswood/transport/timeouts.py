"""Timeouts that do not precede what has arrived in time."""

import asyncio
from typing import Any, Final

# Time for the event loop to read what has arrived when a time is over.
LAST_READ_S: Final = 0.025


async def async_wait_or_cancel(
    future: asyncio.Future[Any], timeout_s: float
) -> None:
    """Wait for a future for some time, and until the event loop has read.

    The event loop calls timers before it reads. After the process was held up,
    a time would be over although the response has arrived.

    Args:
        future: Is cancelled if it is not done by then.
        timeout_s: Longest wait in seconds, without the last read.

    Raises:
        TimeoutError: The future is not done.
    """
    try:
        for wait_s in (timeout_s, LAST_READ_S):
            done, _ = await asyncio.wait((future,), timeout=wait_s)
            if done:
                return
    finally:
        future.cancel()
    raise TimeoutError
