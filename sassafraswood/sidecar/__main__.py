"""Entry point of python -m sassafraswood.sidecar.

It starts faster than the command line tool, which imports every command.
"""

import sys

from sassafraswood import exceptions
from sassafraswood.platform import settings
from sassafraswood.sidecar import process


def main() -> int:
    """Run the daemon.

    Returns:
        The exit code; 2 after problems of the settings, written to stderr.
    """
    try:
        loaded = settings.load(settings.path_from_environment())
    except exceptions.SettingsError as error:
        for problem in error.problems:
            sys.stderr.write(f'{problem}\n')
        return 2
    process.run(loaded)
    return 0


if __name__ == '__main__':
    sys.exit(main())
