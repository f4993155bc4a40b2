"""Token bucket that counts granted tokens until they cannot be spent."""

import dataclasses

from sassafraswood.models import records


@dataclasses.dataclass(kw_only=True)
class Grant:
    """Tokens that the daemon which got them may still spend.

    Attributes:
        holder: Process that got the tokens; None if it is unknown.
        tokens: Tokens that were reported neither as spent nor as returned.
        expires_at: Time in seconds after which no token can be spent.
    """

    holder: records.Holder | None
    tokens: float
    expires_at: float


class TokenBucket:
    """Tokens of one limit at one partition.

    The level plus the outstanding tokens never exceeds the share, which is
    the part of the burst that belongs to this partition. Only when the share
    is reduced, tokens outstanding at that moment stay valid until they are
    spent or expire. Refill stops while the sum is at the share, so at most
    `share + rate * T` tokens are spent in any window of T seconds.
    """

    def __init__(self, *, rate: float, share: float, now: float) -> None:
        """Create an empty bucket.

        Args:
            rate: Refill in tokens per second.
            share: Largest sum of level and outstanding tokens.
            now: Current time in seconds.
        """
        self._rate = rate
        self._share = share
        self._refilled_at = now
        self._level = 0.0
        # In order of expiry, because all grants have the same lifetime.
        self._grants: dict[int, Grant] = {}
        self._outstanding = 0.0

    @property
    def rate(self) -> float:
        """Return the refill in tokens per second."""
        return self._rate

    @property
    def share(self) -> float:
        """Return the largest sum of level and outstanding tokens."""
        return self._share

    @property
    def level(self) -> float:
        """Return the tokens that can be granted."""
        return self._level

    @property
    def outstanding(self) -> float:
        """Return the granted tokens that may still be spent."""
        return self._outstanding

    def outstanding_of(self, holder: records.Holder) -> float:
        """Return the granted tokens that a holder may still spend."""
        return sum(
            grant.tokens
            for grant in self._grants.values()
            if grant.holder == holder
        )

    def advance(self, now: float) -> None:
        """Refill and remove expired grants, in the order of time."""
        while self._grants:
            grant_id = next(iter(self._grants))
            grant = self._grants[grant_id]
            if grant.expires_at > now:
                break
            self._refill(grant.expires_at)
            self._remove_tokens(grant_id, grant.tokens)
        self._refill(now)

    def change(
        self, *, rate: float, share: float, now: float, is_prompt: bool
    ) -> None:
        """Apply a new rate and a new share at once.

        Args:
            rate: Refill in tokens per second.
            share: Largest sum of level and outstanding tokens.
            now: Current time in seconds.
            is_prompt: Whether the rate has changed just now. Otherwise the
                time of the change since the last refill is unknown, and the
                smaller of both rates applies to that interval.
        """
        if not is_prompt:
            self._rate = min(self._rate, rate)
        self.advance(now)
        self._rate = rate
        self._share = share
        self._level = max(0.0, min(self._level, share - self._outstanding))

    def empty(self) -> None:
        """Set the level to zero; outstanding tokens stay counted."""
        self._level = 0.0

    def take_over(
        self,
        grant_id: int,
        *,
        level: float,
        outstanding: float,
        expires_at: float,
    ) -> None:
        """Continue the empty bucket with the tokens of the last owner.

        Args:
            grant_id: Id of the grant that stands for the outstanding tokens.
            level: Tokens that the last owner could still grant.
            outstanding: Tokens that it had granted.
            expires_at: Time in seconds at which those have expired.
        """
        if outstanding > 0.0:
            self._add_grant(
                grant_id,
                Grant(holder=None, tokens=outstanding, expires_at=expires_at),
            )
        room = max(0.0, self._share - self._outstanding)
        self._level = min(max(level, 0.0), room)

    def grant(
        self,
        grant_id: int,
        *,
        holder: records.Holder,
        tokens: float,
        expires_at: float,
    ) -> None:
        """Move tokens from the level to a new grant."""
        tokens = min(tokens, self._level)
        self._level -= tokens
        self._add_grant(
            grant_id,
            Grant(holder=holder, tokens=tokens, expires_at=expires_at),
        )

    def report(
        self,
        grant_id: int,
        *,
        holder: records.Holder,
        spent: float = 0.0,
        returned: float = 0.0,
    ) -> None:
        """Apply a report of a holder; unknown and expired grants are ignored.

        Spent tokens make room for refill; returned tokens raise the level.
        """
        grant = self._grants.get(grant_id)
        if grant is None or grant.holder != holder:
            return
        spent = min(max(spent, 0.0), grant.tokens)
        returned = min(max(returned, 0.0), grant.tokens - spent)
        self._remove_tokens(grant_id, spent + returned)
        room = max(0.0, self._share - self._outstanding - self._level)
        self._level += min(returned, room)

    def _add_grant(self, grant_id: int, grant: Grant) -> None:
        self._grants[grant_id] = grant
        self._outstanding += grant.tokens

    def _remove_tokens(self, grant_id: int, tokens: float) -> None:
        grant = self._grants[grant_id]
        grant.tokens -= tokens
        self._outstanding = max(0.0, self._outstanding - tokens)
        if grant.tokens <= 0.0:
            del self._grants[grant_id]
        if not self._grants:
            # Clears accumulated rounding errors.
            self._outstanding = 0.0

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        room = max(0.0, self._share - self._outstanding - self._level)
        self._level += min(self._rate * elapsed_s, room)
