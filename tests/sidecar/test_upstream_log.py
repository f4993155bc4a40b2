"""Tests of what the next process knows of the upstreams that have left."""

import asyncio
import random

from lab import platform_store
from sassafraswood.models import fleet
from sassafraswood.platform import store as store_module
from sassafraswood.platform import upstream_records
from sassafraswood.sidecar import upstream_log
from sassafraswood.transport import json_log

FIRST = fleet.UpstreamProcess(instance_id='i-1', born=1)
SECOND = fleet.UpstreamProcess(instance_id='i-2', born=2)
# Time after which an append without a response is stored. Until then the same
# leave is stored again, and the next one, too.
LATE_S = 2.2
TIMEOUT_S = 6.0


class Registry:
    """Keeps the leaves that were loaded."""

    def __init__(self) -> None:
        """Initialize without leaves."""
        self.leaves: list[fleet.UpstreamProcess] = []

    def record_leaves(self, leaves, present) -> None:
        """Record the leaves."""
        del present
        self.leaves += leaves


class Process:
    """The part of a daemon process that stores leaves."""

    def __init__(
        self, address: tuple[str, int], descriptor: int, *, is_first: bool
    ) -> None:
        """Load the records of the former process, unless it is the first."""
        self.registry = Registry()
        self.loaded = asyncio.Event()
        self.log = upstream_log.UpstreamLog(
            daemon_id='d1',
            random=random.Random(1),
            registry=self.registry,
            store=store_module.StoreClient(address),
            log=json_log.JsonLog('d1', descriptor),
            on_loaded=lambda present: self.loaded.set(),
            on_crashes_loaded=lambda records: None,
        )
        self.log.start(is_first_start=is_first)

    async def async_leave(self, leave: fleet.UpstreamProcess) -> None:
        """Wait until a leave is acknowledged and stored."""
        acknowledged = asyncio.Event()
        self.log.record_leave(leave, acknowledged.set)
        await acknowledged.wait()
        while self.log.has_unstored_leaves:
            await asyncio.sleep(0.01)


async def async_load_leaves(
    address: tuple[str, int], descriptor: int
) -> list[fleet.UpstreamProcess]:
    """Return the leaves that the next process loads."""
    process = Process(address, descriptor, is_first=False)
    await process.loaded.wait()
    process.log.stop()
    return process.registry.leaves


def run(tmp_path, async_main) -> None:
    """Run a test with a store, its address and a descriptor of a log."""

    async def async_run(descriptor: int) -> None:
        store = platform_store.PlatformStore()
        address = await store.async_start()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await async_main(store, address, descriptor)
        finally:
            store.stop()

    with (tmp_path / 'log').open('wb') as log:
        asyncio.run(async_run(log.fileno()))


# Guards against a stored leave that is replaced by a record without it, which
# was sent before and is stored late.
def test_late_append_replaces_no_later_leave(tmp_path) -> None:
    """The next process knows both of two leaves in quick succession."""

    async def async_main(store, address, descriptor) -> None:
        process = Process(address, descriptor, is_first=True)
        store.late_s = LATE_S
        first = asyncio.create_task(process.async_leave(FIRST))
        await asyncio.sleep(0.1)
        store.late_s = 0.0
        await first
        await process.async_leave(SECOND)
        process.log.stop()
        leaves = await async_load_leaves(address, descriptor)
        assert leaves == [FIRST, SECOND]
        await asyncio.sleep(LATE_S)
        leaves = await async_load_leaves(address, descriptor)
        assert set(leaves) == {FIRST, SECOND}

    run(tmp_path, async_main)


# Guards against a stored leave that is replaced by a late append of the former
# process.
def test_late_append_of_the_former_process_replaces_no_leave(tmp_path) -> None:
    """A leave that this process has stored is known to the next one."""

    async def async_main(store, address, descriptor) -> None:
        former = Process(address, descriptor, is_first=True)
        store.late_s = 1.0
        former.log.record_leave(FIRST, lambda: None)
        await asyncio.sleep(0.1)
        former.log.stop()
        store.late_s = 0.0
        process = Process(address, descriptor, is_first=False)
        await process.async_leave(SECOND)
        process.log.stop()
        await asyncio.sleep(1.0)
        leaves = await async_load_leaves(address, descriptor)
        assert set(leaves) == {FIRST, SECOND}

    run(tmp_path, async_main)


# Guards against records that grow with each upstream that leaves.
def test_only_the_newest_leaves_are_kept(tmp_path) -> None:
    """Older leaves are dropped, also those of former processes."""
    leaves = [
        fleet.UpstreamProcess(instance_id=f'i-{number}', born=number)
        for number in range(2 * upstream_log.MAX_STORED_LEAVES)
    ]

    async def async_main(store, address, descriptor) -> None:
        for is_first, part in ((True, leaves[:5]), (False, leaves[5:])):
            process = Process(address, descriptor, is_first=is_first)
            for leave in part:
                await process.async_leave(leave)
            await asyncio.sleep(0.1)
            process.log.stop()
        assert (
            await async_load_leaves(address, descriptor)
            == leaves[-upstream_log.MAX_STORED_LEAVES :]
        )

    run(tmp_path, async_main)


# Guards against leaves that are forgotten when a daemon is replaced by a newer
# version.
def test_leaves_of_a_former_version_are_known(tmp_path) -> None:
    """Leaves that are in one record are loaded, too."""

    async def async_main(store, address, descriptor) -> None:
        store.put(
            upstream_records.TOPIC,
            'd1/left',
            upstream_records.encode_leaves([FIRST, SECOND]),
        )
        assert await async_load_leaves(address, descriptor) == [FIRST, SECOND]

    run(tmp_path, async_main)
