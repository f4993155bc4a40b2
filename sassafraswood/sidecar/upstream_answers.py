"""Tells what a response of the upstream states about its request."""

import enum
from typing import Final

from sassafraswood.models import fields
from sassafraswood.transport import exchange

# Status of an upstream that is not the expected instance.
STATUS_MISDIRECTED: Final = 421
# Statuses by which a client takes its request as not run.
NOT_RUN_STATUSES: Final = frozenset({408, STATUS_MISDIRECTED, 429, 503})


class AnswerKind(enum.Enum):
    """What a response states about the request whose id it bears."""

    # The request ran, and this is its result.
    FINAL = 'final'
    # The upstream refused the request and has not run it.
    REFUSED = 'refused'
    # It has not run it because it is not the expected instance.
    OTHER_INSTANCE = 'other_instance'
    # Its status states that the request has not run, without the field that
    # proves it; the request may have run.
    UNPROVEN = 'unproven'
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
    if response.status in NOT_RUN_STATUSES:
        return AnswerKind.UNPROVEN
    if (
        names.seal not in response.fields
        or b'content-encoding' in response.fields
    ):
        return AnswerKind.UNSEALED
    return AnswerKind.FINAL
