"""Tests of how evacuations reach a daemon and its peers."""

import pytest

from sassafraswood.coordination import evacuation
from sassafraswood import exceptions
from sassafraswood.platform import store
from sassafraswood.protocol import frames
from sassafraswood.sidecar import evacuation_exchange
from sassafraswood.sidecar import rules_follower

from tests.sidecar import test_member_follower


class Case(test_member_follower.Case):
    """A follower of the operator's topic, in failure domain a."""

    def __init__(self, tmp_path) -> None:
        """Create the follower with its own fake store."""
        super().__init__(tmp_path)
        self.state = evacuation.Evacuations('a', self.context.clock)
        self.exchange = evacuation_exchange.EvacuationExchange(
            evacuations=self.state,
            own='a',
            log=self.context.log,
            known_domains=lambda: {'a', 'b'},
            on_change=self.count_updates,
        )
        self.follower = rules_follower.RulesFollower(
            context=self.context,
            knowledge=self.knowledge,
            max_age_s=2.0,
            evacuations=self.exchange,
            on_rules=lambda rules: None,
            on_update=lambda: None,
        )

    def put(self, key: str, value: bytes = b'{}') -> None:
        """Write a record as the operator does."""
        self.store.records.append(store.StoredRecord(key=key, value=value))


@pytest.mark.parametrize('value', [b'{}', b'\xff', b'[]'])
def test_record_with_any_value_evacuates(tmp_path, value) -> None:
    """A garbled value is still a request; a record without one ends it."""
    case = Case(tmp_path)
    case.put('evacuate/a', value)
    # Rules in the same page that cannot be decoded do not delay it.
    case.put('config', b'{')
    with pytest.raises(exceptions.DecodeError):
        case.read()
    assert not case.state.may_serve
    case.store.records[1] = store.StoredRecord(key='other', value=b'')
    case.put('evacuate/a', b'')
    case.read()
    assert case.state.may_serve
    assert case.updates == 2


def test_whole_read_ends_evacuations_whose_records_are_gone(tmp_path) -> None:
    """The store drops the key of an evacuation that was taken back."""
    case = Case(tmp_path)
    case.put('evacuate/a')
    case.read()
    case.store.records.clear()
    case.put('other')
    case.put('evacuate/b')
    case.follower._reset_offset()
    case.read()
    assert case.state.domains == {'b'}


def test_peer_passes_on_what_it_knows(tmp_path) -> None:
    """A daemon that does not read the store learns of it from peers."""
    reader, other = Case(tmp_path), Case(tmp_path)
    assert reader.exchange.document() is None
    reader.put('evacuate/a')
    reader.read()
    other.exchange.take(reader.exchange.document())
    other.exchange.take(frames.Evacuations(revision=1, domains=[]))
    assert not other.state.may_serve
    assert other.exchange.revision == reader.exchange.revision


def test_evacuation_outlasts_a_store_that_lacks_it(tmp_path) -> None:
    """Guards against calls to a domain before the request is written again.

    The store comes back from a copy that is older than the evacuation. A
    daemon that starts meanwhile learns of it from the others.
    """
    reader, other = Case(tmp_path), Case(tmp_path)
    reader.put('evacuate/a')
    reader.read()
    reader.store.era = 1
    reader.store.records[:] = [store.StoredRecord(key='other', value=b'{}')]
    reader.follower._reset_offset()
    reader.read()
    other.exchange.take(reader.exchange.document())
    for case in (reader, other):
        assert not case.state.may_serve
        assert case.state.unconfirmed == ['a']
    # Nothing else would be sent to the peers, whose revision is the same.
    for case in (reader, other):
        case.context.clock.advance(evacuation.UNCONFIRMED_S)
        case.exchange.tick()
        assert case.state.may_serve


def test_odd_requests_concern_no_other_domain(tmp_path) -> None:
    """All are in force and passed on; few of a long list are logged."""
    case = Case(tmp_path)
    case.put('evacuate/')
    for index in range(20_000):
        case.put(f'evacuate/{index}')
    case.read()
    assert case.state.may_serve
    case.put('evacuate/a')
    case.read()
    message = frames.encode(case.exchange.document())
    assert len(frames.FrameReader().feed(message)[0].domains) == 20_001
    case.context.log.flush()
    with open(case.log_file.name, encoding='utf-8') as lines:
        events = lines.readlines()
    assert len(events) == evacuation_exchange.MAX_NAMED_DOMAINS + 2
    assert '"is_known":false' in events[0]
