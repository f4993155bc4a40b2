"""Steps about keys, documents and the log that carries them."""

import dataclasses
import hashlib
import random
from typing import Any

import msgspec
import pytest_bdd
from pytest_bdd import parsers

from lab import gossip
from sassafraswood import clock
from sassafraswood.coordination import authorization
from sassafraswood.coordination import configuration
from sassafraswood.coordination import freshness
from sassafraswood.models import call
from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.protocol import codec
from sassafraswood.protocol import documents
from sassafraswood.protocol import headers
from sassafraswood.state import partitions

_SERVICE = ids.ServiceName('ordering')
_CLOSED = document.RouteSpec(path='/orders')
_OPEN = document.RouteSpec(path='/health', open=True)
_DOMAINS = 3


def _key(number: int) -> str:
    return f'key-{number}'


class Daemon:
    """What one daemon knows of documents and keys."""

    def __init__(self, number: int, manual: clock.ManualClock) -> None:
        """Start before the first record."""
        self.number = number
        self._clock = manual
        self.configuration = configuration.Configuration(
            decode=codec.decode_record,
            check_document=documents.check_document,
            partitions=partitions.PartitionTable(),
        )
        self.freshness = freshness.Freshness(
            clock=manual,
            own_domain=ids.FailureDomain(f'domain-{number % _DOMAINS}'),
        )
        self.authorization = authorization.Authorization(
            keys=self.configuration, freshness=self.freshness
        )

    def read(self, log: list[records.LogEntry]) -> None:
        """Read the log up to its tail."""
        for entry in log[self.configuration.next_offset :]:
            self.configuration.apply(entry)
        self.freshness.note_log_read(self._clock.monotonic())

    def authenticate(
        self, key: str | None, route: document.RouteSpec = _CLOSED
    ) -> records.KeyEntry | call.Refusal | None:
        """Return the decision on a call."""
        entry = self.configuration.document(_SERVICE)
        assert entry is not None
        return self.authorization.authenticate(key, entry.document, route)


@dataclasses.dataclass
class Log:
    """A log with operators who append and daemons that read.

    Attributes:
        queued: Calls that wait, with the daemon that will dispatch them.
        restarted: A daemon that started again.
    """

    clock: clock.ManualClock
    daemons: list[Daemon]
    entries: list[records.LogEntry] = dataclasses.field(default_factory=list)
    queued: call.CallContext | None = None
    restarted: Daemon | None = None
    names: int = 0

    def append(self, record: records.Record) -> None:
        """Append a record."""
        self.entries.append(
            records.LogEntry(
                offset=ids.Offset(len(self.entries)),
                body=codec.encode_record(record),
            )
        )

    def publish(
        self,
        rate: float,
        replaces: int,
        publication_id: str = '',
        workspaces: tuple[str, ...] = ('red', 'blue'),
    ) -> str:
        """Append a document; return the id of the publication."""
        self.names += 1
        publication_id = publication_id or f'publication-{self.names}'
        body: dict[str, Any] = {
            'version': 1,
            'service': _SERVICE,
            'routes': [{'path': '/health', 'open': True}, {'path': '/**'}],
            'workspaces': {
                name: {'rate': rate, 'burst': 1} for name in workspaces
            },
        }
        self.append(
            records.Publish(
                publication_id=ids.PublicationId(publication_id),
                service=_SERVICE,
                replaces=ids.Revision(replaces),
                document=body,
            )
        )
        return publication_id

    def grant(self, number: int, workspace: str) -> None:
        """Append the grant of a key."""
        self.append(
            records.GrantKey(
                publication_id=ids.PublicationId(f'grant-{number}'),
                key_id=ids.KeyId(f'id-{number}'),
                workspace=ids.Workspace(workspace),
                key_sha256=hashlib.sha256(_key(number).encode()).hexdigest(),
            )
        )

    def read_all(self) -> None:
        """Let all daemons read."""
        for daemon in self.daemons:
            daemon.read(self.entries)

    def hear_all(self) -> None:
        """Let all daemons hear each other."""
        for daemon in self.daemons:
            for other in self.daemons:
                daemon.freshness.note_peer(
                    ids.DaemonId(f'daemon-{other.number}'),
                    ids.FailureDomain(f'domain-{other.number % _DOMAINS}'),
                    None,
                    asked_at=self.clock.monotonic(),
                    is_caught_up=True,
                )


