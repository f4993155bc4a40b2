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


# Number of a route in its document, and its methods (all if empty).
_Ends = list[tuple[int, frozenset[str]]]


class _Node:
    """The routes whose paths begin with the same segments."""

    __slots__ = ('ends', 'literals', 'parameter', 'rests')

    def __init__(self) -> None:
        self.literals: dict[str, _Node] = {}
        self.parameter: _Node | None = None
        # Routes that end here, and those that take the rest of the path.
        self.ends: _Ends = []
        self.rests: _Ends = []

    def child(self, segment: str) -> '_Node':
        if not segment.startswith('{'):
            return self.literals.setdefault(segment, _Node())
        if self.parameter is None:
            self.parameter = _Node()
        return self.parameter


class _Routes:
    """Routes of one document as a tree of path segments.

    The time of a match depends on the number of segments and hardly on the
    number of routes, which may be 1,000.
    """

    def __init__(self, service_document: document.ServiceDocument) -> None:
        self._routes = service_document.routes
        self._root = _Node()
        for number, route in enumerate(self._routes):
            self._add(number, route)

    def match(self, method: str, path: str) -> document.RouteSpec | None:
        segments = path.split('/')[1:]
        best = len(self._routes)
        nodes = [self._root]
        for segment in segments:
            following = []
            for node in nodes:
                best = min(best, _first(node.rests, method, best))
                literal = node.literals.get(segment)
                if literal is not None:
                    following.append(literal)
                if node.parameter is not None:
                    following.append(node.parameter)
            nodes = following
        for node in nodes:
            best = min(best, _first(node.rests, method, best))
            best = min(best, _first(node.ends, method, best))
        return self._routes[best] if best < len(self._routes) else None

    def _add(self, number: int, route: document.RouteSpec) -> None:
        node = self._root
        end = (number, frozenset(route.methods))
        for segment in route.path.split('/')[1:]:
            if segment == '**':
                node.rests.append(end)
                return
            if segment:
                node = node.child(segment)
        node.ends.append(end)


def _first(ends: _Ends, method: str, otherwise: int) -> int:
    """Return the number of the first route with the method."""
    for number, methods in ends:
        if not methods or method in methods:
            return number
    return otherwise


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
