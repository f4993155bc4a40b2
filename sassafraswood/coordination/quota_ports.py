"""Interfaces of leases and configuration that quota decisions use."""

import typing

from sassafraswood.models import ids
from sassafraswood.models import records


class Leases(typing.Protocol):
    """Partitions that this daemon owns."""

    def owned(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry while this daemon holds a valid lease on it."""


class Documents(typing.Protocol):
    """Service documents in force."""

    def document(
        self, service: ids.ServiceName
    ) -> records.DocumentEntry | None:
        """Return the document in force, or None."""


class Configuration(Documents, typing.Protocol):
    """Service documents in force and owners of partitions."""

    def partition(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the entry in force, or None if the partition has no owner."""
