"""Tests of what deadlines tell about calls of an upstream."""

import random

from sassafraswood.coordination import call_tree


class Run:
    """A call that runs."""

    def __init__(self, route: str, deadline: float) -> None:
        """Take what the tree looks at."""
        self.route = route
        self.deadline = deadline


def play(
    *, tree_share: float, in_flight: int, runs: int, seed: int = 1
) -> call_tree.CallTree[Run]:
    """Return a tree after runs of a route with calls and of one without."""
    chance = random.Random(seed)
    tree: call_tree.CallTree[Run] = call_tree.CallTree()
    running: list[Run] = []
    now = 100.0
    for _ in range(runs):
        now += 0.5 / in_flight
        route = 'tree' if chance.random() < tree_share else 'leaf'
        run = Run(route, now + chance.uniform(0.6, 1.0))
        tree.start(run)
        running.append(run)
        if route == 'tree':
            for _ in range(4):
                # The rest of a millisecond is lost on the way.
                tree.note_call(run.deadline - chance.uniform(0.0, 0.001))
        if len(running) > in_flight:
            tree.end(running.pop(0))
    return tree


def test_few_runs_at_once() -> None:
    """Deadlines tell the route that makes calls."""
    tree = play(tree_share=0.5, in_flight=20, runs=200)
    assert tree.makes_calls('tree')
    assert not tree.makes_calls('leaf')


def test_many_runs_at_once_meet_by_chance() -> None:
    """With 300 runs in a second most deadlines meet those of leaves too."""
    tree = play(tree_share=0.8, in_flight=300, runs=3000)
    assert tree.makes_calls('tree')
    assert not tree.makes_calls('leaf')


def test_run_that_outlasts_its_calls() -> None:
    """Calls that match no run are those of the only route that could."""
    tree: call_tree.CallTree[Run] = call_tree.CallTree()
    for index in range(100):
        run = Run('look-up', 106.0 + 0.01 * index)
        tree.start(run)
        tree.note_call(103.0 + 0.01 * index)
        tree.note_call(103.0 + 0.01 * index)
    assert tree.makes_calls('look-up')


def test_match_names_the_run() -> None:
    """Importance is inherited from it."""
    tree: call_tree.CallTree[Run] = call_tree.CallTree()
    run = Run('tree', 50.0005)
    tree.start(run)
    assert tree.note_call(50.0001) is run
    tree.end(run)
    assert tree.note_call(50.0001) is None


def test_few_requests_of_callers_are_no_calls() -> None:
    """They would bring the load of other services here."""
    tree: call_tree.CallTree[Run] = call_tree.CallTree()
    for index in range(1000):
        run = Run('leaf', 50.0 + index)
        tree.start(run)
        tree.end(run)
        if index % 100 == 0:
            tree.note_call(70.0 + index)
    assert not tree.is_calling
