"""Rate limits of workspaces, split into shares over the daemons of a fleet.

Each limit is split evenly over its holders. A holder spends tokens of its
share or lends them to a peer. The lender deducts the tokens before it replies,
so a lost message loses tokens and never creates any. All daemons derive the
holders from the member records. A daemon whose member records are too old
spends nothing, and a new holder spends nothing until every peer is bound to
have read its record.
"""

from collections.abc import Iterable
import random as random_module
from typing import Final

import xxhash

from sassafraswood import clock as clock_module
from sassafraswood.models import ids
from sassafraswood.models import traffic

# With more holders the share of each could be less than one token.
MAX_HOLDERS: Final = 16
MIN_TOKENS_PER_HOLDER: Final = 2.0
# A holder of a small limit gets a token in this time, so that a share that
# starts empty is soon of use. Limits have MIN_HOLDERS all the same, since the
# part of a holder that is lost is not spent.
HOLDER_REFILL_S: Final = 0.25
MIN_HOLDERS: Final = 3
# In a small fleet all daemons hold a share if each gets a token in this time:
# then a workspace beyond its limit spends all of it without loans.
ALL_HOLDERS_REFILL_S: Final = 2.0
# Fractions of the tolerated excess that are added to the limits. The rest
# covers calls that reach their upstream later than calls admitted after them.
SLACK_FRACTION: Final = 0.6
TOLERANCE_FRACTION: Final = 0.8
# Fraction of the tolerated excess that the holders of a limit have together
# when all of them restart. Without it, their shares start empty, since the
# former processes may have spent them.
RESTART_SLACK_FRACTION: Final = 0.2
# Borrowed tokens expire after this time.
LOAN_LIFETIME_S: Final = 0.5
# A borrower asks for its expected demand over this time.
LOAN_DEMAND_S: Final = 0.2
# A call starts at its upstream, or gives its token back, within this time from
# when it took the token. A call of a workspace near its limit waits no longer.
MAX_START_DELAY_S: Final = 0.5
# A share counts as nearly spent while less than this fraction is left.
NEARLY_SPENT_FRACTION: Final = 0.5
# Slots of the count of tokens that were taken within MAX_START_DELAY_S.
RECENT_SLOTS: Final = 5
RECENT_SLOT_S: Final = MAX_START_DELAY_S / (RECENT_SLOTS - 1)
# Weight of the newest sample in the moving average of the demand.
DEMAND_GAIN: Final = 0.2


class _RecentTokens:
    """Counts the tokens that were taken within MAX_START_DELAY_S.

    A token counts for one slot longer at most.
    """

    def __init__(self, now: float) -> None:
        self._slots = [0.0] * RECENT_SLOTS
        self._slot = int(now / RECENT_SLOT_S)
        self.count = 0.0

    def advance(self, now: float) -> None:
        """Drop what was taken earlier."""
        slot = int(now / RECENT_SLOT_S)
        for passed in range(
            self._slot + 1, min(slot, self._slot + RECENT_SLOTS) + 1
        ):
            index = passed % RECENT_SLOTS
            self.count -= self._slots[index]
            self._slots[index] = 0.0
        self._slot = slot

    def add(self, tokens: float) -> None:
        """Count tokens that are taken now."""
        self._slots[self._slot % RECENT_SLOTS] += tokens
        self.count += tokens

    def remove_oldest(self) -> None:
        """Count a token no longer, since it was given back."""
        for age in range(RECENT_SLOTS - 1, -1, -1):
            index = (self._slot - age) % RECENT_SLOTS
            if self._slots[index] >= 1.0:
                self._slots[index] -= 1.0
                self.count -= 1.0
                return


class _Share:
    """This daemon's share of one limit, as a token bucket.

    The tokens left and those that calls on their way hold never exceed the
    capacity together. Otherwise a call that waited would reach its upstream in
    the same window as those that took the tokens refilled meanwhile.
    """

    def __init__(self, now: float) -> None:
        self.rate_per_s = 0.0
        self.capacity = 0.0
        self.tokens_left = 0.0
        self.refilled_at = now
        self.recent = _RecentTokens(now)
        self.borrowed = 0.0
        self.borrowed_until = 0.0
        self.calls_since_measurement = 0
        self.demand_per_s = 0.0
        self.demand_measured_at = now

    def refill(self, now: float) -> None:
        self.recent.advance(now)
        # What the rate alone takes in that time does not stop the refill.
        limit = max(
            self.capacity,
            self.rate_per_s * (MAX_START_DELAY_S + RECENT_SLOT_S),
        )
        room = min(
            self.capacity - self.tokens_left,
            limit - self.recent.count - self.tokens_left,
        )
        if room > 0.0:
            self.tokens_left += min(
                room, self.rate_per_s * (now - self.refilled_at)
            )
        self.refilled_at = now

    def count_call(self, now: float) -> None:
        self.calls_since_measurement += 1
        elapsed_s = now - self.demand_measured_at
        if elapsed_s >= 0.2:
            self.demand_per_s += DEMAND_GAIN * (
                self.calls_since_measurement / elapsed_s - self.demand_per_s
            )
            self.calls_since_measurement = 0
            self.demand_measured_at = now


