"""Reads and writes files of operators."""

import os
import pathlib

import msgspec

from sassafraswood.cli import errors

_PRIVATE_MODE = 0o600


def read_text(path: pathlib.Path) -> str:
    """Return the text of a file.

    Raises:
        BadInputError: It is not readable or no text.
    """
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        kind = type(error).__name__
        raise errors.BadInputError(f'{path}: not readable ({kind})') from error


def read_json(path: pathlib.Path) -> object:
    """Return the JSON value in a file.

    Raises:
        BadInputError: It is not readable or no JSON.
    """
    text = read_text(path)
    try:
        return msgspec.json.decode(text)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise errors.BadInputError(f'{path}: {error}') from error


def write_private(path: pathlib.Path, text: str) -> None:
    """Write a new file that only its owner may read.

    Raises:
        BadInputError: It exists or can't be written.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, _PRIVATE_MODE)
        with os.fdopen(descriptor, 'w') as file:
            # The process may run with a umask that takes more away.
            os.fchmod(file.fileno(), _PRIVATE_MODE)
            file.write(text + '\n')
    except OSError as error:
        kind = type(error).__name__
        raise errors.BadInputError(f'{path}: not written ({kind})') from error
