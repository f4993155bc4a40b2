"""Budget of the calls that a daemon may send again.

All daemons together may repeat a fraction of the requests of a service within
a sliding window. Each daemon applies the fraction to its own requests, so no
messages between daemons are needed. A repeated call makes its child calls
again, which are repeats for the services below: a call without child calls
may use half of the fraction, one with a level of calls below it a quarter, and
so on. Summed over all levels of a call graph this stays below the fraction.

The order of the repeats answers this load: all upstreams of a service reject a
part of their requests, and far more repeats are asked for than are allowed.
Spread evenly, they would save hardly any call tree.
"""

import math
from typing import Final, NamedTuple

from sassafraswood import clock as clock_module
from sassafraswood.models import ids

# Buckets that the window is divided into.
BUCKET_COUNT: Final = 20
# Levels assumed below a call of unknown depth; call graphs of services that
# serve callers directly are seldom deeper.
ASSUMED_DEPTH_LEVELS: Final = 3
# Time constant of the number of repeats that calls of each rank ask for. Calls
# of lower ranks leave as many to them.
DEMAND_TIME_CONSTANT_S: Final = 0.25
MAX_RANKS: Final = 256
# More calls that a run has made before do not raise the rank of a call.
MAX_SIBLINGS: Final = 15


class Rank(NamedTuple):
    """Order in which calls get the last repeats; the greatest is first.

    Attributes:
        urgency: From 0 to 1.
        siblings: Calls that the same run has made before this one, whose work
            is lost if this one fails.
    """

    urgency: float
    siblings: int = 0


HIGHEST_RANK: Final = Rank(urgency=1.0)


def make_rank(urgency: float, siblings: int) -> Rank:
    """Return the rank of a call, one of a limited number.

    Args:
        urgency: From 0 to 1.
        siblings: Calls that the same run has made before this one.
    """
    return Rank(round(urgency, 2), min(siblings, MAX_SIBLINGS))


def _depth_fraction(depth: int) -> float:
    """Return the fraction of the budget for calls of a depth.

    Args:
        depth: Levels of calls below the call.
    """
    return 0.5 ** (depth + 1)


class _Demand:
    """Repeats that calls of one rank have asked for recently."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = -math.inf

    def count(self, now: float) -> float:
        """Return the decayed number."""
        return self._count * math.exp(
            (self._updated_at - now) / DEMAND_TIME_CONSTANT_S
        )

    def add(self, now: float) -> None:
        """Count another one."""
        self._count = self.count(now) + 1.0
        self._updated_at = now


class _Account:
    """Credit and repeats in the buckets of the window."""

    def __init__(self) -> None:
        self._demands: dict[Rank, _Demand] = {}
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

    def spend_repeat(self, reserve: float, rank: Rank, now: float) -> bool:
        """Use up a repeat; return False if there is none for the rank."""
        left = sum(self._credits) + reserve - sum(self._repeats)
        # Rounding makes a sum of tenths fall short of the whole number.
        if left < 1.0 - 1e-9 + self._note_demand(rank, now):
            return False
        self._repeats[self._bucket_number % (BUCKET_COUNT + 1)] += 1
        return True

    def _note_demand(self, rank: Rank, now: float) -> float:
        """Count a demand; return how many calls of higher ranks asked for."""
        if len(self._demands) >= MAX_RANKS:
            self._demands.clear()
        self._demands.setdefault(rank, _Demand()).add(now)
        return sum(
            demand.count(now)
            for other, demand in self._demands.items()
            if other > rank
        )


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

    def take(
        self,
        service: ids.ServiceName,
        depth: int,
        rank: Rank = HIGHEST_RANK,
    ) -> bool:
        """Use up a repeat; return False if there is none for the call.

        Args:
            service: The service that is called.
            depth: Levels of calls below the call.
            rank: Order among the calls that ask for repeats.
        """
        reserve = self._slack * _depth_fraction(depth) / self._member_count
        return self._account(service, depth).spend_repeat(
            reserve, rank, self._clock.monotonic()
        )

    def _account(self, service: ids.ServiceName, depth: int) -> _Account:
        key = service, depth
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account()
        account.advance(int(self._clock.monotonic() / self._bucket_s))
        return account
