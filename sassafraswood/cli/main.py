"""Command line of sassafraswood."""

import typer

from sassafraswood import const

app = typer.Typer(no_args_is_help=True)


@app.callback()
def root() -> None:
    """Overload control layer for service call graphs."""


@app.command()
def version() -> None:
    """Print the version.

    Example: sassafraswood version
    """
    typer.echo(const.VERSION)


def main() -> None:
    """Run the command line."""
    app()
