"""Encrypted connections between the daemons of a fleet."""

from collections.abc import Callable
import dataclasses

import anyio
import zmq
import zmq.auth.asyncio

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.protocol import codec
from sassafraswood.transport import peer_connection
from sassafraswood.transport import traffic as traffic_module
from sassafraswood.transport import zmq_socket

# The domain of the authentication protocol (ZAP, RFC 27).
_ZAP_DOMAIN = 'sassafraswood'
_HIGH_WATER_MARK_MESSAGES = 10_000

# Senders that have sent no ping for this long expire.
_SENDER_EXPIRY_S = 60.0

# Replies that expect no reply; they may be sent back on the connection that
# the peer opened.
_REPLY_TYPES = (
    messages.Digest,
    messages.MembersDelta,
    messages.FingerprintReport,
    messages.GuardPromise,
)

Reply = Callable[[messages.Message], None]
RequestHandler = Callable[[messages.Message, ids.DaemonId, Reply], None]
ReplyHandler = Callable[[messages.Message, ids.DaemonId], None]
AddressLookup = Callable[[ids.DaemonId], str | None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CurveKeys:
    """CURVE key pair that all daemons of the fleet share, Z85 encoded."""

    public: bytes
    secret: bytes


@dataclasses.dataclass(kw_only=True)
class _PendingCall:
    """A call to a peer that waits for its result.

    Attributes:
        connection: Connection on which the call was sent.
        incarnation: Incarnation of the peer; None until it has replied.
        payload: Encoded call.
        done: Set once there is a result or an error.
        sent_at: Time of the clock at which the call was sent, in seconds.
        connect_deadline: Time until which an unsent call may be queued.
        deadline: Time after which the call is queried, then failed.
        result: Result of the call.
        error: Error with which the call failed.
        is_query: Whether a CancelCall was sent to query the call's state.
    """

    connection: peer_connection.PeerConnection
    incarnation: ids.Incarnation | None
    payload: bytes
    done: anyio.Event
    sent_at: float
    connect_deadline: float
    deadline: float
    result: messages.RunResult | messages.CancelResult | None = None
    error: exceptions.PeerError | None = None
    is_query: bool = False


class PeerMesh:
    """Sends messages to peers and receives theirs.

    Requests are sent on one DEALER socket per peer and received on a single
    ROUTER socket, which also sends the replies.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        own: records.Holder,
        keys: CurveKeys,
        bind_address: str,
        address_of: AddressLookup,
        count: Callable[[str], None],
        traffic: traffic_module.Traffic,
    ) -> None:
        """Create the mesh without binding; start needs a running loop.

        Args:
            clock: Clock of the daemon.
            own: Identity of this daemon.
            keys: Key pair of the fleet.
            bind_address: Address of the ROUTER socket, as host:port.
            address_of: Returns the address of a peer, None if unknown.
            count: Increments a counter.
            traffic: Counts messages and bytes.
        """
        self._clock = clock
        self._own = own
        self._keys = keys
        self._bind_address = bind_address
        self._address_of = address_of
        self._count = count
        self._traffic = traffic
        self._connections: dict[str, peer_connection.PeerConnection] = {}
        self._pending: dict[ids.CallId, _PendingCall] = {}
        self._identity_by_daemon: dict[ids.DaemonId, bytes] = {}
        self._sender_by_identity: dict[bytes, tuple[ids.DaemonId, float]] = {}
        self._on_request: RequestHandler | None = None
        self._on_reply: ReplyHandler | None = None
        self._on_silent: Callable[[ids.DaemonId], None] | None = None
        self._context = zmq.Context()
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None
        self._authenticator = None
        self._router: zmq_socket.WatchedSocket | None = None

    def start(
        self,
        *,
        on_request: RequestHandler,
        on_reply: ReplyHandler,
        on_silent: Callable[[ids.DaemonId], None],
    ) -> None:
        """Bind the ROUTER socket and pass messages to the handlers.

        Args:
            on_request: Called with messages received on the ROUTER socket.
            on_reply: Called with replies that are not results of calls.
            on_silent: Called with a peer whose connection became silent.
        """
        self._on_request = on_request
        self._on_reply = on_reply
        self._on_silent = on_silent
        authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            _ZAP_DOMAIN,
            credentials_provider=_FleetKeyVerifier(self._keys.public),
        )
        self._authenticator = authenticator
        router = self._context.socket(zmq.ROUTER)
        router.set(zmq.SNDHWM, _HIGH_WATER_MARK_MESSAGES)
        router.set(zmq.RCVHWM, _HIGH_WATER_MARK_MESSAGES)
        router.set(zmq.MAXMSGSIZE, const.MAX_MESSAGE_BYTES)
        router.set(zmq.CURVE_SERVER, 1)
        router.set(zmq.CURVE_PUBLICKEY, self._keys.public)
        router.set(zmq.CURVE_SECRETKEY, self._keys.secret)
        router.set(zmq.ZAP_DOMAIN, _ZAP_DOMAIN.encode())
        if self._bind_address.startswith('['):
            router.set(zmq.IPV6, 1)
        router.bind(f'tcp://{self._bind_address}')
        self._router = zmq_socket.WatchedSocket(
            router, on_message=self._receive_request
        )

    def close(self) -> None:
        """Close all sockets."""
        for connection in self._connections.values():
            connection.close()
        if self._router is not None:
            self._router.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        """Send a message to a peer, without a guarantee of delivery."""
        if self._send_on_router(daemon_id, message):
            return
        address = self._address_of(daemon_id)
        if address is not None:
            self.send_to_address(address, message)

    def send_to_address(self, address: str, message: messages.Message) -> None:
        """Send a message to host:port, without a guarantee of delivery."""
        connection = self._connect(address)
        if not connection.send(self._encode(message)):
            self._count('peer.dropped')

    def probe(self, daemon_id: ids.DaemonId) -> None:
        """Send a heartbeat to a peer, connecting first if needed."""
        address = self._address_of(daemon_id)
        if address is not None:
            self._connect(address).ping()

    def is_connected(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether a connection to the peer is established."""
        address = self._address_of(daemon_id)
        connection = self._connections.get(address or '')
        return connection is not None and connection.is_ready

    async def async_run_call(
        self, daemon_id: ids.DaemonId, message: messages.RunCall
    ) -> messages.RunResult:
        """Send a call to a peer and return its result.

        Raises:
            PeerUnreachableError: The call was not sent.
            PeerSilentError: It is unknown whether the call ran.
        """
        call_id = message.context.call_id
        connection = self._connect_to(daemon_id)
        connection.last_call_at = self._clock.monotonic()
        payload = self._encode(message)
        pending = self._add_pending(
            call_id, connection, payload, message.context.remaining_s
        )
        if not connection.send(payload):
            del self._pending[call_id]
            raise exceptions.PeerUnreachableError(daemon_id)
        try:
            await pending.done.wait()
        except anyio.get_cancelled_exc_class():
            self._cancel_call(connection, call_id, payload)
            raise
        finally:
            self._pending.pop(call_id, None)
        return self._get_result(pending)

    def tick(self) -> None:
        """Send heartbeats, close idle connections and expire calls.

        Has to be called every 0.25 s.
        """
        now = self._clock.monotonic()
        self._expire_senders(now)
        busy = {pending.connection for pending in self._pending.values()}
        for address, connection in list(self._connections.items()):
            is_busy = connection in busy
            if not is_busy and _is_unused(connection, now):
                connection.close()
                del self._connections[address]
                continue
            connection.tick(is_busy=is_busy)
        for call_id, pending in list(self._pending.items()):
            if now >= pending.connect_deadline:
                self._fail_if_unsent(pending)
            if now >= pending.deadline:
                self._query_or_fail(call_id, pending)

    def _add_pending(
        self,
        call_id: ids.CallId,
        connection: peer_connection.PeerConnection,
        payload: bytes,
        remaining_s: float,
    ) -> _PendingCall:
        peer = connection.peer
        now = self._clock.monotonic()
        pending = _PendingCall(
            connection=connection,
            incarnation=peer[1] if peer else None,
            payload=payload,
            done=anyio.Event(),
            sent_at=now,
            connect_deadline=now
            + min(const.PEER_CONNECT_TIMEOUT_S, remaining_s),
            deadline=now + remaining_s + const.CANCEL_QUERY_TIMEOUT_S,
        )
        self._pending[call_id] = pending
        return pending

    def _get_result(self, pending: _PendingCall) -> messages.RunResult:
        if pending.error is not None:
            raise pending.error
        result = pending.result
        if isinstance(result, messages.RunResult):
            return result
        raise exceptions.PeerSilentError('peer sent no result')

    def _fail_if_unsent(self, pending: _PendingCall) -> None:
        if pending.connection.is_ready:
            return
        if pending.connection.remove_unsent(pending.payload):
            self._fail_call(
                pending, exceptions.PeerUnreachableError('connect')
            )

    def _query_or_fail(
        self, call_id: ids.CallId, pending: _PendingCall
    ) -> None:
        if not pending.is_query:
            self._send_cancel_query(call_id, pending)
            return
        self._fail_call(
            pending,
            exceptions.PeerSilentError('peer did not reply to a cancel query'),
        )

    def _send_cancel_query(
        self, call_id: ids.CallId, pending: _PendingCall
    ) -> None:
        pending.is_query = True
        pending.deadline = (
            self._clock.monotonic() + const.CANCEL_QUERY_TIMEOUT_S
        )
        message = messages.CancelCall(call_id=call_id)
        pending.connection.send(self._encode(message))

    def _fail_call(
        self, pending: _PendingCall, error: exceptions.PeerError
    ) -> None:
        pending.error = error
        pending.done.set()

    def _cancel_call(
        self,
        connection: peer_connection.PeerConnection,
        call_id: ids.CallId,
        payload: bytes,
    ) -> None:
        if connection.remove_unsent(payload):
            return
        message = messages.CancelCall(call_id=call_id)
        connection.send(self._encode(message))

    def _encode(self, message: messages.Message) -> bytes:
        payload = codec.encode_message(message)
        self._traffic.note_message(traffic_module.SENT, message, len(payload))
        return payload

    def _connect_to(
        self, daemon_id: ids.DaemonId
    ) -> peer_connection.PeerConnection:
        address = self._address_of(daemon_id)
        if address is None:
            raise exceptions.PeerUnreachableError(daemon_id)
        return self._connect(address)

    def _connect(self, address: str) -> peer_connection.PeerConnection:
        connection = self._connections.get(address)
        if connection is None:
            connection = peer_connection.PeerConnection(
                address=address,
                clock=self._clock,
                new_socket=self._new_dealer,
                own=self._own,
                on_message=self._receive_reply,
                on_malformed=self._count_malformed,
                on_replaced=self._on_connection_replaced,
                traffic=self._traffic,
            )
            self._connections[address] = connection
            self._count('peer.opened')
        return connection

    def _new_dealer(self) -> zmq.Socket:
        socket = self._context.socket(zmq.DEALER)
        socket.set(zmq.SNDHWM, _HIGH_WATER_MARK_MESSAGES)
        socket.set(zmq.RCVHWM, _HIGH_WATER_MARK_MESSAGES)
        socket.set(zmq.MAXMSGSIZE, const.MAX_MESSAGE_BYTES)
        # Without this option a message would be queued in the socket until
        # the connection is established, which may be long after the sender
        # stopped waiting.
        socket.set(zmq.IMMEDIATE, 1)
        socket.set(zmq.RECONNECT_IVL, 100)
        socket.set(zmq.RECONNECT_IVL_MAX, 2000)
        socket.set(zmq.CURVE_SERVERKEY, self._keys.public)
        socket.set(zmq.CURVE_PUBLICKEY, self._keys.public)
        socket.set(zmq.CURVE_SECRETKEY, self._keys.secret)
        return socket

    def _count_malformed(self) -> None:
        self._count('peer.malformed')

    def _receive_request(self, frames: list[bytes]) -> None:
        identity = frames[0]
        try:
            message = codec.decode_message(frames[-1])
        except exceptions.DecodeError:
            self._count_malformed()
            return
        self._traffic.note_message(
            traffic_module.RECEIVED, message, len(frames[-1])
        )

        def reply(reply_message: messages.Message) -> None:
            if self._router is None:
                return
            payload = self._encode(reply_message)
            if not self._router.send([identity, payload]):
                self._count('peer.dropped')

        sender = self._find_sender(identity, message)
        if sender is None:
            self._count('peer.unidentified')
            return
        assert self._on_request is not None
        self._on_request(message, sender, reply)

    def _find_sender(
        self, identity: bytes, message: messages.Message
    ) -> ids.DaemonId | None:
        if isinstance(message, messages.Ping):
            now = self._clock.monotonic()
            self._sender_by_identity[identity] = (message.daemon_id, now)
            self._identity_by_daemon[message.daemon_id] = identity
            return message.daemon_id
        known = self._sender_by_identity.get(identity)
        return known[0] if known is not None else None

    def _send_on_router(
        self, daemon_id: ids.DaemonId, message: messages.Message
    ) -> bool:
        """Send a reply on the connection that the peer opened.

        Otherwise each gossip exchange would open a second connection.

        Returns:
            Whether the message was sent.
        """
        if not isinstance(message, _REPLY_TYPES) or self._router is None:
            return False
        identity = self._identity_by_daemon.get(daemon_id)
        if identity is None or identity not in self._sender_by_identity:
            return False
        last_ping_at = self._sender_by_identity[identity][1]
        if self._clock.monotonic() - last_ping_at > const.PEER_TIMEOUT_S:
            return False
        payload = codec.encode_message(message)
        self._traffic.note_message(traffic_module.SENT, message, len(payload))
        return self._router.send([identity, payload])

    def _expire_senders(self, now: float) -> None:
        expired_before = now - _SENDER_EXPIRY_S
        for identity, (_, last_ping_at) in list(
            self._sender_by_identity.items()
        ):
            if last_ping_at < expired_before:
                del self._sender_by_identity[identity]
                self._remove_identity(identity)

    def _remove_identity(self, identity: bytes) -> None:
        for daemon_id, known in list(self._identity_by_daemon.items()):
            if known == identity:
                del self._identity_by_daemon[daemon_id]

    def _receive_reply(
        self,
        connection: peer_connection.PeerConnection,
        message: messages.Message,
    ) -> None:
        if isinstance(message, messages.RunResult | messages.CancelResult):
            self._receive_result(message)
            return
        if isinstance(message, messages.Pong):
            self._check_incarnation(connection, message)
        assert self._on_reply is not None
        if connection.peer is not None:
            self._on_reply(message, connection.peer[0])

    def _receive_result(
        self, message: messages.RunResult | messages.CancelResult
    ) -> None:
        pending = self._pending.get(message.call_id)
        if pending is None or pending.done.is_set():
            # A reply to a cancellation is expected after the call has ended.
            if isinstance(message, messages.RunResult):
                self._count('answers.late')
            return
        if isinstance(message, messages.RunResult):
            pending.result = message
            pending.done.set()
            return
        self._apply_cancel_result(pending, message)

    def _apply_cancel_result(
        self, pending: _PendingCall, message: messages.CancelResult
    ) -> None:
        if message.state is enums.CancelState.FINISHED and message.result:
            pending.result = messages.RunResult(
                call_id=message.call_id,
                result=message.result,
                allowance_left=message.allowance_left,
                hint=None,
            )
            pending.done.set()
            return
        # Only the incarnation that the call was sent to can prove that it was
        # not run, and only while it remembers which calls it ran. This daemon
        # may have been suspended for longer than that.
        age_s = self._clock.monotonic() - pending.sent_at
        is_proof = (
            message.state is enums.CancelState.NOT_RUN
            and message.incarnation == pending.incarnation
            and age_s < const.CALL_ID_RETENTION_S
        )
        if is_proof:
            self._fail_call(
                pending,
                exceptions.PeerUnreachableError('peer did not run the call'),
            )
            return
        self._fail_call(pending, exceptions.PeerSilentError('cancelled'))

    def _check_incarnation(
        self,
        connection: peer_connection.PeerConnection,
        message: messages.Pong,
    ) -> None:
        for pending in self._pending.values():
            if pending.connection is not connection:
                continue
            if pending.incarnation is None:
                pending.incarnation = message.incarnation
            elif pending.incarnation != message.incarnation:
                self._fail_call(
                    pending,
                    exceptions.PeerSilentError(
                        'peer restarted before it sent a result'
                    ),
                )

    def _on_connection_replaced(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        self._count('peer.replaced')
        for call_id, pending in self._pending.items():
            if pending.connection is connection:
                self._send_cancel_query(call_id, pending)
        assert self._on_silent is not None
        if connection.peer is not None:
            self._on_silent(connection.peer[0])


def _is_unused(connection: peer_connection.PeerConnection, now: float) -> bool:
    """Return whether a connection has been unused for long enough to close.

    Connections that carry only gossip are closed sooner than those that carry
    calls; otherwise each daemon of a large fleet would keep a connection to
    every other.
    """
    idle_s = now - connection.last_used_at
    call_at = connection.last_call_at
    if call_at is None or now - call_at >= const.PEER_IDLE_TIMEOUT_S:
        return idle_s >= const.GOSSIP_IDLE_TIMEOUT_S
    return idle_s >= const.PEER_IDLE_TIMEOUT_S


class _FleetKeyVerifier:
    """Accepts clients that use the public key of the fleet."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client with this key may connect."""
        del domain
        return key == self._public
