"""Tests of connections between daemons with two meshes in one process.

The meshes share a manual clock, so no result depends on the machine's load.
"""

import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses

import anyio
import pytest
import zmq
import zmq.utils.monitor

from lab import ports
from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.protocol import codec
from sassafraswood.transport import peer_connection
from sassafraswood.transport import peer_mesh
from sassafraswood.transport import traffic

pytestmark = pytest.mark.anyio

# Time limit of a test on a slow machine; no test waits for it to pass.
_TEST_TIMEOUT_S = 60.0
_CALL_ID = ids.CallId('call-1')
_ANSWER = call.Answer(status=200, headers=[], body=b'whole')
_FIRST = ids.DaemonId('first')
_SERVING = ids.DaemonId('serving')


def make_keys() -> peer_mesh.CurveKeys:
    """Return a new key pair for a fleet."""
    public, secret = zmq.curve_keypair()
    return peer_mesh.CurveKeys(public=public, secret=secret)


def find_free_address() -> str:
    """Return a loopback address on which nothing listens."""
    (port,) = ports.reserve_ports(1)
    return f'{ports.HOST}:{port}'


def make_run_call(remaining_s: float = 5.0) -> messages.RunCall:
    """Return a call to be run by a peer."""
    context = call.CallContext(
        call_id=_CALL_ID,
        root_id='root',
        service=ids.ServiceName('status'),
        workspace=None,
        key_id=None,
        importance=enums.Importance.NORMAL,
        remaining_s=remaining_s,
        allowance=0,
        depth=1,
        idempotent=False,
        fingerprint=ids.Fingerprint('f'),
    )
    request = call.HttpRequest(method='POST', target='/', headers=[], body=b'')
    return messages.RunCall(context=context, request=request)


def make_run_result() -> messages.RunResult:
    """Return the result of the call that make_run_call returns."""
    return messages.RunResult(
        call_id=_CALL_ID, result=_ANSWER, allowance_left=0, hint=None
    )


@dataclasses.dataclass
class Peer:
    """A mesh that records the messages and events it receives."""

    name: ids.DaemonId
    address: str
    clock: clock_module.ManualClock
    keys: peer_mesh.CurveKeys
    addresses: dict[ids.DaemonId, str]
    incarnation: ids.Incarnation = ids.Incarnation(7)
    received: list[messages.Message] = dataclasses.field(default_factory=list)
    senders: list[ids.DaemonId] = dataclasses.field(default_factory=list)
    replies: list[peer_mesh.Reply] = dataclasses.field(default_factory=list)
    silent: list[ids.DaemonId] = dataclasses.field(default_factory=list)
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def start(self) -> None:
        """Create the mesh and bind it."""
        self.mesh = peer_mesh.PeerMesh(
            clock=self.clock,
            own=records.Holder(
                daemon_id=self.name, incarnation=self.incarnation
            ),
            keys=self.keys,
            bind_address=self.address,
            address_of=self.addresses.get,
            count=lambda name: self.counts.update([name]),
            traffic=traffic.Traffic(),
        )
        self.mesh.start(
            on_request=self._on_request,
            on_reply=lambda message, sender: None,
            on_silent=self.silent.append,
        )

    def _on_request(
        self,
        message: messages.Message,
        sender: ids.DaemonId,
        reply: peer_mesh.Reply,
    ) -> None:
        if not isinstance(message, messages.Ping):
            self.received.append(message)
            self.senders.append(sender)
            self.replies.append(reply)
        else:
            reply(
                messages.Pong(
                    sequence=message.sequence,
                    daemon_id=self.name,
                    incarnation=self.incarnation,
                    hint=None,
                )
            )


@contextlib.asynccontextmanager
async def async_peers() -> AsyncIterator[tuple[Peer, Peer]]:
    """Run the meshes of a first and a serving daemon, with a time limit."""
    clock = clock_module.ManualClock()
    keys = make_keys()
    addresses = {_FIRST: find_free_address(), _SERVING: find_free_address()}
    first, serving = [
        Peer(name, address, clock, keys, addresses)
        for name, address in addresses.items()
    ]
    first.start()
    serving.start()
    try:
        with anyio.fail_after(_TEST_TIMEOUT_S):
            yield first, serving
    finally:
        first.mesh.close()
        serving.mesh.close()


async def async_wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    while not condition():
        await anyio.sleep(0.005)


