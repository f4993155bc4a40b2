"""Bodies of the local HTTP interface of a daemon."""

import msgspec

from sassafraswood.models import enums
from sassafraswood.models import ids


class AnnounceRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /upstream/announce.

    Attributes:
        address: host:port of the upstream.
        slots: Requests that it runs at once.
        instance: Names the process of the upstream, so that a restart is
            told from a repeated announcement.
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
    """Answer to a publication.

    Attributes:
        offset: First offset that a daemon needs to have folded for the
            publication to be in force there.
    """

    status: enums.PublicationStatus
    revision: int
    detail: str
    offset: int


class ErrorResult(msgspec.Struct):
    """Answer to a request that failed."""

    error: str
    detail: str
