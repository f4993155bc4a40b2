"""Enumerations of states, reasons and importance classes."""

import enum


class Importance(enum.IntEnum):
    """Importance of a call; overload sheds the lowest class first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


class Outcome(enum.StrEnum):
    """Whether the upstream has run a call, as far as it is known."""

    RUN = 'run'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class UpstreamStatus(enum.StrEnum):
    """State of an upstream, as reported by the daemon beside it."""

    ABSENT = 'absent'
    COLD = 'cold'
    READY = 'ready'
    DRAINING = 'draining'
    CRASHED = 'crashed'


class ServiceOutcome(enum.StrEnum):
    """How a call ended that was sent to the upstream."""

    # The upstream sent a complete response that is no server error.
    COMPLETED = 'completed'
    # The upstream sent a server error other than load shedding.
    FAILED = 'failed'
    # The deadline passed while the call ran.
    TIMED_OUT = 'timed_out'
    # The upstream refused the call because of its own load.
    SHED = 'shed'
    # The caller cancelled the call while it ran.
    CANCELLED = 'cancelled'
    # The connection to the upstream was lost or refused.
    BROKEN = 'broken'


class MemberStatus(enum.StrEnum):
    """State of a daemon in the member table."""

    ACTIVE = 'active'
    LEAVING = 'leaving'
    LEFT = 'left'


class RefusalReason(enum.StrEnum):
    """Reason code of a refusal; each reason has its own counter."""

    # The request is not valid.
    MALFORMED_REQUEST = 'malformed_request'
    HEADERS_TOO_LARGE = 'headers_too_large'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    HEADERS_TIMEOUT = 'headers_timeout'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TIMEOUT = 'body_timeout'
    INVALID_TIMEOUT = 'invalid_timeout'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_ROUTE = 'unknown_route'
    TOO_DEEP = 'too_deep'
    # Authorization by key.
    KEY_MISSING = 'key_missing'
    KEY_UNKNOWN = 'key_unknown'
    KEY_WITHDRAWN = 'key_withdrawn'
    WORKSPACE_NOT_ALLOWED = 'workspace_not_allowed'
    AUTHORIZATION_STALE = 'authorization_stale'
    CALL_TOKEN_UNKNOWN = 'call_token_unknown'
    # Rate limits.
    RATE_EXCEEDED = 'rate_exceeded'
    QUOTA_UNREACHABLE = 'quota_unreachable'
    # Load of the callee.
    OVERLOADED = 'overloaded'
    QUEUE_FULL = 'queue_full'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    CALLEE_BUSY = 'callee_busy'
    # Bodies that others have not read yet fill the memory.
    MEMORY_FULL = 'memory_full'
    # All slots of this upstream are in use; the call goes to another one.
    UPSTREAM_FULL = 'upstream_full'
    UPSTREAM_SHED = 'upstream_shed'
    # The upstream is cold or recovers and gets fewer calls for now.
    UPSTREAM_COLD = 'upstream_cold'
    # No upstream or daemon is available.
    NO_UPSTREAM = 'no_upstream'
    UPSTREAM_UNREACHABLE = 'upstream_unreachable'
    DRAINING = 'draining'
    # The operator keeps calls from the upstreams of a failure domain.
    DOMAIN_EVACUATED = 'domain_evacuated'
    PEER_UNREACHABLE = 'peer_unreachable'
    # Idempotency keys.
    IDEMPOTENCY_KEY_MALFORMED = 'idempotency_key_malformed'
    IDEMPOTENCY_KEY_REQUIRED = 'idempotency_key_required'
    IDEMPOTENCY_KEY_FUTURE = 'idempotency_key_future'
    IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused'
    IDEMPOTENCY_OWNER_UNAVAILABLE = 'idempotency_owner_unavailable'
    IDEMPOTENCY_TABLE_FULL = 'idempotency_table_full'
    IDEMPOTENCY_OUTCOME_UNKNOWN = 'idempotency_outcome_unknown'
    # Requests that crash upstreams.
    QUARANTINED = 'quarantined'
    # The call ended early; its outcome may be unknown.
    CANCELLED = 'cancelled'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    UPSTREAM_BROKE = 'upstream_broke'
    ANSWER_TRUNCATED = 'answer_truncated'
    ANSWER_TOO_LARGE = 'answer_too_large'
    ANSWER_STATUS_INVALID = 'answer_status_invalid'
    # It may be the answer to another call.
    ANSWER_WITHOUT_TOKEN = 'answer_without_token'
    PEER_SILENT = 'peer_silent'


class PaceReason(enum.StrEnum):
    """Why an upstream gets fewer calls than it has slots for."""

    # It has stated that it is cold, and the operator has stated a rate.
    COLD = 'cold'
    # It may be cold but has not stated it yet.
    UNKNOWN = 'unknown'
    # It has just started or recovered; no rate is stated.
    RECOVERING = 'recovering'


class RetryReason(enum.StrEnum):
    """Reason of a retry; each reason has its own counter."""

    NOT_RUN_ELSEWHERE = 'not_run_elsewhere'
    OVERLOADED_ONCE = 'overloaded_once'
    UNKNOWN_IDEMPOTENT = 'unknown_idempotent'
    PEER_SILENT = 'peer_silent'


class PublicationStatus(enum.StrEnum):
    """Result of applying a publication to the state."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


class CancelState(enum.StrEnum):
    """State of a call in the reply of a serving daemon to a cancellation."""

    NOT_RUN = 'not_run'
    CANCELLED_UNKNOWN = 'cancelled_unknown'
    FINISHED = 'finished'


class ControlMode(enum.StrEnum):
    """Set of control algorithms that a daemon runs.

    BASELINE is a reference for comparisons: no admission control, retries at
    each hop, and rate limits that each daemon counts on its own.
    """

    FULL = 'full'
    BASELINE = 'baseline'
