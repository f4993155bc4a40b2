"""Looks after a restart whether the upstream is the one that was there."""

import asyncio
from collections.abc import Callable
from typing import Final

from sassafraswood.coordination import upstream_registry
from sassafraswood.models import fields
from sassafraswood.models import fleet
from sassafraswood.transport import exchange
from sassafraswood.transport import json_log

# An upstream reports within this time, in seconds, in any case.
TIMEOUT_S: Final = 1.0
_HEALTHY: Final = 200


class UpstreamProbe:
    """Asks the upstream once for its health and its id.

    A live upstream reports every second or two. Until then the next process
    on its VM could not send it calls, though it has been ready all along.
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
        """Take the parts.

        Args:
            pool: Connections to the upstream.
            host: Address of the upstream, as text.
            names: Header fields.
            registry: Takes the upstream if it is the same.
            log: Log lines.
            on_resumed: Called after the registry has taken the upstream.
        """
        self._pool = pool
        self._host = host.encode()
        self._names = names
        self._registry = registry
        self._log = log
        self._on_resumed = on_resumed
        self._upstream: fleet.KnownUpstream | None = None
        self._health_path: str | None = None
        self._running: exchange.Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None

    def take_upstream(self, upstream: fleet.KnownUpstream | None) -> None:
        """Take what the former process knew."""
        self._upstream = upstream
        self._ask()

    def take_health_path(self, path: str | None) -> None:
        """Take where the upstream tells its health."""
        if path != self._health_path:
            self._health_path = path
            self._ask()

    def _ask(self) -> None:
        upstream = self._upstream
        if upstream is None or self._health_path is None:
            return
        self._upstream = None
        if self._registry.report is not None:
            return
        payload = b'GET %b HTTP/1.1\r\nHost: %b\r\n\r\n' % (
            self._health_path.encode(),
            self._host,
        )
        self._timer = asyncio.get_running_loop().call_later(
            TIMEOUT_S, self._give_up
        )
        self._running = self._pool.start(
            payload, None, lambda outcome: self._take(upstream, outcome)
        )

    def _give_up(self) -> None:
        if self._running is not None:
            self._running.cancel()
        self._log.change('upstream_probe_unanswered', waited_s=TIMEOUT_S)

    def _take(
        self, upstream: fleet.KnownUpstream, outcome: exchange.Outcome
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
            is_same and status == _HEALTHY and self._registry.resume(upstream)
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
