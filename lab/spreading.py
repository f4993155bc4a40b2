"""Compares ways to spread a log record to 750 daemons, in virtual time.

Run with: script/python -m lab.spreading [SEED]

The ways are polling of the log by all daemons, readers of the log with plain
gossip, and readers with trees of bounded fan-out that gossip repairs (after
Leitao, Pereira and Rodrigues, Epidemic Broadcast Trees, SRDS 2007). Members
are known to all, so a tree follows from the sorted member list and needs no
messages of its own.
"""

import enum
import functools
import random
import statistics
import sys
import time
import typing

from lab import gossip
from sassafraswood.coordination import freshness
from sassafraswood.coordination import membership
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records

_MEMBERS: typing.Final = 750
_DOMAINS: typing.Final = 10
_READERS_PER_DOMAIN: typing.Final = 3
_FAN_OUT: typing.Final = 4
_POLL_S: typing.Final = 1.0
_WARM_UP_S: typing.Final = 12.0
# The last part of the warm-up, in which bytes without a record are counted.
_STEADY_S: typing.Final = 6.0
_LIMIT_S: typing.Final = 30.0
_BODY: typing.Final = 'x' * 2500
_OFFSET: typing.Final = ids.Offset(1)


class Way(enum.Enum):
    """How records reach daemons."""

    POLLING = 'all poll'
    GOSSIP = 'readers, gossip'
    TREES = 'readers, trees and gossip'


class SpreadFleet(gossip.Fleet):
    """Daemons that gossip about members and pass on log records.

    Attributes:
        known_at: When each daemon first had the record.
        record_bytes: Bytes of records sent, by daemon.
        log_reads: Reads that the log answered.
    """

    def __init__(self, seed: int, way: Way) -> None:
        """Start all daemons with full member tables."""
        super().__init__(seed)
        self._way = way
        self.known_at: dict[ids.DaemonId, float] = {}
        self.record_bytes: dict[ids.DaemonId, int] = {}
        self.log_reads = 0
        self.freshness: dict[ids.DaemonId, freshness.Freshness] = {}
        self._is_appended = False
        self._children: dict[ids.DaemonId, list[ids.DaemonId]] = {}
        self._readers: list[ids.DaemonId] = []
        everyone = [gossip.member(n, _DOMAINS) for n in range(_MEMBERS)]
        self._plan(everyone)
        rng = random.Random(seed + 1)
        for own in everyone:
            self._start(own, everyone)
        for reader in self._readers:
            self.at(
                rng.random() * _POLL_S, functools.partial(self._poll, reader)
            )

    def append(self) -> None:
        """Append the record; long polls that wait are answered at once."""
        self._is_appended = True
        for reader in self._readers:
            self.at(0.001, functools.partial(self._read, reader))

    def _plan(self, everyone: list[records.Member]) -> None:
        if self._way is Way.POLLING:
            self._readers = [member.daemon_id for member in everyone]
            return
        for domain in range(_DOMAINS):
            ranked = sorted(
                member.daemon_id
                for member in everyone
                if member.failure_domain == f'domain-{domain}'
            )
            self._readers += ranked[:_READERS_PER_DOMAIN]
            for index, daemon_id in enumerate(ranked):
                first = _READERS_PER_DOMAIN + index * _FAN_OUT
                self._children[daemon_id] = ranked[first : first + _FAN_OUT]

    def _start(
        self, own: records.Member, everyone: list[records.Member]
    ) -> None:
        fresh = freshness.Freshness(
            clock=self.clock, own_domain=own.failure_domain
        )
        fresh.set_known_members(everyone)
        self.freshness[own.daemon_id] = fresh
        self.add(
            own,
            everyone,
            lambda: membership.LogState(
                next_offset=ids.Offset(int(own.daemon_id in self.known_at)),
                log_read_age_s=fresh.log_read_age(),
            ),
        )

    def _poll(self, reader: ids.DaemonId) -> None:
        if reader not in self.daemons:
            return
        self.log_reads += 1
        self.freshness[reader].note_log_read(self.clock.monotonic() - _POLL_S)
        if self._is_appended:
            self._take(reader)
        self.at(_POLL_S, functools.partial(self._poll, reader))

    def _read(self, reader: ids.DaemonId) -> None:
        if reader in self.daemons:
            self.log_reads += 1
            self._take(reader)

    def _take(self, daemon_id: ids.DaemonId) -> None:
        if daemon_id in self.known_at:
            return
        self.known_at[daemon_id] = self.clock.monotonic()
        if self._way is Way.TREES:
            for child in self._children[daemon_id]:
                self._send_record(daemon_id, child)

    def _send_record(
        self, sender: ids.DaemonId, receiver: ids.DaemonId
    ) -> None:
        before = self.sent_bytes[sender]
        entry = records.LogEntry(offset=ids.Offset(0), body=_BODY)
        self.send(sender, receiver, messages.Records(entries=[entry]))
        size = self.sent_bytes[sender] - before
        self.record_bytes[sender] = self.record_bytes.get(sender, 0) + size

    def on_digest(
        self,
        sender: ids.DaemonId,
        receiver: ids.DaemonId,
        message: messages.Digest,
        asked_at: float | None,
    ) -> None:
        """Ask for records that the sender has, as transport does."""
        own_offset = ids.Offset(int(receiver in self.known_at))
        if asked_at is not None:
            self.freshness[receiver].note_peer(
                sender,
                message.failure_domain,
                message.log_read_age_s,
                asked_at=asked_at,
                is_caught_up=own_offset >= message.next_offset,
            )
        if message.next_offset > own_offset:
            request = messages.RecordsRequest(from_offset=own_offset)
            self.send(receiver, sender, request)

    def on_other(
        self,
        sender: ids.DaemonId,
        receiver: ids.DaemonId,
        message: messages.Message,
    ) -> None:
        """Answer requests for records and take records."""
        if isinstance(message, messages.RecordsRequest):
            self._send_record(receiver, sender)
        elif isinstance(message, messages.Records):
            self._take(receiver)


