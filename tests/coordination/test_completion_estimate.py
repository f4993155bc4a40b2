"""Tests of the expected completion of calls at uneven upstreams."""

import pytest

from sassafraswood import clock

from tests.coordination import test_upstream_choice


def make_uneven():
    """Return a selector, a slow local and two remote upstreams, and now."""
    manual_clock = clock.ManualClock()
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
    return choice, candidates, manual_clock.monotonic()


def pick_all(choice, candidates) -> set[str]:
    """Return the daemons that get some of a hundred calls."""
    return {
        choice.pick(candidates, (), 'read').member.daemon_id
        for _ in range(100)
    }


# Pattern: a domain whose upstream is slower than the others, at 0.9 of the
# capacity of all, and demand that swings.
def test_calls_leave_a_slow_domain_only_to_save_time() -> None:
    """Spilling stops later than it starts, not with each answer."""
    choice, candidates, now = make_uneven()
    for wait_s, expected in (
        (0.004, {'near'}),
        (0.03, {'b1'}),
        (0.004, {'b1'}),
        (0.001, {'near'}),
    ):
        candidates[0].estimate.note_wait(wait_s, now)
        assert pick_all(choice, candidates) == expected


# Pattern: all domains are at their peak.
def test_calls_stay_in_their_domain_if_all_make_them_wait() -> None:
    """Slots of other domains are left to their own callers."""
    choice, candidates, now = make_uneven()
    for candidate in candidates:
        candidate.load = 1.2
        candidate.estimate.note_wait(0.01, now)
    assert pick_all(choice, candidates) == {'near'}
    candidates[0].estimate.note_wait(0.06, now)
    assert 'near' not in pick_all(choice, candidates)
    assert candidates[0].estimate.wait_s(now + 1.0) < 0.01


# Pattern: even upstreams; the choice is the one of deployments before.
@pytest.mark.parametrize('load', [0.6, 0.9, 1.3])
def test_even_upstreams_are_chosen_as_without_estimates(load) -> None:
    """Reported waits change nothing while all take the same time."""
    picks = []
    for wait_s in (0.0, 0.05):
        choice, candidates, now = make_uneven()
        for candidate in candidates:
            candidate.load = load
            candidate.forget()
            candidate.estimate.note_wait(wait_s, now)
        drawn = [choice.pick(candidates, (), 'read') for _ in range(200)]
        picks.append([item.member.daemon_id for item in drawn])
    assert picks[0] == picks[1]
    assert len(set(picks[0])) == (1 if load < 0.85 else 3)