class QuotaShares:
    """This daemon's shares of the limits of all workspaces."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        daemon_id: ids.DaemonId,
        slack: float,
        tolerance: float,
    ) -> None:
        """Start without limits and members.

        Args:
            clock: Clock that keeps running while the VM is suspended.
            random: Source of the random order of lenders.
            daemon_id: Identifier of this daemon.
            slack: Tolerated excess of a limit in one window, in requests.
            tolerance: Tolerated excess as a fraction of rate and burst.
        """
        self._clock = clock
        self._random = random
        self._daemon_id = daemon_id
        self._extra_tokens = 0.0
        self._restart_tokens = 0.0
        self._limit_factor = 1.0
        self._workspaces: dict[ids.Workspace, traffic.WorkspaceRules] = {}
        self._members: list[ids.DaemonId] = []
        self._holders: dict[ids.Workspace, list[ids.DaemonId]] = {}
        self._shares: dict[ids.Workspace, _Share] = {}
        self._spends_from = float('inf')
        # Whether the shares of the limits known next get restart tokens.
        self._has_restarted = False
        self.set_tolerated_excess(slack=slack, tolerance=tolerance)

    def set_tolerated_excess(self, *, slack: float, tolerance: float) -> None:
        """Set the tolerated excess of each limit in one window.

        Args:
            slack: Requests.
            tolerance: Fraction of rate and burst.
        """
        self._extra_tokens = SLACK_FRACTION * slack
        self._restart_tokens = RESTART_SLACK_FRACTION * slack
        self._limit_factor = 1.0 + TOLERANCE_FRACTION * tolerance
        self._recalculate_shares()

    def set_workspaces(
        self, workspaces: dict[ids.Workspace, traffic.WorkspaceRules]
    ) -> None:
        """Set the rules in force; only limited workspaces are kept."""
        self._workspaces = {
            name: rules
            for name, rules in workspaces.items()
            if rules.is_limited
        }
        self._recalculate_shares()
        self._add_restart_tokens()

    def set_members(self, members: Iterable[ids.DaemonId]) -> None:
        """Set all daemons that may hold a share."""
        self._members = sorted(members)
        self._recalculate_shares()

    def set_spending_start(
        self, at: float, *, has_restarted: bool = False
    ) -> None:
        """Set the time from which this daemon may spend its share.

        Args:
            at: Monotonic time in seconds; from then on all peers know this
                daemon as a member.
            has_restarted: Whether a former process of this daemon had the
                same share.
        """
        self._spends_from = at
        self._has_restarted = has_restarted
        self._add_restart_tokens()

    def is_limited(self, workspace: ids.Workspace) -> bool:
        """Return whether the workspace has a limit."""
        return workspace in self._workspaces

    def take(self, workspace: ids.Workspace) -> bool:
        """Take one token; return False if this daemon has none."""
        if workspace not in self._workspaces:
            return True
        share = self._get_share(workspace, self._clock.monotonic())
        share.count_call(self._clock.monotonic())
        return self.retry_take(workspace)

    def retry_take(self, workspace: ids.Workspace) -> bool:
        """Take one token for a call that `take` has already counted."""
        now = self._clock.monotonic()
        share = self._get_share(workspace, now)
        return self._take_borrowed(share, now) or self._take_own(share, now)

    def give_back(self, workspace: ids.Workspace) -> None:
        """Put back the token of a call that has not run."""
        if workspace not in self._workspaces:
            return
        now = self._clock.monotonic()
        share = self._get_share(workspace, now)
        share.refill(now)
        if share.capacity > 0.0:
            share.recent.remove_oldest()
            share.tokens_left = min(share.capacity, share.tokens_left + 1.0)
        else:
            self.receive(workspace, 1.0)

    def is_nearly_spent(self, workspace: ids.Workspace) -> bool:
        """Return whether the workspace may soon reach its limit.

        A daemon without a share of its own does not know.
        """
        share = self._shares.get(workspace)
        return share is not None and (
            share.tokens_left <= NEARLY_SPENT_FRACTION * share.capacity
        )

    def wanted(self, workspace: ids.Workspace) -> float:
        """Return the number of tokens to ask a lender for."""
        share = self._shares.get(workspace)
        demand = 0.0 if share is None else share.demand_per_s
        return max(1.0, demand * LOAN_DEMAND_S)

    def refill_per_s(self, workspace: ids.Workspace) -> float:
        """Return the refill rate of the own share in tokens/s."""
        share = self._shares.get(workspace)
        if share is None or self._clock.monotonic() < self._spends_from:
            return 0.0
        return share.rate_per_s

    def lend(self, workspace: ids.Workspace, tokens: float) -> float:
        """Deduct up to the given tokens and return the number deducted."""
        if workspace not in self._workspaces or tokens <= 0.0:
            return 0.0
        now = self._clock.monotonic()
        share = self._get_share(workspace, now)
        if now < self._spends_from:
            return 0.0
        share.refill(now)
        if share.tokens_left < 1.0:
            return 0.0
        lent = min(tokens, max(1.0, share.tokens_left / 2.0))
        share.tokens_left -= lent
        share.recent.add(lent)
        return lent

    def receive(self, workspace: ids.Workspace, tokens: float) -> None:
        """Add borrowed tokens, which expire after LOAN_LIFETIME_S."""
        if workspace not in self._workspaces:
            return
        now = self._clock.monotonic()
        share = self._get_share(workspace, now)
        if now >= share.borrowed_until:
            share.borrowed = 0.0
        share.borrowed += tokens
        share.borrowed_until = now + LOAN_LIFETIME_S

    def describe(self, workspace: ids.Workspace) -> dict[str, float]:
        """Return the limit and the state of the own share, for log lines."""
        rules = self._workspaces.get(workspace)
        if rules is None:
            return {}
        now = self._clock.monotonic()
        share = self._get_share(workspace, now)
        share.refill(now)
        return {
            'limit_per_s': rules.rate_per_s,
            'burst': rules.burst,
            'holders': len(self._holders.get(workspace, [])),
            'share_per_s': round(share.rate_per_s, 3),
            'share_tokens': round(share.tokens_left, 2),
            'borrowed_tokens': round(
                share.borrowed if now < share.borrowed_until else 0.0, 2
            ),
            'demand_per_s': round(share.demand_per_s, 2),
        }

    def lenders(self, workspace: ids.Workspace) -> list[ids.DaemonId]:
        """Return the other holders of the limit in random order."""
        holders = [
            daemon_id
            for daemon_id in self._holders.get(workspace, [])
            if daemon_id != self._daemon_id
        ]
        self._random.shuffle(holders)
        return holders

    def _take_borrowed(self, share: _Share, now: float) -> bool:
        if share.borrowed < 1.0 or now >= share.borrowed_until:
            return False
        share.borrowed -= 1.0
        return True

    def _take_own(self, share: _Share, now: float) -> bool:
        if now < self._spends_from:
            return False
        share.refill(now)
        if share.tokens_left < 1.0:
            return False
        share.tokens_left -= 1.0
        share.recent.add(1.0)
        return True

    def _get_share(self, workspace: ids.Workspace, now: float) -> _Share:
        share = self._shares.get(workspace)
        if share is None:
            share = _Share(now)
            self._shares[workspace] = share
            self._set_share_size(workspace, share)
        return share

    def _recalculate_shares(self) -> None:
        """Recalculate holders and shares after limits or members changed."""
        now = self._clock.monotonic()
        self._holders = {
            name: self._choose_holders(rules)
            for name, rules in self._workspaces.items()
        }
        self._shares = {
            name: share
            for name, share in self._shares.items()
            if name in self._workspaces
        }
        for name in self._workspaces:
            share = self._get_share(name, now)
            share.refill(now)
            self._set_share_size(name, share)
            share.tokens_left = min(share.tokens_left, share.capacity)

    def _add_restart_tokens(self) -> None:
        """Add the tokens after a restart, once the limits are known."""
        if not self._has_restarted or not self._workspaces:
            return
        self._has_restarted = False
        for name in self._workspaces:
            share = self._shares[name]
            if share.capacity > 0.0:
                share.tokens_left = min(
                    share.capacity,
                    share.tokens_left
                    + self._restart_tokens / len(self._holders[name]),
                )

    def _choose_holders(
        self, rules: traffic.WorkspaceRules
    ) -> list[ids.DaemonId]:
        tokens = self._limit_factor * rules.burst + self._extra_tokens
        member_count = len(self._members)
        count = min(
            MAX_HOLDERS,
            member_count,
            max(1, int(tokens / MIN_TOKENS_PER_HOLDER)),
        )
        if (
            member_count > MAX_HOLDERS
            or rules.rate_per_s * ALL_HOLDERS_REFILL_S < member_count
        ):
            count = min(
                count,
                max(MIN_HOLDERS, int(rules.rate_per_s * HOLDER_REFILL_S)),
            )
        if count == len(self._members):
            return self._members
        return sorted(
            self._members,
            key=lambda member: xxhash.xxh64_intdigest(
                f'{rules.name}/{member}'.encode()
            ),
        )[:count]

    def _set_share_size(self, workspace: ids.Workspace, share: _Share) -> None:
        rules = self._workspaces[workspace]
        holders = self._holders.get(workspace, [])
        if self._daemon_id not in holders:
            share.rate_per_s = 0.0
            share.capacity = 0.0
            return
        tokens = self._limit_factor * rules.burst + self._extra_tokens
        share.rate_per_s = self._limit_factor * rules.rate_per_s / len(holders)
        share.capacity = tokens / len(holders)
