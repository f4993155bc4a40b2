"""Detects crashes of the upstream beside this daemon and their suspects.

A crash is detected when the port of the upstream refuses connections, another
process responds at its address, a later start reports, or both reports and
responses are missing. A broken connection alone is no proof, but the port is
then tried at once: there may be no further call that would find the crash
before the next upstream has started.
"""

import asyncio
from collections.abc import Callable, Iterable
import enum
from typing import Final, Protocol

from sassafraswood import clock as clock_module
from sassafraswood.coordination import lost_runs
from sassafraswood.coordination import upstream_registry
from sassafraswood.models import crash
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.sidecar import fingerprints
from sassafraswood.transport import exchange
from sassafraswood.transport import json_log

# Delay from a broken connection to the check for others that are still open.
# A crash resets all connections within milliseconds; ticks are 25 ms apart.
CHECK_DELAY_S: Final = 0.05
# An upstream is silent after this many report intervals without a report or a
# response; a report may be late by half an interval.
SILENT_REPORT_INTERVALS: Final = 1.6
# A longer time between two ticks shows that the daemon itself was suspended.
# Its upstream then seems silent until the data received meanwhile is read.
MAX_TICK_GAP_S: Final = 0.3
# Most suspects of a crash, those started last; an upstream has up to a few
# hundred slots.
MAX_SUSPECTS: Final = 320
# Most suspects and attempts that a log line names.
MAX_LOGGED_SUSPECTS: Final = 16


class CrashSign(enum.Enum):
    """How the crash of an upstream was detected."""

    PORT_REFUSED = 'port_refused'
    OTHER_INSTANCE = 'other_instance'
    LATER_START = 'later_start'
    SILENT = 'silent'


class WatchedCall(Protocol):
    """A call that was sent to the upstream.

    Attributes:
        run: The message that asked for the call.
        running: The exchange with the upstream, once it has begun.
        started_at: When it was sent, in seconds of monotonic time.
        upstream: The process of the upstream that it was sent to.
    """

    run: frames.Run
    running: exchange.Exchange | None
    started_at: float
    upstream: fleet.UpstreamProcess | None


OnCrash = Callable[[fleet.UpstreamProcess, list[crash.Suspect], float], None]


