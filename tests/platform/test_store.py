"""Tests of the client of the platform's store."""

import pytest

from sassafraswood import exceptions
from sassafraswood.platform import store
from sassafraswood.transport import exchange


def make_response(status: int) -> exchange.Response:
    """Return a response without a body."""
    return exchange.Response(status=status, head=b'', fields={}, body=b'')


@pytest.mark.parametrize('status', [429, 503, 507])
def test_refused_call_had_no_effect(status: int) -> None:
    """The store says that it did nothing."""
    with pytest.raises(exceptions.LogUnavailableError):
        store._check_status(make_response(status))


# Guards against taking any failure for a proof that nothing was appended.
@pytest.mark.parametrize('status', [202, 500, 502, 504])
def test_outcome_of_other_failures_is_unknown(status: int) -> None:
    """The record may have been appended."""
    with pytest.raises(exceptions.LogOutcomeUnknownError):
        store._check_status(make_response(status))
