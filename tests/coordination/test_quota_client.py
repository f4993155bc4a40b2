"""Tests of the tokens of the daemon that first receives calls."""

from lab import quota_simulation
from sassafraswood import const
from sassafraswood.models import document
from sassafraswood.models import enums

_KEY = ('status', 'blue')


def _fleet(
    rate: float = 100.0, burst: float = 100.0, clients: int = 1
) -> quota_simulation.Fleet:
    spec = document.WorkspaceSpec(rate=rate, burst=burst)
    fleet = quota_simulation.Fleet(seed=1, clients=clients, specs={_KEY: spec})
    fleet.run(fleet.now + burst / rate + 0.1)
    return fleet


def _offer(fleet: quota_simulation.Fleet, count: int, gap_s: float) -> None:
    for index in range(count):
        fleet.offer(fleet.now + index * gap_s, 0, _KEY)


def _reasons(fleet: quota_simulation.Fleet) -> list[enums.RefusalReason]:
    return [
        call.verdict.reason
        for call in fleet.calls
        if call.verdict is not None and call.verdict.reason is not None
    ]


def test_steady_calls_do_not_wait() -> None:
    """Guards against a request to the owners for each call."""
    fleet = _fleet()
    _offer(fleet, 400, gap_s=0.02)
    fleet.run(fleet.now + 9.0)
    late = fleet.calls[50:]
    waited = [call for call in late if call.done_at != call.arrived_at]
    assert not _reasons(fleet)
    assert len(waited) <= len(late) // 50


def test_frozen_daemon_cannot_spend_expired_tokens() -> None:
    """Guards against tokens that are spent after the owner granted them again.

    The holder of the tokens is frozen until they have expired.
    """
    fleet = _fleet()
    _offer(fleet, 50, gap_s=0.02)
    fleet.run(fleet.now + 1.0)
    client = fleet.clients[0]
    client.paused_until = fleet.now + const.QUOTA_TOKEN_LIFETIME_S
    fleet.run(client.paused_until)
    for partition in range(const.PARTITIONS_PER_SERVICE):
        fleet.end_lease(_KEY[0], partition)
    _offer(fleet, 10, gap_s=0.0)
    before = len(fleet.list_grant_times(_KEY))
    fleet.run(fleet.now + 0.5)
    assert len(fleet.list_grant_times(_KEY)) == before


def test_late_answer_brings_no_tokens() -> None:
    """Guards against a grant whose tokens expired while it was in flight."""
    fleet = _fleet()
    fleet.network.min_delay_s = fleet.network.max_delay_s = 0.6
    _offer(fleet, 1, gap_s=0.0)
    fleet.run(fleet.now + 1.5)
    fleet.network.loss_probability = 1.0
    _offer(fleet, 1, gap_s=0.0)
    fleet.run(fleet.now + 1.0)
    assert fleet.list_grant_times(_KEY) == []


def test_refusal_names_a_silent_owner() -> None:
    """Guards against RATE_EXCEEDED while a silent owner may have tokens."""
    fleet = _fleet(burst=9.0)
    fleet.owner(_KEY[0], 1).is_alive = False
    _offer(fleet, 30, gap_s=0.0)
    fleet.run(fleet.now + 0.3)
    assert set(_reasons(fleet)) == {enums.RefusalReason.QUOTA_UNREACHABLE}
    assert len(fleet.list_grant_times(_KEY)) >= 6


# Guards against 429 rate_exceeded when all owners have just ended their terms.
def test_refusal_names_owners_that_ended_their_terms() -> None:
    """Owners that gave tokens until now do not own their partitions."""
    fleet = _fleet(rate=100.0, burst=12.0)
    _offer(fleet, 1, gap_s=0.0)
    fleet.run(fleet.now + 0.02)
    for partition in range(const.PARTITIONS_PER_SERVICE):
        fleet.end_lease(_KEY[0], partition)
    _offer(fleet, 60, gap_s=0.0)
    fleet.run(fleet.now + 0.3)
    assert set(_reasons(fleet)) == {enums.RefusalReason.QUOTA_UNREACHABLE}


def test_refusal_names_the_rate_when_all_owners_are_empty() -> None:
    """Guards against QUOTA_UNREACHABLE while all owners reply."""
    fleet = _fleet(rate=10.0, burst=9.0)
    _offer(fleet, 30, gap_s=0.0)
    fleet.run(fleet.now + 0.3)
    assert set(_reasons(fleet)) == {enums.RefusalReason.RATE_EXCEEDED}
    assert len(fleet.list_grant_times(_KEY)) >= 9


def test_refusal_is_repeated_for_a_bounded_time() -> None:
    """Guards against refusals without a request once tokens are available."""
    fleet = _fleet(rate=10.0, burst=9.0)
    _offer(fleet, 30, gap_s=0.0)
    fleet.run(fleet.now + 0.1)
    sent = fleet.message_count
    _offer(fleet, 1, gap_s=0.0)
    fleet.run(fleet.now + const.QUOTA_REFUSAL_CACHE_S + 0.02)
    _offer(fleet, 1, gap_s=0.0)
    fleet.run(fleet.now + 0.1)
    assert fleet.message_count > sent


def test_waiting_calls_are_served_in_order_and_once() -> None:
    """Guards against a late call that takes the token of an earlier one."""
    fleet = _fleet(rate=50.0, burst=9.0)
    _offer(fleet, 40, gap_s=0.004)
    fleet.run(fleet.now + 1.0)
    assert {call.verdicts for call in fleet.calls} == {1}
    granted = [call.done_at for call in fleet.calls if call.verdict.granted]
    assert granted == sorted(granted)


def test_smallest_burst_is_collected_from_three_owners() -> None:
    """Guards against daemons that block each other with thirds of a token."""
    fleet = _fleet(rate=1.0, burst=1.0, clients=2)
    for client in range(2):
        fleet.offer(fleet.now, client, _KEY)
    fleet.run(fleet.now + 0.2)
    assert len(fleet.list_grant_times(_KEY)) == 1
    assert len(_reasons(fleet)) == 1


def test_unused_tokens_go_back_when_demand_falls() -> None:
    """Guards against tokens that expire while other daemons need them."""
    fleet = _fleet(clients=2)
    _offer(fleet, 90, gap_s=0.01)
    fleet.run(fleet.now + 0.9)
    fleet.run(fleet.now + 0.5)
    for _ in range(95):
        fleet.offer(fleet.now, 1, _KEY)
    fleet.run(fleet.now + 0.2)
    assert not _reasons(fleet)
