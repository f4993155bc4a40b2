"""Tests of the importance of calls and of the split of a route."""

import collections

from sassafraswood.coordination import route_order
from sassafraswood.models import ids
from sassafraswood.models import traffic


def make_route(name: str, rank: int, **changes) -> traffic.Route:
    """Return a route that needs a key."""
    values = {
        'name': name,
        'host': 'shop.example',
        'prefix': f'/{name}/',
        'destinations': (
            traffic.Destination(service=ids.ServiceName('a'), weight=1.0),
        ),
        'is_idempotent': True,
        'timeout_s': 1.0,
        'target_s': 1.0,
        'max_upstreams': 2,
        'rank': rank,
        'is_open': False,
    }
    return traffic.Route(**(values | changes))


def make_workspace(name: str, rank: int | None) -> traffic.WorkspaceRules:
    """Return a workspace without a rate limit."""
    return traffic.WorkspaceRules(
        name=ids.Workspace(name), rank=rank, rate_per_s=0.0, burst=0.0
    )


def test_rank_of_the_workspace_precedes_that_of_the_route() -> None:
    """Guards against a route that outranks a more important workspace."""
    routes = (make_route('pay', 0), make_route('status', 2))
    workspaces = [make_workspace('first', 0), make_workspace('second', 1)]
    rules = traffic.TrafficRules(
        version=1,
        routes=routes,
        services={},
        workspaces={entry.name: entry for entry in workspaces},
        workspaces_by_key={},
        limits=traffic.ClientLimits(
            max_header_bytes=1,
            max_body_bytes=1,
            header_timeout_s=1.0,
            idle_timeout_s=1.0,
        ),
    )
    urgency_by_key = route_order.compute_urgencies(rules)
    ordered = sorted(
        (
            (
                urgency_by_key[route_order.order(route, workspace)],
                workspace.name,
                route.name,
            )
            for route in routes
            for workspace in workspaces
        ),
        reverse=True,
    )
    assert [entry[1:] for entry in ordered] == [
        ('first', 'pay'),
        ('first', 'status'),
        ('second', 'pay'),
        ('second', 'status'),
    ]
    assert (ordered[0][0], ordered[-1][0]) == (1.0, 0.0)


def test_workspace_without_a_rank_uses_that_of_the_route() -> None:
    """Guards against calls without a rank that always come first or last."""
    order = route_order.order(make_route('a', 2), make_workspace('w', None))
    assert order == (2, 2)


def test_split_follows_the_weights_evenly() -> None:
    """Guards against bursts of consecutive requests to one service."""
    split = route_order.RouteSplit(
        make_route(
            'a',
            0,
            destinations=(
                traffic.Destination(service=ids.ServiceName('a'), weight=75.0),
                traffic.Destination(service=ids.ServiceName('b'), weight=25.0),
            ),
        )
    )
    for _ in range(10):
        counts = collections.Counter(split.next() for _ in range(4))
        assert counts == {'a': 3, 'b': 1}
