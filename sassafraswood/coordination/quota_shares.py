"""Limits of workspaces, split over the daemons of a fleet.

Each limit is split evenly over its holders. A holder spends its part, or
lends of it: the lender deducts first, so that a lost message loses tokens
and never makes any. All daemons know the holders from the records of
members; a daemon whose knowledge of them is too old spends nothing, and a
new holder waits until every other one must have noticed it.
"""

from collections.abc import Iterable
import random as random_module
from typing import Final

import xxhash

from sassafraswood import clock as clock_module
from sassafraswood.models import ids
from sassafraswood.models import traffic

# More holders would leave less than one token for each of them.
MAX_HOLDERS: Final = 16
MIN_TOKENS_PER_HOLDER: Final = 2.0
# Share of the tolerated excess that is handed out; the rest covers calls
# that reach their upstream later than others admitted after them.
SLACK_SHARE: Final = 0.6
TOLERANCE_SHARE: Final = 0.8
# Borrowed tokens lapse after this time in seconds.
LOAN_S: Final = 0.5
# A borrower asks for what it needs in this time, in seconds.
LOAN_DEMAND_S: Final = 0.2
RATE_GAIN: Final = 0.2


class _Part:
    """This daemon's part of one limit."""

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.depth = 0.0
        self.level = 0.0
        self.filled_at = now
        self.loan = 0.0
        self.loan_until = 0.0
        self.taken = 0
        self.demand_per_s = 0.0
        self.demand_at = now

    def fill(self, now: float) -> None:
        self.level = min(
            self.depth, self.level + self.rate * (now - self.filled_at)
        )
        self.filled_at = now

    def note_demand(self, now: float) -> None:
        self.taken += 1
        elapsed_s = now - self.demand_at
        if elapsed_s >= 0.2:
            self.demand_per_s += RATE_GAIN * (
                self.taken / elapsed_s - self.demand_per_s
            )
            self.taken = 0
            self.demand_at = now


