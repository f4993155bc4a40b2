"""System clock and manual clock for tests."""

import time
import typing


class Clock(typing.Protocol):
    """Source of time for decisions."""

    def monotonic(self) -> float:
        """Return seconds that never decrease and include suspended time."""

    def wall(self) -> float:
        """Return Unix time in seconds."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return CLOCK_BOOTTIME in seconds.

        CLOCK_MONOTONIC stops while a VM is suspended, so leases would not
        expire in time.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()


class ManualClock:
    """Clock that only `advance` moves, for tests and simulations."""

    def __init__(
        self, monotonic_s: float = 1000.0, wall_s: float = 1.7e9
    ) -> None:
        """Start at the given times in seconds."""
        self._monotonic_s = monotonic_s
        self._wall_s = wall_s

    def monotonic(self) -> float:
        """Return the current virtual time in seconds."""
        return self._monotonic_s

    def wall(self) -> float:
        """Return the current virtual Unix time in seconds."""
        return self._wall_s

    def advance(self, seconds: float) -> None:
        """Advance both clocks by the given number of seconds."""
        self._monotonic_s += seconds
        self._wall_s += seconds
