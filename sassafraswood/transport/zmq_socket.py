"""ZeroMQ sockets on the asyncio event loop."""

import asyncio
from collections.abc import Callable

import zmq

# Limits the messages received in one iteration of the event loop, so that a
# busy socket does not delay other work.
_MAX_BATCH_MESSAGES = 64


class WatchedSocket:
    """A ZeroMQ socket whose file descriptor the event loop watches.

    The descriptor is edge-triggered: after each send and receive the events of
    the socket have to be read again (libzmq manual, ZMQ_FD).
    """

    def __init__(
        self,
        socket: zmq.Socket,
        *,
        on_message: Callable[[list[bytes]], None],
        on_writable: Callable[[], None] | None = None,
    ) -> None:
        """Start to watch the socket on the running event loop.

        Args:
            socket: Socket, which close closes as well.
            on_message: Called with the frames of each message.
            on_writable: Called whenever the socket is found writable.
        """
        self._socket = socket
        self._on_message = on_message
        self._on_writable = on_writable
        self._loop = asyncio.get_running_loop()
        self._is_scheduled = False
        self._is_closed = False
        self._descriptor = int(socket.getsockopt(zmq.FD))
        self._loop.add_reader(self._descriptor, self._process)
        self._schedule()

    def send(self, frames: list[bytes]) -> bool:
        """Send a message; return False if it cannot be queued now."""
        if self._is_closed:
            return False
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self._schedule()
        return True

    def close(self) -> None:
        """Stop watching, close the socket and discard unsent messages."""
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_reader(self._descriptor)
        self._socket.close(linger=0)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._process_scheduled)

    def _process_scheduled(self) -> None:
        self._is_scheduled = False
        self._process()

    def _process(self) -> None:
        for _ in range(_MAX_BATCH_MESSAGES):
            if self._is_closed:
                return
            # Reading the events first is cheaper than handling the exception
            # that an empty socket raises.
            events = int(self._socket.getsockopt(zmq.EVENTS))
            if not events & zmq.POLLIN:
                break
            self._on_message(self._socket.recv_multipart(zmq.NOBLOCK))
        else:
            self._schedule()
            return
        if events & zmq.POLLOUT and self._on_writable is not None:
            self._on_writable()
