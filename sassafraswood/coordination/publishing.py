"""Appends operators' publications to the log and reads back the result."""

from collections.abc import Callable

import anyio

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import configuration as configuration_module
from sassafraswood.coordination import log_follower
from sassafraswood import exceptions
from sassafraswood.models import ids
from sassafraswood.models import records

Publication = records.Publish | records.GrantKey | records.WithdrawKey

_READ_BACK_POLL_S = 0.02


class Publisher:
    """Appends a publication and waits for its result in the log."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        log: log_follower.LogPort,
        configuration: configuration_module.Configuration,
        encode: Callable[[records.Record], str],
        count: Callable[[str], None],
    ) -> None:
        """Initialize with the log and its applied state.

        Args:
            clock: Monotonic time.
            log: The log to append to.
            configuration: The applied log, which holds the results.
            encode: Encodes a record for the log.
            count: Increments a counter.
        """
        self._clock = clock
        self._log = log
        self._configuration = configuration
        self._encode = encode
        self._count = count

    async def async_publish(
        self, publication: Publication
    ) -> records.PublicationEntry:
        """Append a publication and return its result in the order of the log.

        An append whose acknowledgement is lost is retried with the same
        publication id; a publication id is applied only once.

        Raises:
            LogUnavailableError: Nothing was appended.
            LogOutcomeUnknownError: The publication may have been appended;
                publish again with the same publication id.
        """
        deadline = self._clock.monotonic() + const.PUBLISH_TIMEOUT_S
        may_have_appended = False
        while True:
            entry = self._configuration.publication(publication.publication_id)
            if entry is not None:
                return entry
            try:
                await self._log.async_append(
                    self._encode(publication).encode()
                )
                break
            except exceptions.LogOutcomeUnknownError:
                may_have_appended = True
                self._count('log.answers_lost')
            except exceptions.LogError:
                self._count('log.appends_failed')
            if self._clock.monotonic() >= deadline:
                raise _make_timeout_error(may_have_appended)
            await anyio.sleep(const.LOG_RETRY_S)
        return await self._async_read_back(publication, deadline)

    async def _async_read_back(
        self, publication: Publication, deadline: float
    ) -> records.PublicationEntry:
        while self._clock.monotonic() < deadline:
            entry = self._configuration.publication(publication.publication_id)
            if entry is not None:
                return entry
            await anyio.sleep(_READ_BACK_POLL_S)
        raise _make_timeout_error(True)


class AppliedProgress:
    """Tracks up to which offset each daemon has applied the log."""

    def __init__(self) -> None:
        """Initialize without known offsets."""
        self._offsets: dict[
            ids.DaemonId, tuple[ids.Incarnation, ids.Offset]
        ] = {}

    def note(
        self,
        daemon_id: ids.DaemonId,
        incarnation: ids.Incarnation,
        next_offset: ids.Offset,
    ) -> None:
        """Record the offset that a daemon reports.

        Args:
            daemon_id: The daemon that reports.
            incarnation: Its incarnation; offsets of earlier ones do not count.
            next_offset: The first offset that it has not applied.
        """
        self._offsets[daemon_id] = (incarnation, next_offset)

    def missing(
        self, offset: ids.Offset, members: list[records.Member]
    ) -> list[ids.DaemonId]:
        """Return the members not known to have applied the offset."""
        behind = []
        for member in members:
            known = self._offsets.get(member.daemon_id)
            is_current = (
                known is not None
                and known[0] == member.incarnation
                and known[1] > offset
            )
            if not is_current:
                behind.append(member.daemon_id)
        return behind


def _make_timeout_error(may_have_appended: bool) -> exceptions.LogError:
    if may_have_appended:
        return exceptions.LogOutcomeUnknownError(
            'publication may have been appended, but its result was not read '
            'back from the log in time'
        )
    return exceptions.LogUnavailableError(
        'publication was not appended: all appends to the log failed'
    )
