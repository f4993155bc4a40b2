"""Decoding of the calls by which upstreams report their state."""

from typing import Final
import urllib.parse

import msgspec

from sassafraswood import exceptions
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.platform import settings
from sassafraswood.platform import wire_json

REPORT_CALL: Final = 'instances.heartbeat'
LEAVE_CALL: Final = 'instances.deregister'
_STATUSES: Final = {
    'ready': enums.UpstreamStatus.READY,
    'draining': enums.UpstreamStatus.DRAINING,
}


class _Report(msgspec.Struct, rename='kebab', frozen=True):
    service: str
    address: str
    slots: wire_json.Slots
    state: str
    sequence: wire_json.Count
    cold_left_s: float | None = None
    born: wire_json.Count | None = None


class _Leave(msgspec.Struct, rename='kebab', frozen=True):
    born: wire_json.Count | None = None


_decoder = msgspec.json.Decoder(_Report)
_leave_decoder = msgspec.json.Decoder(_Leave)


def parse_target(target: bytes) -> tuple[str, str]:
    """Return the call name and the upstream id in a request target.

    Raises:
        DecodeError: The target is not that of a call of an upstream.
    """
    try:
        parts = urllib.parse.urlsplit(target.decode('latin-1'))
        query = urllib.parse.parse_qs(parts.query)
    except ValueError as error:
        raise exceptions.DecodeError(
            f'invalid target {target!r}: {error}'
        ) from error
    calls = query.get('call', [])
    instances = query.get('of', [])
    if parts.path != '/rpc' or len(calls) != 1 or len(instances) != 1:
        raise exceptions.DecodeError(
            f'invalid target {target!r}; expected /rpc?call=NAME&of=ID'
        )
    return calls[0], instances[0]


def decode(instance_id: str, body: bytes) -> fleet.UpstreamReport:
    """Return the report of an upstream.

    Raises:
        DecodeError: The body is not a valid report.
    """
    wire = wire_json.decode(_decoder, body)
    status = _STATUSES.get(wire.state)
    address = settings.parse_address(wire.address)
    if status is None or address is None:
        raise exceptions.DecodeError(
            f'invalid state {wire.state!r} or address {wire.address!r}'
        )
    return fleet.UpstreamReport(
        instance_id=instance_id,
        service=ids.ServiceName(wire.service),
        address=address,
        born=wire.born,
        sequence=wire.sequence,
        slots=wire.slots,
        status=status,
        cold_left_s=wire.cold_left_s,
    )


def decode_leave(body: bytes) -> int | None:
    """Return the start time of the upstream that leaves, if it reports one.

    The time is a Unix time in milliseconds.

    Raises:
        DecodeError: The body is not that of a leave call.
    """
    if not body:
        return None
    return wire_json.decode(_leave_decoder, body).born
