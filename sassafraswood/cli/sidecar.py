"""Command that runs the daemon on the platform."""

import faulthandler

import typer

from sassafraswood import process_signals
from sassafraswood import standard_streams


def sidecar() -> None:
    """Run the daemon beside an upstream on the platform.

    The variable SASSAFRASWOOD_SETTINGS names the settings file.
    """
    signals = process_signals.ProcessSignals()
    signals.install()
    try:
        standard_streams.open_missing()
        faulthandler.enable(standard_streams.STANDARD_DESCRIPTORS[2])
        # Imported here, so that other commands do not load the servers.
        from sassafraswood.sidecar import startup

        code = startup.run(signals)
    finally:
        signals.ignore()
    raise typer.Exit(code)
