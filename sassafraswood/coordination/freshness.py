"""Whether this daemon may be out of date about withdrawn keys."""

import collections
from collections.abc import Sequence

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records


class Freshness:
    """Follows reads of the log, its own and those of peers.

    Only answers count, from the time at which they were asked for: a
    message may have waited in a socket while this daemon was suspended, and
    tells nothing about the time at which it is read.
    """

    def __init__(
        self, *, clock: clock_module.Clock, own_domain: ids.FailureDomain
    ) -> None:
        """Start out of date, unless this daemon is alone."""
        self._clock = clock
        self._own_domain = own_domain
        self._log_read_at: float | None = None
        self._heard_at: dict[ids.FailureDomain, float] = {}
        self._members_by_domain: collections.Counter[ids.FailureDomain] = (
            collections.Counter()
        )

    def note_log_read(self, started_at: float) -> None:
        """Note a read of the log up to its tail, folded, and its start."""
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
        """Note an answer of a peer.

        An answer of a peer that has folded more than this daemon does not
        count: what it knows may be a withdrawn key.

        Args:
            daemon_id: The peer; answers of this daemon itself do not count.
            domain: Its failure domain.
            log_read_age_s: Seconds since the start of the last read that the
                peer knows of, when it answered.
            asked_at: When this daemon sent the question.
            is_caught_up: Whether this daemon has folded up to the peer's
                next offset.
        """
        if not is_caught_up or asked_at > self._clock.monotonic():
            return
        self._heard_at[domain] = max(
            asked_at, self._heard_at.get(domain, asked_at)
        )
        # Also false for NaN, which MessagePack can carry.
        if log_read_age_s is not None and log_read_age_s >= 0.0:
            self.note_log_read(asked_at - log_read_age_s)

    def set_known(self, members: Sequence[records.Member]) -> None:
        """Set the members, this daemon among them."""
        self._members_by_domain = collections.Counter(
            member.failure_domain
            for member in members
            if member.status is not enums.MemberStatus.LEFT
        )
        known = self._members_by_domain
        for domain in [d for d in self._heard_at if d not in known]:
            del self._heard_at[domain]

    def log_read_age(self) -> float | None:
        """Return the seconds since the start of the last known read."""
        if self._log_read_at is None:
            return None
        return self._clock.monotonic() - self._log_read_at

    def is_stale(self) -> bool:
        """Return whether keyed calls must be refused.

        True if for AUTHORIZATION_STALE_S no read of the log is known and no
        majority of the known failure domains was heard.
        """
        age = self.log_read_age()
        if age is not None and age <= const.AUTHORIZATION_STALE_S:
            return False
        domains = set(self._members_by_domain) | {self._own_domain}
        heard = sum(self._is_heard(domain) for domain in domains)
        return 2 * heard <= len(domains)

    def _is_heard(self, domain: ids.FailureDomain) -> bool:
        if domain == self._own_domain and self._members_by_domain[domain] <= 1:
            # No other member of the domain could be heard.
            return True
        heard_at = self._heard_at.get(domain)
        if heard_at is None:
            return False
        age = self._clock.monotonic() - heard_at
        return age <= const.AUTHORIZATION_STALE_S
