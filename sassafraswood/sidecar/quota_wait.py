"""Calls that wait for tokens of the limit of their workspace."""

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

# Longest wait for borrowed tokens in seconds; an exchange between failure
# domains takes about 2 ms.
BORROW_WAIT_S: Final = 0.1
# Share of its latency target that a call may wait for tokens of the refill of
# the own part; a refusal after it still lets the caller come back in time.
REFILL_WAIT_SHARE: Final = 0.125
# A lender that is silent for this time, in seconds, is passed over; ten times
# an exchange.
LENDER_SILENT_S: Final = 0.02
# After this many empty answers in a row a workspace is refused at once for
# a moment, so that a flood does not become a flood of messages. At 0.6 of a
# rate of two a second, three answers were empty for 3 in 1,000 requests.
EMPTY_LOANS: Final = 6
EMPTY_MEMORY_S: Final = 0.05
# With each such round in a row, half as many are asked and the moment is twice
# as long, up to this many times; a limit that is exceeded stays exceeded for
# longer than a round.
MAX_ROUNDS: Final = 3
# Holders that are connected to when none of a limit is.
NEW_LENDERS: Final = 2


class _Queue:
    """Calls of one workspace that wait for tokens.

    Attributes:
        waiting: Calls, and until when each waits.
        asked_at: When a lender was asked last; monotonic time in seconds.
        empty_loans: Lenders in a row that had nothing.
        empty_rounds: Rounds of lenders in a row that ended so.
        empty_until: Until when calls are refused at once.
    """

    def __init__(self) -> None:
        self.waiting: list[tuple[float, caller_call.CallerCall]] = []
        self.asked_at = 0.0
        self.empty_loans = 0
        self.empty_rounds = 0
        self.empty_until = 0.0

    @property
    def is_round_over(self) -> bool:
        """Return whether no further lender is asked."""
        return self.empty_loans >= max(1, EMPTY_LOANS >> self.empty_rounds)

    def note_loan(self, tokens: float) -> None:
        """Take the answer of a lender."""
        if tokens > 0.0:
            self.empty_loans = 0
            self.empty_rounds = 0
        else:
            self.empty_loans += 1

    def end_round(
        self, now: float, refill_per_s: float
    ) -> list[caller_call.CallerCall]:
        """Ask nobody for a moment; return calls for which no token comes."""
        self.empty_until = now + EMPTY_MEMORY_S * 2**self.empty_rounds
        self.empty_rounds = min(MAX_ROUNDS, self.empty_rounds + 1)
        self.empty_loans = 0
        waiting, self.waiting = self.waiting, []
        refused = []
        for until, call in waiting:
            if (len(self.waiting) + 1) <= refill_per_s * (until - now):
                self.waiting.append((until, call))
            else:
                refused.append(call)
        return refused

    def drop_late(self, now: float) -> list[caller_call.CallerCall]:
        """Return calls that waited too long."""
        late = [call for until, call in self.waiting if until <= now]
        if late:
            self.waiting = [item for item in self.waiting if item[0] > now]
        return late


