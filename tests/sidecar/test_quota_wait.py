"""Tests of the queues of calls that wait for tokens of a limit."""

import random

from sassafraswood import clock
from sassafraswood.coordination import quota_shares
from sassafraswood.coordination import store_knowledge
from sassafraswood.models import traffic
from sassafraswood.protocol import frames
from sassafraswood.sidecar import quota_wait


class FakeCall:
    """A call of a workspace."""

    workspace = 'blue'
    has_token = False
    latency_target_s = 0.8


class FakePeers:
    """Connections to lenders for which the test replies."""

    def __init__(self) -> None:
        """Start with all lenders reachable."""
        self.asked = []
        self.is_reachable = True
        self.connected = []

    def send(self, daemon_id, message) -> bool:
        """Record a message and whether it was sent."""
        if self.is_reachable:
            self.asked.append((daemon_id, message))
        return self.is_reachable

    def connect(self, daemon_id) -> None:
        """Record the daemon to connect to."""
        self.connected.append(daemon_id)


class Fixture:
    """Queues of a daemon that holds no share of the limit."""

    def __init__(self) -> None:
        """Create the queues with eight other daemons as lenders."""
        self.clock = clock.ManualClock()
        self.knowledge = store_knowledge.StoreKnowledge(self.clock)
        self.shares = quota_shares.QuotaShares(
            clock=self.clock,
            random=random.Random(1),
            daemon_id='own',
            slack=20.0,
            tolerance=0.1,
        )
        self.shares.set_workspaces(
            {
                'blue': traffic.WorkspaceRules(
                    name='blue', rank=None, rate_per_s=1.0, burst=1.0
                )
            }
        )
        self.shares.set_members([f'd{index}' for index in range(8)])
        self.served = []
        self.refused = []
        self.peers = FakePeers()
        self.waits = quota_wait.QuotaWaits(
            clock=self.clock,
            shares=self.shares,
            knowledge=self.knowledge,
            members_s=5.0,
            on_token=self.served.append,
            on_refused=self.refused.append,
        )
        self.waits.attach(self.peers)

    def lend(self, tokens: float) -> None:
        """Reply as the lender that was asked last."""
        self.waits.handle_loan(
            frames.LendTokens(workspace='blue', tokens=tokens)
        )


def test_borrowed_token_lets_the_call_go_on() -> None:
    """One lender is asked, for as many tokens as calls wait."""
    fixture = Fixture()
    assert not fixture.waits.acquire(FakeCall())
    assert len(fixture.peers.asked) == 1
    fixture.lend(1.0)
    assert len(fixture.served) == 1
    assert fixture.served[0].has_token


def test_further_lenders_are_asked_before_a_refusal() -> None:
    """The first lenders may have spent their tokens by chance."""
    fixture = Fixture()
    fixture.waits.acquire(FakeCall())
    for _ in range(quota_wait.MAX_EMPTY_LOANS - 1):
        fixture.lend(0.0)
        assert not fixture.refused
    fixture.lend(0.0)
    assert len(fixture.refused) == 1


def test_requests_beyond_a_limit_send_few_messages() -> None:
    """Fewer messages than calls are sent while no lender has tokens."""
    fixture = Fixture()
    for _ in range(1000):
        fixture.clock.advance(0.01)
        before = len(fixture.peers.asked)
        fixture.waits.acquire(FakeCall())
        while (
            len(fixture.peers.asked) > before and len(fixture.refused) < 1000
        ):
            before = len(fixture.peers.asked)
            fixture.lend(0.0)
    assert len(fixture.refused) == 1000
    assert len(fixture.peers.asked) < 60


def test_lender_with_new_tokens_is_asked_soon() -> None:
    """The pause without messages to lenders is half a second at most."""
    fixture = Fixture()
    for _ in range(100):
        fixture.clock.advance(0.05)
        fixture.waits.acquire(FakeCall())
        fixture.lend(0.0)
    fixture.clock.advance(0.5)
    fixture.waits.acquire(FakeCall())
    fixture.lend(1.0)
    assert len(fixture.served) == 1


