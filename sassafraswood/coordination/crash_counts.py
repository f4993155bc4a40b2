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
import sys
from typing import Final

import xxhash

from sassafraswood import clock as clock_module
from sassafraswood.coordination import lost_runs
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
# A run that begins within this time after a crash at which the same request
# was in flight counts as a retry by its caller.
CALLER_RETRY_S: Final = 0.2
# Lower bound for such a retry of a request that upstreams have hardly
# answered: only its chain of crashes tells it from a harmless one.
UNANSWERED_RETRY_COINCIDENCE_PROBABILITY: Final = 0.2
# A request with at most this rate was not answered in the last period in which
# responses are counted.
UNANSWERED_RATE_PER_S: Final = (
    lost_runs.PRIOR_RESPONSE_COUNT / lost_runs.RATE_PERIOD_S
)
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
        self._sightings: dict[ids.Fingerprint, dict[str, crash.Suspect]] = {}
        # Ids of the records in which a refused request is a suspect. It is
        # taken for the cause, so they are no evidence against the others.
        self._explained: set[str] = set()
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
            sightings[record.record_id] = suspect
            if self._is_refused_at(suspect.fingerprint, ended_at):
                self._explained.add(record.record_id)
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

    def _is_refused_at(
        self, fingerprint: ids.Fingerprint, crashed_at: float
    ) -> bool:
        verdict = self._verdicts.get(fingerprint)
        return verdict is not None and verdict.until > crashed_at

    def _select_requests_to_refuse(
        self, record: crash.CrashRecord, crashed_at: float
    ) -> list[ids.Fingerprint]:
        """Return the suspects of a crash with enough evidence to refuse.

        If there are several, only those with the most evidence are returned:
        they explain the crashes at which the others were in flight.
        """
        if record.record_id in self._explained:
            return []
        again = [
            suspect.fingerprint
            for suspect in record.suspects
            if self._has_crashed_again(suspect)
        ]
        if again:
            return again
        counts = {
            suspect.fingerprint: len(
                self._find_unexplained(suspect.fingerprint)
            )
            for suspect in record.suspects
            if suspect.fingerprint not in self._verdicts
        }
        evidence = {}
        for fingerprint, count in counts.items():
            if count < 2:
                continue
            # Any of the suspects seen at as many crashes may be the cause,
            # so their number counts against the evidence.
            rival_count = sum(other >= count for other in counts.values())
            if (
                self._compute_evidence(fingerprint) - math.log(rival_count)
                >= EVIDENCE_THRESHOLD
            ):
                evidence[fingerprint] = self._compute_evidence(
                    fingerprint, has_minimum=False
                )
        most = max(evidence.values(), default=0.0)
        return [
            fingerprint
            for fingerprint, value in evidence.items()
            if math.isclose(value, most)
        ]

    def _has_crashed_again(self, suspect: crash.Suspect) -> bool:
        """Return whether a suspect whose refusal has ended is the cause."""
        if suspect.fingerprint not in self._verdicts:
            return False
        probability = _coincidence_probability(suspect.rate_per_s, suspect)
        return -math.log(probability) >= REPEATED_EVIDENCE_THRESHOLD

    def _find_unexplained(
        self, fingerprint: ids.Fingerprint
    ) -> dict[str, crash.Suspect]:
        """Return the sightings at crashes without a refused suspect."""
        return {
            record_id: suspect
            for record_id, suspect in self._sightings.get(
                fingerprint, {}
            ).items()
            if record_id not in self._explained
        }

    def _compute_evidence(
        self, fingerprint: ids.Fingerprint, *, has_minimum: bool = True
    ) -> float:
        """Return the negative logarithm of the probability of a coincidence.

        A harmless request is in flight at each of its crashes by chance, and
        at any choice of as many crashes among all crashes of the services.

        Args:
            fingerprint: The request.
            has_minimum: Whether the probability of each coincidence has a
                lower bound.
        """
        sightings = self._find_unexplained(fingerprint)
        services = {
            self._records[record_id][1].service for record_id in sightings
        }
        rate_per_s = max(suspect.rate_per_s for suspect in sightings.values())
        crash_count = sum(
            record.service in services
            for record_id, (_, record) in self._records.items()
            if record_id not in self._explained
        )
        crashed_at = [self._records[record_id][0] for record_id in sightings]
        evidence = -math.log(math.comb(crash_count, len(sightings)))
        for record_id, suspect in sightings.items():
            started_at = self._records[record_id][0] - suspect.age_s
            is_caller_retry = any(
                0.0 <= started_at - other <= CALLER_RETRY_S
                for other in crashed_at
            )
            evidence -= math.log(
                _coincidence_probability(
                    rate_per_s,
                    suspect,
                    is_caller_retry=is_caller_retry,
                    has_minimum=has_minimum,
                )
            )
        return evidence

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
        self._explained.update(self._sightings.pop(fingerprint, ()))

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
        self._explained.discard(record_id)
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
    rate_per_s: float,
    suspect: crash.Suspect,
    *,
    is_caller_retry: bool = False,
    has_minimum: bool = True,
) -> float:
    """Return the probability of a start so shortly before a crash.

    Args:
        rate_per_s: Rate at which the request starts, as a Poisson process.
        suspect: The request, with the time between its start and the crash.
        is_caller_retry: Whether the run followed another crash at which the
            request was in flight.
        has_minimum: Whether the probability has a lower bound also for a
            request that was not retried.
    """
    probability = 1.0 - math.exp(-rate_per_s * suspect.age_s)
    if suspect.is_repeat or (
        is_caller_retry and rate_per_s > UNANSWERED_RATE_PER_S
    ):
        return max(RETRY_COINCIDENCE_PROBABILITY, probability)
    if is_caller_retry:
        return max(UNANSWERED_RETRY_COINCIDENCE_PROBABILITY, probability)
    if has_minimum:
        return max(MIN_COINCIDENCE_PROBABILITY, probability)
    return max(sys.float_info.min, probability)
