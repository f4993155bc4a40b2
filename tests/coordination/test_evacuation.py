"""Tests of the order in which evacuations take effect."""

from sassafraswood.coordination import evacuation
from sassafraswood.coordination import store_era


def request(domain: str, is_evacuated: bool) -> evacuation.EvacuationRequest:
    """Return a request for a domain."""
    return evacuation.EvacuationRequest(
        domain=domain, is_evacuated=is_evacuated
    )


def test_daemon_that_knows_nothing_does_not_serve() -> None:
    """A daemon that starts in an evacuated domain has not read that yet."""
    state = evacuation.Evacuations('a')
    assert not state.may_serve
    state.replace([], evacuation.compute_revision(0))
    assert state.may_serve


def test_older_reader_changes_nothing() -> None:
    """A late response of a peer neither evacuates nor returns a domain."""
    state = evacuation.Evacuations('a')
    state.replace(['a'], 4)
    for revision in (3, 4):
        assert not state.replace(['b'], revision)
        assert not state.apply([request('a', False)], revision)
    assert state.domains == {'a'}
    assert not state.may_serve


def test_records_known_from_a_peer_are_not_repeated() -> None:
    """A read from an old offset returns an evacuation that has ended."""
    state = evacuation.Evacuations('a')
    state.replace(['b'], 9)
    old = [request('a', True), request('a', False)]
    assert not state.apply(old[:1], 8)
    change = state.apply([*old, request('c', True), request('b', False)], 11)
    assert (change.evacuated, change.returned) == (['c'], ['b'])
    assert state.may_serve


def test_store_from_an_older_copy_counts_as_newer() -> None:
    """Offsets go back, but the operator goes on from that copy."""
    state = evacuation.Evacuations('a')
    state.replace(
        ['a'], evacuation.compute_revision(store_era.make_position(1, 1000))
    )
    state.replace(
        [], evacuation.compute_revision(store_era.make_position(2, 3))
    )
    assert state.may_serve
