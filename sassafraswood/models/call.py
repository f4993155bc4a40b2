"""Calls, answers and refusals between daemons and upstreams."""

import msgspec

from sassafraswood.models import enums
from sassafraswood.models import ids

Headers = list[tuple[str, str]]


class CallContext(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a call, passed to every daemon on its path.

    Attributes:
        call_id: Unique per attempt; never reused.
        root_id: Unique per request of a caller; the same in all child calls.
        workspace: The workspace that the call runs for; None on open routes.
        key_id: The key that authenticated the request; None on open routes.
        remaining_s: Seconds until the deadline at the time of sending.
        allowance: Retries that this attempt and its child calls may use.
        depth: 1 for the call of a caller, and one more per hop.
        idempotent: Whether the call may run more than once.
        fingerprint: Identifies equal requests in crash reports.
        route: Path pattern of the route.
        idempotency_key: Key that the caller sent, if any.
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
    """Return a copy of the context with the seconds until the deadline."""
    return msgspec.structs.replace(context, remaining_s=remaining_s)


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request in the form in which the upstream receives it."""

    method: str
    # Path and query, starting with a slash.
    target: str
    headers: Headers
    body: bytes


class Answer(msgspec.Struct, frozen=True, kw_only=True, tag='answer'):
    """A complete HTTP response of an upstream."""

    status: int
    headers: Headers
    body: bytes


class Refusal(msgspec.Struct, frozen=True, kw_only=True, tag='refusal'):
    """The result of a call that ended without an answer of an upstream.

    Attributes:
        outcome: NOT_RUN only if it is certain that the upstream did not run
            the call, otherwise UNKNOWN.
        retry_after_s: Seconds after which a retry may succeed.
        shed: Whether overload caused the refusal; daemons nearer to the
            caller do not retry such a call.
        relayed: Whether a daemon nearer to the upstream has received the
            refusal and could retry, for example in a child call.
    """

    reason: enums.RefusalReason
    outcome: enums.Outcome
    detail: str = ''
    retry_after_s: float | None = None
    shed: bool = False
    relayed: bool = False


Result = Answer | Refusal


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a call and the number of unused retries."""

    result: Result
    allowance_left: int
