"""HTTP client of the operator interface of a daemon."""

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
# A daemon retries a publication for PUBLISH_TIMEOUT_S and may then still be
# waiting for one request to the log.
WRITE_TIMEOUT_S: Final = const.PUBLISH_TIMEOUT_S + 2 * const.LOG_TIMEOUT_S
_CONNECT_TIMEOUT_S: Final = 3.0
_TOKEN_PATTERN: Final = re.compile(
    rf'[!-~]{{{settings.MIN_TOKEN_CHARACTERS},'
    rf'{settings.MAX_TOKEN_CHARACTERS}}}'
)
_BAD_INPUT_STATUSES: Final = frozenset({400, 404, 405, 413, 422})
_REFUSED_STATUSES: Final = frozenset({401, 403, 409})


class OperatorClient:
    """Sends requests to one daemon, each over a new connection."""

    def __init__(self, *, url: str, token: settings.Secret) -> None:
        """Create a client of the daemon at a URL http://host:port."""
        self._url = url
        self._token = token

    def get(self, path: str, response_type: type[_T], timeout_s: float) -> _T:
        """Return the decoded response to a GET request.

        Raises:
            UnavailableError: There is no response, or it is malformed.
            RefusedError: The daemon refuses the operator token.
            BadInputError: The daemon does not serve the path.
        """
        try:
            response = self._request('GET', path, b'', timeout_s)
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as error:
            raise self._unavailable(error) from error
        if response.status != 200:
            raise _error_for_response(response, errors.UnavailableError)
        try:
            return msgspec.json.decode(response.content, type=response_type)
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError('malformed response') from error

    def post(
        self, path: str, value: object, timeout_s: float
    ) -> httpcore.Response:
        """Return a response of status 200, 202 or 409 to a POST request.

        Raises:
            UnavailableError: The request had no effect.
            RefusedError: The daemon refuses the operator token.
            BadInputError: The daemon rejects the request as invalid.
            OutcomeUnknownError: The request may have taken effect.
        """
        body = msgspec.json.encode(value)
        try:
            response = self._request('POST', path, body, timeout_s)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise self._unavailable(error) from error
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as error:
            error_name = type(error).__name__
            raise errors.OutcomeUnknownError(
                f'no response ({error_name})'
            ) from error
        if response.status in (200, 202, 409):
            return response
        if response.status == 503:
            raise _error_for_response(response, errors.UnavailableError)
        raise _error_for_response(response, errors.OutcomeUnknownError)

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
        error_name = type(error).__name__
        return errors.UnavailableError(
            f'{self._url}: no response ({error_name})'
        )


def open_client(url: str, token_file: pathlib.Path | None) -> OperatorClient:
    """Create a client from the options of a command.

    Raises:
        BadInputError: The URL or the token is missing or invalid.
    """
    token = _read_token(token_file, os.environ)
    return OperatorClient(url=_check_url(url), token=token)


def describe_error(response: httpcore.Response) -> str:
    """Return the error and its detail from an unsuccessful response."""
    try:
        decoded = msgspec.json.decode(
            response.content, type=operator_api.ErrorResult
        )
    except msgspec.MsgspecError:
        return f'status {response.status}'
    if not decoded.detail:
        return decoded.error
    return f'{decoded.error}: {decoded.detail}'


def _error_for_response(
    response: httpcore.Response, default_error: type[errors.CommandError]
) -> errors.CommandError:
    text = describe_error(response)
    if response.status in _BAD_INPUT_STATUSES:
        return errors.BadInputError(text)
    if response.status in _REFUSED_STATUSES:
        return errors.RefusedError(text)
    return default_error(text)


def _check_url(url: str) -> str:
    try:
        parts = urllib.parse.urlsplit(url)
        is_valid = (
            re.fullmatch(r'[!-~]+', url) is not None
            and parts.scheme in ('http', 'https')
            and bool(parts.hostname)
            and bool(parts.port)
            and parts.path in ('', '/')
            and not any(character in url for character in '@?#')
        )
    except ValueError:
        is_valid = False
    if not is_valid:
        # The URL may contain a password, so the message omits it.
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
    if not _TOKEN_PATTERN.fullmatch(text):
        raise errors.BadInputError(
            'the operator token must have '
            f'{settings.MIN_TOKEN_CHARACTERS} to '
            f'{settings.MAX_TOKEN_CHARACTERS} visible ASCII characters'
        )
    return settings.Secret(text)
