"""The upstream beside a daemon, from its own reports."""

from collections.abc import Iterable
import math
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.models import ids

# Reports that are delivered late arrive together; a live upstream sends its
# next one after an interval of one second or more.
CONFIRM_S: Final = 0.7


class UpstreamRegistry:
    """Orders the reports of one address.

    A report may be old: delayed on its way, or of a process that has ended
    and whose address another one uses now. A daemon that has restarted does
    not know which upstreams have left. Until it is told, an upstream counts
    as ready only once a second report shows that it is alive.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        service: ids.ServiceName,
        address: tuple[str, int],
        silence_s: float,
        knows_leaves: bool,
    ) -> None:
        """Take whose reports count.

        Args:
            clock: Dates reports.
            service: Service of the upstream.
            address: Address of the upstream.
            silence_s: Time without a report after which it is gone.
            knows_leaves: Whether no upstream can have left before.
        """
        self._clock = clock
        self._service = service
        self._address = address
        self.silence_s = silence_s
        self._knows_leaves = knows_leaves
        self._unconfirmed: fleet.UpstreamReport | None = None
        self._unconfirmed_at = 0.0
        self._report: fleet.UpstreamReport | None = None
        self._heard_at = 0.0
        self._left: set[fleet.UpstreamStart] = set()
        # The upstream that the former process knew.
        self._former: fleet.KnownUpstream | None = None

    @property
    def report(self) -> fleet.UpstreamReport | None:
        """Return the newest report of an upstream that has not left."""
        return self._report

    @property
    def status(self) -> enums.UpstreamStatus:
        """Return the state of the upstream now."""
        if self._report is None:
            return enums.UpstreamStatus.ABSENT
        if self._clock.monotonic() - self._heard_at > self.silence_s:
            return enums.UpstreamStatus.CRASHED
        return self._report.status

    @property
    def silent_s(self) -> float:
        """Return the time since the last report in seconds."""
        return self._clock.monotonic() - self._heard_at

    def note_leaves(
        self,
        leaves: Iterable[fleet.UpstreamStart],
        former: fleet.KnownUpstream | None,
    ) -> None:
        """Take what the former process of this daemon knew.

        Args:
            leaves: Upstreams that had left.
            former: The upstream that was there last.
        """
        self._former = former
        self._left.update(leaves)
        self._left.update([self._dated(leave) for leave in self._left])
        self._knows_leaves = True
        unconfirmed, self._unconfirmed = self._unconfirmed, None
        if unconfirmed is not None:
            self.apply(unconfirmed)
        report = self._report
        if report is not None and start_of(report) in self._left:
            self._report = None

    def resume(self, upstream: fleet.KnownUpstream) -> bool:
        """Take an upstream of the former process that answers now.

        Returns:
            Whether it counts as ready from now on; not if it has left, or a
            report has told of one since.
        """
        report = fleet.UpstreamReport(
            instance_id=upstream.instance_id,
            service=self._service,
            address=self._address,
            born=upstream.born,
            # Below that of any report.
            sequence=-1,
            slots=upstream.slots,
            status=enums.UpstreamStatus.READY,
            cold_left_s=0.0,
        )
        if self._report is not None or start_of(report) in self._left:
            return False
        self._report = report
        self._heard_at = self._clock.monotonic()
        return True

    def apply(self, report: fleet.UpstreamReport) -> bool:
        """Take a report; return whether it is news of this upstream."""
        if report.service != self._service or report.address != self._address:
            return False
        if start_of(report) in self._left:
            return False
        if not self._is_newer(report):
            return False
        if not self._is_confirmed(report):
            return True
        self._report = report
        self._heard_at = self._clock.monotonic()
        return True

    def leave(self, instance_id: str, born: int | None) -> fleet.UpstreamStart:
        """Take that the upstream leaves for good; it gets no more calls.

        Returns:
            The leave with the start of the upstream, if it is known.
        """
        report = self._report or self._unconfirmed
        if born is None and report is not None:
            if report.instance_id == instance_id:
                born = report.born
        leave = self._dated(
            fleet.UpstreamStart(instance_id=instance_id, born=born)
        )
        self._left.add(leave)
        if self._report is not None and start_of(self._report) == leave:
            self._report = None
        return leave

    def note_crash(self) -> None:
        """Take that nobody listens at the address until it reports again."""
        self._heard_at = -math.inf

    def forget(self, instance_id: str) -> None:
        """Take that another process answers at the address."""
        if (
            self._report is not None
            and self._report.instance_id == instance_id
        ):
            self._left.add(start_of(self._report))
            self._report = None

    def _dated(self, leave: fleet.UpstreamStart) -> fleet.UpstreamStart:
        """Return the leave with the start of the upstream, if it is known.

        An upstream that leaves does not tell its start, and this process may
        have no report of it yet.
        """
        former = self._former
        if (
            leave.born is not None
            or former is None
            or former.instance_id != leave.instance_id
        ):
            return leave
        return fleet.UpstreamStart(
            instance_id=leave.instance_id, born=former.born
        )

    def _is_confirmed(self, report: fleet.UpstreamReport) -> bool:
        """Return whether a report shows what its sender is now."""
        if self._knows_leaves:
            return True
        if report.status is not enums.UpstreamStatus.READY:
            return True
        now = self._clock.monotonic()
        first = self._unconfirmed
        if (
            first is None
            or start_of(first) != start_of(report)
            or first.sequence >= report.sequence
        ):
            self._unconfirmed = report
            self._unconfirmed_at = now
            return False
        return now - self._unconfirmed_at >= CONFIRM_S

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
            # The acknowledgement of its leave binds.
            return False
        return report.sequence > current.sequence


def start_of(report: fleet.UpstreamReport) -> fleet.UpstreamStart:
    """Return which process a report tells of."""
    return fleet.UpstreamStart(
        instance_id=report.instance_id, born=report.born
    )
