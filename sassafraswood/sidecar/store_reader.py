"""Base class of the followers of one store topic.

A follower reads the store itself or receives the records from peers.
"""

import abc
import asyncio
import dataclasses
import math
import random as random_module
import traceback
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import store_duty
from sassafraswood import exceptions
from sassafraswood.platform import store as store_module
from sassafraswood.transport import json_log

# Duration of a long poll as a fraction of the maximum age. The knowledge of a
# reader is never older than that and one response time of the store.
READ_WAIT_FRACTION: Final = 0.5
# A daemon that is not a reader reads the store itself once its knowledge is
# older than this fraction of the maximum age.
SELF_READ_FRACTION: Final = 0.7
# The store counts as lost if it responds later than this after the end of a
# long poll; a slow store takes 0.4 s.
MAX_RESPONSE_DELAY_S: Final = 0.5
POLL_INTERVAL_S: Final = 0.1
# An empty read that ends earlier than this before the end of its wait was not
# answered at that end.
MAX_EARLY_S: Final = 0.05
# Pause after a read that returned records, so that records written in quick
# succession are read together. It is a twentieth of the time within which
# rules have to be in force.
BATCH_DELAY_S: Final = 0.1
# Exponential backoff after failed reads. The backoff of readers is limited to
# a shorter time, because all other daemons depend on them.
FIRST_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 2.0
READER_MAX_BACKOFF_S: Final = 0.4
BACKOFF_JITTER_FRACTION: Final = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReaderContext:
    """Dependencies that the readers of all topics share.

    Attributes:
        clock: Monotonic time, which goes on while the VM is suspended.
        random: Source of the jitter of the backoff.
        store: Client of the store.
        duty: Decides whether this daemon reads the store for its peers.
        log: Log that events are written to.
    """

    clock: clock_module.Clock
    random: random_module.Random
    store: store_module.StoreClient
    duty: store_duty.StoreDuty
    log: json_log.JsonLog


class StoreReader(abc.ABC):
    """Reads a topic if this daemon is a reader or its knowledge is too old.

    A few daemons, the readers, long-poll the store and pass new records on to
    their peers. The other daemons read the store themselves only when the
    knowledge that peers pass on becomes too old.
    """

    def __init__(
        self,
        name: str,
        context: ReaderContext,
        max_age_s: float,
        leader: 'StoreReader | None' = None,
    ) -> None:
        """Initialize the reader.

        Args:
            name: Name of the topic's content in log lines.
            context: Dependencies that all readers share.
            max_age_s: Maximum age of the knowledge, in seconds.
            leader: Reader of another topic that probes the store while it
                fails; None if this one probes it itself.
        """
        self._leader = leader
        self._name = name
        self._clock = context.clock
        self._random = context.random
        self._store = context.store
        self._duty = context.duty
        self._log = context.log
        self._max_age_s = max_age_s
        self._responded_at = -math.inf
        self._failure_count = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def has_recent_response(self) -> bool:
        """Return whether the store responded to a recent read."""
        since_response_s = self._clock.monotonic() - self._responded_at
        return since_response_s < self._wait_s + MAX_RESPONSE_DELAY_S

    @property
    def is_failing(self) -> bool:
        """Return whether the last read of the store failed."""
        return self._failure_count > 0

    def start(self) -> None:
        """Start the task that follows the topic."""
        self._task = asyncio.get_running_loop().create_task(
            self._async_follow()
        )

    def stop(self) -> None:
        """Cancel the task that follows the topic."""
        if self._task is not None:
            self._task.cancel()

    @property
    @abc.abstractmethod
    def _must_read(self) -> bool:
        """Return whether this daemon reads now, whatever peers know."""

    @property
    @abc.abstractmethod
    def _needs_first_record(self) -> bool:
        """Return whether reads should wait for a first record."""

    @property
    @abc.abstractmethod
    def _age_s(self) -> float:
        """Return the age of the knowledge in seconds."""

    @abc.abstractmethod
    async def _async_read(self, wait_s: float) -> bool:
        """Read the topic once.

        Args:
            wait_s: Time that the store waits for new records, in seconds.

        Returns:
            Whether there were records.

        Raises:
            LogError: The store failed or no longer has the offset.
            DecodeError: A record or response cannot be decoded.
        """

    @abc.abstractmethod
    def _reset_offset(self) -> None:
        """Discard the offset, so that the topic is read as a whole."""

    @property
    def _wait_s(self) -> float:
        return READ_WAIT_FRACTION * self._max_age_s

    def _known_until(self, started_at: float, wait_s: float) -> float:
        """Return the time up to which an empty read shows that nothing is new.

        The store responds at the end of the wait. An earlier response may have
        been made at any time since the start.

        Args:
            started_at: Monotonic time of the start in seconds.
            wait_s: Time that the store waits for records, in seconds.
        """
        ended_at = started_at + wait_s
        if self._clock.monotonic() < ended_at - MAX_EARLY_S:
            return started_at
        return ended_at

    async def _async_follow(self) -> None:
        while True:
            try:
                await self._async_read_if_due()
            except Exception:
                # The task goes on, since without it this daemon would no
                # longer learn of withdrawn keys and changed routes.
                self._log.change(
                    'read_failed',
                    reading=self._name,
                    error=traceback.format_exc(),
                )
                # What the read returned may not be in force.
                self._reset_offset()
                self._failure_count += 1
                await asyncio.sleep(self._limited_backoff_s(MAX_BACKOFF_S))

    async def _async_read_if_due(self) -> None:
        wait_s = self._next_wait_s()
        if wait_s is None:
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        try:
            started_at = self._clock.monotonic()
            has_records = await self._async_read(wait_s)
        except exceptions.LogRetentionError:
            self._log.change('store_history_gone', reading=self._name)
            self._reset_offset()
            await asyncio.sleep(BATCH_DELAY_S)
            return
        except (exceptions.LogError, exceptions.DecodeError) as error:
            self._note_failure(error)
            await asyncio.sleep(self._backoff_s())
            return
        self._note_success()
        is_early = self._known_until(started_at, wait_s) < started_at + wait_s
        if has_records or is_early:
            await asyncio.sleep(BATCH_DELAY_S)

    def _next_wait_s(self) -> float | None:
        """Return the wait of the next read; None if no read is due."""
        if self._must_read:
            return 0.0
        if self._leader is not None and self._leader.is_failing:
            return None
        if self._duty.is_reader or self._needs_first_record:
            # After a failure, a prompt response shows that the store is back.
            return 0.0 if self._failure_count else self._wait_s
        return (
            0.0 if self._age_s > SELF_READ_FRACTION * self._max_age_s else None
        )

    def _note_success(self) -> None:
        self._responded_at = self._clock.monotonic()
        if self._failure_count:
            self._failure_count = 0
            self._log.change('store_regained', reading=self._name)

    def _note_failure(self, error: exceptions.SassafraswoodError) -> None:
        self._failure_count += 1
        if self._failure_count == 1:
            self._log.change(
                'store_lost', reading=self._name, error=str(error)
            )

    def _backoff_s(self) -> float:
        longest_s = (
            READER_MAX_BACKOFF_S if self._duty.is_reader else MAX_BACKOFF_S
        )
        return self._limited_backoff_s(longest_s)

    def _limited_backoff_s(self, longest_s: float) -> float:
        doublings = min(8, self._failure_count - 1)
        backoff_s = min(longest_s, FIRST_BACKOFF_S * 2**doublings)
        return backoff_s * (
            1.0 + BACKOFF_JITTER_FRACTION * self._random.random()
        )