class Caller:
    """Makes one call and records its result or error."""

    def __init__(self, peer: Peer, message: messages.RunCall) -> None:
        """Prepare a call from a peer to the serving daemon."""
        self._peer = peer
        self._message = message
        self.scope = anyio.CancelScope()
        self.outcome: messages.RunResult | exceptions.PeerError | None = None

    async def async_run(self) -> None:
        """Make the call."""
        with self.scope:
            try:
                self.outcome = await self._peer.mesh.async_run_call(
                    _SERVING, self._message
                )
            except exceptions.PeerError as error:
                self.outcome = error


@contextlib.asynccontextmanager
async def async_started_call(
    remaining_s: float = 5.0,
) -> AsyncIterator[tuple[Peer, Peer, Caller]]:
    """Start a call, and yield once the serving daemon has received it."""
    async with async_peers() as (first, serving):
        caller = Caller(first, make_run_call(remaining_s))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caller.async_run)
            await async_wait_until(lambda: serving.received)
            yield first, serving, caller
            await async_wait_until(
                lambda: caller.outcome or caller.scope.cancel_called
            )


async def async_expire_call(first: Peer, serving: Peer) -> None:
    """Let the call exceed its deadline and wait for the cancel query."""
    first.clock.advance(6.0)
    first.mesh.tick()
    await async_wait_until(lambda: len(serving.received) == 2)
    assert serving.received[1] == messages.CancelCall(call_id=_CALL_ID)


def make_cancel_result(
    state: enums.CancelState, incarnation: int = 7
) -> messages.CancelResult:
    """Return the reply of a serving daemon to a cancellation."""
    is_finished = state is enums.CancelState.FINISHED
    return messages.CancelResult(
        call_id=_CALL_ID,
        incarnation=ids.Incarnation(incarnation),
        state=state,
        result=_ANSWER if is_finished else None,
    )


async def test_call_gets_its_result() -> None:
    """Guards against calls that are altered or mixed up on the way (R7)."""
    async with async_started_call() as (first, serving, caller):
        assert serving.received == [make_run_call()]
        assert serving.senders == [_FIRST]
        serving.replies[0](make_run_result())
    assert caller.outcome == make_run_result()
    assert first.mesh.is_connected(_SERVING)
    assert first.counts == {'peer.opened': 1}


async def test_late_answer_is_counted_and_discarded() -> None:
    """Guards against an answer that is delivered to a later call (R7)."""
    async with async_started_call() as (first, serving, caller):
        caller.scope.cancel()
        await async_wait_until(lambda: len(serving.received) == 2)
        assert serving.received[1] == messages.CancelCall(call_id=_CALL_ID)
        serving.replies[0](make_run_result())
        await async_wait_until(lambda: first.counts['answers.late'])
        assert caller.outcome is None
    assert first.counts == {'answers.late': 1, 'peer.opened': 1}


async def test_duplicate_answer_is_discarded() -> None:
    """Guards against a duplicate answer that changes the result."""
    async with async_started_call() as (first, serving, caller):
        serving.replies[0](make_run_result())
        serving.replies[0](make_run_result())
        await async_wait_until(lambda: first.counts['answers.late'])
    assert caller.outcome == make_run_result()


async def test_acknowledged_cancellation_is_no_late_answer() -> None:
    """Guards against counting cancellations by callers as late answers."""
    async with async_started_call() as (first, serving, caller):
        caller.scope.cancel()
        await async_wait_until(lambda: len(serving.received) == 2)
        serving.replies[1](make_cancel_result(enums.CancelState.NOT_RUN))
        # Replies keep their order, so this one arrives after the other.
        serving.replies[1](make_run_result())
        await async_wait_until(lambda: first.counts['answers.late'])
    assert first.counts == {'answers.late': 1, 'peer.opened': 1}


@pytest.mark.parametrize(
    ('state', 'incarnation', 'error'),
    [
        (enums.CancelState.NOT_RUN, 7, exceptions.PeerUnreachableError),
        (enums.CancelState.NOT_RUN, 8, exceptions.PeerSilentError),
        (enums.CancelState.CANCELLED_UNKNOWN, 7, exceptions.PeerSilentError),
    ],
)
async def test_only_the_incarnation_sent_the_call_proves_not_run(
    state: enums.CancelState,
    incarnation: int,
    error: type[exceptions.PeerError],
) -> None:
    """Guards against reporting calls that ran as not run (R8)."""
    async with async_started_call() as (first, serving, caller):
        await async_expire_call(first, serving)
        serving.replies[1](make_cancel_result(state, incarnation))
    assert type(caller.outcome) is error


