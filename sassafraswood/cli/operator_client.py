"""Client of the operators' interface of a daemon."""

from collections.abc import Mapping
import os
import pathlib
import re
from typing import Final
from typing import TypeVar
import urllib.parse

import httpcore
import msgspec

from sassafraswood.cli import errors
from sassafraswood.cli import files
from sassafraswood import const
from sassafraswood.protocol import operator_api
from sassafraswood.protocol import settings

_T = TypeVar('_T')

TOKEN_VARIABLE: Final = 'SASSAFRASWOOD_OPERATOR_TOKEN'
READ_TIMEOUT_S: Final = 5.0
# A daemon tries to publish for PUBLISH_TIMEOUT_S and may then still wait for
# one request to the log.
WRITE_TIMEOUT_S: Final = const.PUBLISH_TIMEOUT_S + 2 * const.LOG_TIMEOUT_S
_CONNECT_TIMEOUT_S: Final = 3.0
_TOKEN: Final = re.compile(
    rf'[!-~]{{{settings.MIN_TOKEN_CHARACTERS},'
    rf'{settings.MAX_TOKEN_CHARACTERS}}}'
)
_BAD_INPUT_STATUS: Final = frozenset({400, 404, 405, 413, 422})
_REFUSED_STATUS: Final = frozenset({401, 403, 409})


class OperatorClient:
    """Sends requests to one daemon, each on a connection of its own."""

    def __init__(self, *, url: str, token: settings.Secret) -> None:
        """Use the daemon at http://host:port."""
        self._url = url
        self._token = token

    def get(self, path: str, kind: type[_T], timeout_s: float) -> _T:
        """Return the decoded answer to a GET request.

        Raises:
            UnavailableError: There is no answer, or it is malformed.
            RefusedError: The token is wrong.
            BadInputError: The daemon does not know the path.
        """
        try:
            answer = self._request('GET', path, b'', timeout_s)
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as error:
            raise self._unavailable(error) from error
        if answer.status != 200:
            raise _failure(answer, errors.UnavailableError)
        try:
            return msgspec.json.decode(answer.content, type=kind)
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError('malformed answer') from error

    def post(
        self, path: str, value: object, timeout_s: float
    ) -> httpcore.Response:
        """Return an answer of status 200, 202 or 409 to a POST request.

        Raises:
            UnavailableError: The request had no effect.
            RefusedError: The token is wrong.
            BadInputError: The daemon does not take the request.
            OutcomeUnknownError: The request may have taken effect.
        """
        body = msgspec.json.encode(value)
        try:
            answer = self._request('POST', path, body, timeout_s)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise self._unavailable(error) from error
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as error:
            kind = type(error).__name__
            raise errors.OutcomeUnknownError(f'no answer ({kind})') from error
        if answer.status in (200, 202, 409):
            return answer
        if answer.status == 503:
            raise _failure(answer, errors.UnavailableError)
        raise _failure(answer, errors.OutcomeUnknownError)

    def _request(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> httpcore.Response:
        timeouts = {
            'connect': min(_CONNECT_TIMEOUT_S, timeout_s),
            'read': timeout_s,
            'write': timeout_s,
            'pool': timeout_s,
        }
        with httpcore.ConnectionPool() as pool:
            return pool.request(
                method,
                f'{self._url}/operator/{path}',
                headers={
                    'content-type': 'application/json',
                    'authorization': f'Bearer {self._token.reveal()}',
                },
                content=body,
                extensions={'timeout': timeouts},
            )

    def _unavailable(self, error: Exception) -> errors.UnavailableError:
        kind = type(error).__name__
        return errors.UnavailableError(f'{self._url}: no answer ({kind})')


def open_client(url: str, token_file: pathlib.Path | None) -> OperatorClient:
    """Return a client for the options of a command.

    Raises:
        BadInputError: URL or token is wrong.
    """
    token = _read_token(token_file, os.environ)
    return OperatorClient(url=_check_url(url), token=token)


def refusal_text(answer: httpcore.Response) -> str:
    """Return the reason and detail of an answer that is no success."""
    try:
        decoded = msgspec.json.decode(
            answer.content, type=operator_api.ErrorResult
        )
    except msgspec.MsgspecError:
        return f'status {answer.status}'
    if not decoded.detail:
        return decoded.error
    return f'{decoded.error}: {decoded.detail}'


def _failure(
    answer: httpcore.Response, otherwise: type[errors.CommandError]
) -> errors.CommandError:
    text = refusal_text(answer)
    if answer.status in _BAD_INPUT_STATUS:
        return errors.BadInputError(text)
    if answer.status in _REFUSED_STATUS:
        return errors.RefusedError(text)
    return otherwise(text)


def _check_url(url: str) -> str:
    try:
        parts = urllib.parse.urlsplit(url)
        is_sound = (
            re.fullmatch(r'[!-~]+', url) is not None
            and parts.scheme in ('http', 'https')
            and bool(parts.hostname)
            and bool(parts.port)
            and parts.path in ('', '/')
            and not any(mark in url for mark in '@?#')
        )
    except ValueError:
        is_sound = False
    if not is_sound:
        # A URL may hold a password, so it is not shown.
        raise errors.BadInputError('--daemon must be http://host:port')
    return url.rstrip('/')


def _read_token(
    path: pathlib.Path | None, environ: Mapping[str, str]
) -> settings.Secret:
    if path is not None:
        text = files.read_text(path).strip()
    else:
        text = environ.get(TOKEN_VARIABLE, '')
    if not text:
        raise errors.BadInputError(
            f'no operator token: set {TOKEN_VARIABLE} or use --token-file'
        )
    if not _TOKEN.fullmatch(text):
        raise errors.BadInputError(
            'the operator token must have '
            f'{settings.MIN_TOKEN_CHARACTERS} to '
            f'{settings.MAX_TOKEN_CHARACTERS} visible ASCII characters'
        )
    return settings.Secret(text)
