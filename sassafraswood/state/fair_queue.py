"""Queue with importance classes and weighted fair shares of slot time."""

import collections
import heapq
import itertools
from typing import Final, Generic, TypeVar

from sassafraswood.models import enums
from sassafraswood.models import ids

# Calls by which a workspace may catch up after its queue was empty. At low
# call rates a queue is often empty by chance; without this credit the
# workspace would lose its share for that time.
MAX_CREDIT_CALLS: Final = 4.0
# Bounds on the debt of a workspace for slot time used beyond its share, in
# seconds of all slots of the upstream and in calls of the workspace. The
# larger bound applies. Without a bound, a workspace that ran long calls on an
# idle upstream would be starved when load returns.
MAX_DEBT_S: Final = 1.0
MAX_DEBT_CALLS: Final = 4.0
MAX_IDLE_ACCOUNTS: Final = 1024
COST_SMOOTHING_FACTOR: Final = 0.1


class Entry:
    """A call that waits in the queue or runs.

    Attributes:
        weight: Share of slot time relative to the other workspaces.
        deadline: Monotonic time in seconds.
        start_by: Time until which it may wait, as monotonic time in seconds;
            the deadline unless it is set.
        queued_at: Monotonic time in seconds.
        charged_slot_time_s: Slot time charged to the workspace so far in
            seconds.
        sequence: Position in the order of arrival; -1 before it is queued.
    """

    def __init__(
        self,
        *,
        workspace: ids.Workspace | None,
        weight: float,
        importance: enums.Importance,
        deadline: float,
        queued_at: float,
    ) -> None:
        """Create an entry; times are monotonic, in seconds."""
        self.workspace = workspace
        self.weight = weight
        self.importance = importance
        self.deadline = deadline
        self.start_by = deadline
        self.queued_at = queued_at
        self.charged_slot_time_s = 0.0
        self.sequence = -1


EntryT = TypeVar('EntryT', bound=Entry)


class _Account(Generic[EntryT]):
    """Slot time and waiting calls of one workspace in one class.

    Attributes:
        start_tag: Virtual time in seconds at which its next call starts.
        cost_s: Moving average of the slot time of a call; None before the
            first call has ended.
    """

    def __init__(self, start_tag: float) -> None:
        self.start_tag = start_tag
        self.weight = 1.0
        self.cost_s: float | None = None
        self.running = 0
        self.entries: collections.OrderedDict[int, EntryT] = (
            collections.OrderedDict()
        )


class _Class(Generic[EntryT]):
    """Accounts of one importance class.

    Attributes:
        virtual_s: Virtual time, the largest start tag of a started call.
        length: Number of waiting calls.
        purge_threshold: Number of accounts above which idle ones are removed.
    """

    def __init__(self) -> None:
        self.virtual_s = 0.0
        self.length = 0
        self.purge_threshold = MAX_IDLE_ACCOUNTS
        self.accounts: dict[ids.Workspace | None, _Account[EntryT]] = {}
        # The accounts that have waiting calls.
        self.waiting: dict[ids.Workspace | None, _Account[EntryT]] = {}


