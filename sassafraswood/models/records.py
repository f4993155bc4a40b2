"""Records of the platform's log."""

import msgspec

from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids


class Publish(msgspec.Struct, frozen=True, kw_only=True, tag='publish'):
    """A revision of a service document.

    Attributes:
        replaces: The revision that it replaces; 0 for the first one. It is
            accepted only if this revision is in force; it becomes
            replaces + 1.
        document: The document as JSON value; checked when folded.
    """

    publication_id: ids.PublicationId
    service: ids.ServiceName
    replaces: ids.Revision
    document: dict


class GrantKey(msgspec.Struct, frozen=True, kw_only=True, tag='grant_key'):
    """A key of a workspace, stored as the hex SHA-256 of the key."""

    publication_id: ids.PublicationId
    key_id: ids.KeyId
    workspace: ids.Workspace
    key_sha256: str


class WithdrawKey(
    msgspec.Struct, frozen=True, kw_only=True, tag='withdraw_key'
):
    """The end of a key. A withdrawn key id is never granted again."""

    publication_id: ids.PublicationId
    key_id: ids.KeyId


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon and its upstream.

    Attributes:
        version: Raised by the daemon with each change of its entry.
        peer_address: host:port of its ROUTER socket.
        http_address: host:port of its HTTP server for callers.
        slots: Requests that its upstream runs at once; 0 without upstream.
    """

    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation
    version: int
    service: ids.ServiceName
    failure_domain: ids.FailureDomain
    region: str
    peer_address: str
    http_address: str
    status: enums.MemberStatus
    upstream_status: enums.UpstreamStatus
    slots: int


class Announce(msgspec.Struct, frozen=True, kw_only=True, tag='announce'):
    """A member entry."""

    member: Member


class Leave(msgspec.Struct, frozen=True, kw_only=True, tag='leave'):
    """The planned end of a daemon."""

    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon process that holds a role."""

    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation


class ClaimPartition(
    msgspec.Struct, frozen=True, kw_only=True, tag='claim_partition'
):
    """A claim of a partition without the consent of the last owner.

    It is accepted only if `replaces` is the term in force (0 for none).

    Attributes:
        wait_s: Seconds from the append until the term starts.
        reclaimed_by_operator: An operator states that the VMs of the last
            owner and its guardian are destroyed, which allows a short wait.
    """

    service: ids.ServiceName
    partition: int
    replaces: ids.Term
    owner: Holder
    guardian: Holder | None
    wait_s: float
    reclaimed_by_operator: bool = False


class TransferPartition(
    msgspec.Struct, frozen=True, kw_only=True, tag='transfer_partition'
):
    """A planned hand-over by the owner; the new term starts at once.

    It is accepted only if `replaces` is the term in force and `sender` is
    its owner.

    Attributes:
        with_state: Whether the new owner received the state of the term, so
            that knowledge of idempotency keys continues.
        release: The last daemon of a service stops: nobody owns the new
            term and anyone may claim it at once. `owner` is the sender.
    """

    service: ids.ServiceName
    partition: int
    replaces: ids.Term
    sender: Holder
    owner: Holder
    guardian: Holder | None
    with_state: bool
    release: bool = False


class ChangeGuardian(
    msgspec.Struct, frozen=True, kw_only=True, tag='change_guardian'
):
    """A new guardian, named by the owner of the term once it has begun.

    Attributes:
        replaces_version: Guardian version that it replaces. A copy that the
            log appends late is rejected, so that it can't bring back a
            guardian whom the owner no longer asks for promises.
    """

    service: ids.ServiceName
    partition: int
    term: ids.Term
    sender: Holder
    guardian: Holder | None
    replaces_version: int = 0


class QuarantineFingerprint(
    msgspec.Struct, frozen=True, kw_only=True, tag='quarantine'
):
    """A request fingerprint that crashed upstreams.

    Attributes:
        until_unix_s: End of the quarantine as Unix time in seconds.
    """

    fingerprint: ids.Fingerprint
    service: ids.ServiceName
    until_unix_s: float


class DocumentEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A document in force."""

    service: ids.ServiceName
    revision: ids.Revision
    offset: ids.Offset
    document: document.ServiceDocument


class KeyEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A key, granted or withdrawn."""

    key_id: ids.KeyId
    workspace: ids.Workspace
    key_sha256: str
    withdrawn: bool


class PartitionEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A partition of a service and its holders.

    Attributes:
        offset: Offset of the record that began the term.
        wait_s: Seconds from the append of that record to the start of the
            term; 0 once the owner has recorded that the term began.
        continuous_since: First term of the unbroken chain of hand-overs
            with state that leads to this term.
        guardian_version: Number of changes of guardian within the term.
        released: Whether the partition is free; `owner` is who released it.
    """

    service: ids.ServiceName
    partition: int
    term: ids.Term
    owner: Holder
    guardian: Holder | None
    offset: ids.Offset
    wait_s: float
    continuous_since: ids.Term
    guardian_version: int = 0
    released: bool = False


class PublicationEntry(msgspec.Struct, frozen=True, kw_only=True):
    """The remembered result of a publication."""

    publication_id: ids.PublicationId
    status: enums.PublicationStatus
    revision: ids.Revision
    detail: str


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, tag='snapshot'):
    """The folded state as of an offset.

    Attributes:
        next_offset: First offset that is not part of the state.
    """

    next_offset: ids.Offset
    documents: list[DocumentEntry]
    keys: list[KeyEntry]
    members: list[Member]
    partitions: list[PartitionEntry]
    publications: list[PublicationEntry]
    quarantines: list[QuarantineFingerprint]


Record = (
    Publish
    | GrantKey
    | WithdrawKey
    | Announce
    | Leave
    | ClaimPartition
    | TransferPartition
    | ChangeGuardian
    | QuarantineFingerprint
    | Snapshot
)


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A record of the log with its offset.

    Attributes:
        body: The record as JSON text, kept as published.
    """

    offset: ids.Offset
    body: str
