"""Request and response bodies of a daemon's local HTTP API."""

import msgspec

from sassafraswood.models import enums
from sassafraswood.models import ids


class AnnounceRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /upstream/announce.

    Attributes:
        address: host:port of the upstream.
        slots: Number of requests that it runs concurrently.
        instance: Identifies the process of the upstream, to distinguish a
            restart from a repeated announcement.
    """

    address: str
    slots: int
    instance: str = ''


class PublishRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /operator/publish."""

    publication_id: ids.PublicationId
    replaces: ids.Revision
    document: dict


class GrantRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /operator/keys/grant."""

    publication_id: ids.PublicationId
    key_id: ids.KeyId
    workspace: ids.Workspace
    key_sha256: str


class WithdrawRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /operator/keys/withdraw."""

    publication_id: ids.PublicationId
    key_id: ids.KeyId


class ReclaimRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /operator/partition/reclaim."""

    service: ids.ServiceName
    partition: int


class PublicationResult(msgspec.Struct):
    """Response to a publication.

    Attributes:
        offset: First log offset that a daemon must have applied for the
            publication to be in force there.
    """

    status: enums.PublicationStatus
    revision: int
    detail: str
    offset: int


class ErrorResult(msgspec.Struct):
    """Response to a request that failed."""

    error: str
    detail: str
