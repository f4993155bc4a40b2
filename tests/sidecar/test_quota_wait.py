"""Tests of calls that wait for tokens of a limit."""

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
    aim_s = 0.8


class FakePeers:
    """Lenders that the test answers for."""

    def __init__(self) -> None:
        """Reach all of them."""
        self.asked = []
        self.is_reachable = True
        self.connected = []

    def send(self, daemon_id, message) -> bool:
        """Keep a message."""
        if self.is_reachable:
            self.asked.append((daemon_id, message))
        return self.is_reachable

    def connect(self, daemon_id) -> None:
        """Keep whom to connect to."""
        self.connected.append(daemon_id)


class Side:
    """Waits of a daemon that holds no part of the limit."""

    def __init__(self) -> None:
        """Wire it up."""
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
        self.taken = []
        self.refused = []
        self.peers = FakePeers()
        self.waits = quota_wait.QuotaWaits(
            clock=self.clock,
            shares=self.shares,
            knowledge=self.knowledge,
            members_s=5.0,
            on_taken=self.taken.append,
            on_refused=self.refused.append,
        )
        self.waits.attach(self.peers)

    def lend(self, tokens: float) -> None:
        """Answer as the lender that was asked last."""
        self.waits.take_loan(frames.Lend(workspace='blue', tokens=tokens))


def test_borrowed_token_lets_the_call_go_on() -> None:
    """One lender is asked, for as much as waits."""
    side = Side()
    assert not side.waits.take(FakeCall())
    assert len(side.peers.asked) == 1
    side.lend(1.0)
    assert len(side.taken) == 1
    assert side.taken[0].has_token


def test_further_lenders_are_asked_before_a_refusal() -> None:
    """The first ones may be empty by chance."""
    side = Side()
    side.waits.take(FakeCall())
    for _ in range(quota_wait.EMPTY_LOANS - 1):
        side.lend(0.0)
        assert not side.refused
    side.lend(0.0)
    assert len(side.refused) == 1


def test_flood_beyond_a_limit_does_not_become_one_of_messages() -> None:
    """Less than a message for each call, while nobody lends."""
    side = Side()
    for _ in range(1000):
        side.clock.advance(0.01)
        before = len(side.peers.asked)
        side.waits.take(FakeCall())
        while len(side.peers.asked) > before and len(side.refused) < 1000:
            before = len(side.peers.asked)
            side.lend(0.0)
    assert len(side.refused) == 1000
    assert len(side.peers.asked) < 60


def test_lender_that_has_tokens_again_is_found_soon() -> None:
    """Refusals without asking last for half a second at most."""
    side = Side()
    for _ in range(100):
        side.clock.advance(0.05)
        side.waits.take(FakeCall())
        side.lend(0.0)
    side.clock.advance(0.5)
    side.waits.take(FakeCall())
    side.lend(1.0)
    assert len(side.taken) == 1


def test_call_waits_for_tokens_that_come_soon() -> None:
    """A refusal would send its caller away for longer."""
    side = Side()
    side.shares.set_workspaces(
        {
            'blue': traffic.WorkspaceRules(
                name='blue', rank=None, rate_per_s=20.0, burst=1.0
            )
        }
    )
    side.shares.set_members(['own'])
    side.shares.spend_from(side.clock.monotonic())
    side.knowledge.note_members(1, side.clock.monotonic())
    side.peers.is_reachable = False
    calls = [FakeCall() for _ in range(5)]
    for call in calls:
        side.waits.take(call)
    # In a tenth of a second two tokens come; more calls need not wait.
    assert side.refused == calls[2:]
    for _ in range(5):
        side.clock.advance(0.025)
        side.waits.tick(side.clock.monotonic())
    assert side.taken == calls[:2]
    assert side.refused == calls[2:]


def test_silent_lender_is_passed_over() -> None:
    """It may have lost power a moment ago."""
    side = Side()
    side.waits.take(FakeCall())
    side.clock.advance(0.03)
    side.waits.tick(side.clock.monotonic())
    assert len(side.peers.asked) == 2
    assert not side.refused
    side.clock.advance(0.1)
    side.waits.tick(side.clock.monotonic())
    assert len(side.refused) == 1


def test_lenders_that_are_not_connected_are_connected_to() -> None:
    """For the calls that come next."""
    side = Side()
    side.peers.is_reachable = False
    side.waits.take(FakeCall())
    assert len(side.refused) == 1
    assert len(side.peers.connected) == quota_wait.NEW_LENDERS


def test_token_of_a_call_that_has_not_run_is_returned_once() -> None:
    """Another call may use it."""
    side = Side()
    call = FakeCall()
    side.waits.take(call)
    side.lend(1.0)
    side.waits.give_back(call)
    side.waits.give_back(call)
    assert side.shares.take_again('blue')
    assert not side.shares.take_again('blue')
