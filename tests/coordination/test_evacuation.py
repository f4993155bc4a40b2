"""Tests of the order in which evacuations take effect."""

import pytest

from sassafraswood.coordination import evacuation
from sassafraswood.coordination import store_era
from sassafraswood.models import ids

A, B = ids.FailureDomain('a'), ids.FailureDomain('b')


def request(
    domain: ids.FailureDomain, is_evacuated: bool = True
) -> evacuation.EvacuationRequest:
    """Return a request for a domain."""
    return evacuation.EvacuationRequest(
        domain=domain, is_evacuated=is_evacuated
    )


def test_daemon_that_knows_nothing_does_not_serve() -> None:
    """A daemon that starts in an evacuated domain has not read that yet."""
    state = evacuation.Evacuations(A)
    assert not state.may_serve
    state.replace([], evacuation.compute_revision(0))
    assert state.may_serve


@pytest.mark.parametrize('revision', [3, 4])
def test_older_reader_changes_nothing(revision) -> None:
    """A late response of a peer neither evacuates nor returns a domain."""
    state = evacuation.Evacuations(A)
    state.replace([A], 4)
    assert not state.replace([B], revision)
    assert not state.apply([request(A, False)], revision)
    assert state.domains == {A}
    assert not state.may_serve


def test_records_known_from_a_peer_are_not_repeated() -> None:
    """A read from an old offset returns an evacuation that has ended."""
    state = evacuation.Evacuations(A)
    state.replace([B], 9)
    change = state.apply([request(A), request(A, False), request(B)], 10)
    assert not change
    assert state.domains == {B}
    # The page ends before what is known.
    assert not state.apply([request(A)], 8)
    assert state.may_serve


def test_change_names_what_came_and_went() -> None:
    """Log lines and the return of the own domain rest on it."""
    state = evacuation.Evacuations(A)
    state.replace([A], 1)
    change = state.apply([request(A, False), request(B)], 2)
    assert (change.evacuated, change.returned) == ([B], [A])


def test_store_from_an_older_copy_counts_as_newer() -> None:
    """Offsets go back, but the operator goes on from that copy."""
    state = evacuation.Evacuations(A)
    state.replace(
        [A], evacuation.compute_revision(store_era.make_position(1, 1000))
    )
    state.replace(
        [], evacuation.compute_revision(store_era.make_position(2, 3))
    )
    assert state.may_serve
