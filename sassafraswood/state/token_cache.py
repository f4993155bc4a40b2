"""Tokens that a first daemon holds for one limit."""

import dataclasses

from sassafraswood import const
from sassafraswood.models import ids


@dataclasses.dataclass(kw_only=True)
class HeldGrant:
    """Unspent tokens of one grant.

    Attributes:
        expires_at: Time in seconds from which the tokens are worthless.
    """

    partition: int
    term: ids.Term
    grant_id: int
    tokens: float
    expires_at: float


class TokenCache:
    """Grants in order of arrival; the earliest to expire is spent first."""

    def __init__(self) -> None:
        """Start without tokens."""
        self._grants: list[HeldGrant] = []

    def add(self, grant: HeldGrant) -> None:
        """Add a grant."""
        self._grants.append(grant)
        self._grants.sort(key=lambda held: held.expires_at)

    def total(self, now: float) -> float:
        """Return the tokens that are valid at the time now."""
        self._expire(now)
        return sum(grant.tokens for grant in self._grants)

    def by_partition(self, now: float) -> dict[int, float]:
        """Return the valid tokens by partition, without empty entries."""
        self._expire(now)
        tokens: dict[int, float] = {}
        for held in self._grants:
            before = tokens.get(held.partition, 0.0)
            tokens[held.partition] = before + held.tokens
        return tokens

    def spend(self, now: float) -> list[HeldGrant] | None:
        """Take one token; return its parts, or None if there is none.

        The parts may come from several grants.
        """
        if self.total(now) < 1.0 - const.QUOTA_EPSILON:
            return None
        return self._take(1.0, self._grants)

    def give_up(
        self, now: float, tokens: float, partition: int | None = None
    ) -> list[HeldGrant]:
        """Take up to the given tokens out, the earliest to expire first."""
        self._expire(now)
        grants = [
            grant
            for grant in self._grants
            if partition is None or grant.partition == partition
        ]
        return self._take(tokens, grants)

    def _take(self, tokens: float, grants: list[HeldGrant]) -> list[HeldGrant]:
        parts = []
        for grant in grants:
            if tokens <= 0.0:
                break
            amount = min(tokens, grant.tokens)
            grant.tokens -= amount
            tokens -= amount
            parts.append(dataclasses.replace(grant, tokens=amount))
        self._grants = [held for held in self._grants if held.tokens > 0.0]
        return parts

    def _expire(self, now: float) -> None:
        self._grants = [held for held in self._grants if held.expires_at > now]
