"""Command that runs the daemon on the platform."""

from sassafraswood.platform import settings
from sassafraswood import process_signals
from sassafraswood.sidecar import process


def sidecar() -> None:
    """Run the daemon beside an upstream on the platform.

    The variable SASSAFRASWOOD_SETTINGS names the settings file.
    """
    signals = process_signals.ProcessSignals()
    signals.install()
    process.run(settings.load(settings.path_from_environment()), signals)
    signals.ignore()
