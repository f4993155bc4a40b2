"""Budget of the calls that a daemon may send again.

All daemons together may repeat a fraction of the requests of a service within
a sliding window. Each daemon applies the fraction to its own requests, so no
messages between daemons are needed. A repeated call makes its child calls
again, which are repeats for the services below: a call without child calls
may use half of the fraction, one with a level of calls below it a quarter, and
so on. Summed over all levels of a call graph this stays below the fraction.
"""

from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.models import ids

# Buckets that the window is divided into.
BUCKET_COUNT: Final = 20
# Levels assumed below a call of unknown depth; call graphs of services that
# serve callers directly are seldom deeper.
ASSUMED_DEPTH_LEVELS: Final = 3


def _depth_fraction(depth: int) -> float:
    """Return the fraction of the budget for calls of a depth.

    Args:
        depth: Levels of calls below the call.
    """
    return 0.5 ** (depth + 1)


class _Account:
    """Credit and repeats in the buckets of the window."""

    def __init__(self) -> None:
        self._credits = [0.0] * BUCKET_COUNT
        # Repeats are kept for one bucket longer than the window.
        self._repeats = [0] * (BUCKET_COUNT + 1)
        self._bucket_number = 0

    def advance(self, bucket_number: int) -> None:
        """Clear the buckets that are older than the window.

        Args:
            bucket_number: Number of the current bucket; rises with time.
        """
        passed = min(bucket_number - self._bucket_number, BUCKET_COUNT + 1)
        for number in range(bucket_number - passed + 1, bucket_number + 1):
            self._credits[number % BUCKET_COUNT] = 0.0
            self._repeats[number % (BUCKET_COUNT + 1)] = 0
        self._bucket_number = bucket_number

    def deposit(self, amount: float) -> None:
        """Add credit to the current bucket."""
        self._credits[self._bucket_number % BUCKET_COUNT] += amount

    def spend_repeat(self, reserve: float) -> bool:
        """Use up a repeat; return False if credit and reserve are spent."""
        left = sum(self._credits) + reserve - sum(self._repeats)
        # Rounding makes a sum of tenths fall short of the whole number.
        if left < 1.0 - 1e-9:
            return False
        self._repeats[self._bucket_number % (BUCKET_COUNT + 1)] += 1
        return True


class RepeatBudget:
    """Budgets of repeats per called service and depth of calls."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        ratio: float,
        slack: float,
        window_s: float,
    ) -> None:
        """Initialize with the bounds of the whole fleet.

        Args:
            clock: Monotonic time.
            ratio: Allowed repeats per request.
            slack: Repeats per window that all daemons together may make in
                addition to the ratio.
            window_s: Length of the window in seconds.
        """
        self._clock = clock
        self._member_count = 1
        self._accounts: dict[tuple[ids.ServiceName, int], _Account] = {}
        self.set_bounds(ratio=ratio, slack=slack, window_s=window_s)

    def set_bounds(
        self, *, ratio: float, slack: float, window_s: float
    ) -> None:
        """Replace the bounds; keep the credit and repeats counted so far."""
        self._ratio = ratio
        self._slack = slack
        self._bucket_s = window_s / BUCKET_COUNT

    def set_member_count(self, count: int) -> None:
        """Set how many daemons share the slack."""
        self._member_count = max(1, count)

    def count_request(self, service: ids.ServiceName, depth: int) -> None:
        """Count a request for a service.

        Args:
            service: The service that is called.
            depth: Levels of calls below the call.
        """
        self._account(service, depth).deposit(
            self._ratio * _depth_fraction(depth)
        )

    def take(self, service: ids.ServiceName, depth: int) -> bool:
        """Use up a repeat; return False if the budget is spent.

        Args:
            service: The service that is called.
            depth: Levels of calls below the call.
        """
        reserve = self._slack * _depth_fraction(depth) / self._member_count
        return self._account(service, depth).spend_repeat(reserve)

    def _account(self, service: ids.ServiceName, depth: int) -> _Account:
        key = service, depth
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account()
        account.advance(int(self._clock.monotonic() / self._bucket_s))
        return account
