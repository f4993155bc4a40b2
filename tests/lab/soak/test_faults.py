"""Tests of the faults that a soak draws from its seed."""

import pytest

from lab.soak import faults

COPY_KINDS = {
    faults.FaultKind.UPSTREAM_REFUSES,
    faults.FaultKind.UPSTREAM_REPEATS,
}


def draw(seed: int, *, has_later_kinds: bool) -> list[faults.Fault]:
    """Return the faults of a soak of the usual size."""
    return faults.draw_faults(
        seed, length_s=25.0, machines=6, has_later_kinds=has_later_kinds
    )


# Guards against seeds that find no fault again after a new kind was added.
@pytest.mark.parametrize('seed', [16, 25, 350])
def test_later_kinds_leave_the_faults_of_a_seed_as_they_are(seed) -> None:
    """Each group of later kinds only adds faults."""
    first = draw(seed, has_later_kinds=False)
    later = draw(seed, has_later_kinds=True)
    assert [fault for fault in later if fault in first] == first
    added = {fault.kind for fault in later if fault not in first}
    assert added & COPY_KINDS
    assert added - COPY_KINDS
