"""Tests of what the next process knows of the upstreams that have left."""

import asyncio
import random

from lab import platform_store
from sassafraswood.models import crash
from sassafraswood.models import fleet
from sassafraswood.models import ids
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
        self,
        address: tuple[str, int],
        descriptor: int,
        *,
        is_first: bool,
        daemon_id: str = 'd1',
    ) -> None:
        """Load the records of the former process, unless it is the first."""
        self.registry = Registry()
        self.loaded = asyncio.Event()
        self.crashes: list[crash.CrashRecord] = []
        self.log = upstream_log.UpstreamLog(
            daemon_id=ids.DaemonId(daemon_id),
            random=random.Random(1),
            registry=self.registry,
            store=store_module.StoreClient(address),
            log=json_log.JsonLog('d1', descriptor),
            on_loaded=lambda present: self.loaded.set(),
            on_crashes_loaded=self.crashes.extend,
        )
        self.log.start(is_first_start=is_first)

    async def async_leave(self, leave: fleet.UpstreamProcess) -> None:
        """Wait until a leave is acknowledged and stored."""
        acknowledged = asyncio.Event()
        self.log.record_leave(leave, acknowledged.set)
        await acknowledged.wait()
        while self.log.has_unstored_records:
            await asyncio.sleep(0.01)

    def record_crash(self, number: int) -> None:
        """Record a crash."""
        self.log.record_crash(
            crash.CrashRecord(
                record_id=f'i-{number}/{number}',
                service=ids.ServiceName('front'),
                ended_at=float(number),
                suspects=(),
            )
        )

    async def async_crash(self, number: int) -> None:
        """Record a crash and wait until its record is stored."""
        self.record_crash(number)
        while self.log.pending_count:
            await asyncio.sleep(0.01)


async def async_load_leaves(
    address: tuple[str, int], descriptor: int
) -> list[fleet.UpstreamProcess]:
    """Return the leaves that the next process loads."""
    process = Process(address, descriptor, is_first=False)
    await process.loaded.wait()
    process.log.stop()
    return process.registry.leaves


async def async_load_crashes(
    address: tuple[str, int], descriptor: int
) -> list[float]:
    """Return the times of the crashes that the next process loads."""
    process = Process(address, descriptor, is_first=False)
    await process.loaded.wait()
    process.log.stop()
    return [record.ended_at for record in process.crashes]


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


# Guards against crashes that daemons forget in a restart, since a record of
# the next process has replaced them: a request that crashes upstreams is
# accepted again.
def test_crashes_of_former_processes_are_kept(tmp_path) -> None:
    """Each process stores one crash; the oldest is dropped at the limit.

    The crash of another daemon, stored before, stays.
    """
    limit = 8

    async def async_main(store, address, descriptor) -> None:
        other = Process(address, descriptor, is_first=True, daemon_id='d10')
        await other.async_crash(100)
        other.log.stop()
        for number in range(limit + 2):
            process = Process(address, descriptor, is_first=number == 0)
            await process.async_crash(number)
            process.log.stop()
            crashes = await async_load_crashes(address, descriptor)
            assert crashes == [100, *[*range(number + 1)][-limit:]]

    run(tmp_path, async_main)


# Guards against a stored crash that is replaced by a late append of the former
# process.
def test_late_append_of_the_former_process_replaces_no_crash(
    tmp_path,
) -> None:
    """Both crashes are known to the next process."""

    async def async_main(store, address, descriptor) -> None:
        former = Process(address, descriptor, is_first=True)
        store.late_s = 1.0
        former.record_crash(0)
        while not store.calls:
            await asyncio.sleep(0.01)
        former.log.stop()
        store.late_s = 0.0
        process = Process(address, descriptor, is_first=False)
        for number in range(1, 8):
            await process.async_crash(number)
        process.log.stop()
        await asyncio.sleep(1.0)
        crashes = await async_load_crashes(address, descriptor)
        assert set(crashes) == set(range(8))

    run(tmp_path, async_main)


# Guards against a stop that ends before a crash is stored, although the store
# is available.
def test_crash_counts_as_unstored_until_it_is_written(tmp_path) -> None:
    """A stop waits while this holds (sidecar/process.py)."""

    async def async_main(store, address, descriptor) -> None:
        process = Process(address, descriptor, is_first=True)
        store.delay_s = 0.2
        written = asyncio.create_task(process.async_crash(1))
        await asyncio.sleep(0.05)
        assert process.log.has_unstored_records
        await written
        assert not process.log.has_unstored_records
        process.log.stop()

    run(tmp_path, async_main)
