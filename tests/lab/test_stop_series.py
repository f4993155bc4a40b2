"""Tests of real daemons that are stopped together under load."""

import pytest

from lab import stop_series


# Guards against requests that meet the close of a stopping daemon.
@pytest.mark.process
@pytest.mark.parametrize('seed', [1, 3])
def test_stops_of_all_daemons_lose_no_request(seed) -> None:
    """Whatever the times, each request that was sent gets an answer."""
    result = stop_series.play(seed)
    assert result.losses == []
    assert set(result.exit_codes) == {0}
    assert result.outcomes[stop_series.Outcome.SERVED] > 100
