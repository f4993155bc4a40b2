"""Records of upstreams in the platform's store, written beside them.

Each daemon has one record of the upstreams that have left its VM and one of
the upstream that is there. They have keys of their own: a write of the second
that the store does late must not undo one of the first.
"""

from collections.abc import Iterable
from typing import Final

import msgspec

from sassafraswood import exceptions
from sassafraswood.models import fleet
from sassafraswood.models import ids

TOPIC: Final = 'keyed.upstreams'


class _Leave(msgspec.Struct, frozen=True):
    instance_id: str
    born: int | None


class _Upstream(msgspec.Struct, frozen=True):
    instance_id: str
    born: int | None
    slots: int


_leaves_decoder = msgspec.json.Decoder(list[_Leave])
_upstream_decoder = msgspec.json.Decoder(_Upstream)


def leaves_key(daemon_id: ids.DaemonId) -> str:
    """Return the key of the upstreams that have left."""
    return f'{daemon_id}/left'


def upstream_key(daemon_id: ids.DaemonId) -> str:
    """Return the key of the upstream that is there."""
    return f'{daemon_id}/present'


def encode_leaves(leaves: Iterable[fleet.UpstreamLeave]) -> bytes:
    """Return the value for upstreams that have left."""
    return msgspec.json.encode(
        [
            _Leave(instance_id=leave.instance_id, born=leave.born)
            for leave in leaves
        ]
    )


def decode_leaves(value: bytes) -> list[fleet.UpstreamLeave]:
    """Return the upstreams that have left.

    Raises:
        DecodeError: The value is no such record.
    """
    try:
        rows = _leaves_decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise exceptions.DecodeError(str(error)) from error
    return [
        fleet.UpstreamLeave(instance_id=row.instance_id, born=row.born)
        for row in rows
    ]


def encode_upstream(upstream: fleet.KnownUpstream) -> bytes:
    """Return the value for the upstream that is there."""
    return msgspec.json.encode(
        _Upstream(
            instance_id=upstream.instance_id,
            born=upstream.born,
            slots=upstream.slots,
        )
    )


def decode_upstream(value: bytes) -> fleet.KnownUpstream:
    """Return the upstream that is there.

    Raises:
        DecodeError: The value is no such record.
    """
    try:
        row = _upstream_decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise exceptions.DecodeError(str(error)) from error
    if row.slots < 1:
        raise exceptions.DecodeError(f'{row.slots} slots')
    return fleet.KnownUpstream(
        instance_id=row.instance_id, born=row.born, slots=row.slots
    )
