"""The document of a service."""

import msgspec

from sassafraswood import const
from sassafraswood.models import ids


class RouteSpec(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Rules of one route.

    Attributes:
        path: Path pattern; a segment `{name}` matches one segment and a last
            segment `**` matches the rest.
        methods: HTTP methods; empty means all.
        open: Whether requests need no key.
        importance: One of critical, high, normal and low.
        idempotent: Whether a request may run more than once; None follows the
            method (RFC 9110 section 9.2.2).
        require_idempotency_key: Whether to refuse non-idempotent requests
            without an idempotency key.
        timeout_s: Longest duration of a call in seconds.
    """

    path: str
    methods: list[str] = []
    open: bool = False
    importance: str = 'normal'
    idempotent: bool | None = None
    require_idempotency_key: bool = False
    timeout_s: float = const.DEFAULT_TIMEOUT_S


class WorkspaceSpec(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of one workspace at the service, across the fleet.

    Attributes:
        rate: Sustained requests per second.
        burst: Requests that may arrive at once above the rate.
        weight: Share under overload, relative to the other workspaces.
    """

    rate: float
    burst: float
    weight: float = 1.0


class ServiceDocument(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The document of one service.

    Attributes:
        version: Version of the document format, always 1.
        routes: Routes in order; the first one that matches a request applies.
        workspaces: Workspaces that may call the service.
        retry_allowance: Retries for one request of a caller over its whole
            call tree.
        max_body_bytes: Largest body of a request or an answer in bytes.
        max_concurrency_per_caller: Calls that one daemon may have in flight
            to this service; None derives the number from the slots.
    """

    version: int
    service: ids.ServiceName
    routes: list[RouteSpec]
    workspaces: dict[ids.Workspace, WorkspaceSpec] = {}
    retry_allowance: int = const.DEFAULT_RETRY_ALLOWANCE
    max_body_bytes: int = const.MAX_BODY_BYTES
    max_concurrency_per_caller: int | None = None
