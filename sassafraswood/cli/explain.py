"""Command that prints the log lines of a request and of its calls."""

import json
import pathlib
import sys
from typing import Annotated, Any, TextIO

import typer

from sassafraswood.cli import errors
from sassafraswood.cli import output

# Fields of a log line that hold the id of a request.
_ID_FIELDS = ('request', 'attempt', 'parent')


def explain(
    request_id: Annotated[str, typer.Argument(help='Id of the request.')],
    files: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help='Log files; standard input if none is given.'),
    ] = None,
) -> None:
    """Print the log lines of a request and of the calls that it made.

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
    selected = select_lines(lines, request_id)
    if not selected:
        raise errors.BadInputError(f'no line names {request_id}')
    for line in selected:
        output.print_line(format_line(line))


def read_lines(stream: TextIO) -> list[dict[str, Any]]:
    """Return the parsed log lines of a stream and skip other text.

    Text in front of the JSON object, such as a time stamp, is ignored.
    """
    lines = []
    for text in stream:
        start = text.find('{"at":')
        if start < 0:
            continue
        try:
            lines.append(json.loads(text[start:]))
        except json.JSONDecodeError:
            # The process ended while it wrote this line.
            continue
    return lines


def select_lines(
    lines: list[dict[str, Any]], request_id: str
) -> list[dict[str, Any]]:
    """Return the lines of a request and of all its calls, sorted by time."""
    wanted_ids = {request_id}
    while True:
        call_ids = {
            str(line['request'])
            for line in lines
            if line.get('parent') in wanted_ids and 'request' in line
        }
        if call_ids <= wanted_ids:
            break
        wanted_ids |= call_ids
    selected = [
        line
        for line in lines
        if any(line.get(field) in wanted_ids for field in _ID_FIELDS)
    ]
    return sorted(selected, key=lambda line: line['at'])


def format_line(line: dict[str, Any]) -> str:
    """Return a log line as text: time in seconds, daemon, event, fields."""
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in ('at', 'daemon', 'event')
    )
    return f'{line["at"]:.4f} {line["daemon"]} {line["event"]} {fields}'
