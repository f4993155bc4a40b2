"""Measures the fold of the log at the size planned for two years.

Run with: script/python -m lab.configuration_cost
"""

import hashlib
import time
import tracemalloc
import typing

from sassafraswood.coordination import configuration
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.protocol import codec
from sassafraswood.protocol import documents

_SERVICES: typing.Final = 92
_REVISIONS: typing.Final = 20
_MEMBERS: typing.Final = 750
_KEYS: typing.Final = 2000
_LOOK_UPS: typing.Final = 20_000


class _NoPartitions:
    """The fold of partitions is measured elsewhere."""

    def apply(self, record: records.Record, offset: ids.Offset) -> bool:
        return False

    def get(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        return None

    def entries(self) -> list[records.PartitionEntry]:
        return []

    def restore(self, entries: list[records.PartitionEntry]) -> None:
        pass


def _new() -> configuration.Configuration:
    return configuration.Configuration(
        decode=codec.decode_record,
        check_document=documents.check_document,
        partitions=_NoPartitions(),
    )


def log_records() -> list[records.Record]:
    """Return a log of the size planned for two years."""
    log: list[records.Record] = []
    for revision in range(_REVISIONS):
        for service in range(_SERVICES):
            log.append(_publish(service, revision))
    for number in range(_KEYS):
        digest = hashlib.sha256(f'key-{number}'.encode()).hexdigest()
        log.append(
            records.GrantKey(
                publication_id=ids.PublicationId(f'grant-{number}'),
                key_id=ids.KeyId(f'key-{number}'),
                workspace=ids.Workspace(f'workspace-{number % 8}'),
                key_sha256=digest,
            )
        )
    log.extend(_announce(number) for number in range(_MEMBERS))
    return log


def _publish(service: int, revision: int) -> records.Publish:
    return records.Publish(
        publication_id=ids.PublicationId(f'publish-{service}-{revision}'),
        service=ids.ServiceName(f'service-{service}'),
        replaces=ids.Revision(revision),
        document={
            'version': 1,
            'service': f'service-{service}',
            'routes': [{'path': f'/resource-{n}/{{id}}'} for n in range(10)],
            'workspaces': {
                f'workspace-{n}': {'rate': 100, 'burst': 200} for n in range(8)
            },
        },
    )


def _announce(number: int) -> records.Announce:
    return records.Announce(
        member=records.Member(
            daemon_id=ids.DaemonId(f'daemon-{number}'),
            incarnation=ids.Incarnation(1_700_000_000_000_000 + number),
            version=1,
            service=ids.ServiceName(f'service-{number % _SERVICES}'),
            failure_domain=ids.FailureDomain(f'domain-{number % 10}'),
            region='north',
            peer_address=f'10.0.{number // 250}.{number % 250}:8090',
            http_address=f'10.0.{number // 250}.{number % 250}:8080',
            status=enums.MemberStatus.ACTIVE,
            upstream_status=enums.UpstreamStatus.READY,
            slots=60,
        )
    )


def main() -> None:
    """Print times, sizes and memory."""
    entries = [
        records.LogEntry(
            offset=ids.Offset(offset), body=codec.encode_record(record)
        )
        for offset, record in enumerate(log_records())
    ]
    folded = _new()
    started = time.perf_counter()
    for entry in entries:
        folded.apply(entry)
    elapsed = time.perf_counter() - started
    print(f'entries folded: {len(entries)} in {elapsed:.3f} s')
    started = time.perf_counter()
    body = codec.encode_record(folded.snapshot())
    elapsed = time.perf_counter() - started
    print(f'snapshot: {len(body)} bytes, encoded in {elapsed * 1e3:.1f} ms')
    tracemalloc.start()
    restored = _new()
    started = time.perf_counter()
    snapshot = codec.decode_record(body)
    assert isinstance(snapshot, records.Snapshot)
    restored.apply_snapshot(snapshot)
    elapsed = time.perf_counter() - started
    del snapshot
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f'snapshot taken in {elapsed * 1e3:.1f} ms (memory traced)')
    print(f'state in memory: {held / 1e6:.1f} MB')
    for name, key in (('known', 'key-7'), ('unknown', 'key-x')):
        started = time.perf_counter()
        for _ in range(_LOOK_UPS):
            restored.find_key(key)
        elapsed = (time.perf_counter() - started) / _LOOK_UPS
        print(f'look-up of a key, {name}: {elapsed * 1e6:.2f} us')


if __name__ == '__main__':
    main()
