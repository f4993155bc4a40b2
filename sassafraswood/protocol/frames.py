"""Messages that daemons exchange over TCP, and their framing.

A frame is a length of four bytes, big-endian, followed by a MessagePack
message. Messages are arrays, so fields are sent by position. New fields are
appended with a default value, so that daemons of two versions understand each
other during a rolling update.
"""

import struct
from typing import Annotated, Any, Final

import msgspec

from sassafraswood import exceptions

# Fits the largest body that a daemon accepts together with its header fields.
MAX_FRAME_BYTES: Final = 72 * 1024 * 1024
_LENGTH: Final = struct.Struct('>I')

# Bounds of all numbers, so that none is infinite, not a number, or overflows
# where it is used.
MAX_NUMBER: Final = 1e9
# Verdicts double their time with each round; a year takes fewer rounds.
MAX_ROUND: Final = 64
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_NUMBER)]
SignedAmount = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Size = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
Round = Annotated[int, msgspec.Meta(ge=0, le=MAX_ROUND)]


class Frame(msgspec.Struct, array_like=True, gc=False):
    """Base of all messages."""


class Hello(Frame, tag=0):
    """First message that each end of a connection sends.

    Attributes:
        daemon_id: Name of the sender.
        started_at: Unix time at which the sender started, in microseconds.
        takes_body_parts: Whether the sender runs calls whose body follows in
            parts.
    """

    daemon_id: str
    started_at: int
    takes_body_parts: bool = False


class Run(Frame, tag=1):
    """Requests the daemon beside an upstream to run a call.

    Attributes:
        service: Service that is to run the call.
        head: Request line and header fields, without those that the daemon
            beside the upstream sets.
        time_left_s: Time until the deadline of the call, in seconds.
        target_s: Latency target of the call, in seconds; a later response
            has less value.
        urgency: From 0 to 1; calls with the lowest urgency are shed first.
        is_inner: Whether an upstream made the call while running another.
        is_repeat: Whether another upstream may have run the call before.
        may_redirect: Whether to refuse the call in place of queueing it,
            because the sender knows another daemon that may have a free slot.
        max_wait_s: Longest time that the call may wait for its start, in
            seconds; 0 leaves that to the receiver. A call whose workspace is
            near its rate limit may not wait long, since calls that wait longer
            than those after them add up in one window of the limit. For an
            inner call, the time that its call tree can wait for it without
            missing its target; 0 if the tree has no slack.
        has_slack: Whether the target of the call is most of the time that its
            caller gives, so that it may wait longer than others.
        body_bytes: Size of a body that follows in parts, as the receiver asks
            for them; 0 if the message holds the body.
        body_hash: Hash of such a body.
    """

    call_id: int
    service: str
    head: bytes
    body: bytes
    attempt_id: bytes
    time_left_s: SignedAmount
    target_s: Amount
    urgency: SignedAmount
    workspace: str
    route: str
    is_idempotent: bool
    is_inner: bool
    is_repeat: bool = False
    may_redirect: bool = False
    max_wait_s: Amount = 0.0
    has_slack: bool = False
    body_bytes: Size = 0
    body_hash: bytes = b''


class Answer(Frame, tag=2):
    """Complete response of the upstream to a call.

    Attributes:
        head: Header fields without the hop-by-hop ones.
        load: Load that another call of the same kind would meet: running and
            queued calls relative to the capacity of the daemon or, if higher,
            those of this kind relative to its concurrency limit.
        deep_load: Load of the daemon or, if higher, HOP_DECAY_FACTOR times the
            load of the services that its upstream calls.
        depth: Levels of calls below this call; None if unknown.
        pace_per_s: Further calls per second that the upstream is given while
            it is cold or recovers; 0 if it needs no pace.
        wait_s: Time that another call of the same kind would wait for a slot,
            in seconds.
    """

    call_id: int
    status: int
    head: bytes
    body: bytes
    load: Amount
    deep_load: Amount
    depth: int | None = None
    pace_per_s: Amount = 0.0
    wait_s: Amount = 0.0