class QuotaShares:
    """Parts of the limits of all workspaces."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        daemon_id: ids.DaemonId,
        slack: float,
        tolerance: float,
    ) -> None:
        """Take the excess of one limit that is tolerated in a window.

        Args:
            clock: Counts time while the VM is suspended.
            random: Orders lenders.
            daemon_id: This daemon.
            slack: Requests.
            tolerance: Share of rate and burst.
        """
        self._clock = clock
        self._random = random
        self._daemon_id = daemon_id
        self._extra = 0.0
        self._factor = 1.0
        self._workspaces: dict[ids.Workspace, traffic.WorkspaceRules] = {}
        self._members: list[ids.DaemonId] = []
        self._holders: dict[ids.Workspace, list[ids.DaemonId]] = {}
        self._parts: dict[ids.Workspace, _Part] = {}
        self._spends_from = float('inf')
        self.set_excess(slack=slack, tolerance=tolerance)

    def set_excess(self, *, slack: float, tolerance: float) -> None:
        """Take another excess of one limit that is tolerated."""
        self._extra = SLACK_SHARE * slack
        self._factor = 1.0 + TOLERANCE_SHARE * tolerance
        self._divide()

    def set_workspaces(
        self, workspaces: dict[ids.Workspace, traffic.WorkspaceRules]
    ) -> None:
        """Take the limits in force."""
        self._workspaces = {
            name: rules
            for name, rules in workspaces.items()
            if rules.is_limited
        }
        self._divide()

    def set_members(self, members: Iterable[ids.DaemonId]) -> None:
        """Take all daemons that may hold a part."""
        self._members = sorted(members)
        self._divide()

    def spend_from(self, at: float) -> None:
        """Take from when on every daemon knows this one as a member."""
        self._spends_from = at

    def is_limited(self, workspace: ids.Workspace) -> bool:
        """Return whether the workspace has a limit."""
        return workspace in self._workspaces

    def take(self, workspace: ids.Workspace) -> bool:
        """Take one token; return False if there is none here."""
        if workspace not in self._workspaces:
            return True
        part = self._part(workspace, self._clock.monotonic())
        part.note_demand(self._clock.monotonic())
        return self.take_again(workspace)

    def take_again(self, workspace: ids.Workspace) -> bool:
        """Take one token for a call whose demand was counted already."""
        now = self._clock.monotonic()
        part = self._part(workspace, now)
        return self._take_loan(part, now) or self._take_own(part, now)

    def give_back(self, workspace: ids.Workspace) -> None:
        """Return the token of a call that has not run."""
        if workspace not in self._workspaces:
            return
        now = self._clock.monotonic()
        part = self._part(workspace, now)
        part.fill(now)
        if part.depth > 0.0:
            part.level = min(part.depth, part.level + 1.0)
        else:
            self.receive(workspace, 1.0)

    def wanted(self, workspace: ids.Workspace) -> float:
        """Return how many tokens to borrow."""
        part = self._parts.get(workspace)
        demand = 0.0 if part is None else part.demand_per_s
        return max(1.0, demand * LOAN_DEMAND_S)

    def refill_per_s(self, workspace: ids.Workspace) -> float:
        """Return how many tokens of the own part come in a second."""
        part = self._parts.get(workspace)
        if part is None or self._clock.monotonic() < self._spends_from:
            return 0.0
        return part.rate

    def lend(self, workspace: ids.Workspace, tokens: float) -> float:
        """Deduct up to the given tokens and return how many."""
        if workspace not in self._workspaces or tokens <= 0.0:
            return 0.0
        now = self._clock.monotonic()
        part = self._part(workspace, now)
        if now < self._spends_from:
            return 0.0
        part.fill(now)
        if part.level < 1.0:
            return 0.0
        lent = min(tokens, max(1.0, part.level / 2.0))
        part.level -= lent
        return lent

    def receive(self, workspace: ids.Workspace, tokens: float) -> None:
        """Add borrowed tokens."""
        if workspace not in self._workspaces:
            return
        now = self._clock.monotonic()
        part = self._part(workspace, now)
        if now >= part.loan_until:
            part.loan = 0.0
        part.loan += tokens
        part.loan_until = now + LOAN_S

    def lenders(self, workspace: ids.Workspace) -> list[ids.DaemonId]:
        """Return other holders in random order."""
        holders = [
            daemon_id
            for daemon_id in self._holders.get(workspace, [])
            if daemon_id != self._daemon_id
        ]
        self._random.shuffle(holders)
        return holders

    def _take_loan(self, part: _Part, now: float) -> bool:
        if part.loan < 1.0 or now >= part.loan_until:
            return False
        part.loan -= 1.0
        return True

    def _take_own(self, part: _Part, now: float) -> bool:
        if now < self._spends_from:
            return False
        part.fill(now)
        if part.level < 1.0:
            return False
        part.level -= 1.0
        return True

    def _part(self, workspace: ids.Workspace, now: float) -> _Part:
        part = self._parts.get(workspace)
        if part is None:
            part = _Part(now)
            self._parts[workspace] = part
            self._set_size(workspace, part)
        return part

    def _divide(self) -> None:
        """Work out holders and sizes after a change."""
        now = self._clock.monotonic()
        self._holders = {
            name: self._choose_holders(rules)
            for name, rules in self._workspaces.items()
        }
        self._parts = {
            name: part
            for name, part in self._parts.items()
            if name in self._workspaces
        }
        for name in self._workspaces:
            part = self._part(name, now)
            part.fill(now)
            self._set_size(name, part)
            part.level = min(part.level, part.depth)

    def _choose_holders(
        self, rules: traffic.WorkspaceRules
    ) -> list[ids.DaemonId]:
        tokens = self._factor * rules.burst + self._extra
        count = min(
            MAX_HOLDERS,
            len(self._members),
            max(1, int(tokens / MIN_TOKENS_PER_HOLDER)),
        )
        if count == len(self._members):
            return self._members
        return sorted(
            self._members,
            key=lambda member: xxhash.xxh64_intdigest(
                f'{rules.name}/{member}'.encode()
            ),
        )[:count]

    def _set_size(self, workspace: ids.Workspace, part: _Part) -> None:
        rules = self._workspaces[workspace]
        holders = self._holders.get(workspace, [])
        if self._daemon_id not in holders:
            part.rate = 0.0
            part.depth = 0.0
            return
        tokens = self._factor * rules.burst + self._extra
        part.rate = self._factor * rules.rate_per_s / len(holders)
        part.depth = tokens / len(holders)
