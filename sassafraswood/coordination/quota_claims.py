"""Fair division of scarce tokens among the daemons that request them."""

import dataclasses
import math

from sassafraswood import const
from sassafraswood.models import records


@dataclasses.dataclass(kw_only=True)
class _Claim:
    """Unmet demand of one daemon."""

    unmet: float
    reserved: float
    requested_at: float
    # Tokens reserved for the daemon so far, earlier claims included. A new
    # claim starts at the value of the least served one, as in start-time
    # fair queuing.
    served: float


class QuotaClaims:
    """Unmet demand for the tokens of one bucket, served in turns.

    Each turn reserves free tokens for the least served claim: one unit, or
    an equal share if there is more than one unit for each claim. So a daemon
    gets an equal share or what it wants, however much the others want or
    however often they send requests.
    """

    def __init__(self) -> None:
        """Start without claims."""
        self._claims: dict[records.Holder, _Claim] = {}

    def reserve_free_tokens(
        self, now: float, *, level: float, unit: float
    ) -> float:
        """Reserve free tokens for the claims; return the tokens left over.

        Args:
            now: Monotonic time in seconds.
            level: Tokens in the bucket, including the reserved ones.
            unit: Smallest number of tokens of one turn.
        """
        self._expire(now)
        free = level - sum(claim.reserved for claim in self._claims.values())
        if free < 0.0:
            # A new document reduced the level; reserve all tokens again.
            free = level
            for claim in self._claims.values():
                claim.reserved = 0.0
        while free > const.QUOTA_ROUNDING_TOLERANCE:
            reserved_tokens = self._reserve_turn(free, unit)
            if reserved_tokens <= 0.0:
                break
            free -= reserved_tokens
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
        """Return the tokens for the holder and record its unmet demand.

        Tokens for which no call waits come from half of the free tokens above
        the reserve, so that the next daemon finds some as well. While other
        daemons wait, or if the bucket is too small for prefetching, a holder
        gets less than a unit only if it waits for less: fractions of a unit
        at several holders serve no call.

        Args:
            now: Monotonic time in seconds.
            holder: Daemon that requests tokens.
            wanted: Tokens requested, including those waited for.
            waiting: Tokens that calls wait for.
            free: Tokens in the bucket that are reserved for no claim.
            unit: Smallest number of tokens that serves a call.
            is_small: Whether the burst is below QUOTA_MIN_PREFETCH_BURST.
            reserve: Free tokens that are granted only to waiting calls.
        """
        claim = self._claims.get(holder)
        reserved = claim.reserved if claim else 0.0
        tokens = min(waiting, free + reserved)
        needs_whole_unit = is_small or any(
            other != holder for other in self._claims
        )
        if (
            needs_whole_unit
            and tokens < min(waiting, unit) - const.QUOTA_ROUNDING_TOLERANCE
        ):
            tokens = 0.0
        unmet = waiting - tokens
        served = claim.served if claim else self._start_tag(unit)
        if tokens > 0.0 or unmet <= const.QUOTA_ROUNDING_TOLERANCE:
            # A holder that gets tokens moves behind the other claims.
            self._claims.pop(holder, None)
        if unmet > const.QUOTA_ROUNDING_TOLERANCE:
            to_reserve = 0.0 if tokens > 0.0 else min(free + reserved, unmet)
            if tokens > reserved or to_reserve > reserved:
                served += max(tokens, to_reserve) - reserved
            self._claims[holder] = _Claim(
                unmet=unmet,
                reserved=to_reserve,
                requested_at=now,
                served=served,
            )
            return tokens
        free_above_reserve = max(
            0.0, free - max(0.0, tokens - reserved) - reserve
        )
        # Whole numbers have the shortest encoding.
        return tokens + math.floor(
            min(wanted - waiting, free_above_reserve / 2.0)
        )

    def remove(self, holder: records.Holder) -> None:
        """Remove the claim of the holder and its reserved tokens."""
        self._claims.pop(holder, None)

    def tokens_ahead(self, holder: records.Holder, unit: float) -> float:
        """Return the refill needed before the holder has a unit reserved."""
        needed = 0.0
        for other, claim in self._claims.items():
            turn_tokens = min(claim.unmet, unit)
            needed += max(0.0, turn_tokens - claim.reserved)
            if other == holder:
                break
        return needed

    def _reserve_turn(self, free: float, unit: float) -> float:
        """Reserve one turn for the least served claim; return its tokens."""
        waiting = [
            claim
            for claim in self._claims.values()
            if claim.unmet - claim.reserved > const.QUOTA_ROUNDING_TOLERANCE
        ]
        if not waiting:
            return 0.0
        turn = max(unit, free / len(waiting))
        turn_counts = [_count_whole_turns(c.served, turn) for c in waiting]
        # Of several claims with equally many turns, the earliest is served.
        claim = waiting[turn_counts.index(min(turn_counts))]
        rest = (min(turn_counts) + 1) * turn - claim.served
        reserved_tokens = min(rest, claim.unmet - claim.reserved, free)
        claim.reserved += reserved_tokens
        claim.served += reserved_tokens
        return reserved_tokens

    def _start_tag(self, unit: float) -> float:
        """Return the served tokens that a new claim starts with."""
        least = min((c.served for c in self._claims.values()), default=0.0)
        return _count_whole_turns(least, unit) * unit

    def _expire(self, now: float) -> None:
        self._claims = {
            holder: claim
            for holder, claim in self._claims.items()
            if now - claim.requested_at < const.QUOTA_RESERVATION_S
        }


def _count_whole_turns(tokens: float, turn: float) -> int:
    return int(tokens / turn + const.QUOTA_ROUNDING_TOLERANCE)
