"""Connections to the other daemons of a fleet."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, Protocol
import zlib

from sassafraswood import clock as clock_module
from sassafraswood.coordination import store_knowledge
from sassafraswood.coordination import upstream_choice
from sassafraswood import exceptions
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.sidecar import upstream_side
from sassafraswood.transport import frame_link
from sassafraswood.transport import json_log

# A third of the time in which rules have to be in force.
PING_S: Final = 0.4
# Three pings without an answer and the longest delay of a slow VM.
SILENT_S: Final = 1.6
CONNECT_TIMEOUT_S: Final = 1.0
# First and longest pause between tries to connect, in seconds.
RECONNECT_S: Final = 0.1
RECONNECT_MAX_S: Final = 1.6


class StoreState(Protocol):
    """Documents of the store that daemons pass on to each other."""

    def rules_document(self) -> frames.RulesDocument | None:
        """Return the rules in force."""

    def members_document(self) -> frames.MembersDocument:
        """Return the records of members."""

    def take_rules(self, document: frames.RulesDocument) -> None:
        """Take rules of a peer."""

    def take_members(self, document: frames.MembersDocument) -> None:
        """Take records of members of a peer."""


class Peer:
    """Another daemon."""

    def __init__(self, member: fleet.Member) -> None:
        """Start without a connection."""
        self.member = member
        self.candidate = upstream_choice.Candidate(member)
        self.connection: frame_link.FrameConnection | None = None
        self.is_connecting = False
        self.connect_at = 0.0
        self.pause_s = RECONNECT_S
        self.pinged: dict[int, float] = {}
        # Calls that wait for an answer of this daemon.
        self.calls: dict[
            int, Callable[[upstream_side.Reply | None], None]
        ] = {}


class Peers:
    """Keeps one connection to each daemon and takes calls of theirs."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        own: fleet.Member,
        upstream: upstream_side.UpstreamSide,
        knowledge: store_knowledge.StoreKnowledge,
        store: StoreState,
        log: json_log.JsonLog,
        on_lend: Callable[[frames.Lend], None],
        on_borrow: Callable[[frames.Borrow], frames.Lend],
    ) -> None:
        """Take this daemon's record and what messages are handed to."""
        self._clock = clock
        self._own = own
        self._upstream = upstream
        self._knowledge = knowledge
        self._store = store
        self._log = log
        self._on_lend = on_lend
        self._on_borrow = on_borrow
        self._started_at = int(clock.wall() * 1e6)
        self._peers: dict[ids.DaemonId, Peer] = {}
        self._accepted: set[frame_link.FrameConnection] = set()
        self._running: dict[
            tuple[frame_link.FrameConnection, int],
            upstream_side.UpstreamCall,
        ] = {}
        self._own_candidate = upstream_choice.Candidate(own)
        self._own_candidate.is_reachable = True
        self._by_service: dict[
            ids.ServiceName, list[upstream_choice.Candidate]
        ] = {}
        self._sequence = 0
        self._pinged_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._index()

    @property
    def open_count(self) -> int:
        """Return the number of daemons that can be reached."""
        return sum(
            peer.candidate.is_reachable for peer in self._peers.values()
        )

    def candidates(
        self, service: ids.ServiceName
    ) -> list[upstream_choice.Candidate]:
        """Return the daemons beside the upstreams of a service."""
        return self._by_service.get(service, [])

    def is_reachable(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether messages to a daemon can be sent."""
        peer = self._peers.get(daemon_id)
        return peer is not None and peer.candidate.is_reachable

    def set_members(self, members: Iterable[fleet.Member]) -> None:
        """Take all daemons; connections to those that are new are made."""
        known = {
            member.daemon_id: member
            for member in members
            if member.daemon_id != self._own.daemon_id
        }
        for daemon_id, peer in list(self._peers.items()):
            if known.get(daemon_id) != peer.member:
                del self._peers[daemon_id]
                self._drop(peer, 'no member any more')
        for daemon_id, member in known.items():
            if daemon_id not in self._peers:
                self._peers[daemon_id] = Peer(member)
        self._index()
        self._connect_due()

    def set_serving(self, is_serving: bool) -> None:
        """Tell all daemons whether this one takes calls."""
        self._own_candidate.is_serving = is_serving
        status = frames.Status(is_serving=is_serving, load=self._upstream.load)
        for connection in self._accepted:
            connection.send(status)

    def announce(self) -> None:
        """Tell all daemons which state of the store this one knows."""
        pong = self._pong(0)
        for connection in self._accepted:
            connection.send(pong)

    def start_call(
        self,
        candidate: upstream_choice.Candidate,
        run: frames.Run,
        on_reply: Callable[[upstream_side.Reply | None], None],
    ) -> Callable[[], None]:
        """Send a call; on_reply gets None if the daemon was lost.

        Returns:
            What cancels the call.
        """
        if candidate is self._own_candidate:
            call = self._upstream.submit(run, on_reply)
            return lambda: self._upstream.cancel(call)
        peer = self._peers.get(candidate.member.daemon_id)
        if peer is None or peer.connection is None:
            on_reply(
                frames.Refused(
                    call_id=run.call_id,
                    reason='peer_unreachable',
                    is_local=True,
                    load=0.0,
                )
            )
            return lambda: None
        peer.calls[run.call_id] = on_reply
        peer.connection.send(run)

        def cancel() -> None:
            if peer.calls.pop(run.call_id, None) is not None:
                if peer.connection is not None:
                    peer.connection.send(frames.Cancel(call_id=run.call_id))

        return cancel

    def send(self, daemon_id: ids.DaemonId, message: frames.AnyFrame) -> bool:
        """Send a message; return False if the daemon is not reachable."""
        peer = self._peers.get(daemon_id)
        if peer is None or peer.connection is None:
            return False
        peer.connection.send(message)
        return True

    async def async_listen(self) -> None:
        """Take connections of other daemons from now on."""
        loop = asyncio.get_running_loop()
        host, port = self._own.address
        self._server = await loop.create_server(
            lambda: frame_link.FrameConnection(
                self._on_message, self._on_accepted, self._on_accepted_lost
            ),
            host,
            port,
            backlog=1024,
            reuse_address=True,
        )

    def tick(self) -> None:
        """Ping daemons, drop silent ones and connect to others."""
        now = self._clock.monotonic()
        loop_now = asyncio.get_running_loop().time()
        for peer in list(self._peers.values()):
            connection = peer.connection
            if connection is None:
                continue
            if loop_now - connection.heard_at > SILENT_S:
                connection.close('silent')
        for connection in list(self._accepted):
            if loop_now - connection.heard_at > 4 * SILENT_S:
                connection.close('silent')
        if now - self._pinged_at >= PING_S:
            self._pinged_at = now
            self._ping_all(now)
        self._connect_due()

    def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for peer in self._peers.values():
            if peer.connection is not None:
                peer.connection.close('stopped')
        for connection in list(self._accepted):
            connection.close('stopped')

    # Outgoing connections.

    def _index(self) -> None:
        self._by_service = {}
        candidates = [self._own_candidate]
        candidates += [peer.candidate for peer in self._peers.values()]
        for candidate in candidates:
            self._by_service.setdefault(candidate.member.service, []).append(
                candidate
            )

    def _connect_due(self) -> None:
        now = self._clock.monotonic()
        for peer in self._peers.values():
            if peer.connection is not None or peer.is_connecting:
                continue
            if now < peer.connect_at:
                continue
            peer.is_connecting = True
            task = asyncio.get_running_loop().create_task(
                self._async_connect(peer)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_connect(self, peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        host, port = peer.member.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: frame_link.FrameConnection(
                        self._on_message,
                        lambda connection: self._on_open(peer, connection),
                        lambda connection, reason: self._on_lost(
                            peer, connection, reason
                        ),
                    ),
                    host,
                    port,
                )
        except OSError:
            # TimeoutError is an OSError.
            self._delay(peer)
        finally:
            peer.is_connecting = False

    def _delay(self, peer: Peer) -> None:
        peer.connect_at = self._clock.monotonic() + peer.pause_s
        peer.pause_s = min(RECONNECT_MAX_S, 2.0 * peer.pause_s)

    def _on_open(
        self, peer: Peer, connection: frame_link.FrameConnection
    ) -> None:
        if self._peers.get(peer.member.daemon_id) is not peer:
            connection.close('no member any more')
            return
        peer.connection = connection
        connection.daemon_id = peer.member.daemon_id
        connection.send(self._hello())
        self._ping(peer, self._clock.monotonic())

    def _on_lost(
        self, peer: Peer, connection: frame_link.FrameConnection, reason: str
    ) -> None:
        if peer.connection is not connection:
            return
        self._log.change(
            'peer_lost',
            peer=peer.member.daemon_id,
            reason=reason,
            open_calls=len(peer.calls),
        )
        self._drop(peer, reason)
        self._delay(peer)

    def _drop(self, peer: Peer, reason: str) -> None:
        connection, peer.connection = peer.connection, None
        peer.candidate.is_reachable = False
        peer.candidate.is_serving = False
        peer.candidate.latency_s = None
        peer.pinged.clear()
        if connection is not None and connection.is_open:
            connection.close(reason)
        calls, peer.calls = peer.calls, {}
        for on_reply in calls.values():
            on_reply(None)

    def _ping_all(self, now: float) -> None:
        for peer in self._peers.values():
            if peer.connection is not None:
                self._ping(peer, now)

    def _ping(self, peer: Peer, now: float) -> None:
        if peer.connection is None:
            return
        self._sequence += 1
        peer.pinged[self._sequence] = now
        peer.connection.send(frames.Ping(sequence=self._sequence))

    # Incoming connections.

    def _on_accepted(self, connection: frame_link.FrameConnection) -> None:
        self._accepted.add(connection)
        connection.send(self._hello())

    def _on_accepted_lost(
        self, connection: frame_link.FrameConnection, reason: str
    ) -> None:
        del reason
        self._accepted.discard(connection)
        lost = [key for key in self._running if key[0] is connection]
        for key in lost:
            self._upstream.cancel(self._running.pop(key))

    # Messages.

    def _on_message(
        self,
        connection: frame_link.FrameConnection,
        message: frames.AnyFrame,
    ) -> None:
        if isinstance(message, frames.Run):
            self._take_call(connection, message)
        elif isinstance(
            message, frames.Answer | frames.Refused | frames.Failed
        ):
            self._take_reply(connection, message)
        elif isinstance(message, frames.Cancel):
            call = self._running.pop((connection, message.call_id), None)
            if call is not None:
                self._upstream.cancel(call)
        elif isinstance(message, frames.Ping):
            connection.send(self._pong(message.sequence))
        elif isinstance(message, frames.Pong):
            self._take_pong(connection, message)
        else:
            self._on_rare_message(connection, message)

    def _on_rare_message(
        self,
        connection: frame_link.FrameConnection,
        message: frames.AnyFrame,
    ) -> None:
        if isinstance(message, frames.Hello):
            self._take_hello(connection, message)
        elif isinstance(message, frames.Status):
            peer = self._peer_of(connection)
            if peer is not None:
                peer.candidate.is_serving = message.is_serving
                peer.candidate.note_load(message.load)
        elif isinstance(message, frames.Borrow):
            connection.send(self._on_borrow(message))
        elif isinstance(message, frames.Lend):
            self._on_lend(message)
        elif isinstance(message, frames.FetchRules):
            document = self._store.rules_document()
            if document is not None:
                connection.send(document)
        elif isinstance(message, frames.RulesDocument):
            self._store.take_rules(message)
        elif isinstance(message, frames.FetchMembers):
            connection.send(self._store.members_document())
        elif isinstance(message, frames.MembersDocument):
            self._store.take_members(message)

    def _hello(self) -> frames.Hello:
        return frames.Hello(
            daemon_id=self._own.daemon_id, started_at=self._started_at
        )

    def _take_hello(
        self, connection: frame_link.FrameConnection, hello: frames.Hello
    ) -> None:
        if connection not in self._accepted:
            if connection.daemon_id != hello.daemon_id:
                connection.close(f'address is of {hello.daemon_id} now')
            return
        connection.daemon_id = hello.daemon_id
        peer = self._peers.get(ids.DaemonId(hello.daemon_id))
        if peer is not None and peer.connection is None:
            # It lives, so a pause after failed tries is of no use.
            peer.connect_at = 0.0

    def _peer_of(self, connection: frame_link.FrameConnection) -> Peer | None:
        peer = self._peers.get(ids.DaemonId(connection.daemon_id or ''))
        if peer is None or peer.connection is not connection:
            return None
        return peer

    def _take_call(
        self, connection: frame_link.FrameConnection, run: frames.Run
    ) -> None:
        key = (connection, run.call_id)

        def deliver(reply: upstream_side.Reply) -> None:
            self._running.pop(key, None)
            connection.send(reply)

        call = self._upstream.submit(run, deliver)
        if call.state is not call.state.ENDED:
            self._running[key] = call

    def _take_reply(
        self,
        connection: frame_link.FrameConnection,
        reply: upstream_side.Reply,
    ) -> None:
        peer = self._peer_of(connection)
        if peer is None:
            return
        on_reply = peer.calls.pop(reply.call_id, None)
        if on_reply is not None:
            on_reply(reply)

    def _pong(self, sequence: int) -> frames.Pong:
        knowledge = self._knowledge
        return frames.Pong(
            sequence=sequence,
            rules_version=knowledge.rules_version,
            rules_age_s=min(knowledge.rules_age_s, 1e9),
            members_end=knowledge.members_end,
            members_age_s=min(knowledge.members_age_s, 1e9),
            is_serving=self._upstream.is_serving,
            load=self._upstream.load,
        )

    def _take_pong(
        self, connection: frame_link.FrameConnection, pong: frames.Pong
    ) -> None:
        peer = self._peer_of(connection)
        if peer is None:
            return
        peer.candidate.is_serving = pong.is_serving
        peer.candidate.note_load(pong.load)
        if not peer.candidate.is_reachable:
            peer.candidate.is_reachable = True
            peer.pause_s = RECONNECT_S
            self._log.change('peer_reached', peer=peer.member.daemon_id)
        knowledge = self._knowledge
        if pong.rules_version > knowledge.rules_version:
            connection.send(frames.FetchRules())
        if pong.members_end > knowledge.members_end:
            connection.send(frames.FetchMembers())
        asked_at = peer.pinged.pop(pong.sequence, None)
        if asked_at is None:
            return
        if pong.rules_version == knowledge.rules_version:
            knowledge.note_rules(
                pong.rules_version, asked_at - pong.rules_age_s
            )
        if pong.members_end == knowledge.members_end:
            knowledge.note_members(
                pong.members_end, asked_at - pong.members_age_s
            )


def compress(document: bytes) -> bytes:
    """Return a document for the way between daemons."""
    return zlib.compress(document, 1)


def decompress(document: bytes) -> bytes:
    """Return a document that came from another daemon.

    Raises:
        DecodeError: The bytes are no compressed document.
    """
    try:
        return zlib.decompress(document)
    except zlib.error as error:
        raise exceptions.DecodeError(str(error)) from error
