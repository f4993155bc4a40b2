"""Command that runs the daemon on the platform."""

from sassafraswood.platform import settings
from sassafraswood import process_signals
from sassafraswood import standard_streams


def sidecar() -> None:
    """Run the daemon beside an upstream on the platform.

    The variable SASSAFRASWOOD_SETTINGS names the settings file.
    """
    signals = process_signals.ProcessSignals()
    signals.install()
    standard_streams.open_missing()
    # Imported here, so that other commands do not load the servers.
    from sassafraswood.sidecar import process

    process.run(settings.load(settings.path_from_environment()), signals)
    signals.ignore()
