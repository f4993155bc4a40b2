"""Table of request fingerprints that were in flight at a crash."""

import dataclasses
import heapq

from sassafraswood.models import ids
from sassafraswood.models import records


@dataclasses.dataclass(frozen=True, order=True)
class CrashEntry:
    """Last crash of a fingerprint and whether the fingerprint is cleared.

    Entries are ordered for merges: the later crash wins, and for the same
    crash the cleared entry wins.

    Attributes:
        crash_unix_s: Unix time of the last crash in seconds.
        is_cleared: Whether a request with the fingerprint has since run
            alone without a crash.
    """

    crash_unix_s: float
    is_cleared: bool


class FingerprintTable:
    """Crash entries and quarantines, both bounded in number.

    Each fingerprint keeps its largest entry, and a full table keeps its
    largest entries. Both follow a total order, so the result of merges
    depends neither on their order nor on repetition, even when entries are
    evicted: an entry is evicted only from a full table of larger ones, and no
    later merge makes those smaller.
    """

    def __init__(self, *, max_crashes: int, max_quarantined: int) -> None:
        """Create an empty table with the given bounds."""
        self._max_crashes = max_crashes
        self._max_quarantined = max_quarantined
        self._crashes: dict[ids.Fingerprint, CrashEntry] = {}
        self._quarantined: dict[
            ids.Fingerprint, records.QuarantineFingerprint
        ] = {}

    @property
    def crashes(self) -> dict[ids.Fingerprint, CrashEntry]:
        """Return a copy of the crash entries."""
        return dict(self._crashes)

    @property
    def quarantined(self) -> list[records.QuarantineFingerprint]:
        """Return the quarantines, sorted by fingerprint."""
        return [entry for _, entry in sorted(self._quarantined.items())]

    def crash(self, fingerprint: ids.Fingerprint) -> CrashEntry | None:
        """Return the crash entry of a fingerprint, or None."""
        return self._crashes.get(fingerprint)

    def quarantine(
        self, fingerprint: ids.Fingerprint
    ) -> records.QuarantineFingerprint | None:
        """Return the quarantine of a fingerprint, or None."""
        return self._quarantined.get(fingerprint)

    def merge_crashes(
        self, entries: dict[ids.Fingerprint, CrashEntry]
    ) -> None:
        """Merge crash entries into the table."""
        for fingerprint, entry in entries.items():
            known = self._crashes.get(fingerprint)
            if known is None or known < entry:
                self._crashes[fingerprint] = entry
        if len(self._crashes) > self._max_crashes:
            self._crashes = dict(
                heapq.nlargest(
                    self._max_crashes,
                    self._crashes.items(),
                    key=lambda item: (item[1], item[0]),
                )
            )

    def merge_quarantines(
        self, entries: list[records.QuarantineFingerprint]
    ) -> None:
        """Merge quarantines into the table."""
        for entry in entries:
            known = self._quarantined.get(entry.fingerprint)
            if known is None or _eviction_rank(known) < _eviction_rank(entry):
                self._quarantined[entry.fingerprint] = entry
        if len(self._quarantined) > self._max_quarantined:
            kept = heapq.nlargest(
                self._max_quarantined,
                self._quarantined.values(),
                key=_eviction_rank,
            )
            self._quarantined = {entry.fingerprint: entry for entry in kept}

    def remove_until(
        self, crash_unix_s: float, quarantine_unix_s: float
    ) -> None:
        """Remove entries that expired, with limits as Unix time in seconds.

        Args:
            crash_unix_s: Crashes at or before this time are removed.
            quarantine_unix_s: Quarantines that end at or before this time
                are removed.
        """
        self._crashes = {
            fingerprint: entry
            for fingerprint, entry in self._crashes.items()
            if entry.crash_unix_s > crash_unix_s
        }
        self._quarantined = {
            fingerprint: entry
            for fingerprint, entry in self._quarantined.items()
            if entry.until_unix_s > quarantine_unix_s
        }


def _eviction_rank(
    entry: records.QuarantineFingerprint,
) -> tuple[float, ids.Fingerprint, ids.ServiceName]:
    return entry.until_unix_s, entry.fingerprint, entry.service
