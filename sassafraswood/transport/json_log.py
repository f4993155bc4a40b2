"""Structured log lines on standard output.

Writing never blocks: lines that the reader of the output does not read in
time are counted and dropped. Lines about requests have a rate limit for each
kind of event, and each flush logs how many lines were dropped.
"""

from collections.abc import Callable, Iterable
import os
import time
import traceback
from typing import Any, Final

import msgspec

# Limit for each kind of event that belongs to a request. A line takes about
# 5 us, so all kinds together stay below 1% of a core.
MAX_LINES_PER_S: Final = 100.0
MAX_BUFFER_BYTES: Final = 1 << 20
_encoder = msgspec.json.Encoder()


class _TokenBucket:
    """Rate limit for the lines of one event."""

    def __init__(self, now: float) -> None:
        self.tokens = MAX_LINES_PER_S
        self.refilled_at = now
        self.dropped_count = 0


class JsonLog:
    """Writes log lines of one JSON object each."""

    def __init__(self, daemon_id: str, descriptor: int = 1) -> None:
        """Initialize the log and make the descriptor non-blocking.

        Args:
            daemon_id: Id of this daemon, which each line carries.
            descriptor: File descriptor that the lines are written to.
        """
        self._daemon_id = daemon_id
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._lost_count = 0
        self._buckets: dict[str, _TokenBucket] = {}
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # A regular file cannot block.
            self._lost_count = 0

    def change(self, event: str, **fields: Any) -> None:
        """Log a change of state, which has no rate limit."""
        self._write(event, fields)

    def decision(self, event: str, **fields: Any) -> None:
        """Log a decision about a request, within the rate of its event."""
        now = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _TokenBucket(now)
        bucket.tokens = min(
            MAX_LINES_PER_S,
            bucket.tokens + MAX_LINES_PER_S * (now - bucket.refilled_at),
        )
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            bucket.dropped_count += 1
            return
        bucket.tokens -= 1.0
        self._write(event, fields)

    def unexpected(self, event: str, **fields: Any) -> None:
        """Log the exception that is being handled, with its traceback."""
        self.decision(event, error=traceback.format_exc(), **fields)

    def run_each(
        self, event: str, steps: Iterable[Callable[[], object]]
    ) -> None:
        """Take steps one after the other.

        One that raises is logged as an event, and does not keep the others.
        """
        for step in steps:
            try:
                step()
            except Exception:
                self.unexpected(event)

    def flush(self) -> None:
        """Write buffered lines as far as the output accepts them."""
        for event, bucket in self._buckets.items():
            if bucket.dropped_count:
                dropped, bucket.dropped_count = bucket.dropped_count, 0
                self._write('lines_left_out', {'of': event, 'count': dropped})
        if self._lost_count and len(self._buffer) < MAX_BUFFER_BYTES // 2:
            dropped, self._lost_count = self._lost_count, 0
            self._write('lines_lost', {'count': dropped})
        self._drain()

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        head = {
            'at': round(time.time(), 4),
            'daemon': self._daemon_id,
            'event': event,
        }
        try:
            line = _encoder.encode(head | fields)
        except (TypeError, ValueError, OverflowError):
            # Text that is not UTF-8, such as that of an error with a path.
            line = _encoder.encode(
                head | {name: ascii(value) for name, value in fields.items()}
            )
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self._lost_count += 1
            return
        self._buffer += line
        self._buffer += b'\n'
        if len(self._buffer) > 8192:
            self._drain()

    def _drain(self) -> None:
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the output, which is the only place to
            # report the error.
            self._lost_count += self._buffer.count(b'\n')
            self._buffer.clear()
            return
        del self._buffer[:written]
