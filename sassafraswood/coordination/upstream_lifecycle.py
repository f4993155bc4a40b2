"""State of the upstream beside this daemon."""

from collections.abc import Callable

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import admission as admission_module
from sassafraswood.models import enums


class UpstreamLifecycle:
    """Takes what the upstream announces and what calls to it show.

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
        """Start without an upstream.

        Args:
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
        self._cold_since = 0.0

    @property
    def status(self) -> enums.UpstreamStatus:
        """Return the state of the upstream."""
        return self._status

    @property
    def slots(self) -> int:
        """Return the announced slots."""
        return self._slots

    def announce(self, address: str, slots: int, instance: str) -> None:
        """Take an upstream at host:port that runs slots calls at once.

        A repeated announcement of a serving upstream changes its slots only.
        One of another process means that the former one has ended, which a
        fast restart hides from probes.

        Args:
            instance: Names the process of the upstream.
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
                self._change(self._status)
            return
        self._slots = slots
        self._start_cold()

    def drain(self) -> None:
        """Give the upstream no new calls; those that run go on."""
        if self._status in admission_module.SERVING_STATUSES:
            self._change(enums.UpstreamStatus.DRAINING)

    def leave(self) -> None:
        """Forget the upstream."""
        self._change(enums.UpstreamStatus.ABSENT)

    def note_crash(self) -> None:
        """Take that the upstream refuses connections."""
        if self._status in admission_module.SERVING_STATUSES:
            self._on_crash()
            self._change(enums.UpstreamStatus.CRASHED)

    def note_probe(self, is_accepting: bool) -> None:
        """Take the result of a probe of a crashed upstream."""
        if is_accepting and self._status is enums.UpstreamStatus.CRASHED:
            self._start_cold()

    def tick(self) -> None:
        """End the cold start, every second."""
        if self._status is not enums.UpstreamStatus.COLD:
            return
        cold_s = self._clock.monotonic() - self._cold_since
        is_warm = self._admission.limit >= self._slots
        if is_warm or cold_s >= const.COLD_START_S:
            self._change(enums.UpstreamStatus.READY)

    def _start_cold(self) -> None:
        self._cold_since = self._clock.monotonic()
        self._change(enums.UpstreamStatus.COLD)

    def _change(self, status: enums.UpstreamStatus) -> None:
        self._status = status
        self._admission.set_upstream(status, self._slots)
        self._on_change(status, self._slots)
