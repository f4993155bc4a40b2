"""Tests of the token bucket."""

import hypothesis
from hypothesis import strategies
import pytest

from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.state import token_bucket

_HOLDER = records.Holder(
    daemon_id=ids.DaemonId('a'), incarnation=ids.Incarnation(1)
)
_OTHER = records.Holder(
    daemon_id=ids.DaemonId('a'), incarnation=ids.Incarnation(2)
)


def _bucket(*, level: float = 0.0) -> token_bucket.TokenBucket:
    bucket = token_bucket.TokenBucket(rate=10.0, share=5.0, now=0.0)
    bucket.advance(level / 10.0)
    return bucket


def _grant(bucket: token_bucket.TokenBucket, until: float) -> None:
    bucket.grant(1, holder=_HOLDER, tokens=5.0, expires_at=until)


def test_refill_stops_while_tokens_are_outstanding() -> None:
    """Guards against a second burst while the first may still be spent."""
    bucket = _bucket(level=5.0)
    _grant(bucket, until=2.0)
    bucket.advance(1.9)
    assert (bucket.level, bucket.outstanding) == (0.0, 5.0)


def test_late_refill_counts_only_the_time_after_expiry() -> None:
    """Guards against refill for the time before the grant expired."""
    bucket = _bucket(level=5.0)
    _grant(bucket, until=2.0)
    bucket.advance(2.1)
    assert bucket.level == pytest.approx(1.0)


def test_report_counts_once_and_only_from_its_holder() -> None:
    """Guards against tokens returned twice or by a restarted daemon."""
    bucket = _bucket(level=5.0)
    _grant(bucket, until=2.0)
    bucket.report(1, holder=_OTHER, returned=5.0)
    assert bucket.level == 0.0
    bucket.report(1, holder=_HOLDER, returned=9.0)
    bucket.report(1, holder=_HOLDER, returned=5.0)
    assert (bucket.level, bucket.outstanding) == (5.0, 0.0)


def test_raised_rate_does_not_apply_to_earlier_time() -> None:
    """Guards against refill at the new rate for the time before it."""
    bucket = token_bucket.TokenBucket(rate=1.0, share=100.0, now=0.0)
    bucket.change(rate=100.0, share=300.0, now=5.0, is_prompt=False)
    assert bucket.level == pytest.approx(5.0)


def test_reduced_share_cuts_the_level_at_once() -> None:
    """Guards against a burst of the old size after the share is reduced."""
    bucket = _bucket(level=5.0)
    bucket.change(rate=1.0, share=1.0, now=0.5, is_prompt=True)
    assert bucket.level == 1.0


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 2.0),
            strategies.floats(0.0, 6.0),
            strategies.integers(0, 2),
        ),
        max_size=30,
    )
)
def test_sum_never_exceeds_the_share(
    steps: list[tuple[float, float, int]],
) -> None:
    """Guards against an order of grants and reports that creates tokens."""
    bucket = _bucket()
    now = 0.0
    for index, (elapsed, tokens, kind) in enumerate(steps):
        now += elapsed
        bucket.advance(now)
        if kind == 0:
            bucket.grant(
                index, holder=_HOLDER, tokens=tokens, expires_at=now + 1.25
            )
        elif kind == 1:
            bucket.report(index - 1, holder=_HOLDER, spent=tokens)
        else:
            bucket.report(index - 1, holder=_HOLDER, returned=tokens)
        assert bucket.level + bucket.outstanding <= 5.0 + 1e-9
