"""Publishes a change and waits until all daemons apply it."""

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

MAX_ATTEMPTS: Final = 3
_RETRY_DELAY_S: Final = 0.5
_POLL_INTERVAL_S: Final = 0.25


class Report(msgspec.Struct, kw_only=True):
    """Result of a publication, as printed.

    Attributes:
        status: Status of the publication in the log, or "unknown".
        in_force: Whether the change is in force on all daemons; None if the
            command did not wait for it.
        behind: Daemons that have not confirmed the change.
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
    """How to wait for a change and print the result.

    Attributes:
        timeout_s: Maximum wait in seconds; None not to wait.
        as_json: Whether to print the result as JSON.
    """

    timeout_s: float | None
    as_json: bool


class _Behind(msgspec.Struct):
    behind: list[ids.DaemonId]


def check_id(text: str | None) -> ids.PublicationId:
    """Return the given publication id, or a new UUIDv7 if it is None.

    Raises:
        BadInputError: The id is empty, too long or not printable.
    """
    if text is None:
        return ids.PublicationId(str(uuid6.uuid7()))
    max_characters = const.MAX_PUBLICATION_ID_CHARACTERS
    if not 1 <= len(text) <= max_characters or not text.isprintable():
        raise errors.BadInputError(
            f'--publication-id must have 1 to {max_characters} '
            'printable characters'
        )
    return ids.PublicationId(text)


def publish(
    client: operator_client.OperatorClient,
    path: str,
    value: msgspec.Struct,
    publication_id: ids.PublicationId,
    options: WaitOptions,
) -> None:
    """Send a publication, wait until it is in force, and print the result.

    Raises:
        CommandError: The publication failed, or is not in force everywhere.
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
            _wait_until_in_force(client, result.offset, options.timeout_s)
            report.in_force = True
    except errors.NotInForceError as error:
        report.in_force = False
        report.behind = error.behind or []
        _print_report(report, options)
        raise
    except (errors.RefusedError, errors.OutcomeUnknownError):
        if options.as_json:
            output.print_json(report)
        raise
    _print_report(report, options)


def _print_report(report: Report, options: WaitOptions) -> None:
    if options.as_json:
        output.print_json(report)
        return
    text = report.status
    # Only documents have revisions, which start at 1.
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
    """Send a publication, with retries, until its outcome is known.

    The log applies a publication id only once, so retries are safe.
    """
    may_have_effect = False
    attempt = 0
    while True:
        attempt += 1
        try:
            response = client.post(
                path, value, operator_client.WRITE_TIMEOUT_S
            )
            return _decode_result(response)
        except errors.OutcomeUnknownError as error:
            may_have_effect = True
            cause: errors.CommandError = error
        except errors.UnavailableError as error:
            if not may_have_effect:
                raise
            cause = error
        except KeyboardInterrupt as error:
            raise _outcome_unknown_error(
                publication_id, 'interrupted'
            ) from error
        if attempt == MAX_ATTEMPTS:
            raise _outcome_unknown_error(publication_id, str(cause)) from cause
        time.sleep(_RETRY_DELAY_S)


def _outcome_unknown_error(
    publication_id: ids.PublicationId, cause: str
) -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError(
        f'{cause}; the outcome is unknown, retry the command with '
        f'--publication-id {publication_id}'
    )


def _decode_result(
    response: httpcore.Response,
) -> operator_api.PublicationResult:
    try:
        return msgspec.json.decode(
            response.content, type=operator_api.PublicationResult
        )
    except msgspec.MsgspecError as error:
        raise errors.OutcomeUnknownError('malformed response') from error


def _wait_until_in_force(
    client: operator_client.OperatorClient,
    offset: int,
    timeout_s: float,
    now: Callable[[], float] = time.monotonic,
) -> None:
    deadline = now() + timeout_s
    behind: list[ids.DaemonId] | None = None
    while True:
        remaining_s = max(deadline - now(), _POLL_INTERVAL_S)
        try:
            behind = _fetch_behind(client, offset, remaining_s)
        except KeyboardInterrupt as error:
            raise errors.NotInForceError(behind) from error
        if behind == []:
            return
        if now() + _POLL_INTERVAL_S >= deadline:
            raise errors.NotInForceError(behind)
        time.sleep(_POLL_INTERVAL_S)


def _fetch_behind(
    client: operator_client.OperatorClient, offset: int, remaining_s: float
) -> list[ids.DaemonId] | None:
    timeout_s = min(remaining_s, operator_client.READ_TIMEOUT_S)
    try:
        response = client.get(f'behind?offset={offset}', _Behind, timeout_s)
    except errors.CommandError:
        # The change is accepted; only the daemons behind are unknown.
        return None
    return response.behind
