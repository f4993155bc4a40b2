"""Records of upstreams in the platform's store, written beside them.

Each daemon has one record of the upstreams that have left its VM, one of the
upstream that is there, and some of upstreams that ended without a leave. They
have keys of their own: a write of one that the store does late must not undo
one of another.
"""

from collections.abc import Iterable
from typing import Annotated, Final

import msgspec

from sassafraswood.models import crash
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.platform import wire_json

TOPIC: Final = 'keyed.upstreams'
# Ends that a daemon keeps; the next one takes the place of the oldest.
MAX_ENDS: Final = 8
_ENDS: Final = '/ended/'


class _Leave(msgspec.Struct, frozen=True):
    instance_id: str
    born: wire_json.Count | None


class _Upstream(msgspec.Struct, frozen=True):
    instance_id: str
    born: wire_json.Count | None
    slots: wire_json.Slots


# Rates, ages and times, which are multiplied with each other.
_Measure = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]


class _Suspect(msgspec.Struct, frozen=True, array_like=True):
    fingerprint: str
    rate_per_s: _Measure
    age_s: _Measure
    is_repeat: bool = False


class _End(msgspec.Struct, frozen=True):
    record_id: str
    service: str
    ended_at: _Measure
    suspects: list[_Suspect]


_end_decoder = msgspec.json.Decoder(_End)
_leaves_decoder = msgspec.json.Decoder(list[_Leave])
_upstream_decoder = msgspec.json.Decoder(_Upstream)


def leaves_key(daemon_id: ids.DaemonId) -> str:
    """Return the key of the upstreams that have left."""
    return f'{daemon_id}/left'


def upstream_key(daemon_id: ids.DaemonId) -> str:
    """Return the key of the upstream that is there."""
    return f'{daemon_id}/present'


def encode_leaves(leaves: Iterable[fleet.UpstreamStart]) -> bytes:
    """Return the value for upstreams that have left."""
    return msgspec.json.encode(
        [
            _Leave(instance_id=leave.instance_id, born=leave.born)
            for leave in leaves
        ]
    )


def decode_leaves(value: bytes) -> list[fleet.UpstreamStart]:
    """Return the upstreams that have left.

    Raises:
        DecodeError: The value is no such record.
    """
    rows = wire_json.decode(_leaves_decoder, value)
    return [
        fleet.UpstreamStart(instance_id=row.instance_id, born=row.born)
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
    row = wire_json.decode(_upstream_decoder, value)
    return fleet.KnownUpstream(
        instance_id=row.instance_id, born=row.born, slots=row.slots
    )


def end_key(daemon_id: ids.DaemonId, number: int) -> str:
    """Return the key of an end by its number."""
    return f'{daemon_id}{_ENDS}{number % MAX_ENDS}'


def is_end(key: str) -> bool:
    """Return whether a record is of an end, of any daemon."""
    return _ENDS in key


def encode_end(record: crash.CrashRecord) -> bytes:
    """Return the value for an end."""
    return msgspec.json.encode(
        _End(
            record_id=record.record_id,
            service=record.service,
            ended_at=round(record.ended_at, 3),
            suspects=[
                _Suspect(
                    fingerprint=suspect.fingerprint,
                    rate_per_s=suspect.rate_per_s,
                    age_s=suspect.age_s,
                    is_repeat=suspect.is_repeat,
                )
                for suspect in record.suspects
            ],
        )
    )


def decode_end(value: bytes) -> crash.CrashRecord:
    """Return an end.

    Raises:
        DecodeError: The value is no such record.
    """
    row = wire_json.decode(_end_decoder, value)
    return crash.CrashRecord(
        record_id=row.record_id,
        service=ids.ServiceName(row.service),
        ended_at=row.ended_at,
        suspects=tuple(
            crash.Suspect(
                fingerprint=ids.Fingerprint(suspect.fingerprint),
                rate_per_s=suspect.rate_per_s,
                age_s=suspect.age_s,
                is_repeat=suspect.is_repeat,
            )
            for suspect in row.suspects
        ),
    )
