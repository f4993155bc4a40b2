"""Tests of following the log."""

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


class _Log:
    """A log past retention that fails while a snapshot is looked for."""

    def __init__(self) -> None:
        self.reads = 0
        self.is_back = anyio.Event()

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
            self.is_back.set()
        if start < 5:
            raise exceptions.LogRetentionError(5)
        return [], start


async def test_log_that_fails_during_a_skip_ends_no_daemon() -> None:
    """Guards against a daemon that ends when the log goes down twice."""
    log = _Log()
    states: list[bool] = []
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
        on_read=lambda started_at: None,
        on_retention=lambda: None,
        on_state=states.append,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.async_run)
        with anyio.fail_after(10):
            await log.is_back.wait()
        tasks.cancel_scope.cancel()
    assert states[0] is False
