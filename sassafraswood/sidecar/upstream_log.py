"""Keeps in the store which upstreams left this VM, ended, or are there."""

import asyncio
from collections.abc import Callable, Coroutine
import random as random_module
from typing import Any, Final

from sassafraswood.coordination import crash_counts
from sassafraswood.coordination import upstream_registry
from sassafraswood import exceptions
from sassafraswood.models import crash
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.platform import store as store_module
from sassafraswood.platform import upstream_records
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


class UpstreamLog:
    """Tells the next process on this VM what this one knew.

    Leaves are written before they are acknowledged; the next process then
    ignores reports from before a leave that arrive late. The upstream that is
    there is written once, so that the next process need not wait for a report.
    """

    def __init__(
        self,
        *,
        daemon_id: ids.DaemonId,
        random: random_module.Random,
        registry: upstream_registry.UpstreamRegistry,
        store: store_module.StoreClient,
        log: json_log.JsonLog,
        on_loaded: Callable[[fleet.KnownUpstream | None], None],
        on_ends: Callable[[list[crash.CrashRecord]], None],
    ) -> None:
        """Take the parts.

        Args:
            daemon_id: This daemon.
            random: Spreads calls after failures.
            registry: Takes the leaves that the former process wrote.
            store: Client of the store.
            log: Log lines.
            on_loaded: Called once with the upstream that the former process
                knew last, if it wrote one.
            on_ends: Called once with the ends of upstreams on all VMs.
        """
        self._daemon_id = daemon_id
        self._random = random
        self._registry = registry
        self._store = store
        self._log = log
        self._on_loaded = on_loaded
        self._on_ends = on_ends
        # Of the next end; a former process may have written to any of them.
        self._end_number = random.randrange(upstream_records.MAX_ENDS)
        self._leaves: list[fleet.UpstreamStart] = []
        self._present: fleet.KnownUpstream | None = None
        self._is_loaded = asyncio.Event()
        self._written: dict[fleet.UpstreamStart, asyncio.Event] = {}
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

    def note_present(self, report: fleet.UpstreamReport) -> None:
        """Write which upstream is there, if that is news."""
        upstream = fleet.KnownUpstream(
            instance_id=report.instance_id,
            born=report.born,
            slots=report.slots,
        )
        if upstream != self._present:
            self._present = upstream
            self._spawn(self._async_write_present(upstream))

    def note_end(self, record: crash.CrashRecord) -> None:
        """Write that an upstream has ended without a leave."""
        key = upstream_records.end_key(self._daemon_id, self._end_number)
        self._end_number += 1
        self._spawn(
            self._async_write_end(
                store_module.StoredRecord(
                    key=key, value=upstream_records.encode_end(record)
                )
            )
        )

    def record(
        self, leave: fleet.UpstreamStart, acknowledge: Callable[[], None]
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
        leave: fleet.UpstreamStart,
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
        self, leave: fleet.UpstreamStart, written: asyncio.Event
    ) -> None:
        await self._is_loaded.wait()
        while True:
            record = store_module.StoredRecord(
                key=upstream_records.leaves_key(self._daemon_id),
                value=upstream_records.encode_leaves(self._leaves[-MAX_KEPT:]),
            )
            try:
                await self._store.async_append(upstream_records.TOPIC, record)
            except exceptions.LogError as error:
                await self._async_pause('leave_write_failed', error)
                continue
            break
        written.set()
        self._log.change('leave_stored', instance=leave.instance_id)

    async def _async_write_present(
        self, upstream: fleet.KnownUpstream
    ) -> None:
        record = store_module.StoredRecord(
            key=upstream_records.upstream_key(self._daemon_id),
            value=upstream_records.encode_upstream(upstream),
        )
        await self._is_loaded.wait()
        while upstream == self._present:
            try:
                await self._store.async_append(upstream_records.TOPIC, record)
            except exceptions.LogError as error:
                await self._async_pause('upstream_write_failed', error)
                continue
            self._log.change('upstream_stored', instance=upstream.instance_id)
            return

    async def _async_write_end(
        self, record: store_module.StoredRecord
    ) -> None:
        until = asyncio.get_running_loop().time() + crash_counts.MEMORY_S
        while asyncio.get_running_loop().time() < until:
            try:
                await self._store.async_append(upstream_records.TOPIC, record)
            except exceptions.LogError as error:
                await self._async_pause('end_write_failed', error)
                continue
            self._log.change('end_stored', key=record.key)
            return

    async def _async_load(self) -> None:
        while True:
            try:
                page = await self._store.async_newest(upstream_records.TOPIC)
            except (exceptions.LogError, exceptions.DecodeError) as error:
                await self._async_pause('upstreams_not_read', error)
                continue
            break
        self._on_loaded(self._take(page.records))

    def _take(
        self, records: list[store_module.StoredRecord]
    ) -> fleet.KnownUpstream | None:
        """Take the leaves; return the upstream that was there."""
        leaves: list[fleet.UpstreamStart] = []
        present: fleet.KnownUpstream | None = None
        ends: list[crash.CrashRecord] = []
        for record in records:
            try:
                if upstream_records.is_end(record.key):
                    ends.append(upstream_records.decode_end(record.value))
                if record.key == upstream_records.leaves_key(self._daemon_id):
                    leaves = upstream_records.decode_leaves(record.value)
                if record.key == upstream_records.upstream_key(
                    self._daemon_id
                ):
                    present = upstream_records.decode_upstream(record.value)
            except exceptions.DecodeError as error:
                self._log.change(
                    'upstream_record_rejected',
                    key=record.key,
                    error=str(error),
                )
        self._leaves[:0] = leaves
        if self._present is None:
            self._present = present
        self._is_loaded.set()
        self._registry.note_leaves(leaves, present)
        self._log.change(
            'upstreams_known',
            left=len(leaves),
            present='' if present is None else present.instance_id,
            ends=len(ends),
        )
        self._on_ends(ends)
        return present

    async def _async_pause(
        self, event: str, error: exceptions.SassafraswoodError
    ) -> None:
        self._log.decision(event, error=str(error))
        await asyncio.sleep(RETRY_S + RETRY_JITTER_S * self._random.random())
