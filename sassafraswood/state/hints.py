"""Table of the load of peers, as measured and as reported by them."""

import dataclasses

from sassafraswood.models import ids
from sassafraswood.models import messages


@dataclasses.dataclass(kw_only=True)
class PeerLoad:
    """Load of one peer: measurements of this daemon and the last hint.

    Attributes:
        in_flight: Calls sent to the peer that have not ended.
        hint: The last load that the peer reported.
        hint_at: Monotonic time in seconds at which the hint arrived.
        failures: Failures to reach the peer since the last success.
        avoid_until: Monotonic time in seconds of the next probe while
            failures > 0.
        is_probed: Whether a probe call to the peer is in flight.
        needs_probe_call: Whether the peer is reachable but its upstream is
            not, so that only a successful call ends the failure.
    """

    in_flight: int = 0
    hint: messages.AdmissionHint | None = None
    hint_at: float = 0.0
    failures: int = 0
    avoid_until: float = 0.0
    is_probed: bool = False
    needs_probe_call: bool = False


class HintTable:
    """Load of each peer, by daemon id."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._loads: dict[ids.DaemonId, PeerLoad] = {}

    def __len__(self) -> int:
        """Return the number of peers in the table."""
        return len(self._loads)

    def find(self, daemon_id: ids.DaemonId) -> PeerLoad | None:
        """Return the load of a peer, or None if it is not in the table."""
        return self._loads.get(daemon_id)

    def get(self, daemon_id: ids.DaemonId) -> PeerLoad:
        """Return the load of a peer, which is added if missing."""
        return self._loads.setdefault(daemon_id, PeerLoad())

    def items(self) -> list[tuple[ids.DaemonId, PeerLoad]]:
        """Return the daemon id and load of all peers."""
        return list(self._loads.items())

    def remove(self, daemon_id: ids.DaemonId) -> None:
        """Remove a peer, if it is in the table."""
        self._loads.pop(daemon_id, None)
