"""Chooses owners and guardians of partitions by rendezvous hashing."""

from typing import Sequence

import xxhash

from sassafraswood import const
from sassafraswood.models import ids
from sassafraswood.models import records


def compute_weight(
    service: ids.ServiceName, partition: int, daemon_id: ids.DaemonId
) -> int:
    """Return the weight of a daemon for a partition; the highest wins."""
    text = f'{service}/{partition}/{daemon_id}'
    return xxhash.xxh64_intdigest(text.encode())


def rank_claimants(
    service: ids.ServiceName,
    partition: int,
    members: Sequence[records.Member],
) -> list[records.Member]:
    """Return the members in the order in which they claim a free partition.

    The members ranked first are spread over failure domains across the
    partitions, and over daemons within a domain.
    """
    chosen: list[records.Member] = []
    ranked: list[records.Member] = []
    for number in range(partition + 1):
        ranked = sorted(
            members,
            key=lambda member: (
                _count_in_domain(chosen, member),
                chosen.count(member),
                -compute_weight(service, number, member.daemon_id),
            ),
        )
        chosen += ranked[:1]
    return ranked


def choose_guardian(
    service: ids.ServiceName,
    partition: int,
    owner_domain: ids.FailureDomain,
    candidates: Sequence[records.Member],
) -> records.Member | None:
    """Return the guardian for a partition, or None without candidates.

    Candidates outside the failure domain of the owner are preferred.
    """
    return min(
        candidates,
        key=lambda member: (
            member.failure_domain == owner_domain,
            -compute_weight(service, partition, member.daemon_id),
        ),
        default=None,
    )


def partition_of_key(key: str) -> int:
    """Return the partition of an idempotency key."""
    return xxhash.xxh64_intdigest(key.encode()) % const.PARTITIONS_PER_SERVICE


def _count_in_domain(
    chosen: Sequence[records.Member], member: records.Member
) -> int:
    return sum(item.failure_domain == member.failure_domain for item in chosen)
