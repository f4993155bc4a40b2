"""Tests of the shares of a rate limit that the daemons of a fleet hold."""

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

    def __init__(
        self,
        count: int,
        *,
        rate: float,
        burst: float,
        has_restarted: bool = False,
    ) -> None:
        """Start daemons that all know each other as members."""
        self.clock = clock.ManualClock()
        self.rules = traffic.WorkspaceRules(
            name=WORKSPACE, rank=None, rate_per_s=rate, burst=burst
        )
        self.names = [ids.DaemonId(f'd{index}') for index in range(count)]
        self.daemons: dict[ids.DaemonId, quota_shares.QuotaShares] = {}
        self.restart(has_restarted=has_restarted)

    def restart(self, *, has_restarted: bool = True) -> None:
        """Start the next process of each daemon."""
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
            daemon.set_spending_start(
                self.clock.monotonic(), has_restarted=has_restarted
            )

    @property
    def allowed(self) -> float:
        """Return the most requests that may be admitted in one window."""
        tokens = self.rules.rate_per_s * WINDOW_S + self.rules.burst
        return tokens * (1.0 + TOLERANCE) + SLACK

    def request(self, name: ids.DaemonId) -> bool:
        """Send a request through one daemon; return whether it is admitted."""
        daemon = self.daemons[name]
        if daemon.take(WORKSPACE):
            return True
        for lender in daemon.lenders(WORKSPACE)[: quota_wait.MAX_EMPTY_LOANS]:
            wanted = daemon.wanted(WORKSPACE)
            daemon.receive(
                WORKSPACE,
                self.daemons[lender].lend(WORKSPACE, wanted),
            )
            if daemon.retry_take(WORKSPACE):
                return True
        return False


def largest_window(times: list[float]) -> int:
    """Return the largest number of requests in any window."""
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
    """At three times the rate, spread at random, the limit still holds."""
    fleet = Fleet(count, rate=rate, burst=rate)
    generator = random.Random(seed)
    times = []
    end = fleet.clock.monotonic() + 12.0
    while fleet.clock.monotonic() < end:
        fleet.clock.advance(generator.expovariate(3.0 * rate))
        if fleet.request(generator.choice(fleet.names)):
            times.append(fleet.clock.monotonic())
    assert largest_window(times) <= fleet.allowed


@pytest.mark.parametrize('refused_share', [0.0, 0.4])
def test_calls_that_wait_for_their_start_exceed_no_window(
    refused_share: float,
) -> None:
    """Guards against a window that holds a burst and what followed it.

    A workspace sends five times its usual; its calls wait at a full upstream,
    some are refused there, and then the queue is gone.
    """
    fleet = Fleet(13, rate=330.0, burst=330.0)
    generator = random.Random(3)
    fleet.clock.advance(5.0)
    start = fleet.clock.monotonic()
    started: list[float] = []
    refusals: list[tuple[float, ids.DaemonId]] = []
    while (now := fleet.clock.monotonic()) < start + 8.0:
        fleet.clock.advance(generator.expovariate(1000.0))
        while refusals and refusals[0][0] <= now:
            fleet.daemons[refusals.pop(0)[1]].give_back(WORKSPACE)
        name = generator.choice(fleet.names)
        if not fleet.request(name):
            continue
        delay_s = quota_shares.MAX_START_DELAY_S if now < start + 1.0 else 0.0
        if delay_s and generator.random() < refused_share:
            refusals.append((now + delay_s, name))
        else:
            started.append(now + delay_s)
    assert largest_window(started) <= fleet.allowed


def test_burst_below_the_start_delay_leaves_the_rate() -> None:
    """Guards against a limit with a small burst that is never reached."""
    fleet = Fleet(1, rate=300.0, burst=3.0)
    fleet.clock.advance(5.0)
    admitted = 0
    for _ in range(20_000):
        fleet.clock.advance(0.001)
        admitted += fleet.request(fleet.names[0])
    assert admitted >= 300.0 * 20.0


@pytest.mark.parametrize('rate', [2.0, 10.0, 60.0])
def test_load_below_the_rate_is_rarely_refused(rate: float) -> None:
    """At 0.6 of the rate, 13 daemons refuse at most 1 request in 1,000."""
    fleet = Fleet(13, rate=rate, burst=rate)
    fleet.clock.advance(5.0)
    generator = random.Random(2)
    refused = 0
    for _ in range(4000):
        fleet.clock.advance(generator.expovariate(0.6 * rate))
        refused += not fleet.request(generator.choice(fleet.names))
    assert refused <= 4


def test_new_holder_waits_until_all_know_it() -> None:
    """Guards against a new holder's share that peers still spend as theirs."""
    fleet = Fleet(2, rate=10.0, burst=10.0)
    late = fleet.daemons[fleet.names[1]]
    late.set_spending_start(fleet.clock.monotonic() + 5.0)
    fleet.clock.advance(4.0)
    assert not late.take(WORKSPACE)
    assert late.lend(WORKSPACE, 1.0) == 0.0
    fleet.clock.advance(1.1)
    assert late.take(WORKSPACE)


