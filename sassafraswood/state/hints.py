"""What a daemon knows of the load of other daemons."""

import dataclasses

from sassafraswood.models import ids
from sassafraswood.models import messages


@dataclasses.dataclass(kw_only=True)
class PeerLoad:
    """Own measurements of one daemon, and its last hint.

    Attributes:
        in_flight: Calls that this daemon has sent and not seen the end of.
        hint: The last hint.
        hint_at: Monotonic time at which it arrived, in seconds.
        failures: Failures to reach it since the last success.
        avoid_until: Monotonic time of the next probe while failures > 0.
        is_probed: Whether a call to probe it is under way.
        needs_call: Whether the daemon is reachable and its upstream is not,
            so that only a call shows that the failure is over.
    """

    in_flight: int = 0
    hint: messages.AdmissionHint | None = None
    hint_at: float = 0.0
    failures: int = 0
    avoid_until: float = 0.0
    is_probed: bool = False
    needs_call: bool = False


class HintTable:
    """Loads by daemon."""

    def __init__(self) -> None:
        """Start empty."""
        self._loads: dict[ids.DaemonId, PeerLoad] = {}

    def __len__(self) -> int:
        """Return the number of daemons."""
        return len(self._loads)

    def find(self, daemon_id: ids.DaemonId) -> PeerLoad | None:
        """Return the load of a daemon, or None if nothing is known."""
        return self._loads.get(daemon_id)

    def get(self, daemon_id: ids.DaemonId) -> PeerLoad:
        """Return the load of a daemon, which is added if missing."""
        return self._loads.setdefault(daemon_id, PeerLoad())

    def items(self) -> list[tuple[ids.DaemonId, PeerLoad]]:
        """Return all loads by daemon."""
        return list(self._loads.items())

    def remove(self, daemon_id: ids.DaemonId) -> None:
        """Remove a daemon."""
        self._loads.pop(daemon_id, None)
