"""Records of the log that all daemons read."""

import msgspec

from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids


class Publish(msgspec.Struct, frozen=True, kw_only=True, tag='publish'):
    """A revision of a service document.

    Attributes:
        replaces: Revision that it replaces; 0 for the first one. The record
            is accepted only if this revision is in force, and becomes
            revision replaces + 1.
        document: The document as JSON value; checked when it is applied.
    """

    publication_id: ids.PublicationId
    service: ids.ServiceName
    replaces: ids.Revision
    document: dict


class GrantKey(msgspec.Struct, frozen=True, kw_only=True, tag='grant_key'):
    """Grants a key to a workspace; only its SHA-256 (hex) is stored."""

    publication_id: ids.PublicationId
    key_id: ids.KeyId
    workspace: ids.Workspace
    key_sha256: str


class WithdrawKey(
    msgspec.Struct, frozen=True, kw_only=True, tag='withdraw_key'
):
    """Withdraws a key; its id is never granted again."""

    publication_id: ids.PublicationId
    key_id: ids.KeyId


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of a daemon and its upstream in the member table.

    Attributes:
        version: Number that the daemon raises with each change of its entry.
        peer_address: host:port of its socket for peers.
        http_address: host:port of its HTTP server for callers.
        slots: Requests that its upstream runs at once; 0 without an upstream.
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
    """Announces a new or changed member entry."""

    member: Member


class Leave(msgspec.Struct, frozen=True, kw_only=True, tag='leave'):
    """Announces the planned stop of a daemon process."""

    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon process, as the holder of a role or of tokens."""

    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation


class ClaimPartition(
    msgspec.Struct, frozen=True, kw_only=True, tag='claim_partition'
):
    """Claims a partition without the consent of the last owner.

    It is accepted only if `replaces` is the term in force, 0 for none.

    Attributes:
        wait_s: Seconds from the append until the term starts.
        reclaimed_by_operator: Whether an operator confirms that the VMs of
            the last owner and its guardian are destroyed, which allows a
            short wait.
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
    """Hands a partition over to a new owner, whose term starts at once.

    It is accepted only if `replaces` is the term in force and `sender` is
    its owner.

    Attributes:
        with_state: Whether the new owner has the state of the term, so that
            its knowledge of idempotency keys continues.
        release: Whether the partition is released because the last daemon of
            the service stops. Nobody owns the new term, any daemon may claim
            the partition at once, and `owner` is the sender.
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
    """Sets a new guardian; appended by the owner after its term has begun.

    Attributes:
        replaces_version: Guardian version that it replaces. A copy of the
            record that is appended late is rejected; it would otherwise
            restore a guardian that the owner no longer asks for promises.
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
    """Quarantines the fingerprint of requests that crashed upstreams.

    Attributes:
        until_unix_s: Unix time in seconds at which the quarantine ends.
    """

    fingerprint: ids.Fingerprint
    service: ids.ServiceName
    until_unix_s: float


class DocumentEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A service document in force."""

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
        offset: Log offset of the record that began the term.
        wait_s: Seconds from the append of that record to the start of the
            term; 0 after a record of the owner shows that it has begun.
        continuous_since: First term of the consecutive hand-overs with state
            that lead to this term.
        guardian_version: Number of guardian changes within the term.
        released: Whether any daemon may claim the partition at once; `owner`
            is the daemon that released it.
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
    """Stored result of a publication."""

    publication_id: ids.PublicationId
    status: enums.PublicationStatus
    revision: ids.Revision
    detail: str


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, tag='snapshot'):
    """State after all log records before an offset are applied.

    Attributes:
        next_offset: First offset that is not included in the state.
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
        body: The record as JSON text, exactly as it was published.
    """

    offset: ids.Offset
    body: str
