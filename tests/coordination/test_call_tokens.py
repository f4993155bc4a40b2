"""Tests of the tokens of calls in flight."""

import random

import pytest

from sassafraswood import clock
from sassafraswood.coordination import call_tokens
from sassafraswood.coordination import retry
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids


def make_context(remaining_s: float = 2.0) -> call.CallContext:
    """Return the context of a call."""
    return call.CallContext(
        call_id=ids.CallId('c-1'),
        root_id='r-1',
        service=ids.ServiceName('status'),
        workspace=ids.Workspace('library'),
        key_id=ids.KeyId('k-1'),
        importance=enums.Importance.HIGH,
        remaining_s=remaining_s,
        allowance=2,
        depth=1,
        idempotent=True,
        fingerprint=ids.Fingerprint('f'),
    )


def make_tokens(
    manual_clock: clock.ManualClock, max_calls: int = 100
) -> call_tokens.CallTokens:
    """Return a table of tokens with a fixed random seed."""
    return call_tokens.CallTokens(
        clock=manual_clock, random=random.Random(5), max_calls=max_calls
    )


def test_entry_holds_context_remaining_time_and_allowance() -> None:
    """Guards against child calls that outlast the deadline of the parent."""
    manual_clock = clock.ManualClock()
    tokens = make_tokens(manual_clock)
    allowance = retry.RetryAllowance(2)
    context = make_context()
    token = tokens.issue(context, allowance)
    manual_clock.advance(0.5)
    entry = tokens.find(token)
    assert entry is not None
    assert entry.context == context
    assert entry.remaining_s == pytest.approx(1.5)
    assert entry.allowance is allowance


def test_tokens_are_long_and_differ() -> None:
    """Guards against tokens that another upstream could guess."""
    tokens = make_tokens(clock.ManualClock())
    issued = {
        tokens.issue(make_context(), retry.RetryAllowance(0))
        for _ in range(100)
    }
    assert len(issued) == 100
    assert {len(token) for token in issued} == {64}
    assert tokens.find(ids.CallToken('0' * 64)) is None


def test_revoked_token_is_unknown() -> None:
    """Guards against child calls of a call that has ended."""
    tokens = make_tokens(clock.ManualClock())
    token = tokens.issue(make_context(), retry.RetryAllowance(1))
    entry = tokens.revoke(token)
    assert entry is not None
    assert entry.allowance.left == 1
    assert tokens.find(token) is None
    assert tokens.revoke(token) is None


def test_token_expires_at_the_deadline() -> None:
    """Guards against entries that are never removed for calls without end."""
    manual_clock = clock.ManualClock()
    tokens = make_tokens(manual_clock)
    token = tokens.issue(make_context(1.0), retry.RetryAllowance(0))
    manual_clock.advance(1.0)
    assert tokens.find(token) is None
    assert len(tokens) == 0


def test_full_table_refuses_new_calls_and_keeps_valid_tokens() -> None:
    """Guards against unbounded memory and against failing calls in flight."""
    manual_clock = clock.ManualClock()
    tokens = make_tokens(manual_clock, max_calls=2)
    first = tokens.issue(make_context(1.0), retry.RetryAllowance(0))
    tokens.issue(make_context(5.0), retry.RetryAllowance(0))
    with pytest.raises(exceptions.CallTableFullError):
        tokens.issue(make_context(), retry.RetryAllowance(0))
    assert tokens.find(first) is not None
    manual_clock.advance(2.0)
    tokens.issue(make_context(), retry.RetryAllowance(0))
