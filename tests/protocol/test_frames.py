"""Tests of the frames between daemons."""

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from sassafraswood import exceptions
from sassafraswood.protocol import frames

PING = frames.Ping(sequence=3)


def test_frames_split_at_any_byte_are_decoded() -> None:
    """Guards against frames lost when the stream arrives in small pieces."""
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
    """Guards against buffering data for a frame above the size limit."""
    with pytest.raises(exceptions.DecodeError):
        frames.FrameReader().feed(b'\xff\xff\xff\xff')


@given(strategies.binary(min_size=1, max_size=60))
def test_any_payload_raises_decode_errors_only(payload: bytes) -> None:
    """Guards against bytes of another program that crash the daemon."""
    data = len(payload).to_bytes(4, 'big') + payload
    try:
        frames.FrameReader().feed(data)
    except exceptions.DecodeError:
        return


def test_daemons_of_two_versions_understand_each_other() -> None:
    """Guards against rejecting messages of an older or newer version.

    Their arrays have fewer or more elements at the end.
    """
    pong = frames.Pong(
        sequence=1,
        rules_version=2,
        rules_age_s=0.5,
        members_end_offset=3,
        members_age_s=0.5,
        is_serving=True,
        load=0.1,
        slowness=2.0,
    )
    elements = msgspec.msgpack.decode(frames.encode(pong)[4:])
    older = msgspec.msgpack.encode(elements[:8])
    newer = msgspec.msgpack.encode([*elements, 'more'])
    for payload in (older, newer):
        data = len(payload).to_bytes(4, 'big') + payload
        (decoded,) = frames.FrameReader().feed(data)
        assert isinstance(decoded, frames.Pong)
        assert decoded.rules_version == 2
