"""Checks after a restart whether the former upstream still runs."""

import asyncio
from collections.abc import Callable
from typing import Final

from sassafraswood.coordination import upstream_registry
from sassafraswood.models import fields
from sassafraswood.models import fleet
from sassafraswood.transport import exchange
from sassafraswood.transport import json_log

# A live upstream sends its next report within about this time anyway.
TIMEOUT_S: Final = 1.0
_STATUS_OK: Final = 200


class UpstreamProbe:
    """Sends the upstream one health check and compares its instance id.

    A live upstream reports every second or two. Without the probe, a restarted
    daemon could not send calls to a ready upstream until its next report.
    """

    def __init__(
        self,
        *,
        pool: exchange.ExchangePool,
        host: str,
        names: fields.FieldNames,
        registry: upstream_registry.UpstreamRegistry,
        log: json_log.JsonLog,
        on_resumed: Callable[[], None],
    ) -> None:
        """Initialize the probe.

        Args:
            pool: Connections to the upstream.
            host: Host header field of the health check.
            names: Names of header fields.
            registry: Resumes the upstream if it is the same instance.
            log: Log that events are written to.
            on_resumed: Called after the registry has resumed the upstream.
        """
        self._pool = pool
        self._host = host.encode()
        self._names = names
        self._registry = registry
        self._log = log
        self._on_resumed = on_resumed
        self._known_upstream: fleet.StoredUpstream | None = None
        self._health_path: str | None = None
        self._exchange: exchange.Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None

    def set_known_upstream(
        self, upstream: fleet.StoredUpstream | None
    ) -> None:
        """Set the upstream that the former process stored last, if any."""
        self._known_upstream = upstream
        self._start_check()

    def set_health_path(self, path: str | None) -> None:
        """Set the path of the health check from the traffic rules."""
        if path != self._health_path:
            self._health_path = path
            self._start_check()

    def _start_check(self) -> None:
        upstream = self._known_upstream
        if upstream is None or self._health_path is None:
            return
        self._known_upstream = None
        if self._registry.report is not None:
            return
        payload = b'GET %b HTTP/1.1\r\nHost: %b\r\n\r\n' % (
            self._health_path.encode(),
            self._host,
        )
        self._timer = asyncio.get_running_loop().call_later(
            TIMEOUT_S, self._on_timeout
        )
        self._exchange = self._pool.start(
            payload, None, lambda outcome: self._on_outcome(upstream, outcome)
        )

    def _on_timeout(self) -> None:
        if self._exchange is not None:
            self._exchange.cancel()
        self._log.change('upstream_probe_unanswered', waited_s=TIMEOUT_S)

    def _on_outcome(
        self, upstream: fleet.StoredUpstream, outcome: exchange.Outcome
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        instance = b''
        status = 0
        if isinstance(outcome, exchange.Response):
            status = outcome.status
            instance = outcome.fields.get(self._names.instance_id, b'')
        is_same = instance == upstream.instance_id.encode()
        is_resumed = (
            is_same
            and status == _STATUS_OK
            and self._registry.resume(upstream)
        )
        self._log.change(
            'upstream_probed',
            instance=instance.decode('latin-1'),
            expected=upstream.instance_id,
            status=status,
            resumed=is_resumed,
        )
        if is_resumed:
            self._on_resumed()
