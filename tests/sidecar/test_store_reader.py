"""Tests of how a topic of the store is followed."""

import asyncio
import random

from sassafraswood import clock
from sassafraswood import exceptions
from sassafraswood.sidecar import store_reader
from sassafraswood.transport import json_log


class FakeDuty:
    """Says what the test says."""

    def __init__(self, *, is_reader: bool) -> None:
        """Take whether this daemon reads for all."""
        self.is_reader = is_reader


class Reader(store_reader.StoreReader):
    """Reads what the test says, and ends then."""

    def __init__(self, tmp_path, results, *, is_reader: bool = True) -> None:
        """Take the results of the reads in turn."""
        self.waits = []
        self.age_s = 0.0
        self._results = results
        self.log_file = open(tmp_path / 'log', 'wb')
        super().__init__(
            'rules',
            store_reader.Reading(
                clock=clock.ManualClock(),
                random=random.Random(1),
                store=None,
                duty=FakeDuty(is_reader=is_reader),
                log=json_log.JsonLog('d0', self.log_file.fileno()),
            ),
            max_age_s=2.0,
        )

    @property
    def _must_read(self) -> bool:
        return False

    @property
    def _needs_news(self) -> bool:
        return False

    @property
    def _age_s(self) -> float:
        return self.age_s

    def _forget_offset(self) -> None:
        pass

    async def _async_read(self, wait_s: float) -> bool:
        self.waits.append(wait_s)
        result = self._results.pop(0)
        if not self._results:
            raise asyncio.CancelledError
        if isinstance(result, Exception):
            raise result
        return result


def follow(reader: Reader) -> list[float]:
    """Return how long each read waited for records."""

    async def async_follow() -> None:
        try:
            await reader._async_follow()
        except asyncio.CancelledError:
            return

    asyncio.run(async_follow())
    return reader.waits


def test_reader_waits_for_records(tmp_path) -> None:
    """Half of the age that what is known may have."""
    assert follow(Reader(tmp_path, [False, False, None])) == [1.0, 1.0, 1.0]


def test_store_that_was_lost_is_asked_without_a_wait(tmp_path) -> None:
    """Seeds 16 and 25 of the soak: it was back 1.9 s before it was used."""
    lost = exceptions.LogUnavailableError('status 503')
    waits = follow(Reader(tmp_path, [lost, lost, False, None]))
    assert waits == [1.0, 0.0, 0.0, 1.0]


def test_others_read_only_what_nobody_tells(tmp_path) -> None:
    """The age tells whether somebody does."""
    reader = Reader(tmp_path, [None], is_reader=False)
    reader.age_s = 1.3
    assert reader._next_wait_s() is None
    reader.age_s = 1.5
    assert reader._next_wait_s() == 0.0
