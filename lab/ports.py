"""Ports of the loopback address for processes that are started later."""

import collections
import random
import socket
from typing import Final

HOST: Final = '127.0.0.1'
# Below the ports that the kernel gives to outgoing connections.
_FIRST_PORT: Final = 12000
_LAST_PORT: Final = 32000
# Port whose UDP side reserves a whole address.
_HOST_PORT: Final = 7000

# The oldest reservations end beyond this number; no fleet has as many ports.
_MAX_RESERVATIONS: Final = 300

# Each reserved port is bound for UDP, so that no other process reserves it;
# its TCP port stays free for the process that listens.
_reservations: collections.deque[socket.socket] = collections.deque()


def reserve_hosts(count: int) -> list[str]:
    """Return loopback addresses that are reserved for this process.

    Args:
        count: Number of addresses.
    """
    generator = random.SystemRandom()
    hosts: list[str] = []
    while len(hosts) < count:
        host = f'127.{generator.randint(1, 254)}.{generator.randint(0, 254)}.9'
        if host not in hosts and _try_reserve(_HOST_PORT, host):
            hosts.append(host)
    return hosts


def reserve_ports(count: int) -> list[int]:
    """Return TCP ports on which nothing listens, reserved for this process.

    Args:
        count: Number of ports.

    Raises:
        OSError: There are not as many free ports.
    """
    generator = random.SystemRandom()
    candidates = generator.sample(
        range(_FIRST_PORT, _LAST_PORT), _LAST_PORT - _FIRST_PORT
    )
    ports = []
    for port in candidates:
        if _try_reserve(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f'fewer than {count} free ports on {HOST}')


def _try_reserve(port: int, host: str = HOST) -> bool:
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind((host, port))
        with socket.socket() as listener:
            listener.bind((host, port))
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    if len(_reservations) > _MAX_RESERVATIONS:
        _reservations.popleft().close()
    return True
