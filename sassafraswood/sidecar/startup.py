"""Start of the daemon process, from its settings to the event loop."""

import contextlib
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
    log = json_log.JsonLog('')
    # The settings are read only now.
    signals.take_reload()
    try:
        settings = _read_settings(signals, log)
    except exceptions.SettingsError as error:
        if not signals.stop_signal:
            _report_problems(error, log)
            return 2
    if signals.stop_signal:
        log.change('stopped_at_start', signal=signals.stop_signal)
        log.flush()
        return 0
    process.run(settings, signals)
    return 0


def _read_settings(
    signals: process_signals.ProcessSignals, log: json_log.JsonLog
) -> settings_module.PlatformSettings:
    def note_wait(error: exceptions.SettingsError) -> None:
        log.change('settings_awaited', error=str(error))
        log.flush()

    return settings_module.load_at_start(
        settings_module.path_from_environment(),
        is_stopping=lambda: bool(signals.stop_signal),
        on_wait=note_wait,
    )


def _report_problems(
    error: exceptions.SettingsError, log: json_log.JsonLog
) -> None:
    log.change('settings_rejected', error=str(error))
    log.flush()
    # The log line names them, too, if nobody reads stderr.
    with contextlib.suppress(OSError, AttributeError):
        for problem in error.problems:
            sys.stderr.write(f'{problem}\n')
        sys.stderr.flush()
