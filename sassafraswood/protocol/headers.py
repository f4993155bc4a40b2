"""Parsing and filtering of the headers of requests and responses.

Headers are lists of pairs with lower-case names, as ASGI servers give them.
"""

from collections.abc import Set
import re
import typing

from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums

# Hop-by-hop headers of RFC 9110 section 7.6.1 and RFC 2616 section 13.5.1.
HOP_BY_HOP: typing.Final = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# The daemon sends the upstream a new request with the complete body, so its
# HTTP client sets Content-Length, Host and Expect. Cookies are forwarded: they
# belong to the caller and its service.
_NOT_TO_UPSTREAM: typing.Final = frozenset(
    {
        'authorization',
        const.HEADER_CALL_TOKEN,
        const.HEADER_RUN,
        const.HEADER_TIMEOUT_MS,
        'content-length',
        'expect',
        'host',
    }
)
_NOT_TO_CALLER: typing.Final = frozenset(
    {const.HEADER_CALL_TOKEN, const.HEADER_RUN, 'content-length'}
)
MAX_KEY_CHARACTERS: typing.Final = 512

# RFC 6750 section 2.1.
_BEARER: typing.Final = re.compile(
    r'bearer +([A-Za-z0-9._~+/-]+=*)', re.IGNORECASE
)
_TIMEOUT_MS: typing.Final = re.compile(r'[0-9]{1,10}')
# RFC 8941 section 3.3.3.
_QUOTED: typing.Final = re.compile(r'"((?:[ !#-\[\]-~]|\\["\\])*)"')
_BARE: typing.Final = re.compile(r'[!#-+\--:<-\[\]-~]+')
_ESCAPED: typing.Final = re.compile(r'\\(["\\])')


def remove_hop_by_hop(headers: call.Headers) -> call.Headers:
    """Return the headers without the hop-by-hop ones."""
    return _remove_headers(headers, frozenset())


def to_upstream(headers: call.Headers) -> call.Headers:
    """Return the headers of a request to forward to the upstream."""
    return _remove_headers(headers, _NOT_TO_UPSTREAM)


def to_caller(headers: call.Headers) -> call.Headers:
    """Return the headers of a response to forward to the caller."""
    return _remove_headers(headers, _NOT_TO_CALLER)


def parse_bearer_key(headers: call.Headers) -> str | None:
    """Return the bearer key in Authorization, or None if there is no header.

    Raises:
        HeaderError: The header is repeated, or does not hold a bearer key of
            at most MAX_KEY_CHARACTERS.
    """
    value = _get_single(
        headers, 'authorization', enums.RefusalReason.MALFORMED_REQUEST
    )
    if value is None:
        return None
    match = _BEARER.fullmatch(value.strip())
    if match is None or len(match[1]) > MAX_KEY_CHARACTERS:
        raise exceptions.HeaderError(
            enums.RefusalReason.KEY_MISSING,
            'Authorization must be "Bearer KEY"',
        )
    return match[1]


def parse_timeout_s(headers: call.Headers) -> float | None:
    """Return Request-Timeout-Ms in seconds, or None if there is no header.

    Values above MAX_TIMEOUT_S count as MAX_TIMEOUT_S.

    Raises:
        HeaderError: It is not a positive integer.
    """
    reason = enums.RefusalReason.INVALID_TIMEOUT
    value = _get_single(headers, const.HEADER_TIMEOUT_MS, reason)
    if value is None:
        return None
    value = value.strip()
    if not _TIMEOUT_MS.fullmatch(value) or int(value) == 0:
        raise exceptions.HeaderError(
            reason, 'Request-Timeout-Ms must be a positive integer'
        )
    return min(int(value) / 1000.0, const.MAX_TIMEOUT_S)


def parse_idempotency_key(headers: call.Headers) -> str | None:
    """Return the Idempotency-Key, or None if there is no such header.

    A key quoted as an RFC 8941 string equals the same key without quotes.

    Raises:
        HeaderError: The header is repeated, or its key is empty, too long or
            contains characters other than visible ASCII.
    """
    reason = enums.RefusalReason.IDEMPOTENCY_KEY_MALFORMED
    value = _get_single(headers, const.HEADER_IDEMPOTENCY_KEY, reason)
    if value is None:
        return None
    value = value.strip(' \t')
    match = _QUOTED.fullmatch(value)
    if match is not None:
        key = _ESCAPED.sub(r'\1', match[1])
    elif _BARE.fullmatch(value):
        key = value
    else:
        key = ''
    if not 1 <= len(key) <= const.MAX_IDEMPOTENCY_KEY_BYTES:
        raise exceptions.HeaderError(
            reason,
            'Idempotency-Key must have 1 to '
            f'{const.MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters',
        )
    return key


def _remove_headers(headers: call.Headers, names: Set[str]) -> call.Headers:
    """Return the headers without the named and the hop-by-hop ones.

    The options in Connection name further hop-by-hop headers.
    """
    removed = HOP_BY_HOP | names
    for name, value in headers:
        if name == 'connection':
            removed |= {
                option.strip(' \t').lower() for option in value.split(',')
            }
    return [pair for pair in headers if pair[0] not in removed]


def _get_single(
    headers: call.Headers, name: str, reason: enums.RefusalReason
) -> str | None:
    """Return the value of a header that may occur once, or None without it.

    Raises:
        HeaderError: The header is repeated.
    """
    values = [value for key, value in headers if key == name]
    if not values:
        return None
    if len(values) > 1:
        raise exceptions.HeaderError(
            reason, f'header {name} is repeated; expected at most one'
        )
    return values[0]
