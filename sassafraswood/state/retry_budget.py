"""Retry budget of each callee service."""

import dataclasses

from sassafraswood.models import ids


@dataclasses.dataclass(kw_only=True)
class BudgetEntry:
    """Budget of one callee.

    Attributes:
        balance: Retries that may be made now; may be fractional.
        used_at: Monotonic time of the last call in seconds.
    """

    balance: float
    used_at: float


class RetryBudgetTable:
    """Budgets by callee service."""

    def __init__(self, *, reserve: float) -> None:
        """Take the balance of a new entry, which is also the largest."""
        self._reserve = reserve
        self._entries: dict[ids.ServiceName, BudgetEntry] = {}

    def __len__(self) -> int:
        """Return the number of callees."""
        return len(self._entries)

    def deposit(
        self, service: ids.ServiceName, amount: float, now: float
    ) -> None:
        """Raise the balance of a callee up to the reserve."""
        entry = self._entry(service, now)
        entry.balance = min(self._reserve, entry.balance + amount)
        entry.used_at = now

    def withdraw(self, service: ids.ServiceName, now: float) -> bool:
        """Take one retry; return False if the balance is below one."""
        entry = self._entry(service, now)
        # Sums of tenths fall short of the whole number by rounding.
        if entry.balance < 1.0 - 1e-9:
            return False
        entry.balance = max(0.0, entry.balance - 1.0)
        return True

    def drop_unused(self, before: float) -> None:
        """Remove the entries without a call since the given time."""
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
