"""Staleness check: whether withdrawals of keys may have been missed."""

import collections
from collections.abc import Sequence

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records


class Freshness:
    """Tracks the reads of the log by this daemon and by its peers.

    Only replies count, and only as of the time at which their request was
    sent. A message may have waited in a socket while this daemon was
    suspended, so the time at which it is received shows nothing about its
    age.
    """

    def __init__(
        self, *, clock: clock_module.Clock, own_domain: ids.FailureDomain
    ) -> None:
        """Initialize the check; it is stale unless this daemon is alone.

        Args:
            clock: Source of monotonic time.
            own_domain: Failure domain of this daemon.
        """
        self._clock = clock
        self._own_domain = own_domain
        self._log_read_at: float | None = None
        self._replied_at: dict[ids.FailureDomain, float] = {}
        self._members_by_domain: collections.Counter[ids.FailureDomain] = (
            collections.Counter()
        )

    def note_log_read(self, started_at: float) -> None:
        """Record that the log was read to its tail and applied.

        Args:
            started_at: Monotonic time at which the read started, in seconds.
        """
        self._log_read_at = max(started_at, self._log_read_at or started_at)

    def note_peer(
        self,
        daemon_id: ids.DaemonId,
        domain: ids.FailureDomain,
        log_read_age_s: float | None,
        *,
        asked_at: float,
        is_caught_up: bool,
    ) -> None:
        """Record the reply of a peer.

        The reply of a peer that has applied more records than this daemon is
        ignored, because those records may withdraw a key.

        Args:
            daemon_id: The peer, which must not be this daemon.
            domain: Failure domain of the peer.
            log_read_age_s: Seconds between the start of the last log read
                that the peer knows of and its reply; None if it knows of
                none.
            asked_at: Monotonic time at which this daemon sent the request,
                in seconds.
            is_caught_up: Whether this daemon has applied the log up to the
                next offset of the peer.
        """
        if not is_caught_up or asked_at > self._clock.monotonic():
            return
        self._replied_at[domain] = max(
            asked_at, self._replied_at.get(domain, asked_at)
        )
        # The comparison is also false for NaN, which MessagePack can encode.
        if log_read_age_s is not None and log_read_age_s >= 0.0:
            self.note_log_read(asked_at - log_read_age_s)

    def set_known_members(self, members: Sequence[records.Member]) -> None:
        """Set the known members of the fleet, including this daemon."""
        self._members_by_domain = collections.Counter(
            member.failure_domain
            for member in members
            if member.status is not enums.MemberStatus.LEFT
        )
        known_domains = self._members_by_domain
        for domain in [d for d in self._replied_at if d not in known_domains]:
            del self._replied_at[domain]

    def log_read_age(self) -> float | None:
        """Return the seconds since the last known log read began, or None."""
        if self._log_read_at is None:
            return None
        return self._clock.monotonic() - self._log_read_at

    def is_stale(self) -> bool:
        """Return whether calls with a key must be refused.

        This is the case if, within MAX_AUTHORIZATION_AGE_S, no read of the log
        is known and no majority of the known failure domains has replied.
        """
        age_s = self.log_read_age()
        if age_s is not None and age_s <= const.MAX_AUTHORIZATION_AGE_S:
            return False
        domains = set(self._members_by_domain) | {self._own_domain}
        replied_count = sum(self._has_replied(domain) for domain in domains)
        return 2 * replied_count <= len(domains)

    def _has_replied(self, domain: ids.FailureDomain) -> bool:
        if domain == self._own_domain and self._members_by_domain[domain] <= 1:
            # The domain has no other member that could reply.
            return True
        replied_at = self._replied_at.get(domain)
        if replied_at is None:
            return False
        age_s = self._clock.monotonic() - replied_at
        return age_s <= const.MAX_AUTHORIZATION_AGE_S
