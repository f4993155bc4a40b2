"""Cache of granted tokens that a daemon may spend for one limit."""

import dataclasses

from sassafraswood import const
from sassafraswood.models import ids


@dataclasses.dataclass(kw_only=True)
class HeldGrant:
    """Unspent tokens of one grant of a partition owner.

    Attributes:
        partition: Number of the partition that granted the tokens.
        term: Term of the owner that granted them.
        grant_id: Id of the grant in reports to the owner.
        expires_at: Time in seconds from which the tokens are invalid.
    """

    partition: int
    term: ids.Term
    grant_id: int
    tokens: float
    expires_at: float


class TokenCache:
    """Grants in order of expiry; the earliest to expire is spent first."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._grants: list[HeldGrant] = []

    def add(self, grant: HeldGrant) -> None:
        """Add a grant."""
        self._grants.append(grant)
        self._grants.sort(key=lambda held: held.expires_at)

    def total(self, now: float) -> float:
        """Return the number of tokens that are valid at a time in seconds."""
        self._remove_expired(now)
        return sum(grant.tokens for grant in self._grants)

    def by_partition(self, now: float) -> dict[int, float]:
        """Return the valid tokens by partition, without empty entries."""
        self._remove_expired(now)
        tokens: dict[int, float] = {}
        for held in self._grants:
            before = tokens.get(held.partition, 0.0)
            tokens[held.partition] = before + held.tokens
        return tokens

    def spend(self, now: float) -> list[HeldGrant] | None:
        """Spend one token; return its parts, or None without a whole token.

        The parts may come from several grants.
        """
        if self.total(now) < 1.0 - const.QUOTA_ROUNDING_TOLERANCE:
            return None
        return self._remove_tokens(1.0, self._grants)

    def remove_tokens(
        self, now: float, tokens: float, partition: int | None = None
    ) -> list[HeldGrant]:
        """Remove and return up to the given number of tokens.

        Tokens that expire first are removed first.

        Args:
            now: Current time in seconds.
            tokens: Largest number of tokens to remove.
            partition: Only tokens of this partition; None for all.
        """
        self._remove_expired(now)
        grants = [
            grant
            for grant in self._grants
            if partition is None or grant.partition == partition
        ]
        return self._remove_tokens(tokens, grants)

    def _remove_tokens(
        self, tokens: float, grants: list[HeldGrant]
    ) -> list[HeldGrant]:
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

    def _remove_expired(self, now: float) -> None:
        self._grants = [held for held in self._grants if held.expires_at > now]
