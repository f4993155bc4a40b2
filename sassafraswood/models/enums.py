"""Enumerations of states, reasons and classes."""

import enum


class Importance(enum.IntEnum):
    """Importance of a call; under overload the lowest is shed first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


class Outcome(enum.StrEnum):
    """What is known about the run of a call."""

    RUN = 'run'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class UpstreamStatus(enum.StrEnum):
    """State of an upstream as its daemon knows it."""

    ABSENT = 'absent'
    COLD = 'cold'
    READY = 'ready'
    DRAINING = 'draining'
    CRASHED = 'crashed'


class ServiceOutcome(enum.StrEnum):
    """How a call that was started at the upstream ended."""

    # A whole answer that is not a server error.
    COMPLETED = 'completed'
    # A server error other than load shedding.
    FAILED = 'failed'
    # The deadline passed while the call ran.
    TIMED_OUT = 'timed_out'
    # The upstream refused the call because of its own load.
    SHED = 'shed'
    # The caller cancelled the call while it ran.
    CANCELLED = 'cancelled'
    # The connection to the upstream broke or was refused.
    BROKEN = 'broken'


class MemberStatus(enum.StrEnum):
    """State of a daemon as the others know it."""

    ACTIVE = 'active'
    LEAVING = 'leaving'
    LEFT = 'left'


class RefusalReason(enum.StrEnum):
    """Reason code of a refusal; each has a counter of its own."""

    # The request itself.
    MALFORMED_REQUEST = 'malformed_request'
    HEADERS_TOO_LARGE = 'headers_too_large'
    HEADERS_TIMEOUT = 'headers_timeout'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TIMEOUT = 'body_timeout'
    INVALID_TIMEOUT = 'invalid_timeout'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_ROUTE = 'unknown_route'
    TOO_DEEP = 'too_deep'
    # Keys.
    KEY_MISSING = 'key_missing'
    KEY_UNKNOWN = 'key_unknown'
    KEY_WITHDRAWN = 'key_withdrawn'
    WORKSPACE_NOT_ALLOWED = 'workspace_not_allowed'
    AUTHORIZATION_STALE = 'authorization_stale'
    CALL_TOKEN_UNKNOWN = 'call_token_unknown'
    # Quota.
    RATE_EXCEEDED = 'rate_exceeded'
    QUOTA_UNREACHABLE = 'quota_unreachable'
    # Load.
    OVERLOADED = 'overloaded'
    QUEUE_FULL = 'queue_full'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    CALLEE_BUSY = 'callee_busy'
    UPSTREAM_SHED = 'upstream_shed'
    # Availability.
    NO_UPSTREAM = 'no_upstream'
    UPSTREAM_UNREACHABLE = 'upstream_unreachable'
    DRAINING = 'draining'
    PEER_UNREACHABLE = 'peer_unreachable'
    # Idempotency.
    IDEMPOTENCY_KEY_MALFORMED = 'idempotency_key_malformed'
    IDEMPOTENCY_KEY_REQUIRED = 'idempotency_key_required'
    IDEMPOTENCY_KEY_FUTURE = 'idempotency_key_future'
    IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused'
    IDEMPOTENCY_OWNER_UNAVAILABLE = 'idempotency_owner_unavailable'
    IDEMPOTENCY_TABLE_FULL = 'idempotency_table_full'
    IDEMPOTENCY_OUTCOME_UNKNOWN = 'idempotency_outcome_unknown'
    # Crashing requests.
    QUARANTINED = 'quarantined'
    # Ends that leave the outcome unknown, or known by proof.
    CANCELLED = 'cancelled'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    UPSTREAM_BROKE = 'upstream_broke'
    ANSWER_TRUNCATED = 'answer_truncated'
    ANSWER_TOO_LARGE = 'answer_too_large'
    PEER_SILENT = 'peer_silent'


class RetryReason(enum.StrEnum):
    """Reason of a retry; each has a counter of its own."""

    NOT_RUN_ELSEWHERE = 'not_run_elsewhere'
    OVERLOADED_ONCE = 'overloaded_once'
    UNKNOWN_IDEMPOTENT = 'unknown_idempotent'
    PEER_SILENT = 'peer_silent'


class PublicationStatus(enum.StrEnum):
    """Result of folding a publication."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


class CancelState(enum.StrEnum):
    """Answer of a serving daemon to a cancellation."""

    NOT_RUN = 'not_run'
    CANCELLED_UNKNOWN = 'cancelled_unknown'
    FINISHED = 'finished'


class ControlMode(enum.StrEnum):
    """Which decisions a daemon uses.

    BASELINE is the comparison that the project keeps: no admission control,
    retries at each hop, rate limits counted per daemon.
    """

    FULL = 'full'
    BASELINE = 'baseline'
