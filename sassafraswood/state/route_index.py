"""Routes by host and prefix."""

from collections.abc import Iterable

from sassafraswood.models import traffic


class RouteIndex:
    """Finds the route with the longest prefix of a path."""

    def __init__(self, routes: Iterable[traffic.Route]) -> None:
        """Index the routes."""
        self._hosts: dict[bytes, dict[bytes, traffic.Route]] = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host.lower().encode(), {})
            prefixes[route.prefix.encode()] = route

    def find(self, host: bytes, path: bytes) -> traffic.Route | None:
        """Return the route of a path without query, if any."""
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
