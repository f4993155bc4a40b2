"""Tests of the validation of service documents."""

import contextlib
import json
import typing

import hypothesis
from hypothesis import strategies
import pytest

from sassafraswood import exceptions
from sassafraswood.protocol import documents

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=12,
)
# Documents with valid field names, so that the values reach the nested checks.
_NEARLY_VALID = strategies.fixed_dictionaries(
    {},
    optional={
        'version': strategies.just(1) | _JSON,
        'service': strategies.just('a') | _JSON,
        'routes': strategies.lists(
            strategies.fixed_dictionaries(
                {'path': strategies.sampled_from(['/a', '/{x}']) | _JSON},
                optional={
                    'methods': _JSON,
                    'idempotent': _JSON,
                    'timeout_s': _JSON,
                    'importance': _JSON,
                },
            ),
            max_size=3,
        ),
        'workspaces': strategies.dictionaries(
            strategies.text(max_size=3),
            strategies.fixed_dictionaries(
                {'rate': _JSON, 'burst': _JSON}, optional={'weight': _JSON}
            ),
            max_size=2,
        ),
        'max_concurrency_per_caller': _JSON,
    },
)


def _document(**changes: object) -> dict[str, typing.Any]:
    """Return a valid document with some fields replaced."""
    return {
        'version': 1,
        'service': 'ordering',
        'routes': [{'path': '/orders/{id}'}],
        'workspaces': {'own': {'rate': 5, 'burst': 10}},
    } | changes


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(_JSON | _NEARLY_VALID)
def test_any_json_gives_a_document_or_a_document_error(value: object) -> None:
    """Guards against an invalid document that stops every daemon."""
    with contextlib.suppress(exceptions.DocumentError):
        documents.check_document(value)


def test_all_problems_are_reported_at_once() -> None:
    """Guards against reporting only one problem per publication attempt."""
    value = _document(
        version=2,
        service='Ordering',
        retry_allowance=11,
        max_body_bytes=2**40,
        extra=1,
        routes=[{'path': '/a/../b', 'timeout_s': 61, 'importance': 'urgent'}],
        workspaces={'own': {'rate': 0, 'burst': 0.5, 'weight': -1}},
    )
    with pytest.raises(exceptions.DocumentError) as caught:
        documents.check_document(value)
    assert {problem.path for problem in caught.value.problems} == {
        '$.version',
        '$.service',
        '$.retry_allowance',
        '$.max_body_bytes',
        "$.'extra'",
        '$.routes[0].path',
        '$.routes[0].timeout_s',
        '$.routes[0].importance',
        "$.workspaces.'own'.rate",
        "$.workspaces.'own'.burst",
        "$.workspaces.'own'.weight",
    }


@pytest.mark.parametrize(
    'changes',
    [
        {'workspaces': {'own': {'rate': float('inf'), 'burst': 1}}},
        {'workspaces': {'own': {'rate': float('nan'), 'burst': 1}}},
        {'workspaces': {'own': {'rate': True, 'burst': 1}}},
        {'workspaces': {'own': {'rate': 10**400, 'burst': 1}}},
        {'routes': [{'path': '/a/{x}'}, {'path': '/a/{y}'}]},
        {'routes': [{'path': '/a'}, {'path': '/a', 'methods': ['GET']}]},
        {'routes': [{'path': '/a', 'methods': ['get']}]},
        *({'routes': [{'path': path}]} for path in ('', 'a', '/a/', '//a')),
        *({'routes': [{'path': path}]} for path in ('/**/a', '/{x', '/a%2F')),
    ],
)
def test_invalid_values_are_rejected(changes: dict) -> None:
    """Guards against limits and routes that cannot be enforced."""
    with pytest.raises(exceptions.DocumentError):
        documents.check_document(_document(**changes))


def test_valid_documents_and_the_documented_example_pass() -> None:
    """Guards against an invalid example document in the documentation."""
    with open('docs/documents.md') as page:
        example = page.read().split('```json\n')[1].split('```')[0]
    assert documents.check_document(json.loads(example)).version == 1
    same_path = [
        {'path': '/', 'methods': ['GET']},
        {'path': '/', 'methods': ['POST']},
        {'path': '/**'},
    ]
    documents.check_document(_document(routes=same_path))
    assert '$ref' in documents.document_schema()
