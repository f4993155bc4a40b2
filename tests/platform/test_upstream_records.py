"""Tests of the encoding of upstream records in the store."""

import pytest

from sassafraswood import exceptions
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.platform import upstream_records

DAEMON = ids.DaemonId('d1')


def test_records_come_back_as_they_were() -> None:
    """Records with and without a start time are decoded as encoded."""
    leaves = [
        fleet.UpstreamProcess(instance_id='i1', born=5),
        fleet.UpstreamProcess(instance_id='i2', born=None),
    ]
    value = upstream_records.encode_leaves(leaves)
    assert upstream_records.decode_leaves(value) == leaves
    upstream = fleet.StoredUpstream(instance_id='i3', born=7, slots=12)
    value = upstream_records.encode_upstream(upstream)
    assert upstream_records.decode_upstream(value) == upstream


def test_keys_of_a_daemon_differ() -> None:
    """Guards against a late write of one record overwriting the other."""
    leaves = [
        fleet.UpstreamProcess(instance_id=name, born=born)
        for name, born in (('i1', 1), ('i1', 2), ('i1', None), ('i2', 1))
    ]
    keys = [upstream_records.leave_key(DAEMON, leave) for leave in leaves]
    assert all(upstream_records.is_leave_key(DAEMON, key) for key in keys)
    present = upstream_records.upstream_key(DAEMON)
    assert not upstream_records.is_leave_key(DAEMON, present)
    assert len({*keys, present}) == 5


def test_keys_of_leaves_are_those_of_one_daemon() -> None:
    """Guards against leaves on another VM, whose name begins alike."""
    leave = fleet.UpstreamProcess(instance_id='i1', born=1)
    key = upstream_records.leave_key(ids.DaemonId('d10'), leave)
    assert not upstream_records.is_leave_key(DAEMON, key)


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff\x00',
        b'[]',
        b'{"instance_id":"i1","born":null}',
        b'{"instance_id":"i1","born":null,"slots":"12"}',
        b'{"instance_id":"i1","born":null,"slots":0}',
    ],
)
def test_record_of_another_writer_is_rejected(value: bytes) -> None:
    """A record with missing or invalid fields raises DecodeError."""
    with pytest.raises(exceptions.DecodeError):
        upstream_records.decode_upstream(value)
