"""Start of the daemon process, from its settings to the event loop."""

import sys

from sassafraswood import exceptions
from sassafraswood.platform import settings as settings_module
from sassafraswood import process_signals
from sassafraswood.sidecar import process
from sassafraswood.transport import json_log


def run(signals: process_signals.ProcessSignals) -> int:
    """Read the settings and run the daemon until it has stopped.

    Returns:
        The exit code; 2 after problems of the settings, written to stderr.
    """
    if signals.stop_signal:
        return _stop_at_start(signals, json_log.JsonLog(''))
    # The settings are read only now.
    signals.take_reload()
    try:
        settings = settings_module.load(
            settings_module.path_from_environment()
        )
    except exceptions.SettingsError as error:
        for problem in error.problems:
            sys.stderr.write(f'{problem}\n')
        return 2
    process.run(settings, signals)
    return 0


def _stop_at_start(
    signals: process_signals.ProcessSignals, log: json_log.JsonLog
) -> int:
    log.change('stopped_at_start', signal=signals.stop_signal)
    log.flush()
    return 0
