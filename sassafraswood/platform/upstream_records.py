"""Encoding of the records of upstreams that daemons write to the store.

Each daemon has one record for each of the newest upstreams that have left its
VM, one of the upstream present on it, and one for each of the newest crashes
of its upstreams. Each record has a key of its own, so that a write of another
process, or one that the store applies late, cannot overwrite a record of
another kind, another leave or another crash.
"""

from collections.abc import Iterable
from typing import Annotated, Final

import msgspec
import xxhash

from sassafraswood.models import crash
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.platform import wire_json

TOPIC: Final = 'keyed.upstreams'
_CRASH_KEY_PART: Final = '/ended/'
_LEAVE_KEY_PART: Final = '/left/'


class _Leave(msgspec.Struct, frozen=True):
    instance_id: str
    born: wire_json.Count | None


class _Upstream(msgspec.Struct, frozen=True):
    instance_id: str
    born: wire_json.Count | None
    slots: wire_json.Slots


# Rates, ages and times. They are multiplied with each other, so their range is
# limited.
_Measure = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]


class _Suspect(msgspec.Struct, frozen=True, array_like=True):
    fingerprint: str
    rate_per_s: _Measure
    age_s: _Measure
    is_repeat: bool = False


class _CrashRecord(msgspec.Struct, frozen=True):
    record_id: str
    service: str
    ended_at: _Measure
    suspects: list[_Suspect]


_crash_decoder = msgspec.json.Decoder(_CrashRecord)
_leaves_decoder = msgspec.json.Decoder(list[_Leave])
_upstream_decoder = msgspec.json.Decoder(_Upstream)


def leave_key(daemon_id: ids.DaemonId, leave: fleet.UpstreamProcess) -> str:
    """Return the key of a daemon's record of an upstream that has left.

    It follows from the upstream alone, so that each write of it, however
    late, has the same key. Names of upstreams may be too long for a key.
    """
    name = f'{leave.instance_id}/{leave.born}'.encode()
    return f'{daemon_id}{_LEAVE_KEY_PART}{xxhash.xxh64_hexdigest(name)}'


def is_leave_key(daemon_id: ids.DaemonId, key: str) -> bool:
    """Return whether a key is that of a daemon's record of leaves.

    Former versions kept all leaves in one record.
    """
    return key == f'{daemon_id}/left' or key.startswith(
        f'{daemon_id}{_LEAVE_KEY_PART}'
    )


def upstream_key(daemon_id: ids.DaemonId) -> str:
    """Return the key of a daemon's record of the upstream present."""
    return f'{daemon_id}/present'


def encode_leaves(leaves: Iterable[fleet.UpstreamProcess]) -> bytes:
    """Return the value of a record of upstreams that have left."""
    return msgspec.json.encode(
        [
            _Leave(instance_id=leave.instance_id, born=leave.born)
            for leave in leaves
        ]
    )


def decode_leaves(value: bytes) -> list[fleet.UpstreamProcess]:
    """Return the upstreams that have left.

    Raises:
        DecodeError: The value is not a valid record of leaves.
    """
    rows = wire_json.decode(_leaves_decoder, value)
    return [
        fleet.UpstreamProcess(instance_id=row.instance_id, born=row.born)
        for row in rows
    ]


def encode_upstream(upstream: fleet.StoredUpstream) -> bytes:
    """Return the value of a record of the upstream present."""
    return msgspec.json.encode(
        _Upstream(
            instance_id=upstream.instance_id,
            born=upstream.born,
            slots=upstream.slots,
        )
    )


def decode_upstream(value: bytes) -> fleet.StoredUpstream:
    """Return the upstream present on the VM of a daemon.

    Raises:
        DecodeError: The value is not a valid record of an upstream.
    """
    row = wire_json.decode(_upstream_decoder, value)
    return fleet.StoredUpstream(
        instance_id=row.instance_id, born=row.born, slots=row.slots
    )


def build_crash_key(daemon_id: ids.DaemonId, record_id: str) -> str:
    """Return the key of a daemon's record of a crash.

    Ids of records hold names of upstreams, which may be too long for a key.
    """
    name = xxhash.xxh64_hexdigest(record_id.encode())
    return f'{daemon_id}{_CRASH_KEY_PART}{name}'


def is_crash_key(key: str) -> bool:
    """Return whether a key is that of a crash record, of any daemon."""
    return _CRASH_KEY_PART in key


def is_own_crash_key(daemon_id: ids.DaemonId, key: str) -> bool:
    """Return whether a key is that of a daemon's record of a crash.

    Former versions numbered the keys.
    """
    return key.startswith(f'{daemon_id}{_CRASH_KEY_PART}')


def encode_crash(record: crash.CrashRecord) -> bytes:
    """Return the value of a crash record."""
    return msgspec.json.encode(
        _CrashRecord(
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


def decode_crash(value: bytes) -> crash.CrashRecord:
    """Return the crash that a record describes.

    Raises:
        DecodeError: The value is not a valid crash record.
    """
    row = wire_json.decode(_crash_decoder, value)
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
