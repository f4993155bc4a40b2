"""Table of the retry budgets of callee services."""

import dataclasses

from sassafraswood.models import ids


@dataclasses.dataclass(kw_only=True)
class BudgetEntry:
    """Retry budget of one callee service.

    Attributes:
        balance: Retries that may be sent now; may be fractional.
        used_at: Monotonic time in seconds of the last call.
    """

    balance: float
    used_at: float


class RetryBudgetTable:
    """Retry budgets by callee service."""

    def __init__(self, *, reserve: float) -> None:
        """Create an empty table.

        Args:
            reserve: Retries in a new budget, and the largest balance.
        """
        self._reserve = reserve
        self._entries: dict[ids.ServiceName, BudgetEntry] = {}

    def __len__(self) -> int:
        """Return the number of callee services."""
        return len(self._entries)

    def deposit(
        self, service: ids.ServiceName, amount: float, now: float
    ) -> None:
        """Add retries to a balance, at most up to the reserve."""
        entry = self._entry(service, now)
        entry.balance = min(self._reserve, entry.balance + amount)
        entry.used_at = now

    def withdraw(self, service: ids.ServiceName, now: float) -> bool:
        """Withdraw one retry; return False if the balance is below one."""
        entry = self._entry(service, now)
        # Rounding leaves a sum of ten tenths slightly below one.
        if entry.balance < 1.0 - 1e-9:
            return False
        entry.balance = max(0.0, entry.balance - 1.0)
        return True

    def remove_unused(self, before: float) -> None:
        """Remove budgets whose last call is before the given time."""
        self._entries = {
            service: entry
            for service, entry in self._entries.items()
            if entry.used_at >= before
        }

    def _entry(self, service: ids.ServiceName, now: float) -> BudgetEntry:
        entry = self._entries.get(service)
        if entry is None:
            entry = BudgetEntry(balance=self._reserve, used_at=now)
            self._entries[service] = entry
        return entry
