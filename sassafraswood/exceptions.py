"""Exceptions of sassafraswood."""

from sassafraswood.models import enums


class SassafraswoodError(Exception):
    """Base of all errors of this package."""


class InvalidInputError(SassafraswoodError):
    """Input that a person or program gave is wrong.

    Attributes:
        problems: All problems found.
    """

    def __init__(self, problems: list['Problem']) -> None:
        """Take all problems found."""
        super().__init__('; '.join(str(problem) for problem in problems))
        self.problems = problems


class Problem:
    """One error of a document or settings file."""

    def __init__(self, path: str, found: str, allowed: str) -> None:
        """Name the path in the file, what was found and what is allowed."""
        self.path = path
        self.found = found
        self.allowed = allowed

    def __str__(self) -> str:
        """Return one line for a person."""
        return f'{self.path}: found {self.found}, allowed {self.allowed}'


class SettingsError(InvalidInputError):
    """A settings file is wrong."""


class DocumentError(InvalidInputError):
    """A service document is wrong."""


class DecodeError(SassafraswoodError):
    """Bytes that are no message or record."""


class HeaderError(SassafraswoodError):
    """A header of a request is wrong.

    Attributes:
        reason: Reason code for the caller.
    """

    def __init__(self, reason: enums.RefusalReason, detail: str) -> None:
        """Take the reason and a text that names no secret."""
        super().__init__(detail)
        self.reason = reason


class LogError(SassafraswoodError):
    """The platform's log failed."""


class LogUnavailableError(LogError):
    """The log was not reached; nothing was appended."""


class LogOutcomeUnknownError(LogError):
    """The answer to an append was lost; it may have taken effect."""


class LogRetentionError(LogError):
    """The offset is past retention.

    Attributes:
        first: First offset that is kept.
    """

    def __init__(self, first: int) -> None:
        """Take the first offset that is kept."""
        super().__init__(f'records before offset {first} are not kept')
        self.first = first


class OffsetGapError(LogError):
    """An entry does not follow the entries that were folded.

    Attributes:
        expected: First offset that was not folded.
        found: Offset of the entry.
    """

    def __init__(self, expected: int, found: int) -> None:
        """Take both offsets."""
        super().__init__(f'offset {found} does not follow, need {expected}')
        self.expected = expected
        self.found = found


class PeerError(SassafraswoodError):
    """A message to a peer failed."""


class PeerUnreachableError(PeerError):
    """The message was not sent."""


class PeerSilentError(PeerError):
    """The message was sent and no answer came."""


class UpstreamError(SassafraswoodError):
    """A call to the upstream failed.

    Attributes:
        reason: Reason code for the caller.
        outcome: Whether the upstream may have run the call.
    """

    def __init__(
        self, reason: enums.RefusalReason, outcome: enums.Outcome
    ) -> None:
        """Take the reason and what is known about the run."""
        super().__init__(f'{reason.value} ({outcome.value})')
        self.reason = reason
        self.outcome = outcome


class CallTableFullError(SassafraswoodError):
    """Too many calls hold a call token.

    Attributes:
        limit: Largest number of calls.
    """

    def __init__(self, limit: int) -> None:
        """Take the largest number of calls."""
        super().__init__(f'{limit} calls already hold a call token')
        self.limit = limit