@pytest_bdd.given(
    parsers.parse('{count:d} daemons in 3 failure domains that read the log'),
    target_fixture='log',
)
def start(count: int) -> Log:
    """Publish a document, grant key 1 to red and key 2 to blue."""
    manual = clock.ManualClock()
    daemons = [Daemon(number, manual) for number in range(count)]
    for daemon in daemons:
        daemon.freshness.set_known_members(
            [gossip.member(n, _DOMAINS) for n in range(count)]
        )
    log = Log(manual, daemons)
    log.publish(1.0, 0)
    log.grant(1, 'red')
    log.grant(2, 'blue')
    log.read_all()
    return log


@pytest_bdd.when('the key of red is withdrawn')
def withdraw(log: Log) -> None:
    """Append the withdrawal; nobody has read it yet."""
    log.append(
        records.WithdrawKey(
            publication_id=ids.PublicationId('withdrawal'),
            key_id=ids.KeyId('id-1'),
        )
    )


@pytest_bdd.when('a call of red waits at the second daemon')
def queue(log: Log) -> None:
    """Authenticate a call at the first daemon, and let it wait."""
    entry = log.daemons[0].authenticate(_key(1))
    assert isinstance(entry, records.KeyEntry)
    log.queued = call.CallContext(
        call_id=ids.CallId('1'),
        root_id='1',
        service=_SERVICE,
        workspace=entry.workspace,
        key_id=entry.key_id,
        importance=enums.Importance.NORMAL,
        remaining_s=10.0,
        allowance=2,
        depth=1,
        idempotent=True,
        fingerprint=ids.Fingerprint('f'),
    )


@pytest_bdd.when(parsers.parse('{seconds:g} s pass and every daemon reads'))
def wait_and_read(log: Log, seconds: float) -> None:
    """Let a poll of the log come back everywhere."""
    log.clock.advance(seconds)
    log.read_all()


@pytest_bdd.when(
    parsers.parse(
        '{seconds:g} s pass and every daemon but the last hears the others '
        'and reads'
    )
)
def wait_last_cut(log: Log, seconds: float) -> None:
    """Cut the last daemon off from the log and from all peers."""
    log.clock.advance(seconds)
    for daemon in log.daemons[:-1]:
        daemon.read(log.entries)


@pytest_bdd.when(
    parsers.parse(
        'the log is unreachable for all of them for {seconds:d} seconds'
    )
)
def outage(log: Log, seconds: int) -> None:
    """Let time pass without a read."""
    log.clock.advance(seconds)


@pytest_bdd.when('the daemons keep hearing each other')
def hear(log: Log) -> None:
    """Answer every ping."""
    log.hear_all()


@pytest_bdd.when(
    parsers.parse('the last daemon hears nobody for {seconds:g} seconds')
)
def cut_last(log: Log, seconds: float) -> None:
    """Cut off the last daemon from its peers too."""
    log.clock.advance(seconds)


@pytest_bdd.then('a call with a granted key is accepted by every daemon')
def check_accepted(log: Log) -> None:
    """Check all daemons."""
    for daemon in log.daemons:
        assert isinstance(daemon.authenticate(_key(2)), records.KeyEntry)


@pytest_bdd.then('no daemon accepts the withdrawn key')
@pytest_bdd.then('no daemon accepts the key of red')
def check_withdrawn(log: Log) -> None:
    """Check all daemons."""
    for daemon in log.daemons:
        refusal = daemon.authenticate(_key(1))
        assert isinstance(refusal, call.Refusal)
        assert refusal.outcome is enums.Outcome.NOT_RUN


