"""Tests of when a daemon reads a topic of the store, and how long it waits."""

import asyncio
import random

import pytest

from sassafraswood import clock
from sassafraswood import exceptions
from sassafraswood.sidecar import store_reader
from sassafraswood.transport import json_log


class FakeDuty:
    """Store duty with a fixed role."""

    def __init__(self, *, is_reader: bool) -> None:
        """Set whether this daemon reads for its peers."""
        self.is_reader = is_reader


class Reader(store_reader.StoreReader):
    """Reader with given results, cancelled after the last one."""

    def __init__(
        self, tmp_path, results, *, is_reader: bool = True, leader=None
    ) -> None:
        """Set the results of the reads, in order."""
        self.waits = []
        self.age_s = 0.0
        self._results = results
        self.log_file = open(tmp_path / 'log', 'wb')
        super().__init__(
            'rules',
            store_reader.ReaderContext(
                clock=clock.ManualClock(),
                random=random.Random(1),
                store=None,
                duty=FakeDuty(is_reader=is_reader),
                log=json_log.JsonLog('d0', self.log_file.fileno()),
            ),
            max_age_s=2.0,
            leader=leader,
        )

    @property
    def _must_read(self) -> bool:
        return False

    @property
    def _needs_first_record(self) -> bool:
        return False

    @property
    def _age_s(self) -> float:
        return self.age_s

    def _reset_offset(self) -> None:
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
    """A reader long-polls for half of the maximum age."""
    assert follow(Reader(tmp_path, [False, False, None])) == [1.0, 1.0, 1.0]


def test_reads_after_a_failure_do_not_wait(tmp_path) -> None:
    """A read that waits would find the store up to 1.9 s after its return.

    Seeds 16 and 25 of the soak showed it.
    """
    lost = exceptions.LogUnavailableError('status 503')
    waits = follow(Reader(tmp_path, [lost, lost, False, None]))
    assert waits == [1.0, 0.0, 0.0, 1.0]


def test_other_daemons_read_only_without_records_from_peers(tmp_path) -> None:
    """A daemon that is no reader reads only once its knowledge is too old."""
    reader = Reader(tmp_path, [None], is_reader=False)
    reader.age_s = 1.3
    assert reader._next_wait_s() is None
    reader.age_s = 1.5
    assert reader._next_wait_s() == 0.0


# Pattern: the store turns many machines away while it serves the readers.
def test_other_daemons_do_not_probe_a_store_that_turned_them_away(
    tmp_path,
) -> None:
    """Peers pass on what they need; each call to the store has a price."""
    lost = exceptions.LogUnavailableError('status 503')
    reader = Reader(tmp_path, [lost, None], is_reader=False)
    reader.age_s = 1.5
    reader._note_failure(lost)
    assert reader._next_wait_s() == 0.0
    reader.age_s = 0.5
    assert reader._next_wait_s() is None


# Pattern: the store is down for seconds.
def test_one_topic_probes_a_failing_store(tmp_path) -> None:
    """The other one is read again once the store has responded."""
    lost = exceptions.LogUnavailableError('status 503')
    leader = Reader(tmp_path, [])
    reader = Reader(tmp_path, [], leader=leader)
    leader._note_failure(lost)
    assert leader._next_wait_s() == 0.0
    assert reader._next_wait_s() is None
    leader._note_success()
    assert reader._next_wait_s() == 1.0


# Guards against a daemon that no longer follows the store after one record
# that it fails to apply.
def test_unexpected_error_does_not_end_the_reads(tmp_path) -> None:
    """The error is logged and the topic is read again."""
    reader = Reader(tmp_path, [ValueError('odd'), False, None])
    assert follow(reader) == [1.0, 0.0, 1.0]
    reader._log.flush()
    assert b'read_failed' in (tmp_path / 'log').read_bytes()


# Guards against a daemon that calls the store without a pause.
@pytest.mark.parametrize(
    'result', [exceptions.LogRetentionError(9), False], ids=['gone', 'early']
)
def test_reads_that_return_nothing_at_once_have_pauses(
    tmp_path, result
) -> None:
    """The store may say again and again that its history is gone."""
    reader = Reader(tmp_path, [result] * 1000)

    async def async_main() -> None:
        task = asyncio.create_task(reader._async_follow())
        await asyncio.sleep(0.25)
        task.cancel()

    asyncio.run(async_main())
    assert len(reader.waits) <= 3
