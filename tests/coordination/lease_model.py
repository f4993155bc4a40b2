"""Seeded simulation of daemons, log and network for the lease tests."""

import collections
import heapq
import itertools
import random
from typing import Callable

from sassafraswood import const
from sassafraswood.coordination import idempotency
from sassafraswood.coordination import partition_lease
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.state import partitions

SERVICE = ids.ServiceName('ordering')
STEP_S = 0.1


def member(number: int, incarnation: int = 1) -> records.Member:
    """Return the member entry of a daemon, in one of two failure domains."""
    return records.Member(
        daemon_id=ids.DaemonId(f'd{number}'),
        incarnation=ids.Incarnation(incarnation),
        version=1,
        service=SERVICE,
        failure_domain=ids.FailureDomain(f'f{number % 2}'),
        region='r',
        peer_address=f'10.0.0.{number}:1',
        http_address=f'10.0.0.{number}:2',
        status=enums.MemberStatus.ACTIVE,
        upstream_status=enums.UpstreamStatus.READY,
        slots=1,
    )


class RatedClock:
    """Clock of one VM with its own rate and skew."""

    def __init__(
        self, world: 'World', rate: float = 1.0, skew_s: float = 0.0
    ) -> None:
        """Initialize the clock.

        Args:
            world: The simulation that holds the true time.
            rate: Seconds of this clock per true second.
            skew_s: Seconds by which the wall clock is ahead.
        """
        self._world = world
        self.rate = rate
        self.skew_s = skew_s

    def monotonic(self) -> float:
        """Return seconds at the rate of this VM."""
        return 5000.0 + self._world.now * self.rate

    def wall(self) -> float:
        """Return Unix time with the skew of this VM."""
        return 1.7e9 + self._world.now + self.skew_s


