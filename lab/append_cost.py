"""Counts the log records appended when daemons start, stop and crash.

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

# Longer than the takeover from a lost daemon (about 17 s) and the rebalancing
# (10 s) that follows.
_EVENT_WAIT_S: typing.Final = 30.0
_DAEMON_COUNT: typing.Final = 5


def _read_records(running: fleet.Fleet) -> list[dict[str, typing.Any]]:
    url = (
        f'http://{running.log_address}/streams/'
        f'{capacity_fleet.LOG_STREAM}?from=0'
    )
    with urllib.request.urlopen(url, timeout=10.0) as response:
        entries = json.loads(response.read())['records']
    return [json.loads(entry['body']) for entry in entries]


def _print_new_records(
    running: fleet.Fleet, event: str, known_count: int
) -> int:
    log_records = _read_records(running)
    type_counts = collections.Counter(
        record['type'] for record in log_records[known_count:]
    )
    size_bytes = sum(
        len(json.dumps(record)) for record in log_records[known_count:]
    )
    print(f'{event}: {dict(type_counts)}, {size_bytes} bytes')
    return len(log_records)


def main() -> None:
    """Print the number of records by type, and their size, for each event."""
    specs = [
        fleet.DaemonSpec(
            daemon_id=f'daemon-{number}',
            service='service',
            failure_domain=f'domain-{number % capacity_fleet.DOMAIN_COUNT}',
        )
        for number in range(_DAEMON_COUNT)
    ]
    with capacity_fleet.run_fleet(specs) as running:
        time.sleep(_EVENT_WAIT_S)
        record_count = _print_new_records(
            running, f'start of {_DAEMON_COUNT} daemons', 0
        )
        owner = running.fetch_status('daemon-0')['partitions'][0]['owner']
        for signal_number, name in (
            (signal.SIGTERM, owner),
            (signal.SIGKILL, None),
        ):
            name = (
                name
                or running.fetch_status('daemon-0')['partitions'][0]['owner']
            )
            running.signal_daemon(name, signal_number)
            running.wait_for_exit(name, 60.0)
            time.sleep(_EVENT_WAIT_S)
            event = f'{signal_number.name} to {name}, an owner'
            record_count = _print_new_records(running, event, record_count)
            running.start_daemon(name)
            running.signal_upstream(name, signal.SIGKILL)
            running.start_upstream(name)
            time.sleep(_EVENT_WAIT_S)
            record_count = _print_new_records(
                running, f'start of {name} again', record_count
            )


if __name__ == '__main__':
    main()
