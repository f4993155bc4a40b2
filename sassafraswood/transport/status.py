"""Status of a daemon and of the fleet, as reported to operators."""

import msgspec

from sassafraswood import const
from sassafraswood.coordination import admission as admission_module
from sassafraswood.coordination import configuration as configuration_module
from sassafraswood.coordination import freshness as freshness_module
from sassafraswood.coordination import membership as membership_module
from sassafraswood.coordination import partition_lease
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.transport import traffic as traffic_module


class DocumentStatus(msgspec.Struct, kw_only=True):
    """Revision of the service document in force."""

    service: ids.ServiceName
    revision: ids.Revision
    offset: ids.Offset


class PartitionStatus(msgspec.Struct, kw_only=True):
    """Ownership of a partition of the service of this daemon.

    Attributes:
        is_held: Whether this daemon holds a valid lease on it.
    """

    partition: int
    term: ids.Term
    owner: ids.DaemonId
    guardian: ids.DaemonId | None
    is_held: bool


class DaemonStatus(msgspec.Struct, kw_only=True):
    """Status of this daemon."""

    version: str
    member: records.Member
    next_offset: ids.Offset
    is_log_readable: bool
    log_read_age_s: float | None
    is_authorization_stale: bool
    admission: messages.AdmissionHint
    documents: list[DocumentStatus]
    partitions: list[PartitionStatus]
    counts: dict[str, int]
    traffic: dict[str, traffic_module.TrafficCount]


class MemberView(msgspec.Struct, kw_only=True):
    """A member of the fleet as known to this daemon."""

    daemon_id: ids.DaemonId
    service: ids.ServiceName
    failure_domain: ids.FailureDomain
    status: enums.MemberStatus
    upstream_status: enums.UpstreamStatus
    slots: int
    is_silent: bool


class FleetStatus(msgspec.Struct, kw_only=True):
    """The fleet as known to this daemon."""

    members: list[MemberView]
    documents: list[DocumentStatus]


def daemon_status(
    *,
    own: records.Member,
    configuration: configuration_module.Configuration,
    freshness: freshness_module.Freshness,
    leases: partition_lease.PartitionLeases,
    admission: admission_module.Admission,
    counts: dict[str, int],
    traffic: dict[str, traffic_module.TrafficCount],
    is_log_readable: bool,
) -> DaemonStatus:
    """Return the status of this daemon."""
    return DaemonStatus(
        version=const.VERSION,
        member=own,
        next_offset=configuration.next_offset,
        is_log_readable=is_log_readable,
        log_read_age_s=freshness.log_read_age(),
        is_authorization_stale=freshness.is_stale(),
        admission=admission.hint(),
        documents=_documents(configuration),
        partitions=_partitions(own.service, configuration, leases),
        counts=counts,
        traffic=traffic,
    )


def fleet_status(
    *,
    membership: membership_module.Membership,
    configuration: configuration_module.Configuration,
) -> FleetStatus:
    """Return the status of the fleet as known to this daemon."""
    members = [
        MemberView(
            daemon_id=member.daemon_id,
            service=member.service,
            failure_domain=member.failure_domain,
            status=member.status,
            upstream_status=member.upstream_status,
            slots=member.slots,
            is_silent=membership.is_silent(member.daemon_id),
        )
        for member in membership.members()
    ]
    return FleetStatus(members=members, documents=_documents(configuration))


def _documents(
    configuration: configuration_module.Configuration,
) -> list[DocumentStatus]:
    return [
        DocumentStatus(
            service=entry.service,
            revision=entry.revision,
            offset=entry.offset,
        )
        for entry in configuration.documents()
    ]


def _partitions(
    service: ids.ServiceName,
    configuration: configuration_module.Configuration,
    leases: partition_lease.PartitionLeases,
) -> list[PartitionStatus]:
    statuses = []
    for partition in range(const.PARTITIONS_PER_SERVICE):
        entry = configuration.partition(service, partition)
        if entry is None:
            continue
        guardian = entry.guardian
        statuses.append(
            PartitionStatus(
                partition=partition,
                term=entry.term,
                owner=entry.owner.daemon_id,
                guardian=guardian.daemon_id if guardian else None,
                is_held=leases.owned(service, partition) is not None,
            )
        )
    return statuses
