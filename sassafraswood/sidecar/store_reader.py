"""Follows one topic of the store, directly or through other daemons."""

import abc
import asyncio
import dataclasses
import math
import random as random_module
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import store_duty
from sassafraswood import exceptions
from sassafraswood.platform import store as store_module
from sassafraswood.transport import json_log

# A read ends without records after this share of the age that what is known
# may have; the knowledge of a reader is never older than that and one answer.
READ_WAIT_SHARE: Final = 0.5
# A daemon reads the store itself when what it knows is older than this share
# of the age that it may have.
SELF_READ_SHARE: Final = 0.7
# An answer that comes later than the end of its wait by this time, in seconds,
# shows that the store is lost; a slow store takes 0.4 s.
LATE_S: Final = 0.5
POLL_S: Final = 0.1
# Records that are written one after the other are read together after this
# time in seconds, a twentieth of the time until rules have to be in force.
GATHER_S: Final = 0.1
# First and longest pause after a failed call, in seconds, and its random part
# as a share. Readers go on soon, for all others depend on them.
FAILURE_PAUSE_S: Final = 0.2
FAILURE_PAUSE_MAX_S: Final = 2.0
READER_PAUSE_MAX_S: Final = 0.4
FAILURE_JITTER: Final = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reading:
    """What the readers of all topics share.

    Attributes:
        clock: Counts time while the VM is suspended.
        random: Spreads calls after failures.
        store: Client of the store.
        duty: Whether this daemon reads the store for all.
        log: Log lines.
    """

    clock: clock_module.Clock
    random: random_module.Random
    store: store_module.StoreClient
    duty: store_duty.StoreDuty
    log: json_log.JsonLog


class StoreReader(abc.ABC):
    """Reads a topic while it is this daemon's duty, or nobody else does.

    A few daemons wait for new records at the store; all others learn of
    them from these, and ask the store themselves when they hear too little.
    """

    def __init__(self, name: str, reading: Reading, max_age_s: float) -> None:
        """Take the shared parts.

        Args:
            name: What is read, for log lines.
            reading: Parts that all readers share.
            max_age_s: Age that what is known may have, in seconds.
        """
        self._name = name
        self._clock = reading.clock
        self._random = reading.random
        self._store = reading.store
        self._duty = reading.duty
        self._log = reading.log
        self._max_age_s = max_age_s
        self._answered_at = -math.inf
        self._failures = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def gets_answers(self) -> bool:
        """Return whether this daemon reads the topic with success."""
        silent_s = self._clock.monotonic() - self._answered_at
        return silent_s < self._wait_s + LATE_S

    def start(self) -> None:
        """Begin to follow the topic."""
        self._task = asyncio.get_running_loop().create_task(
            self._async_follow()
        )

    def stop(self) -> None:
        """End following."""
        if self._task is not None:
            self._task.cancel()

    @property
    @abc.abstractmethod
    def _must_read(self) -> bool:
        """Return whether this daemon reads now whatever others know."""

    @property
    @abc.abstractmethod
    def _needs_news(self) -> bool:
        """Return whether nothing is known yet."""

    @property
    @abc.abstractmethod
    def _age_s(self) -> float:
        """Return the age of what is known in seconds."""

    @abc.abstractmethod
    async def _async_read(self, wait_s: float) -> bool:
        """Read once; return whether there were records."""

    @abc.abstractmethod
    def _forget_offset(self) -> None:
        """Take that the records at the offset are not kept any more."""

    @property
    def _wait_s(self) -> float:
        return READ_WAIT_SHARE * self._max_age_s

    async def _async_follow(self) -> None:
        while True:
            wait_s = self._next_wait_s()
            if wait_s is None:
                await asyncio.sleep(POLL_S)
                continue
            try:
                has_records = await self._async_read(wait_s)
            except exceptions.LogRetentionError:
                self._log.change('store_history_gone', reading=self._name)
                self._forget_offset()
                continue
            except (exceptions.LogError, exceptions.DecodeError) as error:
                self._note_failure(error)
                await asyncio.sleep(self._failure_pause_s())
                continue
            self._note_answer()
            if has_records:
                await asyncio.sleep(GATHER_S)

    def _next_wait_s(self) -> float | None:
        """Return how long the next read waits; None if there is none."""
        if self._must_read or self._failures:
            # After a failure, an answer is worth more than a record.
            return 0.0
        if self._duty.is_reader or self._needs_news:
            return self._wait_s
        return 0.0 if self._age_s > SELF_READ_SHARE * self._max_age_s else None

    def _note_answer(self) -> None:
        self._answered_at = self._clock.monotonic()
        if self._failures:
            self._failures = 0
            self._log.change('store_regained', reading=self._name)

    def _note_failure(self, error: exceptions.SassafraswoodError) -> None:
        self._failures += 1
        if self._failures == 1:
            self._log.change(
                'store_lost', reading=self._name, error=str(error)
            )

    def _failure_pause_s(self) -> float:
        longest_s = (
            READER_PAUSE_MAX_S if self._duty.is_reader else FAILURE_PAUSE_MAX_S
        )
        doublings = min(8, self._failures - 1)
        pause_s = min(longest_s, FAILURE_PAUSE_S * 2**doublings)
        return pause_s * (1.0 + FAILURE_JITTER * self._random.random())
