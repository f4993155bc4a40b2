"""Tests of the pace of cold and recovering upstreams."""

import math
import random

import pytest

from sassafraswood import clock
from sassafraswood.coordination import upstream_pace
from sassafraswood.models import enums

RATE_PER_S = 8.5
BOUND = RATE_PER_S * 1.5 + 8.0


def make_pace(
    manual_clock, cold_s=3.0, rate_per_s=RATE_PER_S, excess=1.5, slack=8.0
) -> upstream_pace.UpstreamPace:
    """Return a pace with a stated rate, or with changed rules."""
    pace = upstream_pace.UpstreamPace(manual_clock)
    pace.set_rules(
        cold_s=cold_s, rate_per_s=rate_per_s, excess=excess, slack=slack
    )
    return pace


@pytest.mark.parametrize('seed', range(10))
def test_no_second_exceeds_the_bound(seed) -> None:
    """Crowds at an upstream that turns cold and warm; its daemon restarts."""
    source = random.Random(seed)
    manual_clock = clock.ManualClock()
    pace = make_pace(manual_clock)
    starts = []
    cold_steps = cold_starts = 0
    for step in range(6000):
        if step % 1000 == 0:
            # The next process of the daemon knows nothing of these starts.
            pace = make_pace(manual_clock)
            pace.note_process()
        if step % 300 == 0:
            pace.note_cold_time(2.0, is_late=source.random() < 0.5)
        pace.tick()
        calls = int(source.random() < 0.08)
        if pace.is_active:
            cold_steps += 1
            calls = source.choice([0, 0, 1, 40])
        for _ in range(calls):
            if pace.may_start(0):
                pace.note_start(manual_clock.monotonic())
                starts.append(manual_clock.monotonic())
                cold_starts += pace.is_active
        manual_clock.advance(0.01)
    assert BOUND >= max(
        sum(begin <= at <= begin + 1.0 for at in starts) for begin in starts
    )
    # Neither is the upstream left idle.
    assert cold_starts >= 0.8 * RATE_PER_S * 0.01 * cold_steps


def test_new_process_is_cold_until_it_says_otherwise() -> None:
    """What cannot be read changes nothing, and the doubt ends by itself."""
    manual_clock = clock.ManualClock()
    pace = make_pace(manual_clock)
    pace.note_process()
    for left_s in (-1.0, 1e300, math.nan, math.inf):
        assert not pace.note_cold_time(left_s, is_late=True)
    assert pace.reason is enums.PaceReason.UNKNOWN
    pace.note_cold_time(2.0, is_late=False)
    # This report may have been sent before the upstream turned cold.
    pace.note_cold_time(0.0, is_late=True)
    assert pace.reason is enums.PaceReason.COLD
    pace.note_cold_time(0.0, is_late=False)
    assert not pace.is_active
    pace.note_doubt()
    assert pace.is_active
    manual_clock.advance(3.1)
    pace.tick()
    assert not pace.is_active


@pytest.mark.parametrize('rate_per_s', [0.2, 1.0, 300.0])
def test_no_stated_rate_stops_the_calls_for_good(rate_per_s) -> None:
    """Calls start in the end also where the bound leaves no slack."""
    manual_clock = clock.ManualClock()
    pace = make_pace(manual_clock, 3.0, rate_per_s, 1.0, 0.0)
    pace.note_cold_time(60.0, is_late=True)
    pace.note_start(manual_clock.monotonic())
    assert not pace.may_start(0)
    manual_clock.advance(2.0 / rate_per_s + 1e-6)
    assert pace.may_start(0)


def test_nothing_is_limited_where_nothing_is_stated() -> None:
    """Other deployments are served as before."""
    pace = make_pace(clock.ManualClock(), 0.0, 0.0, 0.0, 0.0)
    pace.note_process()
    pace.note_recovery()
    pace.note_cold_time(2.0, is_late=True)
    assert not pace.is_active


def test_recovering_upstream_is_neither_flooded_nor_left_idle() -> None:
    """Failures keep the calls few; good answers raise them in about 1 s."""
    manual_clock = clock.ManualClock()
    pace = make_pace(manual_clock, rate_per_s=0.0)
    pace.set_capacity(64)
    pace.note_recovery()
    ends: list[float] = []
    # The first phase ends with one call in flight.
    for until_s, is_good, expected in ((2.0, False, 4), (1.3, True, 64)):
        most = 0
        until = manual_clock.monotonic() + until_s
        while (now := manual_clock.monotonic()) < until:
            if ends and ends[0] <= now:
                if is_good:
                    pace.note_response(0.15, len(ends))
                else:
                    pace.note_overload()
                ends.pop(0)
            while pace.may_start(len(ends)) and len(ends) < 64:
                ends.append(now + 0.15)
            most = max(most, len(ends))
            manual_clock.advance(0.001)
        assert most == expected
    assert not pace.is_active
