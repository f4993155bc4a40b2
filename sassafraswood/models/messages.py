"""Messages that daemons exchange."""

import typing

import msgspec

from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records


class AdmissionHint(msgspec.Struct, frozen=True, kw_only=True):
    """Current load of a serving daemon.

    Attributes:
        lowest_importance: Lowest importance that is admitted.
        limit: Concurrency limit.
        in_flight: Calls that run at the upstream.
        queued: Calls that wait in the queue.
        upstream_status: State of the upstream.
    """

    lowest_importance: enums.Importance
    limit: int
    in_flight: int
    queued: int
    upstream_status: enums.UpstreamStatus


class Ping(msgspec.Struct, frozen=True, kw_only=True, tag='ping'):
    """Heartbeat of a connection between peers.

    It identifies the sender, because the socket reconnects by itself and the
    receiver does not notice when another daemon is at the address.
    """

    sequence: int
    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation


class Pong(msgspec.Struct, frozen=True, kw_only=True, tag='pong'):
    """Reply to a heartbeat."""

    sequence: int
    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation
    hint: AdmissionHint | None


class RunCall(msgspec.Struct, frozen=True, kw_only=True, tag='run_call'):
    """A call for the receiver's upstream.

    Attributes:
        as_owner: Whether the call goes to the receiver as the owner of the
            partition of the idempotency key, not as the serving daemon.
    """

    context: call.CallContext
    request: call.HttpRequest
    as_owner: bool = False


class RunResult(msgspec.Struct, frozen=True, kw_only=True, tag='run_result'):
    """Result of a call, with the current load of the sender."""

    call_id: ids.CallId
    result: call.Answer | call.Refusal
    allowance_left: int
    hint: AdmissionHint | None


class CancelCall(msgspec.Struct, frozen=True, kw_only=True, tag='cancel_call'):
    """Cancels a call; the receiver refuses the call if it arrives later."""

    call_id: ids.CallId


class CancelResult(
    msgspec.Struct, frozen=True, kw_only=True, tag='cancel_result'
):
    """Reply to a cancellation, with the state of the call.

    Attributes:
        incarnation: Process that replies. Only the process that the call was
            sent to knows whether the call ran.
        result: The result, if the call had finished.
    """

    call_id: ids.CallId
    incarnation: ids.Incarnation
    state: enums.CancelState
    result: call.Answer | call.Refusal | None = None
    allowance_left: int = 0


class QuotaDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Used and requested tokens of one limit at one partition.

    Attributes:
        spent: Tokens spent since the last request, by grant id.
        returned: Unspent tokens returned to the owner, by grant id.
        wanted: Tokens requested.
        waiting: Part of wanted for which calls wait; it is served before
            the tokens that other daemons prefetch.
    """

    service: ids.ServiceName
    partition: int
    term: ids.Term
    workspace: ids.Workspace
    spent: dict[int, float]
    returned: dict[int, float]
    wanted: float
    waiting: float = 0.0


class QuotaRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag='quota_request'
):
    """Batch of the quota demands of a daemon."""

    sequence: int
    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation
    demands: list[QuotaDemand]


class GrantedTokens(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Tokens granted for one limit.

    Attributes:
        grant_id: Id of the grant in later reports; 0 without tokens.
        tokens: Number of tokens; may be fractional.
        retry_after_s: Seconds until the owner expects to have tokens again.
        owned: Whether the sender owns the partition in this term.
    """

    service: ids.ServiceName
    partition: int
    term: ids.Term
    workspace: ids.Workspace
    grant_id: int
    tokens: float
    retry_after_s: float
    owned: bool = True


class QuotaGrant(msgspec.Struct, frozen=True, kw_only=True, tag='quota_grant'):
    """Reply to a quota request.

    The tokens expire QUOTA_TOKEN_LIFETIME_S after the request was sent.
    """

    sequence: int
    grants: list[GrantedTokens]


class GuardRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag='guard_request'
):
    """Request of an owner to its guardian to extend the lease."""

    sequence: int
    service: ids.ServiceName
    partition: int
    term: ids.Term
    owner: records.Holder


class GuardPromise(
    msgspec.Struct, frozen=True, kw_only=True, tag='guard_promise'
):
    """Reply of a guardian to a request of the owner.

    Attributes:
        granted: Whether the lease is extended, to at most LEASE_S after the
            owner sent the request. Only the guardian in force grants it, and
            not while a claim that it sent may have been appended. The term of
            a claim that it sends later begins after the lease has ended.
        log_read_age_s: Seconds since the guardian last began to read the log
            up to its tail.
    """

    sequence: int
    service: ids.ServiceName
    partition: int
    term: ids.Term
    granted: bool
    log_read_age_s: float


class IdempotencyEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An idempotency key and the result of its request.

    Attributes:
        request_sha256: Hash of the request, to detect reuse of the key.
        result: None if the outcome is unknown or the answer is not stored.
        age_s: Seconds since the first request with the key.
    """

    workspace: ids.Workspace | None
    key: str
    request_sha256: str
    result: call.Answer | None
    age_s: float


class LimitTokens(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tokens of one limit at one partition, as its owner counts them.

    Attributes:
        level: Tokens that can be granted.
        outstanding: Granted tokens that may still be spent.
    """

    workspace: ids.Workspace
    level: float
    outstanding: float


