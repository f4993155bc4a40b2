"""Review of traffic rules before an operator publishes them."""

import collections
from collections.abc import Callable, Iterator, Mapping
import dataclasses
import enum
import itertools
from typing import Any, Final

from sassafraswood.models import ids
from sassafraswood.models import traffic

# Fields that are compared one by one; keys are counted and never shown.
_ROUTE_FIELDS: Final = (
    'host',
    'prefix',
    'is_idempotent',
    'timeout_s',
    'target_s',
    'max_upstreams',
    'rank',
    'is_open',
)
_WORKSPACE_FIELDS: Final = ('rank', 'rate_per_s', 'burst')


class FindingKind(enum.StrEnum):
    """What a finding says about the rules."""

    # An entry that no request can match.
    NEVER_MATCHES = 'never matches'
    # Values that cannot take effect together.
    CONTRADICTION = 'contradiction'
    # A difference from the rules in force.
    CHANGE = 'change'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """One result of a review.

    Attributes:
        path: Entry that it is about, such as routes.booking.
    """

    kind: FindingKind
    path: str
    text: str


def review(rules: traffic.TrafficRules) -> list[Finding]:
    """Return the entries that never match and the limits that contradict."""
    return [
        *_review_prefixes(rules),
        *itertools.chain.from_iterable(
            _review_route(route, rules) for route in rules.routes
        ),
        *_review_workspaces(rules),
        *_review_services(rules),
    ]


def compare(
    rules: traffic.TrafficRules, in_force: traffic.TrafficRules
) -> list[Finding]:
    """Return how rules differ from those that are in force."""
    findings = []
    if rules.version <= in_force.version:
        findings.append(
            Finding(
                kind=FindingKind.CONTRADICTION,
                path='version',
                text=f'{rules.version} is not above {in_force.version}, which '
                'is in force; daemons will not take it',
            )
        )
    changes = [
        *_compare_tables(
            'routes',
            {route.name: route for route in in_force.routes},
            {route.name: route for route in rules.routes},
            _compare_routes,
        ),
        *_compare_tables(
            'workspaces',
            in_force.workspaces,
            rules.workspaces,
            lambda before, after: _compare_fields(
                before, after, _WORKSPACE_FIELDS
            ),
        ),
        *_compare_tables(
            'services',
            in_force.services,
            rules.services,
            _compare_dataclasses,
        ),
        *_compare_keys(in_force, rules),
        *(
            ('limits', text)
            for text in _compare_dataclasses(in_force.limits, rules.limits)
        ),
    ]
    return findings + [
        Finding(kind=FindingKind.CHANGE, path=path, text=text)
        for path, text in changes
    ]


def _never_matches(path: str, text: str) -> Finding:
    return Finding(kind=FindingKind.NEVER_MATCHES, path=path, text=text)


def _contradiction(path: str, text: str) -> Finding:
    return Finding(kind=FindingKind.CONTRADICTION, path=path, text=text)


def _review_prefixes(rules: traffic.TrafficRules) -> Iterator[Finding]:
    """Find routes whose host and prefix another route has, too."""
    last_by_prefix = {
        (route.host.lower(), route.prefix): route.name
        for route in rules.routes
    }
    for route in rules.routes:
        winner = last_by_prefix[route.host.lower(), route.prefix]
        if winner != route.name:
            yield _never_matches(
                f'routes.{route.name}',
                f'route {winner} has the same host and path prefix',
            )


def _review_route(
    route: traffic.Route, rules: traffic.TrafficRules
) -> Iterator[Finding]:
    path = f'routes.{route.name}'
    if not route.host:
        yield _never_matches(path, 'the host is empty')
    if not route.prefix.endswith('/'):
        yield _never_matches(
            path, f'path prefix {route.prefix!r} has no trailing slash'
        )
    for destination in route.destinations:
        if destination.weight <= 0.0:
            yield _never_matches(
                path, f'service {destination.service} has a weight of 0'
            )
        if destination.service not in rules.services:
            yield _contradiction(
                path,
                f'service {destination.service} is not among the services',
            )
    if route.target_s > route.timeout_s:
        yield _contradiction(
            path,
            f'the latency target of {route.target_s} s is above the timeout '
            f'of {route.timeout_s} s',
        )
    if not route.is_open and rules.workspaces and not rules.workspaces_by_key:
        yield _never_matches(path, 'it needs a key, and there are no keys')


