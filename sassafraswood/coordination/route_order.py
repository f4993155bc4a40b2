"""Order of routes and workspaces under load, and the split of a route."""

from sassafraswood.models import ids
from sassafraswood.models import traffic


class RouteSplit:
    """Deals the requests of a route to its services by weight."""

    def __init__(self, route: traffic.Route) -> None:
        """Take the services and weights."""
        self._parts = route.destinations
        self._total = sum(part.weight for part in self._parts)
        self._credit = [0.0] * len(self._parts)

    def next(self) -> ids.ServiceName:
        """Return the service of the next request (smooth round robin)."""
        if len(self._parts) == 1:
            return self._parts[0].service
        best = 0
        for index, part in enumerate(self._parts):
            self._credit[index] += part.weight
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= self._total
        return self._parts[best].service


def order(
    route: traffic.Route, workspace: traffic.WorkspaceRules
) -> tuple[int, int]:
    """Return the order of importance; the rank of a workspace goes first."""
    rank = route.rank if workspace.rank is None else workspace.rank
    return rank, route.rank


def urgencies(rules: traffic.TrafficRules) -> dict[tuple[int, int], float]:
    """Return the place of each order between 0, the last, and 1."""
    orders = sorted(
        {
            order(route, workspace)
            for route in rules.routes
            if not route.is_open
            for workspace in rules.workspaces.values()
        },
        reverse=True,
    )
    last = max(1, len(orders) - 1)
    return {item: round(index / last, 2) for index, item in enumerate(orders)}
