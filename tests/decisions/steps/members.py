"""Steps about leaving upstreams, silent peers and membership."""

import collections
import dataclasses
import random

import msgspec
import pytest
import pytest_bdd
from pytest_bdd import parsers

from lab import gossip
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records
from tests.coordination import test_routing

_DOMAINS = 3


@dataclasses.dataclass
class Calls:
    """Calls that a first daemon routes.

    Attributes:
        bed: The router.
        chosen: How many calls each upstream got since the last change.
    """

    bed: test_routing.RouterHarness
    chosen: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@pytest.fixture
def calls() -> Calls:
    """Return a first daemon that knows no upstream."""
    return Calls(test_routing.RouterHarness())


@pytest_bdd.given(
    parsers.parse('an upstream {first} and an upstream {second} in service')
)
def add_two(calls: Calls, first: str, second: str) -> None:
    """Add two upstreams."""
    calls.bed.members.add(first)
    calls.bed.members.add(second)


@pytest_bdd.when(parsers.parse('the connection to {name} goes silent'))
def silence(calls: Calls, name: str) -> None:
    """Let the membership note the silence."""
    calls.bed.members.silent.add(ids.DaemonId(name))


@pytest_bdd.when(parsers.parse('{name} says that it is leaving'))
def leave(calls: Calls, name: str) -> None:
    """Change the status of a member."""
    member = calls.bed.members.entries[ids.DaemonId(name)]
    calls.bed.members.entries[member.daemon_id] = msgspec.structs.replace(
        member, status=enums.MemberStatus.LEAVING
    )


@pytest_bdd.when(parsers.parse('the upstream {name} says that it is draining'))
def drain(calls: Calls, name: str) -> None:
    """Let the hint of an answer tell it before any member entry does."""
    hint = test_routing.make_hint(status=enums.UpstreamStatus.DRAINING)
    calls.bed.router.note_hint(ids.DaemonId(name), hint)


@pytest_bdd.when(
    parsers.parse('{count:d} calls arrive within {seconds:d} seconds')
)
def route(calls: Calls, count: int, seconds: int) -> None:
    """Route calls that end at once."""
    for _ in range(count):
        calls.bed.clock.advance(seconds / count)
        chosen = calls.bed.choose()
        if isinstance(chosen, call.Refusal):
            calls.chosen['refused'] += 1
            continue
        calls.chosen[chosen] += 1
        calls.bed.end(chosen)


@pytest_bdd.then(parsers.parse('{name} gets {count:d} of them'))
def check_count(calls: Calls, name: str, count: int) -> None:
    """Check the calls of one upstream."""
    assert calls.chosen[name] == count


@pytest_bdd.then('every call gets an upstream')
def check_all_routed(calls: Calls) -> None:
    """Check that no call was refused."""
    assert calls.chosen.total() > 0
    assert calls.chosen['refused'] == 0


@pytest_bdd.then('a call without an upstream is refused as not run')
def check_refusal(calls: Calls) -> None:
    """Check the refusal where every upstream is gone or silent."""
    refusal = calls.bed.choose()
    assert isinstance(refusal, call.Refusal)
    assert refusal.outcome is enums.Outcome.NOT_RUN


@pytest_bdd.given(
    parsers.parse('a fleet of {count:d} daemons in 3 failure domains'),
    target_fixture='fleet',
)
def start_fleet(count: int) -> gossip.Fleet:
    """Start daemons that know each other."""
    fleet = gossip.Fleet(seed=7)
    everyone = [gossip.member(n, _DOMAINS) for n in range(count)]
    for own in everyone:
        fleet.add(own, everyone)
    fleet.run(2.0)
    return fleet


@pytest_bdd.given(parsers.parse('{percent:d}% of messages are lost'))
def lose_messages(fleet: gossip.Fleet, percent: int) -> None:
    """Lose messages at random."""
    lost = random.Random(3)
    fleet.is_cut = lambda one, other: lost.random() < percent / 100


@pytest_bdd.given('failure domain 0 cannot reach the others')
def cut_domain(fleet: gossip.Fleet) -> None:
    """Cut one domain off."""
    domain = {
        daemon_id: daemon.own.failure_domain
        for daemon_id, daemon in fleet.daemons.items()
    }
    fleet.is_cut = lambda one, other: (
        (domain[one] == 'domain-0') != (domain[other] == 'domain-0')
    )


@pytest_bdd.when(
    parsers.parse('a daemon of failure domain {number:d} says it is leaving'),
    target_fixture='leaver',
)
def leave_fleet(fleet: gossip.Fleet, number: int) -> records.Member:
    """Announce a planned stop."""
    daemon = next(
        daemon
        for daemon in fleet.daemons.values()
        if daemon.own.failure_domain == f'domain-{number}'
    )
    return daemon.update_own(status=enums.MemberStatus.LEAVING)


@pytest_bdd.when(parsers.parse('the fleet gossips for {seconds:g} seconds'))
def gossip_for(fleet: gossip.Fleet, seconds: float) -> None:
    """Let time pass."""
    fleet.run(seconds)


@pytest_bdd.when('the failure domains reach each other again')
def heal(fleet: gossip.Fleet) -> None:
    """End the cut."""
    fleet.is_cut = lambda one, other: False


@pytest_bdd.then(
    parsers.parse('at least {percent:d}% of the daemons know that it leaves')
)
def check_share_knows(
    fleet: gossip.Fleet, leaver: records.Member, percent: int
) -> None:
    """Check the share of tables with the new status."""
    knowing = _knowing(fleet, leaver)
    print(f'{knowing} of {len(fleet.daemons)} know')
    assert knowing >= percent / 100 * len(fleet.daemons)


@pytest_bdd.then('no daemon of another failure domain knows that it leaves')
def check_cut(fleet: gossip.Fleet, leaver: records.Member) -> None:
    """Check that the cut was a cut."""
    assert not any(
        daemon.get(leaver.daemon_id) == leaver
        for daemon in fleet.daemons.values()
        if daemon.own.failure_domain != leaver.failure_domain
    )


@pytest_bdd.then('nobody has forgotten a member')
def check_nobody_lost(fleet: gossip.Fleet) -> None:
    """Check the size of all tables."""
    for daemon in fleet.daemons.values():
        assert len(daemon.members()) == len(fleet.daemons)


def _knowing(fleet: gossip.Fleet, member: records.Member) -> int:
    return sum(
        daemon.get(member.daemon_id) == member
        for daemon in fleet.daemons.values()
    )
