"""Measures applying a log of the size planned for two years.

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

_SERVICE_COUNT: typing.Final = 92
_REVISION_COUNT: typing.Final = 20
_MEMBER_COUNT: typing.Final = 750
_KEY_COUNT: typing.Final = 2000
_LOOKUP_COUNT: typing.Final = 20_000


class _NoPartitions:
    """Partition table that ignores records; its cost is measured elsewhere."""

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


def _make_configuration() -> configuration.Configuration:
    return configuration.Configuration(
        decode=codec.decode_record,
        check_document=documents.check_document,
        partitions=_NoPartitions(),
    )


def make_log_records() -> list[records.Record]:
    """Return a log of the size planned for two years."""
    log: list[records.Record] = []
    for revision in range(_REVISION_COUNT):
        for service in range(_SERVICE_COUNT):
            log.append(_make_publish_record(service, revision))
    for number in range(_KEY_COUNT):
        digest = hashlib.sha256(f'key-{number}'.encode()).hexdigest()
        log.append(
            records.GrantKey(
                publication_id=ids.PublicationId(f'grant-{number}'),
                key_id=ids.KeyId(f'key-{number}'),
                workspace=ids.Workspace(f'workspace-{number % 8}'),
                key_sha256=digest,
            )
        )
    log.extend(
        _make_announce_record(number) for number in range(_MEMBER_COUNT)
    )
    return log


def _make_publish_record(service: int, revision: int) -> records.Publish:
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


def _make_announce_record(number: int) -> records.Announce:
    return records.Announce(
        member=records.Member(
            daemon_id=ids.DaemonId(f'daemon-{number}'),
            incarnation=ids.Incarnation(1_700_000_000_000_000 + number),
            version=1,
            service=ids.ServiceName(f'service-{number % _SERVICE_COUNT}'),
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
    """Print the times to apply and look up, the sizes and the memory."""
    entries = [
        records.LogEntry(
            offset=ids.Offset(offset), body=codec.encode_record(record)
        )
        for offset, record in enumerate(make_log_records())
    ]
    replayed = _make_configuration()
    started_at = time.perf_counter()
    for entry in entries:
        replayed.apply(entry)
    elapsed_s = time.perf_counter() - started_at
    print(f'entries folded: {len(entries)} in {elapsed_s:.3f} s')
    started_at = time.perf_counter()
    body = codec.encode_record(replayed.snapshot())
    elapsed_s = time.perf_counter() - started_at
    print(f'snapshot: {len(body)} bytes, encoded in {elapsed_s * 1e3:.1f} ms')
    tracemalloc.start()
    restored = _make_configuration()
    started_at = time.perf_counter()
    snapshot = codec.decode_record(body)
    assert isinstance(snapshot, records.Snapshot)
    restored.apply_snapshot(snapshot)
    elapsed_s = time.perf_counter() - started_at
    del snapshot
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f'snapshot taken in {elapsed_s * 1e3:.1f} ms (memory traced)')
    print(f'state in memory: {held_bytes / 1e6:.1f} MB')
    for name, key in (('known', 'key-7'), ('unknown', 'key-x')):
        started_at = time.perf_counter()
        for _ in range(_LOOKUP_COUNT):
            restored.find_key(key)
        elapsed_s = (time.perf_counter() - started_at) / _LOOKUP_COUNT
        print(f'look-up of a key, {name}: {elapsed_s * 1e6:.2f} us')


if __name__ == '__main__':
    main()