@pytest_bdd.then('the waiting call is refused as not run')
def check_queued(log: Log) -> None:
    """Check the second look at the key, just before dispatch."""
    assert log.queued is not None
    refusal = log.daemons[1].authorization.recheck(log.queued)
    assert refusal is not None
    assert refusal.outcome is enums.Outcome.NOT_RUN


@pytest_bdd.then('the waiting call may run')
def check_queued_runs(log: Log) -> None:
    """Check the second look at a key that is in force."""
    assert log.queued is not None
    assert log.daemons[1].authorization.recheck(log.queued) is None


@pytest_bdd.then(
    'the last daemon refuses a call with a granted key as not run'
)
def check_last_refuses(log: Log) -> None:
    """Check a daemon that may have missed a withdrawal."""
    refusal = log.daemons[-1].authenticate(_key(2))
    assert isinstance(refusal, call.Refusal)
    assert refusal.reason is enums.RefusalReason.AUTHORIZATION_STALE
    assert refusal.outcome is enums.Outcome.NOT_RUN


@pytest_bdd.then('the last daemon accepts a call on an open route')
def check_last_open(log: Log) -> None:
    """Check that open routes need no fresh log."""
    assert log.daemons[-1].authenticate(None, _OPEN) is None


@pytest_bdd.then(
    parsers.parse('a call with the key of {name} runs for {workspace}')
)
def check_workspace(log: Log, name: str, workspace: str) -> None:
    """Check the workspace at all daemons."""
    key = _key({'red': 1, 'blue': 2}[name])
    for daemon in log.daemons:
        entry = daemon.authenticate(key)
        assert isinstance(entry, records.KeyEntry)
        assert entry.workspace == workspace


@pytest_bdd.then(parsers.parse('a call with {presented} is refused'))
def check_refused(log: Log, presented: str) -> None:
    """Check wrong keys at all daemons."""
    key = {
        'no key': None,
        'an unknown key': 'unknown',
        'an empty key': '',
        'the hash of a key': hashlib.sha256(_key(1).encode()).hexdigest(),
        'the id of a key': 'id-1',
    }[presented]
    for daemon in log.daemons:
        refusal = daemon.authenticate(key)
        assert isinstance(refusal, call.Refusal)
        assert refusal.outcome is enums.Outcome.NOT_RUN


@pytest_bdd.when('operators take red out of the document')
def drop_red(log: Log) -> None:
    """Publish the next revision without a workspace."""
    log.publish(1.0, 1, workspaces=('blue',))
    log.read_all()


@pytest_bdd.then('the upstream sees a call of red without its key')
def check_no_key(log: Log) -> None:
    """Check the headers that go to the upstream."""
    sent = [
        ('authorization', f'Bearer {_key(1)}'),
        ('proxy-authorization', f'Bearer {_key(1)}'),
        ('accept', '*/*'),
    ]
    passed = headers.to_upstream(sent)
    assert passed == [('accept', '*/*')]


@pytest_bdd.then('nothing that daemons tell each other holds the key')
def check_no_key_told(log: Log) -> None:
    """Check records, snapshots and call contexts."""
    told = [entry.body.encode() for entry in log.entries]
    for daemon in log.daemons:
        told.append(msgspec.json.encode(daemon.configuration.snapshot()))
    if log.queued is not None:
        told.append(msgspec.msgpack.encode(log.queued))
    assert not any(_key(1).encode() in text for text in told)


@pytest_bdd.when(
    parsers.parse(
        '{count:d} operators publish at once, each replacing revision 1'
    )
)
def race(log: Log, count: int) -> None:
    """Append documents that replace the same revision, in any order."""
    rates = list(range(10, 10 + count))
    random.Random(count).shuffle(rates)
    for rate in rates:
        log.publish(float(rate), 1, f'operator-{rate}')


@pytest_bdd.when(
    'an operator publishes rate 5 but the answer is lost, and tries again'
)
def publish_twice(log: Log) -> None:
    """Append a publication twice with the same id."""
    for _ in range(2):
        log.publish(5.0, 1, 'lost-answer')


