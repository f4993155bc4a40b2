"""Encoding of messages and log records."""

import msgspec

from sassafraswood import exceptions
from sassafraswood.models import messages
from sassafraswood.models import records

_message_encoder = msgspec.msgpack.Encoder()
_message_decoder = msgspec.msgpack.Decoder(messages.Message)
_json_encoder = msgspec.json.Encoder()
_record_decoder = msgspec.json.Decoder(records.Record)
_entries_decoder = msgspec.json.Decoder(list[records.LogEntry])

# Nested input exhausts the stack, invalid UTF-8 is a ValueError, and large
# integers overflow; msgspec passes these on as they are.
_DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)


def encode_message(message: messages.Message) -> bytes:
    """Return a message as MessagePack."""
    return _message_encoder.encode(message)


def decode_message(data: bytes) -> messages.Message:
    """Return the message in data.

    Raises:
        DecodeError: The bytes are no message.
    """
    try:
        return _message_decoder.decode(data)
    except _DECODE_ERRORS as error:
        raise exceptions.DecodeError(f'not a message: {error}') from error


def encode_record(record: records.Record) -> str:
    """Return a log record as JSON text."""
    return _json_encoder.encode(record).decode()


def decode_record(body: str | bytes) -> records.Record:
    """Return the log record in body.

    Raises:
        DecodeError: The text is no record, or one of a newer version.
    """
    try:
        record = _record_decoder.decode(body)
        # JSON may carry integers that MessagePack cannot, and a record that
        # cannot be passed on to peers would not be folded by all daemons.
        _message_encoder.encode(record)
    except _DECODE_ERRORS as error:
        raise exceptions.DecodeError(f'not a record: {error}') from error
    return record


def encode_entries(entries: list[records.LogEntry]) -> bytes:
    """Return log entries as JSON."""
    return _json_encoder.encode(entries)


def decode_entries(data: bytes) -> list[records.LogEntry]:
    """Return the log entries in data.

    Raises:
        DecodeError: The bytes are no list of entries.
    """
    try:
        return _entries_decoder.decode(data)
    except _DECODE_ERRORS as error:
        raise exceptions.DecodeError(f'not log entries: {error}') from error
