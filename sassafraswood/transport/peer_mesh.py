"""Connections between daemons."""

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

# Senders that were not heard for this long are forgotten.
_SENDER_MEMORY_S = 60.0

# Answers that expect no reply themselves.
_ANSWERS = (
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
    """Key pair that all daemons of the fleet share, Z85 encoded."""

    public: bytes
    secret: bytes


@dataclasses.dataclass(kw_only=True)
class _PendingCall:
    """A call that waits for its result.

    Attributes:
        is_query: True when a cancellation asks what became of the call.
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
    """Sends messages to peers and takes theirs.

    Requests leave on a DEALER socket for each peer; they arrive on one
    ROUTER socket, which also carries the replies.
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
        """Prepare the sockets; call start on the running loop."""
        self._clock = clock
        self._own = own
        self._keys = keys
        self._bind_address = bind_address
        self._address_of = address_of
        self._count = count
        self._traffic = traffic
        self._connections: dict[str, peer_connection.PeerConnection] = {}
        self._pending: dict[ids.CallId, _PendingCall] = {}
        self._identities: dict[ids.DaemonId, bytes] = {}
        self._senders: dict[bytes, tuple[ids.DaemonId, float]] = {}
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
        """Bind the ROUTER socket and hand messages to the handlers.

        Args:
            on_request: Takes messages that arrive on the ROUTER socket.
            on_reply: Takes replies that are not results of calls.
            on_silent: Takes a peer whose connection went silent.
        """
        self._on_request = on_request
        self._on_reply = on_reply
        self._on_silent = on_silent
        authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            _ZAP_DOMAIN, credentials_provider=_FleetKey(self._keys.public)
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
        """Send a message, best effort."""
        if self._send_back(daemon_id, message):
            return
        address = self._address_of(daemon_id)
        if address is not None:
            self.send_to_address(address, message)

    def send_to_address(self, address: str, message: messages.Message) -> None:
        """Send a message to the peer at host:port, best effort."""
        connection = self._connect(address)
        if not connection.send(self._encode(message)):
            self._count('peer.dropped')

    def probe(self, daemon_id: ids.DaemonId) -> None:
        """Ask a peer for a sign of life, on a new connection if needed."""
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
            PeerSilentError: The call may have run; nothing is known.
        """
        call_id = message.context.call_id
        connection = self._connect_to(daemon_id)
        connection.carried_call_at = self._clock.monotonic()
        payload = self._encode(message)
        pending = self._begin(
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
        return self._finished(pending)

    def tick(self) -> None:
        """Send heartbeats and end calls that are overdue, every 0.25 s."""
        now = self._clock.monotonic()
        self._forget_senders(now)
        busy = {pending.connection for pending in self._pending.values()}
        for address, connection in list(self._connections.items()):
            is_busy = connection in busy
            if not is_busy and _is_idle(connection, now):
                connection.close()
                del self._connections[address]
                continue
            connection.tick(is_busy=is_busy)
        for call_id, pending in list(self._pending.items()):
            if now >= pending.connect_deadline:
                self._give_up_connecting(pending)
            if now >= pending.deadline:
                self._expire(call_id, pending)

    def _begin(
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
            connect_deadline=now + min(const.PEER_CONNECT_S, remaining_s),
            deadline=now + remaining_s + const.CANCEL_QUERY_S,
        )
        self._pending[call_id] = pending
        return pending

    def _finished(self, pending: _PendingCall) -> messages.RunResult:
        if pending.error is not None:
            raise pending.error
        result = pending.result
        if isinstance(result, messages.RunResult):
            return result
        raise exceptions.PeerSilentError('no result')

    def _give_up_connecting(self, pending: _PendingCall) -> None:
        if pending.connection.is_ready:
            return
        if pending.connection.withdraw(pending.payload):
            self._fail(pending, exceptions.PeerUnreachableError('connect'))

    def _expire(self, call_id: ids.CallId, pending: _PendingCall) -> None:
        if not pending.is_query:
            self._query(call_id, pending)
            return
        self._fail(pending, exceptions.PeerSilentError('no result'))

    def _query(self, call_id: ids.CallId, pending: _PendingCall) -> None:
        pending.is_query = True
        pending.deadline = self._clock.monotonic() + const.CANCEL_QUERY_S
        message = messages.CancelCall(call_id=call_id)
        pending.connection.send(self._encode(message))

    def _fail(
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
        if connection.withdraw(payload):
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
                on_replaced=self._connection_replaced,
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
        # Without it, a message would wait in the socket for a connection
        # that may come long after the sender gave up.
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

        def reply(answer: messages.Message) -> None:
            if self._router is None:
                return
            payload = self._encode(answer)
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
            self._senders[identity] = (message.daemon_id, now)
            self._identities[message.daemon_id] = identity
            return message.daemon_id
        known = self._senders.get(identity)
        return known[0] if known is not None else None

    def _send_back(
        self, daemon_id: ids.DaemonId, message: messages.Message
    ) -> bool:
        """Answer on the connection of the peer; return whether that is done.

        Without it each question of gossip would open a second connection.
        """
        if not isinstance(message, _ANSWERS) or self._router is None:
            return False
        identity = self._identities.get(daemon_id)
        if identity is None or identity not in self._senders:
            return False
        heard_at = self._senders[identity][1]
        if self._clock.monotonic() - heard_at > const.PEER_SILENT_S:
            return False
        payload = codec.encode_message(message)
        self._traffic.note_message(traffic_module.SENT, message, len(payload))
        return self._router.send([identity, payload])

    def _forget_senders(self, now: float) -> None:
        limit = now - _SENDER_MEMORY_S
        for identity, (_, heard_at) in list(self._senders.items()):
            if heard_at < limit:
                del self._senders[identity]
                self._forget_identity(identity)

    def _forget_identity(self, identity: bytes) -> None:
        for daemon_id, known in list(self._identities.items()):
            if known == identity:
                del self._identities[daemon_id]

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
            # The answer to a cancellation is expected after the call ended.
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
        # Only the process that the call was sent to can prove anything, and
        # only while it still knows which calls it ran. This daemon may have
        # been paused for longer.
        age_s = self._clock.monotonic() - pending.sent_at
        is_proof = (
            message.state is enums.CancelState.NOT_RUN
            and message.incarnation == pending.incarnation
            and age_s < const.CALL_ID_MEMORY_S
        )
        if is_proof:
            self._fail(pending, exceptions.PeerUnreachableError('not run'))
            return
        self._fail(pending, exceptions.PeerSilentError('cancelled'))

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
                self._fail(
                    pending, exceptions.PeerSilentError('peer restarted')
                )

    def _connection_replaced(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        self._count('peer.replaced')
        for call_id, pending in self._pending.items():
            if pending.connection is connection:
                self._query(call_id, pending)
        assert self._on_silent is not None
        if connection.peer is not None:
            self._on_silent(connection.peer[0])


def _is_idle(connection: peer_connection.PeerConnection, now: float) -> bool:
    """Return whether a connection is to be closed.

    Connections that carry calls stay open longer than those of gossip, of
    which a large fleet would otherwise hold one to everyone.
    """
    idle_s = now - connection.last_used
    carried_at = connection.carried_call_at
    if carried_at is None or now - carried_at >= const.PEER_IDLE_CLOSE_S:
        return idle_s >= const.GOSSIP_IDLE_CLOSE_S
    return idle_s >= const.PEER_IDLE_CLOSE_S


class _FleetKey:
    """Accepts the fleet's public key only."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client with this key may connect."""
        del domain
        return key == self._public
