"""Importance of calls under load, and weighted split of a route."""

from sassafraswood.models import ids
from sassafraswood.models import traffic


class RouteSplit:
    """Distributes the requests of a route over its services by weight.

    The algorithm is smooth weighted round robin.
    """

    def __init__(self, route: traffic.Route) -> None:
        """Initialize the split with the destinations of a route."""
        self._destinations = route.destinations
        self._total_weight = sum(
            destination.weight for destination in self._destinations
        )
        self._credits = [0.0] * len(self._destinations)

    def next(self) -> ids.ServiceName:
        """Return the service for the next request."""
        if len(self._destinations) == 1:
            return self._destinations[0].service
        selected = 0
        for index, destination in enumerate(self._destinations):
            self._credits[index] += destination.weight
            if self._credits[index] > self._credits[selected]:
                selected = index
        self._credits[selected] -= self._total_weight
        return self._destinations[selected].service


def order(
    route: traffic.Route, workspace: traffic.WorkspaceRules
) -> tuple[int, int]:
    """Return the sort key of a call; the least key is the most important.

    It compares by the rank of the workspace, then by that of the route. A
    workspace without a rank has that of the route.
    """
    rank = route.rank if workspace.rank is None else workspace.rank
    return rank, route.rank


def compute_urgencies(
    rules: traffic.TrafficRules,
) -> dict[tuple[int, int], float]:
    """Return the urgency of each sort key, from 0 (least) to 1 (most)."""
    sort_keys = sorted(
        {
            order(route, workspace)
            for route in rules.routes
            if not route.is_open
            for workspace in rules.workspaces.values()
        },
        reverse=True,
    )
    last = max(1, len(sort_keys) - 1)
    return {
        sort_key: round(index / last, 2)
        for index, sort_key in enumerate(sort_keys)
    }
