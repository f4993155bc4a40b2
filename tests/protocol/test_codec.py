"""Tests of the encoding and decoding of messages and log records."""

import contextlib
import typing

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
    """Guards against invalid bytes from a peer that stop the receive loop."""
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
def test_invalid_messages_give_decode_errors(data: bytes) -> None:
    """Guards against other errors than DecodeError for invalid messages.

    Deep nesting and unknown tags raise errors of their own in the decoder.
    """
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
def test_invalid_records_give_decode_errors(body: str) -> None:
    """Guards against an invalid record in the log that stops every daemon."""
    with pytest.raises(exceptions.DecodeError):
        codec.decode_record(body)


def test_values_round_trip() -> None:
    """Guards against fields that encoding or decoding loses."""
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


# Integers that msgspec accepts in JSON and in MessagePack.
_INTEGERS = strategies.integers(-(2**63), 2**63 - 1)


def _values(kind: typing.Any) -> strategies.SearchStrategy:
    """Return a strategy for builtin values that convert to a type."""
    inspect = msgspec.inspect
    strategies_by_type: dict[type, strategies.SearchStrategy] = {
        inspect.AnyType: strategies.none() | strategies.text(max_size=4),
        inspect.BoolType: strategies.booleans(),
        inspect.IntType: _INTEGERS,
        # JSON has neither infinity nor NaN.
        inspect.FloatType: strategies.floats(
            allow_nan=False, allow_infinity=False
        ),
        inspect.StrType: strategies.text(max_size=6),
        inspect.BytesType: strategies.binary(max_size=6),
        inspect.NoneType: strategies.none(),
    }
    if type(kind) in strategies_by_type:
        return strategies_by_type[type(kind)]
    if isinstance(kind, inspect.EnumType):
        return strategies.sampled_from([m.value for m in kind.cls])
    if isinstance(kind, inspect.UnionType):
        return strategies.one_of([_values(k) for k in kind.types])
    if isinstance(kind, inspect.ListType | inspect.VarTupleType):
        return strategies.lists(_values(kind.item_type), max_size=2)
    if isinstance(kind, inspect.TupleType):
        return strategies.tuples(*[_values(k) for k in kind.item_types])
    if isinstance(kind, inspect.DictType):
        key_type = kind.key_type
        if isinstance(key_type, inspect.AnyType):
            # The keys of a JSON object are strings.
            key_type = inspect.StrType()
        return strategies.dictionaries(
            _values(key_type), _values(kind.value_type), max_size=2
        )
    assert isinstance(kind, inspect.StructType), kind
    fields = {f.encode_name: _values(f.type) for f in kind.fields}
    if kind.array_like:
        return strategies.tuples(*fields.values()).map(list)
    if kind.tag is not None:
        fields[kind.tag_field or 'type'] = strategies.just(kind.tag)
    return strategies.fixed_dictionaries(fields)


def _instances(union: typing.Any) -> strategies.SearchStrategy:
    """Return a strategy for instances of the types of a union."""
    return _values(msgspec.inspect.type_info(union)).map(
        lambda value: msgspec.convert(
            value, union, builtin_types=(bytes,), str_keys=False
        )
    )


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(_instances(messages.Message), _instances(records.Record))
def test_any_message_and_record_round_trip(
    message: messages.Message, record: records.Record
) -> None:
    """Guards against fields of any type that encoding or decoding loses."""
    assert codec.decode_message(codec.encode_message(message)) == message
    assert codec.decode_record(codec.encode_record(record)) == record


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    _instances(messages.Message),
    strategies.integers(0, 400),
    strategies.binary(max_size=3),
)
def test_corrupt_bytes_give_a_message_or_a_decode_error(
    message: messages.Message, position: int, replacement: bytes
) -> None:
    """Guards against a corrupt message that stops the receive loop."""
    data = codec.encode_message(message)
    end = position + len(replacement)
    for corrupt in (
        data[:position],
        data[:position] + replacement + data[end:],
    ):
        with contextlib.suppress(exceptions.DecodeError):
            codec.encode_message(codec.decode_message(corrupt))
