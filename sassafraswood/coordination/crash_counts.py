"""Requests that crash the upstreams that run them.

The daemon beside an upstream that has ended tells which requests were in
flight. One end says little of each of them. A request that is in flight at
several ends is refused by all daemons once that is hardly a coincidence.

All tables are sets of records and verdicts that merge in any order, so that
copies may arrive late, twice and over several daemons.
"""

from collections.abc import Iterable
import math
from typing import Final

import xxhash

from sassafraswood import clock as clock_module
from sassafraswood.models import crash
from sassafraswood.models import ids

# For this time, in seconds, ends count; a request that comes again less often
# does little harm.
MEMORY_S: Final = 600.0
# Records and suspects that are kept; the oldest records go first.
MAX_RECORDS: Final = 256
MAX_SUSPECTS: Final = 16384
# Least chance that a request is in flight at an end by coincidence: callers
# whose requests failed come again at the same time.
MIN_CHANCE: Final = 0.02
# The same for a call that was repeated after an end: the request that is to
# blame is repeated beside it, to one of the few upstreams that are left.
REPEAT_CHANCE: Final = 0.5
# Logarithm of how unlikely a coincidence has to be (1 in 1,000).
LIMIT: Final = math.log(1000.0)
# The same for a request that was refused before (1 in 10).
LIMIT_AGAIN: Final = math.log(10.0)
# How long a request is refused the first time, in seconds, by how much longer
# each further time, and for how long it is remembered after that.
REFUSAL_S: Final = 120.0
REFUSAL_GROWTH: Final = 4.0
PROBATION_S: Final = 3600.0
MAX_VERDICTS: Final = 256
# Verdicts of others that will be forgotten within this time, in seconds, are
# not taken, so that they do not pass on in circles.
_FORGET_MARGIN_S: Final = 30.0


class _Verdict:
    __slots__ = ('round', 'until')

    def __init__(self, number: int, until: float) -> None:
        self.round = number
        self.until = until