def _run(seed: int, way: Way, lost_share: float) -> None:
    started = time.process_time()
    fleet = SpreadFleet(seed, way)
    fleet.run(_WARM_UP_S - _STEADY_S)
    before = sum(fleet.sent_bytes.values())
    fleet.run(_STEADY_S)
    steady = (sum(fleet.sent_bytes.values()) - before) / _STEADY_S
    rng = random.Random(seed + 2)
    lost = rng.sample(sorted(fleet.daemons), int(_MEMBERS * lost_share))
    for daemon_id in lost:
        del fleet.daemons[daemon_id]
    ages = [
        age
        for daemon_id in fleet.daemons
        if (age := fleet.freshness[daemon_id].log_read_age()) is not None
    ]
    reads = fleet.log_reads
    sent = sum(fleet.sent_bytes.values())
    begun = fleet.clock.monotonic()
    fleet.append()
    while len(fleet.known_at.keys() & fleet.daemons.keys()) < len(
        fleet.daemons
    ):
        fleet.run(0.05)
        if fleet.clock.monotonic() - begun > _LIMIT_S:
            break
    elapsed = fleet.clock.monotonic() - begun
    times = sorted(
        at - begun for d, at in fleet.known_at.items() if d in fleet.daemons
    )
    per_daemon = [fleet.record_bytes.get(d, 0) for d in fleet.daemons]
    warm_reads = reads / _WARM_UP_S
    print(
        f'{way.value:26} {lost_share:4.0%} lost: half '
        f'{times[len(times) // 2]:.2f} s, 99% '
        f'{times[int(len(times) * 0.99)]:.2f} s, all {times[-1]:.2f} s '
        f'({len(times)} of {len(fleet.daemons)}); age of the last known read '
        f'mean {statistics.fmean(ages):.2f} s, highest {max(ages):.2f} s; '
        f'{warm_reads:.0f} log reads/s; sent without records '
        f'{steady / _MEMBERS:.0f} B/s; record bytes sent by a daemon mean '
        f'{statistics.fmean(per_daemon):.0f}, highest {max(per_daemon)}; all '
        f'bytes sent {(sum(fleet.sent_bytes.values()) - sent) / _MEMBERS:.0f} '
        f'per daemon in {elapsed:.2f} s; '
        f'{time.process_time() - started:.0f} s of processor time'
    )


def main() -> None:
    """Print times, ages and bytes for each way."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(
        f'seed {seed}, {_MEMBERS} daemons, {_DOMAINS} failure domains, '
        f'{_READERS_PER_DOMAIN} readers in each, fan-out {_FAN_OUT}, record '
        f'of {len(_BODY)} bytes'
    )
    for way in Way:
        for lost_share in (0.0, 0.1):
            _run(seed, way, lost_share)


if __name__ == '__main__':
    main()
