"""Tests of the decoding of upstream reports."""

import json

from hypothesis import example
from hypothesis import given
from hypothesis import strategies
import pytest

from sassafraswood import exceptions
from sassafraswood.models import enums
from sassafraswood.platform import reports

REPORT = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'west-a',
    'version': 'v1',
    'slots': 185,
    'state': 'ready',
    'cold-left-s': 0.5,
    'sequence': 4,
    'born': 1700000000000,
}


def test_report_is_decoded() -> None:
    """The fields of a valid report are converted to the product's types."""
    report = reports.decode('i-1', json.dumps(REPORT).encode())
    assert report.address == ('10.128.0.9', 8080)
    assert report.status is enums.UpstreamStatus.READY
    assert report.born == 1700000000000


def test_target_names_call_and_instance() -> None:
    """The call and the instance are parameters of the query."""
    target = b'/rpc?call=instances.heartbeat&of=i-7f3a91c2'
    assert reports.parse_target(target) == (
        'instances.heartbeat',
        'i-7f3a91c2',
    )


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'gone'},
        {'address': 'nowhere'},
        {'slots': 0},
        {'slots': '185'},
        {'sequence': None},
        {'born': 1.5},
    ],
)
def test_report_of_another_writer_is_rejected(changes) -> None:
    """A field with an invalid type or value raises DecodeError."""
    with pytest.raises(exceptions.DecodeError):
        reports.decode('i-1', json.dumps(REPORT | changes).encode())


@given(strategies.binary(max_size=200))
def test_any_bytes_are_rejected(data: bytes) -> None:
    """Bytes that are not a report raise no other error than DecodeError."""
    with pytest.raises(exceptions.DecodeError):
        reports.decode('i-1', data)


# Guards against a report without an answer, whose target is no URL.
@example(b'//[x')
@given(strategies.binary(max_size=80))
def test_any_target_is_rejected(target: bytes) -> None:
    """An invalid target raises no other error than DecodeError."""
    with pytest.raises(exceptions.DecodeError):
        reports.parse_target(target)