async def test_cancel_query_returns_the_result_of_a_finished_call() -> None:
    """Guards against losing the answer of a call that ran."""
    async with async_started_call() as (first, serving, caller):
        await async_expire_call(first, serving)
        serving.replies[1](make_cancel_result(enums.CancelState.FINISHED))
    assert caller.outcome == make_run_result()


async def test_unanswered_cancel_query_ends_the_call() -> None:
    """Guards against calls that wait forever for a silent peer."""
    async with async_started_call() as (first, serving, caller):
        await async_expire_call(first, serving)
        first.clock.advance(const.CANCEL_QUERY_TIMEOUT_S)
        first.mesh.tick()
    assert type(caller.outcome) is exceptions.PeerSilentError


async def test_silent_connection_is_replaced_and_the_call_resolved() -> None:
    """Guards against calls that hang on a silent connection."""
    async with async_started_call(remaining_s=60.0) as parts:
        first, serving, caller = parts
        first.clock.advance(const.HEARTBEAT_INTERVAL_S)
        first.mesh.tick()
        # The event loop does not run in between, so no reply can arrive.
        first.clock.advance(const.PEER_TIMEOUT_S)
        first.mesh.tick()
        await async_wait_until(lambda: len(serving.received) == 2)
        assert first.silent == [_SERVING]
        assert first.counts['peer.replaced'] == 1
        serving.replies[1](make_cancel_result(enums.CancelState.NOT_RUN))
    assert type(caller.outcome) is exceptions.PeerUnreachableError


async def test_restarted_peer_leaves_the_outcome_unknown() -> None:
    """Guards against waiting for a process that has ended.

    The call may have run before the restart, so it is not reported as not
    run (R8).
    """
    async with async_started_call() as (first, serving, caller):
        serving.incarnation = ids.Incarnation(8)
        first.clock.advance(const.HEARTBEAT_INTERVAL_S)
        first.mesh.tick()
    assert type(caller.outcome) is exceptions.PeerSilentError


async def test_peer_that_does_not_listen_is_unreachable() -> None:
    """Guards against an unknown outcome where nothing was sent (R8)."""
    async with async_peers() as (first, serving):
        first.addresses[_SERVING] = find_free_address()
        caller = Caller(first, make_run_call())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caller.async_run)
            await anyio.wait_all_tasks_blocked()
            first.clock.advance(const.PEER_CONNECT_TIMEOUT_S)
            first.mesh.tick()
        assert type(caller.outcome) is exceptions.PeerUnreachableError
        assert not serving.received


async def test_call_cancelled_while_connecting_is_not_sent() -> None:
    """Guards against running calls whose callers have disconnected."""
    async with async_peers() as (first, serving):
        caller = Caller(first, make_run_call())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caller.async_run)
            await anyio.wait_all_tasks_blocked()
            assert not first.mesh.is_connected(_SERVING)
            caller.scope.cancel()
        # Messages keep their order, so a call that was sent would arrive
        # before this one.
        marker = messages.CancelCall(call_id=ids.CallId('marker'))
        first.mesh.send(_SERVING, marker)
        await async_wait_until(lambda: serving.received)
        assert serving.received == [marker]


@pytest.mark.parametrize(
    ('address', 'is_ipv6'), [('127.0.0.1:9', 0), ('[::1]:9', 1)]
)
async def test_socket_to_an_ipv6_address_may_use_it(
    address: str, is_ipv6: int
) -> None:
    """Guards against peers that cannot be reached over IPv6.

    Not every machine has IPv6, so only the socket option is checked.
    """
    context = zmq.Context()
    socket = context.socket(zmq.DEALER)
    try:
        connection = peer_connection.PeerConnection(
            address=address,
            traffic=traffic.Traffic(),
            clock=clock_module.ManualClock(),
            new_socket=lambda: socket,
            own=records.Holder(
                daemon_id=_FIRST, incarnation=ids.Incarnation(1)
            ),
            on_message=lambda connection, message: None,
            on_malformed=lambda: None,
            on_replaced=lambda connection: None,
        )
        found = socket.get(zmq.IPV6)
        connection.close()
    finally:
        # An open socket would keep the process from exiting.
        context.destroy(linger=0)
    assert found == is_ipv6


