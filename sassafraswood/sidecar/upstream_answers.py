"""Tells what a response of the upstream states about its request."""

import enum
from typing import Final

from sassafraswood.models import fields
from sassafraswood.transport import exchange

# Status of an upstream that is not the expected instance.
STATUS_MISDIRECTED: Final = 421


class AnswerKind(enum.Enum):
    """What a response states about the request whose id it bears."""

    # The request ran, and this is its result.
    FINAL = 'final'
    # The upstream refused the request and has not run it.
    REFUSED = 'refused'
    # It has not run it because it is not the expected instance.
    OTHER_INSTANCE = 'other_instance'
    # The sender is not known, and the request may have run.
    UNSEALED = 'unsealed'


def classify(
    response: exchange.Response, names: fields.FieldNames
) -> AnswerKind:
    """Return what a response states.

    Args:
        response: Response that bears the id of its request.
        names: Names of header fields.
    """
    if names.not_run in response.fields:
        return AnswerKind.REFUSED
    if response.status == STATUS_MISDIRECTED:
        return AnswerKind.OTHER_INSTANCE
    if (
        names.seal not in response.fields
        or b'content-encoding' in response.fields
    ):
        return AnswerKind.UNSEALED
    return AnswerKind.FINAL
