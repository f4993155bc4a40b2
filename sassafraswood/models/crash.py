"""Crashes of upstreams, and the requests in flight at the time."""

import dataclasses

from sassafraswood.models import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """A request that was in flight when an upstream crashed.

    Attributes:
        rate_per_s: Recent rate per second at which the upstream answered
            requests with the same fingerprint.
        age_s: Seconds from the last start of the request to the crash.
        is_repeat: Whether it was sent only as a retry, after a failure at
            another upstream.
    """

    fingerprint: ids.Fingerprint
    rate_per_s: float
    age_s: float
    is_repeat: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashRecord:
    """Crash of an upstream, as recorded by the daemon beside it.

    Attributes:
        record_id: Id of the crash; the same in all copies of the record.
        ended_at: Unix time of the crash in seconds.
        suspects: The requests in flight at the crash.
    """

    record_id: str
    service: ids.ServiceName
    ended_at: float
    suspects: tuple[Suspect, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Refusal of a request by all daemons, in force or on probation.

    Attributes:
        round: Number of refusal periods so far, from 1.
        left_s: Seconds until the refusal ends; negative afterwards.
    """

    fingerprint: ids.Fingerprint
    round: int
    left_s: float