@pytest_bdd.when('another operator publishes rate 6 on top of it')
def publish_on_top(log: Log) -> None:
    """Publish on the accepted revision."""
    log.publish(6.0, 2, 'on-top')


@pytest_bdd.when('the first operator tries once more')
def publish_again(log: Log) -> None:
    """Append the first publication a third time."""
    log.publish(5.0, 1, 'lost-answer')


@pytest_bdd.when('every daemon reads the log')
def read(log: Log) -> None:
    """Fold everywhere."""
    log.read_all()


@pytest_bdd.when('half of the daemons read the log before the rest was there')
def read_in_parts(log: Log) -> None:
    """Fold record by record at half of the daemons, in batches elsewhere."""
    for length in range(len(log.entries)):
        for daemon in log.daemons[::2]:
            daemon.read(log.entries[:length])


@pytest_bdd.when('a daemon starts from the snapshot of a peer')
def start_from_snapshot(log: Log) -> None:
    """Start a daemon past the retention of the log."""
    log.restarted = Daemon(len(log.daemons), log.clock)
    snapshot = log.daemons[0].configuration.snapshot()
    assert log.restarted.configuration.apply_snapshot(snapshot)
    log.daemons.append(log.restarted)


@pytest_bdd.when('it is offered an older snapshot')
def offer_old_snapshot(log: Log) -> None:
    """Offer the state of the first records."""
    assert log.restarted is not None
    old = Daemon(0, log.clock)
    old.read(log.entries[:1])
    snapshot = old.configuration.snapshot()
    assert not log.restarted.configuration.apply_snapshot(snapshot)


@pytest_bdd.when('old records are delivered once more')
def repeat_records(log: Log) -> None:
    """Apply all records again."""
    for daemon in log.daemons:
        for entry in log.entries:
            assert daemon.configuration.apply(entry) is None


@pytest_bdd.then(parsers.parse('revision {revision:d} is in force everywhere'))
def check_revision(log: Log, revision: int) -> None:
    """Check all daemons."""
    for daemon in log.daemons:
        entry = daemon.configuration.document(_SERVICE)
        assert entry is not None
        assert entry.revision == revision


@pytest_bdd.then(parsers.parse('the rate is {rate:g} everywhere'))
def check_rate(log: Log, rate: float) -> None:
    """Check all daemons."""
    for daemon in log.daemons:
        entry = daemon.configuration.document(_SERVICE)
        assert entry is not None
        spec = entry.document.workspaces[ids.Workspace('red')]
        assert spec.rate == rate


@pytest_bdd.then(
    parsers.parse(
        'exactly one of {count:d} operators is accepted, and the others are '
        'told of a conflict'
    )
)
def check_race(log: Log, count: int) -> None:
    """Check the results at all daemons, and that all agree."""
    seen = set()
    for daemon in log.daemons:
        results = {}
        for rate in range(10, 10 + count):
            name = ids.PublicationId(f'operator-{rate}')
            result = daemon.configuration.publication(name)
            assert result is not None
            results[rate] = result.status
        accepted = [
            rate
            for rate, status in results.items()
            if status is enums.PublicationStatus.ACCEPTED
        ]
        assert len(accepted) == 1
        rest = set(results.values()) - {enums.PublicationStatus.ACCEPTED}
        assert rest == {enums.PublicationStatus.CONFLICT}
        entry = daemon.configuration.document(_SERVICE)
        assert entry is not None
        spec = entry.document.workspaces[ids.Workspace('red')]
        assert spec.rate == accepted[0]
        seen.add(accepted[0])
    assert len(seen) == 1


@pytest_bdd.then('both operators are told that they were accepted')
def check_both(log: Log) -> None:
    """Check the results of a publication with a lost answer."""
    for daemon in log.daemons:
        for name in ('lost-answer', 'on-top'):
            result = daemon.configuration.publication(ids.PublicationId(name))
            assert result is not None
            assert result.status is enums.PublicationStatus.ACCEPTED
