"""Model of a call graph in which each hop retries as far as it may."""

import dataclasses

import msgspec

from sassafraswood.coordination import retry
from sassafraswood.models import call
from sassafraswood.models import ids

SERVICE = ids.ServiceName('model')


@dataclasses.dataclass(kw_only=True)
class CallTree:
    """Calls down to a depth, all of which fail at one depth.

    Attributes:
        depth: Hops from the caller to the last service.
        fan_out: Child calls that each upstream makes in parallel.
        failing_depth: Depth at which the calls fail; 0 for none.
        refusal: How they fail.
        policy: Rules for retries.
        retries_per_hop: Instead of the rules, each hop retries that often,
            as libraries without a shared allowance do; None for the rules.
        attempts: Attempts made at all depths.
        retries: Those beyond the first attempt of each call.
    """

    depth: int
    fan_out: int
    failing_depth: int
    refusal: call.Refusal
    policy: retry.RetryPolicy
    retries_per_hop: int | None = None
    attempts: int = 0
    retries: int = 0

    def send(self, depth: int, total: int) -> tuple[call.Refusal | None, int]:
        """Make a call at a depth; return its failure and the unused part."""
        self.policy.note_call(SERVICE)
        allowance = retry.RetryAllowance(total)
        attempt = 0
        while True:
            attempt += 1
            self.attempts += 1
            lent = allowance.lend()
            failure, unused = self.serve(depth, lent)
            allowance.give_back(min(unused, lent))
            if failure is None:
                return None, allowance.left
            if not self._may_retry(failure, allowance, attempt):
                return failure, allowance.left
            self.retries += 1

    def serve(self, depth: int, total: int) -> tuple[call.Refusal | None, int]:
        """Run a call and its child calls; all loans are out at once."""
        allowance = retry.RetryAllowance(total)
        if depth == self.failing_depth:
            return self.refusal, allowance.left
        if depth == self.depth:
            return None, allowance.left
        loans = [allowance.lend() for _ in range(self.fan_out)]
        results = [self.send(depth + 1, loan) for loan in loans]
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
