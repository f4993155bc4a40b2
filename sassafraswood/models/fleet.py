"""Daemons of a fleet and their upstreams."""

import dataclasses

from sassafraswood.models import enums
from sassafraswood.models import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A daemon and the service of the upstream beside it.

    Attributes:
        address: IP address and port for messages of other daemons.
    """

    daemon_id: ids.DaemonId
    address: tuple[str, int]
    failure_domain: ids.FailureDomain
    service: ids.ServiceName


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamStart:
    """One process of an upstream; the next one may have the same id.

    Attributes:
        born: Unix time of its start in milliseconds, if it is known.
    """

    instance_id: str
    born: int | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamReport:
    """What an upstream says of itself.

    Attributes:
        born: Unix time of its start in milliseconds; None if it says none.
        sequence: Rises with each report of one start.
        cold_left_s: How much longer it is slow after its start, in seconds.
    """

    instance_id: str
    service: ids.ServiceName
    address: tuple[str, int]
    born: int | None
    sequence: int
    slots: int
    status: enums.UpstreamStatus
    cold_left_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownUpstream:
    """What the next process on a VM has to know of the upstream there.

    Attributes:
        born: Unix time of its start in milliseconds; None if it says none.
    """

    instance_id: str
    born: int | None
    slots: int