class CrashCounts:
    """Ends of upstreams, and the requests that are refused for them."""

    def __init__(self, clock: clock_module.Clock) -> None:
        """Start without records."""
        self._clock = clock
        # The oldest stand first; the time of the end is that of this clock.
        self._records: dict[str, tuple[float, crash.CrashRecord]] = {}
        self._suspects = 0
        # Records in which a request was in flight since it was refused.
        self._hits: dict[
            ids.Fingerprint, dict[str, tuple[ids.ServiceName, crash.Suspect]]
        ] = {}
        self._verdicts: dict[ids.Fingerprint, _Verdict] = {}
        self._digest = 0

    @property
    def has_refused(self) -> bool:
        """Return whether any request is or was refused."""
        return bool(self._verdicts)

    @property
    def digest(self) -> int:
        """Return a number that is the same where the verdicts are."""
        return self._digest

    @property
    def records(self) -> list[crash.CrashRecord]:
        """Return the ends that count."""
        return [record for _, record in self._records.values()]

    @property
    def verdicts(self) -> list[crash.Verdict]:
        """Return the requests that are or were refused."""
        return [
            self._told(fingerprint, verdict)
            for fingerprint, verdict in self._verdicts.items()
        ]

    def knows(self, record_id: str) -> bool:
        """Return whether an end counts already."""
        return record_id in self._records

    def age_s(self, record_id: str) -> float:
        """Return the time since an end that counts, in seconds."""
        ended_at, _ = self._records[record_id]
        return self._clock.monotonic() - ended_at

    def add(
        self, record: crash.CrashRecord, age_s: float = 0.0
    ) -> list[crash.Verdict]:
        """Take an end; return the requests that are refused for it.

        Args:
            record: The end; nothing happens if it is known.
            age_s: Time since the end in seconds.
        """
        now = self._clock.monotonic()
        self._forget(now)
        if record.record_id in self._records or age_s >= MEMORY_S:
            return []
        ended_at = now - max(0.0, age_s)
        self._records[record.record_id] = ended_at, record
        self._suspects += len(record.suspects)
        for suspect in record.suspects:
            hits = self._hits.setdefault(suspect.fingerprint, {})
            hits[record.record_id] = record.service, suspect
        found = [
            self._refuse(fingerprint, ended_at)
            for fingerprint in self._find_guilty(record, ended_at)
        ]
        self._make_room()
        if found:
            self._update_digest()
        return found

    def merge(self, verdicts: Iterable[crash.Verdict]) -> list[crash.Verdict]:
        """Take what other daemons refuse; return what is news."""
        now = self._clock.monotonic()
        self._forget(now)
        news = []
        for verdict in verdicts:
            known = self._verdicts.get(verdict.fingerprint)
            if known is not None and known.round >= verdict.round:
                continue
            if verdict.left_s < _FORGET_MARGIN_S - PROBATION_S:
                continue
            self._put(
                verdict.fingerprint,
                _Verdict(verdict.round, now + verdict.left_s),
            )
            news.append(verdict)
        if news:
            self._update_digest()
        return news

    def count(self, fingerprint: ids.Fingerprint) -> int:
        """Return at how many ends a request was in flight."""
        return len(self._hits.get(fingerprint, ()))

    def refused_for_s(self, fingerprint: ids.Fingerprint) -> float:
        """Return for how long a request is refused, in seconds, or 0."""
        verdict = self._verdicts.get(fingerprint)
        if verdict is None:
            return 0.0
        return max(0.0, verdict.until - self._clock.monotonic())

    def is_refused(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether a request is refused."""
        return self.refused_for_s(fingerprint) > 0.0

    def _find_guilty(
        self, record: crash.CrashRecord, at: float
    ) -> list[ids.Fingerprint]:
        """Return the requests of a record that are to be refused."""
        counts = {
            suspect.fingerprint: self.count(suspect.fingerprint)
            for suspect in record.suspects
        }
        guilty = []
        for suspect in record.suspects:
            fingerprint = suspect.fingerprint
            verdict = self._verdicts.get(fingerprint)
            if verdict is not None:
                if verdict.until <= at and (
                    -math.log(_chance(suspect.rate_per_s, suspect))
                    >= LIMIT_AGAIN
                ):
                    guilty.append(fingerprint)
                continue
            count = counts[fingerprint]
            if count < 2:
                continue
            # One of those that were in flight as often is to blame.
            rivals = sum(other >= count for other in counts.values())
            if self._evidence(fingerprint) - math.log(rivals) >= LIMIT:
                guilty.append(fingerprint)
        return guilty

    def _evidence(self, fingerprint: ids.Fingerprint) -> float:
        """Return the logarithm of how unlikely a coincidence is.

        A request that crashes nothing is in flight at each of its ends by
        chance, and at any choice of them among all ends of the services.
        """
        hits = self._hits[fingerprint]
        services = {service for service, _ in hits.values()}
        rate_per_s = max(suspect.rate_per_s for _, suspect in hits.values())
        ends = sum(
            record.service in services for _, record in self._records.values()
        )
        return sum(
            -math.log(_chance(rate_per_s, suspect))
            for _, suspect in hits.values()
        ) - math.log(math.comb(ends, len(hits)))

    def _refuse(
        self, fingerprint: ids.Fingerprint, at: float
    ) -> crash.Verdict:
        known = self._verdicts.get(fingerprint)
        number = 1 if known is None else known.round + 1
        verdict = _Verdict(
            number, at + REFUSAL_S * REFUSAL_GROWTH ** (number - 1)
        )
        self._put(fingerprint, verdict)
        return self._told(fingerprint, verdict)

    def _put(self, fingerprint: ids.Fingerprint, verdict: _Verdict) -> None:
        if (
            fingerprint not in self._verdicts
            and len(self._verdicts) >= MAX_VERDICTS
        ):
            first = min(
                self._verdicts, key=lambda item: self._verdicts[item].until
            )
            del self._verdicts[first]
        self._verdicts[fingerprint] = verdict
        # What was in flight before says nothing new.
        self._hits.pop(fingerprint, None)

    def _told(
        self, fingerprint: ids.Fingerprint, verdict: _Verdict
    ) -> crash.Verdict:
        return crash.Verdict(
            fingerprint=fingerprint,
            round=verdict.round,
            left_s=verdict.until - self._clock.monotonic(),
        )

    def _forget(self, now: float) -> None:
        for record_id, (ended_at, _) in list(self._records.items()):
            if now - ended_at >= MEMORY_S:
                self._drop(record_id)
        lapsed = [
            fingerprint
            for fingerprint, verdict in self._verdicts.items()
            if verdict.until < now - PROBATION_S
        ]
        for fingerprint in lapsed:
            del self._verdicts[fingerprint]
        if lapsed:
            self._update_digest()

    def _make_room(self) -> None:
        while (
            len(self._records) > MAX_RECORDS or self._suspects > MAX_SUSPECTS
        ):
            self._drop(next(iter(self._records)))

    def _drop(self, record_id: str) -> None:
        _, record = self._records.pop(record_id)
        self._suspects -= len(record.suspects)
        for suspect in record.suspects:
            hits = self._hits.get(suspect.fingerprint)
            if hits is None:
                continue
            hits.pop(record_id, None)
            if not hits:
                del self._hits[suspect.fingerprint]

    def _update_digest(self) -> None:
        rows = sorted(
            f'{fingerprint}/{verdict.round}'
            for fingerprint, verdict in self._verdicts.items()
        )
        self._digest = xxhash.xxh64_intdigest(','.join(rows).encode())


def _chance(rate_per_s: float, suspect: crash.Suspect) -> float:
    """Return the chance that such a request began so shortly before an end.

    Args:
        rate_per_s: Of its starts, taken as a Poisson process.
        suspect: Tells how long before the end it began.
    """
    least = REPEAT_CHANCE if suspect.is_repeat else MIN_CHANCE
    return max(least, 1.0 - math.exp(-rate_per_s * suspect.age_s))
