"""Chooses the daemons that read the store for all others."""

from collections.abc import Callable
from typing import Final

from sassafraswood.coordination import peer_plan
from sassafraswood.models import ids

# If two of the readers fail at once, one is left.
READER_COUNT: Final = 3


class StoreDuty:
    """Decides whether this daemon reads the store for all others.

    The readers are the first `READER_COUNT` daemons of the reading group, in
    the order of the fleet, that reach the store. If daemons temporarily
    disagree on the order, the only cost is additional reads.
    """

    def __init__(
        self,
        plan: peer_plan.PeerPlan,
        is_reading: Callable[[ids.DaemonId], bool],
    ) -> None:
        """Initialize with the order of the fleet.

        Args:
            plan: The order of the fleet and the reading group.
            is_reading: Returns whether a daemon reaches the store.
        """
        self._plan = plan
        self._is_reading = is_reading

    @property
    def is_reader(self) -> bool:
        """Return whether this daemon reads the store for all others."""
        if not self._plan.is_in_reading_group:
            return False
        ahead = sum(self._is_reading(item) for item in self._plan.ahead)
        return ahead < READER_COUNT
