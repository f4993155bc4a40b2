"""Failure domains whose upstreams the operator has asked to leave idle."""

from collections.abc import Iterable
import dataclasses
from typing import Final

from sassafraswood.models import ids

# Revision of a daemon that has neither read the operator's requests nor
# received them from a peer.
UNKNOWN: Final = 0


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
    """Failure domains that are evacuated or have returned, in order."""

    evacuated: list[ids.FailureDomain]
    returned: list[ids.FailureDomain]

    def __bool__(self) -> bool:
        """Return whether there is any."""
        return bool(self.evacuated or self.returned)


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

    Attributes:
        revision: Revision that is known; UNKNOWN before the first one.
        domains: The evacuated failure domains.
        may_serve: Whether the upstream beside this daemon may get calls. It
            may not before the requests are known.
    """

    def __init__(self, own: ids.FailureDomain) -> None:
        """Initialize without known requests.

        Args:
            own: Failure domain of this daemon.
        """
        self._own = own
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
        domains = set() if is_whole else set(self.domains)
        for request in requests:
            if request.is_evacuated:
                domains.add(request.domain)
            else:
                domains.discard(request.domain)
        return self.replace(domains, revision)

    def replace(
        self, domains: Iterable[ids.FailureDomain], revision: int
    ) -> EvacuationChange:
        """Set the evacuated domains as of a revision.

        An older revision is ignored.
        """
        if revision <= self.revision:
            return EvacuationChange(evacuated=[], returned=[])
        before = self.domains
        self.domains = frozenset(domains)
        self.revision = revision
        self.may_serve = not self.is_own_evacuated
        return EvacuationChange(
            evacuated=sorted(self.domains - before),
            returned=sorted(before - self.domains),
        )
