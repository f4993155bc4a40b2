"""Command line of sassafraswood."""

import os
import pathlib

import typer

from sassafraswood import const
from sassafraswood import daemon
from sassafraswood import exceptions
from sassafraswood.protocol import settings as settings_module

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


@app.command()
def run(settings: pathlib.Path) -> None:
    """Run the daemon with a settings file until SIGTERM or SIGINT.

    Example: sassafraswood run settings.json
    """
    try:
        loaded = settings_module.load_settings(
            settings.read_text(),
            os.environ,
            lambda path: pathlib.Path(path).read_text(),
        )
    except exceptions.SettingsError as error:
        for problem in error.problems:
            typer.echo(str(problem), err=True)
        raise typer.Exit(2) from error
    daemon.run(loaded)


def main() -> None:
    """Run the command line."""
    app()
