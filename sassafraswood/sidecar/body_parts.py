"""Sends large bodies of calls in parts.

The daemon that took the request holds its body until the response. The daemon
beside the upstream asks for parts as the upstream reads them, so that it holds
a few of them, and that small calls on the same connection wait for one part at
most.
"""

from collections.abc import Callable
from typing import Final

PART_BYTES: Final = 64 * 1024


class BodySender:
    """Sends the parts of one body in order."""

    def __init__(
        self, body: bytearray, send: Callable[[bytes], object]
    ) -> None:
        """Initialize without sending anything.

        Args:
            body: The whole body, which does not change.
            send: Called with each part.
        """
        self._body = body
        self._send = send
        self._sent_bytes = 0

    def send_up_to(self, end: int) -> None:
        """Send what was not sent yet, up to an offset."""
        end = min(end, len(self._body))
        while self._sent_bytes < end:
            start = self._sent_bytes
            self._sent_bytes = min(end, start + PART_BYTES)
            self._send(bytes(self._body[start : self._sent_bytes]))