async def test_unknown_peer_is_unreachable() -> None:
    """Guards against waiting for a daemon whose address is unknown."""
    async with async_peers() as (first, _):
        del first.addresses[_SERVING]
        with pytest.raises(exceptions.PeerUnreachableError):
            await first.mesh.async_run_call(_SERVING, make_run_call())


@contextlib.asynccontextmanager
async def async_open_dealer(
    peer: Peer, client: peer_mesh.CurveKeys, server_key: bytes
) -> AsyncIterator[tuple[zmq.Socket, zmq.Socket]]:
    """Connect a DEALER socket to a peer; yield it and its monitor."""
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.set(zmq.CURVE_SERVERKEY, server_key)
    dealer.set(zmq.CURVE_PUBLICKEY, client.public)
    dealer.set(zmq.CURVE_SECRETKEY, client.secret)
    monitor = dealer.get_monitor_socket()
    dealer.connect(f'tcp://{peer.address}')
    try:
        yield dealer, monitor
    finally:
        dealer.disable_monitor()
        context.destroy(linger=0)


async def async_wait_for_handshake(monitor: zmq.Socket) -> int:
    """Wait for a handshake or connection to end and return its event."""
    ends = {
        zmq.EVENT_HANDSHAKE_SUCCEEDED,
        zmq.EVENT_HANDSHAKE_FAILED_AUTH,
        zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL,
        zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL,
        zmq.EVENT_DISCONNECTED,
    }
    while True:
        await async_wait_until(lambda: monitor.poll(0))
        event = zmq.utils.monitor.recv_monitor_message(monitor)
        if event['event'] in ends:
            return event['event']


@pytest.mark.parametrize('is_server_known', [True, False])
async def test_client_without_the_fleet_key_is_rejected(
    is_server_known: bool,
) -> None:
    """Guards against clients outside the fleet that send calls (R3)."""
    async with async_peers() as (_, serving):
        stranger = make_keys()
        known = serving.keys.public if is_server_known else stranger.public
        async with async_open_dealer(serving, stranger, known) as (
            raw,
            events,
        ):
            raw.send(codec.encode_message(make_run_call()))
            end = await async_wait_for_handshake(events)
        assert end != zmq.EVENT_HANDSHAKE_SUCCEEDED
        if is_server_known:
            assert end == zmq.EVENT_HANDSHAKE_FAILED_AUTH
        keys = serving.keys
        async with async_open_dealer(serving, keys, keys.public) as (
            _,
            events,
        ):
            end = await async_wait_for_handshake(events)
        assert end == zmq.EVENT_HANDSHAKE_SUCCEEDED
        assert not serving.received
        assert not serving.counts


@pytest.mark.parametrize(
    'data', [b'', b'\xff', b'{}', b'\x91' * 100_000, bytes(1000)]
)
async def test_malformed_messages_are_counted_and_discarded(
    data: bytes,
) -> None:
    """Guards against a daemon that crashes on a malformed message."""
    async with async_peers() as (_, serving):
        keys = serving.keys
        async with async_open_dealer(serving, keys, keys.public) as (raw, _):
            raw.send(data)
            raw.send_multipart([b'x', b'', data])
            raw.send(codec.encode_message(make_run_call()))
            ping = messages.Ping(
                sequence=1, daemon_id=_FIRST, incarnation=ids.Incarnation(1)
            )
            raw.send(codec.encode_message(ping))
            await async_wait_until(lambda: raw.poll(0))
            pong = codec.decode_message(raw.recv())
        assert isinstance(pong, messages.Pong)
        # The call is discarded because no ping has identified its sender.
        assert serving.counts == {'peer.malformed': 2, 'peer.unidentified': 1}
        assert not serving.received


async def test_message_above_the_limit_is_rejected() -> None:
    """Guards against a peer that exhausts the memory of another."""
    async with async_peers() as (_, serving):
        keys = serving.keys
        async with async_open_dealer(serving, keys, keys.public) as (
            raw,
            events,
        ):
            assert await async_wait_for_handshake(events) == (
                zmq.EVENT_HANDSHAKE_SUCCEEDED
            )
            raw.send(bytes(const.MAX_MESSAGE_BYTES + 1))
            assert (
                await async_wait_for_handshake(events)
                == zmq.EVENT_DISCONNECTED
            )
        assert not serving.counts
