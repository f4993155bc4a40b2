"""Notices that the upstream beside this daemon has ended, and what ran there.

The ways in which an end shows: its port refuses, another process answers at
its address, a later start reports, or reports and answers both stay out. A
broken connection alone shows none; the port is tried at once then, since
nobody else may try it before the next upstream is there.
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

# Connections to an upstream that ends are reset within milliseconds; ticks
# are 25 ms apart.
CHECK_DELAY_S: Final = 0.05
# Without a report and an answer for this many intervals of reports an upstream
# is silent; a report that is late by half an interval is no sign.
SILENT_REPORTS: Final = 1.6
# A daemon that stood still finds its upstream silent until it has read what
# has come meanwhile; a tick later than this, in seconds, shows that it did.
STOOD_STILL_S: Final = 0.3
# Requests that are named at an end, those begun last; an upstream has up to a
# few hundred slots.
MAX_SUSPECTS: Final = 320
# Of these, the ones that a log line names.
MAX_LOGGED: Final = 16


class EndReason(enum.Enum):
    """How the end of an upstream was noticed."""

    PORT_REFUSED = 'port_refused'
    OTHER_INSTANCE = 'other_instance'
    LATER_START = 'later_start'
    SILENT = 'silent'


class WatchedCall(Protocol):
    """A call that the upstream runs or ran.

    Attributes:
        started_at: Monotonic time in seconds.
        upstream: The start of the upstream that it was sent to.
    """

    run: frames.Run
    running: exchange.Exchange | None
    started_at: float
    upstream: fleet.UpstreamStart | None


OnEnd = Callable[[fleet.UpstreamStart, list[crash.Suspect]], None]


class UpstreamWatch:
    """Follows one start of the upstream after the other."""

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
        on_end: OnEnd,
    ) -> None:
        """Take the parts.

        Args:
            clock: Monotonic time.
            registry: State of the upstream by its reports.
            pool: Connections to the upstream.
            log: Log lines.
            report_interval_s: Time between reports in seconds.
            running: Returns the calls that wait for an answer.
            on_refused: Called when nobody listens at its port.
            on_end: Called after an end with the upstream and the requests in
                flight, if there were any.
        """
        self._clock = clock
        self._registry = registry
        self._pool = pool
        self._log = log
        self.report_interval_s = report_interval_s
        self._running = running
        self._on_refused = on_refused
        self._on_end = on_end
        self._lost: lost_runs.LostRuns[WatchedCall] = lost_runs.LostRuns(clock)
        self._upstream: fleet.UpstreamStart | None = None
        self._is_leaving = False
        self._has_ended = False
        self._answered_at = clock.monotonic()
        self._ticked_at = clock.monotonic()
        # When a connection broke, and the one that was opened last before.
        self._doubt: tuple[float, int] | None = None
        self._check: asyncio.Task[None] | None = None

    def note_answer(self, call: WatchedCall) -> None:
        """Take that the upstream has answered a call."""
        self._answered_at = self._clock.monotonic()
        number = 0
        if call.running is not None:
            number = call.running.connection_number
        self._lost.note_answer(
            fingerprints.kind_of(call.run), call.started_at, number
        )
        if call.upstream == self._upstream:
            self._has_ended = False

    def note_lost(self, call: WatchedCall, *, is_broken: bool) -> None:
        """Take that a call ends without an answer.

        Args:
            call: The call.
            is_broken: Whether its connection has ended.
        """
        self._lost.note_lost(
            call,
            call.started_at,
            self._pool.opened,
            is_broken=is_broken,
        )
        if is_broken and self._doubt is None:
            self._doubt = self._clock.monotonic(), self._pool.opened

    def note_refused(self, upstream: fleet.UpstreamStart) -> None:
        """Take that nobody listens at the port of an upstream."""
        is_current = upstream == self._upstream
        self._end(upstream, EndReason.PORT_REFUSED)
        if is_current:
            self._registry.note_crash()
            self._on_refused()

    def note_other(self, upstream: fleet.UpstreamStart) -> None:
        """Take that another process answers in the place of an upstream."""
        self._end(upstream, EndReason.OTHER_INSTANCE)

    def refresh(self) -> None:
        """Take which upstream is there by its reports."""
        report = self._registry.report
        if report is None:
            # It has left as planned.
            self._upstream = None
            return
        upstream = upstream_registry.start_of(report)
        if upstream != self._upstream:
            former, self._upstream = self._upstream, upstream
            if former is not None and not self._is_leaving:
                self._end(former, EndReason.LATER_START)
            self._has_ended = False
        self._is_leaving = report.status is enums.UpstreamStatus.DRAINING

    def tick(self) -> None:
        """Look after broken connections and missing reports."""
        now = self._clock.monotonic()
        stood_still = now - self._ticked_at > STOOD_STILL_S
        self._ticked_at = now
        if self._doubt is not None and now - self._doubt[0] >= CHECK_DELAY_S:
            self._look(self._doubt[1])
            self._doubt = None
        silent_s = min(self._registry.silent_s, now - self._answered_at)
        if stood_still:
            self._answered_at = now
        elif silent_s > SILENT_REPORTS * self.report_interval_s:
            self._note_silence()

    def _look(self, connections: int) -> None:
        """Find out whether the upstream lives after a lost connection."""
        upstream = self._upstream
        if upstream is None or self._has_ended or self._is_leaving:
            return
        if self._pool.has_open(connections):
            return
        if self._check is None:
            self._check = asyncio.get_running_loop().create_task(
                self._async_check(upstream)
            )

    async def _async_check(self, upstream: fleet.UpstreamStart) -> None:
        try:
            failure = await self._pool.async_check()
        finally:
            self._check = None
        self._log.change(
            'upstream_port_tried',
            instance=upstream.instance_id,
            failure='' if failure is None else failure.value,
        )
        if failure is exchange.FailureKind.REFUSED:
            self.note_refused(upstream)

    def _note_silence(self) -> None:
        upstream = self._upstream
        if upstream is None or self._has_ended or self._is_leaving:
            return
        oldest = min(
            (call.started_at for call in self._running()),
            default=self._clock.monotonic(),
        )
        waited_s = self._clock.monotonic() - oldest
        if self._lost.has_lost or waited_s > self.report_interval_s:
            self._end(upstream, EndReason.SILENT)

    def _end(self, upstream: fleet.UpstreamStart, reason: EndReason) -> None:
        """Take the end of an upstream once."""
        if upstream == self._upstream:
            if self._has_ended or self._is_leaving:
                return
            self._has_ended = True
        elif reason is not EndReason.LATER_START or self._has_ended:
            # Its successor is known already.
            return
        now = self._clock.monotonic()
        lost = [
            (item.call, item.ended_at)
            for item in self._lost.take()
            if item.call.upstream == upstream
        ]
        lost += [
            (call, now)
            for call in self._running()
            if call.upstream == upstream
        ]
        # A silent upstream may have ended at any time since its last answer.
        unseen_s = now - self._answered_at
        suspects = self._suspects(
            lost, unseen_s if reason is EndReason.SILENT else 0.0
        )
        self._log.change(
            'upstream_ended',
            instance=upstream.instance_id,
            born=upstream.born,
            noticed=reason.value,
            last_answer_s=round(now - self._answered_at, 3),
            last_report_s=round(min(self._registry.silent_s, 1e9), 3),
            lost_calls=len(lost),
            attempts=[
                call.run.attempt_id.decode('latin-1')
                for call, _ in lost[-MAX_LOGGED:]
            ],
            suspects=[item.fingerprint for item in suspects[-MAX_LOGGED:]],
        )
        if suspects:
            self._on_end(upstream, suspects)

    def _suspects(
        self, lost: list[tuple[WatchedCall, float]], min_age_s: float
    ) -> list[crash.Suspect]:
        """Return one suspect for each request, those begun last at the end.

        Args:
            lost: Calls in flight, and when each was lost.
            min_age_s: Least time from a start to the end in seconds.
        """
        lost.sort(key=lambda item: item[0].started_at)
        found: dict[ids.Fingerprint, crash.Suspect] = {}
        for call, ended_at in lost[-MAX_SUSPECTS:]:
            fingerprint = fingerprints.of_run(call.run)
            former = found.pop(fingerprint, None)
            found[fingerprint] = crash.Suspect(
                fingerprint=fingerprint,
                rate_per_s=round(
                    self._lost.rate_per_s(fingerprints.kind_of(call.run)), 3
                ),
                age_s=round(max(min_age_s, ended_at - call.started_at), 4),
                is_repeat=call.run.is_repeat
                and (former is None or former.is_repeat),
            )
        return list(found.values())
