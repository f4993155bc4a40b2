"""Reader and writer of the log of the platform."""

import collections
from collections.abc import Callable
import typing

import anyio

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import configuration as configuration_module
from sassafraswood import exceptions
from sassafraswood.models import ids
from sassafraswood.models import records

_MAX_PENDING_APPENDS = 256


class LogPort(typing.Protocol):
    """Client of the log of the platform."""

    async def async_append(self, body: bytes) -> ids.Offset:
        """Append a record.

        Returns:
            The offset of the record.

        Raises:
            LogOutcomeUnknownError: The record may have been appended or not.
            LogError: Any other failure; the record was not appended.
        """

    async def async_read(
        self, start: ids.Offset, wait_s: float
    ) -> tuple[list[records.LogEntry], ids.Offset]:
        """Read records from an offset on.

        Args:
            start: Offset of the first record to read.
            wait_s: Time to wait for a record at the tail, in seconds.

        Returns:
            The records, and the offset that follows the last record of the
            log.

        Raises:
            LogRetentionError: The record at start is no longer kept.
            LogError: The log cannot be read.
        """


class LogFollower:
    """Applies the log to the configuration, up to the tail."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        log: LogPort,
        configuration: configuration_module.Configuration,
        decode: Callable[[str], records.Record],
        on_change: Callable[[records.Record], None],
        on_tail_read: Callable[[float], None],
        on_records_missing: Callable[[], None],
        on_readable_change: Callable[[bool], None],
    ) -> None:
        """Initialize the follower.

        Args:
            clock: Source of monotonic time.
            log: Client of the log.
            configuration: State to which the entries are applied.
            decode: Decodes the body of an entry; raises DecodeError if it is
                not a known record.
            on_change: Called with each record that changed the state.
            on_tail_read: Called after each read up to the tail with the
                monotonic time at which the read started, in seconds.
            on_records_missing: Called when the log no longer keeps the next
                records and no snapshot that replaces them.
            on_readable_change: Called with whether the log is readable, on
                each change of that.
        """
        self._clock = clock
        self._log = log
        self._configuration = configuration
        self._decode = decode
        self._on_change = on_change
        self._on_tail_read = on_tail_read
        self._on_records_missing = on_records_missing
        self._on_readable_change = on_readable_change
        self._is_readable: bool | None = None

    @property
    def is_readable(self) -> bool:
        """Return whether the last read succeeded."""
        return bool(self._is_readable)

    async def async_run(self) -> None:
        """Read and apply the log until cancelled."""
        while True:
            try:
                await self._async_follow()
                self._set_readable(True)
            except exceptions.LogError:
                self._set_readable(False)
                await anyio.sleep(const.LOG_RETRY_S)

    def apply(self, entries: list[records.LogEntry]) -> None:
        """Apply entries of the log or of a peer, in the order of offsets.

        Entries after a gap are ignored.
        """
        for entry in entries:
            if entry.offset > self._configuration.next_offset:
                return
            record = self._configuration.apply(entry)
            if record is not None:
                self._on_change(record)

    def apply_snapshot(self, snapshot: records.Snapshot) -> None:
        """Replace the state by that of a snapshot if it is newer."""
        if self._configuration.apply_snapshot(snapshot):
            self._on_change(snapshot)

    async def _async_follow(self) -> None:
        try:
            await self._async_read_once()
        except exceptions.LogRetentionError as error:
            await self._async_recover_from_snapshot(ids.Offset(error.first))

    async def _async_read_once(self) -> None:
        started_at = self._clock.monotonic()
        entries, tail = await self._log.async_read(
            self._configuration.next_offset, const.LOG_POLL_WAIT_S
        )
        self.apply(entries)
        if self._configuration.next_offset >= tail:
            self._on_tail_read(started_at)

    async def _async_recover_from_snapshot(self, first: ids.Offset) -> None:
        """Apply a snapshot from the records that the log still keeps.

        Args:
            first: Offset of the first record that the log keeps.
        """
        offset = first
        while True:
            entries, tail = await self._log.async_read(offset, 0.0)
            for entry in entries:
                self._apply_if_snapshot(entry)
            offset = ids.Offset(offset + len(entries))
            if self._configuration.next_offset >= first:
                return
            if not entries or offset >= tail:
                break
        self._on_records_missing()
        await anyio.sleep(const.LOG_RETRY_S)

    def _apply_if_snapshot(self, entry: records.LogEntry) -> None:
        try:
            record = self._decode(entry.body)
        except exceptions.DecodeError:
            return
        if isinstance(record, records.Snapshot):
            self.apply_snapshot(record)

    def _set_readable(self, is_readable: bool) -> None:
        if self._is_readable is not is_readable:
            self._is_readable = is_readable
            self._on_readable_change(is_readable)


class LogAppender:
    """Appends queued records to the log, one after the other.

    Each record is attempted once; whoever needs it appends it again if it is
    still needed. on_failed gets the records that were certainly not
    appended; neither callback is called if the outcome is unknown.
    """

    def __init__(
        self,
        *,
        log: LogPort,
        encode: Callable[[records.Record], str],
        on_failed: Callable[[records.Record], None],
        on_appended: Callable[[records.Record, ids.Offset], None],
        count: Callable[[str], None],
    ) -> None:
        """Initialize the appender with an empty queue.

        Args:
            log: Client of the log.
            encode: Encodes a record as the body of an entry.
            on_failed: Called with each record that was not appended.
            on_appended: Called with each appended record and its offset.
            count: Increments a counter, given by its name.
        """
        self._log = log
        self._encode = encode
        self._on_failed = on_failed
        self._on_appended = on_appended
        self._count = count
        self._pending: collections.deque[records.Record] = collections.deque()
        self._has_pending = anyio.Event()

    def append(self, record: records.Record) -> None:
        """Queue a record; if the queue is full, report it as failed."""
        if len(self._pending) >= _MAX_PENDING_APPENDS:
            self._count('log.appends_dropped')
            self._on_failed(record)
            return
        self._pending.append(record)
        self._has_pending.set()

    async def async_run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            if not self._pending:
                self._has_pending = anyio.Event()
                await self._has_pending.wait()
            await self.async_append(self._pending.popleft())

    async def async_append(self, record: records.Record) -> bool:
        """Append a record; return whether it was certainly appended."""
        try:
            offset = await self._log.async_append(
                self._encode(record).encode()
            )
        except exceptions.LogOutcomeUnknownError:
            self._count('log.answers_lost')
            return False
        except exceptions.LogError:
            self._count('log.appends_failed')
            self._on_failed(record)
            return False
        self._count('log.appends')
        self._on_appended(record, offset)
        return True
