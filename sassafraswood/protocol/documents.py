"""Validation of service documents."""

import re
import typing

import msgspec

from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import document
from sassafraswood.protocol import checks

DOCUMENT_VERSION: typing.Final = 1
MAX_ROUTES: typing.Final = 1000
MAX_WORKSPACES: typing.Final = 10_000
MAX_RETRY_ALLOWANCE: typing.Final = 10
# Larger rates (requests per second) and bursts would lose precision in the
# sums of the token buckets.
MAX_RATE: typing.Final = 1e6
MAX_WEIGHT: typing.Final = 1e6
MAX_CONCURRENCY: typing.Final = 1_000_000

# Methods that routes may have. CONNECT is left out since it requests a tunnel,
# and TRACE since it would return the headers of the request, including the key
# of the caller.
METHODS: typing.Final = (
    'DELETE',
    'GET',
    'HEAD',
    'OPTIONS',
    'PATCH',
    'POST',
    'PUT',
)
IMPORTANCE_WORDS: typing.Final = ('critical', 'high', 'normal', 'low')

# Characters that RFC 3986 section 3.3 allows in a path segment, except for the
# semicolon, which some servers treat as the start of parameters.
_LITERAL: typing.Final = r"[A-Za-z0-9._~!$&'()*+,=:@-]+"
_PATH: typing.Final = re.compile(
    r'(?=.{1,1024}\Z)'
    rf'(?:/|(?:/(?!\.{{1,2}}(?:/|\Z)|\*\*(?:/|\Z))'
    rf'(?:\{{[a-z][a-z0-9_]*\}}|{_LITERAL}))*(?:/\*\*)?)'
)
_PATH_ALLOWED: typing.Final = (
    'a path such as /orders/{id} or /files/**, decoded, without a slash at '
    'the end, of at most 1024 characters'
)
_PARAMETER: typing.Final = re.compile(r'\{[^/]*\}')


def check_document(value: object) -> document.ServiceDocument:
    """Return the service document that a JSON value holds.

    Raises:
        DocumentError: The document is invalid; the error lists all problems.
    """
    checker = checks.Checker()
    _check(checker, value)
    if checker.problems:
        raise exceptions.DocumentError(checker.problems)
    try:
        return msgspec.convert(value, document.ServiceDocument)
    except msgspec.ValidationError as error:
        problem = exceptions.Problem('$', str(error), 'a service document')
        raise exceptions.DocumentError([problem]) from error


def document_schema() -> dict[str, typing.Any]:
    """Return the JSON Schema of a service document."""
    return msgspec.json.schema(document.ServiceDocument)


def _check(checker: checks.Checker, value: object) -> None:
    fields = checker.fields('$', value, document.ServiceDocument)
    if 'version' in fields:
        checker.integer(
            '$.version', fields['version'], DOCUMENT_VERSION, DOCUMENT_VERSION
        )
    if 'service' in fields:
        checker.name('$.service', fields['service'])
    if 'routes' in fields:
        _check_routes(checker, fields['routes'])
    if 'workspaces' in fields:
        _check_workspaces(checker, fields['workspaces'])
    if 'retry_allowance' in fields:
        checker.integer(
            '$.retry_allowance',
            fields['retry_allowance'],
            0,
            MAX_RETRY_ALLOWANCE,
        )
    if 'max_body_bytes' in fields:
        checker.integer(
            '$.max_body_bytes',
            fields['max_body_bytes'],
            0,
            const.MAX_BODY_BYTES,
        )
    limit = fields.get('max_concurrency_per_caller')
    if limit is not None:
        checker.integer(
            '$.max_concurrency_per_caller', limit, 1, MAX_CONCURRENCY
        )


def _check_routes(checker: checks.Checker, value: object) -> None:
    # Maps a path, with its parameter names removed, and a method to the index
    # of the first route that has both.
    first_routes: dict[tuple[str, str], int] = {}
    for index, item in enumerate(
        checker.elements('$.routes', value, MAX_ROUTES)
    ):
        path = f'$.routes[{index}]'
        route = checker.fields(path, item, document.RouteSpec)
        if not _check_route(checker, path, route):
            continue
        shape = _PARAMETER.sub('{}', route['path'])
        for method in route.get('methods') or METHODS:
            first = first_routes.setdefault((shape, method), index)
            if first != index:
                checker.add(
                    f'{path}.path',
                    f'{method} {checks.describe_value(route["path"])}, '
                    f'same as $.routes[{first}]',
                    'each path and method once',
                )
                break


def _check_route(checker: checks.Checker, path: str, route: dict) -> bool:
    """Check a route; return whether its path and methods are valid."""
    problem_count = len(checker.problems)
    if 'path' in route:
        checker.text(f'{path}.path', route['path'], _PATH, _PATH_ALLOWED)
    if 'methods' in route:
        methods = checker.elements(
            f'{path}.methods', route['methods'], len(METHODS)
        )
        for index, method in enumerate(methods):
            checker.word(f'{path}.methods[{index}]', method, METHODS)
    is_path_valid = 'path' in route and len(checker.problems) == problem_count
    for name in ('open', 'require_idempotency_key'):
        if name in route:
            checker.boolean(f'{path}.{name}', route[name])
    if route.get('idempotent') is not None:
        checker.boolean(f'{path}.idempotent', route['idempotent'])
    if 'importance' in route:
        checker.word(
            f'{path}.importance', route['importance'], IMPORTANCE_WORDS
        )
    if 'timeout_s' in route:
        checker.number(
            f'{path}.timeout_s',
            route['timeout_s'],
            above=0.0,
            most=const.MAX_TIMEOUT_S,
        )
    return is_path_valid


def _check_workspaces(checker: checks.Checker, value: object) -> None:
    if not isinstance(value, dict):
        checker.add('$.workspaces', checks.describe_value(value), 'an object')
        return
    if len(value) > MAX_WORKSPACES:
        checker.add(
            '$.workspaces', f'{len(value)} names', f'at most {MAX_WORKSPACES}'
        )
        return
    for name, item in value.items():
        path = f'$.workspaces.{checks.describe_value(name)}'
        checker.name(path, name)
        spec = checker.fields(path, item, document.WorkspaceSpec)
        if 'rate' in spec:
            checker.number(
                f'{path}.rate', spec['rate'], above=0.0, most=MAX_RATE
            )
        if 'burst' in spec:
            checker.number(
                f'{path}.burst', spec['burst'], least=1.0, most=MAX_RATE
            )
        if 'weight' in spec:
            checker.number(
                f'{path}.weight', spec['weight'], above=0.0, most=MAX_WEIGHT
            )
