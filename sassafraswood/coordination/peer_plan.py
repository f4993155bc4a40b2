"""Selection of the peers to which a daemon keeps connections.

At several hundred daemons, a full mesh of connections would cost more than the
calls. Each daemon connects to a few peers from which it receives the state of
the store, and to a subset of the daemons of each service that it calls.
"""

from collections.abc import Callable, Iterable
from typing import Final

import xxhash

from sassafraswood.models import fleet
from sassafraswood.models import ids

# Number of daemons that may read the store for all. If a third of all VMs
# loses the store, at least one of eight daemons still reads it in all but 1 of
# 7,000 cases.
READING_GROUP_SIZE: Final = 8
# Number of peers that a daemon outside the reading group asks for the state of
# the store and to which it reports crashes. While all five are of the reading
# group of eight, any two daemons share at least two of them; daemons far back
# in the order choose from more peers than the group.
STORE_SOURCE_COUNT: Final = 5
# A daemon asks peers among the first sixth of the daemons before it in the
# order. At 750 daemons, state arrives over three daemons, and no daemon is
# asked by more than about 150 others.
STORE_SOURCE_RANK_DIVISOR: Final = 6
# Number of connections for one service, and how many of them go to the own
# failure domain if it has that many daemons. With these, the load differs
# little between upstreams.
SUBSET_SIZE: Final = 12
LOCAL_SUBSET_SIZE: Final = 6


class PeerPlan:
    """Orders the members of a fleet as seen from one of them."""

    def __init__(self, own: fleet.Member) -> None:
        """Create a plan for a daemon; set_members has to follow.

        Args:
            own: Member record of this daemon.
        """
        self._own = own
        self._order: list[ids.DaemonId] = []
        self._rank = 0
        self._members_by_service: dict[
            ids.ServiceName, list[fleet.Member]
        ] = {}
        self._rankings: dict[ids.ServiceName, list[ids.DaemonId]] = {}
        self._evacuated: frozenset[ids.FailureDomain] = frozenset()

    def set_evacuated(self, domains: frozenset[ids.FailureDomain]) -> None:
        """Leave failure domains out of the choice of daemons for calls.

        Their daemons still pass on what they read from the store.
        """
        self._evacuated = domains
        self._rankings = {}

    def set_members(self, members: Iterable[fleet.Member]) -> None:
        """Set the members of the fleet; the own record is added."""
        self._members_by_service = {}
        self._rankings = {}
        members_by_id = {self._own.daemon_id: self._own}
        members_by_id.update({member.daemon_id: member for member in members})
        for member in members_by_id.values():
            self._members_by_service.setdefault(member.service, []).append(
                member
            )
        self._order = sorted(members_by_id, key=_hash_daemon)
        self._rank = self._order.index(self._own.daemon_id)

    @property
    def is_in_reading_group(self) -> bool:
        """Return whether this daemon may have to read the store for all."""
        return self._rank < READING_GROUP_SIZE

    @property
    def ahead(self) -> list[ids.DaemonId]:
        """Return the daemons that precede this one as readers of the store."""
        return self._order[: min(self._rank, READING_GROUP_SIZE)]

    @property
    def store_sources(self) -> list[ids.DaemonId]:
        """Return the peers to ask for the state of the store."""
        if self.is_in_reading_group:
            group = self._order[:READING_GROUP_SIZE]
            return [item for item in group if item != self._own.daemon_id]
        size = max(READING_GROUP_SIZE, self._rank // STORE_SOURCE_RANK_DIVISOR)
        return sorted(
            self._order[:size],
            key=lambda item: _hash_pair(self._own.daemon_id, item),
        )[:STORE_SOURCE_COUNT]

    def subset(
        self,
        service: ids.ServiceName,
        is_failing: Callable[[ids.DaemonId], bool],
    ) -> list[ids.DaemonId]:
        """Return the daemons to connect to for calls of a service.

        Args:
            service: The service that is called.
            is_failing: Returns whether a daemon accepts no calls now; one
                more daemon is added for each such daemon.
        """
        chosen = []
        usable = 0
        for daemon_id in self._rank_daemons(service):
            chosen.append(daemon_id)
            if not is_failing(daemon_id):
                usable += 1
            if usable == SUBSET_SIZE:
                break
        return chosen

    def _rank_daemons(self, service: ids.ServiceName) -> list[ids.DaemonId]:
        """Return all daemons of a service in the order of preference."""
        ranking = self._rankings.get(service)
        if ranking is not None:
            return ranking
        local: list[ids.DaemonId] = []
        remote: list[ids.DaemonId] = []
        for member in self._members_by_service.get(service, []):
            if (
                member.daemon_id == self._own.daemon_id
                or member.failure_domain in self._evacuated
            ):
                continue
            is_local = member.failure_domain == self._own.failure_domain
            (local if is_local else remote).append(member.daemon_id)
        for part in (local, remote):
            part.sort(key=lambda item: _hash_pair(self._own.daemon_id, item))
        remote_count = SUBSET_SIZE - len(local[:LOCAL_SUBSET_SIZE])
        ranking = [
            *local[:LOCAL_SUBSET_SIZE],
            *remote[:remote_count],
            *local[LOCAL_SUBSET_SIZE:],
            *remote[remote_count:],
        ]
        self._rankings[service] = ranking
        return ranking


def _hash_daemon(daemon_id: ids.DaemonId) -> int:
    return xxhash.xxh64_intdigest(daemon_id.encode())


def _hash_pair(own: ids.DaemonId, other: ids.DaemonId) -> int:
    """Return the hash of a pair of daemons, for rendezvous hashing."""
    return xxhash.xxh64_intdigest(f'{own}/{other}'.encode())