class FairQueue(Generic[EntryT]):
    """Bounded queue of waiting calls and the slot time that they used.

    Higher importance classes are served first. Inside a class the order is
    start-time fair queuing (Goyal, Vin and Cheng, 1996) over slot time: the
    start tag of a workspace grows by the slot time of its calls divided by
    its weight. A call is charged its expected slot time when it starts, and
    the charge is corrected when it ends. Calls of one workspace keep their
    order of arrival.
    """

    def __init__(self, max_entries: int) -> None:
        """Create an empty queue for at most max_entries calls."""
        self.max_entries = max_entries
        self.slots = 1
        self._classes: dict[enums.Importance, _Class[EntryT]] = {
            importance: _Class()
            for importance in sorted(enums.Importance, reverse=True)
        }
        self._length = 0
        self._sequence = itertools.count()
        self._deadlines: list[tuple[float, int, EntryT]] = []
        self._mean_cost_s = 0.05

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._length

    @property
    def oldest_at(self) -> float | None:
        """Return when the oldest waiting call was queued, or None.

        The time is monotonic, in seconds.
        """
        times = [
            next(iter(account.entries.values())).queued_at
            for cls in self._classes.values()
            for account in cls.waiting.values()
        ]
        return min(times) if times else None

    def push(self, entry: EntryT) -> EntryT | None:
        """Add an entry; return the entry that a full queue displaces, if any.

        The displaced entry may be the new one.
        """
        cls = self._classes[entry.importance]
        account = self._account(entry)
        if not account.entries:
            account.start_tag = max(
                account.start_tag, cls.virtual_s - self._credit_s(account)
            )
            cls.waiting[entry.workspace] = account
        entry.sequence = next(self._sequence)
        account.entries[entry.sequence] = entry
        cls.length += 1
        self._length += 1
        heapq.heappush(
            self._deadlines, (entry.start_by, entry.sequence, entry)
        )
        if self._length <= self.max_entries:
            return None
        displaced = self._find_displaced()
        self.remove(displaced)
        return displaced

    def pop(self) -> EntryT | None:
        """Remove and return the entry to start next, or None if empty."""
        for cls in self._classes.values():
            if not cls.waiting:
                continue
            account = min(cls.waiting.values(), key=self._start_order)
            entry = next(iter(account.entries.values()))
            self.remove(entry)
            return entry
        return None

    def remove(self, entry: EntryT) -> bool:
        """Remove an entry; return whether it was waiting."""
        cls = self._classes[entry.importance]
        account = cls.waiting.get(entry.workspace)
        if (
            account is None
            or account.entries.pop(entry.sequence, None) is None
        ):
            return False
        if not account.entries:
            del cls.waiting[entry.workspace]
        cls.length -= 1
        self._length -= 1
        if len(self._deadlines) > 2 * self._length + 64:
            self._rebuild_deadlines()
        return True

    def remove_all(self) -> list[EntryT]:
        """Remove and return all entries in the order of their start."""
        removed = []
        while (entry := self.pop()) is not None:
            removed.append(entry)
        return removed

    def remove_waiting_since(self, queued_at: float) -> list[EntryT]:
        """Remove and return the entries that were queued before a time."""
        removed = []
        for cls in self._classes.values():
            for account in list(cls.waiting.values()):
                while account.entries:
                    entry = next(iter(account.entries.values()))
                    if entry.queued_at >= queued_at:
                        break
                    self.remove(entry)
                    removed.append(entry)
        return removed

    def remove_expired_entries(self, now: float) -> list[EntryT]:
        """Remove and return the entries that may wait no longer."""
        removed = []
        while self._deadlines and self._deadlines[0][0] < now:
            entry = heapq.heappop(self._deadlines)[2]
            if self.remove(entry):
                removed.append(entry)
        return removed

    def count_ahead(
        self, importance: enums.Importance, workspace: ids.Workspace | None
    ) -> int:
        """Return how many waiting calls would start before a new one.

        The estimate assumes that inside the class each workspace with waiting
        calls starts one call for each call of the given workspace.
        """
        ahead = 0
        for other, cls in self._classes.items():
            if other > importance:
                ahead += cls.length
        own_class = self._classes[importance]
        own = own_class.waiting.get(workspace)
        own_length = len(own.entries) if own is not None else 0
        turns = (own_length + 1) * (len(own_class.waiting) + (own is None))
        return ahead + min(own_class.length, turns - 1)

    def charge_start(self, entry: EntryT) -> None:
        """Charge the workspace the expected slot time of a starting call."""
        cls = self._classes[entry.importance]
        account = self._account(entry)
        account.running += 1
        account.start_tag = max(
            account.start_tag, cls.virtual_s - self._credit_s(account)
        )
        cls.virtual_s = max(cls.virtual_s, account.start_tag)
        self._charge(cls, account, entry, self._expected_cost_s(account))

    def charge_running(self, entry: EntryT, used_s: float) -> None:
        """Charge a running call for slot time beyond its charge so far."""
        if used_s <= entry.charged_slot_time_s:
            return
        cls = self._classes[entry.importance]
        self._charge(cls, self._account(entry), entry, used_s)

    def charge_end(self, entry: EntryT, used_s: float) -> None:
        """Correct the charge of a call that ended after used_s seconds."""
        cls = self._classes[entry.importance]
        account = self._account(entry)
        account.running -= 1
        self._charge(cls, account, entry, used_s)
        self._mean_cost_s += COST_SMOOTHING_FACTOR * (
            used_s - self._mean_cost_s
        )
        if account.cost_s is None:
            account.cost_s = used_s
        account.cost_s += COST_SMOOTHING_FACTOR * (used_s - account.cost_s)
        if len(cls.accounts) > cls.purge_threshold:
            self._remove_idle_accounts(cls)

    def _account(self, entry: EntryT) -> _Account[EntryT]:
        """Return the account of an entry, which is added if missing."""
        cls = self._classes[entry.importance]
        account = cls.accounts.get(entry.workspace)
        if account is None:
            account = _Account(cls.virtual_s)
            cls.accounts[entry.workspace] = account
        account.weight = entry.weight
        return account

    def _expected_cost_s(self, account: _Account[EntryT]) -> float:
        if account.cost_s is None:
            return self._mean_cost_s
        return account.cost_s

    def _credit_s(self, account: _Account[EntryT]) -> float:
        return (
            MAX_CREDIT_CALLS * self._expected_cost_s(account) / account.weight
        )

    def _charge(
        self,
        cls: _Class[EntryT],
        account: _Account[EntryT],
        entry: EntryT,
        used_s: float,
    ) -> None:
        account.start_tag += (
            used_s - entry.charged_slot_time_s
        ) / account.weight
        entry.charged_slot_time_s = used_s
        debt_s = max(
            MAX_DEBT_S * self.slots,
            MAX_DEBT_CALLS * self._expected_cost_s(account),
        )
        account.start_tag = min(
            account.start_tag, cls.virtual_s + debt_s / account.weight
        )

    def _start_order(self, account: _Account[EntryT]) -> tuple[float, int]:
        return account.start_tag, next(iter(account.entries))

    def _find_displaced(self) -> EntryT:
        """Return the newest call of the most over-served workspace.

        Only the lowest class with waiting calls is considered. Waiting calls
        count as if they had run, so a workspace that fills the queue loses
        its own calls and not those of other workspaces.
        """
        for cls in reversed(self._classes.values()):
            if not cls.waiting:
                continue
            account = max(
                cls.waiting.values(),
                key=lambda account: (
                    account.start_tag
                    + len(account.entries)
                    * self._expected_cost_s(account)
                    / account.weight
                ),
            )
            return next(reversed(account.entries.values()))
        raise AssertionError('no call can be displaced from an empty queue')

    def _rebuild_deadlines(self) -> None:
        """Rebuild the heap of deadlines without removed entries."""
        live = []
        for item in self._deadlines:
            entry = item[2]
            account = self._classes[entry.importance].waiting.get(
                entry.workspace
            )
            if account is not None and entry.sequence in account.entries:
                live.append(item)
        heapq.heapify(live)
        self._deadlines = live

    def _remove_idle_accounts(self, cls: _Class[EntryT]) -> None:
        """Remove accounts without calls and without debt."""
        cls.accounts = {
            workspace: account
            for workspace, account in cls.accounts.items()
            if account.entries
            or account.running
            or account.start_tag > cls.virtual_s
        }
        cls.purge_threshold = max(MAX_IDLE_ACCOUNTS, 2 * len(cls.accounts))
