"""Tests of the decoding of the operator's configuration."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from sassafraswood import exceptions
from sassafraswood.platform import rules
from sassafraswood.state import route_index

DOCUMENT = {
    'version': 'r7',
    'routes': {
        'status': {
            'host': 'shop.example',
            'path-prefix': '/suits/',
            'kind': 'safe',
            'timeout-s': 1,
            'latency-target-s': 1.5,
            'priority': 2,
            'traffic-split': [
                {'service': 'status', 'weight': 90},
                {'service': 'spare', 'weight': 10},
            ],
            'max-attempts': 2,
            'anonymous': False,
        },
        'pay': {
            'host': 'shop.example',
            'path-prefix': '/suits/pay/',
            'kind': 'unsafe',
            'timeout-s': 1.2,
            'service': 'billing',
        },
    },
    'services': {'status': {'health-path': '/health', 'max-conns': 406}},
    'limits': {
        'max-header-bytes': 16384,
        'max-body-bytes': 1000,
        'header-timeout-s': 3,
        'idle-timeout-s': 15,
    },
    'tenants': {
        'blue': {
            'api-keys': ['k1', 'k2'],
            'priority': 1,
            'rate-per-s': 63,
            'burst': 60,
        }
    },
    'base-version': 'r5',
}


def decode(**changes):
    """Return the rules of the document with some fields replaced."""
    return rules.decode(json.dumps(DOCUMENT | changes).encode())


def test_configuration_becomes_rules() -> None:
    """The fields of a configuration are converted to the product's types."""
    decoded = decode()
    assert decoded.version == 7
    assert decoded.workspaces_by_key[b'k2'].name == 'blue'
    assert decoded.workspaces_by_key[b'k2'].rank == 1
    status, pay = decoded.routes
    assert status.is_idempotent and not pay.is_idempotent
    assert [part.weight for part in status.destinations] == [90.0, 10.0]
    assert pay.max_upstreams == 1
    assert pay.target_s == 1.2


def test_longest_prefix_wins() -> None:
    """The route with the longest matching path prefix applies.

    A prefix ends with a slash, so it matches whole segments only.
    """
    index = route_index.RouteIndex(decode().routes)
    assert index.find(b'shop.example', b'/suits/17').name == 'status'
    assert index.find(b'SHOP.example:80', b'/suits/pay/1').name == 'pay'
    assert index.find(b'shop.example', b'/suits') is None
    assert index.find(b'other.example', b'/suits/17') is None


def test_unknown_kind_is_never_repeated() -> None:
    """Guards against retrying requests of a route of an unknown kind."""
    routes = json.loads(json.dumps(DOCUMENT['routes']))
    routes['status']['kind'] = 'other'
    assert not decode(routes=routes).routes[0].is_idempotent


@pytest.mark.parametrize(
    'changes',
    [
        {'version': 'seven'},
        {'version': 7},
        {'routes': []},
        {'tenants': {'blue': {'api-keys': 'k1'}}},
        {'routes': {'a': {'host': 'x', 'path-prefix': '/', 'kind': 'safe'}}},
    ],
)
def test_other_documents_are_rejected(changes) -> None:
    """An invalid document raises DecodeError."""
    with pytest.raises(exceptions.DecodeError):
        decode(**changes)


@given(strategies.binary(max_size=200))
def test_any_bytes_are_rejected(data: bytes) -> None:
    """Bytes that are no configuration raise no other error."""
    with pytest.raises(exceptions.DecodeError):
        rules.decode(data)
