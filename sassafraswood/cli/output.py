"""Writes the results and errors of commands."""

from collections.abc import Sequence

import msgspec
import typer


def print_json(value: object) -> None:
    """Write a value as indented JSON to standard output."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Write rows with aligned columns to standard output."""
    table = [header, *rows]
    widths = [
        max(len(row[column]) for row in table) for column in range(len(header))
    ]
    for row in table:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        typer.echo('  '.join(cells).rstrip())


def print_line(text: str) -> None:
    """Write one line to standard output."""
    typer.echo(text)


def print_error(text: str) -> None:
    """Write one line to standard error.

    The text may come from a file or from the network, so line breaks become
    spaces and other unprintable characters question marks.
    """
    line = ' '.join(text.split())
    printable = ''.join(
        character if character.isprintable() else '?' for character in line
    )
    typer.echo(f'error: {printable}', err=True)
