"""Entry point of python -m sassafraswood.sidecar.

It starts faster than the command line tool, which imports every command.
"""

import faulthandler
import os

from sassafraswood import process_signals
from sassafraswood import standard_streams


def main() -> int:
    """Run the daemon.

    Returns:
        The exit code; 1 after an unexpected error, and 2 after problems of
        the settings, written to stderr.
    """
    signals = process_signals.ProcessSignals()
    signals.install()
    try:
        standard_streams.open_missing()
        # A crash of compiled code leaves its reason on stderr.
        faulthandler.enable(standard_streams.STANDARD_DESCRIPTORS[2])
        # Imports all modules of the daemon, which takes most of the start.
        from sassafraswood.sidecar import startup

        return startup.run(signals)
    except Exception as error:
        from sassafraswood.sidecar import last_line

        last_line.write(error)
        return 1
    finally:
        signals.ignore()


if __name__ == '__main__':
    # All output is written, and the end of the interpreter would take a part
    # of the grace time on a busy machine.
    os._exit(main())
