"""Encoding and decoding of messages and log records."""

import msgspec

from sassafraswood import exceptions
from sassafraswood.models import messages
from sassafraswood.models import records

_message_encoder = msgspec.msgpack.Encoder()
_message_decoder = msgspec.msgpack.Decoder(messages.Message)
_json_encoder = msgspec.json.Encoder()
_record_decoder = msgspec.json.Decoder(records.Record)
_entries_decoder = msgspec.json.Decoder(list[records.LogEntry])

# Besides its own errors, msgspec raises RecursionError for deeply nested
# input, ValueError for invalid UTF-8 and OverflowError for large integers.
_DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)


def encode_message(message: messages.Message) -> bytes:
    """Return a message encoded as MessagePack."""
    return _message_encoder.encode(message)


def decode_message(data: bytes) -> messages.Message:
    """Return the message encoded in data.

    Raises:
        DecodeError: The bytes are not a valid message.
    """
    try:
        return _message_decoder.decode(data)
    except _DECODE_ERRORS as error:
        raise exceptions.DecodeError(f'invalid message: {error}') from error


def encode_record(record: records.Record) -> str:
    """Return a log record encoded as JSON."""
    return _json_encoder.encode(record).decode()


def decode_record(body: str | bytes) -> records.Record:
    """Return the log record encoded in body.

    Raises:
        DecodeError: The text is not a valid record, or has a type that only
            a newer version knows.
    """
    try:
        record = _record_decoder.decode(body)
        # JSON may hold integers that MessagePack cannot encode. Such a record
        # could not be sent to peers, so only some daemons would apply it.
        _message_encoder.encode(record)
    except _DECODE_ERRORS as error:
        raise exceptions.DecodeError(f'invalid log record: {error}') from error
    return record


def encode_entries(entries: list[records.LogEntry]) -> bytes:
    """Return log entries encoded as a JSON list."""
    return _json_encoder.encode(entries)


def decode_entries(data: bytes) -> list[records.LogEntry]:
    """Return the log entries encoded in data.

    Raises:
        DecodeError: The bytes are not a valid list of log entries.
    """
    try:
        return _entries_decoder.decode(data)
    except _DECODE_ERRORS as error:
        raise exceptions.DecodeError(
            f'invalid log entries: {error}'
        ) from error
