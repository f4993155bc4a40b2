"""Until when this daemon knows the newest state of the store."""

import math
from typing import Final

from sassafraswood import clock as clock_module

# Kept from the bound for the time between the check of a request and the
# read of it, and for the difference in clock rate of two VMs, in seconds.
MARGIN_S: Final = 0.4


class StoreKnowledge:
    """Ages of the rules and of the records of members.

    A time counts only from before the question was asked, so that a late
    answer makes nothing look newer than it is.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        """Start without knowledge."""
        self._clock = clock
        self.rules_version = -1
        self._rules_as_of = -math.inf
        self.members_end = -1
        self._members_as_of = -math.inf

    @property
    def rules_age_s(self) -> float:
        """Return since when the rules are known to be the newest."""
        return self._clock.monotonic() - self._rules_as_of

    @property
    def members_age_s(self) -> float:
        """Return since when the members are known to be all."""
        return self._clock.monotonic() - self._members_as_of

    def note_rules(self, version: int, as_of: float) -> None:
        """Take that a version was the newest at a time.

        A newer version holds all that was known before, so that its age is
        never more than that of the version it replaces.
        """
        if version < self.rules_version:
            return
        self.rules_version = version
        self._rules_as_of = max(self._rules_as_of, as_of)

    def note_members(self, end: int, as_of: float) -> None:
        """Take that there was no record behind an offset at a time."""
        if end < self.members_end:
            return
        self.members_end = end
        self._members_as_of = max(self._members_as_of, as_of)

    def may_accept_keys(self, revoke_s: float) -> bool:
        """Return whether every key withdrawn revoke_s ago is known."""
        return self.rules_age_s < revoke_s - MARGIN_S

    def may_spend_share(self, revoke_s: float) -> bool:
        """Return whether every member of revoke_s ago is known."""
        return self.members_age_s < revoke_s - MARGIN_S
