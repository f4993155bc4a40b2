"""Components of a daemon without overload control, for comparison.

There is no admission control and no limit per callee except that of the
document, each hop retries independently, and each daemon limits rates on its
own. The setting `control` selects this mode, which is meant for measurements
only.
"""

from collections.abc import Callable
import dataclasses
import random as random_module

from sassafraswood import clock as clock_module
from sassafraswood.coordination import admission
from sassafraswood.coordination import callee_limit
from sassafraswood.coordination import quota_client
from sassafraswood.coordination import retry
from sassafraswood.models import call
from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records

_ATTEMPTS_PER_HOP = 3
_UNBOUNDED_ALLOWANCE = 1_000_000


class UnboundedAdmission(admission.Admission):
    """Starts each call immediately while the upstream serves calls."""

    def __init__(
        self, *, clock: clock_module.Clock, random: random_module.Random
    ) -> None:
        """Start without an upstream."""
        super().__init__(clock=clock, random=random)
        self._in_flight_count = 0
        self._slots = 0
        self._upstream_status = enums.UpstreamStatus.ABSENT

    @property
    def limit(self) -> int:
        """Return the announced slots."""
        return self._slots

    def set_upstream(self, status: enums.UpstreamStatus, slots: int) -> None:
        """Set the state of the upstream and its announced slots."""
        self._upstream_status = status
        self._slots = slots

    def submit(
        self,
        request: admission.AdmissionRequest,
        on_start: Callable[[], None],
        on_refused: Callable[[call.Refusal], None],
    ) -> admission.Ticket:
        """Start the call, or refuse it while no upstream serves calls."""
        ticket = admission.Ticket(
            request, self._clock.monotonic(), on_start, on_refused
        )
        if self._upstream_status not in admission.SERVING_STATUSES:
            ticket.state = admission.TicketState.REFUSED
            on_refused(
                call.Refusal(
                    reason=enums.RefusalReason.NO_UPSTREAM,
                    outcome=enums.Outcome.NOT_RUN,
                )
            )
            return ticket
        ticket.state = admission.TicketState.RUNNING
        self._in_flight_count += 1
        on_start()
        return ticket

    def finish(
        self, ticket: admission.Ticket, outcome: admission.ServiceOutcome
    ) -> None:
        """Count the end of a running call."""
        del outcome
        if ticket.state is admission.TicketState.RUNNING:
            ticket.state = admission.TicketState.FINISHED
            self._in_flight_count -= 1

    def cancel(self, ticket: admission.Ticket) -> None:
        """Count the cancellation of a running call."""
        self.finish(ticket, admission.ServiceOutcome.CANCELLED)

    def hint(self) -> messages.AdmissionHint:
        """Return a hint that admits every importance."""
        return messages.AdmissionHint(
            lowest_importance=enums.Importance.LOW,
            limit=self._slots,
            in_flight=self._in_flight_count,
            queued=0,
            upstream_status=self._upstream_status,
        )

    def tick(self) -> None:
        """Do nothing, because no call waits."""


class DocumentCalleeLimits(callee_limit.CalleeLimits):
    """Limits calls to a callee only by the limit of its document."""

    def acquire(
        self,
        service: ids.ServiceName,
        *,
        limit: int | None,
        total_slots: int,
        importance: enums.Importance = enums.Importance.LOW,
    ) -> bool:
        """Count a call in, or return False at the limit of the document."""
        if limit is None:
            return True
        return super().acquire(
            service,
            limit=limit,
            total_slots=total_slots,
            importance=importance,
        )


class PerHopRetryPolicy(retry.RetryPolicy):
    """Retries each failed call up to twice at each hop, without delay."""

    def total(self, service_document: document.ServiceDocument) -> int:
        """Return an allowance that no call tree exhausts."""
        del service_document
        return _UNBOUNDED_ALLOWANCE

    def decide(
        self,
        *,
        service: ids.ServiceName,
        refusal: call.Refusal,
        idempotent: bool,
        allowance: int,
        attempt: int,
        remaining_s: float,
    ) -> retry.RetryDecision | None:
        """Return a retry while the hop has attempts left, else None."""
        del service, allowance
        is_safe = idempotent or refusal.outcome is enums.Outcome.NOT_RUN
        if attempt >= _ATTEMPTS_PER_HOP or not is_safe or remaining_s <= 0:
            return None
        return retry.RetryDecision(
            delay_s=0.0, reason=enums.RetryReason.NOT_RUN_ELSEWHERE
        )


@dataclasses.dataclass(kw_only=True)
class _TokenBucket:
    tokens: float
    updated_at: float


class LocalQuota(quota_client.QuotaClient):
    """Grants the whole rate of a workspace at each daemon independently."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        documents: Callable[[ids.ServiceName], records.DocumentEntry | None],
    ) -> None:
        """Start with full buckets.

        Args:
            documents: Returns the document of a service, None if unknown.
        """
        self._clock = clock
        self._documents = documents
        self._buckets: dict[
            tuple[ids.ServiceName, ids.Workspace], _TokenBucket
        ] = {}

    @property
    def is_active(self) -> bool:
        """Return False, because there is nothing to prefetch."""
        return False

    def take(
        self,
        service: ids.ServiceName,
        workspace: ids.Workspace,
        on_done: Callable[[quota_client.QuotaVerdict], None],
        wait_s: float,
    ) -> quota_client.QuotaVerdict | None:
        """Return the verdict of the local token bucket."""
        del on_done, wait_s
        entry = self._documents(service)
        if entry is None or workspace not in entry.document.workspaces:
            return _rate_exceeded(1.0)
        spec = entry.document.workspaces[workspace]
        now = self._clock.monotonic()
        bucket = self._buckets.setdefault(
            (service, workspace),
            _TokenBucket(tokens=spec.burst, updated_at=now),
        )
        refilled_tokens = bucket.tokens + spec.rate * (now - bucket.updated_at)
        bucket.tokens = min(spec.burst, refilled_tokens)
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            return _rate_exceeded((1.0 - bucket.tokens) / spec.rate)
        bucket.tokens -= 1.0
        return quota_client.QuotaVerdict(granted=True)

    def tick(self) -> None:
        """Do nothing, because buckets are refilled on use."""


def _rate_exceeded(retry_after_s: float) -> quota_client.QuotaVerdict:
    return quota_client.QuotaVerdict(
        granted=False,
        reason=enums.RefusalReason.RATE_EXCEEDED,
        retry_after_s=retry_after_s,
    )
