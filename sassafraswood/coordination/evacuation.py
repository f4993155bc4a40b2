"""Failure domains whose upstreams the operator has asked to leave idle."""

from collections.abc import Iterable
import dataclasses
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import store_era
from sassafraswood.models import ids

# Revision of a daemon that has neither read the operator's requests nor
# received them from a peer.
UNKNOWN: Final = 0
# Time in seconds for which an evacuation stays in force that the store lacks
# since it came back from an older copy. The operator has this time to write it
# again.
UNCONFIRMED_S: Final = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationRequest:
    """Request of the operator for one failure domain.

    Attributes:
        is_evacuated: Whether its upstreams get no calls; False takes an
            earlier request back.
    """

    domain: ids.FailureDomain
    is_evacuated: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationChange:
    """Failure domains that are evacuated or have returned, in order.

    Attributes:
        evacuated: Domains that are evacuated since the change.
        returned: Domains that are no longer evacuated.
        unconfirmed: Domains that stay evacuated although the store lacks the
            request since the change.
    """

    evacuated: list[ids.FailureDomain]
    returned: list[ids.FailureDomain]
    unconfirmed: list[ids.FailureDomain]

    def __bool__(self) -> bool:
        """Return whether there is any."""
        return bool(self.evacuated or self.returned or self.unconfirmed)


def compute_revision(end: int) -> int:
    """Return the revision of the requests before a position.

    Args:
        end: Position that follows the last record of the operator's topic. It
            rises with the era of the store, though offsets may go back.
    """
    return end + 1


class Evacuations:
    """Keeps the evacuated failure domains as of the newest known revision.

    The revision is the end of the operator's topic up to which requests are
    known. All daemons apply the same records, so two daemons with the same
    revision know the same requests, and the higher one knows more.

    A store that comes back from an older copy may lack requests that are in
    force. They stay so, as unconfirmed, until the operator has written them
    again or UNCONFIRMED_S has passed.

    Attributes:
        revision: Revision that is known; UNKNOWN before the first one.
        domains: The evacuated failure domains.
        may_serve: Whether the upstream beside this daemon may get calls. It
            may not before the requests are known.
    """

    def __init__(
        self, own: ids.FailureDomain, clock: clock_module.Clock
    ) -> None:
        """Initialize without known requests.

        Args:
            own: Failure domain of this daemon.
            clock: Monotonic clock.
        """
        self._own = own
        self._clock = clock
        self._stated: frozenset[ids.FailureDomain] = frozenset()
        # Monotonic time in seconds at which each unconfirmed request ends.
        self._unconfirmed_until: dict[ids.FailureDomain, float] = {}
        self.revision = UNKNOWN
        self.domains: frozenset[ids.FailureDomain] = frozenset()
        self.may_serve = False

    @property
    def is_known(self) -> bool:
        """Return whether the operator's requests are known."""
        return self.revision != UNKNOWN

    @property
    def is_own_evacuated(self) -> bool:
        """Return whether the failure domain of this daemon is evacuated."""
        return self._own in self.domains

    @property
    def unconfirmed(self) -> list[ids.FailureDomain]:
        """Return the evacuated domains whose request the store lacks."""
        return sorted(self._unconfirmed_until)

    def apply(
        self,
        requests: Iterable[EvacuationRequest],
        revision: int,
        *,
        is_whole: bool = False,
    ) -> EvacuationChange:
        """Apply records that end at a revision.

        The records have to begin at or before the known revision; those that
        are known already may be among them. They take effect together, so
        that a domain that was evacuated and returned since is not evacuated
        again in between. An older revision is ignored.

        Args:
            requests: Requests in the order in which they were written.
            revision: Revision after the last record.
            is_whole: Whether they hold the newest record of each domain, so
                that a domain without one is not evacuated.
        """
        stated = set() if is_whole else set(self._stated)
        decided = set()
        for request in requests:
            decided.add(request.domain)
            if request.is_evacuated:
                stated.add(request.domain)
            else:
                stated.discard(request.domain)
        return self._update(stated, revision, decided=decided)

    def replace(
        self,
        domains: Iterable[ids.FailureDomain],
        revision: int,
        unconfirmed: Iterable[ids.FailureDomain] = (),
    ) -> EvacuationChange:
        """Set the evacuated domains as of a revision.

        An older revision is ignored.

        Args:
            domains: All evacuated domains.
            revision: Revision as of which they are.
            unconfirmed: Those of them whose request the store lacks.
        """
        unconfirmed = frozenset(unconfirmed)
        return self._update(
            frozenset(domains) - unconfirmed, revision, missing=unconfirmed
        )

    def expire(self) -> EvacuationChange:
        """End requests that the operator has not written again in time."""
        if not self._unconfirmed_until:
            return EvacuationChange(evacuated=[], returned=[], unconfirmed=[])
        now = self._clock.monotonic()
        before = self.domains
        self._unconfirmed_until = {
            domain: until
            for domain, until in self._unconfirmed_until.items()
            if until > now
        }
        return self._compute_change(before, before)

    def _update(
        self,
        stated: Iterable[ids.FailureDomain],
        revision: int,
        *,
        decided: Iterable[ids.FailureDomain] = (),
        missing: Iterable[ids.FailureDomain] = (),
    ) -> EvacuationChange:
        """Set what the store states as of a revision, unless it is older.

        Args:
            stated: Domains that are evacuated by what the store holds.
            revision: Revision as of which they are.
            decided: Domains of which the store holds a record.
            missing: Domains that another daemon keeps as unconfirmed.
        """
        if revision <= self.revision:
            return EvacuationChange(evacuated=[], returned=[], unconfirmed=[])
        before = self.domains
        unconfirmed_before = frozenset(self._unconfirmed_until)
        until = self._clock.monotonic() + UNCONFIRMED_S
        if self.is_known and _get_era(revision) > _get_era(self.revision):
            self._unconfirmed_until = dict.fromkeys(before, until)
        for domain in missing:
            self._unconfirmed_until.setdefault(domain, until)
        self._stated = frozenset(stated)
        for domain in self._stated.union(decided):
            self._unconfirmed_until.pop(domain, None)
        self.revision = revision
        return self._compute_change(before, unconfirmed_before)

    def _compute_change(
        self,
        before: frozenset[ids.FailureDomain],
        unconfirmed_before: frozenset[ids.FailureDomain],
    ) -> EvacuationChange:
        """Put what is known in force; return what that changes.

        Args:
            before: Domains that were evacuated.
            unconfirmed_before: Those of them that were unconfirmed.
        """
        self.domains = self._stated.union(self._unconfirmed_until)
        self.may_serve = self.is_known and not self.is_own_evacuated
        return EvacuationChange(
            evacuated=sorted(self.domains - before),
            returned=sorted(before - self.domains),
            unconfirmed=sorted(
                domain
                for domain in self._unconfirmed_until
                if domain in before and domain not in unconfirmed_before
            ),
        )


def _get_era(revision: int) -> int:
    """Return the era of the store that a revision is of."""
    return store_era.get_era(revision - 1)