class UpstreamWatch:
    """Detects a crash of each process of the upstream, at most once."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        registry: upstream_registry.UpstreamRegistry,
        pool: exchange.ExchangePool,
        log: json_log.JsonLog,
        report_interval_s: float,
        running: Callable[[], Iterable[WatchedCall]],
        on_refused: Callable[[], None],
        on_doubt: Callable[[], None],
        on_crash: OnCrash,
    ) -> None:
        """Initialize the watch.

        Args:
            clock: Monotonic time.
            registry: State of the upstream by its reports.
            pool: Connections to the upstream.
            log: Log that events are written to.
            report_interval_s: Time between reports of the upstream in
                seconds.
            running: Returns the calls that wait for a response.
            on_refused: Called when the port of the upstream refuses
                connections.
            on_doubt: Called when all earlier connections have ended, but the
                port accepts new ones: another process may have it.
            on_crash: Called after a crash with the upstream, the suspects and
                the seconds since the crash, if there were any calls in flight.
        """
        self._clock = clock
        self._registry = registry
        self._pool = pool
        self._log = log
        self.report_interval_s = report_interval_s
        self._running = running
        self._on_refused = on_refused
        self._on_doubt = on_doubt
        self._on_crash = on_crash
        self._lost_runs: lost_runs.LostRuns[WatchedCall] = lost_runs.LostRuns(
            clock
        )
        self._upstream: fleet.UpstreamProcess | None = None
        self._is_leaving = False
        self._has_crashed = False
        self._responded_at = clock.monotonic()
        self._ticked_at = clock.monotonic()
        # Monotonic time of the first broken connection that is not checked
        # yet, and the number of the connection opened last before it.
        self._unchecked_break: tuple[float, int] | None = None
        self._check_task: asyncio.Task[None] | None = None

    @property
    def is_checking(self) -> bool:
        """Return whether a broken connection may still prove to be a crash."""
        return (
            self._unchecked_break is not None or self._check_task is not None
        )

    def note_response(self, call: WatchedCall) -> None:
        """Note that the upstream has responded to a call."""
        self._responded_at = self._clock.monotonic()
        number = 0
        if call.running is not None:
            number = call.running.connection_number
        kind, *path_kinds = fingerprints.build_local_keys(call.run)
        self._lost_runs.note_response(kind, call.started_at, number)
        for path_kind in path_kinds:
            self._lost_runs.count_response(path_kind)
        if call.upstream == self._upstream:
            self._has_crashed = False

    def record_lost_run(self, call: WatchedCall, *, is_broken: bool) -> None:
        """Note that a call has ended without a response.

        Args:
            call: The call.
            is_broken: Whether its connection broke; it was cancelled
                otherwise.
        """
        self._lost_runs.record_lost_run(
            call,
            call.started_at,
            self._pool.opened,
            is_broken=is_broken,
        )
        if is_broken and self._unchecked_break is None:
            self._unchecked_break = self._clock.monotonic(), self._pool.opened

    def note_port_refused(self, upstream: fleet.UpstreamProcess) -> None:
        """Note that the port of an upstream refuses connections."""
        is_current = upstream == self._upstream
        self._note_crash(upstream, CrashSign.PORT_REFUSED)
        if is_current:
            self._registry.note_crash()
            self._on_refused()

    def note_other_instance(self, upstream: fleet.UpstreamProcess) -> None:
        """Note that another process responds at the address of an upstream."""
        self._note_crash(upstream, CrashSign.OTHER_INSTANCE)

    def refresh(self) -> None:
        """Apply the newest report; a later start shows a crash."""
        report = self._registry.report
        if report is None:
            # It has left as planned.
            self._upstream = None
            return
        upstream = upstream_registry.get_upstream_process(report)
        if upstream != self._upstream:
            former, self._upstream = self._upstream, upstream
            if former is not None and not self._is_leaving:
                self._note_crash(former, CrashSign.LATER_START)
            self._has_crashed = False
        self._is_leaving = report.status is enums.UpstreamStatus.DRAINING

    def tick(self) -> None:
        """Check for broken connections and for silence of the upstream."""
        now = self._clock.monotonic()
        was_suspended = now - self._ticked_at > MAX_TICK_GAP_S
        self._ticked_at = now
        if (
            self._unchecked_break is not None
            and now - self._unchecked_break[0] >= CHECK_DELAY_S
        ):
            self._check_after_break(self._unchecked_break[1])
            self._unchecked_break = None
        silent_s = min(self._registry.silent_s, now - self._responded_at)
        if was_suspended:
            self._responded_at = now
        elif silent_s > SILENT_REPORT_INTERVALS * self.report_interval_s:
            self._note_silence()

    def _check_after_break(self, last_connection: int) -> None:
        """Try the port unless an older connection is still open.

        Args:
            last_connection: Number of the connection that was opened last
                before one broke.
        """
        upstream = self._upstream
        if upstream is None or self._has_crashed or self._is_leaving:
            return
        if self._pool.has_open_connection(last_connection):
            return
        if self._check_task is None:
            self._check_task = asyncio.get_running_loop().create_task(
                self._async_try_port(upstream)
            )

    async def _async_try_port(self, upstream: fleet.UpstreamProcess) -> None:
        try:
            failure = await self._pool.async_check()
        finally:
            self._check_task = None
        self._log.change(
            'upstream_port_tried',
            instance=upstream.instance_id,
            failure='' if failure is None else failure.value,
        )
        if failure is exchange.FailureKind.REFUSED:
            self.note_port_refused(upstream)
        elif failure is None:
            self._on_doubt()

    def _note_silence(self) -> None:
        upstream = self._upstream
        if upstream is None or self._has_crashed or self._is_leaving:
            return
        oldest_started_at = min(
            (call.started_at for call in self._running()),
            default=self._clock.monotonic(),
        )
        longest_wait_s = self._clock.monotonic() - oldest_started_at
        if (
            self._lost_runs.has_recent_losses
            or longest_wait_s > self.report_interval_s
        ):
            self._note_crash(upstream, CrashSign.SILENT)

    def _note_crash(
        self, upstream: fleet.UpstreamProcess, sign: CrashSign
    ) -> None:
        """Report the crash of an upstream once, with its suspects."""
        if upstream == self._upstream:
            if self._has_crashed or self._is_leaving:
                return
            self._has_crashed = True
        elif sign is not CrashSign.LATER_START or self._has_crashed:
            # A later start has already replaced it.
            return
        now = self._clock.monotonic()
        lost = [
            item
            for item in self._lost_runs.take()
            if item.call.upstream == upstream
        ]
        broken_at = max(
            (item.ended_at for item in lost if item.is_broken), default=now
        )
        lost_calls = [(item.call, item.ended_at) for item in lost]
        lost_calls += [
            (call, now)
            for call in self._running()
            if call.upstream == upstream
        ]
        # A silent upstream may have crashed at any time since its last
        # response.
        since_response_s = now - self._responded_at
        suspects = self._suspects(
            lost_calls, since_response_s if sign is CrashSign.SILENT else 0.0
        )
        self._log.change(
            'upstream_ended',
            instance=upstream.instance_id,
            born=upstream.born,
            noticed=sign.value,
            last_answer_s=round(now - self._responded_at, 3),
            last_report_s=round(min(self._registry.silent_s, 1e9), 3),
            lost_calls=len(lost_calls),
            attempts=[
                call.run.attempt_id.decode('latin-1')
                for call, _ in lost_calls[-MAX_LOGGED_SUSPECTS:]
            ],
            suspects=[
                item.fingerprint for item in suspects[-MAX_LOGGED_SUSPECTS:]
            ],
        )
        if suspects:
            self._on_crash(upstream, suspects, now - broken_at)

    def _suspects(
        self, lost_calls: list[tuple[WatchedCall, float]], min_age_s: float
    ) -> list[crash.Suspect]:
        """Return one suspect per fingerprint, sorted by start of its call.

        Args:
            lost_calls: Calls in flight at the crash, and when each was lost in
                seconds of monotonic time.
            min_age_s: Least age of a call at the crash, in seconds.
        """
        lost_calls.sort(key=lambda item: item[0].started_at)
        suspects: dict[ids.Fingerprint, crash.Suspect] = {}
        for call, ended_at in lost_calls[-MAX_SUSPECTS:]:
            for fingerprint, key in zip(
                fingerprints.hash_all(call.run),
                fingerprints.build_local_keys(call.run),
                strict=True,
            ):
                former = suspects.pop(fingerprint, None)
                suspects[fingerprint] = crash.Suspect(
                    fingerprint=fingerprint,
                    rate_per_s=round(self._lost_runs.rate_per_s(key), 3),
                    age_s=round(max(min_age_s, ended_at - call.started_at), 4),
                    is_repeat=call.run.is_repeat
                    and (former is None or former.is_repeat),
                )
        return list(suspects.values())
