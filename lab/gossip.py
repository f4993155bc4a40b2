"""Simulates daemons that gossip about members, in virtual time."""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import random
import typing

from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import membership
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.protocol import codec

_LATENCY_S: typing.Final = 0.001
# Incarnations are Unix times in microseconds.
_START_UNIX_US: typing.Final = 1_700_000_000_000_000


def make_member(
    number: int, domains: int, **changes: typing.Any
) -> records.Member:
    """Return the member entry of a daemon.

    Args:
        number: Number of the daemon, from which its values are derived.
        domains: Number of failure domains.
        changes: Fields of the entry with other values.
    """
    address = f'10.{number % domains}.{number // 250}.{number % 250}'
    values: dict[str, typing.Any] = {
        'daemon_id': f'daemon-{number}',
        'incarnation': _START_UNIX_US + number,
        'version': 1,
        'service': f'service-{number % 92}',
        'failure_domain': f'domain-{number % domains}',
        'region': f'region-{number % domains % 3}',
        'peer_address': f'{address}:8090',
        'http_address': f'{address}:8080',
        'status': enums.MemberStatus.ACTIVE,
        'upstream_status': enums.UpstreamStatus.READY,
        'slots': 60,
    }
    return records.Member(**values | changes)


class _Outbox:
    def __init__(self, fleet: 'Fleet', sender: ids.DaemonId) -> None:
        self._fleet = fleet
        self._sender = sender

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        self._fleet.send(self._sender, daemon_id, message)


class Fleet:
    """Daemons that only gossip; each message takes a millisecond.

    Attributes:
        clock: The virtual time of all daemons.
        daemons: Running daemons; one that is removed no longer sends or
            receives messages.
        is_cut: Returns whether messages from the first daemon to the second
            are lost.
        sent_bytes: Encoded bytes sent, by daemon.
        log_read_age_s: Age in seconds of the last log read in the digests of
            daemons without their own log state; None if no read is known.
    """

    def __init__(self, seed: int) -> None:
        """Start an empty fleet."""
        self.clock = clock.ManualClock()
        self.daemons: dict[ids.DaemonId, membership.Membership] = {}
        self.is_cut: Callable[[ids.DaemonId, ids.DaemonId], bool] = (
            lambda sender, receiver: False
        )
        self.sent_bytes: dict[ids.DaemonId, int] = {}
        self.log_read_age_s: float | None = 0.5
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0

    def add(
        self,
        own: records.Member,
        known: Iterable[records.Member] = (),
        log_state: Callable[[], membership.LogState] | None = None,
    ) -> membership.Membership:
        """Start a daemon that knows some members, and return its membership.

        Args:
            own: Entry of the daemon.
            known: Members that it knows from the start.
            log_state: Returns the log state of its digests; by default, a
                log read of the age log_read_age_s.
        """
        daemon = membership.Membership(
            clock=self.clock,
            random=random.Random(self._random.random()),
            outbox=_Outbox(self, own.daemon_id),
            own=own,
            log_state=log_state
            or (
                lambda: membership.LogState(log_read_age_s=self.log_read_age_s)
            ),
        )
        daemon.merge(
            [other for other in known if other.daemon_id != own.daemon_id]
        )
        self.daemons[own.daemon_id] = daemon
        self.sent_bytes[own.daemon_id] = 0
        self.at(self._random.random(), lambda: self._tick(daemon))
        return daemon

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self._event_count += 1
        due_at = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (due_at, self._event_count, action))

    def run(self, seconds: float) -> None:
        """Run all events of the given number of seconds."""
        ends_at = self.clock.monotonic() + seconds
        while self._events and self._events[0][0] <= ends_at:
            due_at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due_at - self.clock.monotonic()))
            action()
        self.clock.advance(ends_at - self.clock.monotonic())

    def send(
        self,
        sender: ids.DaemonId,
        receiver: ids.DaemonId,
        message: messages.Message,
    ) -> None:
        """Deliver a message after the latency unless the link is cut."""
        if sender not in self.daemons:
            return
        encoded = codec.encode_message(message)
        self.sent_bytes[sender] += len(encoded)
        if not self.is_cut(sender, receiver):
            self.at(
                _LATENCY_S, lambda: self._deliver(sender, receiver, encoded)
            )

    def _tick(self, daemon: membership.Membership) -> None:
        if self.daemons.get(daemon.own.daemon_id) is daemon:
            daemon.tick()
            self.at(const.GOSSIP_INTERVAL_S, lambda: self._tick(daemon))

    def _deliver(
        self, sender: ids.DaemonId, receiver: ids.DaemonId, encoded: bytes
    ) -> None:
        daemon = self.daemons.get(receiver)
        if daemon is None:
            return
        message = codec.decode_message(encoded)
        if isinstance(message, messages.Digest):
            asked_at = daemon.on_digest(message)
            self.on_digest(sender, receiver, message, asked_at)
        elif isinstance(message, messages.MembersDelta):
            daemon.on_members_delta(message, sender)
        elif isinstance(message, messages.Leaving):
            daemon.on_leaving(message)
        else:
            self.on_other_message(sender, receiver, message)

    def on_digest(
        self,
        sender: ids.DaemonId,
        receiver: ids.DaemonId,
        message: messages.Digest,
        asked_at: float | None,
    ) -> None:
        """Do nothing; a subclass may handle the log state of a digest."""

    def on_other_message(
        self,
        sender: ids.DaemonId,
        receiver: ids.DaemonId,
        message: messages.Message,
    ) -> None:
        """Do nothing; a subclass may handle messages not about members."""
