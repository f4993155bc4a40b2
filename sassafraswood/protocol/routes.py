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

# Number of documents whose compiled routes are cached. The fleet is planned
# for 92 services, each with one document in force.
_MAX_COMPILED_DOCUMENTS: typing.Final = 256
# Matches paths that need no decoding and have no dot or empty segments.
_PLAIN_PATH: typing.Final = re.compile(
    r"(?:/(?!\.{1,2}(?:/|\Z))[A-Za-z0-9._~!$&'()*+,=:@-]+)*/?"
)
_INVALID_ESCAPE: typing.Final = re.compile(r'%(?![0-9A-Fa-f]{2})')
_ESCAPE: typing.Final = re.compile(r'%[0-9A-Fa-f]{2}')
_ENCODED_SLASH: typing.Final = re.compile(r'%(?:2f|5c)', re.IGNORECASE)
# Some servers treat a backslash as a slash or remove what follows a semicolon
# within a segment; a control character may terminate the path.
_AMBIGUOUS: typing.Final = re.compile(r'[\\;\x00-\x1f\x7f]')


# Index of each route in its document, and its methods (empty for all methods).
_RouteEntries = list[tuple[int, frozenset[str]]]


class _Node:
    """Tree node for the routes whose paths begin with the same segments."""

    __slots__ = ('exact', 'literals', 'parameter', 'prefix')

    def __init__(self) -> None:
        self.literals: dict[str, _Node] = {}
        self.parameter: _Node | None = None
        # Routes whose path ends at this node, and routes with `**` here.
        self.exact: _RouteEntries = []
        self.prefix: _RouteEntries = []

    def get_or_add_child(self, segment: str) -> '_Node':
        if not segment.startswith('{'):
            return self.literals.setdefault(segment, _Node())
        if self.parameter is None:
            self.parameter = _Node()
        return self.parameter


class _Routes:
    """Routes of one document, compiled to a tree of path segments.

    The time to match a path depends on its number of segments and hardly on
    the number of routes, of which a document may have 1,000.
    """

    def __init__(self, service_document: document.ServiceDocument) -> None:
        self._routes = service_document.routes
        self._root = _Node()
        for index, route in enumerate(self._routes):
            self._add(index, route)

    def match(self, method: str, path: str) -> document.RouteSpec | None:
        segments = path.split('/')[1:]
        # Index of the earliest route that matches; one past the end if none.
        best = len(self._routes)
        nodes = [self._root]
        for segment in segments:
            next_nodes = []
            for node in nodes:
                best = min(best, _first_index(node.prefix, method, best))
                literal = node.literals.get(segment)
                if literal is not None:
                    next_nodes.append(literal)
                if node.parameter is not None:
                    next_nodes.append(node.parameter)
            nodes = next_nodes
        for node in nodes:
            best = min(best, _first_index(node.prefix, method, best))
            best = min(best, _first_index(node.exact, method, best))
        return self._routes[best] if best < len(self._routes) else None

    def _add(self, index: int, route: document.RouteSpec) -> None:
        node = self._root
        entry = (index, frozenset(route.methods))
        for segment in route.path.split('/')[1:]:
            if segment == '**':
                node.prefix.append(entry)
                return
            if segment:
                node = node.get_or_add_child(segment)
        node.exact.append(entry)


def _first_index(entries: _RouteEntries, method: str, default: int) -> int:
    """Return the index of the first route that accepts the method."""
    for index, methods in entries:
        if not methods or method in methods:
            return index
    return default


# Maps the id of a document to the document and its compiled routes. The entry
# references the document, so that its id is not reused while it is cached.
_compiled: dict[int, tuple[document.ServiceDocument, _Routes]] = {}


def match_route(
    service_document: document.ServiceDocument, method: str, path: str
) -> document.RouteSpec | None:
    """Return the first route that matches a request, or None.

    A trailing slash is ignored, and `**` matches zero or more segments. A path
    that servers may interpret in different ways matches no route, so that a
    request cannot bypass the rules of its route by another spelling.

    Args:
        service_document: Document with the routes.
        method: HTTP method.
        path: Path within the service as received, without the query.
    """
    normalized = normalize_path(path)
    if normalized is None:
        return None
    entry = _compiled.get(id(service_document))
    if entry is None:
        if len(_compiled) >= _MAX_COMPILED_DOCUMENTS:
            del _compiled[next(iter(_compiled))]
        entry = (service_document, _Routes(service_document))
        _compiled[id(service_document)] = entry
    return entry[1].match(method, normalized)


def normalize_path(path: str) -> str | None:
    """Return the path, percent-decoded once and without a trailing slash.

    Returns None for a path with dot segments, empty segments, encoded
    slashes or backslashes, invalid or double encoding, semicolons or control
    characters. The root path is returned as the empty string.
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
    """Return whether requests of a route with a method are idempotent.

    A route without the setting follows its method (RFC 9110 section 9.2.2).
    """
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS


def get_importance(route: document.RouteSpec) -> enums.Importance:
    """Return the importance of the calls of a route."""
    return enums.Importance[route.importance.upper()]
