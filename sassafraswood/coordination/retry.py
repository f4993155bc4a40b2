"""Decides whether a call is retried, and with which allowance."""

import dataclasses
import random as random_module

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.models import call
from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.state import retry_budget

# Refusals for which another upstream may answer differently. All other reasons
# concern the request, its key, its quota or its deadline, and would occur
# again.
_RETRYABLE_REASONS = frozenset(
    {
        enums.RefusalReason.AUTHORIZATION_STALE,
        enums.RefusalReason.OVERLOADED,
        enums.RefusalReason.QUEUE_FULL,
        enums.RefusalReason.DEADLINE_UNREACHABLE,
        enums.RefusalReason.UPSTREAM_SHED,
        enums.RefusalReason.NO_UPSTREAM,
        enums.RefusalReason.UPSTREAM_UNREACHABLE,
        enums.RefusalReason.DRAINING,
        enums.RefusalReason.PEER_UNREACHABLE,
        enums.RefusalReason.PEER_SILENT,
        enums.RefusalReason.UPSTREAM_BROKE,
        enums.RefusalReason.ANSWER_TRUNCATED,
        enums.RefusalReason.ANSWER_WITHOUT_TOKEN,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryDecision:
    """A retry that may be made.

    Attributes:
        delay_s: Seconds to wait before the next attempt.
        reason: Label of the retry counter.
    """

    delay_s: float
    reason: enums.RetryReason


class RetryPolicy:
    """Decides on further attempts, with a retry budget per callee."""

    def __init__(
        self, *, clock: clock_module.Clock, random: random_module.Random
    ) -> None:
        """Initialize with the clock and the random source of the jitter."""
        self._clock = clock
        self._random = random
        self._budgets = retry_budget.RetryBudgetTable(
            reserve=const.RETRY_BUDGET_RESERVE
        )
        self._next_cleanup_at = clock.monotonic() + const.RETRY_BUDGET_IDLE_S

    def total(self, service_document: document.ServiceDocument) -> int:
        """Return the retry allowance of an original request."""
        return service_document.retry_allowance

    def note_call(self, service: ids.ServiceName) -> None:
        """Count the first attempt of a call; retries are not counted."""
        now = self._clock.monotonic()
        self._budgets.deposit(service, const.RETRY_BUDGET_RATIO, now)
        if now >= self._next_cleanup_at:
            self._budgets.remove_unused(now - const.RETRY_BUDGET_IDLE_S)
            self._next_cleanup_at = now + const.RETRY_BUDGET_IDLE_S

    def decide(
        self,
        *,
        service: ids.ServiceName,
        refusal: call.Refusal,
        idempotent: bool,
        allowance: int,
        attempt: int,
        remaining_s: float,
    ) -> RetryDecision | None:
        """Return the retry to make, or None.

        A retry is withdrawn from the budget of the callee. The caller of this
        method then spends one from the RetryAllowance of the call.

        Args:
            service: The callee.
            refusal: The refusal that ended the last attempt.
            idempotent: Whether the call may run more than once.
            allowance: Retries left in the RetryAllowance of the call.
            attempt: Attempts made so far; 1 after the first.
            remaining_s: Seconds until the deadline.
        """
        reason = _find_reason(refusal, idempotent, attempt)
        if reason is None or allowance < 1:
            return None
        delay_s = self._draw_delay(attempt)
        if remaining_s - delay_s < const.RETRY_MIN_REMAINING_S:
            return None
        if not self._budgets.withdraw(service, self._clock.monotonic()):
            return None
        return RetryDecision(delay_s=delay_s, reason=reason)

    def _draw_delay(self, attempt: int) -> float:
        """Return a delay in seconds with full jitter.

        Uniform between 0 and base x 2^(attempt - 1), capped. Source: M.
        Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog,
        2015.
        """
        # A bounded exponent keeps the power within the range of a float.
        exponent = min(max(attempt - 1, 0), 16)
        longest_s = min(
            const.RETRY_DELAY_MAX_S, const.RETRY_DELAY_BASE_S * 2**exponent
        )
        return self._random.uniform(0.0, longest_s)


class RetryAllowance:
    """Retries that one call and its child calls may still spend.

    The retries spent, lent and left always add up to the total. A loan that is
    never given back, because the reply was lost, stays lent, since it may have
    been spent. So the retries of a whole call tree never exceed the total of
    the original request.
    """

    def __init__(self, total: int) -> None:
        """Initialize with the number of retries."""
        self._left = max(0, total)
        self._lent = 0

    @property
    def left(self) -> int:
        """Return the retries that are neither spent nor lent."""
        return self._left

    def spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self._left < 1:
            return False
        self._left -= 1
        return True

    def lend(self) -> int:
        """Lend retries to one child call or attempt; return their number.

        This is half of what is left, rounded up, so that parallel child calls
        can each get some and a single retry reaches the deepest hop.
        """
        loan = (self._left + 1) // 2
        self._left -= loan
        self._lent += loan
        return loan

    def give_back(self, unused: int) -> None:
        """Return the unused retries of one loan to the allowance.

        Retries beyond the total lent are ignored. With several open loans,
        the caller of this method limits the number to the loan in question.

        Args:
            unused: Number of retries that were not spent.
        """
        returned = min(max(0, unused), self._lent)
        self._lent -= returned
        self._left += returned


def _find_reason(
    refusal: call.Refusal, idempotent: bool, attempt: int
) -> enums.RetryReason | None:
    if refusal.reason not in _RETRYABLE_REASONS:
        return None
    if not _may_run_again(refusal, idempotent):
        return None
    if refusal.shed:
        # If each hop retried it, one shed call would become 2^depth calls
        # while there is no capacity for them.
        if refusal.relayed or attempt > 1:
            return None
        return enums.RetryReason.OVERLOADED_ONCE
    if refusal.reason is enums.RefusalReason.PEER_SILENT:
        return enums.RetryReason.PEER_SILENT
    if refusal.outcome is enums.Outcome.NOT_RUN:
        return enums.RetryReason.NOT_RUN_ELSEWHERE
    return enums.RetryReason.UNKNOWN_IDEMPOTENT


def _may_run_again(refusal: call.Refusal, idempotent: bool) -> bool:
    if refusal.outcome is enums.Outcome.NOT_RUN:
        return True
    return refusal.outcome is enums.Outcome.UNKNOWN and idempotent
