"""Counts the records that starts, planned stops and losses append.

Run with: script/python -m lab.append_cost
"""

import collections
import json
import signal
import time
import typing
import urllib.request

from lab import capacity_fleet
from lab import fleet

# Longer than takeover and balance (10 s) after a lost daemon (about 17 s).
_AFTER_EVENT_S: typing.Final = 30.0
_DAEMONS: typing.Final = 5


def _records(running: fleet.Fleet) -> list[dict[str, typing.Any]]:
    url = (
        f'http://{running.log_address}/streams/{capacity_fleet.STREAM}?from=0'
    )
    with urllib.request.urlopen(url, timeout=10.0) as answer:
        entries = json.loads(answer.read())['records']
    return [json.loads(entry['body']) for entry in entries]


def _report(running: fleet.Fleet, event: str, before: int) -> int:
    log = _records(running)
    kinds = collections.Counter(record['type'] for record in log[before:])
    size = sum(len(json.dumps(record)) for record in log[before:])
    print(f'{event}: {dict(kinds)}, {size} bytes')
    return len(log)


def main() -> None:
    """Print the records of each event."""
    specs = [
        fleet.DaemonSpec(
            daemon_id=f'daemon-{number}',
            service='service',
            failure_domain=f'domain-{number % capacity_fleet.DOMAINS}',
        )
        for number in range(_DAEMONS)
    ]
    with capacity_fleet.started(specs) as running:
        time.sleep(_AFTER_EVENT_S)
        seen = _report(running, f'start of {_DAEMONS} daemons', 0)
        owner = running.status('daemon-0')['partitions'][0]['owner']
        for number, name in (
            (signal.SIGTERM, owner),
            (signal.SIGKILL, None),
        ):
            name = name or running.status('daemon-0')['partitions'][0]['owner']
            running.signal_daemon(name, number)
            running.wait_stopped(name, 60.0)
            time.sleep(_AFTER_EVENT_S)
            event = f'{number.name} to {name}, an owner'
            seen = _report(running, event, seen)
            running.start_daemon(name)
            running.signal_upstream(name, signal.SIGKILL)
            running.start_upstream(name)
            time.sleep(_AFTER_EVENT_S)
            seen = _report(running, f'start of {name} again', seen)


if __name__ == '__main__':
    main()
