"""HTTP responses for refusals, with problem details (RFC 9457)."""

import math
import typing

import msgspec

from sassafraswood import const
from sassafraswood.models import call
from sassafraswood.models import enums

CONTENT_TYPE: typing.Final = 'application/problem+json'
TYPE_PREFIX: typing.Final = 'urn:sassafraswood:refusal:'

_Reason = enums.RefusalReason
_STATUS_NOT_RUN: typing.Final = {
    _Reason.MALFORMED_REQUEST: 400,
    _Reason.HEADERS_TOO_LARGE: 431,
    _Reason.BODY_TOO_LARGE: 413,
    _Reason.HEADERS_TIMEOUT: 408,
    _Reason.BODY_TIMEOUT: 408,
    _Reason.INVALID_TIMEOUT: 400,
    _Reason.UNKNOWN_SERVICE: 404,
    _Reason.UNKNOWN_ROUTE: 404,
    _Reason.TOO_DEEP: 400,
    _Reason.KEY_MISSING: 401,
    _Reason.KEY_UNKNOWN: 401,
    _Reason.KEY_WITHDRAWN: 401,
    _Reason.CALL_TOKEN_UNKNOWN: 401,
    _Reason.WORKSPACE_NOT_ALLOWED: 403,
    _Reason.RATE_EXCEEDED: 429,
    _Reason.IDEMPOTENCY_KEY_MALFORMED: 400,
    _Reason.IDEMPOTENCY_KEY_REQUIRED: 400,
    _Reason.IDEMPOTENCY_KEY_FUTURE: 400,
    _Reason.IDEMPOTENCY_KEY_REUSED: 409,
    _Reason.IDEMPOTENCY_OUTCOME_UNKNOWN: 409,
}
_STATUS_UNKNOWN: typing.Final = {
    _Reason.IDEMPOTENCY_OUTCOME_UNKNOWN: 409,
    _Reason.DEADLINE_EXCEEDED: 504,
    _Reason.PEER_SILENT: 504,
}


class ProblemDetails(msgspec.Struct, frozen=True, kw_only=True):
    """HTTP response for a refusal."""

    status: int
    headers: call.Headers
    body: bytes


def get_status_code(refusal: call.Refusal) -> int:
    """Return the HTTP status of a refusal.

    It also depends on the outcome: a caller may rely on 502 and 504 meaning
    that the call may have run, and on other codes meaning that it has not.
    """
    if refusal.outcome is enums.Outcome.NOT_RUN:
        return _STATUS_NOT_RUN.get(refusal.reason, 503)
    return _STATUS_UNKNOWN.get(refusal.reason, 502)


def problem_details(refusal: call.Refusal) -> ProblemDetails:
    """Return the HTTP response for a refusal."""
    status_code = get_status_code(refusal)
    headers = [
        ('content-type', CONTENT_TYPE),
        (const.HEADER_RUN, refusal.outcome.value),
    ]
    if status_code == 401:
        # RFC 9110 section 15.5.2 requires a challenge in a 401 response.
        headers.append(('www-authenticate', 'Bearer'))
    body: dict[str, typing.Any] = {
        'type': TYPE_PREFIX + refusal.reason.value,
        'title': refusal.reason.value.replace('_', ' ').capitalize(),
        'status': status_code,
        'detail': refusal.detail,
        'reason': refusal.reason.value,
        'run': refusal.outcome.value,
    }
    wait_s = refusal.retry_after_s
    if wait_s is not None and math.isfinite(wait_s):
        body['retry_after_s'] = max(wait_s, 0.0)
        headers.append(('retry-after', str(max(math.ceil(wait_s), 0))))
    return ProblemDetails(
        status=status_code, headers=headers, body=msgspec.json.encode(body)
    )
