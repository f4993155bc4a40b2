"""Tests of the owner of a partition."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from lab import quota_simulation
from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import quota_owner
from sassafraswood.models import document
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records


class _World:
    """The owner of one of three partitions, with rate 300/s and burst 30.

    Its bucket has a third of both.
    """

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.leases = quota_simulation.Leases()
        self.documents = quota_simulation.Documents()
        self.sequence = 0
        self.owner = quota_owner.QuotaOwner(
            clock=self.clock,
            leases=self.leases,
            configuration=self.documents,
        )
        self.publish(1, rate=300.0, burst=30.0)
        self.begin(1, wait_s=0.0)

    def publish(self, revision: int, rate: float, burst: float) -> None:
        spec = document.WorkspaceSpec(rate=rate, burst=burst)
        service = ids.ServiceName('status')
        self.documents.entries[service] = records.DocumentEntry(
            service=service,
            revision=ids.Revision(revision),
            offset=ids.Offset(revision),
            document=document.ServiceDocument(
                version=1,
                service=service,
                routes=[],
                workspaces={ids.Workspace('blue'): spec},
            ),
        )

    def begin(self, term: int, wait_s: float) -> None:
        service = ids.ServiceName('status')
        self.leases.entries[(service, 0)] = records.PartitionEntry(
            service=service,
            partition=0,
            term=ids.Term(term),
            owner=records.Holder(
                daemon_id=ids.DaemonId('owner'),
                incarnation=ids.Incarnation(1),
            ),
            guardian=None,
            offset=ids.Offset(term),
            wait_s=wait_s,
            continuous_since=ids.Term(1),
        )
        self.owner.refresh(service, 0)

    def ask(
        self,
        wanted: float,
        *,
        daemon: str = 'a',
        sequence: int | None = None,
        term: int = 1,
        incarnation: int = 1,
        returned: dict[int, float] | None = None,
        spent: dict[int, float] | None = None,
    ) -> messages.QuotaGrant:
        self.sequence += 1
        demand = messages.QuotaDemand(
            service=ids.ServiceName('status'),
            partition=0,
            term=ids.Term(term),
            workspace=ids.Workspace('blue'),
            spent=spent or {},
            returned=returned or {},
            wanted=wanted,
            waiting=wanted,
        )
        return self.owner.on_request(
            messages.QuotaRequest(
                sequence=self.sequence if sequence is None else sequence,
                daemon_id=ids.DaemonId(daemon),
                incarnation=ids.Incarnation(incarnation),
                demands=[demand],
            )
        )


def _tokens(reply: messages.QuotaGrant) -> float:
    return sum(grant.tokens for grant in reply.grants)


def test_new_term_starts_empty() -> None:
    """Guards against a full burst from the old and from the new owner."""
    world = _World()
    assert _tokens(world.ask(5.0)) == 0.0
    world.clock.advance(0.05)
    assert _tokens(world.ask(5.0)) == pytest.approx(5.0)


def test_hand_over_waits_for_tokens_of_the_last_owner() -> None:
    """Guards against tokens of two terms that are valid at the same time."""
    world = _World()
    world.begin(2, wait_s=0.0)
    world.clock.advance(1.2)
    reply = world.ask(5.0, term=2)
    assert _tokens(reply) == 0.0
    # Guards against 429 rate_exceeded by an owner that cannot know it.
    assert not reply.grants[0].owned
    world.clock.advance(0.2)
    assert _tokens(world.ask(5.0, term=2)) == pytest.approx(5.0)


# Guards against an empty bucket, which refuses calls below the limit, and
# against a full one beside tokens of the last owner.
@pytest.mark.parametrize(('revision', 'left'), [(1, 8.0), (2, 0.0)])
def test_next_owner_continues_the_bucket(revision: int, left: float) -> None:
    """It has what is left, and the rest once the granted tokens expired."""
    last, following = _World(), _World()
    last.clock.advance(1.0)
    last.ask(2.0)
    entry = last.leases.entries.pop((ids.ServiceName('status'), 0))
    quota = last.owner.export(entry)
    following.owner.accept(quota_simulation.build_hand_over(entry, quota))
    following.clock.advance(0.5)
    following.publish(revision, rate=300.0, burst=30.0)
    following.begin(2, wait_s=0.0)
    assert _tokens(following.ask(10.0, term=2)) == pytest.approx(left)
    following.clock.advance(1.24)
    assert _tokens(following.ask(10.0, term=2)) == 0.0
    following.clock.advance(0.03)
    assert _tokens(following.ask(10.0, term=2)) == pytest.approx(2.0)


# Guards against 429 rate_exceeded after two quick hand-overs, of which the
# first has lost its state.
def test_next_owner_is_not_told_of_limits_that_are_not_known() -> None:
    """The third owner knows no more than the second one."""
    second, third = _World(), _World()
    second.begin(2, wait_s=0.0)
    second.clock.advance(0.5)
    second.ask(1.0, term=2)
    entry = second.leases.entries.pop((ids.ServiceName('status'), 0))
    quota = second.owner.export(entry)
    third.owner.accept(quota_simulation.build_hand_over(entry, quota))
    third.begin(3, wait_s=0.0)
    assert not third.ask(1.0, term=3).grants[0].owned


# Guards against a late message that replaces what the last owner has sent.
def test_limits_of_an_earlier_term_are_ignored() -> None:
    """The message of the term before it arrives last."""
    last, following = _World(), _World()
    last.begin(2, wait_s=const.QUOTA_TOKEN_LIFETIME_S + 1.0)
    last.clock.advance(1.0)
    last.ask(2.0, term=2)
    entry = last.leases.entries.pop((ids.ServiceName('status'), 0))
    quota = last.owner.export(entry)
    following.owner.accept(quota_simulation.build_hand_over(entry, quota))
    late = msgspec.structs.replace(entry, term=ids.Term(1))
    following.owner.accept(quota_simulation.build_hand_over(late, quota))
    following.begin(3, wait_s=0.0)
    assert _tokens(following.ask(5.0, term=3)) > 0.0


def test_term_in_use_is_not_exported() -> None:
    """Guards against tokens that are granted after they are handed over."""
    world = _World()
    entry = world.leases.entries[(ids.ServiceName('status'), 0)]
    assert world.owner.export(entry) is None


def test_lease_is_checked_at_each_grant() -> None:
    """Guards against grants by an owner that no longer holds the lease."""
    world = _World()
    world.clock.advance(1.0)
    world.ask(1.0)
    world.leases.entries.clear()
    reply = world.ask(1.0)
    assert not reply.grants[0].owned
    assert _tokens(reply) == 0.0


def test_old_term_gets_no_tokens() -> None:
    """Guards against grants and reports in a term that has ended."""
    world = _World()
    world.begin(2, wait_s=11.0)
    world.clock.advance(1.0)
    assert not world.ask(1.0, term=1).grants[0].owned


def test_repeated_and_late_requests_count_once() -> None:
    """Guards against requests that the network delivers twice or late."""
    world = _World()
    world.clock.advance(1.0)
    first = world.ask(4.0, sequence=7)
    assert world.ask(4.0, sequence=7) == first
    assert world.ask(4.0, sequence=6).grants == []
    assert _tokens(world.ask(6.0, sequence=8)) == pytest.approx(6.0)
    assert _tokens(world.ask(1.0, sequence=1, incarnation=0)) == 0.0


def test_returned_tokens_count_once() -> None:
    """Guards against a repeated return that creates tokens."""
    world = _World()
    world.clock.advance(1.0)
    grant = world.ask(10.0).grants[0]
    returned_tokens = {grant.grant_id: 10.0}
    world.ask(0.0, returned=returned_tokens)
    assert _tokens(world.ask(10.0, returned=returned_tokens)) == pytest.approx(
        10.0
    )
    assert _tokens(world.ask(10.0, daemon='b')) == 0.0


def test_changed_limits_apply_at_once() -> None:
    """Guards against wrong tokens when a document changes rate and burst.

    A larger burst adds no tokens at once, and a smaller one removes those
    above it.
    """
    world = _World()
    world.clock.advance(1.0)
    world.publish(2, rate=3.0, burst=300.0)
    world.owner.refresh(ids.ServiceName('status'), 0)
    assert _tokens(world.ask(50.0)) == pytest.approx(10.0)
    world.clock.advance(2.0)
    world.publish(3, rate=300.0, burst=3.0)
    assert _tokens(world.ask(50.0)) == pytest.approx(1.0)


def test_skipped_document_empties_the_bucket() -> None:
    """Guards against tokens that a skipped document would have removed."""
    world = _World()
    world.clock.advance(1.0)
    world.publish(3, rate=300.0, burst=30.0)
    assert _tokens(world.ask(5.0)) == 0.0


def test_scarce_tokens_are_shared_out_in_turns() -> None:
    """Guards against one busy first daemon that starves the others."""
    world = _World()
    granted = {'busy': 0.0, 'b': 0.0, 'c': 0.0}
    spent: dict[str, dict[int, float]] = {name: {} for name in granted}

    def ask(name: str, wanted: float) -> None:
        reply = world.ask(wanted, daemon=name, spent=spent[name])
        grant = reply.grants[0]
        spent[name] = {grant.grant_id: grant.tokens}
        granted[name] += grant.tokens

    for step in range(3000):
        world.clock.advance(0.001)
        ask('busy', 50.0)
        if step % 20 == 0:
            ask('b', 3.0)
            ask('c', 3.0)
    # Each gets a third of 100 tokens/s over 3 s, within one burst.
    assert min(granted.values()) >= 85.0
    assert sum(granted.values()) == pytest.approx(300.0, abs=10.0)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['ask', 'repeat', 'spend', 'return']),
            strategies.sampled_from(['a', 'b']),
            strategies.floats(0.0, 0.5),
            strategies.floats(0.0, 20.0),
        ),
        max_size=40,
    )
)
def test_grants_stay_within_the_share_in_any_order(
    steps: list[tuple[str, str, float, float]],
) -> None:
    """Guards against an order of requests and reports that adds tokens."""
    world = _World()
    start = world.clock.monotonic()
    # Unreported tokens by daemon and grant. The net tokens are
    # those granted less those returned.
    held: dict[tuple[str, int], float] = {}
    net_tokens = 0.0
    for kind, daemon, elapsed_s, tokens in steps:
        world.clock.advance(elapsed_s)
        grants = [number for name, number in held if name == daemon]
        report = {}
        if kind in ('spend', 'return') and grants:
            report = {grants[-1]: min(tokens, held[daemon, grants[-1]])}
            held[daemon, grants[-1]] -= report[grants[-1]]
        returned = report if kind == 'return' else None
        net_tokens -= sum((returned or {}).values())
        reply = world.ask(
            tokens,
            daemon=daemon,
            sequence=world.sequence if kind == 'repeat' else None,
            spent=report if kind == 'spend' else None,
            returned=returned,
        )
        for grant in reply.grants:
            assert grant.tokens <= 10.0 + 1e-9
            # A repeated request gets the same reply again, as the first one
            # may have been lost.
            if (daemon, grant.grant_id) not in held:
                held[daemon, grant.grant_id] = grant.tokens
                net_tokens += grant.tokens
        # A third of 300/s; the bucket of the first term starts empty.
        assert net_tokens <= 100.0 * (world.clock.monotonic() - start) + 1e-6
