"""Calls, answers and refusals."""

import msgspec

from sassafraswood.models import enums
from sassafraswood.models import ids

Headers = list[tuple[str, str]]


class CallContext(msgspec.Struct, frozen=True, kw_only=True):
    """What every daemon on the path of a call knows about it.

    Attributes:
        call_id: Unique per attempt; never reused.
        root_id: Unique per request of a caller, same in all child calls.
        workspace: The workspace that the call runs for; None on open routes.
        key_id: The key that authenticated the request; None on open routes.
        remaining_s: Seconds left until the deadline when it was sent.
        allowance: Retries that this attempt and its child calls may spend.
        depth: 1 for the call of a caller, one more per hop.
        idempotent: Whether the call may be run again.
        route: Path pattern of the route.
    """

    call_id: ids.CallId
    root_id: str
    service: ids.ServiceName
    workspace: ids.Workspace | None
    key_id: ids.KeyId | None
    importance: enums.Importance
    remaining_s: float
    allowance: int
    depth: int
    idempotent: bool
    fingerprint: ids.Fingerprint
    route: str = ''
    idempotency_key: str | None = None


def with_remaining(context: CallContext, remaining_s: float) -> CallContext:
    """Return the context with the seconds left until the deadline."""
    return msgspec.structs.replace(context, remaining_s=remaining_s)


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it goes to the upstream."""

    method: str
    # Path and query, beginning with a slash.
    target: str
    headers: Headers
    body: bytes


class Answer(msgspec.Struct, frozen=True, kw_only=True, tag='answer'):
    """A whole answer of an upstream."""

    status: int
    headers: Headers
    body: bytes


class Refusal(msgspec.Struct, frozen=True, kw_only=True, tag='refusal'):
    """A call that ended without an answer of the upstream.

    Attributes:
        outcome: NOT_RUN only where this is proved, otherwise UNKNOWN.
        retry_after_s: When a new try may succeed, in seconds.
        shed: True if the refusal is caused by overload; hops above do not
            retry it.
        relayed: True if a hop below has seen the refusal and had its chance
            to retry, for example in a child call of the upstream.
    """

    reason: enums.RefusalReason
    outcome: enums.Outcome
    detail: str = ''
    retry_after_s: float | None = None
    shed: bool = False
    relayed: bool = False


Result = Answer | Refusal


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a call with the unused retries."""

    result: Result
    allowance_left: int
