"""Tests of route matching."""

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
    """Guards against a request that runs under the rules of another route."""
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
    """Guards against evading a keyed route through the open route below."""
    assert _index('GET', path) is None


def test_idempotency_and_importance_follow_route_and_method() -> None:
    """Guards against repeating a request that must run once (R9)."""
    route = document.RouteSpec(path='/a', importance='high')
    assert routes.importance(route) is enums.Importance.HIGH
    assert routes.is_idempotent(route, 'PUT')
    assert not routes.is_idempotent(route, 'POST')
    assert not routes.is_idempotent(
        document.RouteSpec(path='/a', idempotent=False), 'GET'
    )


def test_compiled_routes_follow_the_document_object() -> None:
    """Guards against routes of a replaced document staying in force."""
    for number in range(600):
        replaced = document.ServiceDocument(
            version=1,
            service=ids.ServiceName('ordering'),
            routes=[document.RouteSpec(path=f'/{number}')],
        )
        route = routes.match_route(replaced, 'GET', f'/{number}')
        assert route is replaced.routes[0]
