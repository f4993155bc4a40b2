"""Which other daemons a daemon keeps connections to.

A connection from each daemon to each other one would cost more than the calls
at several hundred daemons. Each daemon connects to a few daemons from which it
learns the state of the store, and to a part of those beside the upstreams of
each service that it calls.
"""

from collections.abc import Callable, Iterable
from typing import Final

import xxhash

from sassafraswood.models import fleet
from sassafraswood.models import ids

# Daemons that may read the store for all. When a third of all VMs loses the
# store, one of eight still reads it in all but 1 of 7,000 cases.
READING_GROUP: Final = 8
# Daemons that each other one asks for the state of the store, and tells of
# crashes; any two daemons have one in common that is in the group.
FEEDS: Final = 5
# A daemon asks those in the first sixth of the order before it: state passes
# over three daemons at 750, and none is asked by more than about 150.
FEED_SHARE: Final = 6
# Connections for one service, and how many of them go to the own failure
# domain if it has that many; the load on each upstream then differs little.
SUBSET: Final = 12
NEAR_SUBSET: Final = 6


class PeerPlan:
    """Orders the members of a fleet from the view of one of them."""

    def __init__(self, own: fleet.Member) -> None:
        """Take this daemon's record."""
        self._own = own
        self._order: list[ids.DaemonId] = []
        self._rank = 0
        self._by_service: dict[ids.ServiceName, list[fleet.Member]] = {}
        self._rankings: dict[ids.ServiceName, list[ids.DaemonId]] = {}

    def set_members(self, members: Iterable[fleet.Member]) -> None:
        """Take all daemons."""
        self._by_service = {}
        self._rankings = {}
        known = {self._own.daemon_id: self._own}
        known.update({member.daemon_id: member for member in members})
        for member in known.values():
            self._by_service.setdefault(member.service, []).append(member)
        self._order = sorted(known, key=_place)
        self._rank = self._order.index(self._own.daemon_id)

    @property
    def is_in_reading_group(self) -> bool:
        """Return whether this daemon may have to read the store for all."""
        return self._rank < READING_GROUP

    @property
    def ahead(self) -> list[ids.DaemonId]:
        """Return the daemons that read the store before this one."""
        return self._order[: min(self._rank, READING_GROUP)]

    @property
    def feeds(self) -> list[ids.DaemonId]:
        """Return the daemons to ask for the state of the store."""
        if self.is_in_reading_group:
            group = self._order[:READING_GROUP]
            return [item for item in group if item != self._own.daemon_id]
        size = max(READING_GROUP, self._rank // FEED_SHARE)
        return sorted(
            self._order[:size],
            key=lambda item: _hash(self._own.daemon_id, item),
        )[:FEEDS]

    def subset(
        self,
        service: ids.ServiceName,
        is_failing: Callable[[ids.DaemonId], bool],
    ) -> list[ids.DaemonId]:
        """Return the daemons to connect to for calls of a service.

        Args:
            service: The service that is called.
            is_failing: Whether a daemon takes no calls now; another one is
                added for each of these.
        """
        chosen = []
        usable = 0
        for daemon_id in self._ranking(service):
            chosen.append(daemon_id)
            if not is_failing(daemon_id):
                usable += 1
            if usable == SUBSET:
                break
        return chosen

    def _ranking(self, service: ids.ServiceName) -> list[ids.DaemonId]:
        """Return all daemons of a service, the ones to connect to first."""
        ranking = self._rankings.get(service)
        if ranking is not None:
            return ranking
        near: list[ids.DaemonId] = []
        far: list[ids.DaemonId] = []
        for member in self._by_service.get(service, []):
            if member.daemon_id == self._own.daemon_id:
                continue
            is_near = member.failure_domain == self._own.failure_domain
            (near if is_near else far).append(member.daemon_id)
        for part in (near, far):
            part.sort(key=lambda item: _hash(self._own.daemon_id, item))
        first_far = SUBSET - len(near[:NEAR_SUBSET])
        ranking = [
            *near[:NEAR_SUBSET],
            *far[:first_far],
            *near[NEAR_SUBSET:],
            *far[first_far:],
        ]
        self._rankings[service] = ranking
        return ranking


def _place(daemon_id: ids.DaemonId) -> int:
    return xxhash.xxh64_intdigest(daemon_id.encode())


def _hash(own: ids.DaemonId, other: ids.DaemonId) -> int:
    """Return a number that differs for each pair (rendezvous hashing)."""
    return xxhash.xxh64_intdigest(f'{own}/{other}'.encode())
