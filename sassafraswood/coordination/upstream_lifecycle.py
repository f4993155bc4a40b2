"""Lifecycle of the upstream beside this daemon."""

from collections.abc import Callable

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import admission as admission_module
from sassafraswood.models import enums


class UpstreamLifecycle:
    """Derives the status of the upstream from announcements and calls.

    An upstream that refuses connections counts as crashed until it
    announces itself again or accepts a probe.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        admission: admission_module.Admission,
        set_address: Callable[[str], None],
        on_change: Callable[[enums.UpstreamStatus, int], None],
        on_crash: Callable[[], None],
    ) -> None:
        """Create a lifecycle without an upstream.

        Args:
            clock: Monotonic clock.
            admission: Admission control that receives status and slots.
            set_address: Called with host:port of each announcement.
            on_change: Called with each new status and the announced slots.
            on_crash: Called once for each crash, before the status changes.
        """
        self._clock = clock
        self._admission = admission
        self._set_address = set_address
        self._on_change = on_change
        self._on_crash = on_crash
        self._instance = ''
        self._status = enums.UpstreamStatus.ABSENT
        self._slots = 0
        self._cold_started_at = 0.0

    @property
    def status(self) -> enums.UpstreamStatus:
        """Return the status of the upstream."""
        return self._status

    @property
    def slots(self) -> int:
        """Return the number of announced slots."""
        return self._slots

    def announce(self, address: str, slots: int, instance: str) -> None:
        """Record an announcement of an upstream.

        A repeated announcement of a serving upstream only changes its slots.
        An announcement of another process means that the previous one has
        ended, which counts as a crash; a fast restart hides it from probes.

        Args:
            address: Address of the upstream as host:port.
            slots: Number of calls that the upstream runs at once.
            instance: Identifies the process of the upstream.
        """
        self._set_address(address)
        is_restart = instance != self._instance
        self._instance = instance
        if self._status in admission_module.SERVING_STATUSES:
            if is_restart:
                self._on_crash()
                self._slots = slots
                self._start_cold()
            elif slots != self._slots:
                self._slots = slots
                self._set_status(self._status)
            return
        self._slots = slots
        self._start_cold()

    def drain(self) -> None:
        """Send no new calls to the upstream; running calls continue."""
        if self._status in admission_module.SERVING_STATUSES:
            self._set_status(enums.UpstreamStatus.DRAINING)

    def leave(self) -> None:
        """Record that the upstream has left."""
        self._set_status(enums.UpstreamStatus.ABSENT)

    def note_crash(self) -> None:
        """Record that the upstream refuses connections."""
        if self._status in admission_module.SERVING_STATUSES:
            self._on_crash()
            self._set_status(enums.UpstreamStatus.CRASHED)

    def record_probe_result(self, is_accepting: bool) -> None:
        """Record the result of a probe of a crashed upstream."""
        if is_accepting and self._status is enums.UpstreamStatus.CRASHED:
            self._start_cold()

    def tick(self) -> None:
        """End the cold start when it is due; call this every second."""
        if self._status is not enums.UpstreamStatus.COLD:
            return
        cold_elapsed_s = self._clock.monotonic() - self._cold_started_at
        is_warm = self._admission.limit >= self._slots
        if is_warm or cold_elapsed_s >= const.COLD_START_TIMEOUT_S:
            self._set_status(enums.UpstreamStatus.READY)

    def _start_cold(self) -> None:
        self._cold_started_at = self._clock.monotonic()
        self._set_status(enums.UpstreamStatus.COLD)

    def _set_status(self, status: enums.UpstreamStatus) -> None:
        self._status = status
        self._admission.set_upstream(status, self._slots)
        self._on_change(status, self._slots)
