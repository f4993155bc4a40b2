"""Tests of the budget for what clients hold, where they fill it."""

import dataclasses

from sassafraswood.coordination import client_budget

LIMIT = 1000


@dataclasses.dataclass(eq=False)
class Client:
    """A client whose request is not complete."""

    peer: str
    since: float
    held_bytes: int


def create(*clients: Client) -> client_budget.ClientBudget:
    """Return a budget of which clients hold a part."""
    budget = client_budget.ClientBudget(LIMIT)
    for client in clients:
        budget.add(client)
        assert budget.take(client.held_bytes)
    return budget


# Load: a crowd that stops within its requests, beside an ordinary client.
def test_slowest_requests_are_given_up_first() -> None:
    """As many as are needed; those that have just begun are kept."""
    slow = Client('10.0.0.1', 0.0, 400)
    fast = Client('10.0.0.1', 8.0, 400)
    new = Client('10.0.0.1', 9.9, 200)
    taker = Client('10.0.0.1', 10.0, 0)
    budget = create(slow, fast, new)
    assert not budget.take(300)
    assert budget.find_victims(300, taker, 10.0) == [slow]
    assert budget.evicted_count == 1
    assert budget.find_victims(700, taker, 10.8) == [slow, fast]
    assert budget.find_victims(700, taker, 10.81) == []
    budget.discard(slow)
    assert budget.find_victims(700, taker, 12.0) == []


# Load: one address opens many connections, others few.
def test_address_that_holds_most_is_first() -> None:
    """A client never displaces those of addresses that hold less."""
    few = Client('10.0.0.1', 0.0, 100)
    many = [Client('10.0.0.2', 5.0, 300) for _ in range(3)]
    budget = create(few, *many)
    taker = Client('10.0.0.3', 10.0, 0)
    assert set(budget.find_victims(300, taker, 10.0)) < set(many)
    assert budget.find_victims(300, many[0], 11.0) in (
        [many[1]],
        [many[2]],
    )


# Load: a single request that is larger than the share of all of them.
def test_single_large_request_is_counted_apart() -> None:
    """One at a time is, while others hold little; small ones go on."""
    large, other = Client('a', 0.0, 900), Client('b', 0.0, 50)
    budget = create(large, other)
    budget.max_single_bytes = 2000
    assert not budget.take(300) and budget.take_single(300, large)
    large.held_bytes += 300
    assert not budget.is_exceeded and budget.take(900)
    assert not budget.take_single(900, other)
    assert not budget.take_single(900, large)
    request = object()
    budget.complete_single(large, request)
    budget.end_single(large)
    assert not budget.is_exceeded
    budget.end_single(request)
    assert budget.is_exceeded
