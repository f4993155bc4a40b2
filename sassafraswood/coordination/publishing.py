"""Publishes operators' records and waits until they are read back."""

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

_POLL_S = 0.02


class Publisher:
    """Appends a publication until its result is read back from the log."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        log: log_follower.LogPort,
        configuration: configuration_module.Configuration,
        encode: Callable[[records.Record], str],
        count: Callable[[str], None],
    ) -> None:
        """Take the log and the fold."""
        self._clock = clock
        self._log = log
        self._configuration = configuration
        self._encode = encode
        self._count = count

    async def async_publish(
        self, publication: Publication
    ) -> records.PublicationEntry:
        """Return the result of a publication, as the log ordered it.

        An append whose answer was lost is made again under the same
        publication id, which the fold counts once.

        Raises:
            LogUnavailableError: Nothing was appended.
            LogOutcomeUnknownError: It may have been appended; publish again
                with the same publication id.
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
                raise _unavailable(may_have_appended)
            await anyio.sleep(const.LOG_RETRY_S)
        return await self._async_read_back(publication, deadline)

    async def _async_read_back(
        self, publication: Publication, deadline: float
    ) -> records.PublicationEntry:
        while self._clock.monotonic() < deadline:
            entry = self._configuration.publication(publication.publication_id)
            if entry is not None:
                return entry
            await anyio.sleep(_POLL_S)
        raise _unavailable(True)


class Rollout:
    """Knows up to which offset each daemon has folded the log."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._offsets: dict[
            ids.DaemonId, tuple[ids.Incarnation, ids.Offset]
        ] = {}

    def note(
        self,
        daemon_id: ids.DaemonId,
        incarnation: ids.Incarnation,
        next_offset: ids.Offset,
    ) -> None:
        """Take the offset that a daemon has told."""
        self._offsets[daemon_id] = (incarnation, next_offset)

    def missing(
        self, offset: ids.Offset, members: list[records.Member]
    ) -> list[ids.DaemonId]:
        """Return the members not known to have folded the record there."""
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


def _unavailable(may_have_appended: bool) -> exceptions.LogError:
    if may_have_appended:
        return exceptions.LogOutcomeUnknownError('the result was not read')
    return exceptions.LogUnavailableError('the log takes no appends')
