"""Options of TCP sockets."""

import socket
import typing

from sassafraswood import const

_SILENCE_OPTIONS: typing.Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(const.PEER_SILENT_S * 1000),
    ),
)


def detect_silence(connection: socket.socket) -> None:
    """Let the kernel close a connection whose other end has vanished."""
    for level, option, value in _SILENCE_OPTIONS:
        connection.setsockopt(level, option, value)
