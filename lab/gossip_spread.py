"""Measures gossip about members among 750 daemons, in virtual time.

Run with: script/python -m lab.gossip_spread [SEED]
"""

import sys
import time
import typing

from lab import gossip
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records

_MEMBERS: typing.Final = 750
_DOMAINS: typing.Final = 10
# Time without changes before the ages of entries are measured.
_STEADY_S: typing.Final = 300.0


def _measure_spread_s(fleet: gossip.Fleet, changed: records.Member) -> float:
    """Run until all daemons know an entry; return the seconds, or inf."""
    started = fleet.clock.monotonic()
    while not all(
        (known := daemon.get(changed.daemon_id)) is not None
        and known.version >= changed.version
        and known.incarnation >= changed.incarnation
        for daemon in fleet.daemons.values()
    ):
        fleet.run(0.1)
        if fleet.clock.monotonic() - started > 120.0:
            return float('inf')
    return fleet.clock.monotonic() - started


def _measure_bytes_per_s(
    fleet: gossip.Fleet, seconds: float
) -> tuple[float, float]:
    """Return the mean and highest bytes per second sent by a daemon."""
    bytes_before = dict(fleet.sent_bytes)
    fleet.run(seconds)
    rates = [
        (fleet.sent_bytes[daemon_id] - bytes_before.get(daemon_id, 0))
        / seconds
        for daemon_id in fleet.daemons
    ]
    return sum(rates) / len(rates), max(rates)


def main() -> None:
    """Print the times until changes are known and the bytes sent."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    started = time.process_time()
    fleet = gossip.Fleet(seed)
    all_members = [
        gossip.make_member(index, _DOMAINS) for index in range(_MEMBERS)
    ]
    for own in all_members:
        fleet.add(own, all_members)
    print(f'seed {seed}, {_MEMBERS} members, {_DOMAINS} failure domains')
    mean, highest = _measure_bytes_per_s(fleet, 30.0)
    print(f'no changes: sent {mean:.0f} B/s mean, {highest:.0f} B/s highest')

    spread_times_s = []
    for number in range(5):
        daemon = fleet.daemons[ids.DaemonId(f'daemon-{number * 31}')]
        # The daemon forgets its connected peers, so that it pushes the change
        # to none of them and only gossip spreads it.
        daemon._heard_at.clear()
        spread_times_s.append(
            _measure_spread_s(fleet, daemon.update_own(slots=50))
        )
        fleet.run(5.0)
    print(
        'one changed entry at all members after '
        + ', '.join(f'{seconds:.1f}' for seconds in spread_times_s)
        + ' s'
    )

    newcomer = gossip.make_member(_MEMBERS, _DOMAINS)
    fleet.add(newcomer, all_members[:3])
    print(
        f'a new member at all members after '
        f'{_measure_spread_s(fleet, newcomer):.1f} s'
    )
    fleet.run(5.0)

    bytes_before = sum(fleet.sent_bytes.values())
    changed_at = fleet.clock.monotonic()
    last_changed = newcomer
    for number in range(75):
        daemon = fleet.daemons[ids.DaemonId(f'daemon-{number * 10}')]
        daemon._heard_at.clear()
        last_changed = daemon.update_own(
            upstream_status=enums.UpstreamStatus.COLD
        )
    while not all(
        daemon.get(changed.daemon_id) == changed
        for daemon in fleet.daemons.values()
        for changed in (
            fleet.daemons[ids.DaemonId(f'daemon-{index * 10}')].own
            for index in range(75)
        )
    ):
        fleet.run(0.1)
    elapsed_s = fleet.clock.monotonic() - changed_at
    bytes_per_daemon = (sum(fleet.sent_bytes.values()) - bytes_before) / len(
        fleet.daemons
    )
    print(
        f'75 entries changed at once ({last_changed.failure_domain}): at all '
        f'members after {elapsed_s:.1f} s, sent '
        f'{bytes_per_daemon / elapsed_s:.0f} B/s mean meanwhile'
    )
    fleet.run(5.0)

    # Five changes per second, as during the restart of a failure domain.
    bytes_before = sum(fleet.sent_bytes.values())
    for number in range(100):
        daemon = fleet.daemons[ids.DaemonId(f'daemon-{number * 7}')]
        daemon._heard_at.clear()
        daemon.update_own(slots=40)
        fleet.run(0.2)
    bytes_per_daemon = (sum(fleet.sent_bytes.values()) - bytes_before) / len(
        fleet.daemons
    )
    print(
        f'five changes a second for 20 s: sent '
        f'{bytes_per_daemon / 20:.0f} B/s mean'
    )
    fleet.run(10.0)

    fleet.log_read_age_s = 10.0
    mean, highest = _measure_bytes_per_s(fleet, 10.0)
    print(f'log outage: sent {mean:.0f} B/s mean, {highest:.0f} B/s highest')
    fleet.log_read_age_s = 0.5
    fleet.run(_STEADY_S)
    oldest = max(
        daemon.age(own.daemon_id) or 0.0
        for daemon in fleet.daemons.values()
        for own in all_members
    )
    print(
        f'after {fleet.clock.monotonic() - 1000.0:.0f} s the oldest news of a '
        f'running member is {oldest:.0f} s old'
    )
    processor_s = time.process_time() - started
    # The clock of a fleet starts at 1000 s.
    daemon_s = len(fleet.daemons) * (fleet.clock.monotonic() - 1000.0)
    print(
        f'took {processor_s:.0f} s of processor time, '
        f'{processor_s / daemon_s * 1e3:.2f} ms per daemon and second'
    )


if __name__ == '__main__':
    main()
