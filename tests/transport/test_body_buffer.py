"""Tests of the buffer for the parts of a body."""

import subprocess
import sys
import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest

from sassafraswood.transport import body_buffer


PART = strategies.binary(max_size=5) | strategies.sampled_from(
    [
        b'k' * (body_buffer.KEPT_PART_BYTES - 1),
        b'l' * body_buffer.KEPT_PART_BYTES,
        b'm' * body_buffer.BLOCK_BYTES,
    ]
)


@hypothesis.given(strategies.lists(PART))
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


# Fills some buffers with large parts in turns, several times, and prints the
# peak of the memory that this takes, relative to the bytes.
GROW = """
import pathlib

from sassafraswood.transport import body_buffer

def read_peak_kb():
    status = pathlib.Path('/proc/self/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0])

before_kb = read_peak_kb()
buffers = [body_buffer.BodyBuffer() for _ in range(8)]
for _ in range(4):
    for _ in range(96):
        for buffer in buffers:
            buffer.append(bytes(65536))
    size = sum(len(buffer) for buffer in buffers)
    for buffer in buffers:
        buffer.clear()
print((read_peak_kb() - before_kb) * 1024 / size)
"""


# Guards against a heap that keeps the room of large bodies that have grown.
def test_large_bodies_take_the_memory_of_their_bytes() -> None:
    """The process grows by little more than the bytes of the bodies."""
    output = subprocess.run(
        [sys.executable, '-c', GROW], check=True, capture_output=True
    ).stdout
    assert float(output) < 1.2
