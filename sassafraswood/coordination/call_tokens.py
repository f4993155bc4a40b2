"""Tokens that link child calls of an upstream to the call that it runs."""

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
    """Source of unpredictable bits, such as secrets.SystemRandom."""

    def getrandbits(self, k: int, /) -> int:
        """Return an integer of k random bits."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenEntry:
    """The call that a token was issued for.

    Attributes:
        context: Context of the call when the token was issued; its
            remaining_s is not updated.
        remaining_s: Seconds left until the deadline at the time of the
            lookup.
        allowance: Retries that the child calls may use.
    """

    context: call.CallContext
    remaining_s: float
    allowance: retry.RetryAllowance


@dataclasses.dataclass(frozen=True, kw_only=True)
class _IssuedToken:
    context: call.CallContext
    allowance: retry.RetryAllowance


class CallTokens:
    """Issues, looks up and revokes the tokens of calls in flight."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: RandomBits,
        max_calls: int = const.MAX_CALL_TOKENS,
    ) -> None:
        """Initialize an empty table.

        Args:
            clock: Source of monotonic time.
            random: Random source that callers cannot predict. A guessed token
                would let an upstream make calls on behalf of another
                workspace, so daemons pass secrets.SystemRandom.
            max_calls: Maximum number of valid tokens.
        """
        self._clock = clock
        self._random = random
        self._max_calls = max_calls
        self._table: call_table.CallTable[_IssuedToken] = (
            call_table.CallTable()
        )

    def __len__(self) -> int:
        """Return the number of calls with a token."""
        return len(self._table)

    def issue(
        self, context: call.CallContext, allowance: retry.RetryAllowance
    ) -> ids.CallToken:
        """Return a new token, valid until the deadline of the call.

        Args:
            context: Context of the call.
            allowance: Retries that the child calls may use.

        Raises:
            CallTableFullError: max_calls tokens are valid. No valid token is
                evicted for a new one, as its call would fail.
        """
        now = self._clock.monotonic()
        self._table.remove_until(now)
        if len(self._table) >= self._max_calls:
            raise exceptions.CallTableFullError(self._max_calls)
        bits = self._random.getrandbits(const.CALL_TOKEN_BITS)
        token = ids.CallToken(f'{bits:0{const.CALL_TOKEN_BITS // 4}x}')
        issued = _IssuedToken(context=context, allowance=allowance)
        self._table.add(token, now + context.remaining_s, issued)
        return token

    def find(self, token: ids.CallToken) -> TokenEntry | None:
        """Return the call of a token, or None if the token is not valid."""
        now = self._clock.monotonic()
        self._table.remove_until(now)
        return _make_entry(self._table.get(token), now)

    def revoke(self, token: ids.CallToken) -> TokenEntry | None:
        """Remove a token; return its call, or None if it was not valid."""
        now = self._clock.monotonic()
        entry = _make_entry(self._table.remove(token), now)
        self._table.remove_until(now)
        return entry


def _make_entry(
    stored: call_table.StoredCall[_IssuedToken] | None, now: float
) -> TokenEntry | None:
    if stored is None:
        return None
    return TokenEntry(
        context=stored.entry.context,
        remaining_s=max(0.0, stored.deadline - now),
        allowance=stored.entry.allowance,
    )
