"""Fingerprints of requests that were in flight at a crash."""

import dataclasses
import heapq

from sassafraswood.models import ids
from sassafraswood.models import records


@dataclasses.dataclass(frozen=True, order=True)
class CrashEntry:
    """What is known about a fingerprint, ordered by age.

    The later crash wins; for the same crash, its clearance wins.

    Attributes:
        crash_unix_s: Unix time of the last crash in seconds.
        is_cleared: Whether it ran alone without a crash since.
    """

    crash_unix_s: float
    is_cleared: bool


class FingerprintTable:
    """Crash entries and quarantines, both bounded.

    Each key keeps its largest entry, and the table keeps its largest keys.
    Both are the maximum of a total order, so the result of merges depends
    neither on their order nor on repetition, also where entries are dropped:
    an entry is dropped only below a full table of larger ones, and no later
    merge can make those smaller.
    """

    def __init__(self, *, max_crashes: int, max_quarantined: int) -> None:
        """Take the largest numbers of entries."""
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
        """Return the quarantines by fingerprint."""
        return [entry for _, entry in sorted(self._quarantined.items())]

    def crash(self, fingerprint: ids.Fingerprint) -> CrashEntry | None:
        """Return the crash entry of a fingerprint."""
        return self._crashes.get(fingerprint)

    def quarantine(
        self, fingerprint: ids.Fingerprint
    ) -> records.QuarantineFingerprint | None:
        """Return the quarantine of a fingerprint."""
        return self._quarantined.get(fingerprint)

    def put_crashes(self, entries: dict[ids.Fingerprint, CrashEntry]) -> None:
        """Merge crash entries."""
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

    def put_quarantines(
        self, entries: list[records.QuarantineFingerprint]
    ) -> None:
        """Merge quarantines."""
        for entry in entries:
            known = self._quarantined.get(entry.fingerprint)
            if known is None or _rank(known) < _rank(entry):
                self._quarantined[entry.fingerprint] = entry
        if len(self._quarantined) > self._max_quarantined:
            kept = heapq.nlargest(
                self._max_quarantined, self._quarantined.values(), key=_rank
            )
            self._quarantined = {entry.fingerprint: entry for entry in kept}

    def drop_until(
        self, crash_unix_s: float, quarantine_unix_s: float
    ) -> None:
        """Drop crashes and quarantine ends that are not after these times."""
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


def _rank(
    entry: records.QuarantineFingerprint,
) -> tuple[float, ids.Fingerprint, ids.ServiceName]:
    return entry.until_unix_s, entry.fingerprint, entry.service
