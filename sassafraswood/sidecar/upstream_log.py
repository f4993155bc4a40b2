"""Stores which upstreams left this VM, crashed on it or run on it."""

import asyncio
from collections.abc import Callable, Coroutine
import random as random_module
import traceback
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

# Longest wait for the store before a leave is acknowledged. The upstream waits
# one second for the acknowledgement; a slow store takes about 0.3 s.
MAX_ACKNOWLEDGEMENT_WAIT_S: Final = 0.5
# Pause after a failed call of the store, plus a random time up to the jitter.
RETRY_PAUSE_S: Final = 0.3
RETRY_JITTER_S: Final = 0.3
# Newest leaves that are stored. While a daemon restarts, delayed reports are
# expected of no more former upstreams than this at one address.
MAX_STORED_LEAVES: Final = 8
# Newest crashes that are stored; each daemon stores those of its own upstream.
MAX_STORED_CRASHES: Final = 8


class UpstreamLog:
    """Stores the state of upstreams for the next daemon process on this VM.

    A leave is stored before it is acknowledged, so that the next process
    ignores reports that were sent before the leave and arrive late. While the
    store is away, it is acknowledged without; then the next process is bound
    by the health check of the upstream alone (upstream_probe). Each leave has
    a record of its own, since the store may apply a write seconds after its
    sender has given it up. The present upstream is stored once, so that the
    next process need not wait for its next report.

    Crashes are stored as evidence for processes that start later, also before
    the former records are loaded: no record replaces another.
    """

    def __init__(
        self,
        *,
        daemon_id: ids.DaemonId,
        random: random_module.Random,
        registry: upstream_registry.UpstreamRegistry,
        store: store_module.StoreClient,
        log: json_log.JsonLog,
        on_loaded: Callable[[fleet.StoredUpstream | None], None],
        on_crashes_loaded: Callable[[list[crash.CrashRecord]], None],
    ) -> None:
        """Initialize the log.

        Args:
            daemon_id: Id of this daemon.
            random: Source of the jitter of retries.
            registry: Receives the leaves that the former process stored.
            store: Client of the store.
            log: Log that events are written to.
            on_loaded: Called once with the upstream that the former process
                stored last, or None.
            on_crashes_loaded: Called once with the stored crashes of upstreams
                on all VMs.
        """
        self._daemon_id = daemon_id
        self._random = random
        self._registry = registry
        self._store = store
        self._log = log
        self._on_loaded = on_loaded
        self._on_crashes_loaded = on_crashes_loaded
        # Keys of the stored leaves and crashes of this daemon, the oldest
        # first.
        self._leave_keys: list[str] = []
        self._crash_keys: list[str] = []
        self._present: fleet.StoredUpstream | None = None
        self._is_loaded = asyncio.Event()
        self._written_events: dict[fleet.UpstreamProcess, asyncio.Event] = {}
        # Keys of the crashes that still have to be stored.
        self._unstored_crash_keys: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def pending_count(self) -> int:
        """Return the number of calls of the store that have not ended."""
        return len(self._tasks)

    @property
    def has_unstored_records(self) -> bool:
        """Return whether a leave or a crash still has to be stored.

        The present upstream does not count: the next process asks it.
        """
        return bool(self._unstored_crash_keys) or not all(
            written.is_set() for written in self._written_events.values()
        )

    def has_leave(self, leave: fleet.UpstreamProcess) -> bool:
        """Return whether this process has been told to store a leave."""
        return leave in self._written_events

    def start(self, *, is_first_start: bool) -> None:
        """Start to load the records of former processes of this daemon.

        Args:
            is_first_start: Whether no former process has stored records.
        """
        if is_first_start:
            self._is_loaded.set()
            return
        self._start_task(self._async_load())

    def stop(self) -> None:
        """Cancel all pending calls of the store."""
        for task in self._tasks:
            task.cancel()

    def record_present(self, report: fleet.UpstreamReport) -> None:
        """Store the present upstream if it has changed."""
        upstream = fleet.StoredUpstream(
            instance_id=report.instance_id,
            born=report.born,
            slots=report.slots,
        )
        if upstream != self._present:
            self._present = upstream
            self._start_task(self._async_write_present(upstream))

    def record_crash(self, record: crash.CrashRecord) -> None:
        """Store that an upstream has crashed."""
        key = upstream_records.build_crash_key(
            self._daemon_id, record.record_id
        )
        self._unstored_crash_keys.add(key)
        self._start_task(
            self._async_write_crash(
                record.record_id,
                store_module.StoredRecord(
                    key=key, value=upstream_records.encode_crash(record)
                ),
            )
        )

    def record_leave(
        self, leave: fleet.UpstreamProcess, acknowledge: Callable[[], None]
    ) -> None:
        """Store a leave once and acknowledge it.

        Args:
            leave: The process of the upstream that leaves.
            acknowledge: Called when the leave is stored, or at the latest
                after MAX_ACKNOWLEDGEMENT_WAIT_S.
        """
        written = self._written_events.get(leave)
        if written is None:
            written = self._written_events[leave] = asyncio.Event()
            self._start_task(self._async_write_leave(leave, written))
        if written.is_set():
            acknowledge()
            return
        self._start_task(self._async_acknowledge(leave, written, acknowledge))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.change(
                'upstream_log_failed',
                error=''.join(traceback.format_exception(error)),
            )

    async def _async_acknowledge(
        self,
        leave: fleet.UpstreamProcess,
        written: asyncio.Event,
        acknowledge: Callable[[], None],
    ) -> None:
        try:
            async with asyncio.timeout(MAX_ACKNOWLEDGEMENT_WAIT_S):
                await written.wait()
        except TimeoutError:
            self._log.change(
                'leave_not_stored',
                instance=leave.instance_id,
                waited_s=MAX_ACKNOWLEDGEMENT_WAIT_S,
            )
        acknowledge()

    async def _async_write_leave(
        self, leave: fleet.UpstreamProcess, written: asyncio.Event
    ) -> None:
        await self._is_loaded.wait()
        key = upstream_records.leave_key(self._daemon_id, leave)
        await self._async_write(
            'leave_write_failed',
            store_module.StoredRecord(
                key=key, value=upstream_records.encode_leaves([leave])
            ),
        )
        written.set()
        self._log.change('leave_stored', instance=leave.instance_id)
        await self._async_limit(
            self._leave_keys, key, MAX_STORED_LEAVES, 'leave_not_dropped'
        )

    async def _async_limit(
        self, keys: list[str], newest: str, limit: int, failure_event: str
    ) -> None:
        """Add the key of a stored record, and delete records over a limit.

        Args:
            keys: Keys of the stored records of one kind, the oldest first.
            newest: Key of the record that was stored last.
            limit: Number of records to keep.
            failure_event: Logged if a record cannot be deleted.
        """
        if newest in keys:
            keys.remove(newest)
        keys.append(newest)
        while len(keys) > limit:
            await self._async_write(
                failure_event,
                store_module.StoredRecord(key=keys.pop(0), value=b''),
            )

    async def _async_write(
        self, failure_event: str, record: store_module.StoredRecord
    ) -> None:
        """Write a record, again and again until that succeeds."""
        while True:
            try:
                await self._store.async_append(upstream_records.TOPIC, record)
            except Exception as error:
                await self._async_pause(failure_event, error)
                continue
            return

    async def _async_write_present(
        self, upstream: fleet.StoredUpstream
    ) -> None:
        record = store_module.StoredRecord(
            key=upstream_records.upstream_key(self._daemon_id),
            value=upstream_records.encode_upstream(upstream),
        )
        await self._is_loaded.wait()
        while upstream == self._present:
            try:
                await self._store.async_append(upstream_records.TOPIC, record)
            except Exception as error:
                await self._async_pause('upstream_write_failed', error)
                continue
            self._log.change('upstream_stored', instance=upstream.instance_id)
            return

    async def _async_write_crash(
        self, record_id: str, record: store_module.StoredRecord
    ) -> None:
        loop = asyncio.get_running_loop()
        retry_until = loop.time() + crash_counts.MEMORY_S
        is_stored = False
        while not is_stored and loop.time() < retry_until:
            try:
                await self._store.async_append(upstream_records.TOPIC, record)
            except Exception as error:
                await self._async_pause('end_write_failed', error)
            else:
                is_stored = True
        self._unstored_crash_keys.discard(record.key)
        if not is_stored:
            return
        self._log.change('end_stored', record=record_id, key=record.key)
        await self._is_loaded.wait()
        await self._async_limit(
            self._crash_keys, record.key, MAX_STORED_CRASHES, 'end_not_dropped'
        )

    async def _async_load(self) -> None:
        while True:
            try:
                page = await self._store.async_newest(upstream_records.TOPIC)
            except Exception as error:
                await self._async_pause('upstreams_not_read', error)
                continue
            break
        try:
            present = self._apply_records(page.records)
        finally:
            # Leaves are stored even if the former ones cannot be applied.
            self._is_loaded.set()
        self._on_loaded(present)

    def _apply_records(
        self, records: list[store_module.StoredRecord]
    ) -> fleet.StoredUpstream | None:
        """Apply the loaded records; return the stored present upstream."""
        leaves: list[fleet.UpstreamProcess] = []
        present: fleet.StoredUpstream | None = None
        crashes: list[crash.CrashRecord] = []
        for record in records:
            try:
                if upstream_records.is_own_crash_key(
                    self._daemon_id, record.key
                ):
                    self._crash_keys.append(record.key)
                if upstream_records.is_crash_key(record.key):
                    crashes.append(upstream_records.decode_crash(record.value))
                if upstream_records.is_leave_key(self._daemon_id, record.key):
                    leaves += upstream_records.decode_leaves(record.value)
                    self._leave_keys.append(record.key)
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
        if self._present is None:
            self._present = present
        self._registry.record_leaves(leaves, present)
        self._log.change(
            'upstreams_known',
            left=len(leaves),
            present='' if present is None else present.instance_id,
            ends=len(crashes),
        )
        try:
            self._on_crashes_loaded(crashes)
        except Exception:
            # Odd records of crashes must not keep the upstream from serving.
            self._log.unexpected('crashes_not_applied')
        return present

    async def _async_pause(self, event: str, error: Exception) -> None:
        """Log a failed call of the store and wait before the next one.

        An unexpected error does not end the task either, because nothing else
        would store the record.
        """
        text = str(error)
        if not isinstance(error, exceptions.SassafraswoodError):
            text = ''.join(traceback.format_exception(error))
        self._log.decision(event, error=text)
        await asyncio.sleep(
            RETRY_PAUSE_S + RETRY_JITTER_S * self._random.random()
        )
