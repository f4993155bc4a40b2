"""Detection of requests that crash the upstreams that run them.

When an upstream crashes, its daemon reports the requests that were in flight.
A single crash is weak evidence against each of them. Once a coincidence is
unlikely for a request that was in flight at several crashes, all daemons
refuse it.

All tables are sets of records and verdicts that merge in any order, so copies
may arrive late, more than once and through several daemons.
"""

from collections.abc import Iterable
import math
from typing import Final

import xxhash

from sassafraswood import clock as clock_module
from sassafraswood.models import crash
from sassafraswood.models import ids

# Time for which a crash counts as evidence. A request that recurs less often
# does little harm.
MEMORY_S: Final = 600.0
# Bounds of the crash table; the oldest records are evicted first.
MAX_RECORDS: Final = 256
MAX_SUSPECTS: Final = 16384
# Lower bound of the probability that a request is in flight at a crash by
# coincidence: callers whose requests failed retry at the same time.
MIN_COINCIDENCE_PROBABILITY: Final = 0.02
# Lower bound for a call that was retried after a crash: the request that
# caused the crash is retried with it, at one of the few remaining upstreams.
RETRY_COINCIDENCE_PROBABILITY: Final = 0.5
# Evidence, as the negative natural logarithm of the probability of a
# coincidence, from which on a request is refused (1 in 1,000).
EVIDENCE_THRESHOLD: Final = math.log(1000.0)
# Threshold for a request that was refused before (1 in 10).
REPEATED_EVIDENCE_THRESHOLD: Final = math.log(10.0)
# Duration of the first refusal of a request, the factor for each further one,
# and the time after a refusal for which its verdict is kept.
REFUSAL_S: Final = 120.0
REFUSAL_GROWTH_FACTOR: Final = 4.0
PROBATION_S: Final = 3600.0
MAX_VERDICTS: Final = 256
# Verdicts of peers that expire within this time are ignored, so that daemons
# do not keep sending them to each other.
_EXPIRY_MARGIN_S: Final = 30.0


class _Verdict:
    __slots__ = ('round', 'until')

    def __init__(self, number: int, until: float) -> None:
        self.round = number
        self.until = until


