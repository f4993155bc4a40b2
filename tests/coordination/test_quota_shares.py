"""Tests of the limits that daemons share."""

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from sassafraswood import clock
from sassafraswood.coordination import quota_shares
from sassafraswood.models import ids
from sassafraswood.models import traffic
from sassafraswood.sidecar import quota_wait

WORKSPACE = ids.Workspace('blue-reef')
WINDOW_S = 5.0
SLACK = 20.0
TOLERANCE = 0.1


class Fleet:
    """Daemons that share a clock and lend to each other."""

    def __init__(self, count: int, *, rate: float, burst: float) -> None:
        """Start with full knowledge of each other."""
        self.clock = clock.ManualClock()
        self.rules = traffic.WorkspaceRules(
            name=WORKSPACE, rank=None, rate_per_s=rate, burst=burst
        )
        self.names = [ids.DaemonId(f'd{index}') for index in range(count)]
        self.daemons = {
            name: quota_shares.QuotaShares(
                clock=self.clock,
                random=random.Random(1),
                daemon_id=name,
                slack=SLACK,
                tolerance=TOLERANCE,
            )
            for name in self.names
        }
        for daemon in self.daemons.values():
            daemon.set_workspaces({WORKSPACE: self.rules})
            daemon.set_members(self.names)
            daemon.spend_from(self.clock.monotonic())

    @property
    def allowed(self) -> float:
        """Return how many requests a window may hold."""
        tokens = self.rules.rate_per_s * WINDOW_S + self.rules.burst
        return tokens * (1.0 + TOLERANCE) + SLACK

    def request(self, name: ids.DaemonId) -> bool:
        """Send a request through one daemon."""
        daemon = self.daemons[name]
        if daemon.take(WORKSPACE):
            return True
        for lender in daemon.lenders(WORKSPACE)[: quota_wait.EMPTY_LOANS]:
            wanted = daemon.wanted(WORKSPACE)
            daemon.receive(
                WORKSPACE,
                self.daemons[lender].lend(WORKSPACE, wanted),
            )
            if daemon.take_again(WORKSPACE):
                return True
        return False


def largest_window(times: list[float]) -> int:
    """Return the most requests in any window."""
    return max(
        (
            sum(1 for time in times if start <= time < start + WINDOW_S)
            for start in times
        ),
        default=0,
    )


@given(
    count=strategies.integers(1, 40),
    rate=strategies.floats(0.5, 50.0),
    seed=strategies.integers(0, 100),
)
def test_no_window_holds_more_than_allowed(
    count: int, rate: float, seed: int
) -> None:
    """Three times the rate through changing daemons stays within."""
    fleet = Fleet(count, rate=rate, burst=rate)
    chance = random.Random(seed)
    times = []
    end = fleet.clock.monotonic() + 12.0
    while fleet.clock.monotonic() < end:
        fleet.clock.advance(chance.expovariate(3.0 * rate))
        if fleet.request(chance.choice(fleet.names)):
            times.append(fleet.clock.monotonic())
    assert largest_window(times) <= fleet.allowed


@pytest.mark.parametrize('rate', [2.0, 10.0, 60.0])
def test_usual_load_is_hardly_ever_refused(rate: float) -> None:
    """At 0.6 of the rate at most 1 in 1,000 is refused by 13 daemons."""
    fleet = Fleet(13, rate=rate, burst=rate)
    fleet.clock.advance(5.0)
    chance = random.Random(2)
    refused = 0
    for _ in range(4000):
        fleet.clock.advance(chance.expovariate(0.6 * rate))
        refused += not fleet.request(chance.choice(fleet.names))
    assert refused <= 4


def test_new_holder_waits_until_all_know_it() -> None:
    """Before that, others still spend its part."""
    fleet = Fleet(2, rate=10.0, burst=10.0)
    late = fleet.daemons[fleet.names[1]]
    late.spend_from(fleet.clock.monotonic() + 5.0)
    fleet.clock.advance(4.0)
    assert not late.take(WORKSPACE)
    assert late.lend(WORKSPACE, 1.0) == 0.0
    fleet.clock.advance(1.1)
    assert late.take(WORKSPACE)


def test_lender_deducts_first() -> None:
    """A loan that is lost loses tokens and makes none."""
    fleet = Fleet(2, rate=10.0, burst=10.0)
    fleet.clock.advance(5.0)
    lender = fleet.daemons[fleet.names[0]]
    before = 0
    while lender.lend(WORKSPACE, 1.0):
        before += 1
    assert before >= 5
    assert not lender.take(WORKSPACE)


def test_borrowed_tokens_lapse() -> None:
    """Otherwise they would pile up for a later window."""
    fleet = Fleet(2, rate=10.0, burst=10.0)
    daemon = fleet.daemons[fleet.names[0]]
    daemon.receive(WORKSPACE, 5.0)
    fleet.clock.advance(0.6)
    daemon.set_members([fleet.names[1]])
    assert not daemon.take(WORKSPACE)


def test_lower_limit_binds_at_once() -> None:
    """What was saved under the old limit is not spent under the new one."""
    fleet = Fleet(1, rate=100.0, burst=100.0)
    fleet.clock.advance(5.0)
    daemon = fleet.daemons[fleet.names[0]]
    daemon.set_workspaces(
        {
            WORKSPACE: traffic.WorkspaceRules(
                name=WORKSPACE, rank=None, rate_per_s=1.0, burst=1.0
            )
        }
    )
    taken = 0
    while daemon.take(WORKSPACE):
        taken += 1
    assert taken <= 14


def test_token_of_a_call_that_has_not_run_is_used_again() -> None:
    """Calls refused for the load of an upstream cost no part of a limit."""
    fleet = Fleet(1, rate=1.0, burst=1.0)
    name = fleet.names[0]
    taken = 0
    while fleet.request(name):
        taken += 1
    fleet.daemons[name].give_back(WORKSPACE)
    assert fleet.request(name)
    assert not fleet.request(name)
    fleet.daemons[name].give_back(WORKSPACE)
    for _ in range(2 * taken):
        fleet.daemons[name].give_back(WORKSPACE)
    assert sum(fleet.request(name) for _ in range(3 * taken)) == taken