class Refused(Frame, tag=3):
    """Refusal of a call that has not run and will not run at this upstream.

    Attributes:
        is_local: Whether the call may be sent to another upstream, because
            the reason does not apply there.
        has_reached_upstream: Whether the upstream itself refused the call;
            such a call counts towards the retry budget.
        pace_per_s: As in Answer.
        wait_s: As in Answer.
    """

    call_id: int
    reason: str
    is_local: bool
    load: Amount
    has_reached_upstream: bool = False
    pace_per_s: Amount = 0.0
    wait_s: Amount = 0.0


class CallFailed(Frame, tag=4):
    """Reports that a call may have run but its response is lost."""

    call_id: int
    reason: str
    load: Amount


class Cancel(Frame, tag=5):
    """Cancels a call whose response is no longer needed."""

    call_id: int


class Ping(Frame, tag=6):
    """Heartbeat that requests the state of a daemon."""

    sequence: int


class Pong(Frame, tag=7):
    """Reply to a heartbeat with the current state of the daemon.

    Attributes:
        sequence: Sequence number of the Ping.
        rules_age_s: Time since its rules were last known to be the newest, in
            seconds; negative if unknown.
        members_end_offset: Offset after the newest member record that it
            holds.
        members_age_s: Time since its member records were last known to be the
            newest, in seconds; negative if unknown.
        is_serving: Whether its upstream accepts calls.
        load: Running and queued calls of the daemon relative to its capacity.
        has_store_access: Whether it reads the store itself and the store
            responds.
        slowness: Recent latency of its upstream relative to the usual one.
        errors: Fraction of recent calls at its upstream that failed.
        verdicts: Digest of the requests that it refuses because they crashed
            upstreams.
        pace_per_s: As in Answer.
        evacuations: Revision of the evacuated failure domains that it knows;
            0 if it knows none. A higher one includes all that a lower one
            knows.
    """

    sequence: int
    rules_version: int
    rules_age_s: SignedAmount
    members_end_offset: int
    members_age_s: SignedAmount
    is_serving: bool
    load: Amount
    has_store_access: bool = False
    slowness: Amount = 1.0
    errors: Amount = 0.0
    verdicts: int = 0
    pace_per_s: Amount = 0.0
    evacuations: int = 0


class FetchRules(Frame, tag=8):
    """Requests the traffic rules of a daemon."""


class RulesDocument(Frame, tag=9):
    """Traffic rules as published by the operator."""

    version: int
    document: bytes


class FetchMemberRecords(Frame, tag=10):
    """Requests the member records from an offset on; -1 requests all."""

    start: int = -1


class MembersDocument(Frame, tag=11):
    """Member records between two offsets, the newest last.

    Attributes:
        start: Offset of the first record; -1 if rows hold the newest record
            of each member.
        end: Offset after the last record.
        rows: Name and value of each record; an empty value is the tombstone
            of a removed member.
    """

    start: int
    end: int
    rows: list[tuple[str, bytes]]


class BorrowTokens(Frame, tag=12):
    """Requests tokens from another daemon's share of a workspace limit."""

    workspace: str
    tokens: Amount


class LendTokens(Frame, tag=13):
    """Transfers tokens to the daemon that requested them."""

    workspace: str
    tokens: Amount


class Status(Frame, tag=14):
    """State of the sender's upstream, sent when it changes.

    Attributes:
        is_serving: Whether it accepts calls.
        load: As in Pong.
        slowness: As in Pong.
        errors: As in Pong.
        pace_per_s: As in Answer.
    """

    is_serving: bool
    load: Amount
    slowness: Amount = 1.0
    errors: Amount = 0.0
    pace_per_s: Amount = 0.0


class CrashReport(Frame, tag=17):
    """Reports the crash of an upstream; resent until it is confirmed.

    Attributes:
        record_id: Identifies the crash.
        age_s: Time since the crash, in seconds.
        suspects: Requests that were in flight, each with its fingerprint,
            responses to the same request per second, time since its start
            in seconds, and whether it was only a retry.
    """

    record_id: str
    service: str
    age_s: SignedAmount
    suspects: list[tuple[str, Amount, Amount, bool]]


class CrashConfirmation(Frame, tag=18):
    """Confirms that a crash report was received."""

    record_id: str


