"""Requests that crash the upstreams that run them.

The daemons that read the store for all count at how many upstreams a request
was in flight when they crashed. From the second one on it is refused by all.
"""

from collections.abc import Iterable
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.models import ids

# Upstreams that a request may crash before it is refused. One crash says
# nothing of the requests that were in flight; the same ones are hardly ever in
# flight at two.
MAX_CRASHES: Final = 2
# For this time in seconds crashes are remembered, and then a request that was
# refused may crash two more upstreams.
MEMORY_S: Final = 600.0
MAX_ENTRIES: Final = 4096


class CrashCounts:
    """Crashes by fingerprint, and the fingerprints that are refused."""

    def __init__(self, clock: clock_module.Clock) -> None:
        """Start without crashes."""
        self._clock = clock
        # Upstreams that crashed, and the time of the last crash.
        self._instances: dict[ids.Fingerprint, set[str]] = {}
        self._crashed_at: dict[ids.Fingerprint, float] = {}
        self._refused_until: dict[ids.Fingerprint, float] = {}

    @property
    def has_refused(self) -> bool:
        """Return whether any request is refused."""
        return bool(self._refused_until)

    def note_crash(
        self, instance: str, fingerprints: Iterable[ids.Fingerprint]
    ) -> list[ids.Fingerprint]:
        """Count a crash; return the fingerprints that are refused now.

        Args:
            instance: The upstream that crashed.
            fingerprints: Requests that were in flight at it.
        """
        now = self._clock.monotonic()
        self._drop_expired(now)
        found = []
        for fingerprint in fingerprints:
            instances = self._instances.setdefault(fingerprint, set())
            instances.add(instance)
            # The youngest stand last.
            self._crashed_at.pop(fingerprint, None)
            self._crashed_at[fingerprint] = now
            if len(instances) >= MAX_CRASHES:
                found.append(fingerprint)
        while len(self._crashed_at) > MAX_ENTRIES:
            oldest = next(iter(self._crashed_at))
            del self._crashed_at[oldest], self._instances[oldest]
        return self.refuse(found)

    def refuse(
        self, fingerprints: Iterable[ids.Fingerprint]
    ) -> list[ids.Fingerprint]:
        """Refuse requests; return those that were not refused before."""
        now = self._clock.monotonic()
        self._drop_expired(now)
        found = [
            fingerprint
            for fingerprint in fingerprints
            if fingerprint not in self._refused_until
        ]
        for fingerprint in found[:MAX_ENTRIES]:
            self._refused_until[fingerprint] = now + MEMORY_S
        return found

    def count(self, fingerprint: ids.Fingerprint) -> int:
        """Return at how many crashes a request was in flight."""
        return len(self._instances.get(fingerprint, ()))

    def is_refused(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether a request is refused."""
        until = self._refused_until.get(fingerprint, 0.0)
        return self._clock.monotonic() < until

    def _drop_expired(self, now: float) -> None:
        for fingerprint, at in list(self._crashed_at.items()):
            if now - at < MEMORY_S:
                break
            del self._crashed_at[fingerprint], self._instances[fingerprint]
        self._refused_until = {
            fingerprint: until
            for fingerprint, until in self._refused_until.items()
            if until > now
        }
