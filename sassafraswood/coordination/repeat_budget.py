"""How many calls a daemon may send a second time.

All daemons together may repeat a share of the requests of a service within a
window of time. Each daemon takes that share of its own requests, so that no
message is needed. A call that is repeated makes its calls again, which counts
as repeats at the services below: a call with no calls below it gets half of
the share, one with a level of calls below it a quarter, and so on. Over all
levels of a call graph this stays below the whole share.
"""

from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.models import ids

# Parts of the window that are counted together.
BUCKETS: Final = 20
# Levels below a call of which nothing is known; call graphs of services that
# serve callers directly are seldom deeper.
UNKNOWN_DEPTH: Final = 3


def _share(depth: int) -> float:
    """Return the part of the budget for calls with levels below them."""
    return 0.5 ** (depth + 1)


class _Account:
    """Credit and repeats in the last parts of the window."""

    def __init__(self) -> None:
        self._credits = [0.0] * BUCKETS
        # Repeats are kept longer than the window by one part.
        self._repeats = [0] * (BUCKETS + 1)
        self._at = 0

    def advance(self, at: int) -> None:
        """Forget what is older than the window.

        Args:
            at: Number of the part of now; rises with time.
        """
        passed = min(at - self._at, BUCKETS + 1)
        for number in range(at - passed + 1, at + 1):
            self._credits[number % BUCKETS] = 0.0
            self._repeats[number % (BUCKETS + 1)] = 0
        self._at = at

    def deposit(self, amount: float) -> None:
        """Add credit."""
        self._credits[self._at % BUCKETS] += amount

    def take(self, reserve: float) -> bool:
        """Take a repeat if credit or reserve are left."""
        left = sum(self._credits) + reserve - sum(self._repeats)
        # Sums of tenths fall short of the whole number by rounding.
        if left < 1.0 - 1e-9:
            return False
        self._repeats[self._at % (BUCKETS + 1)] += 1
        return True


class RepeatBudget:
    """Budgets of each service that is called and depth of calls."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        ratio: float,
        slack: float,
        window_s: float,
    ) -> None:
        """Take the bounds of the fleet.

        Args:
            clock: Monotonic time.
            ratio: Repeats relative to requests.
            slack: Repeats of all daemons in a window beyond the ratio.
            window_s: The window in seconds.
        """
        self._clock = clock
        self._member_count = 1
        self._accounts: dict[tuple[ids.ServiceName, int], _Account] = {}
        self.set_bounds(ratio=ratio, slack=slack, window_s=window_s)

    def set_bounds(
        self, *, ratio: float, slack: float, window_s: float
    ) -> None:
        """Take other bounds; what was counted counts on."""
        self._ratio = ratio
        self._slack = slack
        self._bucket_s = window_s / BUCKETS

    def set_member_count(self, count: int) -> None:
        """Take how many daemons share the slack."""
        self._member_count = max(1, count)

    def note_request(self, service: ids.ServiceName, depth: int) -> None:
        """Count a request for a service.

        Args:
            service: The service that is called.
            depth: Levels of calls below the call.
        """
        self._account(service, depth).deposit(self._ratio * _share(depth))

    def take(self, service: ids.ServiceName, depth: int) -> bool:
        """Take a repeat; return False if the budget is spent."""
        reserve = self._slack * _share(depth) / self._member_count
        return self._account(service, depth).take(reserve)

    def _account(self, service: ids.ServiceName, depth: int) -> _Account:
        key = service, depth
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account()
        account.advance(int(self._clock.monotonic() / self._bucket_s))
        return account
