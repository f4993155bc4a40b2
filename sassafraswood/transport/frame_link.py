"""TCP connections between daemons that carry frames."""

import asyncio
from collections.abc import Callable
import typing
from typing import Final

from sassafraswood import exceptions
from sassafraswood.protocol import frames
from sassafraswood.transport import tcp


# Time without data after which the kernel is asked for unread bytes; links are
# closed as silent later than that.
UNREAD_CHECK_S: Final = 1.0


class FrameConnection(asyncio.Protocol):
    """One connection on which both daemons send frames at any time."""

    def __init__(
        self,
        on_message: Callable[['FrameConnection', frames.Received], None],
        on_open: Callable[['FrameConnection'], None],
        on_lost: Callable[['FrameConnection', str], None],
    ) -> None:
        """Initialize a connection without a transport.

        Args:
            on_message: Called with each received frame; must not raise, since
                that would end the connection and all calls on it.
            on_open: Called when the connection is established.
            on_lost: Called with the reason when the connection has ended.
        """
        self._on_message = on_message
        self._on_open = on_open
        self._on_lost = on_lost
        self._reader = frames.FrameReader(skips_invalid=True)
        self._transport: asyncio.Transport | None = None
        self._reason = 'closed by peer'
        # Time of the event loop at the most recent receipt of data.
        self._received_at = 0.0
        self._loop = asyncio.get_running_loop()
        # Id of the peer; None until it is known.
        self.daemon_id: str | None = None
        # Whether the peer runs calls whose body follows in parts.
        self.takes_body_parts = False

    @property
    def is_open(self) -> bool:
        """Return whether frames can be sent."""
        return self._transport is not None

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of frames that are still held for the peer."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def undelivered_bytes(self) -> int:
        """Return the bytes that the kernel of the peer has not received.

        A message of the peer that arrives behind a close is answered with a
        reset, which destroys them.
        """
        if self._transport is None:
            return 0
        return self.unsent_bytes + tcp.count_undelivered_bytes(self._transport)

    @property
    def silent_s(self) -> float:
        """Return the time since data was last received, in seconds.

        Data that the process has not read yet is received now: it was held up
        itself, not the peer.
        """
        silent_s = self._loop.time() - self._received_at
        if (
            silent_s > UNREAD_CHECK_S
            and self._transport is not None
            and tcp.count_unread_bytes(self._transport)
        ):
            return 0.0
        return silent_s

    def send(self, message: frames.AnyFrame) -> None:
        """Send a frame; does nothing on a closed connection."""
        if self._transport is not None:
            self._transport.write(frames.encode(message))

    def close(self, reason: str) -> None:
        """Abort the connection.

        Args:
            reason: Passed to on_lost.
        """
        self._reason = reason
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket of the established connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        tcp.configure(transport.get_extra_info('socket'))
        self._received_at = self._loop.time()
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Decode received frames and pass each to on_message."""
        self._received_at = self._loop.time()
        try:
            messages = self._reader.feed(data)
        except exceptions.DecodeError as error:
            self.close(f'cannot decode frames: {error}')
            return
        for message in messages:
            self._on_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to on_lost."""
        self._transport = None
        if exc is not None:
            self._reason = str(exc)
        self._on_lost(self, self._reason)
