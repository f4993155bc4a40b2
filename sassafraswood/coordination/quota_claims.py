"""Division of scarce tokens among the first daemons that want them."""

import dataclasses
import math

from sassafraswood import const
from sassafraswood.models import records


@dataclasses.dataclass(kw_only=True)
class _Claim:
    unmet: float
    reserved: float
    asked_at: float
    # Tokens reserved so far, those of the claims before included; a new
    # claim starts level with the least served one, as in start-time fair
    # queuing.
    served: float


class QuotaClaims:
    """Unmet demand of one bucket, served in rounds.

    Free tokens are reserved for the least served claim, one unit per turn,
    or an equal part if there is more than one unit for each. So a first
    daemon gets an equal part or what it wants, no matter how much the others
    want or how often they ask.
    """

    def __init__(self) -> None:
        """Start without claims."""
        self._claims: dict[records.Holder, _Claim] = {}

    def share_out(self, now: float, *, level: float, unit: float) -> float:
        """Reserve free tokens; return what is left for others.

        Args:
            now: Time in seconds.
            level: Tokens in the bucket, those reserved included.
            unit: Tokens of one turn.
        """
        self._expire(now)
        free = level - sum(claim.reserved for claim in self._claims.values())
        if free < 0.0:
            # A document cut the level; everybody starts anew.
            free = level
            for claim in self._claims.values():
                claim.reserved = 0.0
        while free > const.QUOTA_EPSILON:
            part = self._next_part(free, unit)
            if part <= 0.0:
                break
            free -= part
        return max(free, 0.0)

    def take(
        self,
        now: float,
        *,
        holder: records.Holder,
        wanted: float,
        waiting: float,
        free: float,
        unit: float,
        is_small: bool,
        reserve: float = 0.0,
    ) -> float:
        """Return the tokens for the holder and note what it still waits for.

        Tokens for which no call waits come from half of what is free above
        the reserve, so that the next first daemon finds some as well. While
        others wait, or with a unit that is all that the bucket can hold,
        less than a unit is given only to a holder that waits for less,
        because parts of a unit at several holders are of use to none.
        """
        claim = self._claims.get(holder)
        reserved = claim.reserved if claim else 0.0
        tokens = min(waiting, free + reserved)
        whole = is_small or any(other != holder for other in self._claims)
        if whole and tokens < min(waiting, unit) - const.QUOTA_EPSILON:
            tokens = 0.0
        unmet = waiting - tokens
        served = claim.served if claim else self._first_tag(unit)
        if tokens > 0.0 or unmet <= const.QUOTA_EPSILON:
            # A holder that got tokens goes to the end of the order.
            self._claims.pop(holder, None)
        if unmet > const.QUOTA_EPSILON:
            kept = 0.0 if tokens > 0.0 else min(free + reserved, unmet)
            if tokens > reserved or kept > reserved:
                served += max(tokens, kept) - reserved
            self._claims[holder] = _Claim(
                unmet=unmet, reserved=kept, asked_at=now, served=served
            )
            return tokens
        left = max(0.0, free - max(0.0, tokens - reserved) - reserve)
        # Whole tokens are the shortest to encode.
        return tokens + math.floor(min(wanted - waiting, left / 2.0))

    def drop(self, holder: records.Holder) -> None:
        """Keep nothing for the holder."""
        self._claims.pop(holder, None)

    def tokens_ahead(self, holder: records.Holder, unit: float) -> float:
        """Return the refill needed until a unit is reserved for the holder."""
        needed = 0.0
        for other, claim in self._claims.items():
            part = min(claim.unmet, unit)
            needed += max(0.0, part - claim.reserved)
            if other == holder:
                break
        return needed

    def _next_part(self, free: float, unit: float) -> float:
        """Reserve one turn for the claim with the fewest; return its size."""
        waiting = [
            claim
            for claim in self._claims.values()
            if claim.unmet - claim.reserved > const.QUOTA_EPSILON
        ]
        if not waiting:
            return 0.0
        turn = max(unit, free / len(waiting))
        turns = [_whole_turns(c.served, turn) for c in waiting]
        # The first of several that were served equally often.
        claim = waiting[turns.index(min(turns))]
        rest = (min(turns) + 1) * turn - claim.served
        part = min(rest, claim.unmet - claim.reserved, free)
        claim.reserved += part
        claim.served += part
        return part

    def _first_tag(self, unit: float) -> float:
        """Return the service that a new claim starts with."""
        least = min((c.served for c in self._claims.values()), default=0.0)
        return _whole_turns(least, unit) * unit

    def _expire(self, now: float) -> None:
        self._claims = {
            holder: claim
            for holder, claim in self._claims.items()
            if now - claim.asked_at < const.QUOTA_CLAIM_S
        }


def _whole_turns(tokens: float, turn: float) -> int:
    return int(tokens / turn + const.QUOTA_EPSILON)
