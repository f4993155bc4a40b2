"""Tests of the buffer for the parts of a body."""

import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest

from sassafraswood.transport import body_buffer


@hypothesis.given(strategies.lists(strategies.binary(max_size=5)))
def test_body_is_that_of_all_parts(parts) -> None:
    """A body has the bytes of its parts in their order, and is taken once."""
    buffer = body_buffer.BodyBuffer()
    for part in parts:
        buffer.append(part)
    assert len(buffer) == sum(len(part) for part in parts)
    assert buffer.take() == b''.join(parts)
    assert (len(buffer), buffer.take()) == (0, b'')


def test_only_part_is_not_copied() -> None:
    """A body of one part is the object that was received."""
    part = b'x' * 1000
    buffer = body_buffer.BodyBuffer()
    buffer.append(part)
    assert buffer.take() is part


# Guards against small parts that take more memory than their bytes.
@pytest.mark.parametrize('size', [1, 2, 9])
def test_small_parts_take_the_memory_of_their_bytes(size) -> None:
    """Many parts take less than twice their bytes."""
    buffer = body_buffer.BodyBuffer()
    count = 100_000
    tracemalloc.start()
    try:
        for index in range(count):
            buffer.append(bytes([index % 256]) * size)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(buffer) == count * size
    assert held_bytes < 2 * count * size