def _review_workspaces(rules: traffic.TrafficRules) -> Iterator[Finding]:
    owners = {item.name for item in rules.workspaces_by_key.values()}
    for name, workspace in rules.workspaces.items():
        path = f'workspaces.{name}'
        if name not in owners:
            yield _never_matches(
                path, 'it has no key, or another workspace has each of them'
            )
        if workspace.is_limited and workspace.burst < 1.0:
            yield _contradiction(
                path,
                f'a burst of {workspace.burst} admits no request at a rate '
                f'of {workspace.rate_per_s}/s',
            )
        if not workspace.is_limited and workspace.burst > 0.0:
            yield _contradiction(
                path, f'a burst of {workspace.burst} without a rate'
            )


def _review_services(rules: traffic.TrafficRules) -> Iterator[Finding]:
    used = {
        destination.service
        for route in rules.routes
        for destination in route.destinations
        if destination.weight > 0.0
    }
    for name, service in rules.services.items():
        path = f'services.{name}'
        if name not in used:
            yield _never_matches(path, 'no route leads to it')
        if service.cold_rate_per_s > 0.0 and service.cold_s <= 0.0:
            yield _contradiction(
                path, 'a rate for cold upstreams, which are cold for 0 s'
            )
    limits = rules.limits
    if limits.header_timeout_s > limits.idle_timeout_s:
        yield _contradiction(
            'limits',
            f'the header timeout of {limits.header_timeout_s} s is above the '
            f'idle timeout of {limits.idle_timeout_s} s',
        )


def _compare_tables(
    table: str,
    before: Mapping[Any, Any],
    after: Mapping[Any, Any],
    compare_entries: Callable[[Any, Any], list[str]],
) -> Iterator[tuple[str, str]]:
    """Return path and text of each difference between two tables."""
    for name in sorted(before.keys() | after.keys()):
        path = f'{table}.{name}'
        if name not in before:
            yield path, 'added'
        elif name not in after:
            yield path, 'removed'
        else:
            for text in compare_entries(before[name], after[name]):
                yield path, text


def _compare_routes(before: traffic.Route, after: traffic.Route) -> list[str]:
    changes = _compare_fields(before, after, _ROUTE_FIELDS)
    if before.destinations != after.destinations:
        changes.append(
            f'destinations: {_describe_split(before)} -> '
            f'{_describe_split(after)}'
        )
    return changes


def _describe_split(route: traffic.Route) -> str:
    return ', '.join(
        f'{destination.service} ({destination.weight:g})'
        for destination in route.destinations
    )


def _compare_dataclasses(before: Any, after: Any) -> list[str]:
    names = tuple(field.name for field in dataclasses.fields(before))
    return _compare_fields(before, after, names)


def _compare_fields(
    before: Any, after: Any, names: tuple[str, ...]
) -> list[str]:
    return [
        f'{name}: {getattr(before, name)} -> {getattr(after, name)}'
        for name in names
        if getattr(before, name) != getattr(after, name)
    ]


def _compare_keys(
    before: traffic.TrafficRules, after: traffic.TrafficRules
) -> Iterator[tuple[str, str]]:
    """Count the keys that each workspace gains and loses."""
    gained = _count_keys(after, without=before)
    lost = _count_keys(before, without=after)
    for name in sorted(gained.keys() | lost.keys()):
        yield (
            f'workspaces.{name}',
            f'keys: {gained[name]} added, {lost[name]} withdrawn',
        )


def _count_keys(
    rules: traffic.TrafficRules, *, without: traffic.TrafficRules
) -> collections.Counter[ids.Workspace]:
    """Count the keys by workspace that other rules do not give to it."""
    return collections.Counter(
        workspace.name
        for key, workspace in rules.workspaces_by_key.items()
        if key not in without.workspaces_by_key
        or without.workspaces_by_key[key].name != workspace.name
    )
