"""Index of routes by host and path prefix."""

from collections.abc import Iterable

from sassafraswood.models import traffic


class RouteIndex:
    """Finds the route with the longest prefix that matches a path."""

    def __init__(self, routes: Iterable[traffic.Route]) -> None:
        """Build the index of the routes."""
        self._hosts: dict[bytes, dict[bytes, traffic.Route]] = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host.lower().encode(), {})
            prefixes[route.prefix.encode()] = route

    def find(self, host: bytes, path: bytes) -> traffic.Route | None:
        """Return the route of a path without its query, or None."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            prefixes = self._hosts.get(host.lower().partition(b':')[0])
            if prefixes is None:
                return None
        end = len(path)
        while (slash := path.rfind(b'/', 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None
