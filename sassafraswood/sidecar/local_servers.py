"""Handlers of readiness checks, upstream reports and metrics scrapes."""

from collections.abc import Callable

from sassafraswood.coordination import upstream_registry
from sassafraswood import exceptions
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.platform import reports
from sassafraswood.sidecar import measures
from sassafraswood.sidecar import upstream_log
from sassafraswood.transport import ingress_connection
from sassafraswood.transport import json_log

JSON_HEAD = b'Content-Type: application/json\r\n'


class ReadyHandler:
    """Responds to readiness checks of the platform."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Initialize the handler.

        Args:
            is_ready: Returns whether the daemon accepts requests.
        """
        self._is_ready = is_ready

    def handle(self, request: ingress_connection.IngressRequest) -> None:
        """Respond with 200 if the daemon is ready, else with 503."""
        request.reply(200 if self._is_ready() else 503)

    def may_run_ahead(
        self, request: ingress_connection.IngressRequest
    ) -> bool:
        """Return False, since each request gets its response soon."""
        del request
        return False

    def needs_body(self, request: ingress_connection.IngressRequest) -> bool:
        """Return False, since a check has no body."""
        del request
        return False

    def abandon(self, request: ingress_connection.IngressRequest) -> None:
        """Do nothing, since every request gets its response at once."""


class MetricsHandler:
    """Serves the exposition of counters and histograms."""

    def __init__(
        self, metrics: measures.Measures, refresh: Callable[[], None]
    ) -> None:
        """Initialize the handler.

        Args:
            metrics: Counters, gauges and histograms.
            refresh: Sets the gauges to their current values.
        """
        self._metrics = metrics
        self._refresh = refresh

    def handle(self, request: ingress_connection.IngressRequest) -> None:
        """Respond with the metrics in the Prometheus text format."""
        # The import takes a fifth of the start of a process, and most
        # processes are never scraped.
        from sassafraswood.sidecar import exposition

        self._refresh()
        request.reply(
            200,
            b'Content-Type: text/plain; version=0.0.4\r\n',
            exposition.Exposition(self._metrics).render(),
        )

    def may_run_ahead(
        self, request: ingress_connection.IngressRequest
    ) -> bool:
        """Return False, since each request gets its response soon."""
        del request
        return False

    def needs_body(self, request: ingress_connection.IngressRequest) -> bool:
        """Return False, since a scrape has no body."""
        del request
        return False

    def abandon(self, request: ingress_connection.IngressRequest) -> None:
        """Do nothing, since every request gets its response at once."""


class ReportHandler:
    """Applies the reports and leaves of the upstream on this VM."""

    def __init__(
        self,
        registry: upstream_registry.UpstreamRegistry,
        stored_upstreams: upstream_log.UpstreamLog,
        log: json_log.JsonLog,
        on_change: Callable[[], None],
    ) -> None:
        """Initialize the handler.

        Args:
            registry: State of the upstream by its reports.
            stored_upstreams: Stores leaves and the present upstream.
            log: Log that events are written to.
            on_change: Called after a report or leave was applied.
        """
        self._registry = registry
        self._upstream_log = stored_upstreams
        self._log = log
        self._on_change = on_change

    def handle(self, request: ingress_connection.IngressRequest) -> None:
        """Apply a report or leave, then acknowledge it.

        Outdated reports are acknowledged too, so that their sender stops
        sending them. A leave is acknowledged once it is stored.
        """
        try:
            call, instance_id = reports.parse_target(request.target)
            if call == reports.REPORT_CALL:
                leave = self._apply_report(instance_id, request.body)
            elif call == reports.LEAVE_CALL:
                leave = self._apply_leave(instance_id, request.body)
            else:
                raise exceptions.DecodeError(
                    f'target of a report names the unknown call {call!r}'
                )
        except exceptions.DecodeError as error:
            self._log.decision('report_rejected', error=str(error))
            request.reply(400)
            return
        if leave is None:
            _acknowledge(request)
            return
        self._upstream_log.record_leave(leave, lambda: _acknowledge(request))

    def may_run_ahead(
        self, request: ingress_connection.IngressRequest
    ) -> bool:
        """Return False, since each request gets its response soon."""
        del request
        return False

    def needs_body(self, request: ingress_connection.IngressRequest) -> bool:
        """Return True, since the body is the report."""
        del request
        return True

    def abandon(self, request: ingress_connection.IngressRequest) -> None:
        """Do nothing, since a leave is stored even without its sender."""

    def _apply_report(
        self, instance_id: str, body: bytes
    ) -> fleet.UpstreamProcess | None:
        """Apply a report; return the leave if the upstream is draining."""
        report = reports.decode(instance_id, body)
        former = self._registry.report
        if self._registry.apply(report):
            if (
                former is not None
                and self._registry.report is report
                and (former.instance_id, former.born)
                != (report.instance_id, report.born)
            ):
                self._log.change(
                    'upstream_replaced',
                    instance=report.instance_id,
                    born=report.born,
                    former=former.instance_id,
                    former_born=former.born,
                    former_status=former.status.value,
                )
            self._on_change()
            if report.status is enums.UpstreamStatus.DRAINING:
                return fleet.UpstreamProcess(
                    instance_id=instance_id, born=report.born
                )
            if self._registry.report is report:
                self._upstream_log.record_present(report)
            return None
        self._log.decision(
            'report_ignored',
            instance=instance_id,
            born=report.born,
            sequence=report.sequence,
            service=report.service,
        )
        if report.status is enums.UpstreamStatus.DRAINING:
            # It is acknowledged no sooner than the report that came first.
            leave = upstream_registry.get_upstream_process(report)
            return leave if self._upstream_log.has_leave(leave) else None
        return None

    def _apply_leave(
        self, instance_id: str, body: bytes
    ) -> fleet.UpstreamProcess:
        """Apply a deregistration and return its leave."""
        born = reports.decode_leave(body)
        leave = self._registry.leave(instance_id, born)
        self._log.change(
            'upstream_leaves', instance=instance_id, born=leave.born
        )
        self._on_change()
        return leave


def _acknowledge(request: ingress_connection.IngressRequest) -> None:
    request.reply(200, JSON_HEAD, b'{}')
