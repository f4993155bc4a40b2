"""Interfaces of the coordination layer to the network."""

import typing

from sassafraswood.models import ids
from sassafraswood.models import messages


class Outbox(typing.Protocol):
    """Sends messages to peers."""

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        """Send a message on a best-effort basis; never blocks or raises."""
