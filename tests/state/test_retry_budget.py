"""Tests of the table of retry budgets."""

from sassafraswood.models import ids
from sassafraswood.state import retry_budget

SERVICE = ids.ServiceName('supplies')


def test_ten_tenths_make_one_retry() -> None:
    """Guards against rounding errors that refuse an earned retry."""
    table = retry_budget.RetryBudgetTable(reserve=1.0)
    assert table.withdraw(SERVICE, 0.0)
    for _ in range(10):
        assert not table.withdraw(SERVICE, 0.0)
        table.deposit(SERVICE, 0.1, 0.0)
    assert table.withdraw(SERVICE, 0.0)


def test_balance_never_exceeds_the_reserve() -> None:
    """Guards against a burst of retries after much traffic without one."""
    table = retry_budget.RetryBudgetTable(reserve=2.0)
    for _ in range(1000):
        table.deposit(SERVICE, 0.1, 0.0)
    taken = [table.withdraw(SERVICE, 0.0) for _ in range(3)]
    assert taken == [True, True, False]


def test_unused_entries_are_removed() -> None:
    """Guards against a table that grows with services no longer called."""
    table = retry_budget.RetryBudgetTable(reserve=2.0)
    table.deposit(SERVICE, 0.1, 0.0)
    table.deposit(ids.ServiceName('ordering'), 0.1, 9.0)
    table.remove_unused(5.0)
    assert len(table) == 1
