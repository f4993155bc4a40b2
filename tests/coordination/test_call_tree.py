"""Tests of the inference from deadlines which routes make calls."""

import random

import pytest

from sassafraswood.coordination import call_tree


class Run:
    """A call that runs at an upstream."""

    def __init__(
        self, route: str, deadline: float, urgency: float = 0.5
    ) -> None:
        """Create a run with the attributes that the tree reads."""
        self.route = route
        self.deadline = deadline
        self.urgency = urgency


def simulate_runs(
    *, tree_share: float, in_flight: int, runs: int, seed: int = 1
) -> call_tree.CallTree[Run]:
    """Return a tree after runs of the routes tree (with calls) and leaf."""
    generator = random.Random(seed)
    tree: call_tree.CallTree[Run] = call_tree.CallTree()
    running: list[Run] = []
    now = 100.0
    for _ in range(runs):
        now += 0.5 / in_flight
        route = 'tree' if generator.random() < tree_share else 'leaf'
        run = Run(route, now + generator.uniform(0.6, 1.0))
        tree.start(run)
        running.append(run)
        if route == 'tree':
            for _ in range(4):
                # The deadline loses its fraction of a millisecond in transit.
                tree.note_call(run.deadline - generator.uniform(0.0, 0.001))
        if len(running) > in_flight:
            tree.end(running.pop(0))
    return tree


def test_few_runs_at_once() -> None:
    """With few runs at once, deadlines identify the calling route."""
    tree = simulate_runs(tree_share=0.5, in_flight=20, runs=200)
    assert tree.makes_calls('tree')
    assert not tree.makes_calls('leaf')


def test_many_runs_at_once_match_by_chance() -> None:
    """With 300 runs at once, most deadlines match those of leaves too."""
    tree = simulate_runs(tree_share=0.8, in_flight=300, runs=3000)
    assert tree.makes_calls('tree')
    assert not tree.makes_calls('leaf')


def test_run_with_a_later_deadline_than_its_calls() -> None:
    """Unmatched calls count for the only route that may have made them."""
    tree: call_tree.CallTree[Run] = call_tree.CallTree()
    for index in range(100):
        run = Run('look-up', 106.0 + 0.01 * index)
        tree.start(run)
        tree.note_call(103.0 + 0.01 * index)
        tree.note_call(103.0 + 0.01 * index)
    assert tree.makes_calls('look-up')


def test_matching_run_is_returned() -> None:
    """The call inherits its importance from the run that is returned."""
    tree: call_tree.CallTree[Run] = call_tree.CallTree()
    run = Run('tree', 50.0005)
    tree.start(run)
    assert tree.note_call(50.0001) is run
    tree.end(run)
    assert tree.note_call(50.0001) is None


def test_few_requests_of_other_callers_do_not_count() -> None:
    """Guards against counting requests of other callers on the VM.

    Otherwise the load of other services would limit this upstream.
    """
    tree: call_tree.CallTree[Run] = call_tree.CallTree()
    for index in range(1000):
        run = Run('leaf', 50.0 + index)
        tree.start(run)
        tree.end(run)
        if index % 100 == 0:
            tree.note_call(70.0 + index)
    assert not tree.has_inner_calls


# Load: many calls have a shorter timeout than the runs that make them.
def test_unmatched_calls_have_the_urgency_of_possible_runs() -> None:
    """Guards against unimportant calls that go before known urgent ones.

    Runs that end earlier than the call, and those of routes that make no
    calls, do not count.
    """
    tree = call_tree.CallTree()
    assert tree.unmatched_urgency is None
    for _ in range(call_tree.CLASSIFICATION_RUNS):
        leaf = Run('leaf', 50.0, 1.0)
        tree.start(leaf)
        tree.end(leaf)
    tree.start(Run('leaf', 50.0, 1.0))
    tree.start(Run('short', 10.0, 1.0))
    tree.start(Run('look-up', 60.0, 0.0))
    tree.start(Run('look-up', 61.0, 0.4))
    for _ in range(call_tree.SAMPLE_INTERVAL):
        assert tree.note_call(20.0) is None
    assert tree.unmatched_urgency == pytest.approx(0.2)
