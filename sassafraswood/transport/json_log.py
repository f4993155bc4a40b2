"""Structured log lines on standard output.

Writing never blocks: lines that the reader does not take are counted and
dropped. Each kind of event has a rate of its own, and one line a second
tells how many lines were left out.
"""

import os
import time
from typing import Any, Final

import msgspec

# Lines a second of each kind of event that belongs to a request; a line
# takes about 5 us, so all kinds together stay below 1% of a core.
LINES_PER_S: Final = 100.0
MAX_BUFFER_BYTES: Final = 1 << 20
_encoder = msgspec.json.Encoder()


class _Meter:
    def __init__(self, now: float) -> None:
        self.tokens = LINES_PER_S
        self.filled_at = now
        self.dropped = 0


class JsonLog:
    """Writes one JSON object a line."""

    def __init__(self, daemon_id: str, descriptor: int = 1) -> None:
        """Take the name of the process and where to write."""
        self._daemon_id = daemon_id
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        self._meters: dict[str, _Meter] = {}
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # A regular file cannot block.
            self._dropped = 0

    def change(self, event: str, **fields: Any) -> None:
        """Log a change of state; such lines are always kept."""
        self._write(event, fields)

    def decision(self, event: str, **fields: Any) -> None:
        """Log a decision about a request, within the rate of its kind."""
        now = time.monotonic()
        meter = self._meters.get(event)
        if meter is None:
            meter = self._meters[event] = _Meter(now)
        meter.tokens = min(
            LINES_PER_S,
            meter.tokens + LINES_PER_S * (now - meter.filled_at),
        )
        meter.filled_at = now
        if meter.tokens < 1.0:
            meter.dropped += 1
            return
        meter.tokens -= 1.0
        self._write(event, fields)

    def flush(self) -> None:
        """Write what is buffered, as far as the reader takes it."""
        for event, meter in self._meters.items():
            if meter.dropped:
                dropped, meter.dropped = meter.dropped, 0
                self._write('lines_left_out', {'of': event, 'count': dropped})
        if self._dropped and len(self._buffer) < MAX_BUFFER_BYTES // 2:
            dropped, self._dropped = self._dropped, 0
            self._write('lines_lost', {'count': dropped})
        self._drain()

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        line = _encoder.encode(
            {
                'at': round(time.time(), 4),
                'daemon': self._daemon_id,
                'event': event,
                **fields,
            }
        )
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self._dropped += 1
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
            # The reader is gone; there is nowhere to report it.
            self._dropped += self._buffer.count(b'\n')
            self._buffer.clear()
            return
        del self._buffer[:written]