def test_call_waits_for_the_refill_within_its_time() -> None:
    """After a refusal the caller would wait longer than for the refill."""
    fixture = Fixture()
    fixture.shares.set_workspaces(
        {
            'blue': traffic.WorkspaceRules(
                name='blue', rank=None, rate_per_s=20.0, burst=1.0
            )
        }
    )
    fixture.shares.set_members(['own'])
    fixture.shares.set_spending_start(fixture.clock.monotonic())
    fixture.knowledge.note_members(1, fixture.clock.monotonic())
    fixture.peers.is_reachable = False
    calls = [FakeCall() for _ in range(5)]
    for call in calls:
        fixture.waits.acquire(call)
    # Two tokens are refilled within the wait of 0.1 s; further calls are
    # refused at once.
    assert fixture.refused == calls[2:]
    for _ in range(5):
        fixture.clock.advance(0.025)
        fixture.waits.tick(fixture.clock.monotonic())
    assert fixture.served == calls[:2]
    assert fixture.refused == calls[2:]


def test_silent_lender_is_skipped() -> None:
    """The next lender is asked if one does not reply in time.

    The VM of the silent one may just have lost power.
    """
    fixture = Fixture()
    fixture.waits.acquire(FakeCall())
    fixture.clock.advance(0.03)
    fixture.waits.tick(fixture.clock.monotonic())
    assert len(fixture.peers.asked) == 2
    assert not fixture.refused
    fixture.clock.advance(0.1)
    fixture.waits.tick(fixture.clock.monotonic())
    assert len(fixture.refused) == 1


# Guards against refusals far below a limit after the start of a fleet, when no
# daemon is connected to a lender yet.
def test_call_waits_for_a_connection_to_a_lender() -> None:
    """A connection takes a few milliseconds."""
    fixture = Fixture()
    fixture.peers.is_reachable = False
    fixture.waits.acquire(FakeCall())
    assert not fixture.refused
    assert len(fixture.peers.connected) == quota_wait.MAX_NEW_LENDERS
    fixture.peers.is_reachable = True
    fixture.clock.advance(0.025)
    fixture.waits.tick(fixture.clock.monotonic())
    fixture.lend(1.0)
    assert len(fixture.served) == 1


def test_call_is_refused_if_no_lender_is_reached() -> None:
    """It waits no longer than for a loan."""
    fixture = Fixture()
    fixture.peers.is_reachable = False
    fixture.waits.acquire(FakeCall())
    for _ in range(5):
        fixture.clock.advance(0.025)
        fixture.waits.tick(fixture.clock.monotonic())
    assert len(fixture.refused) == 1


def test_token_of_a_call_that_has_not_run_is_returned_once() -> None:
    """Exactly one other call can use it."""
    fixture = Fixture()
    call = FakeCall()
    fixture.waits.acquire(call)
    fixture.lend(1.0)
    fixture.waits.release(call)
    fixture.waits.release(call)
    assert fixture.shares.retry_take('blue')
    assert not fixture.shares.retry_take('blue')


# Guards against refusals whose log line does not tell right from wrong ones.
def test_refusal_is_described_by_limit_share_loans_and_ages() -> None:
    """An operator sees whether the limit or missing knowledge decided."""
    fixture = Fixture()
    fixture.knowledge.note_members(1, fixture.clock.monotonic())
    fixture.clock.advance(0.5)
    fixture.waits.acquire(FakeCall())
    fixture.lend(0.0)
    description = fixture.waits.describe('blue')
    assert description['limit_per_s'] == 1.0
    assert description['holders'] == quota_shares.MIN_HOLDERS
    assert description['share_per_s'] == 0.0
    assert description['empty_loans'] == 1
    assert description['members_age_s'] == 0.5
