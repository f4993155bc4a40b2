"""Token bucket that counts granted tokens until they are surely gone."""

import dataclasses

from sassafraswood.models import records


@dataclasses.dataclass(kw_only=True)
class Grant:
    """Tokens that a first daemon may still spend.

    Attributes:
        holder: Process that got the tokens; None if it is not known.
        tokens: Tokens neither reported spent nor returned.
        expires_at: Time in seconds after which no token can be spent.
    """

    holder: records.Holder | None
    tokens: float
    expires_at: float


class TokenBucket:
    """Tokens of one limit at one partition.

    The level plus the outstanding tokens never exceeds the share of the
    burst, except that a cut of the share leaves the tokens outstanding at
    that moment until they are spent or expire. Refill stops while the sum
    is at the share. So at most `share + rate * T` tokens are spent in any
    window of T seconds.
    """

    def __init__(self, *, rate: float, share: float, now: float) -> None:
        """Start empty, with rate in tokens/s and share in tokens."""
        self._rate = rate
        self._share = share
        self._now = now
        self._level = 0.0
        # In order of expiry, because all grants live equally long.
        self._grants: dict[int, Grant] = {}
        self._outstanding = 0.0

    @property
    def rate(self) -> float:
        """Return the refill in tokens/s."""
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
        """Return the tokens that the holder may still spend."""
        return sum(
            grant.tokens
            for grant in self._grants.values()
            if grant.holder == holder
        )

    def advance(self, now: float) -> None:
        """Refill and drop expired grants, in the order of time."""
        while self._grants:
            grant_id = next(iter(self._grants))
            grant = self._grants[grant_id]
            if grant.expires_at > now:
                break
            self._refill(grant.expires_at)
            self._remove(grant_id, grant.tokens)
        self._refill(now)

    def change(
        self, *, rate: float, share: float, now: float, is_prompt: bool
    ) -> None:
        """Apply a new rate in tokens/s and share in tokens at once.

        Unless the change is prompt, it is not known when it happened since
        the last refill, so that time counts with the smaller of both rates.
        """
        if not is_prompt:
            self._rate = min(self._rate, rate)
        self.advance(now)
        self._rate = rate
        self._share = share
        self._level = max(0.0, min(self._level, share - self._outstanding))

    def empty(self) -> None:
        """Drop the level; outstanding tokens stay counted."""
        self._level = 0.0

    def assume_outstanding(self, grant_id: int, expires_at: float) -> None:
        """Count the whole share as granted by an earlier owner."""
        self._add(
            grant_id,
            Grant(holder=None, tokens=self._share, expires_at=expires_at),
        )

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
        self._add(
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
        """Take a report of the holder; unknown and expired grants are ignored.

        Spent tokens make room for refill; returned ones go to the level.
        """
        grant = self._grants.get(grant_id)
        if grant is None or grant.holder != holder:
            return
        spent = min(max(spent, 0.0), grant.tokens)
        returned = min(max(returned, 0.0), grant.tokens - spent)
        self._remove(grant_id, spent + returned)
        room = max(0.0, self._share - self._outstanding - self._level)
        self._level += min(returned, room)

    def _add(self, grant_id: int, grant: Grant) -> None:
        self._grants[grant_id] = grant
        self._outstanding += grant.tokens

    def _remove(self, grant_id: int, tokens: float) -> None:
        grant = self._grants[grant_id]
        grant.tokens -= tokens
        self._outstanding = max(0.0, self._outstanding - tokens)
        if grant.tokens <= 0.0:
            del self._grants[grant_id]
        if not self._grants:
            # Ends the accumulation of rounding errors.
            self._outstanding = 0.0

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._now)
        self._now = max(self._now, now)
        room = max(0.0, self._share - self._outstanding - self._level)
        self._level += min(self._rate * elapsed, room)