def test_lender_deducts_first() -> None:
    """Guards against a lost loan message that creates tokens."""
    fleet = Fleet(2, rate=10.0, burst=10.0)
    fleet.clock.advance(5.0)
    lender = fleet.daemons[fleet.names[0]]
    lent_count = 0
    while lender.lend(WORKSPACE, 1.0):
        lent_count += 1
    assert lent_count >= 5
    assert not lender.take(WORKSPACE)


def test_borrowed_tokens_expire() -> None:
    """Guards against borrowed tokens that add up for a later window."""
    fleet = Fleet(2, rate=10.0, burst=10.0)
    daemon = fleet.daemons[fleet.names[0]]
    daemon.receive(WORKSPACE, 5.0)
    fleet.clock.advance(0.6)
    daemon.set_members([fleet.names[1]])
    assert not daemon.take(WORKSPACE)


def test_lower_limit_applies_at_once() -> None:
    """Guards against tokens of the old limit that are spent under the new."""
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
    admitted_count = 0
    while daemon.take(WORKSPACE):
        admitted_count += 1
    assert admitted_count <= 14


def test_token_of_a_call_that_has_not_run_is_used_again() -> None:
    """Guards against calls that use up a limit although upstreams refuse."""
    fleet = Fleet(1, rate=1.0, burst=1.0)
    name = fleet.names[0]
    admitted_count = 0
    while fleet.request(name):
        admitted_count += 1
    fleet.daemons[name].give_back(WORKSPACE)
    assert fleet.request(name)
    assert not fleet.request(name)
    fleet.daemons[name].give_back(WORKSPACE)
    for _ in range(2 * admitted_count):
        fleet.daemons[name].give_back(WORKSPACE)
    assert (
        sum(fleet.request(name) for _ in range(3 * admitted_count))
        == admitted_count
    )


def count_wrong_refusals(
    *, rate: float, demand: float, duration_s: float, seed: int
) -> tuple[int, int]:
    """Restart a fleet of 195 daemons; return its requests and refusals.

    A refusal is wrong if a single bucket that starts empty would admit.
    """
    fleet = Fleet(195, rate=rate, burst=rate, has_restarted=True)
    generator = random.Random(seed)
    bucket, requests, refusals = 0.0, 0, 0
    while duration_s > 0.0:
        gap_s = generator.expovariate(demand)
        duration_s -= gap_s
        fleet.clock.advance(gap_s)
        bucket = min(rate, bucket + gap_s * rate)
        requests += 1
        if bucket < 1.0:
            continue
        if fleet.request(generator.choice(fleet.names)):
            bucket -= 1.0
        else:
            refusals += 1
    return requests, refusals


# Pattern: all VMs of a large fleet restart while many small workspaces call.
@pytest.mark.parametrize('rate', [2.0, 3.4, 8.0])
def test_small_limits_are_usable_soon_after_a_restart(rate: float) -> None:
    """The shares start empty and each gets few tokens a second."""
    requests = refusals = 0
    for seed in range(100):
        counts = count_wrong_refusals(
            rate=rate, demand=0.6 * rate, duration_s=3.0, seed=seed
        )
        requests += counts[0]
        refusals += counts[1]
    print(f'{rate}/s: {refusals} of {requests} refused')
    assert refusals <= 0.02 * requests


# Pattern: many small workspaces call a large fleet near their limits.
def test_small_limits_are_seldom_refused_in_calm() -> None:
    """At 0.9 of the limit; the first seconds fill the shares."""
    requests = refusals = 0
    for seed in range(20):
        for duration_s, sign in ((60.0, 1), (5.0, -1)):
            counts = count_wrong_refusals(
                rate=3.4, demand=0.9 * 3.4, duration_s=duration_s, seed=seed
            )
            requests += sign * counts[0]
            refusals += sign * counts[1]
    print(f'{refusals} of {requests} refused')
    assert refusals <= requests / 1000


# Guards against an excess by the tokens that holders have after a restart.
@pytest.mark.parametrize('rate', [1.0, 3.4, 50.0])
def test_restart_of_all_holders_exceeds_no_window(rate: float) -> None:
    """Callers press beyond the limit before and after the restart."""
    fleet = Fleet(40, rate=rate, burst=rate)
    generator = random.Random(7)
    admitted: list[float] = []
    for step in range(2000):
        fleet.clock.advance(0.01)
        if step == 1000:
            # The next processes start at once.
            fleet.restart()
        for name in generator.sample(fleet.names, 5):
            if fleet.request(name):
                admitted.append(fleet.clock.monotonic())
    assert largest_window(admitted) <= fleet.allowed


# Pattern: a workspace of a small fleet sends several times its limit.
def test_small_fleet_spends_its_limit_without_loans() -> None:
    """Each daemon holds a share, and its callers use it up."""
    fleet = Fleet(13, rate=12.0, burst=12.0)
    fleet.clock.advance(20.0)
    admitted = 0
    for _ in range(72):
        # Each daemon gets 3.6 calls a second.
        fleet.clock.advance(20.0 / 72)
        for name in fleet.names:
            admitted += fleet.daemons[name].take(WORKSPACE)
    # The rate for 20 s, and the burst.
    assert admitted >= 0.95 * 12.0 * 21.0
