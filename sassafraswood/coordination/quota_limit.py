"""State of one limit at the daemon that first receives the calls."""

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
    """Whether the limit of its workspace admits a call.

    Attributes:
        granted: Whether the call has a token.
        reason: RATE_EXCEEDED or QUOTA_UNREACHABLE; None if granted.
        retry_after_s: Seconds until tokens are expected; 0 if granted.
    """

    granted: bool
    reason: enums.RefusalReason | None = None
    retry_after_s: float = 0.0


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter:
    """A call that waits for a token; times are monotonic."""

    arrived_at: float
    deadline: float
    on_done: Callable[[QuotaVerdict], None]


@dataclasses.dataclass(kw_only=True)
class PartitionState:
    """State of one limit at one partition.

    Times are monotonic, in seconds. An owner is the daemon that holds the
    lease of the partition and grants its tokens.

    Attributes:
        term: Term of the grants to report; the owner of a later term has no
            record of them.
        requested_at: Time of the request in flight; None if there is none.
        requested_tokens: Tokens requested in the last request for tokens.
        replied_at: Time of the last reply to a request for tokens.
        shortage_at: Time of the last reply with fewer tokens than calls waited
            for.
        retry_at: Time at which the owner expects tokens, from that reply.
        next_prefetch_at: Time before which no tokens are prefetched.
        spent: Spent tokens that are not yet reported, by grant.
        returned: Tokens to return with the next request, by grant.
        unreported_since: Time at which the oldest token in `spent` was spent.
    """

    term: ids.Term = ids.Term(0)
    requested_at: float | None = None
    requested_tokens: float = 0.0
    replied_at: float = -1.0
    shortage_at: float = -1.0
    retry_at: float = 0.0
    next_prefetch_at: float = 0.0
    spent: dict[int, float] = dataclasses.field(default_factory=dict)
    returned: dict[int, float] = dataclasses.field(default_factory=dict)
    unreported_since: float | None = None

    def set_term(self, term: ids.Term) -> None:
        """Set the current term; a new term resets the state of the last."""
        if term != self.term:
            self.term = term
            self.requested_at = None
            self.shortage_at = -1.0
            self.retry_at = 0.0
            self.clear_reports()

    def has_recent_shortage(self, now: float) -> bool:
        """Return whether a recent reply shows that the owner lacks tokens."""
        remembered = self.shortage_at + const.QUOTA_REFUSAL_CACHE_S
        return now < min(self.retry_at, remembered)

    def is_known_short(self, now: float, since: float) -> bool:
        """Return whether the owner lacked tokens at that time or later."""
        return self.shortage_at >= since or self.has_recent_shortage(now)

    def record_spent(self, part: token_cache.HeldGrant, now: float) -> None:
        """Add spent tokens of a grant to the next report."""
        if part.term != self.term:
            return
        before = self.spent.get(part.grant_id, 0.0)
        self.spent[part.grant_id] = before + part.tokens
        if self.unreported_since is None:
            self.unreported_since = now

    def record_returned(self, part: token_cache.HeldGrant) -> None:
        """Add returned tokens of a grant to the next report."""
        if part.term != self.term:
            return
        before = self.returned.get(part.grant_id, 0.0)
        self.returned[part.grant_id] = before + part.tokens

    def clear_reports(self) -> None:
        """Clear the reports after they were sent or after the term ended."""
        self.spent = {}
        self.returned = {}
        self.unreported_since = None


class Limit:
    """Tokens, demand and waiting calls of one workspace at one service."""

    def __init__(
        self, service: ids.ServiceName, workspace: ids.Workspace
    ) -> None:
        """Start without tokens and demand."""
        self.service = service
        self.workspace = workspace
        self.demand_meter = quota_demand.QuotaDemandMeter()
        self.cache = token_cache.TokenCache()
        self.partition_states = [
            PartitionState() for _ in range(const.PARTITIONS_PER_SERVICE)
        ]
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.refusal_reason = enums.RefusalReason.RATE_EXCEEDED
        self.refused_until = 0.0
        self.used_at = 0.0
        # Partition whose owner is asked first.
        self.preferred_partition = 0
        # Last time at which enough calls waited at once to be a burst.
        self.burst_at = 0.0

    def spend(self, now: float) -> bool:
        """Spend one token; return False if the limit holds less than one."""
        parts = self.cache.spend(now)
        if parts is None:
            return False
        for part in parts:
            self.partition_states[part.partition].record_spent(part, now)
        return True

    def give_back(
        self, now: float, tokens: float, partition: int | None = None
    ) -> None:
        """Remove tokens from the cache; the next requests return them.

        Args:
            now: Monotonic time in seconds.
            tokens: Tokens to return at most.
            partition: Partition of the tokens; None for any.
        """
        for part in self.cache.remove_tokens(now, tokens, partition):
            self.partition_states[part.partition].record_returned(part)

    def count_tokens_in_flight(self, now: float) -> float:
        """Return the tokens in requests that await a reply.

        Only requests sent less than QUOTA_HEDGE_DELAY_S ago count; after that,
        other owners are asked as well.
        """
        return sum(
            state.requested_tokens
            for state in self.partition_states
            if state.requested_at is not None
            and now - state.requested_at < const.QUOTA_HEDGE_DELAY_S
        )

    def has_recent_refusal(self, now: float) -> bool:
        """Return whether calls are refused or recently were.

        Recently means up to QUOTA_RESERVATION_S after `refused_until`.
        """
        return now < self.refused_until + const.QUOTA_RESERVATION_S

    def is_idle(self, now: float) -> bool:
        """Return whether the limit can be removed.

        It can if no call waits and the last use was so long ago that all
        tokens have expired.
        """
        idle_s = now - self.used_at
        return not self.waiters and idle_s > 10 * const.QUOTA_TOKEN_LIFETIME_S
