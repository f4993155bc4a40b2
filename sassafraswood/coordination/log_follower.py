"""Follows the platform's log and appends records to it."""

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
    """The platform's log."""

    async def async_append(self, body: bytes) -> ids.Offset:
        """Append a record; raises LogError."""

    async def async_read(
        self, start: ids.Offset, wait_s: float
    ) -> tuple[list[records.LogEntry], ids.Offset]:
        """Return records and the next offset of the log; raises LogError."""


class LogFollower:
    """Keeps the configuration at the tail of the log."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        log: LogPort,
        configuration: configuration_module.Configuration,
        decode: Callable[[str], records.Record],
        on_change: Callable[[records.Record], None],
        on_read: Callable[[float], None],
        on_retention: Callable[[], None],
        on_state: Callable[[bool], None],
    ) -> None:
        """Take the log and the fold.

        Args:
            on_change: Called with each record that changed the state.
            on_read: Called with the start of each read up to the tail.
            on_retention: Called when needed records are no longer kept.
            on_state: Called when the log becomes readable or unreadable.
        """
        self._clock = clock
        self._log = log
        self._configuration = configuration
        self._decode = decode
        self._on_change = on_change
        self._on_read = on_read
        self._on_retention = on_retention
        self._on_state = on_state
        self._is_readable: bool | None = None

    @property
    def is_readable(self) -> bool:
        """Return whether the last read succeeded."""
        return bool(self._is_readable)

    async def async_run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            try:
                await self._async_follow()
                self._set_readable(True)
            except exceptions.LogError:
                self._set_readable(False)
                await anyio.sleep(const.LOG_RETRY_S)

    def apply(self, entries: list[records.LogEntry]) -> None:
        """Fold entries that came from the log or from a peer, in order."""
        for entry in entries:
            if entry.offset > self._configuration.next_offset:
                return
            record = self._configuration.apply(entry)
            if record is not None:
                self._on_change(record)

    def apply_snapshot(self, snapshot: records.Snapshot) -> None:
        """Take a snapshot if it is newer than the state."""
        if self._configuration.apply_snapshot(snapshot):
            self._on_change(snapshot)

    async def _async_follow(self) -> None:
        try:
            await self._async_read()
        except exceptions.LogRetentionError as error:
            await self._async_skip(ids.Offset(error.first))

    async def _async_read(self) -> None:
        started_at = self._clock.monotonic()
        entries, tail = await self._log.async_read(
            self._configuration.next_offset, const.LOG_POLL_WAIT_S
        )
        self.apply(entries)
        if self._configuration.next_offset >= tail:
            self._on_read(started_at)

    async def _async_skip(self, first: ids.Offset) -> None:
        """Look for a snapshot among the records that are still kept."""
        offset = first
        while True:
            entries, tail = await self._log.async_read(offset, 0.0)
            for entry in entries:
                self._take_snapshot(entry)
            offset = ids.Offset(offset + len(entries))
            if self._configuration.next_offset >= first:
                return
            if not entries or offset >= tail:
                break
        self._on_retention()
        await anyio.sleep(const.LOG_RETRY_S)

    def _take_snapshot(self, entry: records.LogEntry) -> None:
        try:
            record = self._decode(entry.body)
        except exceptions.DecodeError:
            return
        if isinstance(record, records.Snapshot):
            self.apply_snapshot(record)

    def _set_readable(self, is_readable: bool) -> None:
        if self._is_readable is not is_readable:
            self._is_readable = is_readable
            self._on_state(is_readable)


class LogAppender:
    """Appends the records that decisions ask for, one after the other.

    Each record is tried once: the decision asks again if it still holds.
    A record that surely was not appended is reported to on_failed; nothing
    is reported while the outcome is unknown.
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
        """Take the log and the encoding."""
        self._log = log
        self._encode = encode
        self._on_failed = on_failed
        self._on_appended = on_appended
        self._count = count
        self._pending: collections.deque[records.Record] = collections.deque()
        self._wake = anyio.Event()

    def append(self, record: records.Record) -> None:
        """Append a record soon."""
        if len(self._pending) >= _MAX_PENDING_APPENDS:
            self._count('log.appends_dropped')
            self._on_failed(record)
            return
        self._pending.append(record)
        self._wake.set()

    async def async_run(self) -> None:
        """Append until cancelled."""
        while True:
            if not self._pending:
                self._wake = anyio.Event()
                await self._wake.wait()
            await self.async_append(self._pending.popleft())

    async def async_append(self, record: records.Record) -> bool:
        """Append one record; return whether that is known to be done."""
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
