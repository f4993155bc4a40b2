"""Measures gossip about members at 750 daemons, in seeded virtual time.

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
_STEADY_S: typing.Final = 300.0


def _spread_s(fleet: gossip.Fleet, changed: records.Member) -> float:
    """Return the seconds until all daemons have an entry."""
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


def _bytes_per_s(fleet: gossip.Fleet, seconds: float) -> tuple[float, float]:
    """Return mean and highest bytes/s that one daemon sends."""
    before = dict(fleet.sent_bytes)
    fleet.run(seconds)
    rates = [
        (fleet.sent_bytes[daemon_id] - before.get(daemon_id, 0)) / seconds
        for daemon_id in fleet.daemons
    ]
    return sum(rates) / len(rates), max(rates)


def main() -> None:
    """Print times and bytes."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    started = time.process_time()
    fleet = gossip.Fleet(seed)
    everyone = [gossip.member(n, _DOMAINS) for n in range(_MEMBERS)]
    for own in everyone:
        fleet.add(own, everyone)
    print(f'seed {seed}, {_MEMBERS} members, {_DOMAINS} failure domains')
    mean, most = _bytes_per_s(fleet, 30.0)
    print(f'no changes: sent {mean:.0f} B/s mean, {most:.0f} B/s highest')

    times = []
    for number in range(5):
        daemon = fleet.daemons[ids.DaemonId(f'daemon-{number * 31}')]
        # Slots are changed without connected peers, so only gossip spreads.
        daemon._heard_at.clear()
        times.append(_spread_s(fleet, daemon.update_own(slots=50)))
        fleet.run(5.0)
    print(
        'one changed entry at all members after '
        + ', '.join(f'{seconds:.1f}' for seconds in times)
        + ' s'
    )

    own = gossip.member(_MEMBERS, _DOMAINS)
    fleet.add(own, everyone[:3])
    print(f'a new member at all members after {_spread_s(fleet, own):.1f} s')
    fleet.run(5.0)

    before = sum(fleet.sent_bytes.values())
    begun = fleet.clock.monotonic()
    last = own
    for number in range(75):
        daemon = fleet.daemons[ids.DaemonId(f'daemon-{number * 10}')]
        daemon._heard_at.clear()
        last = daemon.update_own(upstream_status=enums.UpstreamStatus.COLD)
    while not all(
        daemon.get(m.daemon_id) == m
        for daemon in fleet.daemons.values()
        for m in (
            fleet.daemons[ids.DaemonId(f'daemon-{n * 10}')].own
            for n in range(75)
        )
    ):
        fleet.run(0.1)
    elapsed = fleet.clock.monotonic() - begun
    sent = (sum(fleet.sent_bytes.values()) - before) / len(fleet.daemons)
    print(
        f'75 entries changed at once ({last.failure_domain}): at all members '
        f'after {elapsed:.1f} s, sent {sent / elapsed:.0f} B/s mean meanwhile'
    )
    fleet.run(5.0)

    # Five changes a second, as when a failure domain starts again.
    before = sum(fleet.sent_bytes.values())
    for number in range(100):
        daemon = fleet.daemons[ids.DaemonId(f'daemon-{number * 7}')]
        daemon._heard_at.clear()
        daemon.update_own(slots=40)
        fleet.run(0.2)
    sent = (sum(fleet.sent_bytes.values()) - before) / len(fleet.daemons)
    print(f'five changes a second for 20 s: sent {sent / 20:.0f} B/s mean')
    fleet.run(10.0)

    fleet.log_read_age_s = 10.0
    mean, most = _bytes_per_s(fleet, 10.0)
    print(f'log outage: sent {mean:.0f} B/s mean, {most:.0f} B/s highest')
    fleet.log_read_age_s = 0.5
    fleet.run(_STEADY_S)
    oldest = max(
        daemon.age(own.daemon_id) or 0.0
        for daemon in fleet.daemons.values()
        for own in everyone
    )
    print(
        f'after {fleet.clock.monotonic() - 1000.0:.0f} s the oldest news of a '
        f'running member is {oldest:.0f} s old'
    )
    elapsed = time.process_time() - started
    daemon_s = len(fleet.daemons) * (fleet.clock.monotonic() - 1000.0)
    print(
        f'took {elapsed:.0f} s of processor time, '
        f'{elapsed / daemon_s * 1e3:.2f} ms per daemon and second'
    )


if __name__ == '__main__':
    main()
