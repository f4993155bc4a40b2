"""Calls that wait for tokens of the limit of their workspace."""

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
# A lender that is silent for this time, in seconds, is passed over; ten times
# an exchange.
LENDER_SILENT_S: Final = 0.02
# After this many empty answers in a row a workspace is refused at once for
# a moment, so that a flood does not become a flood of messages. At 0.6 of a
# rate of two a second, three answers were empty for 3 in 1,000 requests.
EMPTY_LOANS: Final = 6
EMPTY_MEMORY_S: Final = 0.05
# Holders that are connected to when none of a limit is.
NEW_LENDERS: Final = 2


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
        self._waiting: dict[
            ids.Workspace, list[tuple[float, caller_call.CallerCall]]
        ] = {}
        self._empty_until: dict[ids.Workspace, float] = {}
        self._empty_count: dict[ids.Workspace, int] = {}
        self._asked_at: dict[ids.Workspace, float] = {}

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
        if loan.tokens > 0.0:
            self._empty_count[workspace] = 0
        waiting = self._waiting.get(workspace, [])
        while waiting and self._shares.take_again(workspace):
            _, call = waiting.pop(0)
            call.has_token = True
            self._on_taken(call)
        if not waiting:
            return
        if loan.tokens <= 0.0:
            empty = self._empty_count.get(workspace, 0) + 1
            self._empty_count[workspace] = empty
            if empty >= EMPTY_LOANS:
                self._end(workspace)
                return
        self._ask(workspace)

    def tick(self, now: float) -> None:
        """Refuse calls that waited too long.

        Args:
            now: Monotonic time in seconds.
        """
        for workspace, waiting in list(self._waiting.items()):
            late = [call for until, call in waiting if until <= now]
            self._waiting[workspace] = [
                item for item in waiting if item[0] > now
            ]
            for call in late:
                self._on_refused(call)
            asked_at = self._asked_at.get(workspace, now)
            if self._waiting[workspace] and now - asked_at > LENDER_SILENT_S:
                self._ask(workspace)

    def _wait(self, call: caller_call.CallerCall) -> None:
        """Wait for tokens of another daemon."""
        workspace = call.workspace
        now = self._clock.monotonic()
        if now < self._empty_until.get(workspace, 0.0):
            self._on_refused(call)
            return
        waiting = self._waiting.setdefault(workspace, [])
        waiting.append((now + BORROW_WAIT_S, call))
        if len(waiting) == 1:
            self._ask(workspace)

    def _ask(self, workspace: ids.Workspace) -> None:
        """Ask a holder that can be reached."""
        assert self._peers is not None
        tokens = max(
            self._shares.wanted(workspace),
            float(len(self._waiting.get(workspace, []))),
        )
        message = frames.Borrow(workspace=workspace, tokens=tokens)
        self._asked_at[workspace] = self._clock.monotonic()
        lenders = self._shares.lenders(workspace)
        for daemon_id in lenders:
            if self._peers.send(daemon_id, message):
                return
        for daemon_id in lenders[:NEW_LENDERS]:
            # Serves the calls that come next.
            self._peers.connect(daemon_id)
        self._end(workspace)

    def _end(self, workspace: ids.Workspace) -> None:
        now = self._clock.monotonic()
        self._empty_until[workspace] = now + EMPTY_MEMORY_S
        self._empty_count[workspace] = 0
        for _, call in self._waiting.pop(workspace, []):
            self._on_refused(call)
