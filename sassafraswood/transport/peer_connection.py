"""Outgoing connection to one peer."""

from collections.abc import Callable

import zmq

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.protocol import codec
from sassafraswood.transport import traffic as traffic_module
from sassafraswood.transport import zmq_socket

SocketFactory = Callable[[], zmq.Socket]
MessageHandler = Callable[['PeerConnection', messages.Message], None]


class PeerConnection:
    """A DEALER socket to the address of a peer, with heartbeats.

    A connection that is silent for PEER_SILENT_S is replaced by a new one,
    because something between the two ends may have lost track of it.
    """

    def __init__(
        self,
        *,
        address: str,
        clock: clock_module.Clock,
        new_socket: SocketFactory,
        own: records.Holder,
        on_message: MessageHandler,
        on_malformed: Callable[[], None],
        on_replaced: Callable[['PeerConnection'], None],
        traffic: traffic_module.Traffic,
    ) -> None:
        """Connect to host:port."""
        self._address = address
        self._clock = clock
        self._new_socket = new_socket
        self._own = own
        self._on_message = on_message
        self._on_malformed = on_malformed
        self._on_replaced = on_replaced
        self._traffic = traffic
        self._waiting: list[tuple[float, bytes]] = []
        self._sequence = 0
        self._peer: tuple[ids.DaemonId, ids.Incarnation] | None = None
        self.last_used = clock.monotonic()
        self.carried_call_at: float | None = None
        # Time of the first heartbeat since the peer was heard.
        self._unanswered_since: float | None = None
        self._open()

    @property
    def address(self) -> str:
        """Return host:port of the peer."""
        return self._address

    @property
    def is_ready(self) -> bool:
        """Return whether the peer has answered on this connection.

        Calls wait for the first answer, so that the process that they are
        sent to is known.
        """
        return self._is_ready

    @property
    def peer(self) -> tuple[ids.DaemonId, ids.Incarnation] | None:
        """Return id and incarnation of the peer, once it has answered."""
        return self._peer

    def send(self, payload: bytes, *, is_use: bool = True) -> bool:
        """Send an encoded message, or keep it until the connection is ready.

        Returns:
            False if the connection is ready and did not take the message.
        """
        if is_use:
            self.last_used = self._clock.monotonic()
        if self._is_ready:
            return self._socket.send([payload])
        expires = self._clock.monotonic() + 2 * const.PEER_CONNECT_S
        self._waiting.append((expires, payload))
        return True

    def withdraw(self, payload: bytes) -> bool:
        """Take back a message that still waits for the connection."""
        for index, (_, waiting) in enumerate(self._waiting):
            if waiting is payload:
                del self._waiting[index]
                return True
        return False

    def tick(self, *, is_busy: bool) -> None:
        """Send heartbeats and replace the connection when it is silent.

        Args:
            is_busy: Whether calls wait for results on this connection.
        """
        now = self._clock.monotonic()
        self._waiting = [item for item in self._waiting if item[0] > now]
        since = self._unanswered_since
        if since is not None and now - since >= const.PEER_SILENT_S:
            self._replace()
            return
        if now - self.last_used >= const.HEARTBEAT_IDLE_S and not is_busy:
            return
        if now - self._last_ping >= const.HEARTBEAT_INTERVAL_S:
            self.ping()

    def ping(self) -> None:
        """Send a heartbeat if the connection is established."""
        now = self._clock.monotonic()
        self._last_ping = now
        if not self._is_greeted:
            return
        if self._unanswered_since is None:
            self._unanswered_since = now
        self._sequence += 1
        ping = messages.Ping(
            sequence=self._sequence,
            daemon_id=self._own.daemon_id,
            incarnation=self._own.incarnation,
        )
        payload = codec.encode_message(ping)
        self._traffic.note_message(traffic_module.SENT, ping, len(payload))
        self._socket.send([payload])

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _open(self) -> None:
        now = self._clock.monotonic()
        self._is_greeted = False
        self._is_ready = False
        # A connection that is never established counts as silent, too.
        self._unanswered_since = now
        self._last_ping = now
        socket = self._new_socket()
        if self._address.startswith('['):
            socket.set(zmq.IPV6, 1)
        socket.connect(f'tcp://{self._address}')
        self._socket = zmq_socket.WatchedSocket(
            socket,
            on_message=self._receive,
            on_writable=self._greet,
        )

    def _replace(self) -> None:
        self._socket.close()
        self._open()
        self._on_replaced(self)

    def _greet(self) -> None:
        if self._is_greeted:
            return
        self._is_greeted = True
        self.ping()

    def _become_ready(self) -> None:
        if self._is_ready:
            return
        self._is_ready = True
        waiting, self._waiting = self._waiting, []
        now = self._clock.monotonic()
        for expires, payload in waiting:
            if expires > now:
                self._socket.send([payload])

    def _receive(self, frames: list[bytes]) -> None:
        self._unanswered_since = None
        try:
            message = codec.decode_message(frames[-1])
        except exceptions.DecodeError:
            self._on_malformed()
            return
        self._traffic.note_message(
            traffic_module.RECEIVED, message, len(frames[-1])
        )
        if isinstance(message, messages.Pong):
            self._peer = (message.daemon_id, message.incarnation)
            self._become_ready()
        self._on_message(self, message)
