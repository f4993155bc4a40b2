"""Publishes a change and waits until it is in force."""

from collections.abc import Callable
import dataclasses
import time
from typing import Final

import httpcore
import msgspec
import uuid6

from sassafraswood.cli import errors
from sassafraswood.cli import operator_client
from sassafraswood.cli import output
from sassafraswood import const
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.protocol import operator_api

ATTEMPTS: Final = 3
_REPEAT_DELAY_S: Final = 0.5
_POLL_S: Final = 0.25


class Report(msgspec.Struct, kw_only=True):
    """Result of a publication as it is written.

    Attributes:
        status: Status in the log, or unknown.
        in_force: Whether it is in force on all daemons; None if not asked.
        behind: Daemons that have not confirmed it.
    """

    publication_id: ids.PublicationId
    status: str
    revision: int | None = None
    offset: int | None = None
    detail: str = ''
    in_force: bool | None = None
    behind: list[ids.DaemonId] = []


@dataclasses.dataclass(frozen=True, kw_only=True)
class WaitOptions:
    """How to wait; timeout_s is None without waiting."""

    timeout_s: float | None
    as_json: bool


class _Behind(msgspec.Struct):
    behind: list[ids.DaemonId]


def check_id(text: str | None) -> ids.PublicationId:
    """Return a given publication id, or a new UUIDv7.

    Raises:
        BadInputError: The id is empty, too long or not printable.
    """
    if text is None:
        return ids.PublicationId(str(uuid6.uuid7()))
    most = const.MAX_PUBLICATION_ID_CHARACTERS
    if not 1 <= len(text) <= most or not text.isprintable():
        raise errors.BadInputError(
            f'--publication-id must have 1 to {most} printable characters'
        )
    return ids.PublicationId(text)


def publish(
    client: operator_client.OperatorClient,
    path: str,
    value: msgspec.Struct,
    publication_id: ids.PublicationId,
    options: WaitOptions,
) -> None:
    """Send a publication, wait, and write the result.

    Raises:
        CommandError: It failed, or is not in force everywhere.
    """
    report = Report(publication_id=publication_id, status='unknown')
    try:
        result = _send(client, path, value, publication_id)
        report.status = result.status.value
        report.revision = result.revision
        report.offset = result.offset
        report.detail = result.detail
        if result.status is not enums.PublicationStatus.ACCEPTED:
            raise errors.RefusedError(f'{report.status}: {report.detail}')
        if options.timeout_s is not None:
            _wait(client, result.offset, options.timeout_s)
            report.in_force = True
    except errors.NotInForceError as error:
        report.in_force = False
        report.behind = error.behind or []
        _write(report, options)
        raise
    except (errors.RefusedError, errors.OutcomeUnknownError):
        if options.as_json:
            output.print_json(report)
        raise
    _write(report, options)


def _write(report: Report, options: WaitOptions) -> None:
    if options.as_json:
        output.print_json(report)
        return
    text = report.status
    # Only documents have revisions, which begin with 1.
    if report.revision:
        text += f', revision {report.revision}'
    if report.in_force:
        text += ', in force on all daemons'
    output.print_line(f'{text} (publication {report.publication_id})')


def _send(
    client: operator_client.OperatorClient,
    path: str,
    value: msgspec.Struct,
    publication_id: ids.PublicationId,
) -> operator_api.PublicationResult:
    """Send it until an answer tells the outcome.

    The log counts a publication id once, so a repetition does no harm.
    """
    may_have_effect = False
    attempt = 0
    while True:
        attempt += 1
        try:
            answer = client.post(path, value, operator_client.WRITE_TIMEOUT_S)
            return _decode(answer)
        except errors.OutcomeUnknownError as error:
            may_have_effect = True
            cause: errors.CommandError = error
        except errors.UnavailableError as error:
            if not may_have_effect:
                raise
            cause = error
        except KeyboardInterrupt as error:
            raise _unknown(publication_id, 'interrupted') from error
        if attempt == ATTEMPTS:
            raise _unknown(publication_id, str(cause)) from cause
        time.sleep(_REPEAT_DELAY_S)


def _unknown(
    publication_id: ids.PublicationId, cause: str
) -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError(
        f'{cause}; the outcome is unknown, repeat the command with '
        f'--publication-id {publication_id}'
    )


def _decode(answer: httpcore.Response) -> operator_api.PublicationResult:
    try:
        return msgspec.json.decode(
            answer.content, type=operator_api.PublicationResult
        )
    except msgspec.MsgspecError as error:
        raise errors.OutcomeUnknownError('malformed answer') from error


def _wait(
    client: operator_client.OperatorClient,
    offset: int,
    timeout_s: float,
    now: Callable[[], float] = time.monotonic,
) -> None:
    deadline = now() + timeout_s
    behind: list[ids.DaemonId] | None = None
    while True:
        left_s = max(deadline - now(), _POLL_S)
        try:
            behind = _ask_behind(client, offset, left_s)
        except KeyboardInterrupt as error:
            raise errors.NotInForceError(behind) from error
        if behind == []:
            return
        if now() + _POLL_S >= deadline:
            raise errors.NotInForceError(behind)
        time.sleep(_POLL_S)


def _ask_behind(
    client: operator_client.OperatorClient, offset: int, left_s: float
) -> list[ids.DaemonId] | None:
    timeout_s = min(left_s, operator_client.READ_TIMEOUT_S)
    try:
        answer = client.get(f'behind?offset={offset}', _Behind, timeout_s)
    except errors.CommandError:
        # The change is accepted; only where it is in force is not known.
        return None
    return answer.behind
