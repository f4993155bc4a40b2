"""Steps about keys, documents and the log of their changes."""

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
_KEYED_ROUTE = document.RouteSpec(path='/orders')
_OPEN_ROUTE = document.RouteSpec(path='/health', open=True)
_FAILURE_DOMAIN_COUNT = 3


def _key(number: int) -> str:
    return f'key-{number}'


class Daemon:
    """One daemon's state of documents and keys, and its checks of calls."""

    def __init__(self, number: int, manual_clock: clock.ManualClock) -> None:
        """Start a daemon that has read no record."""
        self.number = number
        self._clock = manual_clock
        self.configuration = configuration.Configuration(
            decode=codec.decode_record,
            check_document=documents.check_document,
            partitions=partitions.PartitionTable(),
        )
        self.freshness = freshness.Freshness(
            clock=manual_clock,
            own_domain=ids.FailureDomain(
                f'domain-{number % _FAILURE_DOMAIN_COUNT}'
            ),
        )
        self.authorization = authorization.Authorization(
            keys=self.configuration, freshness=self.freshness
        )

    def read(self, log: list[records.LogEntry]) -> None:
        """Apply the records of the log that are new to this daemon."""
        for entry in log[self.configuration.next_offset :]:
            self.configuration.apply(entry)
        self.freshness.note_log_read(self._clock.monotonic())

    def authenticate(
        self, key: str | None, route: document.RouteSpec = _KEYED_ROUTE
    ) -> records.KeyEntry | call.Refusal | None:
        """Return the key that a call may use, its refusal, or None.

        None means that the route is open and needs no key.
        """
        entry = self.configuration.document(_SERVICE)
        assert entry is not None
        return self.authorization.authenticate(key, entry.document, route)


@dataclasses.dataclass
class Log:
    """A log to which operators append and which daemons read.

    Attributes:
        clock: The manual clock of all daemons.
        daemons: The daemons that read the log.
        entries: The records of the log.
        queued: A call that waits in the queue of the second daemon.
        restarted: A daemon that started from a snapshot.
        publication_count: The number of publications appended so far.
    """

    clock: clock.ManualClock
    daemons: list[Daemon]
    entries: list[records.LogEntry] = dataclasses.field(default_factory=list)
    queued: call.CallContext | None = None
    restarted: Daemon | None = None
    publication_count: int = 0

    def append(self, record: records.Record) -> None:
        """Append a record at the next offset."""
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
        """Append a document; return the id of the publication.

        Args:
            rate: The rate of each workspace, in requests per second.
            replaces: The revision that the document replaces.
            publication_id: The id; empty for a new one.
            workspaces: The workspaces that the document names.
        """
        self.publication_count += 1
        publication_id = (
            publication_id or f'publication-{self.publication_count}'
        )
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
        """Let all daemons read the log."""
        for daemon in self.daemons:
            daemon.read(self.entries)

    def exchange_pings(self) -> None:
        """Let each daemon get a current reply from every daemon."""
        for daemon in self.daemons:
            for other in self.daemons:
                daemon.freshness.note_peer(
                    ids.DaemonId(f'daemon-{other.number}'),
                    ids.FailureDomain(
                        f'domain-{other.number % _FAILURE_DOMAIN_COUNT}'
                    ),
                    None,
                    asked_at=self.clock.monotonic(),
                    is_caught_up=True,
                )


@pytest_bdd.given(
    parsers.parse('{count:d} daemons in 3 failure domains that read the log'),
    target_fixture='log',
)
def start_daemons(count: int) -> Log:
    """Start daemons; publish a document; grant key 1 to red, 2 to blue."""
    manual_clock = clock.ManualClock()
    daemons = [Daemon(number, manual_clock) for number in range(count)]
    for daemon in daemons:
        daemon.freshness.set_known_members(
            [
                gossip.make_member(n, _FAILURE_DOMAIN_COUNT)
                for n in range(count)
            ]
        )
    log = Log(manual_clock, daemons)
    log.publish(1.0, 0)
    log.grant(1, 'red')
    log.grant(2, 'blue')
    log.read_all()
    return log


@pytest_bdd.when('the key of red is withdrawn')
def withdraw_key(log: Log) -> None:
    """Append the withdrawal, which no daemon has read yet."""
    log.append(
        records.WithdrawKey(
            publication_id=ids.PublicationId('withdrawal'),
            key_id=ids.KeyId('id-1'),
        )
    )


@pytest_bdd.when('a call of red waits at the second daemon')
def queue_call(log: Log) -> None:
    """Authenticate a call at the first daemon and queue it at the second."""
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


