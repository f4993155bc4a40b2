"""HTTP/1.1 client connections that carry one exchange at a time."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum
import math
import time
import typing
from typing import Final

import httptools

from sassafraswood.models import fields
from sassafraswood.state import held_bytes
from sassafraswood.transport import body_buffer
from sassafraswood.transport import parse_turns
from sassafraswood.transport import response_limits
from sassafraswood.transport import tcp
from sassafraswood.transport import timeouts

# Header fields that apply to a single connection (RFC 9110, section 7.6.1) and
# the content length, which the next sender sets itself.
CONNECTION_FIELDS: Final = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    }
)
# Larger responses are aborted; several must fit into memory.
MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024
# The first bytes of each body are held even if other responses fill the limit
# on them; as many calls as an upstream runs at once need little memory for it.
SMALL_BODY_BYTES: Final = 64 * 1024
# Bytes of a body that are asked for ahead of what the server has read.
BODY_WINDOW_BYTES: Final = 256 * 1024
# Idle timeout of connections whose server announces none; it is below the
# usual timeouts of servers.
DEFAULT_IDLE_TIMEOUT_S: Final = 4.0
# Connections are reused up to this fraction of the idle timeout that the
# server announces; after that the server may be closing them.
IDLE_TIMEOUT_FRACTION: Final = 0.7
# No server drops a connection that was idle for less than this time. Requests
# that must not be sent twice use only such connections or new ones.
MAX_IDLE_WITHOUT_RETRY_S: Final = 0.1
# After a reset, the idle limit becomes this fraction of the idle time of the
# reset connection, but not less than the minimum.
IDLE_LIMIT_FRACTION: Final = 0.5
MIN_IDLE_LIMIT_S: Final = 0.05
# The idle limit doubles in this time, so that it recovers within half a minute
# once the server no longer drops idle connections.
IDLE_LIMIT_DOUBLING_S: Final = 5.0
_RESPONSE_BEGIN: Final = b'HTTP/'
# Statuses of final responses that have no body, whatever their fields say
# (RFC 9112, section 6.3).
_BODILESS_STATUSES: Final = frozenset({204, 304})
_STATUS_NOT_MODIFIED: Final = 304
# What a server sends behind a complete response may arrive up to this time
# after the next request was sent. Few responses arrive so soon.
EXCESS_S: Final = 0.02
# Bytes of responses that are parsed at once.
MAX_PARSED_BYTES: Final = 16 * 1024
# Ids that a connection remembers; it ends with the last of them.
MAX_ANSWERED_IDS: Final = 64
# An attempt to connect that takes longer counts as failed.
CONNECT_TIMEOUT_S: Final = 1.0


class FailureKind(enum.StrEnum):
    """How an exchange failed."""

    # Nothing was sent.
    CONNECT = 'connect_failed'
    # Nothing was sent, because no process listens on the port.
    REFUSED = 'connect_refused'
    # The connection ended before the response began.
    BROKEN = 'connection_broken'
    # The connection ended within the response.
    TRUNCATED = 'answer_truncated'
    # The received bytes are not an HTTP response.
    MALFORMED = 'answer_malformed'
    # The response has a status that HTTP does not know.
    BAD_STATUS = 'answer_status_invalid'
    TOO_LARGE = 'answer_too_large'
    PARTS_TOO_SMALL = 'answer_parts_too_small'
    # The response, and others that are being received, exceed their limit.
    NO_MEMORY = 'answers_exceed_memory'
    CANCELLED = 'cancelled'


NOTHING_SENT: Final = frozenset({FailureKind.CONNECT, FailureKind.REFUSED})


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """A complete response.

    Attributes:
        status: HTTP status code.
        head: Encoded header fields without CONNECTION_FIELDS. A response to
            HEAD, and one with status 304, keeps its content length: it is that
            of another response (RFC 9110, section 8.6).
        fields: Values of the kept fields by lower-case name.
        body: Body without its transfer encoding.
    """

    status: int
    head: bytes
    fields: dict[bytes, bytes]
    body: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class ResponseCounts:
    """Responses and bytes that belong to no request, since the start.

    Attributes:
        skipped: Final responses that do not bear the id of the request under
            way.
        excess: Times that bytes came behind a complete response, on a
            connection without a request or in place of the next response.
    """

    skipped: int = 0
    excess: int = 0


Outcome = Response | FailureKind
# Whether a response ends its request; only requests that may run several times
# are sent again after it.
IsFinal = Callable[[Response], bool]
# Asks for the body of a request up to an offset.
RequestBody = Callable[[int], object]


@dataclasses.dataclass(frozen=True, slots=True)
class BodyInParts:
    """Body of a request that follows its head in parts.

    Attributes:
        size: Size of the whole body in bytes.
        request: Asks for parts up to an offset.
    """

    size: int
    request: RequestBody


class ExchangeConnection(asyncio.Protocol):
    """Sends one request at a time and reads its complete response.

    A response that carries the id of another request is discarded: a server
    may respond twice, and the second response can arrive where the response to
    the next request is expected. If a request is sent again after its
    response, the id does not tell a copy of that response from the response to
    the repeat. So no request is sent on a connection that has carried a
    response to its id, unless that response was final: a copy of a final
    response is that of a run. No connection carries two requests without an
    id.

    The parser can't be told that a response has no body although its fields
    announce one. Such a response is complete at the end of its head, and its
    connection is closed, since bytes that follow the head belong to no
    request. So all earlier responses on a connection are framed as they say.
    """

    def __init__(
        self,
        kept_fields: frozenset[bytes],
        id_field: bytes | None = None,
        held: held_bytes.ByteBudget | None = None,
        on_lost: Callable[['ExchangeConnection'], None] | None = None,
        turns: parse_turns.ParseTurns | None = None,
        counts: ResponseCounts | None = None,
        is_final: IsFinal | None = None,
    ) -> None:
        """Initialize a connection without a transport.

        Args:
            kept_fields: Lower-case names of the response fields whose values
                are kept.
            id_field: Lower-case name of the response field that carries the
                request id; None if ids are not compared.
            held: Limits the body bytes of incomplete responses.
            on_lost: Called when the connection has ended, before the on_done
                callback of its exchange.
            turns: Gives turns to connections whose responses are slow to
                parse.
            counts: Counts what belongs to no request.
            is_final: Tells responses that end their request; if None, all
                do.
        """
        # Set by the pool, which numbers its connections in ascending order.
        self.number = 0
        self._on_lost = on_lost
        self._kept_fields = kept_fields
        self._held = held or held_bytes.ByteBudget()
        self._turns = turns or parse_turns.ParseTurns()
        self._counts = counts or ResponseCounts()
        self._is_final = is_final
        # Hashes of the ids of requests that may be sent again, but not on this
        # connection; ids may be long.
        self._answered_ids: set[int] = set()
        # Body bytes of this response that are counted in held.
        self._size = 0
        self._id_field = id_field
        self._transport: asyncio.Transport | None = None
        # The parser holds methods of this object; this reference is dropped
        # with the connection, so that both are freed without a garbage
        # collection.
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._read_limit = tcp.ReadLimit()
        self._on_done: Callable[[Outcome], None] | None = None
        self._request_id: bytes | None = None
        # Whether the method of the request is HEAD.
        self._is_head = False
        self._result: Outcome | None = None
        # Exchanges of this connection, with the current one.
        self._exchange_count = 0
        # Totals of this exchange: all bytes, those of bodies, the parts in
        # which these came, and skipped responses.
        self._received_bytes = 0
        self._body_bytes = 0
        self._part_count = 0
        self._skipped_count = 0
        # Whether the parser has got nothing of this exchange, and whether
        # bytes were dropped in it.
        self._is_unparsed = True
        self._has_dropped_bytes = False
        # Fields and body parts of this exchange that the parser has delivered.
        self._event_count = 0
        # Received bytes that are kept until a turn of this connection.
        self._kept = b''
        self._started_at = 0.0
        self._is_closed = False
        self._has_excess_data = False
        self._has_ended = False
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.idle_since = 0.0
        self._may_reuse = True
        self._body_in_parts: BodyInParts | None = None
        self._written_body_bytes = 0
        self._is_writing_paused = False
        self._body = body_buffer.BodyBuffer()
        # Parts of the body that are not stored yet.
        self._new_parts: list[bytes] = []
        self._reset_response()

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has ended."""
        return self._is_closed

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent now."""
        return (
            not self._is_closed
            and self._may_reuse
            and self._on_done is None
            and self.idle_s < self._idle_timeout_s
        )

    @property
    def idle_s(self) -> float:
        """Return the time since the last exchange ended, in seconds."""
        return time.monotonic() - self.idle_since

    def has_answered(self, request_id: bytes | None) -> bool:
        """Return whether a copy of a response could bear the id of a request.

        Args:
            request_id: Id of the request; None if it has none.
        """
        return hash(request_id) in self._answered_ids

    def describe(self) -> dict[str, float | None]:
        """Return log fields of the last exchange, which has ended.

        The idle time before it is in seconds; it is None on the first use of
        the connection.
        """
        idle_s = None
        if self.idle_since:
            idle_s = round(self._started_at - self.idle_since, 4)
        return {
            'connection': self.number,
            'exchange': self._exchange_count,
            'idle_s': idle_s,
            'skipped': self._skipped_count,
            'received_bytes': self._received_bytes,
            'body_bytes': self._body_bytes,
            'body_parts': self._part_count,
        }

    def start(
        self,
        payload: bytes,
        request_id: bytes | None,
        on_done: Callable[[Outcome], None],
        body: BodyInParts | None = None,
    ) -> None:
        """Send a request and call on_done once with the outcome.

        Args:
            payload: The encoded request.
            request_id: Id that the response carries, if any.
            on_done: Called once with the outcome.
            body: Body that follows the payload, if any.
        """
        if self._is_closed or self._transport is None:
            on_done(FailureKind.CONNECT)
            return
        self._on_done = on_done
        self._request_id = request_id
        self._is_head = payload.startswith(b'HEAD ')
        self._result = None
        self._received_bytes = 0
        self._body_bytes = 0
        self._part_count = 0
        self._skipped_count = 0
        self._exchange_count += 1
        self._event_count = 0
        self._is_unparsed = True
        self._has_dropped_bytes = False
        self._started_at = time.monotonic()
        self._reset_response()
        self._read_limit.apply(self._transport, len(payload))
        self._transport.write(payload)
        self._body_in_parts = body
        self._written_body_bytes = 0
        self._request_body()

    @property
    def is_sending_body(self) -> bool:
        """Return whether a part of the body of the request is missing."""
        return (
            self._body_in_parts is not None
            and self._written_body_bytes < self._body_in_parts.size
        )

    def write_body(self, data: bytes) -> None:
        """Send the next part of the body, unless the exchange has ended."""
        body = self._body_in_parts
        if self._on_done is None or self._transport is None or body is None:
            return
        self._written_body_bytes += len(data)
        if self._written_body_bytes > body.size:
            # What follows the body would be taken for another request.
            self._fail_exchange(FailureKind.MALFORMED)
            return
        self._transport.write(data)
        self._request_body()

    def _request_body(self) -> None:
        """Ask for further parts of the body while the server reads them."""
        body = self._body_in_parts
        if body is not None and self.is_sending_body:
            if not self._is_writing_paused:
                body.request(self._written_body_bytes + BODY_WINDOW_BYTES)

    def pause_writing(self) -> None:
        """Ask for no further part of a body, since the server reads slowly."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Ask for further parts of a body."""
        self._is_writing_paused = False
        if self._on_done is not None:
            self._request_body()

    def cancel(self) -> None:
        """Abort the exchange without calling on_done."""
        self._on_done = None
        self._body_in_parts = None
        self._discard_response()
        self.close()

    def close(self) -> None:
        """Abort the connection without flushing its write buffer."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket of the established connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        tcp.configure(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of the response."""
        if self._on_done is None or self._parser is None:
            # Bytes after a complete response belong to no request.
            self._counts.excess += 1
            self.close()
            return
        if self._is_unparsed:
            data = self._drop_excess(data)
            if not data:
                return
            self._is_unparsed = False
        if self._event_count >= parse_turns.MAX_EVENTS_AT_ONCE:
            self._wait_for_turn(data)
        else:
            self._parse(data, parse_turns.MAX_EVENTS_AT_ONCE)

    def _parse(self, data: bytes, last_event: int) -> None:
        """Parse received bytes; those behind an event wait for a turn."""
        start = 0
        while self._parser is not None:
            part = data
            if len(data) > MAX_PARSED_BYTES:
                part = data[start : start + MAX_PARSED_BYTES]
            start += len(part)
            self._received_bytes += len(part)
            try:
                self._parser.feed_data(part)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                if self._result is None:
                    self._store_parts()
                    self._fail_exchange(FailureKind.MALFORMED)
                    return
                self._has_excess_data = True
            if self._result is not None:
                if start < len(data):
                    self._has_excess_data = True
                self._finish_exchange()
                return
            self._store_parts()
            if self._on_done is None:
                return
            if response_limits.is_oversized(
                received_bytes=self._received_bytes,
                body_bytes=self._body_bytes,
                skipped_count=self._skipped_count,
                max_body_bytes=MAX_RESPONSE_BYTES,
            ):
                self._fail_exchange(FailureKind.TOO_LARGE)
                return
            if response_limits.has_excessive_parts(
                part_count=self._part_count, body_bytes=self._body_bytes
            ):
                self._fail_exchange(FailureKind.PARTS_TOO_SMALL)
                return
            if start >= len(data):
                return
            if self._event_count >= last_event:
                self._wait_for_turn(data[start:])
                return

    def _wait_for_turn(self, data: bytes) -> None:
        """Keep received bytes, and receive no more, until the next turn."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._kept:
            self._kept += data
            return
        self._kept = data
        self._transport.pause_reading()
        self._turns.request(self, asyncio.get_running_loop())

    @property
    def parsed_events(self) -> int:
        """Return the fields and body parts of this exchange so far."""
        return self._event_count

    def continue_parsing(self) -> None:
        """Parse kept bytes, and receive further ones."""
        data, self._kept = self._kept, b''
        if (
            self._on_done is None
            or self._transport is None
            or self._transport.is_closing()
        ):
            return
        self._transport.resume_reading()
        self._parse(data, self._event_count + parse_turns.MAX_EVENTS_AT_ONCE)

    def _drop_excess(self, data: bytes) -> bytes:
        """Return received bytes without those of an earlier exchange.

        Bytes behind its complete response belong to no request, and may have
        arrived only after this request was sent. The response to it carries
        its id; without an id, nothing is dropped.
        """
        begin = data.lstrip(b'\r\n')[: len(_RESPONSE_BEGIN)]
        if (
            not self.idle_since
            or self._id_field is None
            or self._request_id is None
            or _RESPONSE_BEGIN.startswith(begin)
            or time.monotonic() - self._started_at > EXCESS_S
        ):
            return data
        if not self._has_dropped_bytes:
            self._counts.excess += 1
        self._has_dropped_bytes = True
        start = data.find(_RESPONSE_BEGIN)
        return data[start:] if start >= 0 else b''

    def eof_received(self) -> bool:
        """Complete a response that the end of the connection delimits."""
        if self._on_done is not None and self._is_unframed_body():
            self._may_reuse = False
            self._complete_response()
            if self._result is not None:
                self._finish_exchange()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange whose response is incomplete, if any."""
        del exc
        self._is_closed = True
        self._transport = None
        self._parser = None
        if self._on_lost is not None:
            self._on_lost(self)
        if self._on_done is None:
            self._discard_response()
            return
        if self._has_response_begun:
            self._fail_exchange(FailureKind.TRUNCATED)
        elif self._has_dropped_bytes:
            self._fail_exchange(FailureKind.MALFORMED)
        else:
            self._fail_exchange(FailureKind.BROKEN)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response, or record data after the complete one."""
        if self._result is not None:
            self._has_excess_data = True
            return
        self._reset_response()
        self._has_response_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field."""
        if self._result is not None or self._on_done is None:
            return
        self._event_count += 1
        if self._has_header:
            # Trailer fields, which may not take the place of header fields.
            return
        lower = name.lower()
        if lower in self._kept_fields:
            self._fields[lower] = value
        if lower in CONNECTION_FIELDS:
            self._process_connection_field(lower, value)
            if lower != b'content-length' or not self._keeps_length():
                return
        self._head += b'%b: %b\r\n' % (name, value)

    def on_headers_complete(self) -> None:
        """Record that the header is complete, and with it maybe all."""
        self._has_header = True
        if self._result is not None or self._on_done is None:
            return
        assert self._parser is not None
        if not response_limits.is_valid_status(self._parser.get_status_code()):
            self._fail_exchange(FailureKind.BAD_STATUS)
            return
        if (
            self._is_head or self._announces_body
        ) and self._is_bodiless_response():
            self._may_reuse = False
            self._complete_response()

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body until the parser returns."""
        # Runs for each chunk, so that a response in small chunks spends most
        # of its processor time here.
        self._new_parts.append(data)

    def on_message_complete(self) -> None:
        """Complete the response unless it is an interim one."""
        if self._result is not None:
            return
        self._store_parts()
        if self._on_done is None:
            return
        assert self._parser is not None
        if self._parser.get_status_code() < 200:
            # The end of the connection must not complete this response.
            self._has_header = False
            self._skipped_count += 1
            return
        if not self._parser.should_keep_alive():
            self._may_reuse = False
        self._complete_response()

    def _store_parts(self) -> None:
        """Store the new parts of the body, or fail if it is too large."""
        part_count = len(self._new_parts)
        if not part_count:
            return
        # A single part is not copied.
        data = b''.join(self._new_parts)
        self._new_parts.clear()
        if self._on_done is None:
            return
        self._body_bytes += len(data)
        self._event_count += part_count
        self._part_count += part_count
        self._turns.part_count += part_count
        size = self._size + len(data)
        if size <= SMALL_BODY_BYTES:
            self._held.take_anyway(len(data))
        elif size > MAX_RESPONSE_BYTES:
            self._fail_exchange(FailureKind.TOO_LARGE)
            return
        elif not self._held.take(len(data)):
            self._fail_exchange(FailureKind.NO_MEMORY)
            return
        self._size = size
        self._body.append(data)

    def _process_connection_field(self, name: bytes, value: bytes) -> None:
        if name in (b'content-length', b'transfer-encoding'):
            self._is_framed = True
            if value != b'0':
                self._announces_body = True
        elif name == b'connection' and b'close' in value.lower():
            self._may_reuse = False
        elif name == b'keep-alive':
            self._idle_timeout_s = _parse_idle_timeout_s(value)

    def _keeps_length(self) -> bool:
        """Return whether the length is that of another response."""
        if self._is_head:
            return True
        assert self._parser is not None
        return self._parser.get_status_code() == _STATUS_NOT_MODIFIED

    def _is_bodiless_response(self) -> bool:
        """Return whether this is the response and has no body by its kind.

        The response to another request is framed as its fields say.
        """
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status not in _BODILESS_STATUSES and (
            not self._is_head or status < 200
        ):
            return False
        return self._bears_request_id()

    def _bears_request_id(self) -> bool:
        """Return whether the response is that to the request, by its id."""
        if self._id_field is None:
            return True
        return (self._fields.get(self._id_field) or None) == self._request_id

    def _is_unframed_body(self) -> bool:
        return (
            self._has_header and not self._is_framed and self._result is None
        )

    def _complete_response(self) -> None:
        if not self._bears_request_id():
            self._skipped_count += 1
            self._counts.skipped += 1
            self._has_response_begun = False
            self._has_header = False
            return
        assert self._parser is not None
        self._result = Response(
            status=self._parser.get_status_code(),
            head=bytes(self._head),
            fields=self._fields,
            body=self._body.take(),
        )

    def _finish_exchange(self) -> None:
        on_done, result = self._on_done, self._result
        self._on_done = None
        self._discard_response()
        self.idle_since = time.monotonic()
        if self.is_sending_body:
            # The server would read the next request as the rest of the body.
            self._may_reuse = False
        self._body_in_parts = None
        if isinstance(result, Response):
            self._remember_id(result)
        if self._has_excess_data:
            self._counts.excess += 1
        if self._has_excess_data or not self._may_reuse:
            self.close()
        if on_done is not None and result is not None:
            on_done(result)

    def _remember_id(self, response: Response) -> None:
        """Remember the id of a request that may be sent again."""
        if self._id_field is None:
            return
        if self._request_id is not None and (
            self._is_final is None or self._is_final(response)
        ):
            return
        self._answered_ids.add(hash(self._request_id))
        if len(self._answered_ids) >= MAX_ANSWERED_IDS:
            self._may_reuse = False

    def _fail_exchange(self, kind: FailureKind) -> None:
        on_done = self._on_done
        self._on_done = None
        self._body_in_parts = None
        self._discard_response()
        if not self._is_closed:
            self.close()
        if on_done is not None:
            on_done(kind)

    def _release_bytes(self) -> None:
        if self._size:
            self._held.release(self._size)
            self._size = 0

    def _discard_response(self) -> None:
        """Drop what was received, since the exchange has ended.

        The connection may stay open, or be referenced by calls that have
        ended.
        """
        self._result = None
        self._kept = b''
        self._reset_response()

    def _reset_response(self) -> None:
        self._release_bytes()
        self._head = bytearray()
        self._fields: dict[bytes, bytes] = {}
        self._body.clear()
        self._new_parts.clear()
        self._is_framed = False
        # Whether a length above 0 or a transfer encoding is stated.
        self._announces_body = False
        self._has_response_begun = False
        self._has_header = False


def _parse_idle_timeout_s(value: bytes) -> float:
    """Return how long a connection may be idle, in seconds.

    Args:
        value: Value of the Keep-Alive field.
    """
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return IDLE_TIMEOUT_FRACTION * int(number)
    return DEFAULT_IDLE_TIMEOUT_S


class Exchange:
    """Handle to an exchange that may still wait for its connection."""

    __slots__ = ('_connection', '_is_cancelled')

    def __init__(self) -> None:
        """Initialize an exchange without a connection."""
        self._connection: ExchangeConnection | None = None
        self._is_cancelled = False

    @property
    def is_cancelled(self) -> bool:
        """Return whether the exchange was cancelled."""
        return self._is_cancelled

    @property
    def connection_number(self) -> int:
        """Return the number of the connection; 0 before there is one."""
        return 0 if self._connection is None else self._connection.number

    def describe(self) -> dict[str, float | None]:
        """Return log fields of the exchange, if it was sent and has ended."""
        return {} if self._connection is None else self._connection.describe()

    def attach(self, connection: ExchangeConnection) -> None:
        """Set the connection that carries the exchange."""
        self._connection = connection

    @property
    def is_sending_body(self) -> bool:
        """Return whether a part of the body of the request is missing."""
        return (
            self._connection is not None and self._connection.is_sending_body
        )

    def write_body(self, data: bytes) -> None:
        """Send the next part of the body."""
        if self._connection is not None:
            self._connection.write_body(data)

    def cancel(self) -> None:
        """Cancel the exchange and close its connection."""
        self._is_cancelled = True
        if self._connection is not None:
            self._connection.cancel()


class _IdleLimit:
    """Limits the idle time after which a connection may be reused.

    A server may drop an idle connection without closing it and reset it when
    the next request arrives. So a reset shows that the idle time was too long.
    """

    def __init__(self) -> None:
        self._limit_s = math.inf
        self._lowered_at = 0.0

    @property
    def limit_s(self) -> float:
        """Return the limit in seconds, which grows after each reduction."""
        since_s = time.monotonic() - self._lowered_at
        return self._limit_s * 2.0 ** min(
            64.0, since_s / IDLE_LIMIT_DOUBLING_S
        )

    def reduce_after_reset(self, idle_s: float) -> None:
        """Reduce the limit after a reset of a reused connection.

        Args:
            idle_s: Idle time of the connection before the lost request.
        """
        lowered_s = max(MIN_IDLE_LIMIT_S, IDLE_LIMIT_FRACTION * idle_s)
        if lowered_s < self.limit_s:
            self._limit_s = lowered_s
            self._lowered_at = time.monotonic()


class ExchangePool:
    """Pool of connections to one server."""

    def __init__(
        self,
        address: tuple[str, int],
        kept_fields: frozenset[bytes],
        id_field: bytes | None = None,
        is_final: IsFinal | None = None,
    ) -> None:
        """Initialize a pool without connections.

        Args:
            address: Host and port of the server.
            kept_fields: Lower-case names of the response fields whose values
                are kept.
            id_field: Lower-case name of the response field that carries the
                request id; None if ids are not compared.
            is_final: Tells responses that end their request; if None, all
                do.
        """
        self._address = address
        self._is_final = is_final
        self._kept_fields = kept_fields
        self._id_field = id_field
        self._idle_connections: collections.deque[ExchangeConnection] = (
            collections.deque()
        )
        self._idle_limit = _IdleLimit()
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._open_connections: dict[int, ExchangeConnection] = {}
        # Attempts to connect since the start.
        self.connect_count = 0
        # Number of the most recent connection.
        self.opened = 0
        self.held = held_bytes.ByteBudget()
        self.turns = parse_turns.ParseTurns()
        self.counts = ResponseCounts()

    def start(
        self,
        payload: bytes,
        request_id: bytes | None,
        on_done: Callable[[Outcome], None],
        *,
        may_retry: bool = True,
        body: BodyInParts | None = None,
    ) -> Exchange:
        """Send a request on an idle or a new connection.

        Args:
            payload: The encoded request.
            request_id: Id that the response carries, if any.
            on_done: Called once with the outcome, unless the exchange is
                cancelled.
            may_retry: Whether the request may be sent again if it is lost.
                If not, it is sent on a new connection or on one that was idle
                for at most MAX_IDLE_WITHOUT_RETRY_S.
            body: Body that follows the payload, if any.
        """
        exchange = Exchange()
        connection = self._pop_idle_connection(may_retry, request_id)
        if connection is not None:
            self._send(
                connection, exchange, payload, request_id, on_done, body
            )
            return exchange
        task = asyncio.get_running_loop().create_task(
            self._async_connect(exchange, payload, request_id, on_done, body)
        )
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)
        return exchange

    def _pop_idle_connection(
        self, may_retry: bool, request_id: bytes | None
    ) -> ExchangeConnection | None:
        """Return the most recently used connection that may be reused.

        If those that could be used have answered the id, one connection ends
        in exchange for the new one.
        """
        limit_s = self._idle_limit.limit_s
        passed_over: list[ExchangeConnection] = []
        found = None
        while self._idle_connections and found is None:
            connection = self._idle_connections.pop()
            if not connection.is_reusable or connection.idle_s > limit_s:
                connection.close()
            elif (
                not may_retry and connection.idle_s > MAX_IDLE_WITHOUT_RETRY_S
            ):
                # All other connections have been idle for longer.
                self._idle_connections.append(connection)
                break
            elif connection.has_answered(request_id):
                passed_over.append(connection)
            else:
                found = connection
        self._idle_connections.extend(reversed(passed_over))
        if found is None and passed_over:
            # The server may accept no further connection beside these.
            self._idle_connections.popleft().close()
        return found

    def has_open_connection(self, up_to: int) -> bool:
        """Return whether a connection with at most this number is open."""
        return any(number <= up_to for number in self._open_connections)

    async def async_check(self) -> FailureKind | None:
        """Open a connection and return how that failed, or None.

        The connection is kept for the next request.
        """
        connection = await self._async_open_connection()
        if isinstance(connection, FailureKind):
            return connection
        connection.idle_since = time.monotonic()
        self._idle_connections.append(connection)
        return None

    def close_idle(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    def _send(
        self,
        connection: ExchangeConnection,
        exchange: Exchange,
        payload: bytes,
        request_id: bytes | None,
        on_done: Callable[[Outcome], None],
        body: BodyInParts | None,
    ) -> None:
        exchange.attach(connection)
        idle_s = connection.idle_s if connection.idle_since else 0.0

        def finish(outcome: Outcome) -> None:
            if connection.is_reusable:
                self._idle_connections.append(connection)
            elif outcome is FailureKind.BROKEN and idle_s > MIN_IDLE_LIMIT_S:
                self._idle_limit.reduce_after_reset(idle_s)
            on_done(outcome)

        connection.start(payload, request_id, finish, body)

    async def _async_connect(
        self,
        exchange: Exchange,
        payload: bytes,
        request_id: bytes | None,
        on_done: Callable[[Outcome], None],
        body: BodyInParts | None,
    ) -> None:
        connection = await self._async_open_connection()
        if isinstance(connection, FailureKind):
            if not exchange.is_cancelled:
                on_done(connection)
            return
        if exchange.is_cancelled:
            connection.close()
            return
        self._send(connection, exchange, payload, request_id, on_done, body)

    async def _async_open_connection(self) -> ExchangeConnection | FailureKind:
        """Return a new connection, or how opening it failed."""
        self.connect_count += 1
        loop = asyncio.get_running_loop()
        host, port = self._address
        connecting = loop.create_task(
            loop.create_connection(
                lambda: ExchangeConnection(
                    self._kept_fields,
                    self._id_field,
                    self.held,
                    self._remove_connection,
                    self.turns,
                    self.counts,
                    self._is_final,
                ),
                host,
                port,
            )
        )
        try:
            await timeouts.async_wait_or_cancel(connecting, CONNECT_TIMEOUT_S)
            _, connection = connecting.result()
        except ConnectionRefusedError:
            return FailureKind.REFUSED
        except OSError:
            # TimeoutError is an OSError.
            return FailureKind.CONNECT
        except Exception as error:
            # Nobody else would end the exchange.
            loop.call_exception_handler(
                {'message': 'connecting raised', 'exception': error}
            )
            return FailureKind.CONNECT
        if connection.is_closed:
            return FailureKind.CONNECT
        self.opened += 1
        connection.number = self.opened
        self._open_connections[connection.number] = connection
        return connection

    def _remove_connection(self, connection: ExchangeConnection) -> None:
        self._open_connections.pop(connection.number, None)


def response_field_names(names: fields.FieldNames) -> frozenset[bytes]:
    """Return the names of response fields that affect a call."""
    return frozenset(
        {
            names.attempt_id,
            names.seal,
            names.not_run,
            names.instance_id,
            names.cold_ms,
            b'content-encoding',
            b'retry-after',
        }
    )