class QuotaWaits:
    """Takes tokens of the own part of a limit, or borrows them."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        shares: quota_shares.QuotaShares,
        knowledge: store_knowledge.StoreKnowledge,
        members_s: float,
        on_taken: Callable[[caller_call.CallerCall], None],
        on_refused: Callable[[caller_call.CallerCall], None],
    ) -> None:
        """Take the parts.

        Args:
            clock: Monotonic time.
            shares: This daemon's parts of the limits.
            knowledge: Ages of what is known of the store.
            members_s: Age of the records of members up to which the own part
                is spent, in seconds.
            on_taken: Called with a call that waited and got its token.
            on_refused: Called with a call that got none.
        """
        self._clock = clock
        self._shares = shares
        self._knowledge = knowledge
        self._members_s = members_s
        self._on_taken = on_taken
        self._on_refused = on_refused
        self._peers: peers_module.Peers | None = None
        self._queues: dict[ids.Workspace, _Queue] = collections.defaultdict(
            _Queue
        )

    def attach(self, peers: peers_module.Peers) -> None:
        """Take the connections to other daemons."""
        self._peers = peers

    def take(self, call: caller_call.CallerCall) -> bool:
        """Take a token of the own part, or let the call wait for one."""
        workspace = call.workspace
        if not self._shares.is_limited(workspace):
            return True
        if self._knowledge.may_spend_share(self._members_s):
            call.has_token = self._shares.take(workspace)
        if not call.has_token:
            self._wait(call)
        return call.has_token

    def give_back(self, call: caller_call.CallerCall) -> None:
        """Return the token of a call that has not run, if it has one."""
        if call.has_token:
            call.has_token = False
            self._shares.give_back(call.workspace)

    def take_loan(self, loan: frames.Lend) -> None:
        """Take the answer of a lender and go on with calls that wait."""
        workspace = ids.Workspace(loan.workspace)
        self._shares.receive(workspace, loan.tokens)
        queue = self._queues[workspace]
        queue.note_loan(loan.tokens)
        self._serve(workspace, queue)
        if not queue.waiting:
            return
        if queue.is_round_over:
            self._end_round(workspace, queue)
        else:
            self._ask(workspace, queue)

    def tick(self, now: float) -> None:
        """Refuse calls that waited too long, and pass over silent lenders.

        Args:
            now: Monotonic time in seconds.
        """
        for workspace, queue in list(self._queues.items()):
            if not queue.waiting:
                continue
            if self._knowledge.may_spend_share(self._members_s):
                self._serve(workspace, queue)
            for call in queue.drop_late(now):
                self._on_refused(call)
            if (
                queue.waiting
                and now >= queue.empty_until
                and now - queue.asked_at > LENDER_SILENT_S
            ):
                self._ask(workspace, queue)

    def _serve(self, workspace: ids.Workspace, queue: _Queue) -> None:
        """Go on with calls for which there are tokens now."""
        while queue.waiting and self._shares.take_again(workspace):
            _, call = queue.waiting.pop(0)
            call.has_token = True
            self._on_taken(call)

    def _wait(self, call: caller_call.CallerCall) -> None:
        """Wait for tokens of another daemon, or of the own part."""
        queue = self._queues[call.workspace]
        now = self._clock.monotonic()
        refill_s = REFILL_WAIT_SHARE * call.aim_s
        if now < queue.empty_until:
            expected = self._refill_per_s(call.workspace) * refill_s
            if len(queue.waiting) + 1 > expected:
                self._on_refused(call)
                return
            queue.waiting.append((now + refill_s, call))
            return
        queue.waiting.append((now + max(BORROW_WAIT_S, refill_s), call))
        if len(queue.waiting) == 1:
            self._ask(call.workspace, queue)

    def _refill_per_s(self, workspace: ids.Workspace) -> float:
        if not self._knowledge.may_spend_share(self._members_s):
            return 0.0
        return self._shares.refill_per_s(workspace)

    def _ask(self, workspace: ids.Workspace, queue: _Queue) -> None:
        """Ask a holder that can be reached."""
        assert self._peers is not None
        tokens = max(self._shares.wanted(workspace), float(len(queue.waiting)))
        message = frames.Borrow(workspace=workspace, tokens=tokens)
        queue.asked_at = self._clock.monotonic()
        lenders = self._shares.lenders(workspace)
        for daemon_id in lenders:
            if self._peers.send(daemon_id, message):
                return
        for daemon_id in lenders[:NEW_LENDERS]:
            # Serves the calls that come next.
            self._peers.connect(daemon_id)
        self._end_round(workspace, queue)

    def _end_round(self, workspace: ids.Workspace, queue: _Queue) -> None:
        refill_per_s = self._refill_per_s(workspace)
        for call in queue.end_round(self._clock.monotonic(), refill_per_s):
            self._on_refused(call)
