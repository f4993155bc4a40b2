"""Reads and writes the files that operators name in commands."""

import os
import pathlib

import msgspec

from sassafraswood.cli import errors

_PRIVATE_MODE = 0o600


def read_text(path: pathlib.Path) -> str:
    """Return the text of a file.

    Raises:
        BadInputError: The file is not readable or holds no valid text.
    """
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        error_name = type(error).__name__
        raise errors.BadInputError(
            f'{path}: not readable ({error_name})'
        ) from error


def read_json(path: pathlib.Path) -> object:
    """Return the JSON value in a file.

    Raises:
        BadInputError: The file is not readable or holds no valid JSON.
    """
    text = read_text(path)
    try:
        return msgspec.json.decode(text)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise errors.BadInputError(f'{path}: {error}') from error


def write_private(path: pathlib.Path, text: str) -> None:
    """Write a new file that only its owner may read.

    Raises:
        BadInputError: The file exists already or cannot be written.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        file_descriptor = os.open(path, flags, _PRIVATE_MODE)
        with os.fdopen(file_descriptor, 'w') as file:
            # The umask may have cleared permissions of the owner.
            os.fchmod(file.fileno(), _PRIVATE_MODE)
            file.write(text + '\n')
    except OSError as error:
        error_name = type(error).__name__
        raise errors.BadInputError(
            f'{path}: not written ({error_name})'
        ) from error
