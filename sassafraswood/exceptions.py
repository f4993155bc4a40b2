"""Exceptions of sassafraswood."""

from sassafraswood.models import enums


class SassafraswoodError(Exception):
    """Base class of all errors of this package."""


class InvalidInputError(SassafraswoodError):
    """Input from a user or a program is invalid.

    Attributes:
        problems: All problems found in the input.
    """

    def __init__(self, problems: list['Problem']) -> None:
        """Create an error that lists all problems."""
        super().__init__('; '.join(str(problem) for problem in problems))
        self.problems = problems


class Problem:
    """One problem in a document or settings file.

    Attributes:
        path: Path of the value in the file.
        found: The value that was found.
        allowed: The values that are allowed.
    """

    def __init__(self, path: str, found: str, allowed: str) -> None:
        """Create a problem of the value at a path in the file."""
        self.path = path
        self.found = found
        self.allowed = allowed

    def __str__(self) -> str:
        """Return a description of one line."""
        return f'{self.path}: found {self.found}, allowed {self.allowed}'


class SettingsError(InvalidInputError):
    """A settings file is invalid."""


class DocumentError(InvalidInputError):
    """A service document is invalid."""


class DecodeError(SassafraswoodError):
    """Bytes could not be decoded as a message or record."""


class HeaderError(SassafraswoodError):
    """A header of a request is invalid.

    Attributes:
        reason: Reason code for the caller.
    """

    def __init__(self, reason: enums.RefusalReason, detail: str) -> None:
        """Create an error; the detail must not contain secrets."""
        super().__init__(detail)
        self.reason = reason


class LogError(SassafraswoodError):
    """A request to the log failed."""


class LogUnavailableError(LogError):
    """The log is unreachable, failed the request or sent a malformed answer.

    An append that raises this error counts as not done.
    """


class LogOutcomeUnknownError(LogError):
    """The response to an append was lost; the append may have succeeded."""


class LogRetentionError(LogError):
    """The requested records are older than the retention of the log.

    Attributes:
        first: First offset that the log still stores.
    """

    def __init__(self, first: int) -> None:
        """Create an error with the first offset that the log still stores."""
        super().__init__(
            f'log records before offset {first} are no longer stored'
        )
        self.first = first


class OffsetGapError(LogError):
    """A log entry does not follow the last applied entry.

    Attributes:
        expected: First offset that was not applied.
        found: Offset of the entry.
    """

    def __init__(self, expected: int, found: int) -> None:
        """Create an error with both offsets."""
        super().__init__(
            f'log entry has offset {found}, expected offset {expected}'
        )
        self.expected = expected
        self.found = found


class PeerError(SassafraswoodError):
    """A request to a peer failed."""


class PeerUnreachableError(PeerError):
    """The message could not be sent to the peer."""


class PeerSilentError(PeerError):
    """The message was sent, but the peer did not reply in time."""


class UpstreamError(SassafraswoodError):
    """A call to an upstream failed.

    Attributes:
        reason: Reason code for the caller.
        outcome: Whether the upstream may have run the call.
    """

    def __init__(
        self, reason: enums.RefusalReason, outcome: enums.Outcome
    ) -> None:
        """Create an error with the reason and the known outcome."""
        super().__init__(f'{reason.value} ({outcome.value})')
        self.reason = reason
        self.outcome = outcome


class CallTableFullError(SassafraswoodError):
    """The table of call tokens is full.

    Attributes:
        limit: Largest number of calls with a call token.
    """

    def __init__(self, limit: int) -> None:
        """Create an error with the largest number of calls."""
        super().__init__(f'all {limit} call tokens are in use')
        self.limit = limit
