"""Queues for calls that wait for tokens of the limit of their workspace."""

import collections
from collections.abc import Callable
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import quota_shares
from sassafraswood.coordination import store_knowledge
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.sidecar import caller_call
from sassafraswood.sidecar import peers as peers_module

# Longest wait for borrowed tokens; a round trip between failure domains takes
# about 2 ms.
BORROW_WAIT_S: Final = 0.1
# Fraction of its latency target that a call may wait until the share of this
# daemon is refilled; after a refusal the caller can still retry in time.
REFILL_WAIT_FRACTION: Final = 0.125
# A lender that has not replied after this time is skipped; it is ten round
# trips.
LENDER_TIMEOUT_S: Final = 0.02
# After this many consecutive empty loans no lender is asked during the pause
# below, and calls that the refill can not serve in time are refused, so that
# excess requests do not each send messages. At 0.6 of a limit of 2 requests a
# second, three consecutive loans were empty for 3 in 1,000 requests.
MAX_EMPTY_LOANS: Final = 6
EMPTY_PAUSE_S: Final = 0.05
# Each consecutive round of empty loans halves the number of lenders asked and
# doubles the pause, up to this many times, since a limit that is exceeded
# stays exceeded for longer than a round.
MAX_BACKOFF_ROUNDS: Final = 3
# Number of lenders to connect to when none of the limit is connected.
MAX_NEW_LENDERS: Final = 2


class _Queue:
    """Calls of one workspace that wait for tokens.

    Attributes:
        waiting: Calls with the time at which the wait of each ends; as all
            times here, monotonic time in seconds.
        asked_at: When a lender was asked last.
        empty_loan_count: Number of consecutive loans without tokens.
        empty_round_count: Number of consecutive rounds without tokens.
        paused_until: Time until which no lender is asked.
    """

    def __init__(self) -> None:
        self.waiting: list[tuple[float, caller_call.CallerCall]] = []
        self.asked_at = 0.0
        self.empty_loan_count = 0
        self.empty_round_count = 0
        self.paused_until = 0.0

    @property
    def is_round_over(self) -> bool:
        """Return whether no further lender is asked in this round."""
        return self.empty_loan_count >= max(
            1, MAX_EMPTY_LOANS >> self.empty_round_count
        )

    def note_loan(self, tokens: float) -> None:
        """Count the reply of a lender that lent this number of tokens."""
        if tokens > 0.0:
            self.empty_loan_count = 0
            self.empty_round_count = 0
        else:
            self.empty_loan_count += 1

    def end_round(
        self, now: float, refill_per_s: float
    ) -> list[caller_call.CallerCall]:
        """Start the pause after a round of empty loans.

        Args:
            now: Monotonic time in seconds.
            refill_per_s: Tokens per second that this daemon may expect from
                its own share.

        Returns:
            Calls to refuse, removed from the queue: those that the refill
            does not serve within their wait.
        """
        self.paused_until = now + EMPTY_PAUSE_S * 2**self.empty_round_count
        self.empty_round_count = min(
            MAX_BACKOFF_ROUNDS, self.empty_round_count + 1
        )
        self.empty_loan_count = 0
        waiting, self.waiting = self.waiting, []
        refused = []
        for until, call in waiting:
            if (len(self.waiting) + 1) <= refill_per_s * (until - now):
                self.waiting.append((until, call))
            else:
                refused.append(call)
        return refused

    def remove_expired(self, now: float) -> list[caller_call.CallerCall]:
        """Remove and return the calls whose wait has ended."""
        expired = [call for until, call in self.waiting if until <= now]
        if expired:
            self.waiting = [item for item in self.waiting if item[0] > now]
        return expired


