"""Tests of the token cache."""

import pytest

from sassafraswood.models import ids
from sassafraswood.state import token_cache


def _held(tokens: float, expires_at: float) -> token_cache.HeldGrant:
    return token_cache.HeldGrant(
        partition=0,
        term=ids.Term(1),
        grant_id=int(expires_at * 10),
        tokens=tokens,
        expires_at=expires_at,
    )


def test_fractions_add_up_to_one_token() -> None:
    """Guards against fractions of a token that are never spent.

    Three owners each grant a third of a small burst.
    """
    cache = token_cache.TokenCache()
    for index in range(3):
        cache.add(_held(1 / 3, expires_at=1.0 + index))
    parts = cache.spend(0.0)
    assert parts is not None
    assert sum(part.tokens for part in parts) == pytest.approx(1.0)
    assert cache.spend(0.0) is None


def test_expired_tokens_are_not_spent() -> None:
    """Guards against spending tokens that the owner has granted again."""
    cache = token_cache.TokenCache()
    cache.add(_held(5.0, expires_at=1.0))
    assert cache.spend(1.0) is None
    assert cache.remove_tokens(1.0, 5.0) == []


def test_earliest_to_expire_is_spent_first() -> None:
    """Guards against tokens that expire while younger ones are spent."""
    cache = token_cache.TokenCache()
    cache.add(_held(1.0, expires_at=2.0))
    cache.add(_held(1.0, expires_at=1.0))
    assert [part.expires_at for part in cache.spend(0.0) or []] == [1.0]
