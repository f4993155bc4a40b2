"""Interfaces through which decisions reach the outside."""

import typing

from sassafraswood.models import ids
from sassafraswood.models import messages


class Outbox(typing.Protocol):
    """Sends messages to peers."""

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        """Send a message, best effort; never blocks or raises."""