class QuotaWaits:
    """Takes tokens from this daemon's share of a limit, or borrows them."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        shares: quota_shares.QuotaShares,
        knowledge: store_knowledge.StoreKnowledge,
        members_s: float,
        on_token: Callable[[caller_call.CallerCall], None],
        on_refused: Callable[[caller_call.CallerCall], None],
    ) -> None:
        """Create the queues without connections to peers.

        Args:
            clock: Monotonic time.
            shares: This daemon's shares of the limits.
            knowledge: Versions and ages of the data known from the store.
            members_s: Age of the member records up to which the share of this
                daemon is spent, in seconds.
            on_token: Called with a call that waited and got its token.
            on_refused: Called with a call that waited and got no token.
        """
        self._clock = clock
        self._shares = shares
        self._knowledge = knowledge
        self._members_s = members_s
        self._on_token = on_token
        self._on_refused = on_refused
        self._peers: peers_module.Peers | None = None
        self._queues: dict[ids.Workspace, _Queue] = collections.defaultdict(
            _Queue
        )

    def attach(self, peers: peers_module.Peers) -> None:
        """Set the connections to peers."""
        self._peers = peers

    def acquire(self, call: caller_call.CallerCall) -> bool:
        """Take a token from this daemon's share, or let the call wait for one.

        Returns:
            Whether the call may be sent now; true without a limit.
        """
        workspace = call.workspace
        if not self._shares.is_limited(workspace):
            return True
        if self._knowledge.may_spend_share(self._members_s):
            call.has_token = self._shares.take(workspace)
        if not call.has_token:
            self._enqueue(call)
        return call.has_token

    def release(self, call: caller_call.CallerCall) -> None:
        """Return the token of a call that has not run, if it has one."""
        if call.has_token:
            call.has_token = False
            self._shares.give_back(call.workspace)

    def max_wait_s(self, call: caller_call.CallerCall) -> float:
        """Return how long a call may wait for its start, in seconds.

        Returns:
            0 if its workspace is not near its limit, so that any wait will do.
        """
        if call.has_token and self._shares.is_nearly_spent(call.workspace):
            return quota_shares.MAX_START_DELAY_S
        return 0.0

    def describe(self, workspace: ids.Workspace) -> dict[str, float]:
        """Return why a call of a workspace gets no token, for log lines.

        The loans without tokens are those since a lender had some, or since
        the last pause.
        """
        queue = self._queues[workspace]
        now = self._clock.monotonic()
        return self._shares.describe(workspace) | {
            'empty_loans': queue.empty_loan_count,
            'empty_rounds': queue.empty_round_count,
            'asked_s_ago': round(now - queue.asked_at, 3),
            'calls_waiting': len(queue.waiting),
            'members_age_s': round(min(self._knowledge.members_age_s, 1e9), 3),
        }

    def handle_loan(self, loan: frames.LendTokens) -> None:
        """Add the tokens of a lender and give them to waiting calls."""
        workspace = ids.Workspace(loan.workspace)
        self._shares.receive(workspace, loan.tokens)
        queue = self._queues[workspace]
        queue.note_loan(loan.tokens)
        self._serve_waiting(workspace, queue)
        if not queue.waiting:
            return
        if queue.is_round_over:
            self._end_round(workspace, queue)
        else:
            self._ask_lender(workspace, queue)

    def tick(self, now: float) -> None:
        """Refuse calls whose wait has ended, and skip silent lenders.

        Args:
            now: Monotonic time in seconds.
        """
        for workspace, queue in list(self._queues.items()):
            if not queue.waiting:
                continue
            if self._knowledge.may_spend_share(self._members_s):
                self._serve_waiting(workspace, queue)
            for call in queue.remove_expired(now):
                self._on_refused(call)
            if (
                queue.waiting
                and now >= queue.paused_until
                and now - queue.asked_at > LENDER_TIMEOUT_S
            ):
                self._ask_lender(workspace, queue)

    def _serve_waiting(self, workspace: ids.Workspace, queue: _Queue) -> None:
        """Give the available tokens to waiting calls, the oldest first."""
        while queue.waiting and self._shares.retry_take(workspace):
            _, call = queue.waiting.pop(0)
            call.has_token = True
            self._on_token(call)

    def _enqueue(self, call: caller_call.CallerCall) -> None:
        """Queue a call until a lender or the refill provides a token.

        During a pause it waits for the refill only, and is refused if that
        comes too late.
        """
        queue = self._queues[call.workspace]
        now = self._clock.monotonic()
        refill_s = REFILL_WAIT_FRACTION * call.latency_target_s
        if now < queue.paused_until:
            expected_tokens = self._refill_per_s(call.workspace) * refill_s
            if len(queue.waiting) + 1 > expected_tokens:
                self._on_refused(call)
                return
            queue.waiting.append((now + refill_s, call))
            return
        queue.waiting.append((now + max(BORROW_WAIT_S, refill_s), call))
        if len(queue.waiting) == 1:
            self._ask_lender(call.workspace, queue)

    def _refill_per_s(self, workspace: ids.Workspace) -> float:
        if not self._knowledge.may_spend_share(self._members_s):
            return 0.0
        return self._shares.refill_per_s(workspace)

    def _ask_lender(self, workspace: ids.Workspace, queue: _Queue) -> None:
        """Ask the first reachable lender for tokens."""
        assert self._peers is not None
        tokens = max(self._shares.wanted(workspace), float(len(queue.waiting)))
        message = frames.BorrowTokens(workspace=workspace, tokens=tokens)
        queue.asked_at = self._clock.monotonic()
        lenders = self._shares.lenders(workspace)
        for daemon_id in lenders:
            if self._peers.send(daemon_id, message):
                return
        if not lenders:
            self._end_round(workspace, queue)
        for daemon_id in lenders[:MAX_NEW_LENDERS]:
            # The next tick asks a lender that is connected by then.
            self._peers.connect(daemon_id)

    def _end_round(self, workspace: ids.Workspace, queue: _Queue) -> None:
        refill_per_s = self._refill_per_s(workspace)
        for call in queue.end_round(self._clock.monotonic(), refill_per_s):
            self._on_refused(call)
