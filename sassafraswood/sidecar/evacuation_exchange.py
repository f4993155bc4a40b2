"""Applies evacuations from the store and exchanges them with peers."""

from collections.abc import Callable, Collection
from typing import Final

from sassafraswood.coordination import evacuation
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.transport import json_log

# Failure domains named in the log lines of one change; more are counted.
MAX_NAMED_DOMAINS: Final = 32


class EvacuationExchange:
    """Passes evacuations on, and tells what changes in this daemon."""

    def __init__(
        self,
        *,
        evacuations: evacuation.Evacuations,
        own: ids.FailureDomain,
        log: json_log.JsonLog,
        known_domains: Callable[[], Collection[ids.FailureDomain]],
        on_change: Callable[[], None],
    ) -> None:
        """Initialize the exchange.

        Args:
            evacuations: Evacuated failure domains, which only this changes.
            own: Failure domain of this daemon.
            log: Log that changes are written to.
            known_domains: Returns the failure domains of all members; empty
                while no member is known.
            on_change: Called after the evacuated domains have changed or have
                become known.
        """
        self._evacuations = evacuations
        self._own = own
        self._log = log
        self._known_domains = known_domains
        self._on_change = on_change

    @property
    def revision(self) -> int:
        """Return the revision that is known here."""
        return self._evacuations.revision

    def apply(
        self,
        requests: list[evacuation.EvacuationRequest],
        revision: int,
        *,
        is_whole: bool,
    ) -> None:
        """Apply the requests in a read of the store.

        Args:
            requests: Requests in the order in which they were written.
            revision: Revision after the last record that was read.
            is_whole: Whether the newest record of each domain was read.
        """
        was_known = self._evacuations.is_known
        change = self._evacuations.apply(requests, revision, is_whole=is_whole)
        self._note(change, was_known, 'store')

    def take(self, message: frames.Evacuations) -> None:
        """Apply the evacuations that a peer knows, if they are newer."""
        was_known = self._evacuations.is_known
        change = self._evacuations.replace(
            map(ids.FailureDomain, message.domains),
            message.revision,
            map(ids.FailureDomain, message.unconfirmed),
        )
        self._note(change, was_known, 'peer')

    def tick(self) -> None:
        """End evacuations that the operator has not written again in time."""
        self._note(self._evacuations.expire(), True, 'expired')

    def document(self) -> frames.Evacuations | None:
        """Return the message for peers; None while nothing is known."""
        if not self._evacuations.is_known:
            return None
        return frames.Evacuations(
            revision=self._evacuations.revision,
            domains=sorted(self._evacuations.domains),
            unconfirmed=list(self._evacuations.unconfirmed),
        )

    def _note(
        self,
        change: evacuation.EvacuationChange,
        was_known: bool,
        source: str,
    ) -> None:
        if change:
            self._log_change(change, source)
        if change or was_known != self._evacuations.is_known:
            self._on_change()

    def _log_change(
        self, change: evacuation.EvacuationChange, source: str
    ) -> None:
        known = self._known_domains()
        for event, domains in (
            ('domain_evacuated', change.evacuated),
            ('domain_returned', change.returned),
            ('evacuation_unconfirmed', change.unconfirmed),
        ):
            # The own domain comes first, so that it is always named.
            domains.sort(key=lambda domain: domain != self._own)
            for domain in domains[:MAX_NAMED_DOMAINS]:
                self._log.change(
                    event,
                    domain=domain,
                    is_own=domain == self._own,
                    is_known=domain in known if known else None,
                    source=source,
                    revision=self._evacuations.revision,
                )
            if len(domains) > MAX_NAMED_DOMAINS:
                self._log.change(
                    f'{event}_unnamed', count=len(domains) - MAX_NAMED_DOMAINS
                )
        if known and self._evacuations.domains.issuperset(known):
            self._log.change('all_domains_evacuated', domains=len(known))
