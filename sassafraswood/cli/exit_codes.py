"""Exit codes of the program."""

import enum


class ExitCode(enum.IntEnum):
    """What a script may conclude from the end of a command.

    1 is left to faults of the program itself, 130 to an interrupt from the
    keyboard.
    """

    DONE = 0
    BAD_INPUT = 2
    UNAVAILABLE = 3
    REFUSED = 4
    OUTCOME_UNKNOWN = 5
    NOT_IN_FORCE = 6
