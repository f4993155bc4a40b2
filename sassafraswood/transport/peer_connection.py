"""Outgoing connection from this daemon to one peer."""

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

    A socket whose heartbeats get no reply for PEER_TIMEOUT_S is replaced by a
    new one, because a device on the path may have dropped the state of its
    TCP connection.
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
        """Open a socket and start to connect.

        Args:
            address: Address of the peer, as host:port.
            clock: Clock of the daemon.
            new_socket: Creates a configured DEALER socket.
            own: Identity of this daemon, sent in heartbeats.
            on_message: Called with each message of the peer.
            on_malformed: Called when a message cannot be decoded.
            on_replaced: Called after a silent socket was replaced.
            traffic: Counts messages and bytes.
        """
        self._address = address
        self._clock = clock
        self._new_socket = new_socket
        self._own = own
        self._on_message = on_message
        self._on_malformed = on_malformed
        self._on_replaced = on_replaced
        self._traffic = traffic
        self._unsent: list[tuple[float, bytes]] = []
        self._sequence = 0
        self._peer: tuple[ids.DaemonId, ids.Incarnation] | None = None
        self.last_used_at = clock.monotonic()
        self.last_call_at: float | None = None
        # Time of the first heartbeat after the last message of the peer.
        self._unanswered_since: float | None = None
        self._open_socket()

    @property
    def address(self) -> str:
        """Return the address of the peer, as host:port."""
        return self._address

    @property
    def is_ready(self) -> bool:
        """Return whether the peer has replied on the current socket.

        Messages wait for the first reply, so that the incarnation of the
        daemon that receives a call is known.
        """
        return self._is_ready

    @property
    def peer(self) -> tuple[ids.DaemonId, ids.Incarnation] | None:
        """Return id and incarnation of the peer, or None before a reply."""
        return self._peer

    def send(self, payload: bytes, *, is_activity: bool = True) -> bool:
        """Send an encoded message, or queue it until the connection is ready.

        A queued message expires after twice PEER_CONNECT_TIMEOUT_S.

        Args:
            payload: Encoded message.
            is_activity: Whether the message keeps the connection from idling.

        Returns:
            False if the connection is ready but its send queue is full.
        """
        if is_activity:
            self.last_used_at = self._clock.monotonic()
        if self._is_ready:
            return self._socket.send([payload])
        expires_at = self._clock.monotonic() + 2 * const.PEER_CONNECT_TIMEOUT_S
        self._unsent.append((expires_at, payload))
        return True

    def remove_unsent(self, payload: bytes) -> bool:
        """Remove a queued message; return whether it was still unsent."""
        for index, (_, unsent) in enumerate(self._unsent):
            if unsent is payload:
                del self._unsent[index]
                return True
        return False

    def tick(self, *, is_busy: bool) -> None:
        """Send a heartbeat if due, and replace the socket if it is silent.

        Args:
            is_busy: Whether calls wait for results on this connection.
        """
        now = self._clock.monotonic()
        self._unsent = [item for item in self._unsent if item[0] > now]
        unanswered_since = self._unanswered_since
        if (
            unanswered_since is not None
            and now - unanswered_since >= const.PEER_TIMEOUT_S
        ):
            self._replace_socket()
            return
        if now - self.last_used_at >= const.HEARTBEAT_IDLE_S and not is_busy:
            return
        if now - self._last_ping_at >= const.HEARTBEAT_INTERVAL_S:
            self.ping()

    def ping(self) -> None:
        """Send a heartbeat if the connection is established."""
        now = self._clock.monotonic()
        self._last_ping_at = now
        if not self._is_established:
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
        """Close the socket and discard unsent messages."""
        self._socket.close()

    def _open_socket(self) -> None:
        now = self._clock.monotonic()
        self._is_established = False
        self._is_ready = False
        # A connection that is never established counts as silent as well.
        self._unanswered_since = now
        self._last_ping_at = now
        socket = self._new_socket()
        if self._address.startswith('['):
            socket.set(zmq.IPV6, 1)
        socket.connect(f'tcp://{self._address}')
        self._socket = zmq_socket.WatchedSocket(
            socket,
            on_message=self._receive,
            on_writable=self._on_established,
        )

    def _replace_socket(self) -> None:
        self._socket.close()
        self._open_socket()
        self._on_replaced(self)

    def _on_established(self) -> None:
        if self._is_established:
            return
        self._is_established = True
        self.ping()

    def _mark_ready(self) -> None:
        if self._is_ready:
            return
        self._is_ready = True
        unsent, self._unsent = self._unsent, []
        now = self._clock.monotonic()
        for expires_at, payload in unsent:
            if expires_at > now:
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
            self._mark_ready()
        self._on_message(self, message)
