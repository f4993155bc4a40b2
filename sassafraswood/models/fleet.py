"""Daemons of a fleet and the upstreams beside them."""

import dataclasses

from sassafraswood.models import enums
from sassafraswood.models import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A daemon and the service of the upstream beside it.

    Attributes:
        address: IP address and port for messages of peers.
        service: Service of the upstream beside the daemon.
    """

    daemon_id: ids.DaemonId
    address: tuple[str, int]
    failure_domain: ids.FailureDomain
    service: ids.ServiceName


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamProcess:
    """One process of an upstream; a later process may have the same id.

    Attributes:
        born: Unix time of the process start in milliseconds, or None if
            unknown.
    """

    instance_id: str
    born: int | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamReport:
    """Report of an upstream about its own state.

    Attributes:
        born: Unix time of the process start in milliseconds; None if it is
            not reported.
        sequence: Number that rises with each report of one process.
        slots: Requests that it runs at once.
        cold_left_s: Seconds until the upstream is no longer cold, as it states
            it; None if it does not, or if that is not known.
    """

    instance_id: str
    service: ids.ServiceName
    address: tuple[str, int]
    born: int | None
    sequence: int
    slots: int
    status: enums.UpstreamStatus
    cold_left_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredUpstream:
    """Upstream on a VM, as a daemon stores it for its next process.

    Attributes:
        born: Unix time of the process start in milliseconds; None if it is
            not reported.
        slots: Requests that it runs at once.
    """

    instance_id: str
    born: int | None
    slots: int
