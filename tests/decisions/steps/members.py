"""Steps about leaving upstreams, silent peers and gossip of membership."""

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

_FAILURE_DOMAIN_COUNT = 3


@dataclasses.dataclass
class Calls:
    """Calls that the first daemon on their path routes to upstreams.

    Attributes:
        bed: The router with the members that it knows.
        chosen: The number of calls by upstream; refused calls are counted
            under "refused".
    """

    bed: test_routing.RouterHarness
    chosen: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@pytest.fixture
def calls() -> Calls:
    """Return the router of a daemon that knows no upstream."""
    return Calls(test_routing.RouterHarness())


@pytest_bdd.given(
    parsers.parse('an upstream {first} and an upstream {second} in service')
)
def add_upstreams(calls: Calls, first: str, second: str) -> None:
    """Add two upstreams to the members that the router knows."""
    calls.bed.members.add(first)
    calls.bed.members.add(second)


@pytest_bdd.when(parsers.parse('the connection to {name} goes silent'))
def mark_silent(calls: Calls, name: str) -> None:
    """Mark a peer as silent in the membership."""
    calls.bed.members.silent.add(ids.DaemonId(name))


@pytest_bdd.when(parsers.parse('{name} says that it is leaving'))
def mark_leaving(calls: Calls, name: str) -> None:
    """Set the status of a member to leaving."""
    member = calls.bed.members.entries[ids.DaemonId(name)]
    calls.bed.members.entries[member.daemon_id] = msgspec.structs.replace(
        member, status=enums.MemberStatus.LEAVING
    )


@pytest_bdd.when(parsers.parse('the upstream {name} says that it is draining'))
def report_draining(calls: Calls, name: str) -> None:
    """Report draining in an admission hint, before a member entry says so."""
    hint = test_routing.make_hint(status=enums.UpstreamStatus.DRAINING)
    calls.bed.router.note_hint(ids.DaemonId(name), hint)


@pytest_bdd.when(
    parsers.parse('{count:d} calls arrive within {seconds:d} seconds')
)
def route_calls(calls: Calls, count: int, seconds: int) -> None:
    """Route calls, evenly spaced, each of which ends at once."""
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
    """Check the number of calls routed to one upstream."""
    assert calls.chosen[name] == count


@pytest_bdd.then('every call gets an upstream')
def check_all_routed(calls: Calls) -> None:
    """Check that no call was refused."""
    assert calls.chosen.total() > 0
    assert calls.chosen['refused'] == 0


@pytest_bdd.then('a call without an upstream is refused as not run')
def check_refusal(calls: Calls) -> None:
    """Check the refusal of a call when each upstream has left or is silent."""
    refusal = calls.bed.choose()
    assert isinstance(refusal, call.Refusal)
    assert refusal.outcome is enums.Outcome.NOT_RUN


@pytest_bdd.given(
    parsers.parse('a fleet of {count:d} daemons in 3 failure domains'),
    target_fixture='fleet',
)
def start_fleet(count: int) -> gossip.Fleet:
    """Start daemons that know each other, and run them for 2 s."""
    fleet = gossip.Fleet(seed=7)
    everyone = [
        gossip.make_member(n, _FAILURE_DOMAIN_COUNT) for n in range(count)
    ]
    for own in everyone:
        fleet.add(own, everyone)
    fleet.run(2.0)
    return fleet


@pytest_bdd.given(parsers.parse('{percent:d}% of messages are lost'))
def lose_messages(fleet: gossip.Fleet, percent: int) -> None:
    """Drop gossip messages at random."""
    rng = random.Random(3)
    fleet.is_cut = lambda one, other: rng.random() < percent / 100


@pytest_bdd.given('failure domain 0 cannot reach the others')
def cut_off_domain(fleet: gossip.Fleet) -> None:
    """Cut all links between failure domain 0 and the others."""
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
def announce_stop(fleet: gossip.Fleet, number: int) -> records.Member:
    """Announce the planned stop of one daemon of a failure domain."""
    daemon = next(
        daemon
        for daemon in fleet.daemons.values()
        if daemon.own.failure_domain == f'domain-{number}'
    )
    return daemon.update_own(status=enums.MemberStatus.LEAVING)


@pytest_bdd.when(parsers.parse('the fleet gossips for {seconds:g} seconds'))
def run_gossip(fleet: gossip.Fleet, seconds: float) -> None:
    """Run the fleet for a time."""
    fleet.run(seconds)


@pytest_bdd.when('the failure domains reach each other again')
def restore_links(fleet: gossip.Fleet) -> None:
    """Restore all links."""
    fleet.is_cut = lambda one, other: False


@pytest_bdd.then(
    parsers.parse('at least {percent:d}% of the daemons know that it leaves')
)
def check_informed_fraction(
    fleet: gossip.Fleet, leaver: records.Member, percent: int
) -> None:
    """Check the fraction of member tables that hold the new status."""
    informed = _count_informed(fleet, leaver)
    print(f'{informed} of {len(fleet.daemons)} know')
    assert informed >= percent / 100 * len(fleet.daemons)


@pytest_bdd.then('no daemon of another failure domain knows that it leaves')
def check_others_uninformed(
    fleet: gossip.Fleet, leaver: records.Member
) -> None:
    """Check that the new status has not crossed the cut links."""
    assert not any(
        daemon.get(leaver.daemon_id) == leaver
        for daemon in fleet.daemons.values()
        if daemon.own.failure_domain != leaver.failure_domain
    )


@pytest_bdd.then('every daemon still knows every member')
def check_all_members_kept(fleet: gossip.Fleet) -> None:
    """Check that each member table still lists the whole fleet."""
    for daemon in fleet.daemons.values():
        assert len(daemon.members()) == len(fleet.daemons)


def _count_informed(fleet: gossip.Fleet, member: records.Member) -> int:
    return sum(
        daemon.get(member.daemon_id) == member
        for daemon in fleet.daemons.values()
    )
