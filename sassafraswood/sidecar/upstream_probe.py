"""Checks after a restart which upstream runs and whether it is ready."""

import asyncio
from collections.abc import Callable
from typing import Final

from sassafraswood.coordination import upstream_registry
from sassafraswood.models import fields
from sassafraswood.models import fleet
from sassafraswood.transport import exchange
from sassafraswood.transport import json_log
from sassafraswood.transport import timeouts

# A live upstream sends its next report within about this time anyway.
TIMEOUT_S: Final = 1.0
_STATUS_OK: Final = 200


class UpstreamProbe:
    """Sends the upstream health checks and compares its instance id.

    A live upstream reports every second or two. Without the probe, a restarted
    daemon could not send calls to a ready upstream until its next report.

    A report that arrives after the restart may have been sent before a leave
    that the former process acknowledged but could not store. An upstream that
    leaves fails its health check, so such a report has no effect.
    """

    def __init__(
        self,
        *,
        pool: exchange.ExchangePool,
        host: str,
        names: fields.FieldNames,
        registry: upstream_registry.UpstreamRegistry,
        log: json_log.JsonLog,
        on_ready: Callable[[], None],
        on_cold_time: Callable[[float | None], None],
    ) -> None:
        """Initialize the probe.

        Args:
            pool: Connections to the upstream.
            host: Host header field of the health check.
            names: Names of header fields.
            registry: State of the upstream by its reports.
            log: Log that events are written to.
            on_ready: Called after a check has made the upstream ready.
            on_cold_time: Called after on_ready with the time in seconds that
                the upstream stays cold; None if it states none.
        """
        self._pool = pool
        self._host = host.encode()
        self._names = names
        self._registry = registry
        self._log = log
        self._on_ready = on_ready
        self._on_cold_time = on_cold_time
        self._known_upstream: fleet.StoredUpstream | None = None
        self._health_path: str | None = None
        # The check that waits for its response, and its timeout.
        self._exchange: exchange.Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None

    def set_known_upstream(
        self, upstream: fleet.StoredUpstream | None
    ) -> None:
        """Set the upstream that the former process stored last, if any."""
        self._known_upstream = upstream
        self.check()

    def set_health_path(self, path: str | None) -> None:
        """Set the path of the health check from the traffic rules."""
        if path != self._health_path:
            self._health_path = path
            self.check()

    def check(self) -> None:
        """Send a health check if the registry needs one.

        It is called again with each report, so that a check that was lost or
        rejected is repeated.
        """
        if self._health_path is None or self._exchange is not None:
            return
        upstream = self._known_upstream
        if self._registry.report is not None:
            upstream = None
        if upstream is None and self._registry.unconfirmed_report is None:
            return
        self._known_upstream = None
        self._send(upstream, self._health_path)

    def ask_cold_time(self) -> None:
        """Send a health check to an upstream that may have turned cold.

        It is not repeated; the next report states the cold time, too.
        """
        if self._health_path is not None and self._exchange is None:
            self._send(None, self._health_path)

    def _send(self, upstream: fleet.StoredUpstream | None, path: str) -> None:
        payload = b'GET %b HTTP/1.1\r\nHost: %b\r\n\r\n' % (
            path.encode(),
            self._host,
        )
        self._timer = asyncio.get_running_loop().call_later(
            TIMEOUT_S, self._wait_for_last_read
        )
        self._exchange = self._pool.start(
            payload, None, lambda outcome: self._on_outcome(upstream, outcome)
        )

    def _wait_for_last_read(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            timeouts.LAST_READ_S, self._on_timeout
        )

    def _on_timeout(self) -> None:
        if self._exchange is not None:
            self._exchange.cancel()
            self._exchange = None
        self._log.change('upstream_probe_unanswered', waited_s=TIMEOUT_S)

    def _on_outcome(
        self, stored: fleet.StoredUpstream | None, outcome: exchange.Outcome
    ) -> None:
        self._exchange = None
        if self._timer is not None:
            self._timer.cancel()
        instance = b''
        cold_ms = b''
        status = 0
        if isinstance(outcome, exchange.Response):
            status = outcome.status
            instance = outcome.fields.get(self._names.instance_id, b'')
            cold_ms = outcome.fields.get(self._names.cold_ms, b'')
        instance_id = instance.decode('latin-1')
        is_healthy = status == _STATUS_OK
        reported = self._registry.unconfirmed_report
        is_confirmed = is_healthy and self._registry.confirm(instance_id)
        is_resumed = (
            is_healthy
            and not is_confirmed
            and stored is not None
            and stored.instance_id == instance_id
            and self._registry.resume(stored)
        )
        self._log.change(
            'upstream_probed',
            instance=instance_id,
            stored='' if stored is None else stored.instance_id,
            reported='' if reported is None else reported.instance_id,
            status=status,
            confirmed=is_confirmed,
            resumed=is_resumed,
        )
        if is_confirmed or is_resumed:
            self._on_ready()
        report = self._registry.report
        if report is not None and report.instance_id == instance_id:
            self._on_cold_time(_parse_cold_s(cold_ms))


def _parse_cold_s(cold_ms: bytes) -> float | None:
    """Return the cold time in seconds; None if there is none or no number."""
    try:
        return float(cold_ms) / 1000.0
    except ValueError:
        return None
