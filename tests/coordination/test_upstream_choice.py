"""Tests of the choice of an upstream."""

import collections
import random

from sassafraswood import clock
from sassafraswood.coordination import upstream_choice
from sassafraswood.models import fleet
from sassafraswood.models import ids

OWN = ids.FailureDomain('a')


def make_candidate(name: str, domain: str = 'a', **known):
    """Return a daemon that takes calls."""
    candidate = upstream_choice.Candidate(
        fleet.Member(
            daemon_id=ids.DaemonId(name),
            address=('10.0.0.1', 7000),
            failure_domain=ids.FailureDomain(domain),
            service=ids.ServiceName('ordering'),
        )
    )
    candidate.is_reachable = True
    candidate.is_serving = True
    for field, value in known.items():
        setattr(candidate, field, value)
    return candidate


def make_choice(now: clock.ManualClock | None = None):
    """Return a choice with a fixed seed."""
    return upstream_choice.UpstreamChoice(
        clock=now or clock.ManualClock(),
        random=random.Random(1),
        domain=OWN,
    )


def shares(choice, candidates, draws: int = 2000) -> dict[str, float]:
    """Return the share of calls of each daemon."""
    counts = collections.Counter(
        choice.pick(candidates).member.daemon_id for _ in range(draws)
    )
    return {
        candidate.member.daemon_id: counts[candidate.member.daemon_id] / draws
        for candidate in candidates
    }


def test_own_failure_domain_first() -> None:
    """While it has room, no call leaves it."""
    near = make_candidate('near', load=0.5)
    far = make_candidate('far', 'b', load=0.1)
    assert shares(make_choice(), [near, far])['near'] == 1.0


def test_full_domain_is_left() -> None:
    """Calls go where there is room."""
    near = make_candidate('near', load=2.0)
    far = make_candidate('far', 'b', load=0.5)
    assert shares(make_choice(), [near, far])['far'] > 0.6


def test_slow_upstream_gets_probes_only() -> None:
    """One that is twelve times slower is left, but not forgotten."""
    now = clock.ManualClock()
    slow = make_candidate('slow', load=0.9)
    fast = make_candidate('fast', 'b', load=0.9)
    choice = make_choice(now)
    for _ in range(20):
        choice.note_answer(slow, 'read', 0.48, is_error=False)
        choice.note_answer(fast, 'read', 0.04, is_error=False)
    assert 0.0 < shares(choice, [slow, fast])['slow'] < 0.03


def test_stopped_and_lost_daemons_get_nothing() -> None:
    """Only one that can be reached and takes calls is chosen."""
    stopped = make_candidate('stopped', is_serving=False)
    lost = make_candidate('lost', is_reachable=False)
    assert make_choice().pick([stopped, lost]) is None
    left = make_candidate('left')
    assert make_choice().pick([stopped, lost, left]) is left


def test_failed_daemon_is_avoided_for_a_while() -> None:
    """It comes back by itself, and only others are worse than nothing."""
    now = clock.ManualClock()
    failed = make_candidate('failed')
    other = make_candidate('other', 'b', load=3.0)
    failed.note_failure(now.monotonic())
    choice = make_choice(now)
    assert choice.pick([failed, other]) is other
    assert choice.pick([failed]) is failed
    now.advance(0.3)
    assert shares(choice, [failed, other])['failed'] > 0.5


def test_calls_of_different_length_do_not_make_an_upstream_slow() -> None:
    """The near one gets the long calls too, the far one only short ones."""
    now = clock.ManualClock()
    near = make_candidate('near', load=0.5)
    far = make_candidate('far', 'b', load=0.5)
    choice = make_choice(now)
    for _ in range(20):
        choice.note_answer(near, 'book', 0.11, is_error=False)
        choice.note_answer(near, 'peek', 0.015, is_error=False)
        choice.note_answer(far, 'peek', 0.015, is_error=False)
    assert shares(choice, [near, far])['near'] == 1.0


def test_slower_machine_of_the_own_domain_is_used() -> None:
    """Upstreams of one service differ in speed."""
    now = clock.ManualClock()
    near = make_candidate('near', load=0.5)
    far = make_candidate('far', 'b', load=0.5)
    choice = make_choice(now)
    for _ in range(50):
        choice.note_answer(near, 'peek', 0.056, is_error=False)
        choice.note_answer(far, 'peek', 0.024, is_error=False)
    assert shares(choice, [near, far])['near'] == 1.0


def test_full_domains_are_balanced_with_the_near_one_first() -> None:
    """At equal load the way to another failure domain is not taken."""
    near = make_candidate('near', load=1.2)
    far = make_candidate('far', 'b', load=1.2)
    busy = make_candidate('busy', load=1.8)
    assert shares(make_choice(), [near, far])['near'] > 0.6
    assert shares(make_choice(), [busy, far])['far'] > 0.5


def test_upstream_that_fails_a_part_of_its_calls_gets_few() -> None:
    """Its errors are fast, and every second answer is good."""
    now = clock.ManualClock()
    grey = make_candidate('grey')
    sound = make_candidate('sound', 'b')
    choice = make_choice(now)
    for index in range(40):
        is_error = index % 2 == 0
        elapsed_s = 0.001 if is_error else 0.05
        choice.note_answer(grey, 'read', elapsed_s, is_error=is_error)
        choice.note_answer(sound, 'read', 0.05, is_error=False)
    assert 0.0 < shares(choice, [grey, sound])['grey'] < 0.4
    now.advance(12.0)
    assert shares(choice, [grey, sound])['grey'] == 1.0


def test_errors_that_all_make_are_of_no_one() -> None:
    """A service below fails; there is no better upstream."""
    now = clock.ManualClock()
    near = make_candidate('near')
    far = make_candidate('far', 'b')
    choice = make_choice(now)
    for index in range(40):
        for candidate in (near, far):
            choice.note_answer(
                candidate, 'read', 0.05, is_error=index % 2 == 0
            )
    assert shares(choice, [near, far])['near'] == 1.0


def test_upstream_that_does_not_answer_is_left_before_it_has() -> None:
    """Its first slow answer comes twelve times later than usual."""
    now = clock.ManualClock()
    mute = make_candidate('mute')
    sound = make_candidate('sound', 'b')
    choice = make_choice(now)
    for candidate in (mute, sound):
        for _ in range(20):
            choice.note_answer(candidate, 'read', 0.1, is_error=False)
    for call_id in range(4):
        choice.note_start(mute, call_id, 'read')
    assert shares(choice, [mute, sound])['mute'] == 1.0
    now.advance(0.6)
    assert shares(choice, [mute, sound])['mute'] < 0.1
    for call_id in range(4):
        mute.note_end(call_id)
    assert mute.outstanding == 0
    assert shares(choice, [mute, sound])['mute'] == 1.0


def test_daemon_says_that_its_upstream_is_slow() -> None:
    """Not each caller has to lose calls to find out."""
    near = make_candidate('near')
    far = make_candidate('far', 'b')
    choice = make_choice()
    near.note_health(6.0, 0.0)
    assert shares(choice, [near, far])['near'] < 0.1
    near.note_health(1.2, 0.0)
    assert shares(choice, [near, far])['near'] == 1.0
    near.note_health(1.0, 0.5)
    assert shares(choice, [near, far])['near'] < 0.2
