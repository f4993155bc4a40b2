"""Counts of control messages and their bytes."""

import collections
from typing import Final

import msgspec

from sassafraswood.models import messages

SENT: Final = 'sent'
RECEIVED: Final = 'received'


class TrafficCount(msgspec.Struct, kw_only=True):
    """Totals for messages of one direction and kind since the start.

    Attributes:
        messages: Number of messages.
        bytes: Encoded bytes without the overhead of ZeroMQ, CURVE and TCP. For
            the log service, the bytes of HTTP requests or responses.
    """

    messages: int = 0
    bytes: int = 0


class Traffic:
    """Counts messages and bytes by direction and kind."""

    def __init__(self) -> None:
        """Initialize without counts."""
        self._counts: collections.defaultdict[
            tuple[str, str], TrafficCount
        ] = collections.defaultdict(TrafficCount)

    @property
    def counts(self) -> dict[str, TrafficCount]:
        """Return the counts by 'direction.kind'."""
        return {
            f'{direction}.{kind}': count
            for (direction, kind), count in self._counts.items()
        }

    def note(self, direction: str, kind: str, size: int) -> None:
        """Count a message.

        Args:
            direction: SENT or RECEIVED.
            kind: Kind of the message.
            size: Encoded size in bytes.
        """
        count = self._counts[direction, kind]
        count.messages += 1
        count.bytes += size

    def note_message(
        self, direction: str, message: messages.Message, size: int
    ) -> None:
        """Count a message between daemons, with its tag as the kind."""
        self.note(direction, str(message.__struct_config__.tag), size)
