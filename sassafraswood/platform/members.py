"""Encoding of the member records of daemons in the platform's store."""

from typing import Final

import msgspec

from sassafraswood import exceptions
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.platform import settings
from sassafraswood.platform import wire_json

TOPIC: Final = 'keyed.members'


class _Record(msgspec.Struct, frozen=True):
    ip: str
    port: int
    failure_domain: str
    service: str


_decoder = msgspec.json.Decoder(_Record)


def encode(member: fleet.Member) -> bytes:
    """Return the value of a member's record, encoded as JSON."""
    host, port = member.address
    return msgspec.json.encode(
        _Record(
            ip=host,
            port=port,
            failure_domain=member.failure_domain,
            service=member.service,
        )
    )


def decode(daemon_id: str, value: bytes) -> fleet.Member:
    """Return the member that a record describes.

    Raises:
        DecodeError: The value is not a valid member record.
    """
    record = wire_json.decode(_decoder, value)
    address = settings.parse_address(f'{record.ip}:{record.port}')
    if address is None:
        raise exceptions.DecodeError(
            f'invalid address {record.ip!r} or port {record.port}'
        )
    return fleet.Member(
        daemon_id=ids.DaemonId(daemon_id),
        address=address,
        failure_domain=ids.FailureDomain(record.failure_domain),
        service=ids.ServiceName(record.service),
    )