@pytest_bdd.when(
    parsers.parse('{seconds:g} s pass and every daemon reads the log')
)
def wait_and_read(log: Log, seconds: float) -> None:
    """Advance the clock and let all daemons read the log."""
    log.clock.advance(seconds)
    log.read_all()


@pytest_bdd.when(
    parsers.parse(
        '{seconds:g} s pass and every daemon but the last reads the log'
    )
)
def wait_and_read_but_last(log: Log, seconds: float) -> None:
    """Advance the clock; the last daemon reaches neither log nor peers."""
    log.clock.advance(seconds)
    for daemon in log.daemons[:-1]:
        daemon.read(log.entries)


@pytest_bdd.when(
    parsers.parse(
        'the log is unreachable for all daemons for {seconds:d} seconds'
    )
)
def stop_log(log: Log, seconds: int) -> None:
    """Advance the clock without a read of the log."""
    log.clock.advance(seconds)


@pytest_bdd.when('the daemons get replies from each other')
def exchange_pings(log: Log) -> None:
    """Let each daemon get a reply to its pings."""
    log.exchange_pings()


@pytest_bdd.when(
    parsers.parse('the last daemon gets no reply for {seconds:g} seconds')
)
def cut_last(log: Log, seconds: float) -> None:
    """Advance the clock without a reply to any daemon."""
    log.clock.advance(seconds)


@pytest_bdd.then('a call with a granted key is accepted by every daemon')
def check_accepted(log: Log) -> None:
    """Check that each daemon accepts the key of blue."""
    for daemon in log.daemons:
        assert isinstance(daemon.authenticate(_key(2)), records.KeyEntry)


@pytest_bdd.then('no daemon accepts the withdrawn key')
@pytest_bdd.then('no daemon accepts the key of red')
def check_red_refused(log: Log) -> None:
    """Check that each daemon refuses the key of red."""
    for daemon in log.daemons:
        refusal = daemon.authenticate(_key(1))
        assert isinstance(refusal, call.Refusal)
        assert refusal.outcome is enums.Outcome.NOT_RUN


@pytest_bdd.then('the waiting call is refused as not run')
def check_queued_refused(log: Log) -> None:
    """Check that the key is checked again just before dispatch."""
    assert log.queued is not None
    refusal = log.daemons[1].authorization.recheck(log.queued)
    assert refusal is not None
    assert refusal.outcome is enums.Outcome.NOT_RUN


@pytest_bdd.then('the waiting call may run')
def check_queued_runs(log: Log) -> None:
    """Check that the check before dispatch passes a key in force."""
    assert log.queued is not None
    assert log.daemons[1].authorization.recheck(log.queued) is None


@pytest_bdd.then(
    'the last daemon refuses a call with a granted key as not run'
)
def check_last_refuses(log: Log) -> None:
    """Check that a daemon that may have missed a withdrawal refuses keys."""
    refusal = log.daemons[-1].authenticate(_key(2))
    assert isinstance(refusal, call.Refusal)
    assert refusal.reason is enums.RefusalReason.AUTHORIZATION_STALE
    assert refusal.outcome is enums.Outcome.NOT_RUN


@pytest_bdd.then('the last daemon accepts a call on an open route')
def check_last_open(log: Log) -> None:
    """Check that an open route needs no recent read of the log."""
    assert log.daemons[-1].authenticate(None, _OPEN_ROUTE) is None


@pytest_bdd.then(
    parsers.parse('a call with the key of {name} runs for {workspace}')
)
def check_workspace(log: Log, name: str, workspace: str) -> None:
    """Check that each daemon derives the workspace from the key."""
    key = _key({'red': 1, 'blue': 2}[name])
    for daemon in log.daemons:
        entry = daemon.authenticate(key)
        assert isinstance(entry, records.KeyEntry)
        assert entry.workspace == workspace


@pytest_bdd.then(parsers.parse('a call with {presented} is refused'))
def check_refused(log: Log, presented: str) -> None:
    """Check that each daemon refuses a wrong or missing key."""
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


@pytest_bdd.when('operators remove red from the document')
def remove_red(log: Log) -> None:
    """Publish a revision that does not name the workspace red."""
    log.publish(1.0, 1, workspaces=('blue',))
    log.read_all()


@pytest_bdd.then('the upstream sees a call of red without its key')
def check_no_key(log: Log) -> None:
    """Check the headers that the daemon passes on to the upstream."""
    sent = [
        ('authorization', f'Bearer {_key(1)}'),
        ('proxy-authorization', f'Bearer {_key(1)}'),
        ('accept', '*/*'),
    ]
    forwarded = headers.to_upstream(sent)
    assert forwarded == [('accept', '*/*')]