class CrashCounts:
    """Table of upstream crashes and of the requests refused for them."""

    def __init__(self, clock: clock_module.Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        # Crash time on this monotonic clock and record, oldest first.
        self._records: dict[str, tuple[float, crash.CrashRecord]] = {}
        self._suspect_count = 0
        # Crashes at which a request was in flight since its last refusal, by
        # record id.
        self._sightings: dict[
            ids.Fingerprint, dict[str, tuple[ids.ServiceName, crash.Suspect]]
        ] = {}
        self._verdicts: dict[ids.Fingerprint, _Verdict] = {}
        self._digest = 0

    @property
    def has_verdicts(self) -> bool:
        """Return whether there is a verdict, in force or on probation."""
        return bool(self._verdicts)

    @property
    def digest(self) -> int:
        """Return a 64-bit hash of the verdicts, equal for equal verdicts."""
        return self._digest

    @property
    def records(self) -> list[crash.CrashRecord]:
        """Return the crashes that count as evidence."""
        return [record for _, record in self._records.values()]

    @property
    def verdicts(self) -> list[crash.Verdict]:
        """Return the verdicts, including those on probation."""
        return [
            self._export_verdict(fingerprint, verdict)
            for fingerprint, verdict in self._verdicts.items()
        ]

    def has_record(self, record_id: str) -> bool:
        """Return whether the table holds a crash record."""
        return record_id in self._records

    def age_s(self, record_id: str) -> float:
        """Return the time since a recorded crash in seconds.

        Raises:
            KeyError: The table does not hold the record.
        """
        ended_at, _ = self._records[record_id]
        return self._clock.monotonic() - ended_at

    def add(
        self, record: crash.CrashRecord, age_s: float = 0.0
    ) -> list[crash.Verdict]:
        """Record a crash; return the verdicts that follow from it.

        Args:
            record: The crash; ignored if the table holds it already.
            age_s: Time since the crash in seconds.
        """
        now = self._clock.monotonic()
        self._remove_expired(now)
        if record.record_id in self._records or age_s >= MEMORY_S:
            return []
        ended_at = now - max(0.0, age_s)
        self._records[record.record_id] = ended_at, record
        self._suspect_count += len(record.suspects)
        for suspect in record.suspects:
            sightings = self._sightings.setdefault(suspect.fingerprint, {})
            sightings[record.record_id] = record.service, suspect
        refused = [
            self._refuse(fingerprint, ended_at)
            for fingerprint in self._select_requests_to_refuse(
                record, ended_at
            )
        ]
        self._evict_oldest_records()
        if refused:
            self._update_digest()
        return refused

    def merge(self, verdicts: Iterable[crash.Verdict]) -> list[crash.Verdict]:
        """Merge verdicts of peers; return those that changed the table."""
        now = self._clock.monotonic()
        self._remove_expired(now)
        changed = []
        for verdict in verdicts:
            known = self._verdicts.get(verdict.fingerprint)
            if known is not None and known.round >= verdict.round:
                continue
            if verdict.left_s < _EXPIRY_MARGIN_S - PROBATION_S:
                continue
            self._store_verdict(
                verdict.fingerprint,
                _Verdict(verdict.round, now + verdict.left_s),
            )
            changed.append(verdict)
        if changed:
            self._update_digest()
        return changed

    def count(self, fingerprint: ids.Fingerprint) -> int:
        """Return at how many recorded crashes a request was in flight."""
        return len(self._sightings.get(fingerprint, ()))

    def refusal_left_s(self, fingerprint: ids.Fingerprint) -> float:
        """Return the remaining refusal time in seconds, or 0."""
        verdict = self._verdicts.get(fingerprint)
        if verdict is None:
            return 0.0
        return max(0.0, verdict.until - self._clock.monotonic())

    def is_refused(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether a request is refused now."""
        return self.refusal_left_s(fingerprint) > 0.0

    def _select_requests_to_refuse(
        self, record: crash.CrashRecord, crashed_at: float
    ) -> list[ids.Fingerprint]:
        """Return the suspects of a crash with enough evidence to refuse."""
        counts = {
            suspect.fingerprint: self.count(suspect.fingerprint)
            for suspect in record.suspects
        }
        selected = []
        for suspect in record.suspects:
            fingerprint = suspect.fingerprint
            verdict = self._verdicts.get(fingerprint)
            if verdict is not None:
                if verdict.until <= crashed_at and (
                    -math.log(
                        _coincidence_probability(suspect.rate_per_s, suspect)
                    )
                    >= REPEATED_EVIDENCE_THRESHOLD
                ):
                    selected.append(fingerprint)
                continue
            count = counts[fingerprint]
            if count < 2:
                continue
            # Any of the suspects seen at as many crashes may be the cause,
            # so their number counts against the evidence.
            rival_count = sum(other >= count for other in counts.values())
            if (
                self._compute_evidence(fingerprint) - math.log(rival_count)
                >= EVIDENCE_THRESHOLD
            ):
                selected.append(fingerprint)
        return selected

    def _compute_evidence(self, fingerprint: ids.Fingerprint) -> float:
        """Return the negative logarithm of the probability of a coincidence.

        A harmless request is in flight at each of its crashes by chance, and
        at any choice of as many crashes among all crashes of the services.
        """
        sightings = self._sightings[fingerprint]
        services = {service for service, _ in sightings.values()}
        rate_per_s = max(
            suspect.rate_per_s for _, suspect in sightings.values()
        )
        crash_count = sum(
            record.service in services for _, record in self._records.values()
        )
        return sum(
            -math.log(_coincidence_probability(rate_per_s, suspect))
            for _, suspect in sightings.values()
        ) - math.log(math.comb(crash_count, len(sightings)))

    def _refuse(
        self, fingerprint: ids.Fingerprint, crashed_at: float
    ) -> crash.Verdict:
        known = self._verdicts.get(fingerprint)
        number = 1 if known is None else known.round + 1
        verdict = _Verdict(
            number,
            crashed_at + REFUSAL_S * REFUSAL_GROWTH_FACTOR ** (number - 1),
        )
        self._store_verdict(fingerprint, verdict)
        return self._export_verdict(fingerprint, verdict)

    def _store_verdict(
        self, fingerprint: ids.Fingerprint, verdict: _Verdict
    ) -> None:
        if (
            fingerprint not in self._verdicts
            and len(self._verdicts) >= MAX_VERDICTS
        ):
            soonest_admitted = min(
                self._verdicts, key=lambda item: self._verdicts[item].until
            )
            del self._verdicts[soonest_admitted]
        self._verdicts[fingerprint] = verdict
        # Evidence from before this verdict must not count a second time.
        self._sightings.pop(fingerprint, None)

    def _export_verdict(
        self, fingerprint: ids.Fingerprint, verdict: _Verdict
    ) -> crash.Verdict:
        return crash.Verdict(
            fingerprint=fingerprint,
            round=verdict.round,
            left_s=verdict.until - self._clock.monotonic(),
        )

    def _remove_expired(self, now: float) -> None:
        for record_id, (ended_at, _) in list(self._records.items()):
            if now - ended_at >= MEMORY_S:
                self._remove_record(record_id)
        expired = [
            fingerprint
            for fingerprint, verdict in self._verdicts.items()
            if verdict.until < now - PROBATION_S
        ]
        for fingerprint in expired:
            del self._verdicts[fingerprint]
        if expired:
            self._update_digest()

    def _evict_oldest_records(self) -> None:
        while (
            len(self._records) > MAX_RECORDS
            or self._suspect_count > MAX_SUSPECTS
        ):
            self._remove_record(next(iter(self._records)))

    def _remove_record(self, record_id: str) -> None:
        _, record = self._records.pop(record_id)
        self._suspect_count -= len(record.suspects)
        for suspect in record.suspects:
            sightings = self._sightings.get(suspect.fingerprint)
            if sightings is None:
                continue
            sightings.pop(record_id, None)
            if not sightings:
                del self._sightings[suspect.fingerprint]

    def _update_digest(self) -> None:
        lines = sorted(
            f'{fingerprint}/{verdict.round}'
            for fingerprint, verdict in self._verdicts.items()
        )
        self._digest = xxhash.xxh64_intdigest(','.join(lines).encode())


def _coincidence_probability(
    rate_per_s: float, suspect: crash.Suspect
) -> float:
    """Return the probability of a start so shortly before a crash.

    Args:
        rate_per_s: Rate at which the request starts, as a Poisson process.
        suspect: The request, with the time between its start and the crash.
    """
    minimum = (
        RETRY_COINCIDENCE_PROBABILITY
        if suspect.is_repeat
        else MIN_COINCIDENCE_PROBABILITY
    )
    return max(minimum, 1.0 - math.exp(-rate_per_s * suspect.age_s))
