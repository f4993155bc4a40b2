"""Steps about retries in a call graph."""

import random

import pytest
import pytest_bdd
from pytest_bdd import parsers

from lab import call_tree
from sassafraswood import clock
from sassafraswood.coordination import retry
from sassafraswood.models import call
from sassafraswood.models import enums

_FAILURES = {
    'refuses as not run': call.Refusal(
        reason=enums.RefusalReason.DRAINING, outcome=enums.Outcome.NOT_RUN
    ),
    'sheds load': call.Refusal(
        reason=enums.RefusalReason.UPSTREAM_SHED,
        outcome=enums.Outcome.NOT_RUN,
        shed=True,
    ),
    'breaks the connection': call.Refusal(
        reason=enums.RefusalReason.UPSTREAM_BROKE,
        outcome=enums.Outcome.UNKNOWN,
    ),
    'goes silent': call.Refusal(
        reason=enums.RefusalReason.PEER_SILENT, outcome=enums.Outcome.UNKNOWN
    ),
}


@pytest_bdd.given(
    parsers.parse(
        'a call graph {depth:d} deep in which each service makes '
        '{fan_out:d} calls'
    ),
    target_fixture='tree',
)
def make_tree(depth: int, fan_out: int) -> call_tree.CallTree:
    """Return a call graph in which nothing fails."""
    return call_tree.CallTree(
        depth=depth,
        fan_out=fan_out,
        failing_depth=0,
        refusal=_FAILURES['refuses as not run'],
        policy=retry.RetryPolicy(
            clock=clock.ManualClock(), random=random.Random(1)
        ),
    )


@pytest_bdd.given(parsers.parse('the service at depth {depth:d} {failure}'))
def fail_at(tree: call_tree.CallTree, depth: int, failure: str) -> None:
    """Let the service at a depth fail in a given way."""
    tree.failing_depth = depth
    tree.refusal = _FAILURES[failure]


@pytest_bdd.given(parsers.parse('each hop retries {count:d} times on its own'))
def retry_at_each_hop(tree: call_tree.CallTree, count: int) -> None:
    """Let each hop retry by itself, without the shared retry allowance."""
    tree.retries_per_hop = count


@pytest_bdd.when(
    parsers.parse('a caller sends a request with {total:d} retries')
)
def send_request(tree: call_tree.CallTree, total: int) -> None:
    """Send one request with a retry allowance."""
    tree.send_call(1, total)


@pytest_bdd.when(
    parsers.parse(
        'callers send {count:d} requests with {total:d} retries each'
    )
)
def send_requests(tree: call_tree.CallTree, count: int, total: int) -> None:
    """Send requests at one instant, so that no retry budget refills."""
    for _ in range(count):
        tree.send_call(1, total)


@pytest_bdd.then(
    parsers.parse('the whole graph makes exactly {count:d} retries')
)
def check_retries(tree: call_tree.CallTree, count: int) -> None:
    """Check the exact number of retries over all hops."""
    assert tree.retries == count


@pytest_bdd.then(parsers.parse('the whole graph makes {count:d} attempts'))
def check_attempts(tree: call_tree.CallTree, count: int) -> None:
    """Check the number of attempts over all hops."""
    assert tree.attempts == count


@pytest_bdd.then(
    parsers.parse('the whole graph makes at most {count:d} retries')
)
def check_retries_at_most(tree: call_tree.CallTree, count: int) -> None:
    """Check the upper bound of the retries over all hops."""
    assert 0 < tree.retries <= count


@pytest_bdd.then(
    parsers.parse(
        'retries are at most {percent:d}% of calls beside a reserve of '
        '{reserve:d}'
    )
)
def check_budget(tree: call_tree.CallTree, percent: int, reserve: int) -> None:
    """Check the retry budget, whose base is the number of first attempts."""
    first_attempts = tree.attempts - tree.retries
    print(f'{tree.retries} retries of {first_attempts} calls')
    assert 0 < tree.retries <= reserve + percent / 100 * first_attempts


@pytest_bdd.then(
    'no reason for a refusal makes a hop repeat a non-idempotent call that '
    'may have started'
)
def check_started_calls() -> None:
    """Check each reason with both outcomes after which a call may have run."""
    policy = retry.RetryPolicy(
        clock=clock.ManualClock(), random=random.Random(1)
    )
    for reason in enums.RefusalReason:
        for outcome in (enums.Outcome.UNKNOWN, enums.Outcome.RUN):
            decision = policy.decide(
                service=call_tree.SERVICE,
                refusal=call.Refusal(reason=reason, outcome=outcome),
                idempotent=False,
                allowance=5,
                attempt=1,
                remaining_s=10.0,
            )
            assert decision is None, (reason, outcome)


@pytest.fixture
def tree() -> call_tree.CallTree:
    """Return the default graph of 12 hops."""
    return make_tree(12, 1)
