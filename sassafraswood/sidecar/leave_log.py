"""Keeps in the store which upstreams have left this VM."""

import asyncio
from collections.abc import Callable, Coroutine
import random as random_module
from typing import Any, Final

from sassafraswood.coordination import upstream_registry
from sassafraswood import exceptions
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.platform import leaves as leave_records
from sassafraswood.platform import store as store_module
from sassafraswood.transport import json_log

# The sender of a report waits one second for its acknowledgement; a slow
# store takes about 0.3 s.
MAX_WAIT_S: Final = 0.5
# Pause after a failed call, in seconds, and its random part.
RETRY_S: Final = 0.3
RETRY_JITTER_S: Final = 0.3
# Delayed reports of more upstreams than this at one address are not expected
# within the time in which a daemon restarts.
MAX_KEPT: Final = 8


class LeaveLog:
    """Writes leaves before they are acknowledged.

    The next process on this VM then ignores reports from before the leave
    that arrive late.
    """

    def __init__(
        self,
        *,
        daemon_id: ids.DaemonId,
        random: random_module.Random,
        registry: upstream_registry.UpstreamRegistry,
        store: store_module.StoreClient,
        log: json_log.JsonLog,
        on_loaded: Callable[[], None],
    ) -> None:
        """Take the parts; on_loaded is called once all leaves are known."""
        self._daemon_id = daemon_id
        self._random = random
        self._registry = registry
        self._store = store
        self._log = log
        self._on_loaded = on_loaded
        self._leaves: list[fleet.UpstreamLeave] = []
        self._is_loaded = asyncio.Event()
        self._written: dict[fleet.UpstreamLeave, asyncio.Event] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, *, is_first_start: bool) -> None:
        """Begin to read what former processes of this daemon wrote."""
        if is_first_start:
            self._is_loaded.set()
            return
        self._spawn(self._async_load())

    def stop(self) -> None:
        """End all calls."""
        for task in self._tasks:
            task.cancel()

    def record(
        self, leave: fleet.UpstreamLeave, acknowledge: Callable[[], None]
    ) -> None:
        """Write a leave once; acknowledge when it is written, or late."""
        written = self._written.get(leave)
        if written is None:
            written = self._written[leave] = asyncio.Event()
            self._leaves.append(leave)
            self._spawn(self._async_write(leave, written))
        if written.is_set():
            acknowledge()
            return
        self._spawn(self._async_acknowledge(leave, written, acknowledge))

    def _spawn(self, routine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(routine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_acknowledge(
        self,
        leave: fleet.UpstreamLeave,
        written: asyncio.Event,
        acknowledge: Callable[[], None],
    ) -> None:
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await written.wait()
        except TimeoutError:
            self._log.change(
                'leave_not_stored',
                instance=leave.instance_id,
                waited_s=MAX_WAIT_S,
            )
        acknowledge()

    async def _async_write(
        self, leave: fleet.UpstreamLeave, written: asyncio.Event
    ) -> None:
        await self._is_loaded.wait()
        while True:
            record = store_module.StoredRecord(
                key=self._daemon_id,
                value=leave_records.encode(self._leaves[-MAX_KEPT:]),
            )
            try:
                await self._store.async_append(leave_records.TOPIC, record)
            except exceptions.LogError as error:
                await self._async_pause('leave_write_failed', error)
                continue
            break
        written.set()
        self._log.change('leave_stored', instance=leave.instance_id)

    async def _async_load(self) -> None:
        while True:
            try:
                page = await self._store.async_newest(leave_records.TOPIC)
            except (exceptions.LogError, exceptions.DecodeError) as error:
                await self._async_pause('leaves_not_read', error)
                continue
            break
        self._take(page.records)
        self._on_loaded()

    def _take(self, records: list[store_module.StoredRecord]) -> None:
        found: list[fleet.UpstreamLeave] = []
        for record in records:
            if record.key != self._daemon_id:
                continue
            try:
                found = leave_records.decode(record.value)
            except exceptions.DecodeError as error:
                self._log.change('leaves_rejected', error=str(error))
        self._leaves[:0] = found
        self._is_loaded.set()
        self._registry.note_leaves(found)
        self._log.change('leaves_known', count=len(found))

    async def _async_pause(
        self, event: str, error: exceptions.SassafraswoodError
    ) -> None:
        self._log.decision(event, error=str(error))
        await asyncio.sleep(RETRY_S + RETRY_JITTER_S * self._random.random())
