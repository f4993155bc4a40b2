"""Which daemons read the store for all others."""

from collections.abc import Callable
from typing import Final

from sassafraswood.coordination import peer_plan
from sassafraswood.models import ids

# Daemons that read the store for all; the loss of two at once leaves one.
READERS: Final = 3


class StoreDuty:
    """Tells whether this daemon has to read.

    The first daemons of the reading group in the order of the fleet that get
    answers of the store are the readers. Two orders for a moment cost some
    reads and nothing else.
    """

    def __init__(
        self,
        plan: peer_plan.PeerPlan,
        is_reading: Callable[[ids.DaemonId], bool],
    ) -> None:
        """Take the order and what tells who gets answers of the store."""
        self._plan = plan
        self._is_reading = is_reading

    @property
    def is_reader(self) -> bool:
        """Return whether this daemon waits at the store for all."""
        if not self._plan.is_in_reading_group:
            return False
        ahead = sum(self._is_reading(item) for item in self._plan.ahead)
        return ahead < READERS
