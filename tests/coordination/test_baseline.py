"""Tests of the components without overload control."""

from sassafraswood import clock
from sassafraswood.coordination import baseline
from sassafraswood.models import ids

SERVICE = ids.ServiceName('ordering')


def test_callee_is_limited_by_its_document_only() -> None:
    """Guards against a derived callee limit while control is off."""
    limits = baseline.DocumentCalleeLimits(clock=clock.ManualClock())
    results = [
        limits.acquire(SERVICE, limit=None, total_slots=4) for _ in range(50)
    ]
    assert all(results)
    for _ in results:
        limits.release(SERVICE)
    results = [
        limits.acquire(SERVICE, limit=3, total_slots=4) for _ in range(4)
    ]
    assert results == [True, True, True, False]
