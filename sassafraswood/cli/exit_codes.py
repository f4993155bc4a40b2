"""Exit codes of the program."""

import enum


class ExitCode(enum.IntEnum):
    """Result of a command, for scripts.

    Code 1 is reserved for unhandled exceptions of the program and 130 for an
    interrupt from the keyboard.
    """

    DONE = 0
    BAD_INPUT = 2
    UNAVAILABLE = 3
    REFUSED = 4
    OUTCOME_UNKNOWN = 5
    NOT_IN_FORCE = 6
    FINDINGS = 7
