"""Tests of how evacuations reach a daemon and its peers."""

import json

import pytest

from sassafraswood.coordination import evacuation
from sassafraswood.platform import evacuations as evacuation_records
from sassafraswood.platform import store
from sassafraswood.protocol import frames
from sassafraswood.sidecar import evacuation_exchange
from sassafraswood.sidecar import rules_follower

from tests.sidecar import test_member_follower
from tests.sidecar.test_whole_path import RULES


class Case(test_member_follower.Case):
    """A follower of the operator's topic with its own fake store."""

    def __init__(self, tmp_path) -> None:
        """Create the follower of a daemon in failure domain a."""
        super().__init__(tmp_path)
        self.changes = 0
        self.state = evacuation.Evacuations('a')
        self.exchange = evacuation_exchange.EvacuationExchange(
            evacuations=self.state,
            own='a',
            log=self.context.log,
            known_domains=lambda: {'a', 'b'},
            on_change=self.count_changes,
        )
        self.follower = rules_follower.RulesFollower(
            context=self.context,
            knowledge=self.knowledge,
            max_age_s=2.0,
            evacuations=self.exchange,
            on_rules=lambda rules: None,
            on_update=self.count_updates,
        )

    def count_changes(self) -> None:
        """Count the changes that the daemon acts on."""
        self.changes += 1

    def put(self, key: str, value: bytes) -> None:
        """Write a record as the operator does."""
        self.store.records.append(store.StoredRecord(key=key, value=value))

    def events(self) -> list[dict]:
        """Return the lines that were logged."""
        self.context.log.flush()
        with open(self.log_file.name, encoding='utf-8') as lines:
            return [json.loads(line) for line in lines]


@pytest.mark.parametrize('value', [b'{}', b'\xff', b'[]'])
def test_record_with_any_value_evacuates(tmp_path, value) -> None:
    """A garbled value is still a request; a record without one ends it."""
    case = Case(tmp_path)
    case.put('evacuate/a', value)
    case.read()
    assert not case.state.may_serve
    case.put('evacuate/a', b'')
    case.read()
    assert case.state.may_serve
    assert case.changes == 2


def test_whole_read_ends_evacuations_whose_records_are_gone(tmp_path) -> None:
    """The store drops the key of an evacuation that was taken back."""
    case = Case(tmp_path)
    case.put('evacuate/a', b'{}')
    case.read()
    case.store.records = [
        store.StoredRecord(key='other', value=b''),
        store.StoredRecord(key='evacuate/b', value=b'{}'),
    ]
    case.follower._reset_offset()
    case.read()
    assert case.state.domains == {'b'}


def test_rules_that_cannot_be_read_keep_no_evacuation_back(tmp_path) -> None:
    """The two are records of one topic."""
    case = Case(tmp_path)
    case.put('config', b'{')
    case.put('evacuate/a', b'{}')
    with pytest.raises(Exception, match='malformed|truncated'):
        case.read()
    assert case.state.domains == {'a'}


def test_rules_and_evacuations_are_known_together(tmp_path) -> None:
    """A daemon that starts must not serve between two reads."""
    case = Case(tmp_path)
    case.put('evacuate/a', b'{}')
    case.put('config', json.dumps(RULES).encode())
    case.read()
    assert case.knowledge.rules_version == 1
    assert not case.state.may_serve


def test_peer_passes_on_what_it_knows(tmp_path) -> None:
    """A daemon that does not read the store learns of it from peers."""
    reader, other = Case(tmp_path), Case(tmp_path)
    assert reader.exchange.document() is None
    reader.put('evacuate/a', b'{}')
    reader.read()
    message = frames.FrameReader().feed(
        frames.encode(reader.exchange.document())
    )[0]
    other.exchange.take(message)
    assert not other.state.may_serve
    assert other.exchange.revision == reader.exchange.revision
    other.exchange.take(frames.Evacuations(revision=1, domains=[]))
    assert not other.state.may_serve


def test_odd_requests_concern_no_other_domain(tmp_path) -> None:
    """Unknown domains are named in the log; long lists are counted."""
    case = Case(tmp_path)
    case.put('evacuate/', b'{}')
    case.put('evacuate/x', b'{}')
    case.read()
    assert case.state.may_serve
    (event,) = case.events()
    assert (event['domain'], event['is_known']) == ('x', False)
    for index in range(20_000):
        case.put(f'evacuate/{index}', b'{}')
    case.put('evacuate/b', b'{}')
    case.put('evacuate/a', b'{}')
    case.read()
    events = case.events()[1:]
    assert len(events) == evacuation_exchange.MAX_NAMED_DOMAINS + 2
    assert (events[0]['domain'], events[0]['is_own']) == ('a', True)
    assert events[-1]['event'] == 'all_domains_evacuated'
    message = frames.encode(case.exchange.document())
    assert len(frames.FrameReader().feed(message)[0].domains) == 20_003


def test_config_is_no_evacuation() -> None:
    """The topic also holds the rules."""
    record = store.StoredRecord(key='config', value=b'{}')
    assert evacuation_records.decode([record]) == []
