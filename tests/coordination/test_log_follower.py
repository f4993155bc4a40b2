"""Tests of the reader of the log."""

import anyio
import pytest

from sassafraswood import clock as clock_module
from sassafraswood.coordination import configuration
from sassafraswood.coordination import log_follower
from sassafraswood import exceptions
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.protocol import codec
from sassafraswood.protocol import documents
from sassafraswood.state import partitions

pytestmark = pytest.mark.anyio


class _FailingLog:
    """A log without the old records that fails during the recovery.

    The second read, which looks for a snapshot, raises an error.
    """

    def __init__(self) -> None:
        self.reads = 0
        self.has_recovered = anyio.Event()

    async def async_append(self, body: bytes) -> ids.Offset:
        raise exceptions.LogUnavailableError(body.decode())

    async def async_read(
        self, start: ids.Offset, wait_s: float
    ) -> tuple[list[records.LogEntry], ids.Offset]:
        del wait_s
        self.reads += 1
        if self.reads == 2:
            raise exceptions.LogUnavailableError('down')
        if self.reads > 2:
            self.has_recovered.set()
        if start < 5:
            raise exceptions.LogRetentionError(5)
        return [], start


async def test_log_failure_during_recovery_does_not_end_the_follower() -> None:
    """Guards against a daemon that ends when the log fails in a recovery.

    The daemon has fallen behind the retention and looks for a snapshot.
    """
    log = _FailingLog()
    readable_changes: list[bool] = []
    follower = log_follower.LogFollower(
        clock=clock_module.ManualClock(),
        log=log,
        configuration=configuration.Configuration(
            decode=codec.decode_record,
            check_document=documents.check_document,
            partitions=partitions.PartitionTable(),
        ),
        decode=codec.decode_record,
        on_change=lambda record: None,
        on_tail_read=lambda started_at: None,
        on_records_missing=lambda: None,
        on_readable_change=readable_changes.append,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        with anyio.fail_after(10):
            await log.has_recovered.wait()
        tasks.cancel_scope.cancel()
    assert readable_changes[0] is False
