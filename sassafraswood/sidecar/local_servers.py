"""Answers the platform, the own upstream and the metrics reader."""

from collections.abc import Callable

from sassafraswood.coordination import upstream_registry
from sassafraswood import exceptions
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.platform import reports
from sassafraswood.sidecar import measures
from sassafraswood.sidecar import upstream_log
from sassafraswood.transport import ingress
from sassafraswood.transport import json_log

JSON_HEAD = b'Content-Type: application/json\r\n'


class ReadyHandler:
    """Tells whether the daemon takes requests."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Take what decides."""
        self._is_ready = is_ready

    def handle(self, request: ingress.IngressRequest) -> None:
        """Answer 200 or 503."""
        request.reply(200 if self._is_ready() else 503)

    def abandon(self, request: ingress.IngressRequest) -> None:
        """Do nothing; every request is answered at once."""


class MetricsHandler:
    """Serves the exposition of counters and histograms."""

    def __init__(
        self, metrics: measures.Measures, refresh: Callable[[], None]
    ) -> None:
        """Take the counters and what brings the gauges up to date."""
        self._metrics = metrics
        self._refresh = refresh

    def handle(self, request: ingress.IngressRequest) -> None:
        """Answer with the text."""
        # Loading it takes a fifth of the start, and most processes are
        # never asked.
        from sassafraswood.sidecar import exposition

        self._refresh()
        request.reply(
            200,
            b'Content-Type: text/plain; version=0.0.4\r\n',
            exposition.Exposition(self._metrics).render(),
        )

    def abandon(self, request: ingress.IngressRequest) -> None:
        """Do nothing; every request is answered at once."""


class ReportHandler:
    """Takes the reports of the upstream on this VM."""

    def __init__(
        self,
        registry: upstream_registry.UpstreamRegistry,
        upstreams: upstream_log.UpstreamLog,
        log: json_log.JsonLog,
        on_change: Callable[[], None],
    ) -> None:
        """Take the registry and what is called after a report."""
        self._registry = registry
        self._upstreams = upstreams
        self._log = log
        self._on_change = on_change

    def handle(self, request: ingress.IngressRequest) -> None:
        """Apply the report, then acknowledge it.

        Old reports are acknowledged too, since their sender is to stop.
        """
        try:
            call, instance_id = reports.parse_target(request.target)
            if call == reports.REPORT_CALL:
                leave = self._report(instance_id, request.body)
            elif call == reports.LEAVE_CALL:
                leave = self._leave(instance_id, request.body)
            else:
                raise exceptions.DecodeError(f'call {call!r}')
        except exceptions.DecodeError as error:
            self._log.decision('report_rejected', error=str(error))
            request.reply(400)
            return
        if leave is None:
            _acknowledge(request)
            return
        self._upstreams.record(leave, lambda: _acknowledge(request))

    def abandon(self, request: ingress.IngressRequest) -> None:
        """Do nothing; every request is answered at once."""

    def _report(
        self, instance_id: str, body: bytes
    ) -> fleet.UpstreamStart | None:
        """Return the leave if the upstream says that it leaves."""
        report = reports.decode(instance_id, body)
        before = self._registry.report
        if self._registry.apply(report):
            if before is not None and (before.instance_id, before.born) != (
                report.instance_id,
                report.born,
            ):
                self._log.change(
                    'upstream_replaced',
                    instance=report.instance_id,
                    born=report.born,
                    former=before.instance_id,
                    former_born=before.born,
                    former_status=before.status.value,
                )
            self._on_change()
            if report.status is enums.UpstreamStatus.DRAINING:
                return fleet.UpstreamStart(
                    instance_id=instance_id, born=report.born
                )
            self._upstreams.note_present(report)
            return None
        self._log.decision(
            'report_ignored',
            instance=instance_id,
            born=report.born,
            sequence=report.sequence,
            service=report.service,
        )
        return None

    def _leave(self, instance_id: str, body: bytes) -> fleet.UpstreamStart:
        born = reports.decode_leave(body)
        leave = self._registry.leave(instance_id, born)
        self._log.change(
            'upstream_leaves', instance=instance_id, born=leave.born
        )
        self._on_change()
        return leave


def _acknowledge(request: ingress.IngressRequest) -> None:
    request.reply(200, JSON_HEAD, b'{}')
