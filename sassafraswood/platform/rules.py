"""Decoding of the operator's configuration into traffic rules."""

from typing import Annotated, Final

import msgspec

from sassafraswood import exceptions
from sassafraswood.models import ids
from sassafraswood.models import traffic
from sassafraswood.platform import wire_json

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class _Wire(msgspec.Struct, rename='kebab', frozen=True, kw_only=True):
    """Base class of the tables; unknown fields are ignored."""


class _Destination(_Wire, frozen=True, kw_only=True):
    service: str
    weight: _NotNegative


class _Route(_Wire, frozen=True, kw_only=True):
    host: str
    path_prefix: str
    # "safe" if a request may run more than once.
    kind: str
    timeout_s: _Positive
    latency_target_s: _NotNegative = 0.0
    # 0 is the highest priority.
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Destination] | None = None
    # Number of upstreams to try, including the first one.
    max_attempts: int = 1
    anonymous: bool = False


class _Service(_Wire, frozen=True, kw_only=True):
    health_path: str = '/health'
    max_conns: int = 0
    cold_s: _NotNegative = 0.0
    cold_per_s: _NotNegative = 0.0


class _Limits(_Wire, frozen=True, kw_only=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class _Tenant(_Wire, frozen=True, kw_only=True):
    api_keys: list[str]
    priority: int | None = None
    rate_per_s: _NotNegative = 0.0
    burst: _NotNegative = 0.0


class _Configuration(_Wire, frozen=True, kw_only=True):
    version: str
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits
    tenants: dict[str, _Tenant] = {}


_decoder = msgspec.json.Decoder(_Configuration)
_TABLES: Final = {'routes': _Route, 'services': _Service, 'tenants': _Tenant}


def parse_version(text: str) -> int:
    """Return the number in a version such as r12.

    Raises:
        DecodeError: The text is not a valid version.
    """
    if not text.startswith('r') or not text[1:].isdecimal():
        raise exceptions.DecodeError(
            f'invalid version {text!r}; expected r and a number'
        )
    return int(text[1:])


def decode(document: bytes) -> traffic.TrafficRules:
    """Return the traffic rules of a configuration.

    Raises:
        DecodeError: The document is not a valid configuration.
    """
    wire = wire_json.decode(_decoder, document)
    workspaces = {
        ids.Workspace(name): traffic.WorkspaceRules(
            name=ids.Workspace(name),
            rank=tenant.priority,
            rate_per_s=tenant.rate_per_s,
            burst=tenant.burst,
        )
        for name, tenant in wire.tenants.items()
    }
    return traffic.TrafficRules(
        version=parse_version(wire.version),
        routes=tuple(
            _make_route(name, route) for name, route in wire.routes.items()
        ),
        services={
            ids.ServiceName(name): traffic.ServiceRules(
                health_path=service.health_path,
                max_connections=service.max_conns,
                cold_s=service.cold_s,
                cold_rate_per_s=service.cold_per_s,
            )
            for name, service in wire.services.items()
        },
        workspaces=workspaces,
        workspaces_by_key={
            key.encode(): workspaces[ids.Workspace(name)]
            for name, tenant in wire.tenants.items()
            for key in tenant.api_keys
        },
        limits=traffic.ClientLimits(
            max_header_bytes=wire.limits.max_header_bytes,
            max_body_bytes=wire.limits.max_body_bytes,
            header_timeout_s=wire.limits.header_timeout_s,
            idle_timeout_s=wire.limits.idle_timeout_s,
        ),
    )


def find_problems(document: bytes) -> list[exceptions.Problem]:
    """Return all problems that keep a configuration from being decoded.

    Each entry of a table is decoded alone, so that one problem does not hide
    the others.
    """
    try:
        raw = msgspec.json.decode(document)
    except (msgspec.MsgspecError, RecursionError) as error:
        return [exceptions.Problem('$', str(error), 'JSON')]
    if not isinstance(raw, dict):
        return [exceptions.Problem('$', type(raw).__name__, 'an object')]
    problems = []
    for table, entry_type in _TABLES.items():
        entries = raw.get(table)
        if not isinstance(entries, dict):
            continue
        for name, entry in list(entries.items()):
            try:
                decoded = msgspec.convert(entry, entry_type)
                if isinstance(decoded, _Route):
                    _make_route(name, decoded)
            except (msgspec.ValidationError, exceptions.DecodeError) as error:
                problems.append(
                    exceptions.Problem(
                        f'$.{table}.{name}', str(error), 'a valid entry'
                    )
                )
                del entries[name]
    try:
        decode(msgspec.json.encode(raw))
    except exceptions.DecodeError as error:
        problems.append(
            exceptions.Problem('$', str(error), 'a valid configuration')
        )
    return problems


def _make_route(name: str, route: _Route) -> traffic.Route:
    split = route.traffic_split or []
    if route.service is not None:
        split = [_Destination(service=route.service, weight=1.0)]
    if not sum(part.weight for part in split) > 0:
        raise exceptions.DecodeError(
            f'route {name} has no service with a positive weight'
        )
    if not route.path_prefix.startswith('/'):
        raise exceptions.DecodeError(
            f'path prefix {route.path_prefix!r} has no leading slash'
        )
    return traffic.Route(
        name=name,
        host=route.host,
        prefix=route.path_prefix,
        destinations=tuple(
            traffic.Destination(
                service=ids.ServiceName(part.service), weight=part.weight
            )
            for part in split
        ),
        # Requests of an unknown kind must not run more than once.
        is_idempotent=route.kind == 'safe',
        timeout_s=route.timeout_s,
        target_s=route.latency_target_s or route.timeout_s,
        max_upstreams=max(1, route.max_attempts),
        rank=route.priority,
        is_open=route.anonymous,
    )
