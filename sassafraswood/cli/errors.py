"""Errors that end a command."""

from typing import ClassVar

from sassafraswood.cli import exit_codes
from sassafraswood import exceptions
from sassafraswood.models import ids


class CommandError(exceptions.SassafraswoodError):
    """A command failed; each subclass has its own exit code."""

    exit_code: ClassVar[exit_codes.ExitCode]


class BadInputError(CommandError):
    """An argument, file or environment variable is invalid."""

    exit_code = exit_codes.ExitCode.BAD_INPUT


class UnavailableError(CommandError):
    """The daemon or the log is unreachable; nothing was changed."""

    exit_code = exit_codes.ExitCode.UNAVAILABLE


class RefusedError(CommandError):
    """The daemon refused the request; nothing was changed."""

    exit_code = exit_codes.ExitCode.REFUSED


class OutcomeUnknownError(CommandError):
    """It is unknown whether the request took effect."""

    exit_code = exit_codes.ExitCode.OUTCOME_UNKNOWN


class NotInForceError(CommandError):
    """A publication was accepted but is not known to be in force everywhere.

    Attributes:
        behind: Daemons that have not confirmed the publication; None if the
            queried daemon no longer responds.
    """

    exit_code = exit_codes.ExitCode.NOT_IN_FORCE

    def __init__(self, behind: list[ids.DaemonId] | None) -> None:
        """Build the message from the daemons that are behind."""
        if behind is None:
            text = (
                'accepted, but the daemon does not report where it is in force'
            )
        else:
            text = f'accepted, but not in force on: {", ".join(behind)}'
        super().__init__(text)
        self.behind = behind