class Daemon:
    """A daemon process with its view of the log and the members."""

    def __init__(
        self, world: 'World', number: int, incarnation: int, clock: RatedClock
    ) -> None:
        """Initialize a process; `World.start` starts its loops."""
        self.world = world
        self.clock = clock
        self.member = member(number, incarnation)
        self.holder = records.Holder(
            daemon_id=self.member.daemon_id,
            incarnation=ids.Incarnation(incarnation),
        )
        self.table = partitions.PartitionTable()
        self.next_offset = 0
        self.is_alive = True
        self.paused_until = 0.0
        self.stops_at: float | None = None
        self.deferred_actions: list[Callable[[], None]] = []
        self.plans_seen: dict[int, float] = {}
        self.leases = partition_lease.PartitionLeases(
            clock=clock,
            random=world.random,
            outbox=self,
            own=self.holder,
            configuration=self,
            membership=self,
            append=self.append,
        )
        self.owner = idempotency.IdempotencyOwner(
            clock=clock, leases=self.leases
        )

    @property
    def own(self) -> records.Member:
        """Return the own member entry."""
        return self.member

    def partition(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the folded entry."""
        return self.table.get(service, partition)

    def members(
        self, service: ids.ServiceName | None = None
    ) -> list[records.Member]:
        """Return the newest incarnation of each member."""
        return [d.member for d in self.world.daemons.values()]

    def get(self, daemon_id: ids.DaemonId) -> records.Member | None:
        """Return a member, or None for a misreport."""
        if self.world.draw_misreport():
            return None
        return self.world.daemons[daemon_id].member

    def is_silent(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether a daemon is unreachable; random for a misreport."""
        if self.world.draw_misreport():
            return not self.world.random.getrandbits(1)
        return not self.world.can_exchange_messages(
            self.member.daemon_id, daemon_id
        )

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        """Send a message over the simulated network."""
        self.world.send(self, daemon_id, message)

    def append(self, record: records.Record) -> None:
        """Append a record to the simulated log."""
        self.world.append(self, record)

    def receive(self, message: messages.Message, sender: ids.DaemonId) -> None:
        """Handle a message."""
        if isinstance(message, messages.GuardRequest):
            self.leases.on_guard_request(message, sender)
        elif isinstance(message, messages.GuardPromise):
            self.leases.on_guard_promise(message, sender)
        elif isinstance(message, messages.HandOver):
            if self.owner.accept(message):
                done = messages.HandOverDone(
                    service=message.service,
                    partition=message.partition,
                    term=message.term,
                    part=message.part,
                )
                self.send(sender, done)
        elif isinstance(message, messages.HandOverDone):
            for plan in self.leases.planned_hand_overs():
                if (plan.entry.partition, plan.entry.term) == (
                    message.partition,
                    message.term,
                ):
                    self.leases.finish_hand_over(
                        SERVICE, message.partition, with_state=True
                    )

    def fold(self, tail: int, started_at: float) -> None:
        """Fold the records that a read of the log returned.

        Args:
            tail: First offset after the read.
            started_at: Time of this VM's clock at which the read started.
        """
        while self.next_offset < tail:
            offset = ids.Offset(self.next_offset)
            self.table.apply(self.world.log[offset], offset)
            self.next_offset += 1
        self.leases.note_log_read(started_at)

    def tick(self) -> None:
        """Tick the leases and send the state of planned hand-overs."""
        self.leases.tick()
        self.owner.tick()
        for plan in self.leases.planned_hand_overs():
            for part in self.owner.export(SERVICE, plan.entry.partition):
                self.send(plan.target.daemon_id, part)


class World:
    """Time, log, network and faults around the daemons, from one seed."""

    def __init__(
        self,
        seed: int,
        *,
        count: int = 4,
        fault_rate: float = 0.0,
        misreport_rate: float = 0.0,
        rate_error: float = 0.01,
    ) -> None:
        """Start the daemons.

        Args:
            seed: Seed of all random choices.
            count: Number of daemons.
            fault_rate: Faults per second.
            misreport_rate: Fraction of membership queries with a random or
                missing result.
            rate_error: Largest relative error of the clock rates.
        """
        self.random = random.Random(seed)
        self.now = 0.0
        self.log: list[partitions.PartitionRecord] = []
        self.reference = partitions.PartitionTable()
        self.accepted: collections.Counter[str] = collections.Counter()
        self.fault_rate = fault_rate
        self.misreport_rate = misreport_rate
        self.log_down_until = 0.0
        self.cut_off_until: dict[ids.DaemonId, float] = {}
        self.links_cut_until: dict[frozenset[ids.DaemonId], float] = {}
        self.held_in_outage = 0
        self.overlaps: list[tuple[float, int, list[str]]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.daemons: dict[ids.DaemonId, Daemon] = {}
        for number in range(count):
            rate = 1 + rate_error * self.random.choice([-1, -0.5, 0, 0.5, 1])
            skew_s = self.random.uniform(-1, 1) * const.CLOCK_SKEW_S / 2
            clock = RatedClock(self, rate, skew_s)
            self.start(Daemon(self, number, 1, clock))

    # Processes and time.

    def start(self, daemon: Daemon) -> None:
        """Start the loops of a process."""
        self.daemons[daemon.member.daemon_id] = daemon
        self.at(self.random.random(), lambda: self._read_loop(daemon))
        self.at(self.random.random(), lambda: self._tick_loop(daemon))

    def crash(self, daemon: Daemon) -> None:
        """Crash a process."""
        daemon.is_alive = False

    def restart(self, daemon: Daemon) -> None:
        """Crash a process and start its next incarnation."""
        self.crash(daemon)
        number = int(daemon.member.daemon_id[1:])
        incarnation = daemon.member.incarnation + 1
        self.start(Daemon(self, number, incarnation, daemon.clock))

    def run(self, seconds: float) -> None:
        """Advance the time and check the holders at each event."""
        end = self.now + seconds
        while self.now < end:
            if self.random.random() < self.fault_rate * STEP_S:
                self._inject_fault()
            target = self.now + STEP_S
            while self._events and self._events[0][0] <= target:
                at, _, action = heapq.heappop(self._events)
                self.now = max(self.now, at)
                self._check_holders()
                action()
                self._check_holders()
            self.now = target
            self._check_holders()

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        item = (self.now + delay_s, next(self._sequence), action)
        heapq.heappush(self._events, item)

    def do(self, daemon: Daemon, action: Callable[[], None]) -> None:
        """Run an action of a daemon, after its pause if it is paused."""
        if not daemon.is_alive:
            return
        if daemon.paused_until > self.now:
            daemon.deferred_actions.append(action)
            return
        action()

    def pause(self, daemon: Daemon, seconds: float) -> None:
        """Pause a process while its clock continues."""
        daemon.paused_until = self.now + seconds
        self.at(seconds, lambda: self._resume(daemon))

    def holders(self, partition: int) -> list[Daemon]:
        """Return the daemons that hold a lease, including paused ones."""
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.is_alive
            and daemon.leases.owned(SERVICE, partition) is not None
        ]

    # Log and network.

    def reaches_log(self, daemon: Daemon) -> bool:
        """Return whether a daemon reaches the log now."""
        cut_off_until = self.cut_off_until.get(daemon.member.daemon_id, 0.0)
        return max(self.log_down_until, cut_off_until) <= self.now

    def append(self, daemon: Daemon, record: records.Record) -> None:
        """Append a record after a delay; with faults some take effect late."""
        delay_s = self.random.uniform(0.001, 0.3)
        is_late = self.fault_rate and self.random.random() < 0.3
        if is_late:
            delay_s = self.random.uniform(1.0, 25.0)
        self.at(
            delay_s, lambda: self._finish_append(daemon, record, bool(is_late))
        )

    def _finish_append(
        self, daemon: Daemon, record: records.Record, is_late: bool
    ) -> None:
        if not self.reaches_log(daemon):
            if not is_late and self.random.random() < 0.5:
                self.do(
                    daemon, lambda: daemon.leases.note_append_failed(record)
                )
            return
        offset = ids.Offset(len(self.log))
        self.log.append(record)
        self._count_outcome(record, offset)
        if is_late or self.random.random() < min(0.2, self.fault_rate):
            return
        if isinstance(record, records.ChangeGuardian):
            return
        entry = partitions.proposed_entry(record, offset)
        self.at(
            self.random.uniform(0.001, 0.5),
            lambda: self.do(
                daemon, lambda: daemon.leases.note_appended(entry)
            ),
        )

    def _count_outcome(
        self, record: records.Record, offset: ids.Offset
    ) -> None:
        entry = self.reference.get(record.service, record.partition)
        guardian = None if entry is None else entry.guardian
        if not self.reference.apply(record, offset):
            self.accepted['rejected'] += 1
            return
        name = type(record).__name__
        if isinstance(record, records.ClaimPartition) and record.replaces:
            by_guardian = record.owner == guardian
            name = 'guardian claim' if by_guardian else 'other claim'
        self.accepted[name] += 1

    def _read_loop(self, daemon: Daemon) -> None:
        if not daemon.is_alive:
            return
        if daemon.paused_until <= self.now:
            started_at = daemon.clock.monotonic()
            self.at(
                self.random.uniform(0.001, 0.5),
                lambda: self._reply_to_read(daemon, started_at),
            )
        self.at(0.5, lambda: self._read_loop(daemon))

    def _reply_to_read(self, daemon: Daemon, started_at: float) -> None:
        if not self.reaches_log(daemon):
            return
        tail = len(self.log)
        delay_s = self.random.uniform(0.001, 0.5)
        if self.fault_rate and self.random.random() < 0.05:
            delay_s = self.random.uniform(1.0, 12.0)
        self.at(
            delay_s,
            lambda: self.do(daemon, lambda: daemon.fold(tail, started_at)),
        )

    def _tick_loop(self, daemon: Daemon) -> None:
        if not daemon.is_alive:
            return
        if daemon.paused_until <= self.now:
            daemon.tick()
            is_done = daemon.stops_at is not None and (
                daemon.leases.is_released or daemon.stops_at <= self.now
            )
            if is_done:
                self.restart(daemon)
                return
        self.at(0.2, lambda: self._tick_loop(daemon))

    def can_exchange_messages(
        self, one: ids.DaemonId, other: ids.DaemonId
    ) -> bool:
        """Return whether two daemons can exchange messages."""
        daemon = self.daemons[other]
        link = frozenset({one, other})
        return (
            daemon.is_alive
            and daemon.paused_until <= self.now
            and self.links_cut_until.get(link, 0.0) <= self.now
        )

    def send(
        self,
        sender: Daemon,
        daemon_id: ids.DaemonId,
        message: messages.Message,
    ) -> None:
        """Deliver a message after a delay, or drop it over a cut link."""
        link = frozenset({sender.member.daemon_id, daemon_id})
        if self.links_cut_until.get(link, 0.0) > self.now:
            return
        delay_s = self.random.uniform(0.0005, 0.02)
        if self.fault_rate and self.random.random() < 0.05:
            delay_s = self.random.uniform(0.5, 15.0)
        self.at(delay_s, lambda: self._deliver(sender, daemon_id, message))

    def _deliver(
        self,
        sender: Daemon,
        daemon_id: ids.DaemonId,
        message: messages.Message,
    ) -> None:
        target = self.daemons[daemon_id]
        source = sender.member.daemon_id
        self.do(target, lambda: target.receive(message, source))

    def draw_misreport(self) -> bool:
        """Return whether to misreport this membership query."""
        return (
            bool(self.misreport_rate)
            and self.random.random() < self.misreport_rate
        )

    # Faults.

    def _resume(self, daemon: Daemon) -> None:
        if not daemon.is_alive or daemon.paused_until > self.now:
            return
        deferred_actions, daemon.deferred_actions = daemon.deferred_actions, []
        # A resumed process handles its pending events in any order.
        if self.random.getrandbits(1):
            daemon.tick()
        for action in deferred_actions:
            action()

    def _inject_fault(self) -> None:
        """Inject one fault, mostly into an owner or guardian."""
        daemon_id, other = self._choose_targets()
        daemon = self.daemons[daemon_id]
        seconds = self.random.choice([3.0, 6.0, 8.0, 16.0, 40.0])
        until = self.now + seconds
        kind = self.random.randrange(24) % 13
        if kind == 0:
            self.log_down_until = until
        elif kind in (1, 2, 3):
            self.cut_off_until[daemon_id] = until
        elif kind in (4, 5, 6):
            link = frozenset({daemon_id, other})
            self.links_cut_until[link] = self.now + min(seconds, 8.0)
        elif kind == 7 and daemon.is_alive:
            self.pause(daemon, seconds)
        elif kind == 8:
            self.crash(daemon)
            self.at(seconds, lambda: self._restart_if_crashed(daemon_id))
        elif kind == 9 and daemon.is_alive:
            self.do(daemon, lambda: self._begin_planned_stop(daemon))
        elif kind == 10:
            self.links_cut_until.clear()
            self.log_down_until = 0.0
        elif kind == 12:
            self.crash(daemon)
            self.crash(self.daemons[other])
            self.at(3.0, lambda: self._restart_if_crashed(daemon_id))
            self.at(seconds, lambda: self._restart_if_crashed(other))

    def _choose_targets(self) -> tuple[ids.DaemonId, ids.DaemonId]:
        one, other = self.random.sample(list(self.daemons), 2)
        partition = self.random.randrange(const.PARTITIONS_PER_SERVICE)
        entry = self.reference.get(SERVICE, partition)
        if entry is None or self.random.random() < 0.2:
            return one, other
        one = entry.owner.daemon_id
        if entry.guardian is not None:
            other = entry.guardian.daemon_id
        if self.random.random() < 0.3:
            one, other = other, one
        return one, other

    def _restart_if_crashed(self, daemon_id: ids.DaemonId) -> None:
        daemon = self.daemons[daemon_id]
        if not daemon.is_alive:
            self.restart(daemon)

    def _begin_planned_stop(self, daemon: Daemon) -> None:
        daemon.leases.release_all()
        daemon.stops_at = self.now + 20.0

    def _check_holders(self) -> None:
        for partition in range(const.PARTITIONS_PER_SERVICE):
            holders = self.holders(partition)
            if len(holders) > 1:
                names = [str(d.holder) for d in holders]
                self.overlaps.append((self.now, partition, names))
            if holders and not self.reaches_log(holders[0]):
                self.held_in_outage += 1
