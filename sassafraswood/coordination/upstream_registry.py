"""State of the upstream beside a daemon, taken from its reports."""

from collections.abc import Iterable
import math
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.models import ids

# Least time between two reports that confirm an upstream. Delayed reports
# arrive together; a live upstream sends its next report after at least 1 s.
MIN_CONFIRMATION_INTERVAL_S: Final = 0.7


class UpstreamRegistry:
    """Orders the reports of the upstreams at one address.

    A report may be outdated: delayed in transit, or sent by a process that
    has ended and whose address another process uses now. A restarted daemon
    does not know which upstreams have left until record_leaves is called.
    Until then, an upstream counts as ready only after a second report.

    The former process of the daemon may have acknowledged a leave that it
    could not store. Where a health check is needed, no report makes an
    upstream ready before the upstream itself has said that it is.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        service: ids.ServiceName,
        address: tuple[str, int],
        silence_s: float,
        are_leaves_known: bool,
        needs_health_check: bool = False,
    ) -> None:
        """Create a registry without reports.

        Args:
            clock: Monotonic clock for the times of reports.
            service: Service of the upstream.
            address: Address of the upstream.
            silence_s: Time without a report after which the upstream counts
                as crashed.
            are_leaves_known: Whether no upstream can have left before this
                process started, so that no leaves need to be read.
            needs_health_check: Whether the first upstream has to pass a health
                check before it counts as ready.
        """
        self._clock = clock
        self._service = service
        self._address = address
        self.silence_s = silence_s
        self._are_leaves_known = are_leaves_known
        self._needs_health_check = needs_health_check
        self._unconfirmed: fleet.UpstreamReport | None = None
        self._unconfirmed_at = 0.0
        self._report: fleet.UpstreamReport | None = None
        self._reported_at = 0.0
        self._left_upstreams: set[fleet.UpstreamProcess] = set()
        # The last upstream that the previous process of this daemon knew.
        self._previous_upstream: fleet.StoredUpstream | None = None
        # Whether no upstream is expected that has not reported yet. Unknown
        # after a restart until the records are read.
        self._has_left = are_leaves_known

    @property
    def report(self) -> fleet.UpstreamReport | None:
        """Return the newest report of an upstream that has not left."""
        return self._report

    @property
    def unconfirmed_report(self) -> fleet.UpstreamReport | None:
        """Return the newest report that awaits confirmation, if any."""
        return self._unconfirmed

    @property
    def status(self) -> enums.UpstreamStatus:
        """Return the current status of the upstream."""
        if self._report is None:
            return enums.UpstreamStatus.ABSENT
        if self._clock.monotonic() - self._reported_at > self.silence_s:
            return enums.UpstreamStatus.CRASHED
        return self._report.status

    @property
    def has_left(self) -> bool:
        """Return whether the last upstream has left and no other is known.

        An upstream that has not reported since a restart of this daemon has
        not left.
        """
        return (
            self._has_left
            and self._report is None
            and self._unconfirmed is None
        )

    @property
    def silent_s(self) -> float:
        """Return the time since the last report in seconds."""
        return self._clock.monotonic() - self._reported_at

    def record_leaves(
        self,
        leaves: Iterable[fleet.UpstreamProcess],
        former: fleet.StoredUpstream | None,
    ) -> None:
        """Record what the previous process of this daemon stored.

        Args:
            leaves: Upstreams that had left.
            former: The last upstream at the address, if any.
        """
        self._previous_upstream = former
        self._left_upstreams.update(leaves)
        self._left_upstreams.update(
            [self._add_start(leave) for leave in self._left_upstreams]
        )
        self._are_leaves_known = True
        if former is None or (
            fleet.UpstreamProcess(
                instance_id=former.instance_id, born=former.born
            )
            in self._left_upstreams
        ):
            self._has_left = True
        unconfirmed, self._unconfirmed = self._unconfirmed, None
        if unconfirmed is not None:
            self.apply(unconfirmed)
        report = self._report
        if (
            report is not None
            and get_upstream_process(report) in self._left_upstreams
        ):
            self._report = None

    def resume(self, upstream: fleet.StoredUpstream) -> bool:
        """Resume an upstream of the previous process that responds to probes.

        Returns:
            Whether the upstream counts as ready from now on. False if it has
            left or if a report has arrived since the start.
        """
        report = fleet.UpstreamReport(
            instance_id=upstream.instance_id,
            service=self._service,
            address=self._address,
            born=upstream.born,
            # Lower than the sequence number of any report.
            sequence=-1,
            slots=upstream.slots,
            status=enums.UpstreamStatus.READY,
            cold_left_s=None,
        )
        if (
            self._report is not None
            or get_upstream_process(report) in self._left_upstreams
        ):
            return False
        self._accept(report)
        return True

    def waive_health_check(self) -> None:
        """Let reports alone make an upstream ready, as it has no check."""
        self._needs_health_check = False

    def confirm(self, instance_id: str) -> bool:
        """Accept the unconfirmed report of an upstream that is healthy.

        Args:
            instance_id: Identifier that the upstream gave in its response to a
                health check.

        Returns:
            Whether there was a report of this upstream.
        """
        report = self._unconfirmed
        if report is None or report.instance_id != instance_id:
            return False
        former = self._report
        if former is not None and former.instance_id != instance_id:
            # Its address is that of the upstream that has responded.
            self._left_upstreams.add(get_upstream_process(former))
        self._accept(report)
        return True

    def apply(self, report: fleet.UpstreamReport) -> bool:
        """Apply a report; return whether it is newer and of this upstream."""
        if report.service != self._service or report.address != self._address:
            return False
        if get_upstream_process(report) in self._left_upstreams:
            return False
        if self._is_earlier_start(report):
            if report.status is enums.UpstreamStatus.DRAINING:
                # It may be of an upstream that a health check would confirm.
                self._record_leave(get_upstream_process(report))
                return True
            if self.status is enums.UpstreamStatus.CRASHED:
                # The clock may have been set back before the next upstream
                # started; a health check shows whether that has sent it.
                self._unconfirmed = report
                return True
        if not self._is_newer(report):
            return False
        if self._is_confirmed(report):
            self._accept(report)
        return True

    def leave(
        self, instance_id: str, born: int | None
    ) -> fleet.UpstreamProcess:
        """Record that an upstream leaves; its later reports are ignored.

        Args:
            instance_id: Identifier of the upstream.
            born: Start of the upstream, if the caller knows it.

        Returns:
            The leave, with the start of the upstream if it is known.
        """
        for report in (self._unconfirmed, self._report):
            if (
                born is None
                and report is not None
                and report.instance_id == instance_id
            ):
                born = report.born
        leave = self._add_start(
            fleet.UpstreamProcess(instance_id=instance_id, born=born)
        )
        self._has_left = True
        if (
            self._report is not None
            and get_upstream_process(self._report) == leave
        ):
            self._report = None
        self._record_leave(leave)
        return leave

    def _record_leave(self, leave: fleet.UpstreamProcess) -> None:
        """Ignore the reports of an upstream, also one that is unconfirmed."""
        self._left_upstreams.add(leave)
        if (
            self._unconfirmed is not None
            and get_upstream_process(self._unconfirmed) == leave
        ):
            self._unconfirmed = None

    def note_crash(self) -> None:
        """Count the upstream as crashed until its next report."""
        self._reported_at = -math.inf

    def forget(self, instance_id: str) -> None:
        """Remove an upstream whose address another process uses now."""
        if (
            self._report is not None
            and self._report.instance_id == instance_id
        ):
            self._left_upstreams.add(get_upstream_process(self._report))
            self._report = None
            self._has_left = True

    def _accept(self, report: fleet.UpstreamReport) -> None:
        """Make a report the current one."""
        self._report = report
        self._reported_at = self._clock.monotonic()
        self._unconfirmed = None
        if report.status is enums.UpstreamStatus.READY:
            # Processes at the address that started earlier have ended.
            self._needs_health_check = False

    def _add_start(
        self, leave: fleet.UpstreamProcess
    ) -> fleet.UpstreamProcess:
        """Return the leave, with the start of the upstream if it is known.

        An upstream that leaves does not send its start, and this process may
        not have received a report of it yet.
        """
        former = self._previous_upstream
        if (
            leave.born is not None
            or former is None
            or former.instance_id != leave.instance_id
        ):
            return leave
        return fleet.UpstreamProcess(
            instance_id=leave.instance_id, born=former.born
        )

    def _is_confirmed(self, report: fleet.UpstreamReport) -> bool:
        """Return whether a report certainly shows the current state."""
        if report.status is not enums.UpstreamStatus.READY:
            return True
        if self._needs_health_check:
            self._unconfirmed = report
            return False
        if self._are_leaves_known or self._is_current_process(report):
            return True
        now = self._clock.monotonic()
        first = self._unconfirmed
        if (
            first is None
            or get_upstream_process(first) != get_upstream_process(report)
            or first.sequence >= report.sequence
        ):
            self._unconfirmed = report
            self._unconfirmed_at = now
            return False
        return now - self._unconfirmed_at >= MIN_CONFIRMATION_INTERVAL_S

    def _is_current_process(self, report: fleet.UpstreamReport) -> bool:
        """Return whether the current report is of the same process."""
        return self._report is not None and get_upstream_process(
            self._report
        ) == get_upstream_process(report)

    def _is_earlier_start(self, report: fleet.UpstreamReport) -> bool:
        """Return whether a report is of a process that started earlier."""
        current = self._report
        return (
            current is not None
            and report.born is not None
            and current.born is not None
            and report.born < current.born
        )

    def _is_newer(self, report: fleet.UpstreamReport) -> bool:
        current = self._report
        if current is None:
            return True
        if report.born is not None and current.born is not None:
            if report.born != current.born:
                return report.born > current.born
        if report.instance_id != current.instance_id:
            return True
        if (
            current.status is enums.UpstreamStatus.DRAINING
            and report.status is enums.UpstreamStatus.READY
        ):
            # A drain was acknowledged to the upstream and is not reverted
            # by a later report of the same process.
            return False
        return report.sequence > current.sequence


def get_upstream_process(
    report: fleet.UpstreamReport,
) -> fleet.UpstreamProcess:
    """Return the process that sent a report."""
    return fleet.UpstreamProcess(
        instance_id=report.instance_id, born=report.born
    )
