"""Rules for the traffic of a fleet, as the operator sets them."""

import dataclasses

from sassafraswood.models import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Destination:
    """A service that runs a part of the requests of a route."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A route and what may be done with its requests.

    Attributes:
        prefix: Begins and ends with a slash.
        is_idempotent: Whether a request may run more than once.
        timeout_s: Longest time that a request may wait for its answer.
        target_s: Time within which an answer has its full value.
        max_upstreams: Upstreams to which one request may be sent.
        rank: 0 is the most important.
        is_open: Whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    destinations: tuple[Destination, ...]
    is_idempotent: bool
    timeout_s: float
    target_s: float
    max_upstreams: int
    rank: int
    is_open: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceRules:
    """What a workspace may send.

    Attributes:
        rank: Goes before the rank of a route; None leaves that in force.
        rate_per_s: Requests per second of all daemons; 0 is no limit.
        burst: Requests above the rate that may come at once.
    """

    name: ids.Workspace
    rank: int | None
    rate_per_s: float
    burst: float

    @property
    def is_limited(self) -> bool:
        """Return whether the workspace has a limit."""
        return self.rate_per_s > 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRules:
    """What holds for the upstreams of a service."""

    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Bounds of what a client may send and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TrafficRules:
    """One version of all rules.

    Attributes:
        version: Rises with each change.
        workspaces_by_key: Empty if no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, ServiceRules]
    workspaces: dict[ids.Workspace, WorkspaceRules]
    workspaces_by_key: dict[bytes, WorkspaceRules]
    limits: ClientLimits

    @property
    def needs_keys(self) -> bool:
        """Return whether requests on routes that are not open need a key."""
        return bool(self.workspaces)
