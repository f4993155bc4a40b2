"""Traffic rules of a fleet, as configured by the operator."""

import dataclasses

from sassafraswood.models import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Destination:
    """A service that receives a weighted part of the requests of a route."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A route and the rules for its requests.

    Attributes:
        prefix: Path prefix that starts and ends with a slash.
        is_idempotent: Whether a request may run more than once.
        timeout_s: Longest time in seconds that a request may wait for its
            response.
        target_s: Latency target in seconds; a later response has less value.
        max_upstreams: Number of upstreams to which one request may be sent.
        rank: Importance of the requests; 0 is the most important.
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
    """Limits of a workspace.

    Attributes:
        rank: Overrides the rank of the route; None keeps that rank.
        rate_per_s: Requests per second over all daemons; 0 means no limit.
        burst: Requests above the rate that may arrive at once.
    """

    name: ids.Workspace
    rank: int | None
    rate_per_s: float
    burst: float

    @property
    def is_limited(self) -> bool:
        """Return whether the workspace has a rate limit."""
        return self.rate_per_s > 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRules:
    """Rules for the upstreams of a service.

    Attributes:
        cold_s: Time after its start during which an upstream is cold, in
            seconds; 0 if the operator states none.
        cold_rate_per_s: Requests per second that a cold upstream tolerates; 0
            if the operator states no rate.
    """

    health_path: str
    max_connections: int
    cold_s: float = 0.0
    cold_rate_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Limits on the size and the duration of client requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TrafficRules:
    """One version of all traffic rules.

    Attributes:
        version: Number that rises with each change.
        workspaces_by_key: Rules by key; empty if no request needs a key.
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
