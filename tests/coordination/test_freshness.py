"""Tests of the decision whether keyed calls must be refused."""

import math

import pytest

from lab import gossip
from sassafraswood import clock
from sassafraswood.coordination import freshness
from sassafraswood.models import enums
from sassafraswood.models import ids


def _new(
    daemons: int, domains: int
) -> tuple[freshness.Freshness, clock.ManualClock]:
    manual = clock.ManualClock()
    fresh = freshness.Freshness(
        clock=manual, own_domain=ids.FailureDomain('domain-0')
    )
    fresh.set_known([gossip.member(n, domains) for n in range(daemons)])
    return fresh, manual


def _hear(
    fresh: freshness.Freshness,
    manual: clock.ManualClock,
    domain: int,
    age_s: float | None = None,
    asked_before_s: float = 0.0,
    *,
    is_caught_up: bool = True,
) -> None:
    fresh.note_peer(
        ids.DaemonId(f'daemon-{domain}'),
        ids.FailureDomain(f'domain-{domain}'),
        age_s,
        asked_at=manual.monotonic() - asked_before_s,
        is_caught_up=is_caught_up,
    )


def test_cut_off_daemon_is_stale_after_three_seconds() -> None:
    """Guards against a withdrawn key that works where nobody hears (R5)."""
    fresh, manual = _new(daemons=6, domains=3)
    assert fresh.is_stale()
    fresh.note_log_read(manual.monotonic())
    manual.advance(3.0)
    assert not fresh.is_stale()
    manual.advance(0.1)
    assert fresh.is_stale()
    _hear(fresh, manual, 0)
    assert fresh.is_stale()


def test_outage_of_the_log_alone_stops_nothing() -> None:
    """Guards against refusing all keyed calls while the log is down."""
    fresh, manual = _new(daemons=6, domains=3)
    fresh.note_log_read(manual.monotonic())
    manual.advance(3600.0)
    _hear(fresh, manual, 0)
    _hear(fresh, manual, 2, age_s=3600.0)
    assert not fresh.is_stale()
    manual.advance(3.1)
    assert fresh.is_stale()


def test_half_of_the_domains_is_no_majority() -> None:
    """Guards against both halves of a split fleet going on."""
    fresh, manual = _new(daemons=4, domains=2)
    _hear(fresh, manual, 0)
    assert fresh.is_stale()
    _hear(fresh, manual, 1)
    assert not fresh.is_stale()


@pytest.mark.parametrize(('daemons', 'is_stale'), [(1, False), (2, True)])
def test_single_daemon_continues(daemons: int, is_stale: bool) -> None:
    """Guards against an outage of the log that stops a fleet of one."""
    fresh, _ = _new(daemons=daemons, domains=1)
    assert fresh.is_stale() is is_stale


def test_read_of_a_peer_counts_from_the_question() -> None:
    """Guards against answers that waited while the daemon was suspended."""
    fresh, manual = _new(daemons=6, domains=3)
    _hear(fresh, manual, 1, age_s=0.5, asked_before_s=1.0)
    assert fresh.log_read_age() == pytest.approx(1.5)
    assert not fresh.is_stale()
    manual.advance(600.0)
    # The same peer's answer to a question from before the suspension.
    _hear(fresh, manual, 1, age_s=0.1, asked_before_s=600.0)
    assert fresh.is_stale()


def test_peers_that_know_more_do_not_count() -> None:
    """Guards against a resumed daemon that takes a withdrawn key (R5).

    The answers of its peers come before the records that they tell of.
    """
    fresh, manual = _new(daemons=3, domains=3)
    fresh.note_log_read(manual.monotonic())
    manual.advance(4.0)
    _hear(fresh, manual, 1, age_s=0.5, is_caught_up=False)
    _hear(fresh, manual, 2, age_s=0.5, is_caught_up=False)
    assert fresh.is_stale()
    _hear(fresh, manual, 1, age_s=0.5)
    assert not fresh.is_stale()


@pytest.mark.parametrize('age_s', [math.nan, -1.0, None])
def test_impossible_ages_do_not_count(age_s: float | None) -> None:
    """Guards against a peer's wrong value that looks like a fresh read."""
    fresh, manual = _new(daemons=6, domains=3)
    _hear(fresh, manual, 1, age_s=age_s)
    assert fresh.log_read_age() is None
    _hear(fresh, manual, 1, age_s=0.0, asked_before_s=-5.0)
    assert fresh.log_read_age() is None


def test_left_members_are_not_missed() -> None:
    """Guards against waiting for a domain whose daemons all left."""
    fresh, manual = _new(daemons=4, domains=2)
    fresh.set_known(
        [
            gossip.member(0, 2),
            gossip.member(1, 2, status=enums.MemberStatus.LEFT),
        ]
    )
    assert not fresh.is_stale()
