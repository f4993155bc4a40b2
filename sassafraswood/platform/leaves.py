"""Records of upstreams that left, in the platform's store."""

from collections.abc import Iterable
from typing import Final

import msgspec

from sassafraswood import exceptions
from sassafraswood.models import fleet

TOPIC: Final = 'keyed.leaves'


class _Leave(msgspec.Struct, frozen=True):
    instance_id: str
    born: int | None


_decoder = msgspec.json.Decoder(list[_Leave])


def encode(leaves: Iterable[fleet.UpstreamLeave]) -> bytes:
    """Return the value of a daemon's record."""
    return msgspec.json.encode(
        [
            _Leave(instance_id=leave.instance_id, born=leave.born)
            for leave in leaves
        ]
    )


def decode(value: bytes) -> list[fleet.UpstreamLeave]:
    """Return the leaves of a record.

    Raises:
        DecodeError: The value is no such record.
    """
    try:
        rows = _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise exceptions.DecodeError(str(error)) from error
    return [
        fleet.UpstreamLeave(instance_id=row.instance_id, born=row.born)
        for row in rows
    ]
