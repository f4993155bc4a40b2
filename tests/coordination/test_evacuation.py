"""Tests of the order in which evacuations take effect."""

from sassafraswood import clock
from sassafraswood.coordination import evacuation
from sassafraswood.coordination import store_era


def request(domain: str, is_evacuated: bool) -> evacuation.EvacuationRequest:
    """Return a request for a domain."""
    return evacuation.EvacuationRequest(
        domain=domain, is_evacuated=is_evacuated
    )


def test_daemon_that_knows_nothing_does_not_serve() -> None:
    """A daemon that starts in an evacuated domain has not read that yet."""
    state = evacuation.Evacuations('a', clock.ManualClock())
    assert not state.may_serve
    state.replace([], evacuation.compute_revision(0))
    assert state.may_serve


def test_older_reader_changes_nothing() -> None:
    """A late response of a peer neither evacuates nor returns a domain."""
    state = evacuation.Evacuations('a', clock.ManualClock())
    state.replace(['a'], 4)
    for revision in (3, 4):
        assert not state.replace(['b'], revision)
        assert not state.apply([request('a', False)], revision)
    assert state.domains == {'a'}
    assert not state.may_serve


def test_records_known_from_a_peer_are_not_repeated() -> None:
    """A read from an old offset returns an evacuation that has ended."""
    state = evacuation.Evacuations('a', clock.ManualClock())
    state.replace(['b'], 9)
    old = [request('a', True), request('a', False)]
    assert not state.apply(old[:1], 8)
    change = state.apply([*old, request('c', True), request('b', False)], 11)
    assert (change.evacuated, change.returned) == (['c'], ['b'])
    assert state.may_serve


def revision(era: int, offset: int) -> int:
    """Return the revision at an offset in an era of the store."""
    return evacuation.compute_revision(store_era.make_position(era, offset))


def test_store_from_an_older_copy_counts_as_newer() -> None:
    """Offsets go back, but the operator goes on from that copy."""
    state = evacuation.Evacuations('a', clock.ManualClock())
    state.replace([], revision(1, 1000))
    state.apply([request('a', True)], revision(2, 3), is_whole=True)
    assert not state.may_serve
    state.apply([request('a', False)], revision(2, 4))
    assert state.may_serve


def test_evacuation_that_a_copy_lacks_stays_until_it_is_decided() -> None:
    """Guards against calls to a domain before the request is written again.

    It ends with the operator's next record of the domain, or in time if there
    is none; records of others and older daemons don't end it.
    """
    now = clock.ManualClock()
    state = evacuation.Evacuations('a', now)
    state.replace(['a', 'b', 'c'], revision(1, 1000))
    change = state.apply([request('b', True)], revision(2, 3), is_whole=True)
    assert (change.returned, change.unconfirmed) == ([], ['a', 'c'])
    state.apply([request('d', True)], revision(2, 4))
    state.replace(['b', 'd'], revision(2, 5))
    assert state.domains == {'a', 'b', 'c', 'd'}
    change = state.apply([request('a', False)], revision(2, 6))
    assert change.returned == ['a']
    now.advance(evacuation.UNCONFIRMED_S - 0.1)
    assert not state.expire()
    # The request was written again; the time does not end it any more.
    state.apply([request('c', True)], revision(2, 7))
    now.advance(0.2)
    assert not state.expire()
    assert state.domains == {'b', 'c', 'd'}


def test_evacuation_that_no_era_holds_ends_in_time() -> None:
    """Each return of the store begins the time anew; then it is over."""
    now = clock.ManualClock()
    state = evacuation.Evacuations('a', now)
    state.replace(['a'], revision(1, 1000))
    state.replace([], revision(2, 3))
    now.advance(evacuation.UNCONFIRMED_S - 0.1)
    state.replace([], revision(3, 1))
    now.advance(evacuation.UNCONFIRMED_S - 0.1)
    assert not state.expire()
    now.advance(0.2)
    assert state.expire().returned == ['a']
    assert state.may_serve