class QuotaState(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a partition whose owner grants no more tokens.

    Attributes:
        revision: Document that the limits are from.
    """

    revision: ids.Revision
    limits: list[LimitTokens]


class HandOver(msgspec.Struct, frozen=True, kw_only=True, tag='hand_over'):
    """Part of the state of a partition, sent to its next owner.

    Attributes:
        part: Number of this message, from 0.
        last: Whether this is the final message.
        knowledge_age_s: Seconds for which the sender has recorded all
            idempotency keys; None if since the first term.
        quota: Limits of the partition; None if the sender has not counted
            them or this is not the first part.
    """

    service: ids.ServiceName
    partition: int
    term: ids.Term
    sender: records.Holder
    part: int
    last: bool
    knowledge_age_s: float | None
    entries: list[IdempotencyEntry]
    quota: QuotaState | None = None


class HandOverDone(
    msgspec.Struct, frozen=True, kw_only=True, tag='hand_over_done'
):
    """Confirms that the receiver has the state and accepts the term."""

    service: ids.ServiceName
    partition: int
    term: ids.Term
    part: int


# Short field names. Digests are most of the traffic between idle daemons, and
# full names would take a third of the bytes of each.
_DIGEST_NAMES: typing.Final = {
    'daemon_id': 'd',
    'incarnation': 'i',
    'failure_domain': 'f',
    'next_offset': 'o',
    'log_read_age_s': 'a',
    'members_hash': 'm',
    'fingerprints_hash': 'p',
    'is_reply': 'r',
    'sequence': 's',
    'heard': 'h',
    'bucket_hashes': 'b',
}


class Digest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename=_DIGEST_NAMES,
    tag='digest',
):
    """Summary of the state of the sender, for gossip.

    Attributes:
        next_offset: First offset of the log that it has not applied.
        log_read_age_s: Seconds since the last read of the log up to its tail
            began, by the sender or a peer that reported it; None if never.
        members_hash: Hash of its member table.
        fingerprints_hash: Hash of its table of crash fingerprints.
        is_reply: Whether the digest replies to another one.
        sequence: Number of the digest; a reply repeats it.
        heard: Seconds since the last sign of life of some members, by hash
            of daemon id and incarnation.
        bucket_hashes: Hash of each bucket of its member table, in a reply to
            a digest with another members_hash.
    """

    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation
    failure_domain: ids.FailureDomain
    next_offset: ids.Offset
    log_read_age_s: float | None
    members_hash: int
    fingerprints_hash: int
    is_reply: bool = False
    sequence: int = 0
    heard: dict[int, int] = {}
    bucket_hashes: list[int] = []


class RecordsRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag='records_request'
):
    """Requests the log records from an offset on."""

    from_offset: ids.Offset


class Records(msgspec.Struct, frozen=True, kw_only=True, tag='records'):
    """Log records, or a snapshot if the records are no longer stored."""

    entries: list[records.LogEntry]
    snapshot: records.Snapshot | None = None


class MembersDelta(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag='members_delta',
):
    """Member entries to merge.

    Attributes:
        is_full: Whether the sender requests the table of the receiver.
        ages_s: Seconds since the last sign of life of each member; 0 where
            missing.
        buckets: Numbers of the buckets that differ; summaries covers the
            entries of the sender in them.
        summaries: Hash of incarnation and version by hash of the daemon id.
        wanted: Hashes of the daemon ids whose entries the sender requests.
    """

    members: list[records.Member]
    is_full: bool
    ages_s: list[int] = []
    buckets: list[int] = []
    summaries: dict[int, int] = {}
    wanted: list[int] = []


class FingerprintReport(
    msgspec.Struct, frozen=True, kw_only=True, tag='fingerprint_report'
):
    """Suspected and quarantined fingerprints.

    Attributes:
        suspects: Seconds for which each fingerprint that was in flight at a
            crash stays suspect.
        cleared: Suspects that have run alone without a crash.
        quarantined: Fingerprints that all daemons refuse until a Unix time.
        crash_unix_s: Unix time of the last crash of each fingerprint in
            suspects and cleared, which shows to which crash a clearance
            applies.
    """

    suspects: dict[ids.Fingerprint, float]
    cleared: list[ids.Fingerprint]
    quarantined: list[records.QuarantineFingerprint]
    crash_unix_s: dict[ids.Fingerprint, float] = {}


class Leaving(msgspec.Struct, frozen=True, kw_only=True, tag='leaving'):
    """Changed member entry of the sender, sent to connected peers at once."""

    member: records.Member


Message = (
    Ping
    | Pong
    | RunCall
    | RunResult
    | CancelCall
    | CancelResult
    | QuotaRequest
    | QuotaGrant
    | GuardRequest
    | GuardPromise
    | HandOver
    | HandOverDone
    | Digest
    | RecordsRequest
    | Records
    | MembersDelta
    | FingerprintReport
    | Leaving
)
