"""Matching of requests to the routes of a service document."""

import re
import typing
import urllib.parse

from sassafraswood.models import document
from sassafraswood.models import enums

# RFC 9110 section 9.2.2.
IDEMPOTENT_METHODS: typing.Final = frozenset(
    {'DELETE', 'GET', 'HEAD', 'OPTIONS', 'PUT', 'TRACE'}
)

# Documents whose compiled routes are kept; 92 services are planned.
_COMPILED_DOCUMENTS: typing.Final = 256
# Paths that need no decoding and have no dot or empty segments.
_PLAIN_PATH: typing.Final = re.compile(
    r"(?:/(?!\.{1,2}(?:/|\Z))[A-Za-z0-9._~!$&'()*+,=:@-]+)*/?"
)
_INVALID_ESCAPE: typing.Final = re.compile(r'%(?![0-9A-Fa-f]{2})')
_ESCAPE: typing.Final = re.compile(r'%[0-9A-Fa-f]{2}')
_ENCODED_SLASH: typing.Final = re.compile(r'%(?:2f|5c)', re.IGNORECASE)
# Some servers take a backslash for a slash and drop what follows a semicolon
# within a segment; a control character may end the path.
_AMBIGUOUS: typing.Final = re.compile(r'[\\;\x00-\x1f\x7f]')


class _Routes:
    """Compiled routes of one document.

    One expression per method has one group per route, in the order of the
    document, so that the first route that matches decides.
    """

    def __init__(self, service_document: document.ServiceDocument) -> None:
        routes = service_document.routes
        methods = {method for route in routes for method in route.methods}
        self._by_method = {
            method: self._compile(routes, method) for method in methods
        }
        self._other = self._compile(routes, None)

    def match(self, method: str, path: str) -> document.RouteSpec | None:
        expression, routes = self._by_method.get(method, self._other)
        match = expression.fullmatch(path)
        if match is None or match.lastindex is None:
            return None
        return routes[match.lastindex - 1]

    @staticmethod
    def _compile(
        routes: list[document.RouteSpec], method: str | None
    ) -> tuple[re.Pattern, list[document.RouteSpec]]:
        chosen = [
            route
            for route in routes
            if not route.methods or method in route.methods
        ]
        # Without routes the expression must match nothing.
        source = '|'.join(f'({_expression(route.path)})' for route in chosen)
        return re.compile(source or r'(?!)', re.DOTALL), chosen


# The document is kept with its routes, so its id is not reused meanwhile.
_compiled: dict[int, tuple[document.ServiceDocument, _Routes]] = {}


def match_route(
    service_document: document.ServiceDocument, method: str, path: str
) -> document.RouteSpec | None:
    """Return the first route for a request, or None.

    A slash at the end of the path makes no difference, and `**` also matches
    no segment at all. A path that servers may read in different ways matches
    no route, so that a request cannot evade its route by another spelling.

    Args:
        path: Path within the service as received, without the query.
    """
    normal = normalize_path(path)
    if normal is None:
        return None
    entry = _compiled.get(id(service_document))
    if entry is None:
        if len(_compiled) >= _COMPILED_DOCUMENTS:
            del _compiled[next(iter(_compiled))]
        entry = (service_document, _Routes(service_document))
        _compiled[id(service_document)] = entry
    return entry[1].match(method, normal)


def normalize_path(path: str) -> str | None:
    """Return the path decoded once and without a slash at its end.

    Returns None for a path with dot segments, empty segments, encoded
    slashes, invalid or doubled encoding, semicolons or control characters.
    The root is the empty string.
    """
    if not path.startswith('/'):
        return None
    if _PLAIN_PATH.fullmatch(path):
        return path.removesuffix('/')
    if '?' in path or '#' in path:
        return None
    if _INVALID_ESCAPE.search(path) or _ENCODED_SLASH.search(path):
        return None
    try:
        decoded = urllib.parse.unquote(path, errors='strict')
    except UnicodeDecodeError:
        return None
    if _ESCAPE.search(decoded) or _AMBIGUOUS.search(decoded):
        return None
    decoded = decoded.removesuffix('/')
    segments = decoded.split('/')[1:]
    if any(segment in ('', '.', '..') for segment in segments):
        return None
    return decoded


def is_idempotent(route: document.RouteSpec, method: str) -> bool:
    """Return whether a request may be run again (RFC 9110 section 9.2.2)."""
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS


def importance(route: document.RouteSpec) -> enums.Importance:
    """Return the importance of the calls of a route."""
    return enums.Importance[route.importance.upper()]


def _expression(pattern: str) -> str:
    parts = []
    for segment in pattern.split('/')[1:]:
        if segment == '**':
            parts.append('(?:/.*)?')
        elif segment.startswith('{'):
            parts.append('/[^/]+')
        elif segment:
            parts.append('/' + re.escape(segment))
    return ''.join(parts)