@pytest_bdd.then('nothing that daemons send each other contains the key')
def check_key_not_shared(log: Log) -> None:
    """Check the records, snapshots and call contexts."""
    sent = [entry.body.encode() for entry in log.entries]
    for daemon in log.daemons:
        sent.append(msgspec.json.encode(daemon.configuration.snapshot()))
    if log.queued is not None:
        sent.append(msgspec.msgpack.encode(log.queued))
    assert not any(_key(1).encode() in text for text in sent)


@pytest_bdd.when(
    parsers.parse(
        '{count:d} operators publish at once, each replacing revision 1'
    )
)
def publish_at_once(log: Log, count: int) -> None:
    """Append documents that replace the same revision, in any order."""
    rates = list(range(10, 10 + count))
    random.Random(count).shuffle(rates)
    for rate in rates:
        log.publish(float(rate), 1, f'operator-{rate}')


@pytest_bdd.when(
    'an operator publishes rate 5 but the answer is lost, and tries again'
)
def publish_twice(log: Log) -> None:
    """Append the same publication twice, under one id."""
    for _ in range(2):
        log.publish(5.0, 1, 'lost-answer')


@pytest_bdd.when('another operator publishes rate 6, replacing revision 2')
def publish_next(log: Log) -> None:
    """Publish a document that replaces the accepted revision."""
    log.publish(6.0, 2, 'on-top')


@pytest_bdd.when('the first operator tries once more')
def publish_again(log: Log) -> None:
    """Append the first publication a third time."""
    log.publish(5.0, 1, 'lost-answer')


@pytest_bdd.when('every daemon reads the log')
def read_all(log: Log) -> None:
    """Let all daemons apply the records that they have not read."""
    log.read_all()


@pytest_bdd.when('half of the daemons read the log record by record')
def read_one_by_one(log: Log) -> None:
    """Apply single records at every second daemon.

    The other daemons apply the same records later, in one batch.
    """
    for length in range(len(log.entries)):
        for daemon in log.daemons[::2]:
            daemon.read(log.entries[:length])


@pytest_bdd.when('a daemon starts from the snapshot of a peer')
def start_from_snapshot(log: Log) -> None:
    """Start a daemon that no longer finds the first records in the log."""
    log.restarted = Daemon(len(log.daemons), log.clock)
    snapshot = log.daemons[0].configuration.snapshot()
    assert log.restarted.configuration.apply_snapshot(snapshot)
    log.daemons.append(log.restarted)


@pytest_bdd.when('it is offered an older snapshot')
def offer_old_snapshot(log: Log) -> None:
    """Check that the daemon rejects a snapshot of the first record."""
    assert log.restarted is not None
    old = Daemon(0, log.clock)
    old.read(log.entries[:1])
    snapshot = old.configuration.snapshot()
    assert not log.restarted.configuration.apply_snapshot(snapshot)


@pytest_bdd.when('old records are delivered once more')
def repeat_records(log: Log) -> None:
    """Check that records applied a second time change nothing."""
    for daemon in log.daemons:
        for entry in log.entries:
            assert daemon.configuration.apply(entry) is None


@pytest_bdd.then(parsers.parse('revision {revision:d} is in force everywhere'))
def check_revision(log: Log, revision: int) -> None:
    """Check the revision of the document at all daemons."""
    for daemon in log.daemons:
        entry = daemon.configuration.document(_SERVICE)
        assert entry is not None
        assert entry.revision == revision


@pytest_bdd.then(parsers.parse('the rate is {rate:g} everywhere'))
def check_rate(log: Log, rate: float) -> None:
    """Check the rate in the document at all daemons."""
    for daemon in log.daemons:
        entry = daemon.configuration.document(_SERVICE)
        assert entry is not None
        spec = entry.document.workspaces[ids.Workspace('red')]
        assert spec.rate == rate


@pytest_bdd.then(
    parsers.parse(
        'exactly one of {count:d} operators is accepted, and the others '
        'get a conflict'
    )
)
def check_race(log: Log, count: int) -> None:
    """Check that all daemons accept the same one of the publications."""
    accepted_rates = set()
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
        accepted_rates.add(accepted[0])
    assert len(accepted_rates) == 1


@pytest_bdd.then('both operators are told that they were accepted')
def check_both_accepted(log: Log) -> None:
    """Check the stored results of both publications at all daemons."""
    for daemon in log.daemons:
        for name in ('lost-answer', 'on-top'):
            result = daemon.configuration.publication(ids.PublicationId(name))
            assert result is not None
            assert result.status is enums.PublicationStatus.ACCEPTED
