"""Tokens by which an upstream's own calls are tied to the call it runs."""

import dataclasses
import typing

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.coordination import retry
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import ids
from sassafraswood.state import call_table


class RandomBits(typing.Protocol):
    """Source of unguessable bits, such as secrets.SystemRandom."""

    def getrandbits(self, k: int, /) -> int:
        """Return an integer of k random bits."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenEntry:
    """The call behind a token.

    Attributes:
        context: The context as issued; its remaining_s is of that moment.
        remaining_s: Seconds left until the deadline now.
        allowance: Retries that the child calls may spend.
    """

    context: call.CallContext
    remaining_s: float
    allowance: retry.RetryAllowance


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Issued:
    context: call.CallContext
    allowance: retry.RetryAllowance


class CallTokens:
    """Issues, finds and revokes tokens of calls in flight."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: RandomBits,
        max_calls: int = const.MAX_CALL_TOKENS,
    ) -> None:
        """Take a random source that callers cannot predict.

        A guessed token would let one upstream call in the name of another
        workspace, so a daemon passes secrets.SystemRandom here.
        """
        self._clock = clock
        self._random = random
        self._max_calls = max_calls
        self._table: call_table.CallTable[_Issued] = call_table.CallTable()

    def __len__(self) -> int:
        """Return the number of calls that hold a token."""
        return len(self._table)

    def issue(
        self, context: call.CallContext, allowance: retry.RetryAllowance
    ) -> ids.CallToken:
        """Return a new token, valid until the deadline of the call.

        Raises:
            CallTableFullError: Too many calls hold a token. A live token is
                never dropped for a new one, which would break its call.
        """
        now = self._clock.monotonic()
        self._table.drop_until(now)
        if len(self._table) >= self._max_calls:
            raise exceptions.CallTableFullError(self._max_calls)
        bits = self._random.getrandbits(const.CALL_TOKEN_BITS)
        token = ids.CallToken(f'{bits:0{const.CALL_TOKEN_BITS // 4}x}')
        issued = _Issued(context=context, allowance=allowance)
        self._table.add(token, now + context.remaining_s, issued)
        return token

    def find(self, token: ids.CallToken) -> TokenEntry | None:
        """Return the call behind a token, or None if it has ended."""
        now = self._clock.monotonic()
        self._table.drop_until(now)
        return _present(self._table.get(token), now)

    def revoke(self, token: ids.CallToken) -> TokenEntry | None:
        """End a token; return its call, or None if it had ended."""
        now = self._clock.monotonic()
        entry = _present(self._table.remove(token), now)
        self._table.drop_until(now)
        return entry


def _present(
    stored: call_table.StoredCall[_Issued] | None, now: float
) -> TokenEntry | None:
    if stored is None:
        return None
    return TokenEntry(
        context=stored.entry.context,
        remaining_s=max(0.0, stored.deadline - now),
        allowance=stored.entry.allowance,
    )
