"""The upstream beside a daemon, from its own reports."""

from sassafraswood import clock as clock_module
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.models import ids


class UpstreamRegistry:
    """Orders the reports of one address.

    A report may be old: delayed on its way, or of a process that has ended
    and whose address another one uses now.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        service: ids.ServiceName,
        address: tuple[str, int],
        silence_s: float,
    ) -> None:
        """Take whose reports count and after which silence it is gone."""
        self._clock = clock
        self._service = service
        self._address = address
        self._silence_s = silence_s
        self._report: fleet.UpstreamReport | None = None
        self._heard_at = 0.0
        self._left: set[tuple[str, int | None]] = set()

    @property
    def report(self) -> fleet.UpstreamReport | None:
        """Return the newest report of an upstream that has not left."""
        return self._report

    @property
    def status(self) -> enums.UpstreamStatus:
        """Return the state of the upstream now."""
        if self._report is None:
            return enums.UpstreamStatus.ABSENT
        if self._clock.monotonic() - self._heard_at > self._silence_s:
            return enums.UpstreamStatus.CRASHED
        return self._report.status

    def apply(self, report: fleet.UpstreamReport) -> bool:
        """Take a report; return whether it is news of this upstream."""
        if report.service != self._service or report.address != self._address:
            return False
        if (report.instance_id, report.born) in self._left:
            return False
        if not self._is_newer(report):
            return False
        self._report = report
        self._heard_at = self._clock.monotonic()
        return True

    def leave(self, instance_id: str, born: int | None) -> None:
        """Take that the upstream leaves for good; it gets no more calls."""
        report = self._report
        if born is None and report is not None:
            if report.instance_id == instance_id:
                born = report.born
        self._left.add((instance_id, born))
        if (
            report is not None
            and report.instance_id == instance_id
            and report.born == born
        ):
            self._report = None

    def forget(self, instance_id: str) -> None:
        """Take that another process answers at the address."""
        if (
            self._report is not None
            and self._report.instance_id == instance_id
        ):
            self._left.add((instance_id, self._report.born))
            self._report = None

    def _is_newer(self, report: fleet.UpstreamReport) -> bool:
        current = self._report
        if current is None:
            return True
        if report.born is not None and current.born is not None:
            if report.born != current.born:
                return report.born > current.born
        if report.instance_id == current.instance_id:
            return report.sequence > current.sequence
        return True
