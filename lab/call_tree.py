"""Models a call tree in which each hop retries as often as it may."""

import dataclasses

import msgspec

from sassafraswood.coordination import retry
from sassafraswood.models import call
from sassafraswood.models import ids

SERVICE = ids.ServiceName('model')


@dataclasses.dataclass(kw_only=True)
class CallTree:
    """A call tree in which all calls at one depth fail.

    Attributes:
        depth: Depth of the last service; the first service is at 1.
        fan_out: Child calls that each upstream makes in parallel.
        failing_depth: Depth at which the calls fail; 0 for none.
        refusal: Refusal of the failing calls.
        policy: Retry policy of all hops.
        retries_per_hop: Most retries of each call, as in client libraries
            without a shared retry allowance; None to use the policy.
        attempts: Attempts made at all depths.
        retries: Attempts after the first one of each call.
    """

    depth: int
    fan_out: int
    failing_depth: int
    refusal: call.Refusal
    policy: retry.RetryPolicy
    retries_per_hop: int | None = None
    attempts: int = 0
    retries: int = 0

    def send_call(
        self, depth: int, total: int
    ) -> tuple[call.Refusal | None, int]:
        """Make a call and retry it as often as allowed.

        Args:
            depth: Depth of the called service.
            total: Number of retries that the policy allows the call and all
                calls below it.

        Returns:
            The refusal of the last attempt, or None, and the unused retries.
        """
        self.policy.note_call(SERVICE)
        allowance = retry.RetryAllowance(total)
        attempt = 0
        while True:
            attempt += 1
            self.attempts += 1
            lent = allowance.lend()
            failure, unused = self.run_attempt(depth, lent)
            allowance.give_back(min(unused, lent))
            if failure is None:
                return None, allowance.left
            if not self._may_retry(failure, allowance, attempt):
                return failure, allowance.left
            self.retries += 1

    def run_attempt(
        self, depth: int, total: int
    ) -> tuple[call.Refusal | None, int]:
        """Run one attempt and its child calls.

        The allowance is lent to all child calls at once, since they are made
        in parallel.

        Args:
            depth: Depth of the service.
            total: Number of retries lent to the attempt for its child calls.

        Returns:
            The refusal of the attempt, or None, and the unused retries.
        """
        allowance = retry.RetryAllowance(total)
        if depth == self.failing_depth:
            return self.refusal, allowance.left
        if depth == self.depth:
            return None, allowance.left
        loans = [allowance.lend() for _ in range(self.fan_out)]
        results = [self.send_call(depth + 1, loan) for loan in loans]
        for _, unused in results:
            allowance.give_back(unused)
        failures = [failure for failure, _ in results if failure is not None]
        if not failures:
            return None, allowance.left
        relayed = msgspec.structs.replace(failures[0], relayed=True)
        return relayed, allowance.left

    def _may_retry(
        self,
        failure: call.Refusal,
        allowance: retry.RetryAllowance,
        attempt: int,
    ) -> bool:
        if self.retries_per_hop is not None:
            return attempt <= self.retries_per_hop
        decision = self.policy.decide(
            service=SERVICE,
            refusal=failure,
            idempotent=True,
            allowance=allowance.left,
            attempt=attempt,
            remaining_s=10.0,
        )
        return decision is not None and allowance.spend()