class Verdicts(Frame, tag=19):
    """Requests that crashed several upstreams and that all daemons refuse.

    Attributes:
        rows: Fingerprint, number of refusals, and time until the request is
            admitted again, in seconds.
        wants_reply: Whether the sender lacks rows that the receiver has.
    """

    rows: list[tuple[str, Round, SignedAmount]]
    wants_reply: bool = False


class FetchEvacuations(Frame, tag=20):
    """Requests the evacuated failure domains that a daemon knows."""


class Evacuations(Frame, tag=21):
    """Evacuated failure domains as of a revision.

    Attributes:
        revision: As evacuations in Pong.
        domains: Names of all evacuated failure domains.
        unconfirmed: Those of them whose request the store lacks since it came
            back from an older copy.
    """

    revision: int
    domains: list[str]
    unconfirmed: list[str] = []


class BodyRequest(Frame, tag=22):
    """Asks for a body of a call up to an offset, which may lie behind it."""

    call_id: int
    end: Size


class BodyPart(Frame, tag=23):
    """Next part of the body of a call."""

    call_id: int
    data: bytes


AnyFrame = (
    Hello
    | Run
    | Answer
    | Refused
    | CallFailed
    | Cancel
    | Ping
    | Pong
    | FetchRules
    | RulesDocument
    | FetchMemberRecords
    | MembersDocument
    | BorrowTokens
    | LendTokens
    | Status
    | CrashReport
    | CrashConfirmation
    | Verdicts
    | FetchEvacuations
    | Evacuations
    | BodyRequest
    | BodyPart
)


class Invalid(msgspec.Struct, gc=False):
    """Stands for a frame whose message cannot be decoded.

    Attributes:
        error: Why it cannot be decoded.
        kind: Tag of the message; None if it has none.
        call_id: Call that it belongs to; None if there is none.
    """

    error: str
    kind: int | None = None
    call_id: int | None = None

    @property
    def is_run(self) -> bool:
        """Return whether it requests to run a call."""
        return self.kind == _RUN_TAG and self.call_id is not None

    @property
    def is_reply(self) -> bool:
        """Return whether it ends a call."""
        return self.kind in _REPLY_TAGS and self.call_id is not None


Received = AnyFrame | Invalid

_RUN_TAG: Final = 1
_REPLY_TAGS: Final = frozenset({2, 3, 4})

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyFrame] = msgspec.msgpack.Decoder(AnyFrame)


def encode(frame: AnyFrame) -> bytes:
    """Return a frame encoded with its length prefix."""
    payload = _encoder.encode(frame)
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Incremental parser that splits a byte stream into messages."""

    def __init__(self, *, skips_invalid: bool = False) -> None:
        """Initialize the parser at the beginning of a frame.

        Args:
            skips_invalid: Whether an Invalid is returned in place of a message
                that cannot be decoded.
        """
        self._buffer = bytearray()
        self._skips_invalid = skips_invalid

    def feed(self, data: bytes) -> list[Received]:
        """Add received bytes and return the messages completed by them.

        Raises:
            DecodeError: A frame is too long, so that the rest of the stream
                cannot be parsed, or a message is invalid and not skipped.
        """
        buffer = self._buffer
        buffer += data
        size = len(buffer)
        start = 0
        messages: list[Received] = []
        while size - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise exceptions.DecodeError(
                    f'frame of {length} bytes exceeds the size limit'
                )
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
                if not self._skips_invalid:
                    raise exceptions.DecodeError(str(error)) from error
                messages.append(
                    _describe_invalid(
                        bytes(buffer[start + _LENGTH.size : end]), str(error)
                    )
                )
            start = end
        if start:
            del buffer[:start]
        return messages


def _describe_invalid(payload: bytes, error: str) -> Invalid:
    """Return what is known of a message that cannot be decoded."""
    parts: Any = None
    try:
        parts = msgspec.msgpack.decode(payload)
    except (msgspec.MsgspecError, RecursionError, TypeError, ValueError):
        return Invalid(error=error)
    if not isinstance(parts, list):
        return Invalid(error=error)
    kind, call_id = [
        part if type(part) is int else None
        for part in [*parts[:2], None, None][:2]
    ]
    return Invalid(error=error, kind=kind, call_id=call_id)
