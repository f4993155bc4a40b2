"""Tests of the retry policy and the retry allowance."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from lab import call_tree
from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import retry
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids

SERVICE = ids.ServiceName('catalogue')
Reason = enums.RefusalReason
Outcome = enums.Outcome


def make_refusal(
    reason: Reason = Reason.DRAINING,
    outcome: Outcome = Outcome.NOT_RUN,
    **values: bool,
) -> call.Refusal:
    """Return a refusal."""
    return call.Refusal(reason=reason, outcome=outcome, **values)


def make_policy(seed: int = 1) -> retry.RetryPolicy:
    """Return a policy whose jitter comes from a seed."""
    return retry.RetryPolicy(
        clock=clock.ManualClock(), random=random.Random(seed)
    )


def decide(
    policy: retry.RetryPolicy, refusal: call.Refusal, **values: object
) -> retry.RetryDecision | None:
    """Return the decision for an idempotent first attempt."""
    arguments: dict = {
        'service': SERVICE,
        'refusal': refusal,
        'idempotent': True,
        'allowance': 2,
        'attempt': 1,
        'remaining_s': 5.0,
        **values,
    }
    return policy.decide(**arguments)


def make_tree(
    depth: int, fan_out: int, failing_depth: int, refusal: call.Refusal
) -> call_tree.CallTree:
    """Return a call tree whose retry budget is full throughout."""
    return call_tree.CallTree(
        depth=depth,
        fan_out=fan_out,
        failing_depth=failing_depth,
        refusal=refusal,
        policy=make_policy(),
    )


@pytest.mark.parametrize('total', [0, 1, 2, 5])
@pytest.mark.parametrize('failing_depth', range(1, 13))
def test_chain_stays_within_allowance(failing_depth: int, total: int) -> None:
    """Guards against retries that multiply over the hops of a chain."""
    tree = make_tree(12, 1, failing_depth, make_refusal())
    tree.send_call(1, total)
    assert tree.retries <= total
    # No other rule keeps a hop from spending the whole allowance.
    assert tree.retries == total


@pytest.mark.parametrize('total', [0, 1, 2, 5])
@pytest.mark.parametrize('failing_depth', range(1, 6))
def test_fan_out_stays_within_allowance(
    failing_depth: int, total: int
) -> None:
    """Guards against parallel calls that each get the whole allowance."""
    tree = make_tree(5, 3, failing_depth, make_refusal())
    tree.send_call(1, total)
    assert tree.retries <= total


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    total=strategies.integers(0, 8),
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['spend', 'lend', 'give_back']),
            strategies.integers(0, 8),
        ),
        max_size=40,
    ),
)
def test_spent_lent_and_left_add_up_to_total(
    total: int, steps: list[tuple[str, int]]
) -> None:
    """Guards against an order of operations that creates retries."""
    allowance = retry.RetryAllowance(total)
    loans: list[int] = []
    spent = 0
    for step, number in steps:
        if step == 'spend':
            spent += allowance.spend()
        elif step == 'lend':
            loans.append(allowance.lend())
        elif loans:
            loan = loans.pop(number % len(loans))
            unused = min(number, loan)
            # The child may have spent all that it did not give back.
            spent += loan - unused
            allowance.give_back(unused)
        assert spent + sum(loans) + allowance.left == total


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    depth=strategies.integers(1, 6),
    fan_out=strategies.integers(1, 3),
    failing_depth=strategies.integers(0, 6),
    total=strategies.integers(0, 10),
    reason=strategies.sampled_from(Reason),
    outcome=strategies.sampled_from(Outcome),
    shed=strategies.booleans(),
)
def test_any_call_tree_stays_within_its_allowance(
    depth: int,
    fan_out: int,
    failing_depth: int,
    total: int,
    reason: Reason,
    outcome: Outcome,
    shed: bool,
) -> None:
    """Guards against a call tree whose retries exceed the total."""
    failure = make_refusal(reason, outcome, shed=shed)
    tree = make_tree(depth, fan_out, failing_depth, failure)
    _, unused = tree.send_call(1, total)
    assert tree.retries + unused == total


def test_give_back_never_exceeds_loans() -> None:
    """Guards against a repeated or wrong reply that creates retries."""
    allowance = retry.RetryAllowance(2)
    loan = allowance.lend()
    allowance.give_back(loan)
    allowance.give_back(loan)
    allowance.give_back(1000)
    allowance.give_back(-1)
    assert allowance.left == 2
    assert retry.RetryAllowance(-1).left == 0


def test_loan_of_lost_reply_is_not_spent_again() -> None:
    """Guards against spending retries that a child may have spent."""
    allowance = retry.RetryAllowance(2)
    assert allowance.lend() == 1
    assert allowance.spend()
    assert not allowance.spend()


def test_single_retry_reaches_the_last_hop() -> None:
    """Guards against rounding that leaves deep hops without any retry."""
    total = 1
    for _ in range(24):
        total = retry.RetryAllowance(total).lend()
    assert total == 1


def test_shed_call_is_retried_once_by_first_hop() -> None:
    """Guards against retries of a shed call by every hop above it."""
    policy = make_policy()
    shed = make_refusal(Reason.OVERLOADED, shed=True)
    relayed = make_refusal(Reason.OVERLOADED, shed=True, relayed=True)
    decision = decide(policy, shed)
    assert decision is not None
    assert decision.reason is enums.RetryReason.OVERLOADED_ONCE
    assert decide(policy, shed, attempt=2) is None
    assert decide(policy, relayed) is None


@pytest.mark.parametrize('failing_depth', range(1, 13))
def test_shed_chain_makes_one_extra_attempt(failing_depth: int) -> None:
    """Guards against amplification when the deepest service sheds."""
    shed = make_refusal(Reason.UPSTREAM_SHED, shed=True)
    tree = make_tree(12, 1, failing_depth, shed)
    tree.send_call(1, 5)
    assert tree.retries == 1


@pytest.mark.parametrize('reason', list(Reason))
@pytest.mark.parametrize('outcome', [Outcome.UNKNOWN, Outcome.RUN])
def test_started_non_idempotent_call_is_never_retried(
    reason: Reason, outcome: Outcome
) -> None:
    """Guards against a non-idempotent call that runs twice."""
    refusal = make_refusal(reason, outcome)
    assert decide(make_policy(), refusal, idempotent=False) is None


def test_reasons_of_retries() -> None:
    """Guards against counters that name the wrong cause."""
    cases = [
        (Reason.DRAINING, Outcome.NOT_RUN, 'not_run_elsewhere'),
        (Reason.UPSTREAM_BROKE, Outcome.UNKNOWN, 'unknown_idempotent'),
        (Reason.PEER_SILENT, Outcome.UNKNOWN, 'peer_silent'),
        (Reason.PEER_SILENT, Outcome.NOT_RUN, 'peer_silent'),
    ]
    for reason, outcome, expected in cases:
        decision = decide(make_policy(), make_refusal(reason, outcome))
        assert decision is not None
        assert decision.reason.value == expected


@pytest.mark.parametrize(
    'reason',
    [
        Reason.RATE_EXCEEDED,
        Reason.KEY_UNKNOWN,
        Reason.QUARANTINED,
        Reason.CALLEE_BUSY,
        Reason.CANCELLED,
        Reason.DEADLINE_EXCEEDED,
        Reason.MALFORMED_REQUEST,
        Reason.IDEMPOTENCY_OUTCOME_UNKNOWN,
    ],
)
def test_refusal_of_the_request_itself_is_not_retried(reason: Reason) -> None:
    """Guards against attempts that are sure to be refused again."""
    assert decide(make_policy(), make_refusal(reason)) is None


def test_no_retry_without_allowance_or_time() -> None:
    """Guards against attempts whose result no caller waits for."""
    policy = make_policy()
    assert decide(policy, make_refusal(), allowance=0) is None
    assert decide(policy, make_refusal(), remaining_s=0.005) is None


def test_budget_holds_retries_to_a_tenth_of_calls() -> None:
    """Guards against retries that double the load of a failing callee."""
    policy = make_policy()
    retries = 0
    for _ in range(1000):
        policy.note_call(SERVICE)
        retries += decide(policy, make_refusal()) is not None
    limit = const.RETRY_BUDGET_RESERVE + const.RETRY_BUDGET_RATIO * 1000
    assert limit - 2 <= retries <= limit
    other = ids.ServiceName('donations')
    assert decide(policy, make_refusal(), service=other) is not None


def test_delays_have_full_jitter() -> None:
    """Guards against retries of many callers that arrive in one burst."""
    policy = make_policy()
    for attempt, longest_s in [(1, 0.02), (3, 0.08), (1000, 1.0)]:
        delays = []
        for _ in range(200):
            for _ in range(10):
                policy.note_call(SERVICE)
            decision = decide(policy, make_refusal(), attempt=attempt)
            assert decision is not None
            delays.append(decision.delay_s)
        assert max(delays) <= longest_s
        assert min(delays) < 0.1 * longest_s
        assert max(delays) > 0.9 * longest_s
