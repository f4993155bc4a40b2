"""Tests of the expected completion of calls at uneven upstreams."""

import pytest

from sassafraswood import clock
from sassafraswood.coordination import completion_estimate

from tests.coordination import test_upstream_choice


def make_uneven(manual_clock):
    """Return a selector, a slow local upstream and two faster remote ones."""
    choice = test_upstream_choice.make_choice(manual_clock)
    candidates = [
        test_upstream_choice.make_candidate('near', load=1.1),
        test_upstream_choice.make_candidate('b1', 'b', load=0.5),
        test_upstream_choice.make_candidate('b2', 'b', load=0.7),
    ]
    for _ in range(30):
        for candidate, elapsed_s in zip(
            candidates, (0.05, 0.025, 0.025), strict=True
        ):
            choice.note_response(candidate, 'read', elapsed_s, is_error=False)
    return choice, candidates


def pick_all(choice, candidates) -> set[str]:
    """Return the daemons that get some of a hundred calls."""
    return {
        choice.pick(candidates, (), 'read').member.daemon_id
        for _ in range(100)
    }


# Pattern: a domain whose upstream is slower than the others, at 0.9 of the
# capacity of all. Each call that leaves its domain is sent twice over a link.
def test_busy_slow_domain_keeps_the_calls_that_need_not_wait() -> None:
    """Calls stay while their wait costs less than the longer way."""
    manual_clock = clock.ManualClock()
    choice, candidates = make_uneven(manual_clock)
    now = manual_clock.monotonic()
    candidates[0].estimate.note_wait(0.003, now)
    assert pick_all(choice, candidates) == {'near'}
    candidates[0].estimate.note_wait(0.03, now)
    assert pick_all(choice, candidates) == {'b1'}


# Pattern: demand that swings, so that the best choice changes often.
def test_spilling_stops_later_than_it_starts() -> None:
    """A domain does not change its choice with each answer."""
    manual_clock = clock.ManualClock()
    choice, candidates = make_uneven(manual_clock)
    now = manual_clock.monotonic()
    near = candidates[0].estimate
    for wait_s, expected in (
        (0.004, {'near'}),
        (0.03, {'b1'}),
        (0.004, {'b1'}),
        (0.001, {'near'}),
    ):
        near.note_wait(wait_s, now)
        assert pick_all(choice, candidates) == expected


# Pattern: all domains are at their peak.
def test_calls_stay_in_their_domain_if_all_make_them_wait() -> None:
    """Slots of other domains are left to their own callers."""
    manual_clock = clock.ManualClock()
    choice, candidates = make_uneven(manual_clock)
    now = manual_clock.monotonic()
    for candidate in candidates:
        candidate.load = 1.2
        candidate.estimate.note_wait(0.01, now)
    assert pick_all(choice, candidates) == {'near'}
    candidates[0].estimate.note_wait(0.06, now)
    assert 'near' not in pick_all(choice, candidates)


# Pattern: even upstreams; the choice is the one of deployments before.
@pytest.mark.parametrize('load', [0.6, 0.9, 1.3])
def test_even_upstreams_are_chosen_as_without_estimates(load) -> None:
    """Reported waits change nothing while all take the same time."""
    picks = []
    for wait_s in (0.0, 0.05):
        manual_clock = clock.ManualClock()
        choice, candidates = make_uneven(manual_clock)
        for candidate in candidates:
            candidate.load = load
            candidate.forget()
            candidate.estimate.note_wait(wait_s, manual_clock.monotonic())
        picks.append([choice.pick(candidates, (), 'read') for _ in range(200)])
        names = [item.member.daemon_id for item in picks[-1]]
        picks[-1] = names
    assert picks[0] == picks[1]
    assert len(set(picks[0])) == (1 if load < 0.85 else 3)


# Pattern: an upstream pauses, and its last answer is old.
def test_old_wait_is_forgotten() -> None:
    """A wait that was reported a second ago hardly counts."""
    estimate = completion_estimate.CompletionEstimate()
    estimate.note_wait(0.1, 10.0)
    assert estimate.wait_s(10.0) == 0.1
    assert estimate.wait_s(11.0) < 0.01
