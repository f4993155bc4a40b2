"""State of one limit at a first daemon."""

import collections
import dataclasses
from typing import Callable

from sassafraswood import const
from sassafraswood.coordination import quota_demand
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.state import token_cache


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaVerdict:
    """Whether a call may go on.

    Attributes:
        reason: RATE_EXCEEDED or QUOTA_UNREACHABLE; None if granted.
        retry_after_s: Seconds until tokens are expected; 0 if granted.
    """

    granted: bool
    reason: enums.RefusalReason | None = None
    retry_after_s: float = 0.0


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter:
    """A call that waits for a token."""

    arrived_at: float
    deadline: float
    on_done: Callable[[QuotaVerdict], None]


@dataclasses.dataclass(kw_only=True)
class Side:
    """One partition as seen by one limit.

    Attributes:
        term: Term of the grants that are reported; the next owner does not
            know those of earlier terms.
        asked_at: Time of the request in flight; None if there is none.
        wanted: Tokens asked for in that request.
        answered_at: Time of the last answer to a request for tokens.
        short_at: Time of the last answer with less than calls waited for.
        retry_at: Time at which that answer promised tokens.
        prefetch_at: Time before which nothing is prefetched.
        spent: Unreported spent tokens by grant.
        returned: Tokens to give back by grant.
        unreported_since: Time of the oldest unreported spending.
    """

    term: ids.Term = ids.Term(0)
    asked_at: float | None = None
    wanted: float = 0.0
    answered_at: float = -1.0
    short_at: float = -1.0
    retry_at: float = 0.0
    prefetch_at: float = 0.0
    spent: dict[int, float] = dataclasses.field(default_factory=dict)
    returned: dict[int, float] = dataclasses.field(default_factory=dict)
    unreported_since: float | None = None

    def follow(self, term: ids.Term) -> None:
        """Forget what concerns earlier terms."""
        if term != self.term:
            self.term = term
            self.asked_at = None
            self.short_at = -1.0
            self.retry_at = 0.0
            self.clear_reports()

    def is_short(self, now: float) -> bool:
        """Return whether the owner said a moment ago that it has none."""
        remembered = self.short_at + const.QUOTA_REFUSAL_MEMORY_S
        return now < min(self.retry_at, remembered)

    def is_known_empty(self, now: float, since: float) -> bool:
        """Return whether the owner had no tokens for a call of that time."""
        return self.short_at >= since or self.is_short(now)

    def note_spent(self, part: token_cache.HeldGrant, now: float) -> None:
        """Count a spent part of a grant for the next report."""
        if part.term != self.term:
            return
        before = self.spent.get(part.grant_id, 0.0)
        self.spent[part.grant_id] = before + part.tokens
        if self.unreported_since is None:
            self.unreported_since = now

    def note_returned(self, part: token_cache.HeldGrant) -> None:
        """Count a part of a grant that is given back."""
        if part.term != self.term:
            return
        before = self.returned.get(part.grant_id, 0.0)
        self.returned[part.grant_id] = before + part.tokens

    def clear_reports(self) -> None:
        """Forget the reports; they were sent or have no receiver."""
        self.spent = {}
        self.returned = {}
        self.unreported_since = None


class Limit:
    """Tokens, demand and waiting calls of one (service, workspace)."""

    def __init__(
        self, service: ids.ServiceName, workspace: ids.Workspace
    ) -> None:
        """Start without tokens and demand."""
        self.service = service
        self.workspace = workspace
        self.meter = quota_demand.QuotaDemandMeter()
        self.cache = token_cache.TokenCache()
        self.sides = [Side() for _ in range(const.PARTITIONS_PER_SERVICE)]
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.refusal_reason = enums.RefusalReason.RATE_EXCEEDED
        self.refused_until = 0.0
        self.used_at = 0.0
        # The partition that is asked first.
        self.preferred = 0
        # When as many calls waited at once as only in a burst.
        self.crowded_at = 0.0

    def spend(self, now: float) -> bool:
        """Spend one token if there is one."""
        parts = self.cache.spend(now)
        if parts is None:
            return False
        for part in parts:
            self.sides[part.partition].note_spent(part, now)
        return True

    def give_back(
        self, now: float, tokens: float, partition: int | None = None
    ) -> None:
        """Set tokens aside for return with the next requests."""
        for part in self.cache.give_up(now, tokens, partition):
            self.sides[part.partition].note_returned(part)

    def in_flight(self, now: float) -> float:
        """Return the tokens asked for that may still be answered soon."""
        return sum(
            side.wanted
            for side in self.sides
            if side.asked_at is not None
            and now - side.asked_at < const.QUOTA_HEDGE_S
        )

    def is_pressed(self, now: float) -> bool:
        """Return whether a call was refused a moment ago."""
        return now < self.refused_until + const.QUOTA_CLAIM_S

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is lost by forgetting this limit."""
        idle_s = now - self.used_at
        return not self.waiters and idle_s > 10 * const.QUOTA_TOKEN_LIFETIME_S
