"""Tests of the staleness check for calls with a key."""

import math

import pytest

from lab import gossip
from sassafraswood import clock
from sassafraswood.coordination import freshness
from sassafraswood.models import enums
from sassafraswood.models import ids


def _new_freshness(
    daemons: int, domains: int
) -> tuple[freshness.Freshness, clock.ManualClock]:
    manual_clock = clock.ManualClock()
    check = freshness.Freshness(
        clock=manual_clock, own_domain=ids.FailureDomain('domain-0')
    )
    check.set_known_members(
        [gossip.make_member(n, domains) for n in range(daemons)]
    )
    return check, manual_clock


def _record_reply(
    check: freshness.Freshness,
    manual_clock: clock.ManualClock,
    domain: int,
    age_s: float | None = None,
    request_age_s: float = 0.0,
    *,
    is_caught_up: bool = True,
) -> None:
    check.note_peer(
        ids.DaemonId(f'daemon-{domain}'),
        ids.FailureDomain(f'domain-{domain}'),
        age_s,
        asked_at=manual_clock.monotonic() - request_age_s,
        is_caught_up=is_caught_up,
    )


def test_cut_off_daemon_is_stale_after_three_seconds() -> None:
    """Guards against a withdrawn key that works on a daemon cut off (R5)."""
    check, manual_clock = _new_freshness(daemons=6, domains=3)
    assert check.is_stale()
    check.note_log_read(manual_clock.monotonic())
    manual_clock.advance(3.0)
    assert not check.is_stale()
    manual_clock.advance(0.1)
    assert check.is_stale()
    _record_reply(check, manual_clock, 0)
    assert check.is_stale()


def test_outage_of_the_log_alone_is_not_stale() -> None:
    """Guards against refusal of all calls with a key while the log is down."""
    check, manual_clock = _new_freshness(daemons=6, domains=3)
    check.note_log_read(manual_clock.monotonic())
    manual_clock.advance(3600.0)
    _record_reply(check, manual_clock, 0)
    _record_reply(check, manual_clock, 2, age_s=3600.0)
    assert not check.is_stale()
    manual_clock.advance(3.1)
    assert check.is_stale()


def test_half_of_the_domains_is_no_majority() -> None:
    """Guards against two halves of a fleet that both accept keys.

    A network partition separates them.
    """
    check, manual_clock = _new_freshness(daemons=4, domains=2)
    _record_reply(check, manual_clock, 0)
    assert check.is_stale()
    _record_reply(check, manual_clock, 1)
    assert not check.is_stale()


@pytest.mark.parametrize(('daemons', 'is_stale'), [(1, False), (2, True)])
def test_single_daemon_is_not_stale(daemons: int, is_stale: bool) -> None:
    """Guards against refusals by the only daemon while the log is down."""
    check, _ = _new_freshness(daemons=daemons, domains=1)
    assert check.is_stale() is is_stale


def test_read_of_a_peer_counts_as_of_the_request() -> None:
    """Guards against counting replies that waited during a suspension."""
    check, manual_clock = _new_freshness(daemons=6, domains=3)
    _record_reply(check, manual_clock, 1, age_s=0.5, request_age_s=1.0)
    assert check.log_read_age() == pytest.approx(1.5)
    assert not check.is_stale()
    manual_clock.advance(600.0)
    # The reply of the same peer to a request sent before the suspension.
    _record_reply(check, manual_clock, 1, age_s=0.1, request_age_s=600.0)
    assert check.is_stale()


def test_peers_with_more_records_do_not_count() -> None:
    """Guards against a resumed daemon that accepts a withdrawn key (R5).

    The replies of its peers arrive before the records that they refer to.
    """
    check, manual_clock = _new_freshness(daemons=3, domains=3)
    check.note_log_read(manual_clock.monotonic())
    manual_clock.advance(4.0)
    _record_reply(check, manual_clock, 1, age_s=0.5, is_caught_up=False)
    _record_reply(check, manual_clock, 2, age_s=0.5, is_caught_up=False)
    assert check.is_stale()
    _record_reply(check, manual_clock, 1, age_s=0.5)
    assert not check.is_stale()


@pytest.mark.parametrize('age_s', [math.nan, -1.0, None])
def test_impossible_ages_do_not_count(age_s: float | None) -> None:
    """Guards against a wrong age from a peer that counts as a recent read."""
    check, manual_clock = _new_freshness(daemons=6, domains=3)
    _record_reply(check, manual_clock, 1, age_s=age_s)
    assert check.log_read_age() is None
    _record_reply(check, manual_clock, 1, age_s=0.0, request_age_s=-5.0)
    assert check.log_read_age() is None


def test_domain_without_members_is_not_required() -> None:
    """Guards against refusals because of a domain whose daemons have left."""
    check, manual_clock = _new_freshness(daemons=4, domains=2)
    check.set_known_members(
        [
            gossip.make_member(0, 2),
            gossip.make_member(1, 2, status=enums.MemberStatus.LEFT),
        ]
    )
    assert not check.is_stale()
