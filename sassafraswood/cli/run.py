"""Command that runs the daemon."""

import pathlib
from typing import Annotated

import typer

from sassafraswood.cli import check
from sassafraswood import process_signals
from sassafraswood import standard_streams


def run(
    settings: Annotated[pathlib.Path, typer.Argument(help='Settings file.')],
) -> None:
    """Run the daemon with a settings file until SIGTERM or SIGINT.

    Example: sassafraswood run settings.json
    """
    signals = process_signals.ProcessSignals(handles_reload=False)
    signals.install()
    try:
        standard_streams.open_missing()
        loaded = check.load_settings(settings)
        # Imported here, so that other commands do not load the servers.
        from sassafraswood import daemon

        daemon.run(loaded, signals)
    finally:
        signals.ignore()
