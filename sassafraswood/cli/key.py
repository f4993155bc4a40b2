"""Commands that generate, grant and withdraw the keys of callers."""

import hashlib
import pathlib
import re
import secrets
from typing import Annotated
from typing import Final

import typer

from sassafraswood.cli import errors
from sassafraswood.cli import files
from sassafraswood.cli import operator_client
from sassafraswood.cli import options
from sassafraswood.cli import output
from sassafraswood.cli import publication
from sassafraswood import exceptions
from sassafraswood.models import ids
from sassafraswood.protocol import checks
from sassafraswood.protocol import headers
from sassafraswood.protocol import operator_api

KEY_BYTES: Final = 32
# 32 hexadecimal digits hold 128 bits. The log stores an unsalted SHA-256 of
# the key, which protects only keys that are random.
MIN_KEY_CHARACTERS: Final = 32
_SHA256: Final = re.compile(r'[0-9a-f]{64}')

app = typer.Typer(
    no_args_is_help=True, rich_markup_mode=None, help='Keys of callers.'
)

KeyId = Annotated[str, typer.Argument(help='Name of the key.')]


@app.command()
def generate(
    key_file: Annotated[
        pathlib.Path | None,
        typer.Option(help='New file for the key, instead of printing it.'),
    ] = None,
    as_json: options.Json = False,
) -> None:
    """Generate a random key and print it with its SHA-256.

    Give the key to the caller and the SHA-256 to "key grant".

    Example: sassafraswood key generate --key-file partner.key
    """
    key = secrets.token_urlsafe(KEY_BYTES)
    result = {'key': key, 'sha256': hashlib.sha256(key.encode()).hexdigest()}
    if key_file is not None:
        files.write_private(key_file, key)
        del result['key']
    if as_json:
        output.print_json(result)
        return
    for name, value in result.items():
        output.print_line(f'{name}: {value}')


@app.command()
def grant(
    key_id: KeyId,
    workspace: Annotated[
        str, typer.Argument(help='Workspace that the key makes calls for.')
    ],
    daemon: options.Daemon,
    sha256: Annotated[
        str | None, typer.Option(help='SHA-256 of the key in hexadecimal.')
    ] = None,
    key_file: Annotated[
        pathlib.Path | None, typer.Option(help='File that contains the key.')
    ] = None,
    token_file: options.TokenFile = None,
    publication_id: options.PublicationId = None,
    wait: options.Wait = True,
    timeout: options.WaitTimeout = options.DEFAULT_WAIT_S,
    as_json: options.Json = False,
) -> None:
    """Allow a key to make calls for a workspace.

    Example: sassafraswood key grant partner-1 partner --key-file partner.key
    """
    identifier = publication.check_id(publication_id)
    _check_names(key_id=key_id, workspace=workspace)
    digest = _read_digest(sha256, key_file)
    publication.publish(
        operator_client.open_client(daemon, token_file),
        'keys/grant',
        operator_api.GrantRequest(
            publication_id=identifier,
            key_id=ids.KeyId(key_id),
            workspace=ids.Workspace(workspace),
            key_sha256=digest,
        ),
        identifier,
        publication.WaitOptions(
            timeout_s=timeout if wait else None, as_json=as_json
        ),
    )


@app.command()
def withdraw(
    key_id: KeyId,
    daemon: options.Daemon,
    token_file: options.TokenFile = None,
    publication_id: options.PublicationId = None,
    wait: options.Wait = True,
    timeout: options.WaitTimeout = options.DEFAULT_WAIT_S,
    as_json: options.Json = False,
) -> None:
    """Withdraw a key permanently; its queued calls are refused as well.

    Example: sassafraswood key withdraw partner-1
    """
    identifier = publication.check_id(publication_id)
    _check_names(key_id=key_id)
    publication.publish(
        operator_client.open_client(daemon, token_file),
        'keys/withdraw',
        operator_api.WithdrawRequest(
            publication_id=identifier, key_id=ids.KeyId(key_id)
        ),
        identifier,
        publication.WaitOptions(
            timeout_s=timeout if wait else None, as_json=as_json
        ),
    )


def _check_names(**names: str) -> None:
    checker = checks.Checker()
    for name, value in names.items():
        checker.name(name, value)
    if checker.problems:
        raise exceptions.InvalidInputError(checker.problems)


def _read_digest(sha256: str | None, key_file: pathlib.Path | None) -> str:
    if (sha256 is None) == (key_file is None):
        raise errors.BadInputError(
            'exactly one of --sha256 and --key-file is required'
        )
    if key_file is not None:
        return _hash_key(files.read_text(key_file).strip())
    digest = (sha256 or '').lower()
    if not _SHA256.fullmatch(digest):
        # The value may be the key itself, so the message omits it.
        raise errors.BadInputError('--sha256 must be 64 hexadecimal digits')
    return digest


def _hash_key(key: str) -> str:
    try:
        parsed_key = headers.parse_bearer_key(
            [('authorization', f'Bearer {key}')]
        )
    except exceptions.HeaderError:
        parsed_key = None
    if parsed_key != key or len(key) < MIN_KEY_CHARACTERS:
        raise errors.BadInputError(
            f'the key must have {MIN_KEY_CHARACTERS} to '
            f'{headers.MAX_KEY_CHARACTERS} characters of a bearer token '
            '(RFC 6750) and should come from "key generate"'
        )
    return hashlib.sha256(key.encode()).hexdigest()
