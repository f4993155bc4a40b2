"""Tests of the fair queue."""

import random

from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.state import fair_queue

NORMAL = enums.Importance.NORMAL


def _entry(
    workspace: str,
    *,
    importance: enums.Importance = NORMAL,
    weight: float = 1.0,
    deadline: float = 100.0,
    queued_at: float = 0.0,
) -> fair_queue.Entry:
    return fair_queue.Entry(
        workspace=ids.Workspace(workspace),
        weight=weight,
        importance=importance,
        deadline=deadline,
        queued_at=queued_at,
    )


def _queue(max_entries: int = 100) -> fair_queue.FairQueue[fair_queue.Entry]:
    return fair_queue.FairQueue(max_entries)


def _serve(
    queue: fair_queue.FairQueue[fair_queue.Entry],
    costs: dict[str, float],
    weights: dict[str, float],
    calls: int,
) -> dict[str, float]:
    """Serve backlogged workspaces one call at a time.

    Returns:
        The slot time of each workspace in seconds.
    """
    used = dict.fromkeys(costs, 0.0)
    for name in costs:
        queue.push(_entry(name, weight=weights[name]))
    for _ in range(calls):
        entry = queue.pop()
        assert entry is not None and entry.workspace is not None
        name = entry.workspace
        queue.push(_entry(name, weight=weights[name]))
        queue.charge_start(entry)
        queue.charge_end(entry, costs[name])
        used[name] += costs[name]
    return used


def test_higher_classes_go_first_and_workspaces_keep_order() -> None:
    """Guards against priority inversion and reordering of one workspace."""
    queue = _queue()
    first = _entry('a')
    second = _entry('a')
    critical = _entry('a', importance=enums.Importance.CRITICAL)
    for entry in (first, second, critical):
        assert queue.push(entry) is None
    assert [queue.pop() for _ in range(4)] == [critical, first, second, None]


def test_shares_follow_slot_time_and_weight() -> None:
    """Guards against sharing by number of calls instead of slot time."""
    costs = {'short': 0.01, 'long': 0.1, 'heavy': 0.02}
    weights = {'short': 1.0, 'long': 1.0, 'heavy': 2.0}
    used = _serve(_queue(), costs, weights, 4000)
    unit = sum(used.values()) / 4
    assert abs(used['short'] / unit - 1) < 0.05
    assert abs(used['long'] / unit - 1) < 0.05
    assert abs(used['heavy'] / unit - 2) < 0.1


def test_running_calls_are_charged_before_they_end() -> None:
    """Guards against charging calls only when they end.

    A workspace could then start many calls before the first one ends.
    """
    queue = _queue()
    for name in ('a', 'b'):
        for _ in range(10):
            queue.push(_entry(name))
    started = []
    for _ in range(10):
        entry = queue.pop()
        assert entry is not None
        queue.charge_start(entry)
        started.append(entry.workspace)
    assert started.count(ids.Workspace('a')) == 5


def test_idle_workspace_gets_bounded_credit() -> None:
    """Guards against unbounded credit after idle time.

    A workspace that was idle for long would then take all slots.
    """
    queue = _queue()
    costs = {'busy': 0.05}
    _serve(queue, costs, {'busy': 1.0}, 1000)
    used = _serve(
        queue, {'busy': 0.05, 'idle': 0.05}, {'busy': 1, 'idle': 1}, 40
    )
    assert used['idle'] <= 0.05 * (20 + fair_queue.MAX_CREDIT_CALLS + 1)


def test_debt_of_long_calls_is_bounded() -> None:
    """Guards against unbounded debt.

    Long calls on an idle upstream would then starve the workspace later.
    """
    queue = _queue()
    long_call = _entry('hog')
    queue.charge_start(long_call)
    queue.charge_end(long_call, 3600.0)
    for _ in range(200):
        short_call = _entry('hog')
        queue.charge_start(short_call)
        queue.charge_end(short_call, 0.05)
    used = _serve(
        queue, {'hog': 0.05, 'other': 0.05}, {'hog': 1, 'other': 1}, 200
    )
    assert used['hog'] >= 0.05 * 50


def test_full_queue_displaces_lowest_and_most_over_served() -> None:
    """Guards against displacing important calls or small workspaces."""
    queue = _queue(max_entries=4)
    for _ in range(3):
        queue.push(_entry('large'))
    low = _entry('small', importance=enums.Importance.LOW)
    queue.push(low)
    assert queue.push(_entry('small')) is low
    displaced = queue.push(_entry('other'))
    assert displaced is not None and displaced.workspace == 'large'
    late = _entry('any', importance=enums.Importance.LOW)
    assert queue.push(late) is late
    assert len(queue) == 4


def test_removal_keeps_the_count() -> None:
    """Guards against entries that are lost or kept after their removal."""
    rng = random.Random(7)
    queue = _queue(max_entries=50)
    waiting: set[fair_queue.Entry] = set()
    now = 0.0
    for _ in range(5000):
        now += 0.01
        action = rng.random()
        removed: list[fair_queue.Entry | None] = []
        if action < 0.6:
            entry = _entry(
                f'w{rng.randrange(5)}',
                importance=rng.choice(list(enums.Importance)),
                deadline=now + rng.random(),
                queued_at=now,
            )
            waiting.add(entry)
            removed = [queue.push(entry)]
        elif action < 0.8:
            removed = [queue.pop()]
        elif action < 0.85 and waiting:
            entry = rng.choice(sorted(waiting, key=lambda e: e.sequence))
            assert queue.remove(entry)
            assert not queue.remove(entry)
            removed = [entry]
        elif action < 0.9:
            removed = [*queue.remove_expired_entries(now)]
            assert all(e is None or e.deadline < now for e in removed)
        else:
            removed = [*queue.remove_waiting_since(now - 0.5)]
        waiting -= {entry for entry in removed if entry is not None}
        assert len(queue) == len(waiting) <= 50
    assert set(queue.remove_all()) == waiting


def test_idle_accounts_are_removed() -> None:
    """Guards against accounts that stay for each workspace ever seen."""
    queue = _queue()
    for number in range(5000):
        entry = _entry(f'w{number}')
        queue.charge_start(entry)
        queue.charge_end(entry, 0.0)
    accounts = queue._classes[NORMAL].accounts
    assert len(accounts) <= fair_queue.MAX_IDLE_ACCOUNTS + 1
