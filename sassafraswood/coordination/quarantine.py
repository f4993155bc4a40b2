"""Quarantine of requests that crash their upstreams.

A request in flight at a crash becomes a suspect and then runs alone. If the
upstream crashes again while it runs only that request, all daemons refuse the
request for a while, so that retries do not crash one upstream after another.
"""

import hashlib
import math
from typing import Sequence

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.state import fingerprints

# Least time between two recorded crashes of a fingerprint. A float that holds
# a current Unix time resolves 0.24 microseconds.
_MIN_CRASH_INTERVAL_S = 1e-6


def hash_parts(*parts: bytes) -> ids.Fingerprint:
    """Return the SHA-256 of the parts of a request in hexadecimal.

    Each part is preceded by its length, so that no two requests give the
    same input. The hash is cryptographic: with a fast one, a workspace could
    search for a crashing request that collides with a request of another
    workspace and have that one refused.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return ids.Fingerprint(digest.hexdigest())


def compute_fingerprint(
    service: ids.ServiceName, method: str, target: str, body: bytes
) -> ids.Fingerprint:
    """Return the fingerprint of a request.

    Args:
        service: The called service.
        method: HTTP method.
        target: Path and query of the URL.
        body: The complete request body.
    """
    return hash_parts(
        *(
            text.encode('utf-8', 'surrogatepass')
            for text in (service, method, target)
        ),
        body,
    )


class Quarantine:
    """Table of suspected and quarantined fingerprints.

    The serving daemon runs a suspect alone. Times are Unix times, because
    they are shared between VMs. The clocks of these differ by up to
    CLOCK_SKEW_S; times further in the future are clamped to that limit.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        service: ids.ServiceName = ids.ServiceName(''),
        max_suspects: int = const.MAX_SUSPECTS,
        max_quarantined: int = const.MAX_QUARANTINED,
    ) -> None:
        """Create an empty table.

        Args:
            clock: Wall clock for crash and quarantine times.
            service: Service of the upstream of this daemon.
            max_suspects: Largest number of fingerprints with a crash or a
                clearance.
            max_quarantined: Largest number of quarantined fingerprints.
        """
        self._clock = clock
        self._service = service
        self._table = fingerprints.FingerprintTable(
            max_crashes=max_suspects, max_quarantined=max_quarantined
        )

    def check(self, fingerprint: ids.Fingerprint) -> call.Refusal | None:
        """Return a refusal if the fingerprint is quarantined, else None."""
        entry = self._table.quarantine(fingerprint)
        if entry is None:
            return None
        left_s = entry.until_unix_s - self._clock.wall()
        if left_s <= 0.0:
            return None
        return call.Refusal(
            reason=enums.RefusalReason.QUARANTINED,
            outcome=enums.Outcome.NOT_RUN,
            detail='this request crashed the upstream that ran it alone',
            retry_after_s=left_s,
        )

    def is_suspect(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether a request has to run alone at its upstream."""
        entry = self._table.crash(fingerprint)
        if entry is None or entry.is_cleared:
            return False
        return (
            entry.crash_unix_s + const.SUSPECT_LIFETIME_S > self._clock.wall()
        )

    def note_crash(
        self, in_flight: Sequence[ids.Fingerprint]
    ) -> messages.FingerprintReport:
        """Record a crash of the own upstream; return the report for peers.

        A suspect that was the only request in flight is quarantined.
        Otherwise all requests in flight become suspects for
        SUSPECT_LIFETIME_S from this crash.

        Args:
            in_flight: Fingerprints of the calls that the upstream was
                running, without calls that it certainly had not begun.
        """
        distinct_in_flight = set(in_flight)
        if len(distinct_in_flight) == 1:
            (fingerprint,) = distinct_in_flight
            if self.is_suspect(fingerprint):
                return self._quarantine(fingerprint)
        now = self._clock.wall()
        crashes = {
            fingerprint: fingerprints.CrashEntry(
                self._compute_crash_time(fingerprint, now), False
            )
            for fingerprint in distinct_in_flight
        }
        self._table.merge_crashes(crashes)
        self._remove_expired(now)
        return _make_report(crashes, [], now)

    def note_lone_success(
        self, fingerprint: ids.Fingerprint
    ) -> messages.FingerprintReport:
        """Clear a suspect that ran alone; return the report for peers.

        The clearance covers only crashes known to this daemon: after a merge
        with a later crash elsewhere, the fingerprint is a suspect again.
        """
        now = self._clock.wall()
        entry = self._table.crash(fingerprint)
        if entry is None or entry.is_cleared:
            return _make_report({}, [], now)
        cleared = {
            fingerprint: fingerprints.CrashEntry(entry.crash_unix_s, True)
        }
        self._table.merge_crashes(cleared)
        return _make_report(cleared, [], now)

    def merge(self, report: messages.FingerprintReport) -> None:
        """Merge a report of a peer or of the log into the table.

        The merge is commutative, associative and idempotent. Entries without
        a crash time and entries whose time is not finite are ignored.
        """
        now = self._clock.wall()
        latest = now + const.CLOCK_SKEW_S
        crashes = {}
        for fingerprint, crash_unix_s in report.crash_unix_s.items():
            if not math.isfinite(crash_unix_s):
                continue
            # If a report lists a fingerprint as suspect and as cleared, the
            # clearance wins, as it does between reports.
            is_cleared = fingerprint in report.cleared
            if not is_cleared and fingerprint not in report.suspects:
                continue
            crashes[fingerprint] = fingerprints.CrashEntry(
                min(crash_unix_s, latest), is_cleared
            )
        quarantined = [
            records.QuarantineFingerprint(
                fingerprint=entry.fingerprint,
                service=entry.service,
                until_unix_s=min(
                    entry.until_unix_s, latest + const.QUARANTINE_DURATION_S
                ),
            )
            for entry in report.quarantined
            if math.isfinite(entry.until_unix_s)
        ]
        self._table.merge_crashes(crashes)
        self._table.merge_quarantines(quarantined)
        self._remove_expired(now)

    def report(
        self, only: Sequence[ids.Fingerprint] | None = None
    ) -> messages.FingerprintReport:
        """Return a report of the whole table or of some fingerprints.

        Args:
            only: Fingerprints to report; None for the whole table.
        """
        now = self._clock.wall()
        self._remove_expired(now)
        crashes = self._table.crashes
        quarantined = self._table.quarantined
        if only is not None:
            crashes = {key: crashes[key] for key in only if key in crashes}
            quarantined = [
                entry for entry in quarantined if entry.fingerprint in only
            ]
        return _make_report(crashes, quarantined, now)

    def table_hash(self) -> int:
        """Return a 63-bit hash of the table for comparison by peers."""
        self._remove_expired(self._clock.wall())
        digest = hashlib.blake2b(digest_size=8)
        for fingerprint, entry in sorted(self._table.crashes.items()):
            line = f'{fingerprint} {entry.crash_unix_s} {entry.is_cleared}\n'
            digest.update(line.encode('utf-8', 'surrogatepass'))
        for quarantined in self._table.quarantined:
            line = f'{quarantined.fingerprint} {quarantined.until_unix_s}\n'
            digest.update(line.encode('utf-8', 'surrogatepass'))
        return int.from_bytes(digest.digest(), 'big') >> 1

    def _quarantine(
        self, fingerprint: ids.Fingerprint
    ) -> messages.FingerprintReport:
        now = self._clock.wall()
        record = records.QuarantineFingerprint(
            fingerprint=fingerprint,
            service=self._service,
            until_unix_s=now + const.QUARANTINE_DURATION_S,
        )
        self._table.merge_quarantines([record])
        # The fingerprint remains a suspect after the quarantine, so its next
        # run is again alone.
        crashes = {
            fingerprint: fingerprints.CrashEntry(
                self._compute_crash_time(fingerprint, now), False
            )
        }
        self._table.merge_crashes(crashes)
        self._remove_expired(now)
        return _make_report(crashes, [record], now)

    def _compute_crash_time(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> float:
        """Return a crash time later than all known ones of the fingerprint.

        With the plain time of a clock that is behind, the clearance of an
        older crash would hide this crash.
        """
        known = self._table.crash(fingerprint)
        if known is None:
            return now
        return max(now, known.crash_unix_s + _MIN_CRASH_INTERVAL_S)

    def _remove_expired(self, now: float) -> None:
        self._table.remove_until(now - const.SUSPECT_LIFETIME_S, now)


def _make_report(
    crashes: dict[ids.Fingerprint, fingerprints.CrashEntry],
    quarantined: list[records.QuarantineFingerprint],
    now: float,
) -> messages.FingerprintReport:
    suspects = {}
    cleared = []
    for fingerprint, entry in sorted(crashes.items()):
        if entry.is_cleared:
            cleared.append(fingerprint)
            continue
        left_s = entry.crash_unix_s + const.SUSPECT_LIFETIME_S - now
        suspects[fingerprint] = max(0.0, left_s)
    return messages.FingerprintReport(
        suspects=suspects,
        cleared=cleared,
        quarantined=quarantined,
        crash_unix_s={
            fingerprint: entry.crash_unix_s
            for fingerprint, entry in sorted(crashes.items())
        },
    )
