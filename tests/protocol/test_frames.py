"""Tests of the frames between daemons."""

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from sassafraswood import exceptions
from sassafraswood.protocol import frames

PING = frames.Ping(sequence=3)


def test_frames_survive_any_cut() -> None:
    """Bytes arrive in pieces of any size."""
    answer = frames.Answer(
        call_id=1,
        status=200,
        head=b'a: b\r\n',
        body=b'x' * 300,
        load=0.5,
        deep_load=0.7,
    )
    data = frames.encode(PING) + frames.encode(answer)
    reader = frames.FrameReader()
    messages = []
    for index in range(len(data)):
        messages += reader.feed(data[index : index + 1])
    assert messages == [PING, answer]


def test_too_long_frame_is_rejected() -> None:
    """A length beyond the bound is never waited for."""
    with pytest.raises(exceptions.DecodeError):
        frames.FrameReader().feed(b'\xff\xff\xff\xff')


@given(strategies.binary(min_size=1, max_size=60))
def test_any_payload_raises_decode_errors_only(payload: bytes) -> None:
    """Bytes of another program must not end the process."""
    data = len(payload).to_bytes(4, 'big') + payload
    try:
        frames.FrameReader().feed(data)
    except exceptions.DecodeError:
        return


def test_daemons_of_two_versions_understand_each_other() -> None:
    """One knows fewer fields at the end, the other more."""
    pong = frames.Pong(
        sequence=1,
        rules_version=2,
        rules_age_s=0.5,
        members_end=3,
        members_age_s=0.5,
        is_serving=True,
        load=0.1,
        slowness=2.0,
    )
    row = msgspec.msgpack.decode(frames.encode(pong)[4:])
    older = msgspec.msgpack.encode(row[:8])
    newer = msgspec.msgpack.encode([*row, 'more'])
    for payload in (older, newer):
        data = len(payload).to_bytes(4, 'big') + payload
        (found,) = frames.FrameReader().feed(data)
        assert isinstance(found, frames.Pong)
        assert found.rules_version == 2
