"""Options for TCP sockets."""

import socket
import typing

from sassafraswood import const

_KEEPALIVE_OPTIONS: typing.Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(const.PEER_TIMEOUT_S * 1000),
    ),
)


def enable_keepalive(connection: socket.socket) -> None:
    """Make the kernel close the connection when its remote end is lost.

    Unanswered keepalive probes and unacknowledged data both close it.
    """
    for level, option, value in _KEEPALIVE_OPTIONS:
        connection.setsockopt(level, option, value)


def bind(address: tuple[str, int]) -> socket.socket:
    """Return a socket that is bound to an address and not listening yet.

    Raises:
        OSError: The address cannot be bound.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setblocking(False)
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound
