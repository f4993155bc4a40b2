"""Upstreams that ended without a leave, and what ran there."""

import dataclasses

from sassafraswood.models import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """A request that was in flight when an upstream ended.

    Attributes:
        rate_per_s: How often the same request was answered there lately.
        age_s: Time from its last start to the end, in seconds.
        is_repeat: Whether it came only because another upstream had failed it.
    """

    fingerprint: ids.Fingerprint
    rate_per_s: float
    age_s: float
    is_repeat: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashRecord:
    """What the daemon beside an upstream knows of its end.

    Attributes:
        record_id: Names the end; the same in all copies.
        ended_at: Unix time in seconds.
    """

    record_id: str
    service: ids.ServiceName
    ended_at: float
    suspects: tuple[Suspect, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """A request that no daemon passes on.

    Attributes:
        round: How often it was refused, from 1.
        left_s: Time until it is let in again, in seconds; negative after it.
    """

    fingerprint: ids.Fingerprint
    round: int
    left_s: float
