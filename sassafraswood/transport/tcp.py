"""Options and state of TCP sockets."""

import array
import asyncio
import contextlib
import ctypes
import fcntl
import socket
import struct
import termios
import typing

from sassafraswood import const

_USER_TIMEOUT_MS: typing.Final = int(const.PEER_TIMEOUT_S * 1000)
_KEEPALIVE_OPTIONS: typing.Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)
# Larger requests may not fit into the receive buffer of a server.
_MAX_BUFFERED_BYTES: typing.Final = 16 * 1024

# Not in the socket module.
_SO_ATTACH_FILTER: typing.Final = 26
# Program of a socket filter that drops the packets which open a connection:
# code, steps if true, steps if false, and operand of each instruction.
_OPENING_FILTER: typing.Final = (
    # Load the flags of the TCP header; test SYN; drop, or keep the packet.
    (0x30, 0, 0, 13),
    (0x45, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)


def configure(connection: socket.socket) -> None:
    """Set the options of a connection to another daemon or to a server.

    The kernel chooses the local port of an outgoing connection, which may be
    one that another process listens on later: with SO_REUSEADDR on both
    sockets it can, also while the connection lasts.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    enable_keepalive(connection)


def enable_keepalive(connection: socket.socket) -> None:
    """Make the kernel close the connection when its remote end is lost.

    Unanswered keepalive probes and unacknowledged data both close it.
    """
    for level, option, value in _KEEPALIVE_OPTIONS:
        connection.setsockopt(level, option, value)


class ReadLimit:
    """Limits the time in which a server reads nothing of a request.

    The kernel closes a connection whose remote end has had a full receive
    buffer for the time after which unacknowledged data closes it. A server
    may read a large request late, so that time applies to small requests
    only; the sender has to limit how long it waits for other responses.
    """

    def __init__(self) -> None:
        """Initialize the limit of a connection with the usual options."""
        self._is_set = True

    def apply(self, transport: asyncio.BaseTransport, size: int) -> None:
        """Set or remove the limit for the next request.

        Args:
            transport: Open transport that the request is sent on next.
            size: Bytes of the request.
        """
        is_set = size <= _MAX_BUFFERED_BYTES
        if is_set == self._is_set:
            return
        self._is_set = is_set
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _USER_TIMEOUT_MS if is_set else 0,
        )


def count_unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the kernel has received for an open transport.

    The event loop has not read them. 0 if that cannot be told.
    """
    return _query(transport, termios.FIONREAD)


def count_undelivered_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the kernel holds for the remote end.

    Its kernel has not acknowledged them. 0 if that cannot be told.
    """
    return _query(transport, termios.TIOCOUTQ)


def _query(transport: asyncio.BaseTransport, request: int) -> int:
    connection = transport.get_extra_info('socket')
    size = array.array('i', [0])
    try:
        fcntl.ioctl(connection.fileno(), request, size)
    except (OSError, ValueError):
        # A closed socket has -1 as descriptor, which is a ValueError.
        return 0
    return size[0]


def end_sending(transport: asyncio.BaseTransport) -> None:
    """Tell the remote end at once that nothing more is sent to it.

    Does nothing if the connection has ended.

    Args:
        transport: Open transport whose write buffer is empty.
    """
    connection = transport.get_extra_info('socket')
    with contextlib.suppress(OSError, ValueError):
        borrowed = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, 0, connection.fileno()
        )
        try:
            borrowed.shutdown(socket.SHUT_WR)
        finally:
            borrowed.detach()


def ignore_new_connections(listener: socket.socket) -> None:
    """Make the kernel ignore requests to connect to a listener.

    The connections that it has completed can still be accepted. Clients send
    their request again, a second later, and are refused once the listener is
    closed.

    Raises:
        OSError: The kernel has no filters.
    """
    program = ctypes.create_string_buffer(
        b''.join(struct.pack('HBBI', *step) for step in _OPENING_FILTER)
    )
    listener.setsockopt(
        socket.SOL_SOCKET,
        _SO_ATTACH_FILTER,
        struct.pack('HP', len(_OPENING_FILTER), ctypes.addressof(program)),
    )


def accept_waiting(
    listener: socket.socket, max_descriptor: float
) -> tuple[list[socket.socket], bool]:
    """Accept the connections that the kernel has completed for a listener.

    Args:
        listener: Listening socket that does not block.
        max_descriptor: Descriptor with which no further one is accepted.

    Returns:
        The connections, and whether no other one waits.
    """
    connections: list[socket.socket] = []
    while True:
        try:
            connection, _ = listener.accept()
        except ConnectionAbortedError:
            continue
        except BlockingIOError:
            return connections, True
        except OSError:
            # There is no descriptor for another one.
            return connections, False
        connection.setblocking(False)
        connections.append(connection)
        if connection.fileno() >= max_descriptor:
            return connections, False


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
