"""Messages between daemons that carry calls, and their framing.

A frame is a length of four bytes, big-endian, and a msgpack message. Fields
are added at the end with a default, so that daemons of two versions understand
each other while a fleet is updated.
"""

import struct
from typing import Final

import msgspec

from sassafraswood import exceptions

# A body of the largest size that a daemon holds and its header fields.
MAX_FRAME_BYTES: Final = 72 * 1024 * 1024
_LENGTH: Final = struct.Struct('>I')


class Frame(msgspec.Struct, array_like=True, gc=False):
    """Base of all messages."""


class Hello(Frame, tag=0):
    """First message of both ends of a connection.

    Attributes:
        started_at: Unix time of the start in microseconds.
    """

    daemon_id: str
    started_at: int


class Run(Frame, tag=1):
    """Asks the daemon beside an upstream to run a call.

    Attributes:
        service: Service that is to run the call.
        head: Request line and header fields, without those that the daemon
            beside the upstream sets.
        time_left_s: Time until the answer is of no use, in seconds.
        target_s: Time within which an answer has its full value, in seconds.
        urgency: From 0 to 1; under load the lowest is refused first.
        is_inner: Whether an upstream made the call while it runs another.
        is_repeat: Whether another upstream may have run it before.
    """

    call_id: int
    service: str
    head: bytes
    body: bytes
    attempt_id: bytes
    time_left_s: float
    target_s: float
    urgency: float
    workspace: str
    route: str
    is_idempotent: bool
    is_inner: bool
    is_repeat: bool = False


class Answer(Frame, tag=2):
    """Whole answer of the upstream.

    Attributes:
        head: Header fields without those of one connection.
        load: Calls that run and wait relative to what the daemon allows.
        deep_load: The highest of its load and those of the services that
            its upstream calls.
        depth: Levels of calls below the call; None if that is not known.
    """

    call_id: int
    status: int
    head: bytes
    body: bytes
    load: float
    deep_load: float
    depth: int | None = None


class Refused(Frame, tag=3):
    """The call has not run and will not run there.

    Attributes:
        is_local: Whether another upstream may take the call.
        has_arrived: Whether the upstream itself refused it; such an arrival
            counts for the budget of repeats.
    """

    call_id: int
    reason: str
    is_local: bool
    load: float
    has_arrived: bool = False


class Failed(Frame, tag=4):
    """The call may have run, and its answer is lost."""

    call_id: int
    reason: str
    load: float


class Cancel(Frame, tag=5):
    """Nobody waits for the answer of a call."""

    call_id: int


class Ping(Frame, tag=6):
    """Asks for the state of a daemon."""

    sequence: int


class Pong(Frame, tag=7):
    """State of a daemon at the time of its answer.

    Attributes:
        rules_age_s: Time since which its rules are known to be the newest;
            negative if that is not known.
        members_end: Offset after the newest record of a member that it has.
        members_age_s: Like rules_age_s, for the records of members.
        is_serving: Whether its upstream takes calls.
        reads_store: Whether it reads the store itself, and gets answers.
        slowness: Time of calls at its upstream relative to what is usual.
        errors: Share of calls at its upstream that failed lately.
        verdicts: Digest of the requests that it refuses as crashing.
    """

    sequence: int
    rules_version: int
    rules_age_s: float
    members_end: int
    members_age_s: float
    is_serving: bool
    load: float
    reads_store: bool = False
    slowness: float = 1.0
    errors: float = 0.0
    verdicts: int = 0


class FetchRules(Frame, tag=8):
    """Asks for the rules."""


class RulesDocument(Frame, tag=9):
    """The rules as the operator wrote them."""

    version: int
    document: bytes


class FetchMembers(Frame, tag=10):
    """Asks for the records of members from an offset; -1 asks for all."""

    start: int = -1


class MembersDocument(Frame, tag=11):
    """The records of members between two offsets, the newest last.

    Attributes:
        start: Offset of the first record; -1 if the newest record of each
            member follows.
        end: Offset after the last record.
        rows: Name and value; without a value the member is gone.
    """

    start: int
    end: int
    rows: list[tuple[str, bytes]]


class Borrow(Frame, tag=12):
    """Asks for tokens of the limit of a workspace."""

    workspace: str
    tokens: float


class Lend(Frame, tag=13):
    """Moves tokens to the daemon that asked."""

    workspace: str
    tokens: float


class Status(Frame, tag=14):
    """State of the upstream of the sender after a change.

    Attributes:
        is_serving: Whether it takes calls.
        slowness: As in Pong.
        errors: As in Pong.
    """

    is_serving: bool
    load: float
    slowness: float = 1.0
    errors: float = 0.0


class CrashReport(Frame, tag=17):
    """An upstream ended without a leave; repeated until it is confirmed.

    Attributes:
        record_id: Names the end.
        age_s: Time since the end in seconds.
        suspects: Requests that were in flight: fingerprint, answers to the
            same request per second, time since its start in seconds, and
            whether it was only repeated.
    """

    record_id: str
    service: str
    age_s: float
    suspects: list[tuple[str, float, float, bool]]


class CrashSeen(Frame, tag=18):
    """Confirms a report of a crash."""

    record_id: str


class Verdicts(Frame, tag=19):
    """Requests that crashed several upstreams and are refused by all.

    Attributes:
        rows: Fingerprint, how often it was refused, and time until it is let
            in again in seconds.
        wants_reply: Whether the sender lacks some of the receiver's.
    """

    rows: list[tuple[str, int, float]]
    wants_reply: bool = False


AnyFrame = (
    Hello
    | Run
    | Answer
    | Refused
    | Failed
    | Cancel
    | Ping
    | Pong
    | FetchRules
    | RulesDocument
    | FetchMembers
    | MembersDocument
    | Borrow
    | Lend
    | Status
    | CrashReport
    | CrashSeen
    | Verdicts
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyFrame] = msgspec.msgpack.Decoder(AnyFrame)


def encode(frame: AnyFrame) -> bytes:
    """Return the bytes of a frame."""
    payload = _encoder.encode(frame)
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Cuts a stream into messages."""

    def __init__(self) -> None:
        """Start at the beginning of a frame."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[AnyFrame]:
        """Return the messages that are complete.

        Raises:
            DecodeError: The bytes are no frames; the stream cannot go on.
        """
        buffer = self._buffer
        buffer += data
        size = len(buffer)
        start = 0
        messages = []
        while size - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise exceptions.DecodeError(f'frame of {length} bytes')
            end = start + _LENGTH.size + length
            if end > size:
                break
            try:
                messages.append(
                    _decoder.decode(
                        memoryview(buffer)[start + _LENGTH.size : end]
                    )
                )
            except (msgspec.MsgspecError, RecursionError) as error:
                raise exceptions.DecodeError(str(error)) from error
            start = end
        if start:
            del buffer[:start]
        return messages
