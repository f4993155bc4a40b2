"""Records of daemons in the platform's store."""

from typing import Final

import msgspec

from sassafraswood import exceptions
from sassafraswood.models import fleet
from sassafraswood.models import ids

TOPIC: Final = 'keyed.members'


class _Record(msgspec.Struct, frozen=True):
    ip: str
    port: int
    failure_domain: str
    service: str


_decoder = msgspec.json.Decoder(_Record)


def encode(member: fleet.Member) -> bytes:
    """Return the value of a member's record."""
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
    """Return the member of a record.

    Raises:
        DecodeError: The value is no such record.
    """
    try:
        record = _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise exceptions.DecodeError(str(error)) from error
    return fleet.Member(
        daemon_id=ids.DaemonId(daemon_id),
        address=(record.ip, record.port),
        failure_domain=ids.FailureDomain(record.failure_domain),
        service=ids.ServiceName(record.service),
    )
