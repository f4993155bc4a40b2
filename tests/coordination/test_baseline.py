"""Tests of the comparison with control off."""

from sassafraswood import clock
from sassafraswood.coordination import baseline
from sassafraswood.models import ids

SERVICE = ids.ServiceName('ordering')


def test_callee_is_limited_by_its_document_only() -> None:
    """Guards against a comparison that has a part of the control on."""
    limits = baseline.DocumentCalleeLimits(clock=clock.ManualClock())
    taken = [
        limits.acquire(SERVICE, limit=None, total_slots=4) for _ in range(50)
    ]
    assert all(taken)
    for _ in taken:
        limits.release(SERVICE)
    taken = [limits.acquire(SERVICE, limit=3, total_slots=4) for _ in range(4)]
    assert taken == [True, True, True, False]
