"""Tests of the encoding of messages and records."""

import contextlib

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from sassafraswood import exceptions
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.protocol import codec


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_give_a_value_or_a_decode_error(data: bytes) -> None:
    """Guards against a peer's bytes ending the daemon's loop."""
    for decode in (
        codec.decode_message,
        codec.decode_record,
        codec.decode_entries,
    ):
        with contextlib.suppress(exceptions.DecodeError):
            decode(data)


@pytest.mark.parametrize(
    'data',
    [
        b'\x81\xa4type\xc1',
        b'\x91' * 100_000,
        b'\x83\xa4type\xa4ping\xa8sequence\xcf' + b'\xff' * 8,
        msgspec.msgpack.encode({'type': 'other'}),
    ],
)
def test_hostile_messages_give_decode_errors(data: bytes) -> None:
    """Guards against deep nesting and unknown tags raising other errors."""
    with pytest.raises(exceptions.DecodeError):
        codec.decode_message(data)


@pytest.mark.parametrize(
    'body',
    [
        '[' * 100_000,
        '{"type":"of_a_newer_version"}',
        '{"type":"publish"}',
        '"\\ud800"',
        '{"type":"publish","publication_id":"p","service":"s","replaces":0,'
        '"document":' + '{"a":' * 100_000,
    ],
)
def test_hostile_records_give_decode_errors(body: str) -> None:
    """Guards against a record in the log that stops every daemon."""
    with pytest.raises(exceptions.DecodeError):
        codec.decode_record(body)


def test_values_survive_encoding() -> None:
    """Guards against fields that are lost between daemons."""
    message = messages.CancelResult(
        call_id=ids.CallId('c'),
        incarnation=ids.Incarnation(7),
        state=enums.CancelState.NOT_RUN,
    )
    assert codec.decode_message(codec.encode_message(message)) == message
    record = records.Publish(
        publication_id=ids.PublicationId('p'),
        service=ids.ServiceName('s'),
        replaces=ids.Revision(0),
        document={'any': [1, 2.5, None]},
    )
    text = codec.encode_record(record)
    assert codec.decode_record(text) == record
    entries = [records.LogEntry(offset=ids.Offset(3), body=text)]
    assert codec.decode_entries(codec.encode_entries(entries)) == entries
