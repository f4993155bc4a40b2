"""Tests of route matching."""

import hypothesis
from hypothesis import strategies
import pytest

from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.protocol import routes

_DOCUMENT = document.ServiceDocument(
    version=1,
    service=ids.ServiceName('ordering'),
    routes=[
        document.RouteSpec(path='/', importance='low'),
        document.RouteSpec(path='/orders/{id}', methods=['GET', 'PUT']),
        document.RouteSpec(path='/orders/{id}', importance='critical'),
        document.RouteSpec(path='/admin/**', methods=['POST']),
        document.RouteSpec(path='/admin/**'),
        document.RouteSpec(path='/**', methods=['GET'], open=True),
    ],
)


def _index(method: str, path: str) -> int | None:
    """Return the index in _DOCUMENT of the route that matches."""
    route = routes.match_route(_DOCUMENT, method, path)
    if route is None:
        return None
    return [r is route for r in _DOCUMENT.routes].index(True)


@pytest.mark.parametrize(
    ('method', 'path', 'index'),
    [
        ('GET', '/', 0),
        ('GET', '/orders/7', 1),
        ('PATCH', '/orders/7', 2),
        ('POST', '/admin/a/b', 3),
        ('GET', '/admin', 4),
        ('GET', '/admin/', 4),
        ('GET', '/%61dmin/a', 4),
        ('GET', '/public/caf%C3%A9', 5),
        ('GET', '/orders/a%3Fb', 1),
        ('POST', '/public', None),
        ('GET', '/orders/1/2', 5),
    ],
)
def test_first_matching_route_applies(
    method: str, path: str, index: int | None
) -> None:
    """Guards against applying the rules of another route to a request."""
    assert _index(method, path) == index


@pytest.mark.parametrize(
    'path',
    [
        'admin',
        '//admin/a',
        '/x/../admin',
        '/x/%2e%2E/admin',
        '/./admin',
        '/admin%2Fa',
        '/x%5c..%5cadmin',
        '/x/..;/admin',
        '/admin;x=1/a',
        '/%2561dmin',
        '/%zz',
        '/%ff',
        '/admin%00',
        '/a//',
        '/a?b',
    ],
)
def test_paths_that_servers_read_differently_match_nothing(path: str) -> None:
    """Guards against bypassing a route that requires a key.

    A path that is spelled differently could match the open route after it.
    """
    assert _index('GET', path) is None


def _matches(route: document.RouteSpec, method: str, path: str) -> bool:
    """Match one route without the tree, as the reference for the test."""
    pattern = [segment for segment in route.path.split('/') if segment]
    segments = [segment for segment in path.split('/') if segment]
    if pattern and pattern[-1] == '**':
        pattern.pop()
        segments = segments[: len(pattern)]
    return (
        len(pattern) == len(segments)
        and all(
            p.startswith('{') or p == s
            for p, s in zip(pattern, segments, strict=True)
        )
        and (not route.methods or method in route.methods)
    )


_SEGMENTS = strategies.sampled_from(['a', 'b', '{x}'])
_ROUTES = strategies.builds(
    lambda segments, rest, methods: document.RouteSpec(
        path='/' + '/'.join(segments + rest), methods=methods
    ),
    strategies.lists(_SEGMENTS, max_size=3),
    strategies.sampled_from([[], ['**']]),
    strategies.sampled_from([[], ['GET'], ['PUT', 'GET'], ['PUT']]),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.lists(_ROUTES, max_size=8),
    strategies.lists(strategies.sampled_from(['a', 'b', 'c']), max_size=4),
    strategies.sampled_from(['GET', 'PUT', 'POST']),
)
def test_tree_finds_the_first_route_of_the_document(
    specs: list, segments: list, method: str
) -> None:
    """Guards against a tree that prefers a later, more specific route."""
    path = '/' + '/'.join(segments)
    service_document = document.ServiceDocument(
        version=1, service=ids.ServiceName('s'), routes=specs
    )
    expected = [route for route in specs if _matches(route, method, path)]
    found = routes.match_route(service_document, method, path)
    assert found is (expected[0] if expected else None)


def test_idempotency_and_importance_follow_route_and_method() -> None:
    """Guards against retrying a request that must run only once (R9)."""
    route = document.RouteSpec(path='/a', importance='high')
    assert routes.get_importance(route) is enums.Importance.HIGH
    assert routes.is_idempotent(route, 'PUT')
    assert not routes.is_idempotent(route, 'POST')
    assert not routes.is_idempotent(
        document.RouteSpec(path='/a', idempotent=False), 'GET'
    )


def test_compiled_routes_follow_the_document_object() -> None:
    """Guards against cached routes that outlive a replaced document.

    The cache uses the id of the document, which a new document may reuse.
    """
    for number in range(600):
        replaced = document.ServiceDocument(
            version=1,
            service=ids.ServiceName('ordering'),
            routes=[document.RouteSpec(path=f'/{number}')],
        )
        route = routes.match_route(replaced, 'GET', f'/{number}')
        assert route is replaced.routes[0]
