"""Writes results and errors."""

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

    Texts may come from files or from the network, so control characters do
    not reach the terminal.
    """
    line = ' '.join(text.split())
    shown = ''.join(mark if mark.isprintable() else '?' for mark in line)
    typer.echo(f'error: {shown}', err=True)
