"""ZeroMQ sockets watched by the event loop."""

import asyncio
from collections.abc import Callable

import zmq

# Messages taken in one turn, so that one busy socket does not hold the loop.
_BATCH_MESSAGES = 64


class WatchedSocket:
    """A ZeroMQ socket whose file descriptor the event loop watches.

    The descriptor signals edges, not levels: after each send and receive the
    socket's events have to be read again (libzmq manual, ZMQ_FD).
    """

    def __init__(
        self,
        socket: zmq.Socket,
        *,
        on_message: Callable[[list[bytes]], None],
        on_writable: Callable[[], None] | None = None,
    ) -> None:
        """Watch the socket on the running loop."""
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
        """Send a message; return False if the socket can't take it now."""
        if self._is_closed:
            return False
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self._schedule()
        return True

    def close(self) -> None:
        """Stop watching and drop messages that are not yet sent."""
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
        for _ in range(_BATCH_MESSAGES):
            if self._is_closed:
                return
            # Asking first is cheaper than the exception of an empty socket.
            events = int(self._socket.getsockopt(zmq.EVENTS))
            if not events & zmq.POLLIN:
                break
            self._on_message(self._socket.recv_multipart(zmq.NOBLOCK))
        else:
            self._schedule()
            return
        if events & zmq.POLLOUT and self._on_writable is not None:
            self._on_writable()
