"""Messages between daemons."""

import typing

import msgspec

from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records


class AdmissionHint(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a serving daemon.

    Attributes:
        lowest_importance: Lowest importance that is admitted now.
        limit: Concurrency limit.
        in_flight: Calls that run.
        queued: Calls that wait.
        upstream_status: State of the upstream.
    """

    lowest_importance: enums.Importance
    limit: int
    in_flight: int
    queued: int
    upstream_status: enums.UpstreamStatus


class Ping(msgspec.Struct, frozen=True, kw_only=True, tag='ping'):
    """Heartbeat of the connection.

    It names the sender, because the receiver loses track of who is behind a
    connection when the socket reconnects by itself.
    """

    sequence: int
    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation


class Pong(msgspec.Struct, frozen=True, kw_only=True, tag='pong'):
    """Answer to a heartbeat."""

    sequence: int
    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation
    hint: AdmissionHint | None


class RunCall(msgspec.Struct, frozen=True, kw_only=True, tag='run_call'):
    """A call for the receiver's upstream.

    Attributes:
        as_owner: The receiver is asked as owner of the partition of the
            idempotency key, not as serving daemon.
    """

    context: call.CallContext
    request: call.HttpRequest
    as_owner: bool = False


class RunResult(msgspec.Struct, frozen=True, kw_only=True, tag='run_result'):
    """The end of a call."""

    call_id: ids.CallId
    result: call.Answer | call.Refusal
    allowance_left: int
    hint: AdmissionHint | None


class CancelCall(msgspec.Struct, frozen=True, kw_only=True, tag='cancel_call'):
    """Ends a call; the receiver refuses it if it arrives later."""

    call_id: ids.CallId


class CancelResult(
    msgspec.Struct, frozen=True, kw_only=True, tag='cancel_result'
):
    """What became of a cancelled call.

    Attributes:
        incarnation: Process that answers; another process than the one that
            the call was sent to proves nothing.
        result: The result, if the call had finished.
    """

    call_id: ids.CallId
    incarnation: ids.Incarnation
    state: enums.CancelState
    result: call.Answer | call.Refusal | None = None
    allowance_left: int = 0


class QuotaDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Use of and demand for tokens of one limit at one partition.

    Attributes:
        spent: Tokens spent since the last request, by grant.
        returned: Unspent tokens given back, by grant.
        wanted: Tokens wanted now.
        waiting: Part of wanted for which calls wait; it comes before what
            others prefetch.
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
    """Batched demand of a first daemon."""

    sequence: int
    daemon_id: ids.DaemonId
    incarnation: ids.Incarnation
    demands: list[QuotaDemand]


class GrantedTokens(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Tokens for one limit.

    Attributes:
        grant_id: Names the grant in later reports; 0 with no tokens.
        tokens: May be fractional.
        retry_after_s: Seconds until the owner expects to have tokens again.
        owned: False if the sender does not own the partition's term.
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
    """Answer to a quota request.

    The tokens expire QUOTA_TOKEN_LIFETIME_S after the request was sent.
    """

    sequence: int
    grants: list[GrantedTokens]


class GuardRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag='guard_request'
):
    """An owner asks its guardian for a promise."""

    sequence: int
    service: ids.ServiceName
    partition: int
    term: ids.Term
    owner: records.Holder


class GuardPromise(
    msgspec.Struct, frozen=True, kw_only=True, tag='guard_promise'
):
    """The guardian's answer.

    Attributes:
        log_read_age_s: Seconds since the start of the guardian's last read
            of the log up to its tail.
    """

    sequence: int
    service: ids.ServiceName
    partition: int
    term: ids.Term
    granted: bool
    log_read_age_s: float


class IdempotencyEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An idempotency key and what became of it.

    Attributes:
        request_sha256: Hash of the request, to detect reuse of a key.
        result: None if the outcome is unknown or the answer is not kept.
        age_s: Seconds since the key was first seen.
    """

    workspace: ids.Workspace | None
    key: str
    request_sha256: str
    result: call.Answer | None
    age_s: float


class HandOver(msgspec.Struct, frozen=True, kw_only=True, tag='hand_over'):
    """State of a partition for its next owner.

    Attributes:
        knowledge_age_s: Seconds that the knowledge of keys reaches back;
            None if it reaches back to the first term.
        part: Number of this message, from 0; last marks the final one.
    """

    service: ids.ServiceName
    partition: int
    term: ids.Term
    sender: records.Holder
    part: int
    last: bool
    knowledge_age_s: float | None
    entries: list[IdempotencyEntry]


class HandOverDone(
    msgspec.Struct, frozen=True, kw_only=True, tag='hand_over_done'
):
    """The receiver holds the state and will accept the term."""

    service: ids.ServiceName
    partition: int
    term: ids.Term
    part: int


# Digests are most of the bytes between idle daemons; the full names take
# a third of each.
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
    """What the sender knows.

    Attributes:
        next_offset: First offset of the log that it has not folded.
        log_read_age_s: Seconds since the start of the last read up to the
            tail, by itself or by a peer that told it; None if never.
        members_hash: Hash of its member table.
        fingerprints_hash: Hash of its table of crash fingerprints.
        sequence: Number of the question; the reply repeats it.
        heard: Seconds since the last sign of life of some members, by the
            hash of daemon id and incarnation.
        bucket_hashes: In a reply to a differing members_hash, the hash of
            each bucket of the sender's member table.
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
    """Asks for log records that the sender lacks."""

    from_offset: ids.Offset


class Records(msgspec.Struct, frozen=True, kw_only=True, tag='records'):
    """Log records, or a snapshot where the records are no longer kept."""

    entries: list[records.LogEntry]
    snapshot: records.Snapshot | None = None


class MembersDelta(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag='members_delta',
):
    """Member entries and fingerprints to merge.

    Attributes:
        is_full: Whether the sender asks for the receiver's table in return.
        ages_s: For each member the seconds since its last sign of life;
            0 where missing.
        buckets: Buckets that differ; summaries lists the sender's entries
            in them.
        summaries: Hash of incarnation and version by hash of the daemon id.
        wanted: Hashes of the daemon ids whose entries the sender asks for.
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
        suspects: Fingerprints that were in flight at a crash, with the
            seconds for which they stay suspect.
        cleared: Suspects that ran alone without a crash.
        quarantined: Refused everywhere until the given Unix time.
        crash_unix_s: Unix time of the last crash of each fingerprint in
            suspects and cleared; it orders a crash and its clearance.
    """

    suspects: dict[ids.Fingerprint, float]
    cleared: list[ids.Fingerprint]
    quarantined: list[records.QuarantineFingerprint]
    crash_unix_s: dict[ids.Fingerprint, float] = {}


class Leaving(msgspec.Struct, frozen=True, kw_only=True, tag='leaving'):
    """Change of a member entry, pushed at once."""

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
