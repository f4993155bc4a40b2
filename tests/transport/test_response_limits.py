"""Tests of the limits that end responses which never complete."""

import pytest

from sassafraswood.transport import response_limits


# Guards against responses in small parts that last until their deadline.
@pytest.mark.parametrize(
    ('part_count', 'part_bytes', 'is_excessive'),
    [
        (100_000, 1, False),
        (150_000, 1, True),
        (150_000, 2, True),
        (300_000, 9, True),
        (1_000_000, 16, False),
    ],
)
def test_small_parts_are_limited(part_count, part_bytes, is_excessive) -> None:
    """Only parts of a certain mean size may be many."""
    assert is_excessive == response_limits.has_excessive_parts(
        part_count=part_count, body_bytes=part_count * part_bytes
    )
