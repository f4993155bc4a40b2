"""Command that tells the story of a request from log lines."""

import json
import pathlib
import sys
from typing import Annotated, Any, TextIO

import typer

from sassafraswood.cli import errors
from sassafraswood.cli import output

# Fields that hold the id of a request.
_ID_FIELDS = ('request', 'attempt', 'parent')


def explain(
    request_id: Annotated[str, typer.Argument(help='Id of the request.')],
    files: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help='Files of log lines; standard input if none.'),
    ] = None,
) -> None:
    """Print the lines of a request and of the calls that it made.

    Example: sassafraswood explain 9c41d07be2a35f68 daemon-1.log daemon-2.log
    """
    lines = []
    if not files:
        lines += read_lines(sys.stdin)
    for path in files or []:
        try:
            with path.open(encoding='utf-8', errors='replace') as stream:
                lines += read_lines(stream)
        except OSError as error:
            raise errors.BadInputError(f'{path}: {error.strerror}') from error
    story = select(lines, request_id)
    if not story:
        raise errors.BadInputError(f'no line names {request_id}')
    for line in story:
        output.print_line(format_line(line))


def read_lines(stream: TextIO) -> list[dict[str, Any]]:
    """Return the log lines of a stream; other text is left out."""
    lines = []
    for text in stream:
        start = text.find('{"at":')
        if start < 0:
            continue
        try:
            lines.append(json.loads(text[start:]))
        except json.JSONDecodeError:
            # A line that was cut when its process ended.
            continue
    return lines


def select(
    lines: list[dict[str, Any]], request_id: str
) -> list[dict[str, Any]]:
    """Return the lines of a request and its calls, in order of time."""
    wanted = {request_id}
    while True:
        calls = {
            str(line['request'])
            for line in lines
            if line.get('parent') in wanted and 'request' in line
        }
        if calls <= wanted:
            break
        wanted |= calls
    story = [
        line
        for line in lines
        if any(line.get(field) in wanted for field in _ID_FIELDS)
    ]
    return sorted(story, key=lambda line: line['at'])


def format_line(line: dict[str, Any]) -> str:
    """Return one line for a person."""
    rest = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in ('at', 'daemon', 'event')
    )
    return f'{line["at"]:.4f} {line["daemon"]} {line["event"]} {rest}'
