"""Compares methods to spread a log record to 750 daemons, in virtual time.

Run with: script/python -m lab.spreading [SEED]

Either all daemons poll the log, or a few readers do and the others get the
record by gossip alone, or from the readers over trees of bounded fan-out, with
gossip for daemons that the trees miss (after Leitao, Pereira and Rodrigues,
Epidemic Broadcast Trees, SRDS 2007). Every daemon knows all members, so a tree
follows from the sorted member list and takes no messages to build.
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
# Last part of the warm-up, in which the bytes sent without a record are
# counted.
_STEADY_S: typing.Final = 6.0
_TIMEOUT_S: typing.Final = 30.0
_RECORD_BODY: typing.Final = 'x' * 2500
_OFFSET: typing.Final = ids.Offset(1)


class SpreadMethod(enum.Enum):
    """Methods by which records reach daemons."""

    POLLING = 'all poll'
    GOSSIP = 'readers, gossip'
    TREES = 'readers, trees and gossip'


class SpreadFleet(gossip.Fleet):
    """Daemons that gossip about members and pass on log records.

    Attributes:
        received_at: Virtual time in seconds at which each daemon first
            received the record.
        record_bytes: Encoded bytes of records sent, by daemon.
        log_reads: Number of reads of the log.
        freshness: Known log reads, by daemon.
    """

    def __init__(self, seed: int, method: SpreadMethod) -> None:
        """Start all daemons with complete member tables."""
        super().__init__(seed)
        self._method = method
        self.received_at: dict[ids.DaemonId, float] = {}
        self.record_bytes: dict[ids.DaemonId, int] = {}
        self.log_reads = 0
        self.freshness: dict[ids.DaemonId, freshness.Freshness] = {}
        self._is_appended = False
        self._children: dict[ids.DaemonId, list[ids.DaemonId]] = {}
        self._readers: list[ids.DaemonId] = []
        all_members = [
            gossip.make_member(number, _DOMAINS) for number in range(_MEMBERS)
        ]
        self._plan_topology(all_members)
        rng = random.Random(seed + 1)
        for own in all_members:
            self._start_daemon(own, all_members)
        for reader in self._readers:
            self.at(
                rng.random() * _POLL_S,
                functools.partial(self._poll_log, reader),
            )

    def append(self) -> None:
        """Append the record to the log, which answers long polls at once."""
        self._is_appended = True
        for reader in self._readers:
            self.at(0.001, functools.partial(self._read_log, reader))

    def _plan_topology(self, all_members: list[records.Member]) -> None:
        if self._method is SpreadMethod.POLLING:
            self._readers = [member.daemon_id for member in all_members]
            return
        for domain in range(_DOMAINS):
            daemon_ids = sorted(
                member.daemon_id
                for member in all_members
                if member.failure_domain == f'domain-{domain}'
            )
            self._readers += daemon_ids[:_READERS_PER_DOMAIN]
            for index, daemon_id in enumerate(daemon_ids):
                first_child = _READERS_PER_DOMAIN + index * _FAN_OUT
                self._children[daemon_id] = daemon_ids[
                    first_child : first_child + _FAN_OUT
                ]

    def _start_daemon(
        self, own: records.Member, all_members: list[records.Member]
    ) -> None:
        own_freshness = freshness.Freshness(
            clock=self.clock, own_domain=own.failure_domain
        )
        own_freshness.set_known_members(all_members)
        self.freshness[own.daemon_id] = own_freshness
        self.add(
            own,
            all_members,
            lambda: membership.LogState(
                next_offset=ids.Offset(int(own.daemon_id in self.received_at)),
                log_read_age_s=own_freshness.log_read_age(),
            ),
        )

    def _poll_log(self, reader: ids.DaemonId) -> None:
        if reader not in self.daemons:
            return
        self.log_reads += 1
        self.freshness[reader].note_log_read(self.clock.monotonic() - _POLL_S)
        if self._is_appended:
            self._receive_record(reader)
        self.at(_POLL_S, functools.partial(self._poll_log, reader))

    def _read_log(self, reader: ids.DaemonId) -> None:
        if reader in self.daemons:
            self.log_reads += 1
            self._receive_record(reader)

    def _receive_record(self, daemon_id: ids.DaemonId) -> None:
        if daemon_id in self.received_at:
            return
        self.received_at[daemon_id] = self.clock.monotonic()
        if self._method is SpreadMethod.TREES:
            for child in self._children[daemon_id]:
                self._send_record(daemon_id, child)

    def _send_record(
        self, sender: ids.DaemonId, receiver: ids.DaemonId
    ) -> None:
        bytes_before = self.sent_bytes[sender]
        entry = records.LogEntry(offset=ids.Offset(0), body=_RECORD_BODY)
        self.send(sender, receiver, messages.Records(entries=[entry]))
        size_bytes = self.sent_bytes[sender] - bytes_before
        self.record_bytes[sender] = (
            self.record_bytes.get(sender, 0) + size_bytes
        )

    def on_digest(
        self,
        sender: ids.DaemonId,
        receiver: ids.DaemonId,
        message: messages.Digest,
        asked_at: float | None,
    ) -> None:
        """Request the records that the receiver lacks, as a daemon does."""
        own_offset = ids.Offset(int(receiver in self.received_at))
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

    def on_other_message(
        self,
        sender: ids.DaemonId,
        receiver: ids.DaemonId,
        message: messages.Message,
    ) -> None:
        """Reply to requests for records, and receive records."""
        if isinstance(message, messages.RecordsRequest):
            self._send_record(receiver, sender)
        elif isinstance(message, messages.Records):
            self._receive_record(receiver)


def _measure_method(
    seed: int, method: SpreadMethod, lost_fraction: float
) -> None:
    started_at = time.process_time()
    fleet = SpreadFleet(seed, method)
    fleet.run(_WARM_UP_S - _STEADY_S)
    bytes_before_steady = sum(fleet.sent_bytes.values())
    fleet.run(_STEADY_S)
    steady_bytes_per_s = (
        sum(fleet.sent_bytes.values()) - bytes_before_steady
    ) / _STEADY_S
    rng = random.Random(seed + 2)
    lost_daemons = rng.sample(
        sorted(fleet.daemons), int(_MEMBERS * lost_fraction)
    )
    for daemon_id in lost_daemons:
        del fleet.daemons[daemon_id]
    ages_s = [
        age_s
        for daemon_id in fleet.daemons
        if (age_s := fleet.freshness[daemon_id].log_read_age()) is not None
    ]
    warm_up_reads = fleet.log_reads
    bytes_before = sum(fleet.sent_bytes.values())
    appended_at = fleet.clock.monotonic()
    fleet.append()
    while len(fleet.received_at.keys() & fleet.daemons.keys()) < len(
        fleet.daemons
    ):
        fleet.run(0.05)
        if fleet.clock.monotonic() - appended_at > _TIMEOUT_S:
            break
    elapsed_s = fleet.clock.monotonic() - appended_at
    delays_s = sorted(
        arrived_at - appended_at
        for member_id, arrived_at in fleet.received_at.items()
        if member_id in fleet.daemons
    )
    record_bytes = [
        fleet.record_bytes.get(member_id, 0) for member_id in fleet.daemons
    ]
    reads_per_s = warm_up_reads / _WARM_UP_S
    print(
        f'{method.value:26} {lost_fraction:4.0%} lost: half '
        f'{delays_s[len(delays_s) // 2]:.2f} s, 99% '
        f'{delays_s[int(len(delays_s) * 0.99)]:.2f} s, all '
        f'{delays_s[-1]:.2f} s ({len(delays_s)} of {len(fleet.daemons)}); '
        f'age of the last known read mean {statistics.fmean(ages_s):.2f} s, '
        f'highest {max(ages_s):.2f} s; '
        f'{reads_per_s:.0f} log reads/s; sent without records '
        f'{steady_bytes_per_s / _MEMBERS:.0f} B/s; record bytes sent by a '
        f'daemon mean {statistics.fmean(record_bytes):.0f}, highest '
        f'{max(record_bytes)}; all '
        f'bytes sent '
        f'{(sum(fleet.sent_bytes.values()) - bytes_before) / _MEMBERS:.0f} '
        f'per daemon in {elapsed_s:.2f} s; '
        f'{time.process_time() - started_at:.0f} s of processor time'
    )


def main() -> None:
    """Print delays, ages of log reads and bytes for each method."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(
        f'seed {seed}, {_MEMBERS} daemons, {_DOMAINS} failure domains, '
        f'{_READERS_PER_DOMAIN} readers in each, fan-out {_FAN_OUT}, record '
        f'of {len(_RECORD_BODY)} bytes'
    )
    for method in SpreadMethod:
        for lost_fraction in (0.0, 0.1):
            _measure_method(seed, method, lost_fraction)


if __name__ == '__main__':
    main()
